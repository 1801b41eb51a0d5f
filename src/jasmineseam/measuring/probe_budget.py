"""Probe budget of a service, divided into one fixed share per seat.

A seat is a numbered position among the entry VMs; see :mod:`~jasmineseam.measuring.seat`. A share
is a number of probes per sliding time window. A sent probe counts against the share until one
window length after its response arrived. The server received the probe before that response.
Therefore the servers receive no more probes than the share in any window, even if this process is
suspended at any time. The number of probes that the previous holder of the seat sent is unknown,
so no probes are sent for one window length after the budget is created.
"""

from __future__ import annotations

from .. import invariants

# the window is lengthened by this factor, because the local clock may run faster than the servers'
# clocks
CLOCK_DRIFT_FACTOR = 1.01


def compute_probe_share(probes: int, seat: int, seat_count: int) -> int:
    """Return the number of the budget's probes that one seat may send per window.

    :param probes: budget of all seats together, in probes per window.
    :param seat: number of the seat, from 0.
    :param seat_count: number of seats.
    :returns: the share; 0 if there is no seat with this number.

    >>> [compute_probe_share(8, seat, 6) for seat in range(6)]
    [2, 2, 1, 1, 1, 1]
    """
    if not 0 <= seat < seat_count:
        return 0
    return probes // seat_count + (seat < probes % seat_count)


class ProbeBudget:
    """One seat's share of the probe budget of one service.

    :param clock: returns monotonic time in seconds.
    :param share: probes per window.
    :param window_s: length of the window in seconds.

    >>> now = [0.0]
    >>> budget = ProbeBudget(clock=lambda: now[0], share=1, window_s=10.0)
    >>> budget.start_probe()
    False
    >>> now[0] = 10.2
    >>> budget.start_probe(), budget.start_probe()
    (True, False)
    >>> budget.finish_probe(); now[0] = 20.4; budget.start_probe()
    True
    """

    __slots__ = (
        "_blocked_until",
        "_clock",
        "_finish_times",
        "_in_flight",
        "_window_s",
        "sent_count",
        "share",
    )

    def __init__(self, *, clock, share: int, window_s: float) -> None:
        self._clock = clock
        self.share = share
        self._window_s = window_s * CLOCK_DRIFT_FACTOR
        self._blocked_until = clock() + self._window_s
        self._in_flight = 0
        self._finish_times: list[float] = []
        self.sent_count = 0

    def set_limits(self, share: int, window_s: float) -> None:
        """Apply the limits of a new catalogue entry.

        After a change of the window, no probes are sent for one new window.

        :param share: probes per window.
        :param window_s: length of the window in seconds.
        """
        self.share = share
        if self._window_s == window_s * CLOCK_DRIFT_FACTOR:
            return
        self._window_s = window_s * CLOCK_DRIFT_FACTOR
        self._blocked_until = self._clock() + self._window_s

    def start_probe(self) -> bool:
        """Spend one probe; returns whether it may be sent.

        The caller must send the probe immediately after this call.
        """
        now = self._clock()
        if now < self._blocked_until:
            return False
        window_start = now - self._window_s
        self._finish_times = [
            finished_at for finished_at in self._finish_times if finished_at > window_start
        ]
        used_probes = self._in_flight + len(self._finish_times)
        if used_probes >= self.share:
            return False
        self._in_flight += 1
        self.sent_count += 1
        invariants.check(used_probes + 1 <= self.share, "probe-budget-exceeded", str(used_probes))
        return True

    def finish_probe(self) -> None:
        """Record that a probe's response arrived or its connection was closed."""
        self._in_flight -= 1
        self._finish_times.append(self._clock())
