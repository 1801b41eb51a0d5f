"""Exchange of server load between nodes: load reports and counts of in-flight requests."""

from __future__ import annotations

import asyncio
import time
import typing as t

from ..measuring.load_reports import DetailedLoadReport
from ..peers.messages import LoadNotice
from ..peers.messages import LoadReportItem
from .dispatchers import Dispatchers

# Interval of the check whether load data is exchanged again.
IDLE_INTERVAL_S = 0.5
# Reports and counts in one notice, so that it fits into a datagram.
MAX_ITEMS_PER_NOTICE = 20
# A load report from a peer is ignored if it is older than this on arrival, since it no longer
# describes the current load.
MAX_REPORT_AGE_S = 1.0


class LoadUpdateBuffer:
    """Collects load reports and in-flight counts until the next load notice to the peers."""

    __slots__ = ("_in_flight_counts", "_reports", "_sent_in_flight_counts")

    def __init__(self) -> None:
        self._reports: dict[str, tuple[DetailedLoadReport, float]] = {}
        self._in_flight_counts: dict[str, int] = {}
        self._sent_in_flight_counts: dict[str, int] = {}

    def record_report(
        self, server_id: str, report: DetailedLoadReport, observed_at: float
    ) -> None:
        """Record a load report sent by a server.

        :param observed_at: monotonic time at which the report was received, in seconds.
        """
        self._reports[server_id] = (report, observed_at)

    def record_in_flight(self, server_id: str, count: int) -> None:
        """Record how many requests this node has in flight at a server."""
        self._in_flight_counts[server_id] = count

    def pop_notices(self, vm_id: str, now: float) -> list[LoadNotice]:
        """Return notices with all changes since the last ones and clear the buffer.

        :param vm_id: the VM that sends the notices.
        :param now: current monotonic time, in seconds.
        """
        counts = [
            (server_id, count)
            for server_id, count in self._in_flight_counts.items()
            if self._sent_in_flight_counts.get(server_id) != count
        ]
        reports = [
            _build_report_item(server_id, report, now - observed_at)
            for server_id, (report, observed_at) in self._reports.items()
        ]
        self._sent_in_flight_counts.update(counts)
        self._in_flight_counts.clear()
        self._reports.clear()
        return [
            LoadNotice(
                vm_id=vm_id,
                reports=reports[start : start + MAX_ITEMS_PER_NOTICE],
                counts=counts[start : start + MAX_ITEMS_PER_NOTICE],
            )
            for start in range(0, max(len(reports), len(counts)), MAX_ITEMS_PER_NOTICE)
        ]


class LoadExchange:
    """Broadcasts the load data of this node and applies the load data of its peers.

    :param vm_id: the VM of this node.
    :param updates: the load data to broadcast.
    :param dispatchers: receive the load data of the peers.
    :param broadcast: sends a message to all peers.
    """

    def __init__(
        self,
        *,
        vm_id: str,
        updates: LoadUpdateBuffer,
        dispatchers: Dispatchers,
        broadcast: t.Callable[[LoadNotice], None],
    ) -> None:
        self._vm_id = vm_id
        self.updates = updates
        self._dispatchers = dispatchers
        self._broadcast = broadcast
        # interval between notices in seconds, ``None`` if no load data is exchanged
        self.interval_s: float | None = None

    def apply_notice(self, notice: LoadNotice) -> None:
        """Apply the load data of a peer."""
        now = time.monotonic()
        for item in notice.reports:
            found = self._dispatchers.find_server_load(item.server_id)
            if found is None or item.age_ms > MAX_REPORT_AGE_S * 1000:
                continue
            dispatcher, load = found
            report = DetailedLoadReport(
                running=item.running,
                waiting=item.waiting,
                slots=item.slots,
                slowness=item.slowness_pct / 100,
            )
            self._dispatchers.record_report(dispatcher, load, report, now - item.age_ms / 1000)
        for server_id, count in notice.counts:
            found = self._dispatchers.find_server_load(server_id)
            if found is not None:
                found[1].record_peer_in_flight(notice.vm_id, count, now)
        for dispatcher in self._dispatchers.list_all():
            dispatcher.place_queued_requests()

    async def broadcast_forever(self) -> None:
        """Broadcast changed load data periodically until cancelled."""
        while True:
            await asyncio.sleep(self.interval_s or IDLE_INTERVAL_S)
            notices = self.updates.pop_notices(self._vm_id, time.monotonic())
            if self.interval_s is None:
                continue
            for notice in notices:
                self._broadcast(notice)


def _build_report_item(server_id: str, report: DetailedLoadReport, age_s: float) -> LoadReportItem:
    return LoadReportItem(
        server_id,
        report.running,
        report.waiting,
        report.slots,
        round(report.slowness * 100),
        max(0, round(age_s * 1000)),
    )
