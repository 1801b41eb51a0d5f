"""How many requests one entry process keeps at a service's servers, adapted to their load.

Requests beyond the limit wait at the entry, where they can still go to whichever server frees
first.
"""

from __future__ import annotations

DECREASE = 0.5
HEADROOM = 1.25


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

    def resize(self, *, slots: int, servers: int, entries: int) -> None:
        """Take the number of servers, their slots, and the entry processes that share them."""
        total = max(1, slots * servers)
        self._floor = max(1.0, HEADROOM * total / max(1, entries))
        self._ceiling = max(self._floor, float(total))
        if self.value == 0.0:
            self.value = self._floor
        self._clamp()

    def note_answer(self, in_flight: int, slots: int) -> None:
        """Learn from the load report of one answer."""
        if in_flight > slots:
            self.value -= DECREASE / self.value * (in_flight - slots)
        else:
            self.value += 1.0 / self.value
        self._clamp()

    def note_shed(self) -> None:
        """Learn that a server refused a request because it was full."""
        self.value -= DECREASE
        self._clamp()

    def _clamp(self) -> None:
        self.value = min(max(self.value, self._floor), self._ceiling)
