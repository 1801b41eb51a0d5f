"""Experiments on the simulated fleet: repeatable results, variants and invalid constants."""

import asyncio

import msgspec
import pytest

from bench.fleet import FleetSettings
from bench.fleet import Noise
from bench.lab import Experiment
from bench.lab import Variant
from bench.lab import run_variant
from bench.virtual_time import run_in_virtual_time
from jasmineseam.exceptions import SettingsError
from jasmineseam.routing import reserved_slots

FLEET = FleetSettings(
    servers=12,
    nodes=3,
    requests_per_s=130,
    work_s=0.075,
    target_s=0.2,
    deadline_s=1.5,
    duration_s=3.0,
    noise=Noise(share=0.35, factor=5.0),
)


def make_experiment(**fields):
    return Experiment(name="test", fleet=FLEET, variants=[], seeds=(1, 2), **fields)


def test_the_same_seeds_give_the_same_results():
    results = [run_variant(make_experiment(), Variant(name="ours")) for _ in range(2)]
    assert msgspec.to_builtins(results[0]) == msgspec.to_builtins(results[1])


def test_placement_earns_more_credit_than_its_baselines():
    credits = []
    for choice in ("ours", "fewest", "random"):
        result = run_variant(make_experiment(), Variant(name=choice, choice=choice))
        credits.append(result.compute_mean("credit"))
    assert credits == sorted(credits, reverse=True)
    assert credits[0] > 0.9 > credits[1]


def test_a_variant_overrides_constants_only_while_it_is_simulated():
    original = reserved_slots.RESERVED_SHARE
    variant = Variant(name="none", constants={"reserved_slots.RESERVED_SHARE": 0.0})
    run_variant(make_experiment(), variant)
    assert original == reserved_slots.RESERVED_SHARE


@pytest.mark.parametrize(
    "path", ["dispatch.NONE", "dispatch.choose_servers", "os.sep", "RESERVED_SHARE"]
)
def test_an_override_of_an_unknown_constant_is_rejected(path):
    with pytest.raises(SettingsError):
        run_variant(make_experiment(), Variant(name="wrong", constants={path: 1.0}))


@pytest.mark.parametrize("delay_s", [6.7e-16, 1e-12])
def test_virtual_time_passes_during_waits_below_its_resolution(delay_s):
    """Guards against a clock that stands still, so that a task that waits again never ends."""

    async def wait_until(due_at):
        loop = asyncio.get_running_loop()
        while loop.time() < due_at:
            await asyncio.sleep(delay_s)
            waits.append(loop.time())
            assert len(waits) < 1000

    async def scenario():
        await asyncio.sleep(8.2)
        await wait_until(asyncio.get_running_loop().time() + 1e-6)

    waits = []
    run_in_virtual_time(scenario)
