"""When to send a second attempt of an idempotent request: at a learnt quantile of latency."""

from __future__ import annotations

HEDGE_QUANTILE = 0.97
RELATIVE_STEP = 0.05
MEDIAN_QUANTILE = 0.5


class QuantileEstimator:
    """A quantile of a stream of latencies, followed step by step.

    Each sample moves the estimate up or down by a share of itself, so that it settles where the
    quantile's share of samples lies below.

    :param quantile: 0 to 1.

    >>> estimate = QuantileEstimate(quantile=0.5)
    >>> for _ in range(200):
    ...     estimate.note(0.010); estimate.note(0.030)
    >>> 0.009 < estimate.value_s < 0.032
    True
    """

    __slots__ = ("_down", "_up", "value_s")

    def __init__(self, *, quantile: float) -> None:
        self._up = 1.0 + RELATIVE_STEP * quantile
        self._down = 1.0 - RELATIVE_STEP * (1.0 - quantile)
        self.value_s = 0.0

    def record(self, latency_s: float) -> None:
        """Learn from one latency, in seconds."""
        if self.value_s == 0.0:
            self.value_s = latency_s
            return
        self.value_s *= self._up if latency_s > self.value_s else self._down

    def record_unfinished(self, elapsed_s: float) -> None:
        """Learn from a request that was given up unfinished after a time, in seconds.

        Without these the estimate would sink: hedging cuts off just the longest ones.
        """
        if elapsed_s > self.value_s > 0.0:
            self.value_s *= self._up
