"""The node daemon, for VMs that run a single process.

It combines the entry, which proxies the requests of callers, the agent, which tracks nodes and
servers, and the locator, which returns the addresses of entries to callers.
"""

from __future__ import annotations

import asyncio
import collections
import math
import random
import time
import typing as t

import msgspec

from ..exceptions import InvariantError
from ..exceptions import SettingsError
from ..fleet.spreading import Fleet
from ..fleet.spreading import FleetHandlers
from ..fleet.state_sync import StateSynchronizer
from ..fleet.store_protocol import MetadataStoreProtocol
from ..fleet.store_protocol import NodeRecord
from ..fleet.store_watcher import MAX_CHANGES_PER_NOTICE
from ..fleet.store_watcher import StoreWatcher
from ..membership.nodes import OWN_MESSAGE_KINDS
from ..membership.nodes import NodeInfo
from ..membership.registry import ServerRegistry
from ..operations.daemon import Daemon
from ..operations.node_settings import NodeOptions
from ..operations.node_settings import NodeSettings
from ..operations.output import LineOutput
from ..operations.request_log import RequestLog
from ..peers.datagrams import DatagramEndpoint
from ..peers.messages import FleetMessage
from ..peers.messages import Message
from ..peers.messages import QuotaMessage
from ..peers.messages import RefusedReply
from ..peers.messages import RelayCancellation
from ..peers.messages import RelayedRequest
from ..peers.messages import ServersNotice
from ..peers.messages import StateRequest
from ..requests.protocol import HeaderCodec
from ..routing.routes import RoutingTable
from .endpoints import EndpointConfig
from .endpoints import NodeEndpoints
from .entry_selection import LocatorQuery
from .entry_selection import choose_entry_nodes
from .entry_selection import find_home_regions
from .evacuation_notices import EvacuationNotices
from .fleet_notices import FleetNotices
from .gateway import Gateway
from .listeners import HttpListeners
from .load_prober import LoadProber
from .metrics import add_node_metrics
from .path_checker import PathChecker
from .probe_grants import ProbeGrants
from .quotas import NodeQuotas
from .relays import RelayClient
from .relays import RelayServer

MAINTENANCE_INTERVAL_S = 0.5
DRAIN_POLL_INTERVAL_S = 0.02
TASK_RESTART_DELAY_S = 0.5
# After the stop signal, new connections of callers are accepted until this fraction of the grace
# period has passed, which gives callers time to switch to other nodes.
LISTENING_GRACE_FRACTION = 0.45
# Running requests may finish until this fraction of the grace period has passed. The others are
# answered then, and the responses sent until the later one.
DRAINING_GRACE_FRACTION = 0.91
ANSWERING_GRACE_FRACTION = 0.94


class Node(Daemon):
    """The daemon of one node.

    :param settings: the settings of the deployment.
    :param options: the operator's options for this node.
    :param open_store: opens the metadata store and returns it with the function that closes it;
        called when the event loop is running.
    :param header_codec: decodes and encodes the headers of requests and responses.
    :param endpoint_config: paths and formats of the readiness and locator endpoints.
    :param output: receives the log lines.
    :param reload_settings: reads the settings of the deployment again; raises
        :exc:`SettingsError`. ``None`` if the settings cannot be reloaded.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        options: NodeOptions,
        open_store: t.Callable[
            [], tuple[MetadataStoreProtocol, t.Callable[[], t.Awaitable[None]]]
        ],
        header_codec: HeaderCodec,
        endpoint_config: EndpointConfig,
        output: LineOutput,
        reload_settings: t.Callable[[], NodeSettings] | None = None,
    ) -> None:
        port = int(settings.listeners.peers.rpartition(":")[2])
        super().__init__(
            vm_id=settings.vm.id,
            address=settings.vm.address,
            metric_settings=options.metrics,
            role="node",
            control_port=port,
        )
        self.settings = settings
        self.options = options
        self._open_store = open_store
        self._header_codec = header_codec
        self._endpoint_config = endpoint_config
        self._output = output
        self._reload_settings = reload_settings
        self._leaving = False
        # restarts of background tasks after unexpected errors, by name of the task
        self.task_restarts: collections.Counter[str] = collections.Counter()
        self._listeners: HttpListeners | None = None
        self.registry = ServerRegistry(
            clock=time.monotonic,
            on_change=self._handle_server_change,
            reconnect_s=settings.reconnect_s,
        )
        self.request_log = RequestLog(write=output.write, lines_per_s=options.log_lines_per_s)
        self.gateway = Gateway(
            node_id=settings.vm.id,
            failure_domain=settings.vm.failure_domain,
            header_codec=header_codec,
            registry=self.registry,
            retry_limits=settings.retries,
            request_log=self.request_log,
            caller_round_trip_s=options.caller_round_trip_s,
            transfer_price_s_per_mb=options.transfer_price_ms_per_mb / 1000,
        )
        self.path_checker = PathChecker(
            dispatchers=self.gateway.dispatchers, get_connections=lambda: self.gateway.connections
        )
        self.relay_client = RelayClient(
            node_id=settings.vm.id,
            header_codec=header_codec,
            get_peer_client=lambda address: self.peer_clients.get(address),
            list_candidates=self._list_relay_candidates,
        )
        self.gateway.attempts.relay = self.relay_client.run
        self.gateway.attempts.wait_for_verdict = self.path_checker.wait_for_verdict
        self.gateway.dispatchers.regions = settings.regions
        self.relay_client.get_region = lambda domain: self.settings.regions.get(domain, "")
        self.relay_client.on_result = self.path_checker.record_relay_result
        self.path_checker.on_change = lambda: self.fleet.update_own(
            lost_services=self.path_checker.list_own_losses()
        )
        self.relay_server = RelayServer(
            run=self.gateway.attempts.run,
            authenticate=self.gateway.authenticator.authenticate_relayed,
            is_leaving=lambda: self._leaving,
            record=self.gateway.record_relayed,
            running_requests=self.gateway.running_requests,
        )
        self._notices = FleetNotices(gateway=self.gateway, registry=self.registry)
        self.evacuation_notices = EvacuationNotices(gateway=self.gateway, registry=self.registry)
        # whether this node has once had all the state that it needs to accept requests
        self._complete = False
        self.gateway.on_server_leaving = self._notices.report_departure
        self.gateway.on_request_limit = self._notices.report_request_limit
        self.gateway.dispatchers.list_share_candidates = self._notices.list_share_candidates
        self.gateway.dispatchers.list_warmup_candidates = self._notices.list_warmup_candidates
        self.gateway.dispatchers.warmup_settings = settings.warmup
        self.gateway.attempts.crash_detector.publish = self._notices.report_crashes
        self.gateway.attempts.crash_detector.may_try = self._notices.sends_trial
        self.datagrams = DatagramEndpoint(handler=self._handle_datagram)
        self.state_sync = StateSynchronizer(
            registry=self.registry,
            request_limits=self.gateway.request_limits,
            quarantine=self.gateway.attempts.quarantine,
            peer_clients=self.peer_clients,
            get_table=lambda: self.gateway.routing_table,
            apply_table=self._apply_routing_table,
            add_request_limits=self._notices.add_request_limits,
            add_crashes=self._notices.add_crashes,
            evacuations=self.evacuation_notices.evacuations,
            apply_evacuations=self.evacuation_notices.add,
        )
        self.fleet = Fleet(
            own=NodeInfo(
                vm_id=settings.vm.id,
                version=time.time_ns() // 1_000_000,
                failure_domain=settings.vm.failure_domain,
                entry_address=settings.listeners.entry,
                notice_address=settings.listeners.notices,
                peer_address=settings.listeners.peers,
                evacuated=[],
                message_kinds=OWN_MESSAGE_KINDS,
                grants_quotas=True,
            ),
            contacts=settings.seed_peers,
            send=self.datagrams.send,
            handlers=FleetHandlers(
                get_digest=self.state_sync.build_digest,
                on_digest=self.state_sync.handle_digest,
                add_departures=self._notices.add_departures,
                add_request_limits=self._notices.add_request_limits,
                add_crashes=self._notices.add_crashes,
                apply_servers=self.state_sync.apply_notice,
                on_nodes_changed=self._apply_node_count,
                apply_evacuations=self.evacuation_notices.add,
            ),
            clock=time.monotonic,
            rng=random.Random(),
        )
        self._notices.fleet = self.evacuation_notices.fleet = self.fleet
        confirmation = self.state_sync.table_confirmation
        confirmation.get_node_count = self.fleet.membership.count
        self.gateway.authenticator.set_freshness(
            confirmation, fail_closed=settings.fail_closed, max_age_s=settings.key_revocation_s
        )
        self.probe_grants = ProbeGrants(
            membership=self.fleet.membership,
            registry=self.registry,
            dispatchers=self.gateway.dispatchers,
            get_limit=lambda: self.settings.probes_per_s,
            send=self.datagrams.send,
        )
        self.quotas = NodeQuotas(
            membership=self.fleet.membership,
            send=self.datagrams.send,
            settings=settings.quotas,
        )
        self.gateway.take_token = self.quotas.take
        self.gateway.give_back_token = self.quotas.give_back

    @property
    def ready(self) -> bool:
        """Whether this node accepts requests of callers.

        A node that has just started waits for evacuations that another node has announced.
        """
        if not self._complete:
            self._complete = (
                self.gateway.routing_table is not None
                and self.registry.loaded
                and not self.state_sync.lacks_evacuations()
            )
        return self._complete and not self._leaving

    async def on_start(self) -> None:
        """Start the listeners and the tasks that track the store, the peers and server load."""
        await super().on_start()
        await self.datagrams.open(self.settings.listeners.notices)
        store, self._close_store = self._open_store()
        self.store_watcher = StoreWatcher(
            store=store,
            registry=self.registry,
            on_routing_table=self._apply_routing_table,
            on_server_changes=self._publish_server_changes,
            get_rank=self.fleet.get_reader_rank,
            get_node_count=self.fleet.membership.count,
            set_reachable=lambda reachable: self.fleet.update_own(reads_store=reachable),
            add_contact=self.fleet.add_contact,
            own_record=NodeRecord(
                vm_id=self.settings.vm.id, peer_address=self.settings.listeners.notices
            ),
            first_start=self.settings.first_start,
            confirm_routing_table=self.state_sync.table_confirmation.confirm,
            needs_routing_table=self.state_sync.table_confirmation.needs_read,
            on_evacuations=self.evacuation_notices.report,
        )
        self.prober = LoadProber(
            gateway=self.gateway,
            header_codec=self._header_codec,
            options=self.options.probes,
            max_probes_per_s=self.settings.probes_per_s,
            grants=self.probe_grants,
        )
        self.gateway.attempts.refresh_loads = self.prober.refresh_loads
        self.path_checker.probe = self.prober.send_probe
        self._apply_node_count()
        for run_forever in (
            self.store_watcher.watch_routing_table,
            self.store_watcher.watch_servers,
            self.store_watcher.expire_servers_forever,
            self._watch_nodes,
            self.fleet.run_forever,
            self.quotas.run_forever,
            self._run_maintenance_forever,
            self._output.flush_periodically,
        ):
            self.add_future(self._run_supervised(run_forever))
        self._listeners = self._build_listeners()
        await self._listeners.start()
        add_node_metrics(
            self.meter_provider,
            gateway=self.gateway,
            prober=self.prober,
            probe_grants=self.probe_grants,
            path_checker=self.path_checker,
            relay_client=self.relay_client,
            quotas=self.quotas,
            registry=self.registry,
            request_log=self.request_log,
            output=self._output,
            evacuations=self.evacuation_notices.evacuations,
        )

    async def handle_message(self, message: Message) -> Message:
        """Handle a request of another node."""
        if isinstance(message, StateRequest):
            return self.state_sync.handle_request(message)
        if isinstance(message, RelayedRequest):
            return await self.relay_server.handle(message)
        if isinstance(message, RelayCancellation):
            return self.relay_server.cancel(message)
        return RefusedReply(reason=f"node takes no {type(message).__name__}")

    def reload(self) -> None:
        """Apply changed settings; if the settings file is invalid, keep the current settings."""
        if self._reload_settings is None:
            return
        try:
            settings = self._reload_settings()
        except SettingsError as error:
            self.logger.error("Reload failed; keeping the current settings: {}", error)
            return
        current = self.settings
        if (settings.vm, settings.listeners) != (current.vm, current.listeners):
            self.logger.warning("Changed VM or listener settings take effect after a restart.")
        self.settings = msgspec.structs.replace(
            settings, vm=current.vm, listeners=current.listeners
        )
        self.gateway.attempts.set_retry_limits(settings.retries)
        self.gateway.dispatchers.warmup_settings = settings.warmup
        self.gateway.dispatchers.regions = settings.regions
        self.gateway.refresh_servers()
        self.prober.max_probes_per_s = settings.probes_per_s
        self.gateway.authenticator.set_freshness(
            self.state_sync.table_confirmation,
            fail_closed=settings.fail_closed,
            max_age_s=settings.key_revocation_s,
        )
        for address in settings.seed_peers:
            self.fleet.add_contact(address)
        self.logger.info("Settings reloaded.")

    def _handle_datagram(self, message: Message) -> None:
        if isinstance(message, FleetMessage):
            self.fleet.handle(message)
        elif isinstance(message, QuotaMessage):
            self.quotas.handle(message)
        else:
            self.probe_grants.handle(message)

    async def stop_gracefully(self) -> None:
        """Announce the stop to the peers, stop listening, and wait for running requests to finish.

        Listening and waiting both end within the grace period.
        """
        started_at = time.monotonic()
        grace_s = self.settings.grace_s
        self._leaving = True
        self.gateway.draining = True
        self._publish_own_state(urgent=True)
        await asyncio.sleep(LISTENING_GRACE_FRACTION * grace_s)
        await self._listeners.stop_accepting_callers()
        if not await self._drain_until(started_at + DRAINING_GRACE_FRACTION * grace_s):
            count = self.gateway.running_requests.end()
            if count:
                self.logger.warning(
                    "Ending {} requests that servers have not answered by the end of the grace "
                    "period; callers get 504, or 503 if nothing was sent.",
                    count,
                )
            await self._drain_until(started_at + ANSWERING_GRACE_FRACTION * grace_s)
        self.logger.info(
            "Drain ended with {} unfinished requests after {:.2f} s; closing all connections.",
            self.gateway.in_flight,
            time.monotonic() - started_at,
        )

    async def _drain_until(self, ends_at: float) -> bool:
        """Wait until all requests have ended and callers' connections are closed.

        :param ends_at: monotonic time until which to wait at most, in seconds.
        :returns: whether nothing is left.
        """
        caller_server = self._listeners.caller_server
        while time.monotonic() < ends_at:
            caller_server.close_idle_connections()
            in_flight = self.gateway.in_flight + self.relay_server.in_flight
            if in_flight == 0 and not caller_server.connections:
                return True
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)
        return False

    async def on_stop(self) -> None:
        """Close all listeners and connections."""
        self.fleet.close()
        self.state_sync.close()
        self.path_checker.close()
        self.datagrams.close()
        if self._listeners is not None:
            await self._listeners.close()
        self.gateway.connections.close()
        await super().on_stop()
        self._output.flush()

    async def on_shutdown(self) -> None:
        """Close the metadata store, which background tasks may read until they have ended."""
        await super().on_shutdown()
        await self._close_store()

    def collect_state(self) -> dict[str, t.Any]:
        """Return the part of the state dump that describes this node."""
        table = self.gateway.routing_table
        return {
            "ready": self.ready,
            "leaving": self._leaving,
            "table_version": -1 if table is None else table.version,
            "table_age_s": _round_age(self.state_sync.table_confirmation.get_age_s()),
            "client_accounts": 0 if table is None else len(table.accounts),
            "refused_keys": dict(self.gateway.authenticator.refusal_counts),
            "servers": self.registry.count_usable(),
            "servers_age_s": round(self.registry.get_list_age_s(), 3),
            "evacuations": self.evacuation_notices.describe(),
            "in_flight": self.gateway.in_flight,
            "read_ahead": dict(self.gateway.read_ahead_counts),
            "held_body_bytes": self.gateway.held_bodies.size,
            "request_shares": self.gateway.dispatchers.get_request_shares(),
            "cold_servers": {
                limit.server_id: round(limit.left_s, 3)
                for limit in self.gateway.request_limits.list_warmups()
            },
            "relayed": dict(self.relay_client.outcome_counts),
            "relaying": self.relay_server.in_flight,
            "lost_paths": self.path_checker.list_lost_services(),
            "quotas": {
                "results": dict(self.quotas.result_counts),
                "granted": self.quotas.count_granted(),
            },
            "quarantined": self.gateway.attempts.quarantine.count_quarantined(),
            "task_restarts": dict(self.task_restarts),
            "outcomes": dict(self.gateway.outcome_counts),
            "failed_attempts": dict(self.gateway.attempts.failure_counts),
            "nodes": self.fleet.membership.list_statuses(),
            "reads_store": self.store_watcher.is_reader(),
            "services": {
                dispatcher.name: {
                    "queued": dispatcher.count_queued(),
                    "usual_s": round(dispatcher.service_time_s, 4),
                    "slowness": round(dispatcher.average_slowness.value, 2),
                    "servers": {
                        load.server_id: {
                            "in_flight": load.count_in_flight(time.monotonic()),
                            "own": len(load.request_start_times),
                        }
                        for load in dispatcher.loads.values()
                    },
                }
                for dispatcher in self.gateway.dispatchers.list_all()
            },
            "probes": {
                "sent": self.prober.sent_count,
                "failed": self.prober.failed_count,
                "invalid": self.prober.invalid_count,
                "granted_services": self.probe_grants.list_owned(),
                "grants": dict(self.probe_grants.result_counts),
            },
        }

    def _list_relay_candidates(self, service: str) -> list[NodeInfo]:
        """Return the other nodes that may reach a service."""
        own = self.fleet.membership.own
        return [
            info
            for info in self.fleet.membership.list_live()
            if info is not own and service not in info.lost_services
        ]

    def list_entry_nodes(self) -> list[NodeInfo]:
        """Return the nodes that are named to callers.

        Nodes that reach no service are left out, unless that concerns all nodes.
        """
        self.fleet.check_pause()
        live = self.fleet.membership.list_live()
        services = self.gateway.list_services()
        reaching = [info for info in live if not services.issubset(info.lost_services)]
        return reaching or live

    def _choose_entry_nodes(self, query: LocatorQuery) -> list[NodeInfo]:
        return choose_entry_nodes(
            self.list_entry_nodes(),
            query,
            regions=self.settings.regions,
            home_regions=find_home_regions(self.gateway.routing_table, query.host),
        )

    def _apply_routing_table(
        self, table: RoutingTable, source: str, *, provisional: bool = False
    ) -> bool:
        confirmation = self.state_sync.table_confirmation
        applied = self.gateway.apply_routing_table(table, replace=confirmation.provisional)
        if applied:
            confirmation.record_table(table.version, provisional=provisional)
            self.quotas.apply_routing_table(table)
            self.logger.info(
                "Applied routing table version {:08x} with {} routes from {}.",
                table.version,
                len(table.routes),
                source,
            )
            self._publish_own_state(urgent=True)
        return applied

    def _handle_server_change(self) -> None:
        self.gateway.refresh_servers()
        if self.fleet.membership.own.ready != self.ready:
            self._publish_own_state()

    def _publish_own_state(self, *, urgent: bool = False) -> None:
        """Publish the own state; its message tells other nodes which table this node has."""
        self.fleet.update_own(ready=self.ready, leaving=self._leaving)
        self.fleet.publish(nodes=[self.fleet.membership.own], urgent=urgent)

    def _publish_server_changes(self, notices: list[ServersNotice]) -> None:
        """Spread changes of the server list.

        A notice that doesn't fit into a datagram is not sent. The other nodes request its changes
        when they see the new position.
        """
        for notice in notices:
            self.state_sync.change_log.append(notice)
            if len(notice.changes) <= MAX_CHANGES_PER_NOTICE:
                self.fleet.publish(servers=notice)
        self._publish_own_state(urgent=True)

    def _apply_node_count(self) -> None:
        """Adapt shared limits and the subsets of servers to the number of nodes."""
        counts = self.fleet.membership.count_by_domain()
        self.gateway.dispatchers.set_node_counts(
            sum(counts.values()), counts[self.settings.vm.failure_domain]
        )
        self.probe_grants.forget_shares()

    async def _run_supervised(self, run_forever: t.Callable[[], t.Awaitable[None]]) -> None:
        """Run a background task, and start it again after an unexpected error.

        Without this, the error would end the process.
        """
        while True:
            try:
                await run_forever()
            except InvariantError:
                raise
            except Exception:
                self.task_restarts[run_forever.__name__] += 1
                self.logger.exception(
                    "Background task {} failed; starting it again in {:g} s.",
                    run_forever.__name__,
                    TASK_RESTART_DELAY_S,
                )
            await asyncio.sleep(TASK_RESTART_DELAY_S)

    async def _watch_nodes(self) -> None:
        await self.store_watcher.watch_nodes(lambda: len(self.fleet.membership.list_peers()) > 0)

    async def _run_maintenance_forever(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self._apply_node_count()
            self.probe_grants.refresh()
            self.gateway.dispatchers.follow_share_candidates()
            self.evacuation_notices.maintain()
            self.fleet.update_own(ready=self.ready, leaving=self._leaving)
            self.state_sync.close_idle_connections()
            self.gateway.dispatchers.expire_borrowed()
            self.gateway.request_limits.expire(self.registry.list_ids())
            self.gateway.attempts.quarantine.expire()
            self.gateway.connections.expire_connections(self.registry.list_addresses())
            self._listeners.enforce_limits(self.gateway.caller_limits)

    def _build_listeners(self) -> HttpListeners:
        endpoints = NodeEndpoints(
            config=self._endpoint_config,
            is_ready=lambda: self.ready,
            list_entry_nodes=self._choose_entry_nodes,
            get_entries_ttl_s=self._get_entries_ttl_s,
        )
        port = self.options.metrics_port
        return HttpListeners(
            addresses=self.settings.listeners,
            metrics_address=f"{self.settings.vm.address}:{port}" if port else "",
            handle_request=self.gateway.handle_request,
            read_ahead_options={
                "get_read_ahead_bytes": self.gateway.get_read_ahead_bytes,
                "read_ahead_counts": self.gateway.read_ahead_counts,
            },
            endpoints=endpoints,
        )

    def _get_entries_ttl_s(self) -> float:
        return min(self.options.lifetime_s, self.settings.longest_lifetime_s)


def _round_age(age_s: float) -> float | None:
    """Return an age for a state dump, ``None`` if there is none."""
    return round(age_s, 3) if math.isfinite(age_s) else None
