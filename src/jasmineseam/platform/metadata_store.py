"""Routing table, server list and node records in the platform's metadata store."""

from __future__ import annotations

import collections
import typing as t

import logbook
import msgspec
import xxhash

from ..exceptions import InvalidRecordError
from ..fleet.store_protocol import NodeRecord
from ..fleet.store_protocol import RoutingTableRead
from ..membership.addresses import parse_address
from ..membership.registry import ServerChange
from ..membership.registry import ServerListing
from ..membership.store_position import StorePosition
from .records import CONFIGURATION_KEY
from .records import CONFIGURATION_TOPIC
from .records import NODES_TOPIC
from .records import SERVERS_TOPIC
from .records import decode_evacuations
from .records import decode_listing
from .records import decode_routing_table
from .records import decode_server_change
from .store_client import KeyedRecord
from .store_client import RecordBatch
from .store_client import StoreClient

# invalid records that are remembered
MAX_LOGGED_RECORDS = 10_000
_logger = logbook.Logger("platform")


class HttpMetadataStore:
    """Reads and writes a node's data in the metadata store over HTTP.

    :param client: client of the store's HTTP interface.
    """

    def __init__(self, *, client: StoreClient) -> None:
        self._client = client
        # keys and digests of invalid records, so that the same record is logged only once
        self._logged_records: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    async def read_routing_table(self) -> RoutingTableRead:
        """Return the latest routing table, ``None`` if the store holds none.

        :raises StoreUnavailableError: if a call fails.
        """
        batch = await self._client.read_latest(CONFIGURATION_TOPIC)
        return _decode_configuration(batch, {})

    async def wait_for_routing_table(
        self,
        position: StorePosition,
        wait_s: float,
        failure_domains: t.Mapping[str, StorePosition],
    ) -> RoutingTableRead:
        """Wait for a routing table or an evacuation written at or after a position.

        The table is ``None`` if none was written within *wait_s*.

        :param wait_s: maximum time that the store waits for a new record, in seconds.
        :param failure_domains: the failure domains that are evacuated as of the position.
        :raises RecordsTrimmedError: if the store doesn't hold the records at the position.
        :raises StoreRestoredError: if the store was restored since the position was read.
        :raises StoreUnavailableError: if the call fails.
        """
        batch = await self._client.read_from(CONFIGURATION_TOPIC, position, wait_s)
        return _decode_configuration(batch, failure_domains)

    async def read_servers(self) -> tuple[list[ServerListing], StorePosition]:
        """Return the listings of all servers with a valid record and the next position to read."""
        batch = await self._client.read_latest(SERVERS_TOPIC)
        listings = []
        for record in batch.records:
            try:
                listings.append(decode_listing(record))
            except InvalidRecordError as error:
                self._log_invalid_record(record, error)
        return listings, batch.end

    async def read_server_changes(
        self, position: StorePosition
    ) -> tuple[list[ServerChange], StorePosition]:
        """Return the changes at or after a position, and the next position to read.

        :raises RecordsTrimmedError: if the store doesn't hold the records at the position.
        :raises StoreRestoredError: if the store was restored since the position was read.
        :raises StoreUnavailableError: if the call fails.
        """
        batch = await self._client.read_from(SERVERS_TOPIC, position)
        changes = []
        for record in batch.records:
            change, error = decode_server_change(record)
            if error is not None:
                self._log_invalid_record(record, error)
            changes.append(change)
        return changes, batch.end

    async def write_node(self, record: NodeRecord) -> int:
        """Write a node's record under its id; return the timeline of the store that holds it.

        No other node writes to this key.
        """
        return await self._client.append(NODES_TOPIC, record.vm_id, msgspec.json.encode(record))

    async def read_nodes(self) -> list[NodeRecord]:
        """Return the records of all nodes, including nodes that no longer run."""
        batch = await self._client.read_latest(NODES_TOPIC)
        records = []
        for record in batch.records:
            try:
                if record.error:
                    raise ValueError(record.error)
                node = msgspec.json.decode(record.value, type=NodeRecord)
                parse_address(node.peer_address)
                records.append(node)
            except (msgspec.MsgspecError, ValueError, RecursionError) as error:
                self._log_invalid_record(record, InvalidRecordError(record.key, str(error)))
        return records

    def _log_invalid_record(self, record: KeyedRecord, error: InvalidRecordError) -> None:
        logged = self._logged_records
        identity = (record.key, xxhash.xxh3_64_intdigest(record.value))
        if identity in logged:
            logged.move_to_end(identity)
            return
        logged[identity] = None
        if len(logged) > MAX_LOGGED_RECORDS:
            logged.popitem(last=False)
        _logger.warning(
            "Treating invalid record in the metadata store as removed: {:.200}", str(error)
        )


def _decode_configuration(
    batch: RecordBatch, known: t.Mapping[str, StorePosition]
) -> RoutingTableRead:
    """Decode the routing table and the evacuations, neither of which hides the other."""
    evacuations = decode_evacuations(batch.records, batch.end, known)
    try:
        table = _find_routing_table(batch.records)
    except InvalidRecordError as error:
        return RoutingTableRead(None, batch.end, evacuations, error)
    return RoutingTableRead(table, batch.end, evacuations)


def _find_routing_table(records: list[KeyedRecord]):
    for record in reversed(records):
        if record.key == CONFIGURATION_KEY and record.value:
            return decode_routing_table(record.value)
    return None
