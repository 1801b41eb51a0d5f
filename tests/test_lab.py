"""Experiments on the simulated fleet: repeatable results, variants and invalid constants."""

import msgspec
import pytest

from bench.fleet import FleetSettings
from bench.fleet import Noise
from bench.lab import Experiment
from bench.lab import Variant
from bench.lab import run_variant
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
