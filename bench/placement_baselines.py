"""Baselines for the node's choice of a server; none of them is part of the product.

They replace ``choose_servers`` of ``jasmineseam.routing.placement`` in dispatchers.
"""

from __future__ import annotations

import random
import typing as t

from jasmineseam.routing.load import ServerLoad
from jasmineseam.routing.placement import ServerEstimate

BestServers = tuple[ServerEstimate | None, ServerEstimate | None]


def _find_best_servers(
    loads: t.Iterable[ServerLoad], now: float, sort_key: t.Callable
) -> BestServers:
    """Return the first server with a free slot and the first server overall.

    The latency factor of both is that of a host of normal speed.

    :param sort_key: function of a load that defines the order of the servers.
    """
    best_free = best = None
    for load in sorted(loads, key=sort_key):
        free = load.count_in_flight(now) < load.slots
        best = best or ServerEstimate(load, 1.0, free)
        if free:
            best_free = ServerEstimate(load, 1.0, True)
            break
    return best_free, best


def choose_random(
    loads: t.Iterable[ServerLoad], *, now: float, rng: random.Random, **_others: t.Any
) -> BestServers:
    """Choose a random server with a free slot."""
    return _find_best_servers(loads, now, lambda load: rng.random())


def choose_fewest_in_flight(
    loads: t.Iterable[ServerLoad], *, now: float, rng: random.Random, **_others: t.Any
) -> BestServers:
    """Choose the server with the fewest requests in flight, as far as this node can count them."""
    return _find_best_servers(loads, now, lambda load: (load.count_in_flight(now), rng.random()))


PLACEMENT_BASELINES = {"random": choose_random, "fewest": choose_fewest_in_flight}
