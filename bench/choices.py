"""Choices of a server to compare the node's own with; none of them is part of the product."""

from __future__ import annotations

import random
import typing as t

from jasmineseam.routing.load import ServerLoad
from jasmineseam.routing.placement import ServerEstimate

Choice = tuple[ServerEstimate | None, ServerEstimate | None]


def _pick(loads: t.Iterable[ServerLoad], now: float, rank: t.Callable) -> Choice:
    """Return the free server and the server that rank lowest, with the factor of a usual host."""
    best_free = best = None
    for load in sorted(loads, key=rank):
        free = load.count_in_flight(now) < load.slots
        best = best or ServerEstimate(load, 1.0, free)
        if free:
            best_free = ServerEstimate(load, 1.0, True)
            break
    return best_free, best


def choose_random(
    loads: t.Iterable[ServerLoad], *, now: float, rng: random.Random, **_others: t.Any
) -> Choice:
    """Choose any server with a free slot."""
    return _pick(loads, now, lambda load: rng.random())


def choose_fewest(
    loads: t.Iterable[ServerLoad], *, now: float, rng: random.Random, **_others: t.Any
) -> Choice:
    """Choose the server with the fewest requests in flight, as far as known."""
    return _pick(loads, now, lambda load: (load.count_in_flight(now), rng.random()))


CHOICES = {"random": choose_random, "fewest": choose_fewest}
