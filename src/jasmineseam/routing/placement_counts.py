"""How often the requests of each group, a rank or a client account, get a server."""

from __future__ import annotations

import typing as t

# A group is starved while it gets a server less often than this fraction of how often all get one.
# The limit is a quarter; the margin is for requests that fail after their placement.
MIN_SERVED_FRACTION = 0.4
# A group with fewer counted requests is not judged.
MIN_COUNT = 10


class _Counts:
    __slots__ = ("arrived", "placed")

    def __init__(self) -> None:
        self.arrived = 0.0
        self.placed = 0.0


class PlacementCounts:
    """Counts of arrived and placed requests; older ones count less.

    :param window: all counts are halved when this many requests have been counted.

    >>> counts = PlacementCounts(window=200)
    >>> for _ in range(20):
    ...     counts.record_arrival("a", "b")
    ...     counts.record_placement("a")
    >>> counts.is_starved("a"), counts.is_starved("b")
    (False, True)
    """

    __slots__ = ("_by_group", "_window", "arrived")

    def __init__(self, *, window: int) -> None:
        self._window = window
        self._by_group: dict[t.Hashable, _Counts] = {}
        # all requests
        self.arrived = 0.0

    def record_arrival(self, *groups: t.Hashable) -> None:
        """Count a request that needs a server, in each of its groups."""
        if self.arrived >= self._window:
            self._halve()
        for group in (None, *groups):
            self._by_group.setdefault(group, _Counts()).arrived += 1
        self.arrived += 1

    def record_placement(self, *groups: t.Hashable) -> None:
        """Count a request that has got a server, in each of its groups."""
        for group in (None, *groups):
            self._by_group.setdefault(group, _Counts()).placed += 1

    def sum_counts(self, is_counted: t.Callable[[t.Any], bool]) -> tuple[float, float]:
        """Return the number of arrived and of placed requests of some groups."""
        arrived = placed = 0.0
        for group, counts in self._by_group.items():
            if group is not None and is_counted(group):
                arrived += counts.arrived
                placed += counts.placed
        return arrived, placed

    def is_starved(self, *groups: t.Hashable) -> bool:
        """Return whether any of the groups gets a server far less often than all requests do."""
        for group in groups:
            counts = self._by_group.get(group)
            if counts is None or counts.arrived < MIN_COUNT:
                continue
            total = self._by_group[None]
            if counts.placed / counts.arrived < MIN_SERVED_FRACTION * total.placed / total.arrived:
                return True
        return False

    def _halve(self) -> None:
        self.arrived /= 2
        for counts in self._by_group.values():
            counts.arrived /= 2
            counts.placed /= 2
        self._by_group = {
            group: counts
            for group, counts in self._by_group.items()
            if group is None or counts.arrived >= 1.0
        }
