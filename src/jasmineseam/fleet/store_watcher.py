"""Watching the metadata store for changes of the routing table, the servers and the nodes.

Calls to the store must not grow with the number of nodes, so only a few nodes read it, the
readers. They spread what they have read to the other nodes. The other nodes read the store
themselves only if their server list has not been confirmed for a longer time.

A restore of the store from a backup starts a new timeline. Positions of the earlier timeline are
then discarded, and the records of nodes are written again.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import time
import typing as t

import logbook

from ..exceptions import PlatformError
from ..exceptions import RecordsTrimmedError
from ..exceptions import StoreRestoredError
from ..exceptions import StoreUnavailableError
from ..membership.evacuations import EvacuationState
from ..membership.registry import ServerChange
from ..membership.registry import ServerListing
from ..membership.registry import ServerRegistry
from ..membership.store_position import StorePosition
from ..peers.messages import ServersNotice
from ..routing.routes import RoutingTable
from .store_protocol import INITIAL_BACKOFF_S
from .store_protocol import Backoff
from .store_protocol import MetadataStoreProtocol
from .store_protocol import NodeRecord
from .store_protocol import RoutingTableRead

ROUTING_TABLE_POLL_TIMEOUT_S = 8.0
# number of nodes that read the store; with two, the failure of one delays nothing
READER_COUNT = 2
READ_INTERVAL_S = 0.5
# A failing store may leave a long poll unanswered, so a reader also reads the newest table within
# the sum of this interval and READ_INTERVAL_S.
ROUTING_TABLE_CHECK_INTERVAL_S = 0.9
# Other nodes read the server list if theirs is older than this, plus a time for each doubling of
# the number of nodes, in which confirmations reach all of them, and a delay by their rank.
MAX_SERVER_LIST_AGE_S = 1.0
SPREAD_TIME_PER_DOUBLING_S = 0.25
READ_DELAY_PER_RANK_S = 0.1
MAX_RANK_DELAY_S = 6.0
# After a longer pause, a reader reads the whole list instead of all records since then.
MAX_READ_GAP_S = 3.0
# A node without a list reads the store if no other node has provided one within this time. At the
# first start of the whole system, it waits for the readers; after a loss of power, callers wait.
FIRST_START_READ_DELAY_S = 2.0
RESTART_READ_DELAY_S = 0.1
MAX_WAIT_S = 0.5
# Interval at which a node checks whether it has to read the routing table. If the store leaves all
# calls of both readers unanswered, they find out after READ_INTERVAL_S and a timeout of 0.7 s, or
# 1.5 s while the store is slow; a new table must be in force 2.5 s after it was written.
ROUTING_TABLE_ROLE_CHECK_S = 0.1
# changes in one notice, so that it fits into a datagram
MAX_CHANGES_PER_NOTICE = 4
# number of nodes whose addresses are in the store, for nodes that know no other node
CONTACT_COUNT = 4
NODE_LIST_READ_INTERVAL_S = 10.0
NODE_LIST_READ_INTERVAL_WITHOUT_PEERS_S = 1.0
# A node whose read fails leaves the reading to others for this time. The store may turn away just
# some nodes.
FAILED_READER_PAUSE_S = 10.0
EXPIRY_INTERVAL_S = 0.1
# interval of the reads while servers without a listing are kept, which may publish it again just
# before they would be dropped
KEPT_SERVERS_READ_INTERVAL_S = 0.2
# While the store does not answer, the readers begin to read the server list at this interval, and
# the other nodes that have to read it at the longer one. A read that waits is not cancelled for
# the next one, since the store may only be slow.
READER_RETRY_INTERVAL_S = 0.4
RETRY_INTERVAL_S = 1.0
# A read that takes longer than this began while the store was out of reach, or slow.
USUAL_READ_TIME_S = 0.2
_logger = logbook.Logger("store")


class StoreWatcher:
    """Watches the metadata store on behalf of one node.

    :param store: the metadata store.
    :param registry: updated with the server list.
    :param on_routing_table: called with a routing table and its source; returns whether the table
        was newer and has been applied.
    :param on_evacuations: called with the evacuated failure domains as of a read of the store,
        before the routing table of the same read.
    :param on_server_changes: called with the changes that a read of the store has brought, in
        parts with their positions.
    :param get_rank: returns the rank of this node among those that may read the store, 0 for the
        first; ``None`` while this node is still joining the others.
    :param get_node_count: returns the number of nodes.
    :param set_reachable: called with whether this node can reach the store.
    :param add_contact: called with the address of each node in the store.
    :param own_record: the record of this node.
    :param first_start: whether the whole system starts for the first time.
    :param confirm_routing_table: called after each read of the routing table with the time since
        the read began, in seconds; also if the store holds an invalid table, since the valid one
        before it stays in force then.
    :param needs_routing_table: returns whether this node has to read the routing table although it
        does not read the store on behalf of the others.
    """

    def __init__(
        self,
        *,
        store: MetadataStoreProtocol,
        registry: ServerRegistry,
        on_routing_table: t.Callable[[RoutingTable, str], bool],
        on_server_changes: t.Callable[[list[ServersNotice]], None],
        get_rank: t.Callable[[], int | None],
        get_node_count: t.Callable[[], int],
        set_reachable: t.Callable[[bool], None],
        add_contact: t.Callable[[str], None],
        own_record: NodeRecord,
        first_start: bool = False,
        confirm_routing_table: t.Callable[[float], None] = lambda age_s: None,
        needs_routing_table: t.Callable[[], bool] = lambda: False,
        on_evacuations: t.Callable[[EvacuationState], None] = lambda state: None,
    ) -> None:
        self._store = store
        self._registry = registry
        self._on_routing_table = on_routing_table
        self._on_evacuations = on_evacuations
        self._on_server_changes = on_server_changes
        self._get_rank = get_rank
        self._get_node_count = get_node_count
        self._set_reachable = set_reachable
        self._add_contact = add_contact
        self._own_record = own_record
        self._confirm_routing_table = confirm_routing_table
        self._needs_routing_table = needs_routing_table
        self._first_read_delay_s = (
            FIRST_START_READ_DELAY_S if first_start else RESTART_READ_DELAY_S
        )
        self._started_at = time.monotonic()
        self._routing_table_read_at = float("-inf")
        self._servers_read_at = float("-inf")
        # position in the store up to which this node itself has read the server list
        self._cursor: StorePosition | None = None
        # reads of the whole list that wait for the store, with their start
        self._pending_reads: dict[asyncio.Task, float] = {}
        self._unreachable_until = float("-inf")
        # latest timeline of the store that this node has seen
        self._timeline = -1
        self._timeline_changed = asyncio.Event()
        # set while the configuration was last read in an earlier timeline
        self._restored = asyncio.Event()

    def is_reader(self) -> bool:
        """Return whether this node reads the store on behalf of the others."""
        rank = self._get_rank()
        return rank is not None and rank < READER_COUNT

    async def watch_routing_table(self) -> None:
        """Apply new routing tables while this node is a reader, until cancelled."""
        backoff = Backoff()
        position = None
        failure_domains: dict[str, StorePosition] = {}
        while True:
            if not (self.is_reader() or self._needs_routing_table()):
                position = None
                await asyncio.sleep(min(ROUTING_TABLE_ROLE_CHECK_S, self._compute_role_check_s()))
                continue
            started_at = time.monotonic()
            try:
                if position is None:
                    read = await self._store.read_routing_table()
                else:
                    read = await self._wait_for_configuration(position, failure_domains)
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
            self._record_timeline(read.position.timeline)
            if self._timeline == read.position.timeline:
                self._restored.clear()
            self._routing_table_read_at = time.monotonic()
            self._apply_routing_table(read)
            age_s = self._routing_table_read_at - started_at
            if read.table is None and age_s >= ROUTING_TABLE_POLL_TIMEOUT_S:
                # The store has answered at the end of the poll.
                age_s -= ROUTING_TABLE_POLL_TIMEOUT_S
            self._confirm_routing_table(age_s)
            if read.error is not None:
                _logger.error(
                    "Ignoring an invalid routing table in the store; reading it again after a "
                    "delay: {}",
                    read.error,
                )
                position = None
                await asyncio.sleep(backoff.record_failure())
                continue
            self._log_recovery("routing table", backoff)
            position = read.position
            failure_domains = read.evacuations.failure_domains
            if read.table is None and position.offset == 0:
                # The store holds no routing table yet and may reject a long poll at position 0.
                await asyncio.sleep(INITIAL_BACKOFF_S)

    async def watch_servers(self) -> None:
        """Read the server list whenever it is the task of this node, until cancelled."""
        backoff = Backoff()
        while True:
            delay_s = self._compute_read_delay_s()
            if delay_s > 0.0:
                await asyncio.sleep(min(delay_s, self._compute_role_check_s()))
                continue
            try:
                started_at = time.monotonic()
                kept_count = self._registry.count_kept()
                await self._read_servers(after_failure=backoff.failing)
                if self._registry.count_kept() > kept_count:
                    _logger.info(
                        "Keeping {} servers whose listing may have expired in an outage of the "
                        "store; each is dropped unless it publishes its listing again.",
                        self._registry.count_kept(),
                    )
                await self._check_routing_table()
            except RecordsTrimmedError:
                self._cursor = None
                continue
            except StoreRestoredError as error:
                self._record_timeline(error.timeline)
                continue
            except PlatformError as error:
                self._log_failure("servers", error, backoff)
                self._unreachable_until = time.monotonic() + FAILED_READER_PAUSE_S
                self._set_reachable(False)
                delay_s = min(backoff.record_failure(), self._get_retry_interval_s())
                await asyncio.sleep(max(0.0, started_at + delay_s - time.monotonic()))
                continue
            self._log_recovery("servers", backoff)

    async def expire_servers_forever(self) -> None:
        """Drop servers as their grace period ends, until cancelled."""
        while True:
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            expired = self._registry.expire_servers()
            if expired:
                _logger.info(
                    "Servers {} have not published their listing again; they get no new requests.",
                    ", ".join(expired),
                )

    async def watch_nodes(self, has_peers: t.Callable[[], bool]) -> None:
        """Register this node in the store if it is a contact, and read the other contacts.

        :param has_peers: returns whether other nodes are known; until then the store is read more
            often.
        """
        written_timeline = -1
        backoff = Backoff()
        while True:
            self._timeline_changed.clear()
            rank = self._get_rank()
            if rank is None:
                await asyncio.sleep(self._compute_role_check_s())
                continue
            try:
                if rank < CONTACT_COUNT and (
                    written_timeline < 0 or written_timeline < self._timeline
                ):
                    written_timeline = await self._store.write_node(self._own_record)
                    self._record_timeline(written_timeline)
                if rank == 0:
                    for record in await self._store.read_nodes():
                        self._add_contact(record.peer_address)
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

    async def _wait_for_configuration(
        self, position: StorePosition, failure_domains: dict[str, StorePosition]
    ) -> RoutingTableRead:
        """Wait for a change of the configuration, but not beyond a restore of the store.

        A store may leave a call that waits since before the restore unanswered until its timeout.
        The withdrawal of an evacuation that the restored store doesn't list would be missed then,
        since only a waiting call returns it.

        :raises StoreRestoredError: if the store was restored since the position was read.
        """
        call = asyncio.ensure_future(
            self._store.wait_for_routing_table(
                position, ROUTING_TABLE_POLL_TIMEOUT_S, failure_domains
            )
        )
        restored = asyncio.ensure_future(self._restored.wait())
        try:
            await asyncio.wait({call, restored}, return_when=asyncio.FIRST_COMPLETED)
            if not call.done():
                raise StoreRestoredError(self._timeline)
            return call.result()
        finally:
            call.cancel()
            restored.cancel()

    def _compute_role_check_s(self) -> float:
        """Return the time after which this node checks again whether it should read the store."""
        started = self._registry.loaded and self._get_rank() is not None
        return MAX_WAIT_S if started else MAX_WAIT_S / 10

    def _compute_read_delay_s(self) -> float:
        """Return the time until this node should read the server list, in seconds."""
        now = time.monotonic()
        if now >= self._unreachable_until:
            self._set_reachable(True)
        rank = self._get_rank()
        if rank is not None and rank < READER_COUNT:
            keeps_servers = self._registry.count_kept() > 0
            interval_s = KEPT_SERVERS_READ_INTERVAL_S if keeps_servers else READ_INTERVAL_S
            return self._servers_read_at + interval_s - now
        rank_delay_s = min(MAX_RANK_DELAY_S, READ_DELAY_PER_RANK_S * (rank or 0))
        if not self._registry.loaded:
            due_at = self._started_at + self._first_read_delay_s
            return max(due_at, self._servers_read_at + READ_INTERVAL_S) - now
        age_limit_s = MAX_SERVER_LIST_AGE_S + SPREAD_TIME_PER_DOUBLING_S * math.log2(
            max(1, self._get_node_count())
        )
        return age_limit_s + rank_delay_s - self._registry.get_list_age_s()

    def _record_timeline(self, timeline: int) -> None:
        if timeline <= self._timeline:
            return
        if self._timeline >= 0:
            _logger.warning(
                "The store was restored from a backup; reading it again as of timeline {}.",
                timeline,
            )
            self._timeline_changed.set()
            self._restored.set()
        self._timeline = timeline

    async def _read_servers(self, *, after_failure: bool) -> None:
        started_at = time.monotonic()
        registry = self._registry
        known = registry.position
        cursor = self._cursor
        if cursor is not None and cursor < known:
            cursor = known
        # After a pause, all records since then are more than the whole list.
        recent = started_at - self._servers_read_at < MAX_READ_GAP_S
        if after_failure or cursor is None or not recent or cursor.timeline < self._timeline:
            await self._read_all_servers(after_failure=after_failure)
            return
        try:
            changes, end = await self._store.read_server_changes(cursor)
        except (RecordsTrimmedError, StoreRestoredError):
            raise
        except PlatformError:
            registry.record_failed_read(started_at)
            raise
        self._servers_read_at = time.monotonic()
        registry.mark_confirmed(self._servers_read_at - started_at)
        effective = registry.record_changes(changes)
        self._cursor = end
        # All readers assign the same position to a change, however their reads divide the topic.
        positioned = [
            (StorePosition(cursor.timeline, cursor.offset + index + 1), changes[index])
            for index in effective
        ]
        self._publish_changes(positioned)

    async def _read_all_servers(self, *, after_failure: bool) -> None:
        registry = self._registry
        (listings, end), started_at = await self._read_whole_list(after_failure=after_failure)
        self._servers_read_at = time.monotonic()
        self._record_timeline(end.timeline)
        self._cursor = end
        if end < registry.position:
            return
        registry.mark_confirmed(self._servers_read_at - started_at)
        if not registry.loaded:
            registry.replace_listings(listings, end)
        else:
            known = registry.position
            changes = registry.replace_listings(listings, end)
            registry.position = known
            self._publish_changes([(end, change) for change in changes])
            if end.timeline > known.timeline:
                registry.position = end
        _logger.info(
            "Read {} servers from the store, up to offset {} of timeline {}.",
            len(listings),
            end.offset,
            end.timeline,
        )

    async def _read_whole_list(
        self, *, after_failure: bool
    ) -> tuple[tuple[list[ServerListing], StorePosition], float]:
        """Begin to read the list, and return the first read that succeeds with its start.

        After a failure, earlier reads may still wait for the store. They are continued, for at
        most the interval at which reads are begun.

        :raises StoreRestoredError: if the store is restored during a read.
        :raises PlatformError: if no read has succeeded.
        """
        now = time.monotonic()
        ends_at = now + self._get_retry_interval_s() if after_failure else math.inf
        pending = self._pending_reads
        if not after_failure:
            _cancel_reads(pending)
        read = asyncio.ensure_future(self._store.read_servers())
        read.add_done_callback(_retrieve_exception)
        pending[read] = now
        error: PlatformError = StoreUnavailableError("servers", "no response yet")
        while pending and now < ends_at:
            timeout_s = ends_at - now if after_failure else None
            done, _ = await asyncio.wait(
                pending, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            now = time.monotonic()
            for finished in done:
                started_at = pending.pop(finished)
                try:
                    result = finished.result()
                except StoreRestoredError:
                    raise
                except PlatformError as failure:
                    self._registry.record_failed_read(started_at)
                    error = failure
                    continue
                self._record_slow_reads([started_at, *pending.values()])
                _cancel_reads(pending)
                return result, started_at
        self._record_slow_reads(pending.values())
        raise error

    def _record_slow_reads(self, starts: t.Iterable[float]) -> None:
        now = time.monotonic()
        for started_at in starts:
            if now - started_at > USUAL_READ_TIME_S:
                self._registry.record_failed_read(started_at)

    def _get_retry_interval_s(self) -> float:
        return READER_RETRY_INTERVAL_S if self.is_reader() else RETRY_INTERVAL_S

    def _publish_changes(self, positioned: list[tuple[StorePosition, ServerChange]]) -> None:
        """Spread changes that are already applied to the own list.

        Changes with the same position stay in one part, since a node that knows the position must
        know all of them. A removal contains the version of the removed listing, since the lists of
        other nodes may hold an older one.

        :param positioned: each change with the position after it, in ascending order.
        """
        registry = self._registry
        begin = registry.position
        notices: list[ServersNotice] = []
        part: list[ServerChange] = []
        for index, (position, change) in enumerate(positioned):
            if change.listing is None:
                removed = registry.get_departure(change.server_id)
                change = ServerChange(server_id=change.server_id, removed=removed)
            part.append(change)
            last = index + 1 == len(positioned)
            if not last and (
                positioned[index + 1][0] == position or len(part) < MAX_CHANGES_PER_NOTICE
            ):
                continue
            if position > begin:
                notices.append(ServersNotice(begin=begin, end=position, changes=part))
                begin = position
                part = []
        if notices:
            registry.position = begin
            self._on_server_changes(notices)

    async def _check_routing_table(self) -> None:
        now = time.monotonic()
        if now - self._routing_table_read_at < ROUTING_TABLE_CHECK_INTERVAL_S:
            return
        read = await self._store.read_routing_table()
        self._record_timeline(read.position.timeline)
        self._routing_table_read_at = now
        self._apply_routing_table(read)
        self._confirm_routing_table(time.monotonic() - now)
        if read.error is not None:
            _logger.error(
                "Ignoring an invalid routing table in the store; reading it again with the "
                "server list: {}",
                read.error,
            )

    def _apply_routing_table(self, read: RoutingTableRead) -> None:
        self._on_evacuations(read.evacuations)
        if read.table is not None:
            self._on_routing_table(read.table, "store")

    def _log_failure(self, resource: str, error: PlatformError, backoff: Backoff) -> None:
        if not backoff.failing:
            _logger.warning("Access to {} in the store failed; retrying: {}", resource, error)

    def _log_recovery(self, resource: str, backoff: Backoff) -> None:
        if backoff.record_success():
            _logger.info("Access to {} in the store succeeds again.", resource)


def _cancel_reads(pending: dict[asyncio.Task, float]) -> None:
    for read in pending:
        read.cancel()
    pending.clear()


def _retrieve_exception(read: asyncio.Task) -> None:
    """Keep asyncio from logging the failure of a read that nobody waits for any more."""
    if not read.cancelled():
        read.exception()
