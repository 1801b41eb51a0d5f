"""Routes: the mapping of requests to services, and the handling of each route's requests."""

from __future__ import annotations

import hashlib

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
    :param public: whether requests need no key of a client account.
    :param home_regions: regions whose servers may receive the requests, empty for all.
    :param large_bodies: whether requests are uploads, whose bodies are large.
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
    public: bool = False
    home_regions: list[str] = []
    large_bodies: bool = False


class ServiceInfo(msgspec.Struct, kw_only=True, frozen=True):
    """The operator's configuration for one service.

    :param health_path: path that probes request.
    :param max_connections: connections that each server accepts from all clients, 0 for no limit.
    :param warmup_s: time for which a server is cold after its start, in seconds.
    :param warmup_requests_per_s: requests per second that a cold server accepts from all nodes
        together, 0 for no limit.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 0
    warmup_s: float = 0.0
    warmup_requests_per_s: float = 0.0


class ClientAccount(msgspec.Struct, kw_only=True, frozen=True):
    """The operator's configuration for one client account.

    :param key_hashes: digests of the account's keys, see :func:`hash_key`. The keys themselves are
        not part of the routing table, which nodes send each other.
    :param requests_per_s: quota of all nodes together, 0 for no limit.
    :param burst: number of requests that the quota allows in addition to its rate.
    :param priority: 0 is the highest priority; it precedes the priority of the route.
    :param home_regions: regions whose servers may receive the requests, empty for all.
    """

    name: str
    key_hashes: list[bytes]
    requests_per_s: float = 0.0
    burst: float = 0.0
    priority: int = 0
    home_regions: list[str] = []


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
    accounts: list[ClientAccount] = []


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

    __slots__ = ("_account_by_key_hash", "_by_host", "services", "table")

    def __init__(self, *, table: RoutingTable) -> None:
        self.table = table
        self.services = {service.name: service for service in table.services}
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            by_prefix = self._by_host.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route
        self._account_by_key_hash = {
            key_hash: account for account in table.accounts for key_hash in account.key_hashes
        }

    @property
    def requires_keys(self) -> bool:
        """Whether a request needs the key of a client account, unless its route is public."""
        return bool(self.table.accounts)

    def find_account(self, key: str) -> ClientAccount | None:
        """Return the client account that holds a key, ``None`` if there is none."""
        return self.find_account_by_hash(hash_key(key))

    def find_account_by_hash(self, key_hash: bytes) -> ClientAccount | None:
        """Return the client account that holds a key with this digest, ``None`` if none does."""
        return self._account_by_key_hash.get(key_hash)

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


def hash_key(key: str) -> bytes:
    """Return the digest by which a client account's key is known to the nodes.

    Keys may contain any characters that a header can.

    >>> hash_key("k1") == hash_key("k1"), hash_key("k1") == hash_key("k2"), len(hash_key("k1"))
    (True, False, 32)
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).digest()


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
