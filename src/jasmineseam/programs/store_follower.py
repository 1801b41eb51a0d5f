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

from ..exceptions import PlatformError
from ..exceptions import RecordInvalidError
from ..exceptions import RecordsTrimmedError
from ..membership.registry import Listing
from ..membership.registry import Registry
from ..membership.registry import ServerChange
from ..peers.messages import Message
from ..peers.messages import ServersNotice
from ..peers.messages import TableNotice
from ..routing.routes import RoutingTable

TABLE_WAIT_S = 8.0
LIST_AGE_S = 0.5
# with the list's age this bounds how late a table is found that no waiting call was told of
TABLE_CHECK_S = 0.7
RANK_STEP_S = 0.12
CHECK_PERIOD_S = 0.05
FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 1.0
NODES_PERIOD_S = 10.0
NODES_PERIOD_UNREADY_S = 1.0
_logger = logbook.Logger("store")


class NodeRecord(msgspec.Struct, kw_only=True, frozen=True):
    """A node's own entry in the store.

    :param peer_address: where the other nodes reach it.
    """

    vm_id: str
    peer_address: str


class TableRead(t.NamedTuple):
    """A routing table as the store holds it, ``None`` if there is none newer.

    :param position: where its changes go on.
    """

    table: RoutingTable | None
    position: int


class Store(t.Protocol):
    """What a node asks of the metadata store; all raise :exc:`PlatformError`."""

    async def read_table(self) -> TableRead:
        """Return the newest routing table."""

    async def await_table(self, position: int, wait_s: float) -> TableRead:
        """Return a routing table written after a position, waiting for it for a while."""

    async def read_servers(self) -> tuple[list[Listing], int]:
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
        self._pause_s = FIRST_BACKOFF_S
        self.failing = False

    def fail(self) -> float:
        """Return for how long to pause, in seconds."""
        self.failing = True
        pause_s = self._pause_s
        self._pause_s = min(2 * pause_s, LONGEST_BACKOFF_S)
        return pause_s

    def succeed(self) -> bool:
        """Start anew; returns whether the last call had failed."""
        recovered = self.failing
        self.failing = False
        self._pause_s = FIRST_BACKOFF_S
        return recovered


class StoreFollower:
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
        store: Store,
        registry: Registry,
        on_table: t.Callable[[RoutingTable, str], bool],
        notify: t.Callable[[Message], None],
        get_rank: t.Callable[[], int],
        meet: t.Callable[[str], None],
        record: NodeRecord,
    ) -> None:
        self._store = store
        self._registry = registry
        self._on_table = on_table
        self._notify = notify
        self._get_rank = get_rank
        self._meet = meet
        self._record = record
        self._table_checked_at = float("-inf")

    async def follow_table(self) -> None:
        """Follow the routing table until cancelled."""
        backoff = Backoff()
        position = None
        while True:
            try:
                if position is None:
                    read = await self._store.read_table()
                else:
                    read = await self._store.await_table(position, TABLE_WAIT_S)
            except RecordInvalidError as error:
                _logger.error("Routing table ignored: {}", error)
                position = None
                await asyncio.sleep(backoff.fail())
                continue
            except RecordsTrimmedError:
                position = None
                continue
            except PlatformError as error:
                self._note_failure("routing table", error, backoff)
                position = None
                await asyncio.sleep(backoff.fail())
                continue
            self._note_success("routing table", backoff)
            position = read.position
            self._table_checked_at = time.monotonic()
            self._take_table(read)
            if read.table is None and position == 0:
                # nothing was ever written, and a wait at the beginning may be refused
                await asyncio.sleep(FIRST_BACKOFF_S)

    async def follow_servers(self) -> None:
        """Keep the list of servers fresh, together with the other nodes."""
        backoff = Backoff()
        while True:
            age_limit_s = LIST_AGE_S + RANK_STEP_S * self._get_rank()
            if self._registry.loaded and self._registry.get_age_s() < age_limit_s:
                await asyncio.sleep(CHECK_PERIOD_S)
                self._registry.expire()
                continue
            try:
                await self._read_servers()
                await self._check_table()
            except RecordsTrimmedError:
                self._registry.position = -1
            except RecordInvalidError as error:
                _logger.error("Routing table ignored: {}", error)
            except PlatformError as error:
                self._note_failure("servers", error, backoff)
                await asyncio.sleep(backoff.fail())
                continue
            self._note_success("servers", backoff)

    async def follow_nodes(self, is_ready: t.Callable[[], bool]) -> None:
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
                await asyncio.sleep(backoff.fail())
                continue
            self._note_success("nodes", backoff)
            await asyncio.sleep(NODES_PERIOD_S if is_ready() else NODES_PERIOD_UNREADY_S)

    async def _read_servers(self) -> None:
        began_at = time.monotonic()
        begin = self._registry.position
        if begin < 0:
            listings, end = await self._store.read_servers()
            self._registry.note_read(time.monotonic() - began_at)
            self._registry.take_all(listings, end)
            _logger.info("Read {} servers, up to position {}.", len(listings), end)
            return
        changes, end = await self._store.read_server_changes(begin)
        age_s = time.monotonic() - began_at
        self._registry.note_read(age_s)
        self._registry.take_changes(changes, end)
        notice = ServersNotice(begin=begin, end=end, age_s=age_s, changes=changes)
        self._notify(notice)

    async def _check_table(self) -> None:
        now = time.monotonic()
        if now - self._table_checked_at < TABLE_CHECK_S:
            return
        read = await self._store.read_table()
        self._table_checked_at = now
        self._take_table(read)

    def _take_table(self, read: TableRead) -> None:
        if read.table is not None and self._on_table(read.table, "store"):
            self._notify(TableNotice(table=read.table))

    def take_notice(self, notice: ServersNotice) -> None:
        """Take the changes that a peer has read, unless some before them are missing."""
        position = self._registry.position
        if position < notice.begin:
            return
        self._registry.note_read(notice.age_s)
        # repeated changes are recognised by their age, so overlapping ones do no harm
        self._registry.take_changes(notice.changes, notice.end)

    def _note_failure(self, what: str, error: PlatformError, backoff: Backoff) -> None:
        if not backoff.failing:
            _logger.warning("Store lost for {}: {}", what, error)

    def _note_success(self, what: str, backoff: Backoff) -> None:
        if backoff.succeed():
            _logger.info("Store answers again for {}.", what)
