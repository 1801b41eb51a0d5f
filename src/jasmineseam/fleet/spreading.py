"""The fleet as seen by one node: failure detection, and news that spreads from node to node.

Failures are detected as in the SWIM protocol. Each node pings one other node per period, in a
random order. If there is no answer, it asks a few further nodes to ping on its behalf, and then
suspects the node. What a node sends per period does not depend on the number of nodes.

News is forwarded once by each node that receives it, to a few random nodes. Every message also
contains a summary of what its sender knows, so a node that has missed news requests it.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import typing as t

import logbook
import xxhash

from ..membership.evacuations import EvacuationState
from ..membership.nodes import NodeInfo
from ..membership.nodes import NodeMembership
from ..membership.nodes import combine_digests
from ..membership.registry import Departure
from ..membership.request_limits import RequestLimit
from ..peers.messages import Ack
from ..peers.messages import FleetMessage
from ..peers.messages import NodesRequest
from ..peers.messages import Ping
from ..peers.messages import PingRequest
from ..peers.messages import ServersNotice
from ..peers.messages import StateDigest
from ..peers.messages import Update
from ..routing.quarantine import CrashReport
from .failure_detection import FailureDetector
from .outbox import Outbox

PING_PERIOD_S = 0.5
# period while this node knows no other node, but has addresses to contact
JOIN_PERIOD_S = 0.1
# A node that reaches none of its contacts within this time acts as the only node.
JOIN_TIMEOUT_S = 1.0
# number of nodes to which a node forwards news
FANOUT = 4
# News that arrives within this time is forwarded in one message.
UPDATE_DELAY_S = 0.002
# interval between two contacts to nodes that failed or were never reached
CONTACT_INTERVAL_S = 2.0
NODES_REQUEST_INTERVAL_S = 1.0
# A request for nodes that was not answered within this time was probably lost, and the next one is
# sent. Otherwise one lost datagram keeps a new node unknown to this one for more than 2 s.
NODES_REPLY_TIMEOUT_S = 0.25
# A node that has met no majority of its seed contacts in this time takes the nodes that it knows
# for the whole fleet, since the seed contacts may not be in use any more.
SEEDS_TIMEOUT_S = 60.0
# If this node has not run for this time, what it knows of other nodes no longer counts. A shorter
# pause and the detection of a failure after it take less than 6 s together.
PAUSE_CHECK_INTERVAL_S = 0.5
MIN_PAUSE_S = 2.0
_logger = logbook.Logger("fleet")


class FleetHandlers(t.NamedTuple):
    """Functions of the node that the fleet calls.

    :param get_digest: returns the summary of what this node knows, given the hash over the nodes.
    :param on_digest: called with the state and the summary of another node.
    :param add_departures: called with departures of servers; returns the new ones.
    :param add_request_limits: called with limits that servers name; returns the new ones.
    :param add_crashes: called with crashes of servers under requests; returns the new ones.
    :param apply_servers: called with changes of the server list; returns whether they were new.
    :param apply_evacuations: called with evacuated failure domains; returns the state to forward,
        ``None`` if nothing was new.
    :param on_nodes_changed: called when a node's state or status has changed.
    """

    get_digest: t.Callable[[int], StateDigest]
    on_digest: t.Callable[[NodeInfo, StateDigest], None] = lambda sender, digest: None
    add_departures: t.Callable[[list[Departure]], list[Departure]] = lambda departures: []
    add_request_limits: t.Callable[[list[RequestLimit]], list[RequestLimit]] = lambda limits: []
    add_crashes: t.Callable[[list[CrashReport]], list[CrashReport]] = lambda crashes: []
    apply_servers: t.Callable[[ServersNotice], bool] = lambda notice: False
    on_nodes_changed: t.Callable[[], None] = lambda: None
    apply_evacuations: t.Callable[[EvacuationState], EvacuationState | None] = lambda state: None


class Fleet:
    """Exchanges messages with other nodes on behalf of one node.

    :param own: the state of this node.
    :param contacts: datagram addresses to join the fleet at; some may not be in use.
    :param send: sends a message to a datagram address.
    :param handlers: functions of the node.
    :param clock: returns monotonic time in seconds.
    :param rng: chooses nodes.
    """

    def __init__(
        self,
        *,
        own: NodeInfo,
        contacts: t.Collection[str],
        send: t.Callable[[str, FleetMessage], None],
        handlers: FleetHandlers,
        clock: t.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.membership = NodeMembership(own=own, clock=clock)
        self._seeds = set(contacts)
        self._has_met_seeds = False
        self._contacts = {address for address in contacts if address != own.notice_address}
        self._is_contact = len(self._contacts) < len(set(contacts))
        self._send = send
        self._handlers = handlers
        self._clock = clock
        self._rng = rng
        self._started_at = clock()
        self._detector = FailureDetector(
            membership=self.membership,
            send=send,
            get_header=self._get_header,
            publish=self.publish,
            clock=clock,
            rng=rng,
        )
        self._outbox = Outbox()
        self._flush_timer: asyncio.TimerHandle | None = None
        self._contacted_at = float("-inf")
        self._nodes_requested_at = float("-inf")
        # VM id of the node that has not answered the last request, ``None`` if it has
        self._nodes_requested_from: str | None = None
        self._last_state_changes = 0
        self._ran_at = clock()
        self._pause_timer: asyncio.TimerHandle | None = None
        self._joined = asyncio.Event()
        self._closed = False

    def is_settled(self) -> bool:
        """Return whether this node has joined other nodes, or need not wait for them."""
        if self._is_contact or not self._contacts or self.membership.list_peers():
            return True
        return self._clock() - self._started_at >= JOIN_TIMEOUT_S

    def has_met_fleet(self) -> bool:
        """Return whether this node may know most of the other nodes.

        It has met a majority of its seed contacts, itself included. Of several groups of nodes
        that have started while they could not reach each other, only one has. The result stays
        true, since a node remembers the nodes that fail later.
        """
        if not self._has_met_seeds:
            self._has_met_seeds = self._meets_seeds()
        return self._has_met_seeds

    def _meets_seeds(self) -> bool:
        membership = self.membership
        known = {
            info.notice_address
            for info in (membership.own, *membership.list_peers(), *membership.list_failed())
        }
        if 2 * len(self._seeds & known) > len(self._seeds) or not self._seeds:
            return True
        started_long_ago = self._clock() - self._started_at >= SEEDS_TIMEOUT_S
        return started_long_ago and len(known) > 1

    def get_reader_rank(self) -> int | None:
        """Return the rank of this node among the nodes that may read the metadata store.

        Nodes that fail to reach the store, and nodes that are leaving, come last. The result is
        ``None`` while this node is still joining the others.
        """
        if not self.is_settled():
            return None
        own = self.membership.own
        own_key = _get_reader_key(own)
        return sum(_get_reader_key(info) < own_key for info in self.membership.list_peers())

    def add_contact(self, address: str) -> None:
        """Add the datagram address of a node that this node may not know."""
        if address != self.membership.own.notice_address:
            self._contacts.add(address)

    def update_own(self, **changes: t.Any) -> None:
        """Change fields of this node's state, and publish it if any differs."""
        if self.membership.update_own(**changes):
            self.publish(nodes=[self.membership.own])

    def publish(
        self,
        *,
        nodes: t.Iterable[NodeInfo] = (),
        suspected: t.Iterable[tuple[str, int]] = (),
        departures: t.Iterable[Departure] = (),
        servers: ServersNotice | None = None,
        request_limits: t.Iterable[RequestLimit] = (),
        crashes: t.Iterable[CrashReport] = (),
        evacuations: EvacuationState | None = None,
        urgent: bool = False,
    ) -> None:
        """Send news to a few nodes, which forward it.

        :param urgent: whether to send at once, and to twice as many nodes.
        """
        self._outbox.add(
            nodes, suspected, departures, servers, request_limits, crashes, evacuations
        )
        if urgent:
            self._flush(2 * FANOUT)
            return
        if self._flush_timer is None and not self._closed:
            loop = asyncio.get_running_loop()
            self._flush_timer = loop.call_later(UPDATE_DELAY_S, self._flush, FANOUT)

    async def run_forever(self) -> None:
        """Ping other nodes until cancelled."""
        self._ran_at = self._clock()
        self._schedule_pause_check()
        while True:
            period_s = PING_PERIOD_S * self._rng.uniform(0.9, 1.1)
            if not self.membership.list_peers() and self._contacts:
                self._joined.clear()
                self._contact(list(self._contacts))
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(period_s if self.is_settled() else JOIN_PERIOD_S):
                        await self._joined.wait()
                self._notify_changes()
                continue
            started_at = self._clock()
            await self._detector.ping_next_nodes()
            self._contact_unreachable()
            for info in self.membership.expire():
                _logger.warning(
                    "Node {} has failed; callers are no longer sent to it.", info.vm_id
                )
            self._notify_changes()
            await asyncio.sleep(max(0.0, started_at + period_s - self._clock()))

    def handle(self, message: FleetMessage) -> None:
        """Handle one message of another node."""
        sender = message.sender
        if self._closed or sender.vm_id == self.membership.own.vm_id:
            return
        self.check_pause()
        was_suspected = self.membership.is_suspected(sender)
        if self.membership.record_contact(sender):
            _logger.info("Node {} at {} has a new state.", sender.vm_id, sender.notice_address)
            self.publish(nodes=[sender])
        self._joined.set()
        if isinstance(message, Ping):
            self._detector.answer(message, suspected=was_suspected)
        elif isinstance(message, Ack):
            self._detector.handle_ack(message)
        elif isinstance(message, PingRequest):
            self._detector.relay_ping(message)
        elif isinstance(message, NodesRequest):
            self._send_nodes(sender.notice_address, message.group_hashes)
        elif isinstance(message, Update):
            if sender.vm_id == self._nodes_requested_from:
                self._nodes_requested_from = None
            self._handle_update(message)
        self._compare(sender, message.digest)
        self._notify_changes()

    def close(self) -> None:
        """Send nothing more."""
        self._closed = True
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        if self._pause_timer is not None:
            self._pause_timer.cancel()

    def check_pause(self) -> None:
        """Distrust what is known of other nodes if this node was paused; ping them all then."""
        now = self._clock()
        pause_s = now - self._ran_at
        self._ran_at = now
        if pause_s < MIN_PAUSE_S or not self.membership.list_peers():
            return
        _logger.warning(
            "This node was paused for {:.1f} s; callers are sent to other nodes again as these "
            "answer.",
            pause_s,
        )
        self.membership.distrust()
        for info in self.membership.list_distrusted():
            self._detector.send_ping(info.notice_address)

    def _schedule_pause_check(self) -> None:
        if self._pause_timer is not None:
            self._pause_timer.cancel()
        if self._closed:
            return
        self.check_pause()
        loop = asyncio.get_running_loop()
        self._pause_timer = loop.call_later(PAUSE_CHECK_INTERVAL_S, self._schedule_pause_check)

    def _build_digest(self) -> StateDigest:
        return self._handlers.get_digest(combine_digests(self.membership.compute_digests()))

    def _get_header(self) -> dict[str, t.Any]:
        return {"sender": self.membership.own, "digest": self._build_digest()}

    def _handle_update(self, message: Update) -> None:
        own_version = self.membership.own.version
        new_nodes = [info for info in message.nodes if self.membership.apply(info)]
        new_suspicions = [
            (vm_id, version)
            for vm_id, version in message.suspected
            if self.membership.suspect(vm_id, version) and vm_id != self.membership.own.vm_id
        ]
        new_nodes = [info for info in new_nodes if info.vm_id != self.membership.own.vm_id]
        if self.membership.own.version != own_version:
            new_nodes.append(self.membership.own)
        new_departures = self._handlers.add_departures(message.departures)
        new_limits = self._handlers.add_request_limits(message.request_limits + message.warmups)
        new_crashes = self._handlers.add_crashes(message.crashes)
        servers = message.servers
        if servers is not None and not self._handlers.apply_servers(servers):
            servers = None
        evacuations = message.evacuations
        if evacuations is not None:
            evacuations = self._handlers.apply_evacuations(evacuations)
        news = (new_nodes, new_suspicions, new_departures, new_limits, new_crashes)
        if any(news) or servers is not None or evacuations is not None:
            self.publish(
                nodes=new_nodes,
                suspected=new_suspicions,
                departures=new_departures,
                servers=servers,
                request_limits=new_limits,
                crashes=new_crashes,
                evacuations=evacuations,
                # With the usual fanout, about 1 node in 50 would not get the message, and would
                # learn of the evacuation only by the next ping.
                urgent=evacuations is not None,
            )

    def _compare(self, sender: NodeInfo, digest: StateDigest) -> None:
        self._handlers.on_digest(sender, digest)
        digests = self.membership.compute_digests()
        now = self._clock()
        if digest.nodes_hash == combine_digests(digests):
            return
        answered = self._nodes_requested_from is None
        interval_s = NODES_REQUEST_INTERVAL_S if answered else NODES_REPLY_TIMEOUT_S
        if now - self._nodes_requested_at < interval_s:
            return
        self._nodes_requested_at = now
        self._nodes_requested_from = sender.vm_id
        request = NodesRequest(group_hashes=digests, **self._get_header())
        self._send(sender.notice_address, request)

    def _send_nodes(self, address: str, group_hashes: list[int]) -> None:
        nodes, suspected = self.membership.list_differing(group_hashes)
        outbox = Outbox()
        outbox.add(nodes, suspected, [], None)
        for content in outbox.take_parts():
            self._send(address, Update(**content, **self._get_header()))

    def _contact_unreachable(self) -> None:
        """Ping one node that has failed, or one contact that is no known node, now and then.

        Two parts of the fleet that were cut off from each other find each other in this way.
        """
        now = self._clock()
        if now - self._contacted_at < CONTACT_INTERVAL_S:
            return
        known = {info.notice_address for info in self.membership.list_peers()}
        failed = {info.notice_address for info in self.membership.list_failed()}
        addresses = sorted((self._contacts | failed) - known)
        if addresses:
            self._contact([self._rng.choice(addresses)])

    def _contact(self, addresses: list[str]) -> None:
        self._contacted_at = self._clock()
        for address in addresses:
            self._detector.send_ping(address)

    def _flush(self, fanout: int) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
        self._flush_timer = None
        if self._closed:
            return
        peers = self.membership.list_peers()
        receivers = self._rng.sample(peers, min(fanout, len(peers)))
        for content in self._outbox.take_parts():
            update = Update(**content, **self._get_header())
            for receiver in receivers:
                self._send(receiver.notice_address, update)

    def _notify_changes(self) -> None:
        if self.membership.state_changes != self._last_state_changes:
            self._last_state_changes = self.membership.state_changes
            self._handlers.on_nodes_changed()


def _get_reader_key(info: NodeInfo) -> tuple[bool, bool, int]:
    unsuitable = info.leaving or not info.reads_store
    # Builds without evacuations don't pass them on, so other nodes must read the store as well.
    unaware = info.evacuated is None
    return unsuitable, unaware, xxhash.xxh3_64_intdigest(info.vm_id.encode())
