"""The platform's store as a node asks it: routing table, servers, nodes."""

from __future__ import annotations

import logbook
import msgspec

from ..exceptions import InvalidRecordError
from ..membership.registry import ServerChange
from ..membership.registry import ServerListing
from ..programs.store_watcher import NodeRecord
from ..programs.store_watcher import RoutingTableRead
from .records import CONFIGURATION_KEY
from .records import CONFIGURATION_TOPIC
from .records import NODES_TOPIC
from .records import SERVERS_TOPIC
from .records import decode_listing
from .records import decode_routing_table
from .records import decode_server_change
from .store_client import KeyedRecord
from .store_client import StoreClient

_logger = logbook.Logger("platform")


class MetadataStore:
    """Reads and writes what a node keeps in the store.

    :param client: of the store.
    """

    def __init__(self, *, client: StoreClient) -> None:
        self._client = client
        # entries that were refused, so that each is logged once
        self._refused: dict[str, bytes] = {}

    async def read_table(self) -> RoutingTableRead:
        """Return the newest routing table, ``None`` if there is none yet."""
        read = await self._client.read_latest(CONFIGURATION_TOPIC)
        return RoutingTableRead(_find_table(read.records), read.end)

    async def await_table(self, position: int, wait_s: float) -> RoutingTableRead:
        """Return a routing table written after a position."""
        read = await self._client.read_from(CONFIGURATION_TOPIC, position, wait_s)
        return RoutingTableRead(_find_table(read.records), read.end)

    async def read_servers(self) -> tuple[list[ServerListing], int]:
        """Return all servers whose entries make sense."""
        read = await self._client.read_latest(SERVERS_TOPIC)
        listings = []
        for record in read.records:
            try:
                listings.append(decode_listing(record))
            except InvalidRecordError as error:
                self._note_refused(record, error)
        return listings, read.end

    async def read_server_changes(self, position: int) -> tuple[list[ServerChange], int]:
        """Return what changed after a position."""
        read = await self._client.read_from(SERVERS_TOPIC, position)
        changes = []
        for record in read.records:
            change, error = decode_server_change(record)
            if error is not None:
                self._note_refused(record, error)
            changes.append(change)
        return changes, read.end

    async def write_node(self, record: NodeRecord) -> None:
        """Enter a node under its id; nobody else writes there."""
        await self._client.append(NODES_TOPIC, record.vm_id, msgspec.json.encode(record))

    async def read_nodes(self) -> list[NodeRecord]:
        """Return all nodes ever entered."""
        read = await self._client.read_latest(NODES_TOPIC)
        records = []
        for record in read.records:
            try:
                records.append(msgspec.json.decode(record.value, type=NodeRecord))
            except msgspec.MsgspecError as error:
                self._note_refused(record, InvalidRecordError(record.key, str(error)))
        return records

    def _note_refused(self, record: KeyedRecord, error: InvalidRecordError) -> None:
        if self._refused.get(record.key) == record.value:
            return
        self._refused[record.key] = record.value
        _logger.warning("Entry ignored: {}", error)


def _find_table(records: list[KeyedRecord]):
    for record in reversed(records):
        if record.key == CONFIGURATION_KEY and record.value:
            return decode_routing_table(record.value)
    return None
