"""Experiments on the modelled fleet: repeatable, checked, and told apart by what they vary."""

import msgspec
import pytest

from bench.fleet import FleetSettings
from bench.fleet import Noise
from bench.lab import Experiment
from bench.lab import Variant
from bench.lab import run_variant
from jasmineseam.exceptions import SettingsError
from jasmineseam.routing import dispatch

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


def make_experiment(**more):
    return Experiment(name="test", fleet=FLEET, variants=[], seeds=(1, 2), **more)


def test_the_same_seeds_give_the_same_figures():
    results = [run_variant(make_experiment(), Variant(name="ours")) for _ in range(2)]
    assert msgspec.to_builtins(results[0]) == msgspec.to_builtins(results[1])


def test_choices_of_a_server_rank_as_on_a_played_day():
    credits = []
    for choice in ("ours", "fewest", "random"):
        result = run_variant(make_experiment(), Variant(name=choice, choice=choice))
        credits.append(result.get_mean("credit"))
    assert credits == sorted(credits, reverse=True)
    assert credits[0] > 0.9 > credits[1]


def test_a_variant_sets_constants_only_while_it_is_played():
    held = dispatch.RESERVED_SHARE
    variant = Variant(name="none", constants={"dispatch.RESERVED_SHARE": 0.0})
    run_variant(make_experiment(), variant)
    assert held == dispatch.RESERVED_SHARE


@pytest.mark.parametrize(
    "path", ["dispatch.NONE", "dispatch.choose_servers", "os.sep", "RESERVED_SHARE"]
)
def test_a_constant_that_is_none_is_refused(path):
    with pytest.raises(SettingsError):
        run_variant(make_experiment(), Variant(name="wrong", constants={path: 1.0}))
