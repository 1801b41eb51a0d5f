"""Servers that are cold, according to the server list and to their responses."""

from __future__ import annotations

import time
import typing as t

import logbook

from ..membership.registry import RegisteredServer
from ..membership.registry import ServerRegistry
from ..membership.request_limits import RequestLimit
from ..membership.request_limits import RequestLimits
from ..routing.routes import ServiceInfo

_logger = logbook.Logger("limits")


class Warmups:
    """Finds out which servers of services with a warm-up limit are cold.

    The server list names the time that is left in a new listing. Health responses name it as well,
    and may turn a server cold at any moment.

    :param registry: the registered servers.
    :param request_limits: receives the limits of cold servers.
    """

    __slots__ = ("_observed_listings", "_registry", "_request_limits", "_services")

    def __init__(self, *, registry: ServerRegistry, request_limits: RequestLimits) -> None:
        self._registry = registry
        self._request_limits = request_limits
        self._services: dict[str, ServiceInfo] = {}
        # the start and the end of the warm-up of each listing that was observed, by server id
        self._observed_listings: dict[str, tuple[int, float]] = {}

    def set_services(self, services: t.Iterable[ServiceInfo]) -> None:
        """Set the services of the routing table."""
        self._services = {
            service.name: service for service in services if service.warmup_requests_per_s > 0.0
        }

    def is_limited(self, service: str) -> bool:
        """Return whether the requests to cold servers of a service are limited."""
        return service in self._services

    def observe_listings(self) -> None:
        """Record the limits of the servers that are cold according to the server list."""
        observed = {}
        for name, service in self._services.items():
            count = 0
            for registered in self._registry.list_usable(name):
                server_id = registered.server.server_id
                listing = (registered.listing.started_ms, registered.cold_until)
                known = self._observed_listings.get(server_id)
                observed[server_id] = listing
                if known != listing:
                    count += self._observe_listing(
                        registered, service, restarted=known is None or known[0] != listing[0]
                    )
            if count:
                _logger.info(
                    "{} servers of service {} are cold according to the server list; each accepts "
                    "{:g} requests/s from all nodes.",
                    count,
                    name,
                    service.warmup_requests_per_s,
                )
        self._observed_listings = observed

    def observe_response(
        self, server_id: str, started_ms: int, left_s: float, *, sent_at: float
    ) -> RequestLimit | None:
        """Record for how long a server will be cold; return its limit if it changed.

        :param started_ms: Unix time of the server's start, in milliseconds.
        :param left_s: time for which the server will be cold, in seconds.
        :param sent_at: monotonic time at which the request was sent, in seconds.
        """
        registered = self._registry.get_server(server_id)
        service = None if registered is None else self._services.get(registered.server.service)
        if service is None:
            return None
        return self._request_limits.observe_warmup(
            server_id, started_ms, service.warmup_requests_per_s, left_s, sent_at=sent_at
        )

    def _observe_listing(
        self, registered: RegisteredServer, service: ServiceInfo, *, restarted: bool
    ) -> bool:
        now = time.monotonic()
        listing = registered.listing
        left_s = registered.cold_until - now
        if restarted and listing.started_ms:
            # The listing may not name the time that is left. The clocks of the server and of this
            # node may differ, so the time since the start counts as at least 0.
            age_s = max(0.0, time.time_ns() / 1e9 - listing.started_ms / 1000)
            left_s = max(left_s, service.warmup_s - age_s)
        if left_s <= 0.0:
            return False
        known = self._request_limits.get_warmup(registered.server.server_id)
        limit = self._request_limits.observe_warmup(
            registered.server.server_id,
            listing.started_ms,
            service.warmup_requests_per_s,
            left_s,
            sent_at=float("-inf"),
        )
        return known is None and limit is not None
