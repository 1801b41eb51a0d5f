"""How long ago callers made their first attempts, judged by the time that they still give.

Load: callers that come back together after refusals or lost connections. Most of them have missed
their target already, so they should not take slots from first attempts that can still meet it.
"""

from __future__ import annotations

import collections

# times told on one route that are remembered, and after how many the quantile is taken anew
SAMPLE_COUNT = 256
SAMPLES_PER_UPDATE = 16
# the quantile that stands for a first attempt; the longest of all may be one unusual caller's
FIRST_ATTEMPT_QUANTILE = 0.95
# first attempts of one route differ by about this share of the time that they give
FIRST_ATTEMPT_SPREAD_FRACTION = 0.2


class CallerTimeoutEstimator:
    """The time that callers of one route give their first attempts.

    >>> patience = RoutePatience()
    >>> for _ in range(64):
    ...     _ = patience.note(1.0)
    >>> round(patience.note(0.3), 3), patience.note(0.9)
    (0.5, 0.0)
    """

    __slots__ = ("_first_s", "_noted", "_times_s")

    def __init__(self) -> None:
        self._times_s: collections.deque[float] = collections.deque(maxlen=SAMPLE_COUNT)
        self._noted = 0
        self._first_s = 0.0

    def estimate_elapsed_s(self, remaining_s: float) -> float:
        """Learn from one attempt; returns for how long its caller has been trying, in seconds.

        :param remaining_s: the time that the caller still gives.
        """
        self._times_s.append(remaining_s)
        self._noted += 1
        if self._noted % SAMPLES_PER_UPDATE == 0:
            ordered = sorted(self._times_s)
            self._first_s = ordered[int(FIRST_ATTEMPT_QUANTILE * (len(ordered) - 1))]
        return max(0.0, (1.0 - FIRST_ATTEMPT_SPREAD_FRACTION) * self._first_s - remaining_s)
