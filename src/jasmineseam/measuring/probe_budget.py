"""The measuring budget of a service, split into fixed shares by seat.

A share allows a number of probes, each of which may be repeated only when the window has passed
since its answer came. The server saw the probe before that, so no window at the servers holds
more than the share, however long this process slept in between. What the seat's last holder has
sent is not known, so the first window is silent.
"""

from __future__ import annotations

from .. import invariants

# covers a clock that runs faster than the servers' own
CLOCK_DRIFT_FACTOR = 1.01


def compute_probe_share(probes: int, seat: int, seats: int) -> int:
    """Return how many of the budget's probes one seat may send per window.

    >>> [compute_share(8, seat, 6) for seat in range(6)]
    [2, 2, 1, 1, 1, 1]
    """
    if not 0 <= seat < seats:
        return 0
    return probes // seats + (seat < probes % seats)


class ProbeBudget:
    """One seat's share of one service's budget.

    :param clock: returns seconds, monotonic.
    :param share: probes per window.
    :param window_s: the window's length in seconds.

    >>> now = [0.0]
    >>> budget = ProbeBudget(clock=lambda: now[0], share=1, window_s=10.0)
    >>> budget.start()
    False
    >>> now[0] = 10.2
    >>> budget.start(), budget.start()
    (True, False)
    >>> budget.finish(); now[0] = 20.4; budget.start()
    True
    """

    __slots__ = (
        "_clock",
        "_finished_at",
        "_running",
        "_silent_until",
        "_window_s",
        "sent_count",
        "share",
    )

    def __init__(self, *, clock, share: int, window_s: float) -> None:
        self._clock = clock
        self.share = share
        self._window_s = window_s * CLOCK_DRIFT_FACTOR
        self._silent_until = clock() + self._window_s
        self._running = 0
        self._finished_at: list[float] = []
        self.sent_count = 0

    def set_limit(self, share: int, window_s: float) -> None:
        """Take the numbers of a new catalogue entry; a changed window begins with silence."""
        self.share = share
        if self._window_s == window_s * CLOCK_DRIFT_FACTOR:
            return
        self._window_s = window_s * CLOCK_DRIFT_FACTOR
        self._silent_until = self._clock() + self._window_s

    def start_probe(self) -> bool:
        """Take the right to send one probe now; to be called right before it is sent."""
        now = self._clock()
        if now < self._silent_until:
            return False
        oldest = now - self._window_s
        self._finished_at = [at for at in self._finished_at if at > oldest]
        used = self._running + len(self._finished_at)
        if used >= self.share:
            return False
        self._running += 1
        self.sent_count += 1
        invariants.check(used + 1 <= self.share, "probe-budget-exceeded", str(used))
        return True

    def finish_probe(self) -> None:
        """Note that a probe's answer came, or that its connection is closed."""
        self._running -= 1
        self._finished_at.append(self._clock())
