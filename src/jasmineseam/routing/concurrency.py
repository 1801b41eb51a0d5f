"""How many requests one entry process keeps at a service's servers, adapted to their load.

Requests beyond the limit wait at the entry, where they can still go to whichever server frees
first.
"""

from __future__ import annotations

DECREASE_STEP = 0.5
FAIR_SHARE_HEADROOM = 1.25


class ConcurrencyLimit:
    """The limit of one service in one entry process.

    It grows while answers report free slots and shrinks while they report queues, between this
    process's fair part of the slots and all of them.

    >>> limit = ConcurrencyLimit()
    >>> limit.resize(slots=4, servers=30, entries=6)
    >>> limit.value
    25.0
    """

    __slots__ = ("_ceiling", "_floor", "value")

    def __init__(self) -> None:
        self._floor = 1.0
        self._ceiling = 1.0
        self.value = 0.0

    def set_capacity(
        self, *, slots_per_server: int, server_count: int, entry_process_count: int
    ) -> None:
        """Take the number of servers, their slots, and the entry processes that share them."""
        total = max(1, slots_per_server * server_count)
        self._floor = max(1.0, FAIR_SHARE_HEADROOM * total / max(1, entry_process_count))
        self._ceiling = max(self._floor, float(total))
        if self.value == 0.0:
            self.value = self._floor
        self._clamp()

    def record_report(self, in_flight: int, slots: int) -> None:
        """Learn from the load report of one answer."""
        if in_flight > slots:
            self.value -= DECREASE_STEP / self.value * (in_flight - slots)
        else:
            self.value += 1.0 / self.value
        self._clamp()

    def record_shed(self) -> None:
        """Learn that a server refused a request because it was full."""
        self.value -= DECREASE_STEP
        self._clamp()

    def _clamp(self) -> None:
        self.value = min(max(self.value, self._floor), self._ceiling)
