"""Following the metadata store: the routing table, the servers, and the other nodes.

Each node waits for a new routing table by itself and tells its peers. The list of servers changes
with every heartbeat, so one node at a time reads it for all: each reads when the list has grown
older than its rank allows, and the first one to read keeps the others from it. The same node looks
at the newest routing table now and then, since a store in trouble may leave a waiting call
unanswered until its time is over.
"""

from __future__ import annotations

import asyncio
import time
import typing as t

import logbook
import msgspec

from ..exceptions import InvalidRecordError
from ..exceptions import PlatformError
from ..exceptions import RecordsTrimmedError
from ..membership.registry import ServerChange
from ..membership.registry import ServerListing
from ..membership.registry import ServerRegistry
from ..peers.messages import Message
from ..peers.messages import ServersNotice
from ..peers.messages import TableNotice
from ..routing.routes import RoutingTable

ROUTING_TABLE_POLL_TIMEOUT_S = 8.0
MAX_SERVER_LIST_AGE_S = 0.5
# with the list's age this bounds how late a table is found that no waiting call was told of
ROUTING_TABLE_CHECK_PERIOD_S = 0.7
READ_DELAY_PER_RANK_S = 0.12
SERVER_LIST_CHECK_PERIOD_S = 0.05
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
NODE_LIST_PERIOD_S = 10.0
NODE_LIST_PERIOD_UNREADY_S = 1.0
_logger = logbook.Logger("store")


class NodeRecord(msgspec.Struct, kw_only=True, frozen=True):
    """A node's own entry in the store.

    :param peer_address: where the other nodes reach it.
    """

    vm_id: str
    peer_address: str


class RoutingTableRead(t.NamedTuple):
    """A routing table as the store holds it, ``None`` if there is none newer.

    :param position: where its changes go on.
    """

    table: RoutingTable | None
    position: int


class MetadataStore(t.Protocol):
    """What a node asks of the metadata store; all raise :exc:`PlatformError`."""

    async def read_table(self) -> RoutingTableRead:
        """Return the newest routing table."""

    async def await_table(self, position: int, wait_s: float) -> RoutingTableRead:
        """Return a routing table written after a position, waiting for it for a while."""

    async def read_servers(self) -> tuple[list[ServerListing], int]:
        """Return all servers, and the position at which changes go on."""

    async def read_server_changes(self, position: int) -> tuple[list[ServerChange], int]:
        """Return the changes after a position, and the new position."""

    async def write_node(self, record: NodeRecord) -> None:
        """Enter a node."""

    async def read_nodes(self) -> list[NodeRecord]:
        """Return all nodes ever entered."""


class Backoff:
    """The growing pause after failed calls.

    >>> backoff = Backoff()
    >>> backoff.fail(), backoff.fail(), backoff.fail(), backoff.fail()
    (0.2, 0.4, 0.8, 1.0)
    """

    __slots__ = ("_pause_s", "failing")

    def __init__(self) -> None:
        self._pause_s = INITIAL_BACKOFF_S
        self.failing = False

    def record_failure(self) -> float:
        """Return for how long to pause, in seconds."""
        self.failing = True
        pause_s = self._pause_s
        self._pause_s = min(2 * pause_s, MAX_BACKOFF_S)
        return pause_s

    def record_success(self) -> bool:
        """Start anew; returns whether the last call had failed."""
        recovered = self.failing
        self.failing = False
        self._pause_s = INITIAL_BACKOFF_S
        return recovered


class StoreWatcher:
    """Reads the store for one node.

    :param store: the store.
    :param registry: the servers.
    :param on_table: called with each newer routing table and where it comes from.
    :param notify: sends a message to all peers.
    :param get_rank: returns the node's place among the live ones, 0 for the first.
    :param meet: called with the peer address of each node that the store knows.
    :param record: the node's own entry.
    """

    def __init__(
        self,
        *,
        store: MetadataStore,
        registry: ServerRegistry,
        on_routing_table: t.Callable[[RoutingTable, str], bool],
        broadcast: t.Callable[[Message], None],
        get_rank: t.Callable[[], int],
        add_peer: t.Callable[[str], None],
        own_record: NodeRecord,
    ) -> None:
        self._store = store
        self._registry = registry
        self._on_table = on_routing_table
        self._notify = broadcast
        self._get_rank = get_rank
        self._meet = add_peer
        self._record = own_record
        self._table_checked_at = float("-inf")

    async def watch_routing_table(self) -> None:
        """Follow the routing table until cancelled."""
        backoff = Backoff()
        position = None
        while True:
            try:
                if position is None:
                    read = await self._store.read_table()
                else:
                    read = await self._store.await_table(position, ROUTING_TABLE_POLL_TIMEOUT_S)
            except InvalidRecordError as error:
                _logger.error("Routing table ignored: {}", error)
                position = None
                await asyncio.sleep(backoff.record_failure())
                continue
            except RecordsTrimmedError:
                position = None
                continue
            except PlatformError as error:
                self._note_failure("routing table", error, backoff)
                position = None
                await asyncio.sleep(backoff.record_failure())
                continue
            self._note_success("routing table", backoff)
            position = read.position
            self._table_checked_at = time.monotonic()
            self._take_table(read)
            if read.table is None and position == 0:
                # nothing was ever written, and a wait at the beginning may be refused
                await asyncio.sleep(INITIAL_BACKOFF_S)

    async def watch_servers(self) -> None:
        """Keep the list of servers fresh, together with the other nodes."""
        backoff = Backoff()
        while True:
            age_limit_s = MAX_SERVER_LIST_AGE_S + READ_DELAY_PER_RANK_S * self._get_rank()
            if self._registry.loaded and self._registry.get_list_age_s() < age_limit_s:
                await asyncio.sleep(SERVER_LIST_CHECK_PERIOD_S)
                self._registry.expire_servers()
                continue
            try:
                await self._read_servers()
                await self._check_table()
            except RecordsTrimmedError:
                self._registry.position = -1
            except InvalidRecordError as error:
                _logger.error("Routing table ignored: {}", error)
            except PlatformError as error:
                self._note_failure("servers", error, backoff)
                await asyncio.sleep(backoff.record_failure())
                continue
            self._note_success("servers", backoff)

    async def watch_nodes(self, is_ready: t.Callable[[], bool]) -> None:
        """Enter this node, and meet the others."""
        entered = False
        backoff = Backoff()
        while True:
            try:
                if not entered:
                    await self._store.write_node(self._record)
                    entered = True
                for record in await self._store.read_nodes():
                    self._meet(record.peer_address)
            except PlatformError as error:
                self._note_failure("nodes", error, backoff)
                await asyncio.sleep(backoff.record_failure())
                continue
            self._note_success("nodes", backoff)
            await asyncio.sleep(NODE_LIST_PERIOD_S if is_ready() else NODE_LIST_PERIOD_UNREADY_S)

    async def _read_servers(self) -> None:
        began_at = time.monotonic()
        begin = self._registry.position
        if begin < 0:
            listings, end = await self._store.read_servers()
            self._registry.mark_confirmed(time.monotonic() - began_at)
            self._registry.replace_listings(listings, end)
            _logger.info("Read {} servers, up to position {}.", len(listings), end)
            return
        changes, end = await self._store.read_server_changes(begin)
        age_s = time.monotonic() - began_at
        self._registry.mark_confirmed(age_s)
        self._registry.apply_changes(changes, end)
        notice = ServersNotice(begin=begin, end=end, age_s=age_s, changes=changes)
        self._notify(notice)

    async def _check_table(self) -> None:
        now = time.monotonic()
        if now - self._table_checked_at < ROUTING_TABLE_CHECK_PERIOD_S:
            return
        read = await self._store.read_table()
        self._table_checked_at = now
        self._take_table(read)

    def _take_table(self, read: RoutingTableRead) -> None:
        if read.table is not None and self._on_table(read.table, "store"):
            self._notify(TableNotice(table=read.table))

    def apply_notice(self, notice: ServersNotice) -> None:
        """Take the changes that a peer has read, unless some before them are missing."""
        position = self._registry.position
        if position < notice.begin:
            return
        self._registry.mark_confirmed(notice.age_s)
        # repeated changes are recognised by their age, so overlapping ones do no harm
        self._registry.apply_changes(notice.changes, notice.end)

    def _note_failure(self, what: str, error: PlatformError, backoff: Backoff) -> None:
        if not backoff.failing:
            _logger.warning("Store lost for {}: {}", what, error)

    def _note_success(self, what: str, backoff: Backoff) -> None:
        if backoff.record_success():
            _logger.info("Store answers again for {}.", what)
