"""Estimation of how long a caller has been retrying, from the time until its deadline.

After rejections or lost connections, many callers retry at the same time. Most of these retries
have already missed their target latency. The target latency is therefore counted from the
caller's first attempt, so that retries do not take slots from first attempts that can still meet
their target.
"""

from __future__ import annotations

import collections

# number of attempts per route whose remaining times until the deadline are stored
MAX_SAMPLES = 256
# number of attempts between two updates of the estimated timeout
SAMPLES_PER_UPDATE = 16
# the timeout of first attempts is estimated as this quantile of the remaining times, because the
# maximum may come from one caller with an unusually long timeout
FIRST_ATTEMPT_QUANTILE = 0.95
# the remaining times of first attempts on one route differ by about this fraction of the timeout
FIRST_ATTEMPT_SPREAD_FRACTION = 0.2


class CallerTimeoutEstimator:
    """Estimates the timeout that callers of one route set on first attempts.

    >>> estimator = CallerTimeoutEstimator()
    >>> for _ in range(64):
    ...     _ = estimator.estimate_elapsed_s(1.0)
    >>> round(estimator.estimate_elapsed_s(0.3), 3), estimator.estimate_elapsed_s(0.9)
    (0.5, 0.0)
    """

    __slots__ = ("_first_attempt_timeout_s", "_sample_count", "_samples_s")

    def __init__(self) -> None:
        self._samples_s: collections.deque[float] = collections.deque(maxlen=MAX_SAMPLES)
        self._sample_count = 0
        self._first_attempt_timeout_s = 0.0

    def estimate_elapsed_s(self, remaining_s: float) -> float:
        """Record one attempt and estimate the time since its caller's first attempt, in seconds.

        :param remaining_s: time until the caller's deadline, in seconds.
        """
        self._samples_s.append(remaining_s)
        self._sample_count += 1
        if self._sample_count % SAMPLES_PER_UPDATE == 0:
            ordered = sorted(self._samples_s)
            self._first_attempt_timeout_s = ordered[
                int(FIRST_ATTEMPT_QUANTILE * (len(ordered) - 1))
            ]
        return max(
            0.0,
            (1.0 - FIRST_ATTEMPT_SPREAD_FRACTION) * self._first_attempt_timeout_s - remaining_s,
        )
