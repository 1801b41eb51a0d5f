"""Slots that requests leave free for others which need them more.

Answers two loads. In an overload, requests that are late for their target would occupy the slots
that first attempts need a moment later, so that more of these become late as well. They leave free
a number of slots in proportion to the fraction of the arriving requests that can be in time.

A kind of requests with a tight target competes with less urgent ones of other nodes, whose queues
no node sees. The less urgent ones can wait longer, so they find a free slot more often: a kind of
47 ms with a target of 179 ms was served less than half as often as one of 112 ms with a target of
429 ms. As long as more urgent requests arrive, less urgent ones leave a few of the slots free.
Their number is that of a fluctuation of the more urgent requests, which grows with its root. The
only node of a service sees all requests in its own queue and needs no such slots.
"""

from __future__ import annotations

import math

from .fair_queueing import Rank
from .placement_counts import PlacementCounts

# fraction of the slots reserved for feasible requests while all arriving requests are feasible
RESERVED_SHARE = 0.5
# smoothing factor of the fraction of requests that are feasible on arrival
FEASIBLE_FRACTION_EWMA_ALPHA = 0.02
# Slots that are left for more urgent requests, as a multiple of the root of the slots that these
# would have by their fraction of the arriving requests.
URGENT_SLOTS_FACTOR = 0.8
# No slots are left while more than this fraction of all requests get a server: at a normal load,
# requests that wait beside free slots would only be late.
NORMAL_FRACTION = 0.97
# The counts of arrived and placed requests are halved when this many have been counted.
COUNT_WINDOW = 100


class ReservedSlots:
    """Fractions of the arriving requests by which slots are reserved, in one dispatcher.

    >>> reserved = ReservedSlots()
    >>> for number, rank in enumerate((Rank(0, 1), Rank(0, 2)) * 20):
    ...     reserved.record_arrival(rank, feasible=True)
    ...     if number % 4:  # a quarter of the requests get no server
    ...         reserved.record_placement(rank)
    >>> round(reserved.compute_for_urgent(Rank(0, 2), slots=15, node_count=40), 2)
    2.14
    >>> reserved.compute_for_urgent(Rank(0, 1), slots=15, node_count=40)
    0.0
    >>> reserved.compute_for_feasible(slots=16)
    8.0
    """

    __slots__ = ("_counts", "_feasible_fraction")

    def __init__(self) -> None:
        self._feasible_fraction = 1.0
        # of each rank
        self._counts = PlacementCounts(window=COUNT_WINDOW)

    def record_arrival(self, rank: Rank, *, feasible: bool) -> None:
        """Count a request that needs a server."""
        self._feasible_fraction += FEASIBLE_FRACTION_EWMA_ALPHA * (
            feasible - self._feasible_fraction
        )
        self._counts.record_arrival(rank)

    def record_placement(self, rank: Rank) -> None:
        """Count a request that has got a server."""
        self._counts.record_placement(rank)

    def compute_for_feasible(self, slots: int) -> float:
        """Return how many slots infeasible requests leave free.

        :param slots: the slots of all servers in use.
        """
        return RESERVED_SHARE * self._feasible_fraction * slots

    def compute_for_urgent(self, rank: Rank, *, slots: int, node_count: float) -> float:
        """Return how many slots requests of a rank leave to more urgent ones.

        A rank that is served far less often than all requests leaves none.

        :param slots: the slots of all servers in use.
        :param node_count: number of nodes that use these servers.
        """
        urgent, _ = self._counts.sum_counts(lambda other: other < rank)
        arrived, placed = self._counts.sum_counts(lambda other: True)
        if not urgent or self._counts.is_starved(rank) or placed > NORMAL_FRACTION * arrived:
            return 0.0
        unseen = 1.0 - 1.0 / max(1.0, node_count)
        return URGENT_SLOTS_FACTOR * unseen * math.sqrt(slots * urgent / self._counts.arrived)
