"""Estimation of the delay before a hedged attempt, as a quantile of the observed latency."""

from __future__ import annotations

# quantile of the latency after which a hedge is sent
HEDGE_QUANTILE = 0.97
# largest change of an estimate by one sample, as a fraction of the estimate
STEP_FRACTION = 0.05
MEDIAN_QUANTILE = 0.5


class QuantileEstimator:
    """Streaming estimate of a quantile of latencies.

    Each sample raises or lowers the estimate by a fraction of the estimate. The size of the two
    steps is such that they cancel out when a fraction ``quantile`` of the samples is below the
    estimate.

    :param quantile: the estimated quantile, 0 to 1.

    >>> estimator = QuantileEstimator(quantile=0.5)
    >>> for _ in range(200):
    ...     estimator.record_latency(0.010); estimator.record_latency(0.030)
    >>> 0.009 < estimator.value_s < 0.032
    True
    """

    __slots__ = ("_decrease_factor", "_increase_factor", "value_s")

    def __init__(self, *, quantile: float) -> None:
        self._increase_factor = 1.0 + STEP_FRACTION * quantile
        self._decrease_factor = 1.0 - STEP_FRACTION * (1.0 - quantile)
        self.value_s = 0.0

    def record_latency(self, latency_s: float) -> None:
        """Update the estimate from one latency, in seconds."""
        if self.value_s == 0.0:
            self.value_s = latency_s
            return
        self.value_s *= (
            self._increase_factor if latency_s > self.value_s else self._decrease_factor
        )

    def record_cancelled_request(self, elapsed_s: float) -> None:
        """Update the estimate from a request that was cancelled before its response.

        Hedging cancels the slowest requests. Without these samples, the estimate would be too low.

        :param elapsed_s: time from sending the request to its cancellation, in seconds.
        """
        if elapsed_s > self.value_s > 0.0:
            self.value_s *= self._increase_factor
