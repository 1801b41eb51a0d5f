"""Lease on a seat, which permits the use of one share of the probe budget.

A VM claims its seat with a record in the platform's log; the newest claim wins. The holder may
probe only if a read of the log that started less than ``LEASE_DURATION_S`` ago showed no newer
claim. A new claimant waits for ``CLAIM_WAIT_S`` before it probes. ``CLAIM_WAIT_S`` is longer than
``LEASE_DURATION_S``, so that the lease of a suspended or partitioned predecessor has expired by
then. If the log is unavailable, no lease is renewed and probing stops. Only the probe budget
depends on this lease; requests are routed without it.
"""

from __future__ import annotations

import msgspec

LEASE_DURATION_S = 6.0
CLAIM_WAIT_S = 8.0


class SeatClaim(msgspec.Struct, kw_only=True):
    """A record in the seats stream of the log.

    :param seat: number of the claimed seat.
    :param holder: incarnation of the claiming agent.
    """

    seat: int
    holder: str


class SeatLease:
    """The lease of one agent on its seat.

    :param seat: number of the seat.
    :param holder: incarnation of the agent.
    :param clock: returns seconds; must advance while the process or VM is suspended.

    >>> now = [0.0]
    >>> lease = SeatLease(seat=0, holder="a", clock=lambda: now[0])
    >>> lease.record_claim()
    >>> now[0] = 9.0
    >>> lease.record_read("a", read_began_at=9.0)
    >>> lease.is_held()
    True
    >>> lease.record_read("b", read_began_at=9.0)
    >>> lease.is_held()
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
        """Whether this agent's claim is confirmed to be in the log."""
        return self._claimed_at != float("inf")

    @property
    def lost(self) -> bool:
        """Whether a newer claim was read; this agent does not claim the seat again."""
        return self._lost

    def record_claim(self) -> None:
        """Record that the log confirmed the claim, or that a read returned it."""
        if not self.claimed:
            self._claimed_at = self._clock()

    def record_read(self, newest_holder: str, read_began_at: float) -> None:
        """Renew the lease after a read of the log, or end it if the read showed a newer claim.

        :param newest_holder: holder in the seat's newest claim.
        :param read_began_at: time at which the read started, on the lease's clock.
        """
        if newest_holder != self.holder:
            self._lost = self.claimed
            self._valid_until = float("-inf")
            return
        self.record_claim()
        self._valid_until = max(self._valid_until, read_began_at + LEASE_DURATION_S)

    def is_held(self) -> bool:
        """Return whether the lease is held now, so that a probe may be sent."""
        now = self._clock()
        if self._lost or now < self._claimed_at + CLAIM_WAIT_S:
            return False
        return now < self._valid_until
