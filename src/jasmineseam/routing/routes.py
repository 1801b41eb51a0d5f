"""Routes: the mapping of requests to services, and the handling of each route's requests."""

from __future__ import annotations

import msgspec


class WeightedService(msgspec.Struct, kw_only=True, frozen=True):
    """One of the services that share a route.

    :param weight: traffic share, relative to the weights of the other services.
    """

    service: str
    weight: float = 1.0


class Route(msgspec.Struct, kw_only=True, frozen=True):
    """The operator's configuration for requests with one host and path prefix.

    :param path_prefix: begins and ends with a slash.
    :param idempotent: whether a request may be run more than once.
    :param services: at least one.
    :param max_attempts: maximum number of servers to which a request is sent.
    :param priority: 0 is the highest priority.
    :param timeout_s: maximum time from the arrival of a request until its response, in seconds,
        ``None`` for no limit.
    :param target_s: target latency in seconds, ``None`` for none.
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
    """The operator's configuration for one service.

    :param health_path: path that probes request.
    :param max_connections: connections that each server accepts from all clients, 0 for no limit.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0


class CallerLimits(msgspec.Struct, kw_only=True, frozen=True):
    """Limits on callers' requests and on idle connections of callers.

    :param header_bytes: maximum size of a request head, in bytes.
    :param body_bytes: maximum size of a request body, in bytes.
    :param header_timeout_s: maximum time in which a request head is received, in seconds.
    :param idle_timeout_s: maximum time for which a connection is idle, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


class RoutingTable(msgspec.Struct, kw_only=True, frozen=True):
    """One version of the operator's complete configuration."""

    version: int
    routes: list[Route]
    services: list[ServiceInfo]
    limits: CallerLimits = CallerLimits()


class RouteIndex:
    """Finds the route of a request in one version of the routing table.

    >>> wide = Route(name="wide", host="fit.example", path_prefix="/", idempotent=True,
    ...              services=[WeightedService(service="fitting")])
    >>> deep = Route(name="deep", host="fit.example", path_prefix="/order/", idempotent=False,
    ...              services=[WeightedService(service="fitting")])
    >>> index = RouteIndex(table=RoutingTable(version=1, routes=[wide, deep], services=[]))
    >>> index.find_route("fit.example", "/order/7").name
    'deep'
    >>> index.find_route("fit.example", "/order").name
    'wide'
    >>> index.find_route("other.example", "/") is None
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
        """Return the route with the longest prefix of a path, ``None`` if no route matches.

        :param host: host name without a port.
        :param path: path without a query.
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
    """Distributes the requests of each route by smooth weighted round robin over its services.

    A service with a weight of 0 gets no requests unless all weights of the route are 0.

    >>> balancer = WeightedRoundRobin()
    >>> route = Route(name="r", host="h", path_prefix="/", idempotent=True, services=[
    ...     WeightedService(service="a", weight=3), WeightedService(service="b", weight=1)])
    >>> [balancer.choose_service(route) for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """

    __slots__ = ("_current_weights",)

    def __init__(self) -> None:
        self._current_weights: dict[str, dict[str, float]] = {}

    def choose_service(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        services = route.services
        if len(services) == 1:
            return services[0].service
        current_weights = self._current_weights.setdefault(route.name, {})
        total = 0.0
        for candidate in services:
            current_weights[candidate.service] = (
                current_weights.get(candidate.service, 0.0) + candidate.weight
            )
            total += candidate.weight
        chosen = max(
            services,
            key=lambda candidate: current_weights[candidate.service] if candidate.weight else -1e9,
        )
        current_weights[chosen.service] -= total
        return chosen.service
