"""Service times of routes on hosts of normal speed, as estimated by one node.

A node of a large fleet sees few requests of each route at each service. Until it has seen some,
the route's estimate starts from its service time at other services. A route that is served much
faster than the average of a service would otherwise be treated as unable to meet its target there.
"""

from __future__ import annotations

# smoothing factor of the estimates once they rest on enough samples
EWMA_ALPHA = 0.05
DEFAULT_SERVICE_TIME_S = 0.1
# A sample counts at most as this multiple of the estimate, so that a single request at a stalled
# server changes it only slightly.
MAX_SAMPLE_FACTOR = 4.0
# Without any sample of a route, its service time is taken to be at most this fraction of its
# target latency, because operators set targets that servers of normal speed can meet.
MAX_INITIAL_TARGET_FRACTION = 0.5


class _Estimate:
    """Moving average whose first samples weigh more, so that it forgets its initial value soon."""

    __slots__ = ("_sample_count", "value_s")

    def __init__(self, initial_s: float) -> None:
        self.value_s = initial_s
        self._sample_count = 0

    def update(self, sample_s: float) -> None:
        alpha = max(EWMA_ALPHA, 1.0 / (self._sample_count + 2))
        self._sample_count += 1
        limited_s = min(sample_s, MAX_SAMPLE_FACTOR * self.value_s)
        self.value_s += alpha * (limited_s - self.value_s)


class ServiceTimes:
    """Estimated service times of each service, each route, and each route at each service.

    :param initial_s: average service time that is assumed of a service without requests.

    >>> times = ServiceTimes()
    >>> for _ in range(200):
    ...     times.record("archive", "history", 0.27)
    ...     times.record("tables", "state", 0.05)
    >>> round(times.get("archive"), 2), round(times.get("archive", "history"), 2)
    (0.27, 0.27)
    >>> round(times.get("archive", "state"), 2)  # not seen at this service yet
    0.05
    >>> times.get("archive", "move", target_s=0.4)
    0.2
    """

    __slots__ = ("_by_route", "_by_service", "_by_service_and_route", "_initial_s")

    def __init__(self, *, initial_s: float = DEFAULT_SERVICE_TIME_S) -> None:
        self._initial_s = initial_s
        self._by_service: dict[str, _Estimate] = {}
        self._by_route: dict[str, _Estimate] = {}
        self._by_service_and_route: dict[tuple[str, str], _Estimate] = {}

    def get(
        self, service: str, route_name: str | None = None, target_s: float | None = None
    ) -> float:
        """Return an estimate in seconds.

        :param route_name: ``None`` for the average over the requests to the service.
        :param target_s: target latency of the route, in seconds, which bounds the estimate of a
            route without samples.
        """
        if route_name is not None:
            known = self._by_service_and_route.get((service, route_name))
            known = known or self._by_route.get(route_name)
            if known is not None:
                return known.value_s
        average = self._by_service.get(service)
        average_s = self._initial_s if average is None else average.value_s
        if target_s is None:
            return average_s
        return min(average_s, MAX_INITIAL_TARGET_FRACTION * target_s)

    def record(
        self, service: str, route_name: str, sample_s: float, target_s: float | None = None
    ) -> None:
        """Record the service time of one request.

        :param target_s: target latency of the route, in seconds.
        """
        initial_s = self.get(service, route_name, target_s)
        if service not in self._by_service:
            self._by_service[service] = _Estimate(self._initial_s)
        self._by_service[service].update(sample_s)
        key = (service, route_name)
        if key not in self._by_service_and_route:
            self._by_service_and_route[key] = _Estimate(initial_s)
        self._by_service_and_route[key].update(sample_s)
        if route_name not in self._by_route:
            self._by_route[route_name] = _Estimate(initial_s)
        self._by_route[route_name].update(sample_s)

    def retain_routes(self, route_names: set[str]) -> None:
        """Forget the routes that are not among *route_names*."""
        for route_name in self._by_route.keys() - route_names:
            del self._by_route[route_name]
        for key in list(self._by_service_and_route):
            if key[1] not in route_names:
                del self._by_service_and_route[key]
