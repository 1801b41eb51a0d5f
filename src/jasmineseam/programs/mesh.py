"""Links between nodes: who is there, and what one has learnt that the others should know."""

from __future__ import annotations

import asyncio
import time
import typing as t

import logbook

from ..exceptions import PeerError
from ..membership.registry import ServerListing
from ..membership.vms import EntryVmMembership
from ..membership.vms import VmInfo
from ..peers.messages import Message
from ..peers.messages import NodeGossip
from ..peers.notices import NoticeSender
from ..peers.rpc import PeerClients
from ..routing.routes import RoutingTable

GOSSIP_PERIOD_S = 0.5
GOSSIP_TIMEOUT_S = 0.5
PEER_TIMEOUT_S = 0.9
PEER_EXPIRY_S = 30.0
# a peer whose list of servers is older than one's own by so much is given the whole list
MAX_SERVER_LIST_LAG_S = 1.5
_logger = logbook.Logger("mesh")


class PeerMesh:
    """The node's links to all other nodes.

    :param links: the process's links.
    :param notices: sends one-way messages.
    :param own_address: where the other nodes reach this one.
    :param describe: returns what the node says of itself.
    :param on_table: called with a newer routing table.
    :param on_listings: called with a whole list of servers, its position and its age.
    """

    def __init__(
        self,
        *,
        links: PeerClients,
        notice_sender: NoticeSender,
        own_address: str,
        describe_self: t.Callable[[], VmInfo],
        on_routing_table: t.Callable[[RoutingTable, str], None],
        on_server_list: t.Callable[[list[ServerListing], int, float], None],
    ) -> None:
        self._links = links
        self._notices = notice_sender
        self._own_address = own_address
        self._describe = describe_self
        self._on_table = on_routing_table
        self._on_listings = on_server_list
        self.vms = EntryVmMembership(clock=time.monotonic, heartbeat_timeout_s=PEER_TIMEOUT_S)
        self._tasks: dict[str, asyncio.Task] = {}
        self._wanted: dict[str, asyncio.Event] = {}
        self._met_at: dict[str, float] = {}
        self._closed = False
        # what this node holds, set by its owner
        self.routing_table: RoutingTable | None = None
        self.get_server_list_age_s: t.Callable[[], float] = lambda: float("inf")
        self.get_server_list: t.Callable[[], tuple[list[ServerListing], int]] = lambda: ([], -1)

    def add_peer(self, address: str) -> None:
        """Begin to talk with the node at an address."""
        if address == self._own_address or self._closed:
            return
        self._met_at[address] = time.monotonic()
        if address in self._tasks:
            return
        self._wanted[address] = asyncio.Event()
        self._tasks[address] = asyncio.create_task(self._gossip_with(address))

    def gossip_now(self) -> None:
        """Tell all peers at once of a change."""
        for wanted in self._wanted.values():
            wanted.set()

    async def gossip_with_all(self) -> None:
        """Tell all peers, and wait until they have heard."""
        tells = [self._tell(address) for address in list(self._tasks)]
        await asyncio.gather(*tells, return_exceptions=True)

    def broadcast_notice(self, message: Message) -> None:
        """Send a one-way message to every peer that is heard."""
        addresses = [vm.notice_address for vm in self.vms.list_known() if self._is_heard(vm)]
        self._notices.send(addresses, message)

    def list_peer_addresses(self) -> list[str]:
        """Return the addresses of the peers that are heard."""
        return [vm.agent_address for vm in self.vms.list_known() if self._is_heard(vm)]

    def list_live_nodes(self) -> list[VmInfo]:
        """Return the nodes that callers may be sent to, this one included if it is ready."""
        own = self._describe()
        live = [vm for vm in self.vms.list_live() if vm.vm_id != own.vm_id]
        if own.ready and not own.leaving:
            live.append(own)
        return live

    def count_nodes(self) -> int:
        """Return how many nodes share the work, those out of reach included."""
        known = {vm.vm_id for vm in self.vms.list_known() if not vm.leaving}
        known.add(self._describe().vm_id)
        return len(known)

    def handle_gossip(self, message: NodeGossip) -> NodeGossip:
        """Learn from a peer's word, and answer with what it lacks."""
        self._learn(message)
        reply = self._build()
        if self.routing_table is not None and message.table_version < self.routing_table.version:
            reply.table = self.routing_table
        if message.servers_age_s > reply.servers_age_s + MAX_SERVER_LIST_LAG_S:
            reply.listings, reply.servers_position = self.get_server_list()
        return reply

    def remove_expired_peers(self) -> None:
        """Stop talking with nodes that have left or were not heard for long."""
        self.vms.replace_listed_states({})
        now = time.monotonic()
        known = {vm.agent_address for vm in self.vms.list_known()}
        for address in list(self._tasks):
            if address in known or now - self._met_at[address] < PEER_EXPIRY_S:
                continue
            self._tasks.pop(address).cancel()
            del self._wanted[address]
            del self._met_at[address]
        self._links.close_except(set(self._tasks))
        self._notices.close_except({vm.notice_address for vm in self.vms.list_known()})

    def close(self) -> None:
        """Stop all talk, and begin none."""
        self._closed = True
        for task in self._tasks.values():
            task.cancel()

    def _is_heard(self, vm: VmInfo) -> bool:
        return self.vms.get_heartbeat_age_s(vm.vm_id) < PEER_TIMEOUT_S

    def _build(self) -> NodeGossip:
        return NodeGossip(
            vm=self._describe(),
            peers=self.list_peer_addresses(),
            table_version=-1 if self.routing_table is None else self.routing_table.version,
            servers_age_s=self.get_server_list_age_s(),
        )

    def _learn(self, message: NodeGossip) -> None:
        known = {vm.vm_id for vm in self.vms.list_known()}
        if self.vms.record_heartbeat(message.vm) and message.vm.vm_id not in known:
            _logger.info("Heard of node {} at {}.", message.vm.vm_id, message.vm.agent_address)
        self.add_peer(message.vm.agent_address)
        for address in message.peers:
            self.add_peer(address)

    async def _gossip_with(self, address: str) -> None:
        wanted = self._wanted[address]
        reached = True
        while True:
            wanted.clear()
            try:
                await self._tell(address)
                if not reached:
                    _logger.info("Peer {} answers again.", address)
                reached = True
            except PeerError as error:
                if reached:
                    _logger.warning("Peer {} does not answer: {}", address, error)
                reached = False
            try:
                async with asyncio.timeout(GOSSIP_PERIOD_S):
                    await wanted.wait()
            except TimeoutError:
                continue

    async def _tell(self, address: str) -> None:
        reply = await self._links.get(address).request(self._build(), GOSSIP_TIMEOUT_S)
        if not isinstance(reply, NodeGossip):
            return
        self._learn(reply)
        if reply.table is not None:
            self._on_table(reply.table, reply.vm.vm_id)
        if reply.listings is not None:
            self._on_listings(reply.listings, reply.servers_position, reply.servers_age_s)
