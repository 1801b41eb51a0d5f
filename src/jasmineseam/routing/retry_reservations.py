"""Times at which refused requests are asked to come back.

Answers the load of a burst in which many requests are refused at once. If all are given the same
time, they come back together, find fewer free slots than they need and are refused a second time,
which costs more than a late response. Each refusal therefore reserves a time at which capacity is
expected and which no earlier refusal was given.

The reservations of a node are kept in its memory. A client usually comes back at another node,
which recognises it by the time that has elapsed since its first attempt and not by a reservation.
All nodes reserve their own share of the capacity, so their reservations add up.
"""

from __future__ import annotations

import bisect

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
# Clients wait at most this fraction of the time that they have left.
MAX_WAIT_FRACTION = 1 / 3
# With more reservations, a refused request is given the time after the last one.
MAX_RESERVATIONS = 2000


class RetryReservations:
    """The times that one dispatcher has given to refused requests, on its clock.

    >>> reservations = RetryReservations()
    >>> def reserve(earliest_at, deadline_at):
    ...     return reservations.reserve(
    ...         10.0, earliest_at=earliest_at, deadline_at=deadline_at, interval_s=0.125
    ...     )
    >>> reserve(10.25, 12.0), reserve(10.25, 12.0), reserve(10.0, 12.0), reserve(10.25, 12.0)
    (10.25, 10.375, 10.0, 10.5)
    >>> reserve(10.25, 10.75)  # this client comes back after a third of the time that it has left
    10.625
    """

    __slots__ = ("_times",)

    def __init__(self) -> None:
        self._times: list[float] = []

    def __len__(self) -> int:
        return len(self._times)

    def reserve(
        self, now: float, *, earliest_at: float, deadline_at: float, interval_s: float
    ) -> float:
        """Return the first time from *earliest_at* on at which capacity is not reserved.

        :param deadline_at: deadline of the request.
        :param interval_s: time in which the servers can take one request of this node, in seconds.
        """
        del self._times[: bisect.bisect_left(self._times, now - interval_s)]
        at = earliest_at
        if len(self._times) >= MAX_RESERVATIONS:
            at = max(at, self._times[-1] + interval_s)
        else:
            for reserved_at in self._times[bisect.bisect_left(self._times, at - interval_s) :]:
                if reserved_at >= at + interval_s:
                    break
                at = max(at, reserved_at + interval_s)
            comes_at = min(at, now + MAX_WAIT_FRACTION * max(0.0, deadline_at - now))
            bisect.insort(self._times, comes_at)
        return at
