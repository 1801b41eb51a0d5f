"""Watching the metadata store for changes of the routing table, the servers and the nodes.

Each node waits for a new routing table with a long poll and broadcasts it to its peers. The server
list changes with every heartbeat, so only one node at a time reads it and broadcasts the changes.
A node reads the list when the age of its copy exceeds a limit that grows with the rank of the
node among the live nodes; the broadcast of the first reader resets the age at the other nodes. The
reader also reads the latest routing table periodically, since a failing store may leave a long
poll unanswered until it times out.

A restore of the store from a backup starts a new timeline. Positions of the earlier timeline are
then discarded, and the record of this node is written again.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing as t

import logbook
import msgspec

from ..exceptions import InvalidRecordError
from ..exceptions import PlatformError
from ..exceptions import RecordsTrimmedError
from ..exceptions import StoreRestoredError
from ..membership.registry import ServerChange
from ..membership.registry import ServerListing
from ..membership.registry import ServerRegistry
from ..membership.store_position import UNKNOWN_POSITION
from ..membership.store_position import StorePosition
from ..peers.messages import Message
from ..peers.messages import ServersNotice
from ..peers.messages import TableNotice
from ..routing.routes import RoutingTable

ROUTING_TABLE_POLL_TIMEOUT_S = 8.0
MAX_SERVER_LIST_AGE_S = 0.5
# If the long poll does not return a new routing table, the node that reads the server list reads
# the table within the sum of this interval and MAX_SERVER_LIST_AGE_S.
ROUTING_TABLE_CHECK_INTERVAL_S = 0.7
SERVER_LIST_READ_DELAY_PER_RANK_S = 0.12
SERVER_LIST_AGE_CHECK_INTERVAL_S = 0.05
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
NODE_LIST_READ_INTERVAL_S = 10.0
NODE_LIST_READ_INTERVAL_WITHOUT_PEERS_S = 1.0
_logger = logbook.Logger("store")


class NodeRecord(msgspec.Struct, kw_only=True, frozen=True):
    """The record of a node in the metadata store.

    :param peer_address: ``ip:port`` at which the other nodes reach the node.
    """

    vm_id: str
    peer_address: str


class RoutingTableRead(t.NamedTuple):
    """Result of reading the routing table.

    :param table: the routing table, ``None`` if there is no newer one.
    :param position: the position in the store at which subsequent changes start.
    """

    table: RoutingTable | None
    position: StorePosition


class MetadataStoreProtocol(t.Protocol):
    """The operations of the metadata store; they raise :exc:`PlatformError` on failure."""

    async def read_routing_table(self) -> RoutingTableRead:
        """Return the latest routing table."""

    async def wait_for_routing_table(
        self, position: StorePosition, wait_s: float
    ) -> RoutingTableRead:
        """Wait up to *wait_s* seconds for a routing table at *position* or later."""

    async def read_servers(self) -> tuple[list[ServerListing], StorePosition]:
        """Return all servers and the position at which subsequent changes start."""

    async def read_server_changes(
        self, position: StorePosition
    ) -> tuple[list[ServerChange], StorePosition]:
        """Return the changes at *position* or later, and the position after them."""

    async def write_node(self, record: NodeRecord) -> int:
        """Write the record of a node; return the timeline of the store that holds it."""

    async def read_nodes(self) -> list[NodeRecord]:
        """Return the records of all nodes, including those that have left."""


class Backoff:
    """Exponential backoff after failed calls.

    >>> backoff = Backoff()
    >>> [backoff.record_failure() for _ in range(4)]
    [0.2, 0.4, 0.8, 1.0]
    """

    __slots__ = ("_delay_s", "failing")

    def __init__(self) -> None:
        self._delay_s = INITIAL_BACKOFF_S
        self.failing = False

    def record_failure(self) -> float:
        """Record a failed call; return the delay before the next call, in seconds."""
        self.failing = True
        delay_s = self._delay_s
        self._delay_s = min(2 * delay_s, MAX_BACKOFF_S)
        return delay_s

    def record_success(self) -> bool:
        """Reset the delay after a successful call; return whether the previous call failed."""
        recovered = self.failing
        self.failing = False
        self._delay_s = INITIAL_BACKOFF_S
        return recovered


class StoreWatcher:
    """Watches the metadata store on behalf of one node.

    :param store: the metadata store.
    :param registry: updated with the server list.
    :param on_routing_table: called with a routing table and its source; returns whether the table
        was newer and has been applied.
    :param broadcast: sends a message to all peers.
    :param get_rank: returns the rank of this node among the live nodes by VM id, starting at 0.
    :param add_peer: called with the peer address of each node in the store.
    :param own_record: the record of this node.
    """

    def __init__(
        self,
        *,
        store: MetadataStoreProtocol,
        registry: ServerRegistry,
        on_routing_table: t.Callable[[RoutingTable, str], bool],
        broadcast: t.Callable[[Message], None],
        get_rank: t.Callable[[], int],
        add_peer: t.Callable[[str], None],
        own_record: NodeRecord,
    ) -> None:
        self._store = store
        self._registry = registry
        self._on_routing_table = on_routing_table
        self._broadcast = broadcast
        self._get_rank = get_rank
        self._add_peer = add_peer
        self._own_record = own_record
        self._routing_table_read_at = float("-inf")
        # latest timeline of the store that this node has seen
        self._timeline = -1
        self._timeline_changed = asyncio.Event()
        self._read_all_servers_next = False

    async def watch_routing_table(self) -> None:
        """Apply and broadcast new routing tables until cancelled."""
        backoff = Backoff()
        position = None
        while True:
            try:
                if position is None:
                    read = await self._store.read_routing_table()
                else:
                    read = await self._store.wait_for_routing_table(
                        position, ROUTING_TABLE_POLL_TIMEOUT_S
                    )
            except InvalidRecordError as error:
                _logger.error(
                    "Ignoring an invalid routing table in the store; reading it again after a "
                    "delay: {}",
                    error,
                )
                position = None
                await asyncio.sleep(backoff.record_failure())
                continue
            except RecordsTrimmedError:
                position = None
                continue
            except StoreRestoredError as error:
                self._record_timeline(error.timeline)
                position = None
                continue
            except PlatformError as error:
                self._log_failure("routing table", error, backoff)
                position = None
                await asyncio.sleep(backoff.record_failure())
                continue
            self._log_recovery("routing table", backoff)
            position = read.position
            self._record_timeline(position.timeline)
            self._routing_table_read_at = time.monotonic()
            self._apply_routing_table(read)
            if read.table is None and position.offset == 0:
                # The store holds no routing table yet and may reject a long poll at position 0.
                await asyncio.sleep(INITIAL_BACKOFF_S)

    async def watch_servers(self) -> None:
        """Keep the server list up to date, sharing the reads with the other nodes."""
        backoff = Backoff()
        while True:
            age_limit_s = (
                MAX_SERVER_LIST_AGE_S + SERVER_LIST_READ_DELAY_PER_RANK_S * self._get_rank()
            )
            if self._registry.loaded and self._registry.get_list_age_s() < age_limit_s:
                await asyncio.sleep(SERVER_LIST_AGE_CHECK_INTERVAL_S)
                self._registry.expire_servers()
                continue
            try:
                await self._read_servers()
                await self._check_routing_table()
            except RecordsTrimmedError:
                self._read_all_servers_next = True
                continue
            except StoreRestoredError as error:
                self._record_timeline(error.timeline)
                continue
            except InvalidRecordError as error:
                _logger.error(
                    "Ignoring an invalid routing table in the store; reading it again with the "
                    "server list: {}",
                    error,
                )
            except PlatformError as error:
                self._log_failure("servers", error, backoff)
                await asyncio.sleep(backoff.record_failure())
                continue
            self._log_recovery("servers", backoff)

    async def watch_nodes(self, has_peers: t.Callable[[], bool]) -> None:
        """Register this node in the store and add the other nodes as peers.

        :param has_peers: returns whether peers are known; until then the store is read more often.
        """
        written_timeline = -1
        backoff = Backoff()
        while True:
            self._timeline_changed.clear()
            try:
                if written_timeline < 0 or written_timeline < self._timeline:
                    written_timeline = await self._store.write_node(self._own_record)
                    self._record_timeline(written_timeline)
                for record in await self._store.read_nodes():
                    self._add_peer(record.peer_address)
            except PlatformError as error:
                self._log_failure("nodes", error, backoff)
                await asyncio.sleep(backoff.record_failure())
                continue
            self._log_recovery("nodes", backoff)
            interval_s = (
                NODE_LIST_READ_INTERVAL_S
                if has_peers()
                else NODE_LIST_READ_INTERVAL_WITHOUT_PEERS_S
            )
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self._timeline_changed.wait()

    def _record_timeline(self, timeline: int) -> None:
        if timeline <= self._timeline:
            return
        if self._timeline >= 0:
            _logger.warning(
                "The store was restored from a backup; reading it again as of timeline {}.",
                timeline,
            )
            self._timeline_changed.set()
        self._timeline = timeline

    async def _read_servers(self) -> None:
        started_at = time.monotonic()
        begin = self._registry.position
        restored = begin.timeline < self._timeline
        if begin == UNKNOWN_POSITION or restored or self._read_all_servers_next:
            listings, end = await self._store.read_servers()
            self._record_timeline(end.timeline)
            self._read_all_servers_next = False
            if end < self._registry.position:
                return
            self._registry.mark_confirmed(time.monotonic() - started_at)
            self._registry.replace_listings(listings, end)
            _logger.info(
                "Read {} servers from the store, up to offset {} of timeline {}.",
                len(listings),
                end.offset,
                end.timeline,
            )
            return
        changes, end = await self._store.read_server_changes(begin)
        age_s = time.monotonic() - started_at
        self._registry.mark_confirmed(age_s)
        self._registry.apply_changes(changes, end)
        notice = ServersNotice(begin=begin, end=end, age_s=age_s, changes=changes)
        self._broadcast(notice)

    async def _check_routing_table(self) -> None:
        now = time.monotonic()
        if now - self._routing_table_read_at < ROUTING_TABLE_CHECK_INTERVAL_S:
            return
        read = await self._store.read_routing_table()
        self._record_timeline(read.position.timeline)
        self._routing_table_read_at = now
        self._apply_routing_table(read)

    def _apply_routing_table(self, read: RoutingTableRead) -> None:
        if read.table is not None and self._on_routing_table(read.table, "store"):
            self._broadcast(TableNotice(table=read.table))

    def apply_notice(self, notice: ServersNotice) -> None:
        """Apply server changes read by a peer, unless this node lacks earlier changes."""
        position = self._registry.position
        if position < notice.begin or position.timeline != notice.end.timeline:
            self._record_timeline(notice.end.timeline)
            return
        self._registry.mark_confirmed(notice.age_s)
        # The registry ignores listings that are older than the stored ones, so overlapping changes
        # can be applied again.
        self._registry.apply_changes(notice.changes, notice.end)

    def _log_failure(self, resource: str, error: PlatformError, backoff: Backoff) -> None:
        if not backoff.failing:
            _logger.warning("Access to {} in the store failed; retrying: {}", resource, error)

    def _log_recovery(self, resource: str, backoff: Backoff) -> None:
        if backoff.record_success():
            _logger.info("Access to {} in the store succeeds again.", resource)
