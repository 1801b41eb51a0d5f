"""Decision when a hedge is started, from the latencies that a route has had.

A route in which a few requests take many times as long as the others gains by hedges, and one with
even latencies does not. An attempt is therefore overdue after a margin beyond the latency that
most attempts of its route stay below.
"""

from __future__ import annotations

import collections
import math
import typing as t

# quantile of the latency after which a hedge is sent
HEDGE_QUANTILE = 0.97
# largest change of an estimate by one sample, as a fraction of the estimate
STEP_FRACTION = 0.05
MEDIAN_QUANTILE = 0.5
# An attempt is overdue after OVERDUE_MARGIN_FACTOR times this quantile of its route's latencies. A
# uniform distribution from 0 ends at 1.11 times the quantile, so it has no overdue attempts. Up to
# a tenth of the requests may be slow before the quantile includes these.
OVERDUE_QUANTILE = 0.9
OVERDUE_MARGIN_FACTOR = 1.2
# latencies that are kept for each route at each service
MAX_LATENCY_SAMPLES = 64
# With fewer latencies of a route, the quantile says nothing. An attempt is overdue then after this
# multiple of the expected service time, which is also estimated from other services of the route.
MIN_LATENCY_SAMPLES = 10
OVERDUE_SERVICE_TIME_FACTOR = 1.6
# A hedge is also started if the server of the first attempt reports at least this slowness: the
# current service time on its host as a multiple of the normal one.
HEDGE_MIN_SLOWNESS = 1.8
# Time until a running attempt is first checked for hedging, and interval of further checks, in
# seconds.
FIRST_HEDGE_CHECK_S = 0.02
HEDGE_CHECK_INTERVAL_S = 0.01
# Hedges leave this fraction of the retry budget to retries.
HEDGE_RESERVED_BUDGET_FRACTION = 0.25
CAUSE_OVERDUE = "overdue"
CAUSE_SLOW_HOST = "slow-host"


class RouteLatencies:
    """The newest latencies of first attempts, by service and route.

    >>> latencies = RouteLatencies()
    >>> round(latencies.get_overdue_s("fit", "lookup", service_time_s=0.1), 2)
    0.16
    >>> for number in range(100):
    ...     latencies.record("fit", "lookup", 0.7 if number % 33 == 0 else 0.1)
    >>> round(latencies.get_overdue_s("fit", "lookup", service_time_s=0.1), 2)
    0.12
    >>> latencies.get_typical_s("fit", "lookup")
    0.1
    """

    __slots__ = ("_latencies_s", "_ordered_s")

    def __init__(self) -> None:
        self._latencies_s: dict[tuple[str, str], collections.deque[float]] = {}
        # each of these in ascending order, until a latency is added
        self._ordered_s: dict[tuple[str, str], list[float]] = {}

    def record(self, service: str, route_name: str, latency_s: float) -> None:
        """Record how long a first attempt took.

        :param latency_s: time until its response, or until it was cancelled because its hedge came
            first. The latter is longer than the quantile, whatever it would have been.
        """
        key = (service, route_name)
        if key not in self._latencies_s:
            self._latencies_s[key] = collections.deque(maxlen=MAX_LATENCY_SAMPLES)
        self._latencies_s[key].append(latency_s)
        self._ordered_s.pop(key, None)

    def get_overdue_s(self, service: str, route_name: str, *, service_time_s: float) -> float:
        """Return the time after which an attempt is overdue, in seconds.

        :param service_time_s: expected service time on a host of normal speed, in seconds.
        """
        quantile_s = self._get_quantile_s((service, route_name), OVERDUE_QUANTILE)
        if quantile_s is None:
            return OVERDUE_SERVICE_TIME_FACTOR * service_time_s
        return OVERDUE_MARGIN_FACTOR * quantile_s

    def get_typical_s(self, service: str, route_name: str) -> float:
        """Return the median latency of a route in seconds, infinite with few latencies."""
        median_s = self._get_quantile_s((service, route_name), MEDIAN_QUANTILE)
        return math.inf if median_s is None else median_s

    def _get_quantile_s(self, key: tuple[str, str], quantile: float) -> float | None:
        latencies_s = self._latencies_s.get(key, ())
        if len(latencies_s) < MIN_LATENCY_SAMPLES:
            return None
        ordered_s = self._ordered_s.get(key)
        if ordered_s is None:
            ordered_s = self._ordered_s[key] = sorted(latencies_s)
        return ordered_s[int(quantile * (len(ordered_s) - 1))]

    def retain_routes(self, route_names: t.Container[str]) -> None:
        """Forget the routes that are not among *route_names*."""
        for key in list(self._latencies_s):
            if key[1] not in route_names:
                del self._latencies_s[key]
                self._ordered_s.pop(key, None)


def find_hedge_cause(
    *, elapsed_s: float, overdue_s: float, slowness: float, queued_count: int
) -> str | None:
    """Return why a hedge is started now, ``None`` if none is started.

    A hedge would delay the requests that wait for the service, so none is started while any does.

    :param elapsed_s: time for which the first attempt has run, in seconds.
    :param overdue_s: time after which it is overdue, in seconds.
    :param slowness: slowness of its host as reported a short time ago.
    :param queued_count: number of requests that wait for a server of the service.

    >>> find_hedge_cause(elapsed_s=0.2, overdue_s=0.13, slowness=1.0, queued_count=0)
    'overdue'
    >>> find_hedge_cause(elapsed_s=0.2, overdue_s=0.13, slowness=1.0, queued_count=1) is None
    True
    """
    if queued_count > 0:
        return None
    if elapsed_s > overdue_s:
        return CAUSE_OVERDUE
    return CAUSE_SLOW_HOST if slowness >= HEDGE_MIN_SLOWNESS else None


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
