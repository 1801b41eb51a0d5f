"""``python -m bench.lab FILE``: tries variants of decisions on a modelled fleet, on virtual time.

An experiment is JSON with comments: a fleet, seeds, and variants, each of which sets constants of
the decision modules or settings of the fleet. The same file and seeds give the same figures.
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
from jasmineseam.exceptions import Fault
from jasmineseam.exceptions import SettingsError
from jasmineseam.routing import dispatch

from .choices import CHOICES
from .fleet import Fleet
from .fleet import FleetSettings
from .fleet import Tally
from .virtual import play_virtually

FIGURES = ("credit", "in_time", "late", "failed")
DECISIONS = ("dispatch", "load", "patience", "placement")


class Variant(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """One way to decide.

    :param constants: values by ``module.NAME``, of the modules of ``jasmineseam.routing``.
    :param fleet: settings of the fleet that differ.
    :param choice: how a server is chosen, by name; see ``bench.choices``.
    """

    name: str
    constants: dict[str, float] = {}
    fleet: dict[str, t.Any] = {}
    choice: t.Literal["ours", "random", "fewest"] = "ours"


class Experiment(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """What is tried."""

    name: str
    fleet: FleetSettings
    variants: list[Variant]
    seeds: tuple[int, ...] = (1, 2, 3)


class Result(msgspec.Struct, kw_only=True):
    """One variant's figures: a tally for each seed."""

    variant: str
    tallies: list[Tally]

    def get_mean(self, name: str) -> float:
        """Return the mean of one figure over the seeds."""
        return sum(getattr(tally, name) for tally in self.tallies) / len(self.tallies)


@contextlib.contextmanager
def set_constants(constants: dict[str, float]) -> t.Iterator[None]:
    """Give decision modules other constants for a while.

    :raises SettingsError: if a module has no such constant.
    """
    held = []
    try:
        for path, value in constants.items():
            module_name, _, name = path.partition(".")
            module = None
            if module_name in DECISIONS:
                module = importlib.import_module(f"jasmineseam.routing.{module_name}")
            if module is None or not name.isupper() or not hasattr(module, name):
                fault = Fault(f"constants.{path}", str(value), "a constant of a decision module")
                raise SettingsError("experiment", [fault])
            held.append((module, name, getattr(module, name)))
            setattr(module, name, value)
        yield
    finally:
        for module, name, value in reversed(held):
            setattr(module, name, value)


@contextlib.contextmanager
def set_choice(name: str) -> t.Iterator[None]:
    """Let dispatchers choose in another way for a while."""
    held = dispatch.choose_servers
    dispatch.choose_servers = CHOICES.get(name, held)
    try:
        yield
    finally:
        dispatch.choose_servers = held


def play(settings: FleetSettings, seed: int) -> Tally:
    """Play a fleet on virtual time."""

    async def scenario() -> Tally:
        return await Fleet(settings=settings, seed=seed).play()

    return play_virtually(scenario)


def run_variant(experiment: Experiment, variant: Variant) -> Result:
    """Play one variant with all seeds."""
    fleet = msgspec.convert(
        {**msgspec.to_builtins(experiment.fleet), **variant.fleet}, FleetSettings
    )
    with set_constants(variant.constants), set_choice(variant.choice):
        tallies = [play(fleet, seed) for seed in experiment.seeds]
    return Result(variant=variant.name, tallies=tallies)


def draw(experiment: Experiment, results: list[Result], path: pathlib.Path) -> None:
    """Draw what callers got, a bar for each variant."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    figure, axis = plt.subplots(figsize=(7, 1 + 0.4 * len(results)))
    left = [0.0] * len(results)
    names = [result.variant for result in results]
    for kind in ("in_time", "late", "failed"):
        widths = [result.get_mean(kind) for result in results]
        axis.barh(names, widths, left=left, label=kind.replace("_", " "))
        left = [a + b for a, b in zip(left, widths, strict=True)]
    axis.invert_yaxis()
    axis.set_xlabel("share of callers")
    axis.set_title(experiment.name)
    axis.legend(loc="lower left")
    figure.tight_layout()
    figure.savefig(path, dpi=100)


def run(file: pathlib.Path, *, json: bool = False, plot: pathlib.Path | None = None) -> None:
    """Run an experiment.

    :param file: the experiment, JSON with comments.
    :param json: print all figures as JSON instead of a table of means.
    :param plot: a PNG file to draw.
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
        draw(experiment, results, plot)
    if json:
        print(msgspec.json.encode(results).decode())
        return
    print(f"{'variant':36}" + "".join(f" {kind:>8}" for kind in FIGURES))
    for result in results:
        means = "".join(f" {result.get_mean(kind):8.3f}" for kind in FIGURES)
        print(f"{result.variant:36}{means}")


if __name__ == "__main__":
    defopt.run(run, cli_options="has_default", short={})
