"""Routes: which service a request goes to, and how it is to be handled."""

from __future__ import annotations

import msgspec


class WeightedService(msgspec.Struct, kw_only=True, frozen=True):
    """One service among those that share a route.

    :param weight: its share, relative to the other weights.
    """

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, kw_only=True, frozen=True):
    """What the operator says of the requests with one host and path prefix.

    :param path_prefix: begins and ends with a slash.
    :param idempotent: whether a request may be run more than once.
    :param services: at least one.
    :param max_attempts: the most servers that one request may be sent to.
    :param priority: 0 is the most urgent.
    :param timeout_s: the longest that a request may be kept, in seconds, ``None`` for no limit.
    :param target_s: the latency to aim at, in seconds, ``None`` for none.
    """

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    services: list[WeightedService]
    max_attempts: int = 1
    priority: int = 0
    timeout_s: float | None = None
    target_s: float | None = None


class ServiceInfo(msgspec.Struct, kw_only=True, frozen=True):
    """What the operator says of one service.

    :param max_connections: that each server takes from all callers, 0 for no limit.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0


class CallerLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Bounds on what a caller may send, and for how long."""

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class RoutingTable(msgspec.Struct, kw_only=True, frozen=True):
    """One version of the operator's whole configuration."""

    version: int
    routes: list[Route]
    services: list[ServiceInfo]
    limits: CallerLimits = CallerLimits()


class RouteIndex:
    """Finds the route of a request in one version.

    >>> wide = Route(name="wide", host="fit.example", path_prefix="/", idempotent=True,
    ...              services=[WeightedService(service="fitting")])
    >>> deep = Route(name="deep", host="fit.example", path_prefix="/order/", idempotent=False,
    ...              services=[WeightedService(service="fitting")])
    >>> index = RouteIndex(table=RoutingTable(version=1, routes=[wide, deep], services=[]))
    >>> index.find("fit.example", "/order/7").name, index.find("fit.example", "/order").name
    ('deep', 'wide')
    >>> index.find("other.example", "/") is None
    True
    """

    __slots__ = ("_by_host", "services", "table")

    def __init__(self, *, table: RoutingTable) -> None:
        self.table = table
        self.services = {service.name: service for service in table.services}
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            by_prefix = self._by_host.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, ``None`` if there is none.

        :param host: without a port.
        :param path: without a query.
        """
        by_prefix = self._by_host.get(host.lower())
        if by_prefix is None:
            return None
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: slash + 1])
            if route is not None:
                return route
            end = slash
        return None


class WeightedRoundRobin:
    """Spreads the requests of each route over its services by weight.

    >>> counter = SplitCounter()
    >>> route = Route(name="r", host="h", path_prefix="/", idempotent=True, services=[
    ...     WeightedService(service="a", weight=3), WeightedService(service="b", weight=1)])
    >>> [counter.pick(route) for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """

    __slots__ = ("_credits",)

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def choose_service(self, route: Route) -> str:
        """Return the service of the route's next request."""
        services = route.services
        if len(services) == 1:
            return services[0].service
        held = self._credits.setdefault(route.name, {})
        total = 0.0
        for part in services:
            held[part.service] = held.get(part.service, 0.0) + part.weight
            total += part.weight
        chosen = max(services, key=lambda part: held[part.service] if part.weight else -1e9)
        held[chosen.service] -= total
        return chosen.service
