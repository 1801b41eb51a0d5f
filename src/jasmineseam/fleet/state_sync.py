"""Transfer of the routing table and the server list between nodes.

The digests in the messages of other nodes show which of them knows something newer. This node then
requests what it lacks from one of them.
"""

from __future__ import annotations

import asyncio
import collections
import random
import time
import typing as t
import zlib

import logbook
import msgspec

from ..exceptions import InvalidMessageError
from ..exceptions import PeerError
from ..membership.evacuations import Evacuations
from ..membership.evacuations import EvacuationState
from ..membership.nodes import NodeInfo
from ..membership.registry import ServerRegistry
from ..membership.request_limits import RequestLimit
from ..membership.request_limits import RequestLimits
from ..peers.messages import ServersNotice
from ..peers.messages import StateDigest
from ..peers.messages import StateReply
from ..peers.messages import StateRequest
from ..peers.rpc import PeerClients
from ..routing.quarantine import CrashQuarantine
from ..routing.quarantine import CrashReport
from ..routing.routes import RoutingTable
from .table_confirmation import TableConfirmation
from .table_confirmation import sends_complete_tables

REQUEST_TIMEOUT_S = 0.5
# News of the server list that arrives out of order is complete within this time.
REORDERING_TIME_S = 0.03
RETRY_DELAY_S = 0.05
# Interval between two requests only because of departures, limits or crashes that may be
# missing.
NOTICES_REQUEST_INTERVAL_S = 1.0
# An announcement of evacuations no longer counts if it is not repeated within this time, since its
# sender may have failed. Each node hears from others every 0.5 s.
ANNOUNCEMENT_LIFETIME_S = 2.0
# A connection to a node is closed if it was not used for this time.
IDLE_CONNECTION_S = 5.0
# changes of the server list that are kept for nodes that lack only those
MAX_KEPT_CHANGES = 1000
# A table that is larger when decompressed is rejected.
MAX_TABLE_BYTES = 64 * 1024 * 1024
NO_TABLE_VERSION = -1
_logger = logbook.Logger("sync")


def compress_table(table: RoutingTable) -> bytes:
    """Encode and compress a routing table."""
    return zlib.compress(msgspec.msgpack.encode(table))


def decompress_table(data: bytes) -> RoutingTable:
    """Decode a compressed routing table.

    :raises InvalidMessageError: if the data is malformed or too large.

    >>> table = RoutingTable(version=7, routes=[], services=[])
    >>> decompress_table(compress_table(table)).version
    7
    """
    decompressor = zlib.decompressobj()
    try:
        encoded = decompressor.decompress(data, MAX_TABLE_BYTES)
        if decompressor.unconsumed_tail:
            raise InvalidMessageError(f"routing table exceeds {MAX_TABLE_BYTES} bytes")
        return msgspec.msgpack.decode(encoded, type=RoutingTable)
    except (zlib.error, msgspec.MsgspecError, RecursionError) as error:
        raise InvalidMessageError(f"malformed routing table: {error}") from error


class ServerChangeLog:
    """The newest changes of the server list, for nodes that lack only those."""

    __slots__ = ("_change_count", "_notices")

    def __init__(self) -> None:
        self._notices: collections.deque[ServersNotice] = collections.deque()
        self._change_count = 0

    def append(self, notice: ServersNotice) -> None:
        """Add changes that follow those added last."""
        if self._notices and notice.begin != self._notices[-1].end:
            self._notices.clear()
            self._change_count = 0
        self._notices.append(notice)
        self._change_count += len(notice.changes)
        while self._change_count > MAX_KEPT_CHANGES:
            self._change_count -= len(self._notices.popleft().changes)

    def get_changes_since(self, position) -> ServersNotice | None:
        """Return all changes after a store position, ``None`` if they are not kept."""
        following = [notice for notice in self._notices if notice.end > position]
        if not following or following[0].begin > position:
            return None
        changes = [change for notice in following for change in notice.changes]
        return ServersNotice(begin=position, end=following[-1].end, changes=changes)


class StateSynchronizer:
    """Requests newer state from other nodes, and answers such requests.

    :param registry: the server list of this node.
    :param request_limits: the limits that servers name.
    :param quarantine: the requests that ran on servers that crashed.
    :param peer_clients: connections for requests to other nodes.
    :param get_table: returns the routing table of this node, ``None`` if it has none.
    :param apply_table: applies a routing table from the node with the given VM id, which may be
        provisional, see :class:`.TableConfirmation`.
    :param add_request_limits: applies limits that servers name.
    :param add_crashes: applies reports of crashes.
    :param evacuations: the evacuated failure domains.
    :param apply_evacuations: applies evacuated failure domains.
    """

    def __init__(
        self,
        *,
        registry: ServerRegistry,
        request_limits: RequestLimits,
        quarantine: CrashQuarantine,
        peer_clients: PeerClients,
        get_table: t.Callable[[], RoutingTable | None],
        apply_table: t.Callable[..., bool],
        add_request_limits: t.Callable[[list[RequestLimit]], t.Any],
        add_crashes: t.Callable[[list[CrashReport]], t.Any],
        evacuations: Evacuations,
        apply_evacuations: t.Callable[[EvacuationState], t.Any],
    ) -> None:
        self._registry = registry
        self._request_limits = request_limits
        self._add_request_limits = add_request_limits
        self._quarantine = quarantine
        self._add_crashes = add_crashes
        self._evacuations = evacuations
        self._apply_evacuations = apply_evacuations
        # digest of the node that has last announced evacuations which this node lacked
        self._announced: StateDigest | None = None
        self._announced_at = float("-inf")
        self._peer_clients = peer_clients
        self._get_table = get_table
        self._apply_table = apply_table
        self.table_confirmation = TableConfirmation(clock=time.monotonic)
        self.change_log = ServerChangeLog()
        # nodes with newer state, and their digests
        self._sources: dict[str, tuple[NodeInfo, StateDigest]] = {}
        self._rng = random.Random()
        self._task: asyncio.Task | None = None
        self._compressed_table = (NO_TABLE_VERSION, b"")
        self.request_count = 0
        self._notices_requested_at = float("-inf")

    def build_digest(self, nodes_hash: int) -> StateDigest:
        """Return the summary of what this node knows."""
        registry = self._registry
        age_ms = min(round(registry.get_list_age_s() * 1000), 2**31)
        return StateDigest(
            nodes_hash=nodes_hash,
            table_version=self._get_table_version(),
            servers_position=registry.position,
            servers_age_ms=age_ms if registry.loaded else -1,
            notices_hash=self._compute_notices_hash(),
            table_age_ms=self.table_confirmation.get_age_ms(),
            evacuations_position=self._evacuations.state.position,
            evacuations_hash=self._evacuations.compute_hash(),
        )

    def lacks_evacuations(self) -> bool:
        """Return whether another node has announced evacuations that this node lacks."""
        if self._announced is None:
            return False
        if time.monotonic() - self._announced_at > ANNOUNCEMENT_LIFETIME_S:
            return False
        return self._differs_in_evacuations(self._announced)

    def handle_digest(self, sender: NodeInfo, digest: StateDigest) -> None:
        """Confirm the own state by the digest of another node, or request what is newer."""
        self.table_confirmation.record_digest(digest, self._get_table_version())
        registry = self._registry
        position = digest.servers_position
        if (
            registry.loaded
            and digest.servers_age_ms >= 0
            and position.timeline == registry.position.timeline
            and position <= registry.position
        ):
            registry.mark_confirmed(digest.servers_age_ms / 1000)
        if self._differs_in_evacuations(digest):
            self._announced = digest
            self._announced_at = time.monotonic()
        if not self._is_newer(digest):
            return
        self._sources.pop(sender.vm_id, None)
        self._sources[sender.vm_id] = (sender, digest)
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._request_newer())

    def handle_request(self, request: StateRequest) -> StateReply:
        """Return what the requesting node lacks."""
        registry = self._registry
        reply = StateReply()
        if self._get_table_version() > request.table_version:
            reply.table = self._get_compressed_table()
        if registry.loaded and registry.position > request.servers_position:
            reply.servers = self.change_log.get_changes_since(request.servers_position)
            if reply.servers is None:
                reply.listings = registry.list_listings()
        reply.servers_position = registry.position
        reply.servers_age_s = registry.get_list_age_s()
        reply.departures = registry.list_departures()
        reply.request_limits = self._request_limits.list_limits()
        reply.warmups = self._request_limits.list_warmups()
        reply.crashes = self._quarantine.list_reports()
        reply.evacuations = self._evacuations.state
        return reply

    def apply_notice(self, notice: ServersNotice) -> bool:
        """Apply changes of the server list; return whether they were new and complete."""
        applied = self._registry.apply_changes(notice.changes, notice.begin, notice.end)
        if applied:
            self.change_log.append(notice)
        return applied

    def close_idle_connections(self) -> None:
        """Close connections to nodes that have not been used for some time."""
        self._peer_clients.close_idle(IDLE_CONNECTION_S)

    def close(self) -> None:
        """Stop a running request."""
        if self._task is not None:
            self._task.cancel()

    def _get_table_version(self) -> int:
        table = self._get_table()
        return NO_TABLE_VERSION if table is None else table.version

    def _get_compressed_table(self) -> bytes:
        table = self._get_table()
        if self._compressed_table[0] != table.version:
            self._compressed_table = (table.version, compress_table(table))
        return self._compressed_table[1]

    def _is_newer(self, digest: StateDigest) -> bool:
        if self._needs_table_of(digest):
            return True
        if digest.evacuations_position > self._evacuations.state.position:
            return True
        may_request_notices = (
            time.monotonic() - self._notices_requested_at > NOTICES_REQUEST_INTERVAL_S
        )
        if may_request_notices and self._differs_in_evacuations(digest):
            return True
        registry = self._registry
        if digest.servers_age_ms < 0:
            return False
        if digest.servers_position > registry.position:
            return True
        # Either node may lack departures, limits or crashes; both request them, but not often.
        return (
            digest.servers_position == registry.position
            and digest.notices_hash != self._compute_notices_hash()
            and may_request_notices
        )

    def _needs_table_of(self, digest: StateDigest) -> bool:
        """Return whether to request another node's routing table.

        A node of an earlier build leaves out fields that it does not know. Its table is used only
        by a node that has none. Otherwise this node waits for a complete one and reads the store.
        """
        own_version = self._get_table_version()
        if sends_complete_tables(digest):
            provisional = self.table_confirmation.provisional
            return digest.table_version > own_version - int(provisional)
        if digest.table_version > own_version >= 0:
            self.table_confirmation.wanted_version = digest.table_version
            return False
        return digest.table_version > own_version

    def _apply_received_table(self, data: bytes, source: NodeInfo, digest: StateDigest) -> None:
        complete = sends_complete_tables(digest)
        if not complete and self._get_table() is not None:
            return
        self._apply_table(decompress_table(data), source.vm_id, provisional=not complete)

    def _differs_in_evacuations(self, digest: StateDigest) -> bool:
        """Return whether this node may lack evacuations that the sender of a digest knows."""
        position = self._evacuations.state.position
        if digest.evacuations_position != position:
            return digest.evacuations_position > position
        return digest.evacuations_hash != self._evacuations.compute_hash()

    def _compute_notices_hash(self) -> int:
        """Return a hash over what nodes observe of servers and send each other."""
        return (
            self._registry.compute_leaving_hash()
            ^ self._request_limits.compute_hash()
            ^ self._quarantine.compute_hash()
        )

    async def _request_newer(self) -> None:
        while self._sources:
            if self._registry.loaded:
                await asyncio.sleep(REORDERING_TIME_S)
            vm_id = self._rng.choice(list(self._sources))
            source, digest = self._sources.pop(vm_id)
            if not self._is_newer(digest):
                continue
            try:
                await self._request_from(source, digest)
            except (PeerError, InvalidMessageError) as error:
                _logger.warning("No newer state from node {}; retrying: {}", vm_id, error)
                await asyncio.sleep(RETRY_DELAY_S)

    async def _request_from(self, source: NodeInfo, digest: StateDigest) -> None:
        self.request_count += 1
        self._notices_requested_at = time.monotonic()
        address = source.peer_address
        # A provisional table is replaced by a complete one of the same version.
        provisional = self.table_confirmation.provisional
        request = StateRequest(
            table_version=self._get_table_version() - int(provisional),
            servers_position=self._registry.position,
        )
        reply = await self._peer_clients.get(address).request(request, REQUEST_TIMEOUT_S)
        if not isinstance(reply, StateReply):
            raise InvalidMessageError(f"unexpected reply {type(reply).__name__}")
        # The routing table can make this node ready, so evacuations are applied before it.
        if reply.evacuations is not None:
            self._apply_evacuations(reply.evacuations)
        if reply.table:
            self._apply_received_table(reply.table, source, digest)
        for departure in reply.departures:
            self._registry.add_departure(departure)
        if reply.listings is not None:
            self._registry.replace_listings(reply.listings, reply.servers_position)
            _logger.info(
                "Applied a list of {} servers from node {}.", len(reply.listings), source.vm_id
            )
        elif reply.servers is not None:
            self.apply_notice(reply.servers)
        if reply.servers_position == self._registry.position:
            self._registry.mark_confirmed(reply.servers_age_s)
        # A limit of a server that is not listed would be forgotten by each node in turn, and
        # returned by the others.
        self._add_request_limits(
            [
                limit
                for limit in (*reply.request_limits, *reply.warmups)
                if self._registry.get_server(limit.server_id) is not None
            ]
        )
        self._add_crashes(reply.crashes)
