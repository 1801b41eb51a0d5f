"""Simulates variants of the routing decisions in virtual time: ``python -m bench.lab FILE``.

An experiment is a file of JSON with comments. It holds the settings of a simulated fleet, seeds
and variants. Each variant overrides constants of the routing modules or settings of the fleet.
The same file and seeds always give the same results.
"""

from __future__ import annotations

import contextlib
import importlib
import pathlib
import sys
import typing as t

import defopt
import msgspec

from jasmineseam.documents import parse_document
from jasmineseam.documents import read_file
from jasmineseam.exceptions import SettingsError
from jasmineseam.exceptions import ValidationFault
from jasmineseam.routing import server_choice

from .fleet import FleetSettings
from .fleet import FleetSimulation
from .fleet import SimulationResult
from .placement_baselines import PLACEMENT_BASELINES
from .virtual_time import run_in_virtual_time

METRIC_NAMES = ("credit", "in_time", "late", "failed")
# modules of jasmineseam.routing whose constants a variant may override
TUNABLE_MODULES = (
    "dispatch",
    "load",
    "caller_timeout",
    "placement",
    "queue_order",
    "reserved_slots",
    "retry_reservations",
)


class Variant(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """One variant of the routing decisions.

    :param name: name in the results.
    :param constants: overridden constants of the modules of ``jasmineseam.routing``; the keys
        have the form ``module.NAME``.
    :param fleet: overridden fields of ``FleetSettings``.
    :param choice: ``ours`` for the product's choice of a server, otherwise the name of a choice
        in ``bench.placement_baselines``.
    """

    name: str
    constants: dict[str, float] = {}
    fleet: dict[str, t.Any] = {}
    choice: t.Literal["ours", "random", "fewest"] = "ours"


class Experiment(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """An experiment file.

    :param name: title of the plot.
    :param fleet: settings of the fleet for all variants.
    :param seeds: each variant is simulated once per seed.
    """

    name: str
    fleet: FleetSettings
    variants: list[Variant]
    seeds: tuple[int, ...] = (1, 2, 3)


class VariantResult(msgspec.Struct, kw_only=True):
    """Results of one variant.

    :param variant: name of the variant.
    :param tallies: one simulation result for each seed.
    """

    variant: str
    tallies: list[SimulationResult]

    def compute_mean(self, name: str) -> float:
        """Return the mean of one metric over all seeds.

        :param name: name of a numeric attribute of ``Tally``.
        """
        return sum(getattr(result, name) for result in self.tallies) / len(self.tallies)


@contextlib.contextmanager
def override_constants(constants: dict[str, float]) -> t.Iterator[None]:
    """Override constants of routing modules within the context.

    :param constants: values by ``module.NAME``.
    :raises SettingsError: if a module cannot be tuned or has no such constant.
    """
    originals = []
    try:
        for path, value in constants.items():
            module_name, _, name = path.partition(".")
            module = None
            if module_name in TUNABLE_MODULES:
                module = importlib.import_module(f"jasmineseam.routing.{module_name}")
            if module is None or not name.isupper() or not hasattr(module, name):
                fault = ValidationFault(
                    f"constants.{path}", str(value), "a constant of a tunable routing module"
                )
                raise SettingsError("experiment", [fault])
            originals.append((module, name, getattr(module, name)))
            setattr(module, name, value)
        yield
    finally:
        for module, name, value in reversed(originals):
            setattr(module, name, value)


@contextlib.contextmanager
def override_server_choice(name: str) -> t.Iterator[None]:
    """Override the function with which dispatchers choose a server within the context.

    :param name: name of a baseline; any other name keeps the product's function.
    """
    original = server_choice.choose_servers
    server_choice.choose_servers = PLACEMENT_BASELINES.get(name, original)
    try:
        yield
    finally:
        server_choice.choose_servers = original


def simulate(settings: FleetSettings, seed: int) -> SimulationResult:
    """Simulate a fleet in virtual time and return the outcomes of its calls.

    :param seed: seed of all random numbers.
    """

    async def scenario() -> SimulationResult:
        return await FleetSimulation(settings=settings, seed=seed).run()

    return run_in_virtual_time(scenario)


def run_variant(experiment: Experiment, variant: Variant) -> VariantResult:
    """Simulate one variant with every seed of the experiment.

    :raises SettingsError: if the variant overrides a constant that does not exist.
    """
    fleet = msgspec.convert(
        {**msgspec.to_builtins(experiment.fleet), **variant.fleet}, FleetSettings
    )
    with override_constants(variant.constants), override_server_choice(variant.choice):
        tallies = [simulate(fleet, seed) for seed in experiment.seeds]
    return VariantResult(variant=variant.name, tallies=tallies)


def plot_results(experiment: Experiment, results: list[VariantResult], path: pathlib.Path) -> None:
    """Plot the fraction of calls with each outcome, one bar for each variant.

    :param path: the image file to write.
    """
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    figure, axis = plt.subplots(figsize=(7, 1 + 0.4 * len(results)))
    left = [0.0] * len(results)
    names = [result.variant for result in results]
    for outcome in ("in_time", "late", "failed"):
        widths = [result.compute_mean(outcome) for result in results]
        axis.barh(names, widths, left=left, label=outcome.replace("_", " "))
        left = [start + width for start, width in zip(left, widths, strict=True)]
    axis.invert_yaxis()
    axis.set_xlabel("fraction of calls")
    axis.set_title(experiment.name)
    axis.legend(loc="lower left")
    figure.tight_layout()
    figure.savefig(path, dpi=100)


def run_experiment(
    file: pathlib.Path, *, json: bool = False, plot: pathlib.Path | None = None
) -> None:
    """Run an experiment and print its results.

    :param file: the experiment, JSON with comments.
    :param json: print the metrics of every seed as JSON instead of a table of means.
    :param plot: write a plot of the results to this PNG file.
    """
    try:
        experiment = parse_document(Experiment, read_file(file), str(file))
        results = []
        for number, variant in enumerate(experiment.variants, start=1):
            print(f"\r{number}/{len(experiment.variants)}", end="", file=sys.stderr, flush=True)
            results.append(run_variant(experiment, variant))
        print(file=sys.stderr)
    except SettingsError as error:
        sys.exit("\n".join(f"{error.source}: {fault}" for fault in error.faults))
    if plot is not None:
        plot_results(experiment, results, plot)
    if json:
        print(msgspec.json.encode(results).decode())
        return
    print(f"{'variant':36}" + "".join(f" {metric:>8}" for metric in METRIC_NAMES))
    for result in results:
        means = "".join(f" {result.compute_mean(metric):8.3f}" for metric in METRIC_NAMES)
        print(f"{result.variant:36}{means}")


if __name__ == "__main__":
    defopt.run(run_experiment, cli_options="has_default", short={})
