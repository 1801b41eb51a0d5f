"""News that a node has yet to send, in parts that fit into datagrams."""

from __future__ import annotations

import typing as t

from ..membership.evacuations import EvacuationState
from ..membership.nodes import NodeInfo
from ..membership.registry import Departure
from ..membership.request_limits import SOURCE_WARMUP
from ..membership.request_limits import RequestLimit
from ..peers.messages import ServersNotice
from ..routing.quarantine import CrashReport

# Parts of one update, so that it fits into a datagram.
MAX_NODES_PER_UPDATE = 8
MAX_DEPARTURES_PER_UPDATE = 15
MAX_LIMITS_PER_UPDATE = 15
MAX_CRASHES_PER_UPDATE = 10
MAX_EVACUATION_BYTES = 900
# encoded position and time of one evacuation
BYTES_PER_EVACUATION = 32


class Outbox:
    """News to be sent, which is divided into parts that fit into datagrams."""

    __slots__ = (
        "_crashes",
        "_departures",
        "_evacuations",
        "_limits",
        "_nodes",
        "_servers",
        "_suspected",
        "_warmups",
    )

    def __init__(self) -> None:
        self._clear()

    def add(
        self,
        nodes: t.Iterable[NodeInfo],
        suspected: t.Iterable[tuple[str, int]],
        departures: t.Iterable[Departure],
        servers: ServersNotice | None,
        request_limits: t.Iterable[RequestLimit] = (),
        crashes: t.Iterable[CrashReport] = (),
        evacuations: EvacuationState | None = None,
    ) -> None:
        """Add news; an older state of the same node is replaced."""
        if evacuations is not None:
            self._evacuations = evacuations
        self._nodes.update((info.vm_id, info) for info in nodes)
        self._suspected.update(suspected)
        self._departures.update((departure.server_id, departure) for departure in departures)
        for limit in request_limits:
            limits = self._warmups if limit.source == SOURCE_WARMUP else self._limits
            limits[limit.server_id] = limit
        self._crashes.extend(crashes)
        if servers is not None:
            self._servers.append(servers)

    def take_parts(self) -> t.Iterator[dict[str, t.Any]]:
        """Yield the contents of the updates to send, and empty the outbox."""
        batches: tuple[tuple[str, list[t.Any], int], ...] = (
            ("nodes", list(self._nodes.values()), MAX_NODES_PER_UPDATE),
            ("suspected", list(self._suspected.items()), MAX_NODES_PER_UPDATE),
            ("departures", list(self._departures.values()), MAX_DEPARTURES_PER_UPDATE),
            ("request_limits", list(self._limits.values()), MAX_LIMITS_PER_UPDATE),
            ("warmups", list(self._warmups.values()), MAX_LIMITS_PER_UPDATE),
            ("crashes", self._crashes, MAX_CRASHES_PER_UPDATE),
        )
        servers = self._servers
        evacuations = self._evacuations
        self._clear()
        if evacuations is not None and _fits(evacuations):
            yield {"evacuations": evacuations}
        for field, items, max_items in batches:
            for start in range(0, len(items), max_items):
                yield {field: items[start : start + max_items]}
        for notice in servers:
            yield {"servers": notice}

    def _clear(self) -> None:
        self._nodes: dict[str, NodeInfo] = {}
        self._suspected: dict[str, int] = {}
        self._departures: dict[str, Departure] = {}
        self._servers: list[ServersNotice] = []
        self._limits: dict[str, RequestLimit] = {}
        self._warmups: dict[str, RequestLimit] = {}
        self._crashes: list[CrashReport] = []
        self._evacuations: EvacuationState | None = None


def _fits(evacuations: EvacuationState) -> bool:
    """Return whether a state fits into a datagram; nodes request a larger one by its position."""
    entries = (*evacuations.failure_domains, *evacuations.retained, *evacuations.withdrawn)
    size = sum(len(failure_domain.encode()) + BYTES_PER_EVACUATION for failure_domain in entries)
    return size <= MAX_EVACUATION_BYTES
