"""Choice between servers of this node's failure domain and servers elsewhere.

Answers the load of a failure domain whose own servers are too few for a while. A request leaves
the domain only if no own server can meet its target and one elsewhere can, or if leaving saves
more time than the round trip and the price of the bytes that it moves. What leaves is therefore
the part of the load that the own servers cannot carry in time, and of that the requests with small
bodies first. Each request is decided with load reports that were requested for it, so nodes that
see the same free servers do not act on an old summary together.
"""

from __future__ import annotations

import typing as t

from .placement import ServerEstimate

# Bytes of the heads of a request and its response, and of the probes for them.
OVERHEAD_BYTES = 1500
RESPONSE_SIZE_EWMA_ALPHA = 0.1
# A round trip that was measured once is given up in favour of longer ones with this weight, since
# a response may have been delayed, and never in favour of shorter ones.
ROUND_TRIP_EWMA_ALPHA = 0.02
# Estimates leave out how long a request waits for the turn of its node and of its server's host.
TARGET_MARGIN_FACTOR = 1.2


class RoundTrips:
    """Shortest usual round trip to the servers of each failure domain.

    >>> trips = RoundTrips()
    >>> trips.record("d1", 0.004); trips.record("d2", 0.0102); trips.record("d1", 0.0002)
    >>> trips.get_extra_s("d2", own="d1")
    0.01
    >>> trips.get_extra_s("d3", own="d1")
    0.0
    """

    __slots__ = ("_by_domain",)

    def __init__(self) -> None:
        self._by_domain: dict[str, float] = {}

    def record(self, failure_domain: str, round_trip_s: float) -> None:
        """Record the time between a probe and the head of its response, in seconds."""
        known_s = self._by_domain.get(failure_domain)
        if known_s is None or round_trip_s < known_s:
            self._by_domain[failure_domain] = round_trip_s
            return
        limited_s = min(round_trip_s, 2 * known_s)
        self._by_domain[failure_domain] = known_s + ROUND_TRIP_EWMA_ALPHA * (limited_s - known_s)

    def get_s(self, failure_domain: str) -> float:
        """Return the round trip to a failure domain in seconds, 0 if not known."""
        return self._by_domain.get(failure_domain, 0.0)

    def get_extra_s(self, failure_domain: str, *, own: str) -> float:
        """Return how much longer the round trip is than in the own domain, 0 if not known."""
        if failure_domain not in self._by_domain or own not in self._by_domain:
            return 0.0
        return max(0.0, self._by_domain[failure_domain] - self._by_domain[own])


class TransferPrices:
    """Price of sending a request to another failure domain, as a time that it must save.

    :param price_s_per_mb: price of a megabyte between failure domains, in seconds; 0 if only time
        counts.

    >>> prices = TransferPrices(price_s_per_mb=5.0)
    >>> for _ in range(50):
    ...     prices.record_response("download", 2_000_000)
    >>> round(prices.get_price_s("download", 0)), round(prices.get_price_s("lookup", 0), 4)
    (10, 0.0075)
    >>> TransferPrices(price_s_per_mb=0.0).get_price_s("download", 10_000_000)
    0.0
    """

    __slots__ = ("_response_bytes", "price_s_per_mb")

    def __init__(self, *, price_s_per_mb: float) -> None:
        self.price_s_per_mb = price_s_per_mb
        # moving average of the size of responses, by name of the route
        self._response_bytes: dict[str, float] = {}

    def record_response(self, route_name: str, body_bytes: int) -> None:
        """Record the size of the body of a response."""
        known = self._response_bytes.get(route_name)
        if known is None:
            self._response_bytes[route_name] = float(body_bytes)
            return
        self._response_bytes[route_name] = known + RESPONSE_SIZE_EWMA_ALPHA * (body_bytes - known)

    def get_response_bytes(self, route_name: str) -> int:
        """Return the average size of the bodies of a route's responses, in bytes."""
        return int(self._response_bytes.get(route_name, 0.0))

    def get_price_s(self, route_name: str, body_bytes: int) -> float:
        """Return the price of one request, in seconds.

        :param body_bytes: size of the body of the request.
        """
        size = OVERHEAD_BYTES + body_bytes + self._response_bytes.get(route_name, 0.0)
        return self.price_s_per_mb * size / 1e6

    def retain_routes(self, route_names: set[str]) -> None:
        """Forget the routes that are not among *route_names*."""
        for route_name in self._response_bytes.keys() - route_names:
            del self._response_bytes[route_name]


def choose_domain(
    own: ServerEstimate | None,
    other: ServerEstimate | None,
    *,
    service_time_s: float,
    time_to_target_s: float,
    price_s: float,
) -> ServerEstimate | None:
    """Return the better one of a server of the own failure domain and one of another.

    :param own: the best server of the own failure domain, ``None`` if there is none.
    :param other: the best server of the other failure domains, with the time of the longer network
        path in its latency, ``None`` if there is none.
    :param service_time_s: expected service time on a host of normal speed, in seconds.
    :param time_to_target_s: time until the target of the request, in seconds.
    :param price_s: price of sending the request there, as a time that it must save.
    """
    if own is None or other is None:
        return own or other
    own_s = own.latency_factor * service_time_s
    other_s = other.latency_factor * service_time_s
    own_in_time = TARGET_MARGIN_FACTOR * own_s <= time_to_target_s
    if not own_in_time and TARGET_MARGIN_FACTOR * other_s <= time_to_target_s:
        return other
    return other if own_s - other_s > price_s else own


def split_by_domain(
    loads: t.Iterable[t.Any], failure_domain: str
) -> tuple[list[t.Any], list[t.Any]]:
    """Return the servers of a failure domain, and those of all others."""
    own = []
    others = []
    for load in loads:
        (own if load.failure_domain == failure_domain else others).append(load)
    return own, others
