"""Full mesh of nodes: peer discovery, gossip of node state, and broadcast of notices."""

from __future__ import annotations

import asyncio
import time
import typing as t

import logbook

from ..exceptions import PeerError
from ..membership.registry import DEPARTURE_RETENTION_S
from ..membership.registry import Departure
from ..membership.registry import ServerListing
from ..membership.store_position import UNKNOWN_POSITION
from ..membership.store_position import StorePosition
from ..membership.vms import EntryVmMembership
from ..membership.vms import VmInfo
from ..peers.messages import Message
from ..peers.messages import NodeGossip
from ..peers.notices import NoticeSender
from ..peers.rpc import PeerClients
from ..routing.routes import RoutingTable

GOSSIP_INTERVAL_S = 0.5
GOSSIP_TIMEOUT_S = 0.5
# A peer is unreachable if its last heartbeat is older than this.
PEER_HEARTBEAT_TIMEOUT_S = 0.9
# An address at which no node is known receives gossip for this time after it was last added.
PEER_ADDRESS_RETENTION_S = 30.0
# A peer receives the complete server list of this node if the peer's list is older by more than
# this.
MAX_SERVER_LIST_LAG_S = 1.5
# Gossip repeats the departures of this time, for peers that missed the notice.
DEPARTURE_GOSSIP_S = 10.0
_logger = logbook.Logger("mesh")


class PeerMesh:
    """Exchanges gossip with all other nodes and tracks which of them are live.

    :param peer_clients: the connections for requests to peers.
    :param notice_sender: sends one-way messages to peers.
    :param own_address: ``ip:port`` at which the other nodes reach this one.
    :param get_own_vm_info: returns the state of this node that is sent to peers.
    :param on_routing_table: called with a routing table from a peer and the VM id of the peer.
    :param on_server_list: called with a complete server list, its position in the store, and its
        age in seconds.
    :param on_departures: called with servers that left or are leaving according to a peer.
    :param list_departures: returns the servers that left or are leaving, given the maximum age of
        the observation in seconds.
    """

    def __init__(
        self,
        *,
        peer_clients: PeerClients,
        notice_sender: NoticeSender,
        own_address: str,
        get_own_vm_info: t.Callable[[], VmInfo],
        on_routing_table: t.Callable[[RoutingTable, str], None],
        on_server_list: t.Callable[[list[ServerListing], StorePosition, float], None],
        on_departures: t.Callable[[list[Departure]], None] = lambda departures: None,
        list_departures: t.Callable[[float], list[Departure]] = lambda max_age_s: [],
    ) -> None:
        self._peer_clients = peer_clients
        self._notice_sender = notice_sender
        self._own_address = own_address
        self._get_own_vm_info = get_own_vm_info
        self._on_routing_table = on_routing_table
        self._on_server_list = on_server_list
        self._on_departures = on_departures
        self._list_departures = list_departures
        self.membership = EntryVmMembership(
            clock=time.monotonic, heartbeat_timeout_s=PEER_HEARTBEAT_TIMEOUT_S
        )
        self._gossip_tasks: dict[str, asyncio.Task] = {}
        self._gossip_requested: dict[str, asyncio.Event] = {}
        self._last_added_at: dict[str, float] = {}
        self._closed = False
        # The data sent to peers in gossip: the current routing table, the age of the server list,
        # and the server list with its position in the store. The node assigns these attributes.
        self.routing_table: RoutingTable | None = None
        self.get_server_list_age_s: t.Callable[[], float] = lambda: float("inf")
        self.get_server_list: t.Callable[[], tuple[list[ServerListing], StorePosition]] = lambda: (
            [],
            UNKNOWN_POSITION,
        )

    def add_peer(self, address: str) -> None:
        """Start exchanging gossip with the node at an address."""
        if address == self._own_address or self._closed:
            return
        self._last_added_at[address] = time.monotonic()
        if address in self._gossip_tasks:
            return
        self._gossip_requested[address] = asyncio.Event()
        self._gossip_tasks[address] = asyncio.create_task(self._gossip_forever(address))

    def gossip_now(self) -> None:
        """Send gossip to all peers without waiting for the next period."""
        for gossip_requested in self._gossip_requested.values():
            gossip_requested.set()

    async def gossip_with_all(self) -> None:
        """Exchange gossip with all peers once, and wait for all replies or timeouts."""
        exchanges = [self._send_gossip(address) for address in list(self._gossip_tasks)]
        await asyncio.gather(*exchanges, return_exceptions=True)

    def broadcast_notice(self, message: Message) -> None:
        """Send a one-way message to every reachable peer."""
        addresses = [
            vm.notice_address for vm in self.membership.list_known() if self._is_reachable(vm)
        ]
        self._notice_sender.send(addresses, message)

    def list_peer_addresses(self) -> list[str]:
        """Return the addresses of the reachable peers."""
        return [vm.agent_address for vm in self.membership.list_known() if self._is_reachable(vm)]

    def list_live_nodes(self) -> list[VmInfo]:
        """Return the nodes that accept requests of callers, including this one if it is ready."""
        own = self._get_own_vm_info()
        live = [vm for vm in self.membership.list_live() if vm.vm_id != own.vm_id]
        if own.ready and not own.leaving:
            live.append(own)
        return live

    def count_nodes(self) -> int:
        """Return the number of nodes that are not leaving, including unreachable ones."""
        known = {vm.vm_id for vm in self.membership.list_known() if not vm.leaving}
        known.add(self._get_own_vm_info().vm_id)
        return len(known)

    def handle_gossip(self, message: NodeGossip) -> NodeGossip:
        """Apply the gossip of a peer and return the gossip of this node.

        The reply contains the routing table if the peer's version is older, and the server list if
        the peer's list is older by more than :data:`MAX_SERVER_LIST_LAG_S`.
        """
        self._apply_membership(message)
        reply = self._build_gossip()
        if self.routing_table is not None and message.table_version < self.routing_table.version:
            reply.table = self.routing_table
        if message.servers_age_s > reply.servers_age_s + MAX_SERVER_LIST_LAG_S:
            reply.listings, reply.servers_position = self.get_server_list()
            reply.departures = self._list_departures(DEPARTURE_RETENTION_S)
        return reply

    def remove_expired_peers(self) -> None:
        """Stop exchanging gossip with addresses at which no node is known.

        An address is kept for :data:`PEER_ADDRESS_RETENTION_S` after it was last added.
        """
        # This call removes nodes that are not in the platform's VM list and have no recent
        # heartbeat. Nodes do not read that list, so an empty one is passed.
        self.membership.replace_listed_states({})
        now = time.monotonic()
        known = {vm.agent_address for vm in self.membership.list_known()}
        for address in list(self._gossip_tasks):
            if address in known or now - self._last_added_at[address] < PEER_ADDRESS_RETENTION_S:
                continue
            self._gossip_tasks.pop(address).cancel()
            del self._gossip_requested[address]
            del self._last_added_at[address]
        self._peer_clients.close_except(set(self._gossip_tasks))
        self._notice_sender.close_except(
            {vm.notice_address for vm in self.membership.list_known()}
        )

    def close(self) -> None:
        """Stop all gossip; peers added later are ignored."""
        self._closed = True
        for task in self._gossip_tasks.values():
            task.cancel()

    def _is_reachable(self, vm: VmInfo) -> bool:
        return self.membership.get_heartbeat_age_s(vm.vm_id) < PEER_HEARTBEAT_TIMEOUT_S

    def _build_gossip(self) -> NodeGossip:
        return NodeGossip(
            vm=self._get_own_vm_info(),
            peers=self.list_peer_addresses(),
            table_version=-1 if self.routing_table is None else self.routing_table.version,
            servers_age_s=self.get_server_list_age_s(),
            departures=self._list_departures(DEPARTURE_GOSSIP_S),
        )

    def _apply_membership(self, message: NodeGossip) -> None:
        known = {vm.vm_id for vm in self.membership.list_known()}
        if self.membership.record_heartbeat(message.vm) and message.vm.vm_id not in known:
            _logger.info("Discovered node {} at {}.", message.vm.vm_id, message.vm.agent_address)
        if message.departures:
            self._on_departures(message.departures)
        self.add_peer(message.vm.agent_address)
        for address in message.peers:
            self.add_peer(address)

    async def _gossip_forever(self, address: str) -> None:
        gossip_requested = self._gossip_requested[address]
        reachable = True
        while True:
            gossip_requested.clear()
            try:
                await self._send_gossip(address)
                if not reachable:
                    _logger.info("Peer {} is reachable again.", address)
                reachable = True
            except PeerError as error:
                if reachable:
                    _logger.warning("Peer {} is unreachable; retrying: {}", address, error)
                reachable = False
            try:
                async with asyncio.timeout(GOSSIP_INTERVAL_S):
                    await gossip_requested.wait()
            except TimeoutError:
                continue

    async def _send_gossip(self, address: str) -> None:
        reply = await self._peer_clients.get(address).request(
            self._build_gossip(), GOSSIP_TIMEOUT_S
        )
        if not isinstance(reply, NodeGossip):
            return
        self._apply_membership(reply)
        if reply.table is not None:
            self._on_routing_table(reply.table, reply.vm.vm_id)
        if reply.listings is not None:
            self._on_server_list(reply.listings, reply.servers_position, reply.servers_age_s)
