"""The dispatchers of all services, kept up with the routing table and the list of servers."""

from __future__ import annotations

import random
import time
import typing as t

from ..measuring.load_reports import ServerReport
from ..membership.registry import ServerRegistry
from ..routing.dispatch import Dispatcher
from ..routing.load import ServerLoad


class Dispatchers:
    """One dispatcher for each service that the routing table names.

    :param failure_domain: the node's own.
    :param registry: the servers.
    """

    def __init__(self, *, failure_domain: str, registry: ServerRegistry) -> None:
        self._failure_domain = failure_domain
        self._registry = registry
        self._chooser = random.Random()
        self._by_service: dict[str, Dispatcher] = {}
        # nodes that share the servers
        self.node_count = 1

    def list_all(self) -> list[Dispatcher]:
        """Return all dispatchers."""
        return list(self._by_service.values())

    def get(self, service: str) -> Dispatcher:
        """Return the dispatcher of a service."""
        dispatcher = self._by_service.get(service)
        if dispatcher is None:
            dispatcher = Dispatcher(
                service=service,
                failure_domain=self._failure_domain,
                clock=time.monotonic,
                rng=self._chooser,
            )
            dispatcher.node_count = self.node_count
            self._by_service[service] = dispatcher
            self._refresh_one(dispatcher)
        return dispatcher

    def set_node_count(self, count: int) -> None:
        """Take the number of nodes that share the servers."""
        self.node_count = count
        for dispatcher in self._by_service.values():
            dispatcher.node_count = count

    def find_server_load(self, server_id: str) -> tuple[Dispatcher, ServerLoad] | None:
        """Return what is known of a server, with its dispatcher."""
        for dispatcher in self._by_service.values():
            load = dispatcher.loads.get(server_id)
            if load is not None:
                return dispatcher, load
        return None

    def record_report(
        self, dispatcher: Dispatcher, load: ServerLoad, report: ServerReport, observed_at: float
    ) -> bool:
        """Take a load report; returns whether it is news."""
        if not load.record_report(report, observed_at):
            return False
        dispatcher.slowness.record(report.slowness)
        return True

    def refresh_servers(self, services: t.Iterable[str]) -> None:
        """Take what has changed in the list of servers.

        :param services: those that the routing table names.
        """
        for service in services:
            self._refresh_one(self.get(service))

    def _refresh_one(self, dispatcher: Dispatcher) -> None:
        now = time.monotonic()
        loads = {}
        for listed in self._registry.list_usable(dispatcher.service):
            server = listed.server
            load = dispatcher.loads.get(server.server_id)
            changed = load is None or load.address != server.address
            if changed or load.started_ms != listed.listing.started_ms:
                load = ServerLoad(
                    server_id=server.server_id,
                    address=server.address,
                    failure_domain=server.failure_domain,
                    slots=listed.listing.slots,
                    now=now,
                )
                load.started_ms = listed.listing.started_ms
            load.warmup_ends_at = listed.warmup_ends_at
            loads[server.server_id] = load
        dispatcher.loads = loads
