"""The metadata store as the nodes use it, and the delay between failed calls."""

from __future__ import annotations

import typing as t

import msgspec

from ..exceptions import InvalidRecordError
from ..membership.evacuations import EvacuationState
from ..membership.registry import ServerChange
from ..membership.registry import ServerListing
from ..membership.store_position import StorePosition
from ..routing.routes import RoutingTable

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0


class NodeRecord(msgspec.Struct, kw_only=True, frozen=True):
    """The record of a node in the metadata store.

    :param peer_address: ``ip:port`` at which the other nodes reach the node.
    """

    vm_id: str
    peer_address: str


class RoutingTableRead(t.NamedTuple):
    """Result of reading the configuration.

    :param table: the routing table, ``None`` if there is no newer one.
    :param position: the position in the store at which subsequent changes start.
    :param evacuations: the failure domains that are evacuated as of the position.
    :param error: why the newest routing table is invalid, ``None`` if it is valid.
    """

    table: RoutingTable | None
    position: StorePosition
    evacuations: EvacuationState = EvacuationState()
    error: InvalidRecordError | None = None


class MetadataStoreProtocol(t.Protocol):
    """The operations of the metadata store; they raise :exc:`PlatformError` on failure."""

    async def read_routing_table(self) -> RoutingTableRead:
        """Return the latest routing table."""

    async def wait_for_routing_table(
        self,
        position: StorePosition,
        wait_s: float,
        failure_domains: t.Mapping[str, StorePosition],
    ) -> RoutingTableRead:
        """Wait up to *wait_s* seconds for a configuration record at *position* or later."""

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
