"""Dispatchers of all services, updated from the routing table and the server registry."""

from __future__ import annotations

import random
import time
import typing as t

from ..measuring.load_reports import DetailedLoadReport
from ..membership.registry import ServerRegistry
from ..routing.dispatch import Dispatcher
from ..routing.load import ServerLoad


class Dispatchers:
    """Holds one dispatcher for each service in the routing table.

    :param failure_domain: the failure domain of this node.
    :param registry: the registered servers.
    :param on_server_replaced: called with the address of a server that has restarted.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        registry: ServerRegistry,
        on_server_replaced: t.Callable[[str], None] = lambda address: None,
    ) -> None:
        self._failure_domain = failure_domain
        self._registry = registry
        self._on_server_replaced = on_server_replaced
        # end of the pause of each paused server, by its id and the Unix time of its start in
        # milliseconds; kept while the server is not listed
        self._paused_until: dict[tuple[str, int], float] = {}
        self._rng = random.Random()
        self._by_service: dict[str, Dispatcher] = {}
        # Number of nodes that send requests to the same servers.
        self.node_count = 1

    def list_all(self) -> list[Dispatcher]:
        """Return all dispatchers."""
        return list(self._by_service.values())

    def get(self, service: str) -> Dispatcher:
        """Return the dispatcher of a service; create it if there is none."""
        dispatcher = self._by_service.get(service)
        if dispatcher is None:
            dispatcher = Dispatcher(
                service=service,
                failure_domain=self._failure_domain,
                clock=time.monotonic,
                rng=self._rng,
            )
            dispatcher.node_count = self.node_count
            self._by_service[service] = dispatcher
            self._refresh_dispatcher(dispatcher)
        return dispatcher

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that send requests to the same servers."""
        self.node_count = count
        for dispatcher in self._by_service.values():
            dispatcher.node_count = count

    def find_server_load(self, server_id: str) -> tuple[Dispatcher, ServerLoad] | None:
        """Return the dispatcher and the load state of a server, ``None`` if it is unknown."""
        for dispatcher in self._by_service.values():
            load = dispatcher.loads.get(server_id)
            if load is not None:
                return dispatcher, load
        return None

    def pause_server(self, load: ServerLoad, until: float) -> None:
        """Send a server no requests and no probes until a time.

        :param until: monotonic time, in seconds; a later end that is already recorded stays.
        """
        now = time.monotonic()
        self._paused_until = {
            start: paused_until
            for start, paused_until in self._paused_until.items()
            if paused_until > now
        }
        load.paused_until = max(load.paused_until, until)
        self._paused_until[load.server_id, load.started_ms] = load.paused_until

    def record_report(
        self,
        dispatcher: Dispatcher,
        load: ServerLoad,
        report: DetailedLoadReport,
        observed_at: float,
    ) -> bool:
        """Record a load report unless a newer one is recorded; return whether it was recorded.

        :param observed_at: monotonic time at which the report was received, in seconds.
        """
        if not load.record_report(report, observed_at):
            return False
        dispatcher.average_slowness.record_slowness(report.slowness)
        return True

    def refresh_servers(self, services: t.Iterable[str]) -> None:
        """Update the dispatchers from the server registry.

        :param services: the services in the routing table.
        """
        for service in services:
            self._refresh_dispatcher(self.get(service))

    def _refresh_dispatcher(self, dispatcher: Dispatcher) -> None:
        now = time.monotonic()
        loads = {}
        for registered in self._registry.list_usable(dispatcher.service):
            server = registered.server
            load = dispatcher.loads.get(server.server_id)
            # Load state is created for a new server, and replaced if the address or the start time
            # of the server has changed.
            new_or_moved = load is None or load.address != server.address
            started_ms = registered.listing.started_ms
            if not new_or_moved and load.started_ms != started_ms:
                self._on_server_replaced(server.address)
            if new_or_moved or load.started_ms != started_ms:
                load = ServerLoad(
                    server_id=server.server_id,
                    address=server.address,
                    failure_domain=server.failure_domain,
                    slots=registered.listing.slots,
                    now=now,
                )
                load.started_ms = started_ms
                load.paused_until = self._paused_until.get((server.server_id, started_ms), 0.0)
            load.warmup_ends_at = registered.warmup_ends_at
            loads[server.server_id] = load
        dispatcher.loads = loads
