"""A node: entry, agent and locator in one process, for VMs that run one process of the system."""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing as t

import msgspec
from aiohttp import web

from ..exceptions import SettingsError
from ..measuring.probe_assignment import ProberCandidate
from ..membership.registry import ServerListing
from ..membership.registry import ServerRegistry
from ..membership.vms import EntryProcess
from ..membership.vms import VmInfo
from ..operations.daemon import Daemon
from ..operations.node_settings import NodeOptions
from ..operations.node_settings import NodeSettings
from ..operations.output import LineOutput
from ..operations.request_log import RequestLog
from ..peers.messages import LoadNotice
from ..peers.messages import Message
from ..peers.messages import NodeGossip
from ..peers.messages import RefusedReply
from ..peers.messages import ServersNotice
from ..peers.messages import TableNotice
from ..peers.notices import NoticeReceiver
from ..peers.notices import NoticeSender
from ..requests.protocol import HeaderCodec
from ..routing.routes import RoutingTable
from ..transport.caller_connections import CallerServer
from .gateway import Gateway
from .load_exchange import LoadExchange
from .load_exchange import LoadUpdateBuffer
from .load_prober import LoadProber
from .mesh import PEER_TIMEOUT_S
from .mesh import PeerMesh
from .node_endpoints import EndpointConfig
from .node_endpoints import NodeEndpoints
from .node_metrics import add_node_metrics
from .store_watcher import MetadataStore
from .store_watcher import NodeRecord
from .store_watcher import StoreWatcher

MAINTENANCE_PERIOD_S = 0.5
MAX_HEADER_LINE_BYTES = 65_536
HTTP_SERVER_OPTIONS = {
    "max_line_size": MAX_HEADER_LINE_BYTES,
    "max_field_size": MAX_HEADER_LINE_BYTES,
    "access_log": None,
    "auto_decompress": False,
}
LISTEN_BACKLOG = 1024
STOP_CHECK_PERIOD_S = 0.02
# parts of the grace period: callers are told of the stop, new connections are refused, the end
LISTEN_END_GRACE_FRACTION = 0.45
DRAIN_END_GRACE_FRACTION = 0.94


class Node(Daemon):
    """One node.

    :param settings: of the deployment.
    :param options: the operator's own.
    :param make_store: opens the metadata store; called once the loop runs.
    :param close_store: closes it.
    :param protocol: of callers and servers.
    :param interface: of readiness checks and of callers that ask for entries.
    :param output: where log lines go.
    :param reload_settings: reads the deployment's settings anew; raises :exc:`SettingsError`.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        options: NodeOptions,
        open_store: t.Callable[[], tuple[MetadataStore, t.Callable[[], t.Awaitable[None]]]],
        protocol: HeaderCodec,
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
        self._make_store = open_store
        self._protocol = protocol
        self._interface = endpoint_config
        self._output = output
        self._reload_settings = reload_settings
        self._leaving = False
        self._runners: list[web.ServerRunner] = []
        self._entry_server: CallerServer | None = None
        self.registry = ServerRegistry(
            clock=time.monotonic, on_change=lambda: self.gateway.refresh_servers()
        )
        self.load_updates = LoadUpdateBuffer()
        self.journal = RequestLog(write=output.write, lines_per_s=options.log_lines_per_s)
        self.gateway = Gateway(
            failure_domain=settings.vm.failure_domain,
            protocol=protocol,
            registry=self.registry,
            retry_limits=settings.retries,
            load_updates=self.load_updates,
            journal=self.journal,
            caller_round_trip_s=options.caller_round_trip_s,
        )
        self._notice_sender = NoticeSender(context=self.zmq_context)
        self._notice_receiver: NoticeReceiver | None = None
        self.mesh = PeerMesh(
            links=self.peer_clients,
            notice_sender=self._notice_sender,
            own_address=settings.listeners.peers,
            describe_self=self._describe_self,
            on_routing_table=self._take_table,
            on_server_list=self._take_listings,
        )
        self.load_exchange = LoadExchange(
            vm_id=settings.vm.id,
            updates=self.load_updates,
            dispatchers=self.gateway.dispatchers,
            broadcast=self.mesh.broadcast_notice,
        )
        self.mesh.get_server_list_age_s = self._get_servers_age_s
        self.mesh.get_server_list = lambda: (self.registry.list_listings(), self.registry.position)

    @property
    def ready(self) -> bool:
        """Whether callers may be sent here."""
        return (
            self.gateway.routing_table is not None and self.registry.loaded and not self._leaving
        )

    async def on_start(self) -> None:
        """Listen, and follow the store, the peers and the servers' load."""
        await super().on_start()
        self._notice_receiver = NoticeReceiver(
            context=self.zmq_context,
            address=self.settings.listeners.notices,
            handler=self._take_notice,
        )
        store, self._close_store = self._make_store()
        self.store_watcher = StoreWatcher(
            store=store,
            registry=self.registry,
            on_routing_table=self._take_table,
            broadcast=self.mesh.broadcast_notice,
            get_rank=self._get_rank,
            add_peer=self.mesh.add_peer,
            own_record=NodeRecord(
                vm_id=self.settings.vm.id, peer_address=self.settings.listeners.peers
            ),
        )
        self.prober = LoadProber(
            gateway=self.gateway,
            protocol=self._protocol,
            load_updates=self.load_updates,
            options=self.options.probes,
            own_vm_id=self.settings.vm.id,
            max_probes_per_s=self.settings.probes_per_s,
            list_probers=self._list_probers,
        )
        for address in self.settings.seed_peers:
            self.mesh.add_peer(address)
        for task in (
            self.store_watcher.watch_routing_table(),
            self.store_watcher.watch_servers(),
            self.store_watcher.watch_nodes(lambda: len(self.mesh.vms.list_known()) > 0),
            self.prober.probe_forever(),
            self.load_exchange.broadcast_forever(),
            self._keep_up(),
            self._output.flush_periodically(),
        ):
            self.add_future(task)
        self._notice_receiver.start()
        await self._listen()
        add_node_metrics(self.meter_provider, self, self._output)

    async def handle_message(self, message: Message) -> Message:
        """Answer the other nodes."""
        if isinstance(message, NodeGossip):
            return self.mesh.handle_gossip(message)
        return RefusedReply(reason=f"node takes no {type(message).__name__}")

    def reload(self) -> None:
        """Take changed settings; a file that is wrong changes nothing."""
        if self._reload_settings is None:
            return
        try:
            settings = self._reload_settings()
        except SettingsError as error:
            self.logger.error("Settings not reloaded: {}", error)
            return
        held = self.settings
        if (settings.vm, settings.listeners) != (held.vm, held.listeners):
            self.logger.warning("Changed addresses take effect at the next start.")
        self.settings = msgspec.structs.replace(settings, vm=held.vm, listeners=held.listeners)
        self.gateway.set_retry_limits(settings.retries)
        self.prober.max_probes_per_s = settings.probes_per_s
        for address in settings.seed_peers:
            self.mesh.add_peer(address)
        self.logger.info("Settings reloaded.")

    def _take_notice(self, message: Message) -> None:
        if isinstance(message, LoadNotice):
            self.mesh.vms.refresh_heartbeat(message.vm_id)
            self.load_exchange.apply_notice(message)
        elif isinstance(message, ServersNotice):
            self.store_watcher.apply_notice(message)
        elif isinstance(message, TableNotice):
            self._take_table(message.table, "peer")

    async def stop_gracefully(self) -> None:
        """Stop being named, finish what runs, refuse new connections, leave."""
        began_at = time.monotonic()
        grace_s = self.settings.grace_s
        self._leaving = True
        self.gateway.closing = True
        self.mesh.gossip_now()
        await asyncio.sleep(LISTEN_END_GRACE_FRACTION * grace_s)
        self.prober.stopped = True
        for site in list(self._runners[0].sites):
            await site.stop()
        while time.monotonic() < began_at + DRAIN_END_GRACE_FRACTION * grace_s:
            self._entry_server.close_idle_connections()
            if self.gateway.in_flight == 0 and not self._entry_server.connections:
                break
            await asyncio.sleep(STOP_CHECK_PERIOD_S)
        self.logger.info(
            "Leaves with {} requests unanswered after {:.2f} s.",
            self.gateway.in_flight,
            time.monotonic() - began_at,
        )

    async def on_stop(self) -> None:
        """Close all listeners and connections."""
        self.mesh.close()
        self._notice_receiver.close()
        self._notice_sender.close()
        for runner in self._runners:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.1):
                    await runner.cleanup()
        self.gateway.connections.close()
        await self._close_store()
        await super().on_stop()
        self._output.flush()

    def collect_state(self) -> dict[str, t.Any]:
        """Return the state for a dump."""
        table = self.gateway.routing_table
        return {
            "ready": self.ready,
            "leaving": self._leaving,
            "table_version": -1 if table is None else table.version,
            "servers": self.registry.count_usable(),
            "servers_age_s": round(self.registry.get_list_age_s(), 3),
            "in_flight": self.gateway.in_flight,
            "outcomes": dict(self.gateway.outcomes),
            "nodes": {
                vm.vm_id: round(self.mesh.vms.get_heartbeat_age_s(vm.vm_id), 3)
                for vm in self.mesh.vms.list_known()
            },
            "services": {
                dispatcher.service: {
                    "queued": dispatcher.count_queued(),
                    "usual_s": round(dispatcher.service_time_s, 4),
                    "slowness": round(dispatcher.slowness.value, 2),
                    "servers": {
                        load.server_id: {
                            "in_flight": load.count_in_flight(time.monotonic()),
                            "own": len(load.running),
                        }
                        for load in dispatcher.loads.values()
                    },
                }
                for dispatcher in self.gateway.dispatchers.list_all()
            },
            "probes": {"sent": self.prober.sent_count, "failed": self.prober.failed_count},
        }

    def _describe_self(self) -> VmInfo:
        entry = EntryProcess(
            incarnation=self.incarnation,
            http_address=self.settings.listeners.entry,
            control_address=self.settings.listeners.peers,
            key_prefix="",
            in_flight=self.gateway.in_flight,
        )
        return VmInfo(
            vm_id=self.settings.vm.id,
            incarnation=self.incarnation,
            failure_domain=self.settings.vm.failure_domain,
            agent_address=self.settings.listeners.peers,
            ready=self.ready,
            leaving=self._leaving,
            entries=[entry],
            notice_address=self.settings.listeners.notices,
        )

    def _get_rank(self) -> int:
        ids = sorted(vm.vm_id for vm in self.mesh.vms.list_live())
        own = self.settings.vm.id
        return sum(vm_id < own for vm_id in ids)

    def _get_servers_age_s(self) -> float:
        return self.registry.get_list_age_s() if self.registry.loaded else float("inf")

    def _list_probers(self) -> list[ProberCandidate]:
        vm = self.settings.vm
        probers = [ProberCandidate(vm_id=vm.id, failure_domain=vm.failure_domain)]
        for info in self.mesh.vms.list_known():
            if info.leaving or info.vm_id == vm.id:
                continue
            reachable = self.mesh.vms.get_heartbeat_age_s(info.vm_id) < PEER_TIMEOUT_S
            probers.append(
                ProberCandidate(
                    vm_id=info.vm_id, failure_domain=info.failure_domain, reachable=reachable
                )
            )
        return probers

    def _take_table(self, table: RoutingTable, source: str) -> bool:
        taken = self.gateway.apply_routing_table(table)
        if taken:
            self.mesh.routing_table = table
            self.logger.info(
                "Routing table {:08x} in force: {} routes, from {}.",
                table.version,
                len(table.routes),
                source,
            )
        return taken

    def _take_listings(self, listings: list[ServerListing], position: int, age_s: float) -> None:
        if age_s > self._get_servers_age_s() or position < self.registry.position:
            return
        self.registry.mark_confirmed(age_s)
        self.registry.replace_listings(listings, position)
        self.logger.info("Took {} servers from a peer, {:.2f} s old.", len(listings), age_s)

    async def _keep_up(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_PERIOD_S)
            self.gateway.dispatchers.set_node_count(self.mesh.count_nodes())
            addresses = {listing.server.address for listing in self.registry.list_listings()}
            self.gateway.connections.expire_connections(addresses)
            limits = self.gateway.caller_limits
            self._entry_server.close_idle_connections(limits.idle_timeout_s)
            self._entry_server.time_out_slow_heads(limits.header_timeout_s)
            self.mesh.remove_expired_peers()

    async def _listen(self) -> None:
        listeners = self.settings.listeners
        pages = NodeEndpoints(
            config=self._interface,
            is_ready=lambda: self.ready,
            list_live_nodes=self.mesh.list_live_nodes,
            get_entries_lifetime_s=self._get_lifetime_s,
        )
        self._entry_server = CallerServer(self.gateway.handle_request, **HTTP_SERVER_OPTIONS)
        await self._serve(self._entry_server, listeners.entry)
        await self._serve(self._make_server(pages.handle_readiness), listeners.readiness)
        await self._serve(self._make_server(pages.handle_locator), listeners.locator)
        if self.options.metrics_port:
            address = f"{self.settings.vm.address}:{self.options.metrics_port}"
            await self._serve(self._make_server(pages.handle_metrics), address)

    def _get_lifetime_s(self) -> float:
        return min(self.options.lifetime_s, self.settings.longest_lifetime_s)

    def _make_server(self, handler: t.Callable) -> web.Server:
        return web.Server(handler, handler_cancellation=True, **HTTP_SERVER_OPTIONS)

    async def _serve(self, server: web.Server, address: str) -> None:
        host, _, port = address.rpartition(":")
        runner = web.ServerRunner(server, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, host, int(port), backlog=LISTEN_BACKLOG).start()
        self._runners.append(runner)
