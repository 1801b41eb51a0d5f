"""Who may spend a seat's share of the measuring budget.

A VM claims its seat by a record in the platform's log; the newest claim counts. A holder may
probe only while a read of the log, begun less than ``LEASE_S`` ago, showed no newer claim. A new
claimant waits for longer than that, so a paused or cut-off predecessor has stopped by then.
While the log is away nobody renews, and measuring falls to nothing. Nothing but the budget
depends on this lease.
"""

from __future__ import annotations

import msgspec

LEASE_DURATION_S = 6.0
CLAIM_WAIT_S = 8.0


class SeatClaim(msgspec.Struct, kw_only=True):
    """A record of the log's seats stream.

    :param holder: the claiming agent's incarnation.
    """

    seat: int
    holder: str


class SeatLease:
    """One agent's right to its seat.

    :param clock: returns seconds; must go on while the process or VM is paused.

    >>> now = [0.0]
    >>> seat = Seat(seat=0, holder="a", clock=lambda: now[0])
    >>> seat.note_claimed()
    >>> now[0] = 9.0
    >>> seat.note_read("a", read_began_at=9.0)
    >>> seat.is_held()
    True
    >>> seat.note_read("b", read_began_at=9.0)
    >>> seat.is_held()
    False
    """

    __slots__ = ("_claimed_at", "_clock", "_lost", "_valid_until", "holder", "seat")

    def __init__(self, *, seat: int, holder: str, clock) -> None:
        self.seat = seat
        self.holder = holder
        self._clock = clock
        self._claimed_at = float("inf")
        self._valid_until = float("-inf")
        self._lost = False

    @property
    def claimed(self) -> bool:
        """Whether this agent's claim is known to be in the log."""
        return self._claimed_at != float("inf")

    @property
    def lost(self) -> bool:
        """Whether a newer claim was seen; the seat is then never claimed again."""
        return self._lost

    def record_claim(self) -> None:
        """Note that the log has confirmed the claim, or shown it."""
        if not self.claimed:
            self._claimed_at = self._clock()

    def record_read(self, newest_holder: str, read_began_at: float) -> None:
        """Note what a read of the log showed as the seat's newest claim."""
        if newest_holder != self.holder:
            self._lost = self.claimed
            self._valid_until = float("-inf")
            return
        self.record_claim()
        self._valid_until = max(self._valid_until, read_began_at + LEASE_DURATION_S)

    def is_held(self) -> bool:
        """Tell whether a probe may be sent at this moment."""
        now = self._clock()
        if self._lost or now < self._claimed_at + CLAIM_WAIT_S:
            return False
        return now < self._valid_until
