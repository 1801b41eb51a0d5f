"""Probes of the servers' load, each server by one node, for all of them."""

from __future__ import annotations

import asyncio
import time
import typing as t

import logbook
from multidict import CIMultiDict

from ..exceptions import AttemptError
from ..measuring.probe_assignment import ProberCandidate
from ..measuring.probe_assignment import compute_probe_interval_s
from ..operations.node_settings import ProbeOptions
from ..requests.protocol import HeaderCodec
from ..requests.protocol import ResponseHead
from ..routing.dispatch import Dispatcher
from ..routing.load import ServerLoad
from .gateway import Gateway
from .load_exchange import LoadUpdateBuffer

PROBE_CHECK_PERIOD_S = 0.01
PROBE_TIMEOUT_S = 0.5
ASSIGNMENT_PERIOD_S = 0.25
MAX_PROBE_BODY_BYTES = 65_536
# a service that got a request within this time is probed at the full rate, in seconds
ACTIVE_SERVICE_WINDOW_S = 2.0
# a report younger than this part of the interval makes a probe needless
FRESH_REPORT_FRACTION = 0.5
_logger = logbook.Logger("probes")


class LoadProber:
    """Probes the servers that are this node's.

    :param gateway: knows the servers and takes the reports.
    :param protocol: reads the servers' headers.
    :param news: passes reports on to the peers.
    :param options: the rates.
    :param own_id: the node's VM.
    :param limit_per_s: the most probes a second that a server may get from all nodes.
    :param list_probers: returns all nodes, this one included.
    """

    def __init__(
        self,
        *,
        gateway: Gateway,
        protocol: HeaderCodec,
        load_updates: LoadUpdateBuffer,
        options: ProbeOptions,
        own_vm_id: str,
        max_probes_per_s: float,
        list_probers: t.Callable[[], list[ProberCandidate]],
    ) -> None:
        self._gateway = gateway
        self._protocol = protocol
        self._news = load_updates
        self._options = options
        self._own_id = own_vm_id
        self.max_probes_per_s = max_probes_per_s
        self._list_probers = list_probers
        self._intervals: dict[str, float] = {}
        self._intervals_at = float("-inf")
        self._running: dict[str, asyncio.Task] = {}
        self.sent_count = 0
        self.failed_count = 0
        self.stopped = False

    async def probe_forever(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(PROBE_CHECK_PERIOD_S)
            if self.stopped:
                continue
            now = time.monotonic()
            if now - self._intervals_at >= ASSIGNMENT_PERIOD_S:
                self._refresh_duties(now)
            for dispatcher in self._gateway.dispatchers.list_all():
                self._probe_service(dispatcher, now)

    def _refresh_duties(self, now: float) -> None:
        self._intervals_at = now
        self._intervals = {}
        probers = self._list_probers()
        for dispatcher in self._gateway.dispatchers.list_all():
            active = now - dispatcher.last_request_at < ACTIVE_SERVICE_WINDOW_S
            wanted_s = self._options.interval_s if active else self._options.idle_interval_s
            for load in dispatcher.loads.values():
                interval_s = compute_probe_interval_s(
                    load.server_id,
                    load.failure_domain,
                    probers,
                    own_vm_id=self._own_id,
                    target_interval_s=wanted_s,
                    max_probes_per_s=self.max_probes_per_s,
                )
                if interval_s is not None:
                    self._intervals[load.server_id] = interval_s

    def _probe_service(self, dispatcher: Dispatcher, now: float) -> None:
        for load in dispatcher.loads.values():
            interval_s = self._intervals.get(load.server_id)
            if interval_s is None or load.server_id in self._running:
                continue
            if now - load.last_probe_at < interval_s:
                continue
            if now - load.reported_at < FRESH_REPORT_FRACTION * interval_s:
                continue
            load.last_probe_at = now
            task = asyncio.create_task(self._probe(dispatcher, load))
            self._running[load.server_id] = task
            task.add_done_callback(lambda _, key=load.server_id: self._running.pop(key, None))

    async def _probe(self, dispatcher: Dispatcher, load: ServerLoad) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._exchange(dispatcher, load)
        except (AttemptError, TimeoutError) as error:
            self.failed_count += 1
            _logger.debug("Probe of {} failed: {!r}", load.server_id, error)

    async def _exchange(self, dispatcher: Dispatcher, load: ServerLoad) -> None:
        table = self._gateway.routing_table
        infos = {info.name: info for info in table.services} if table else {}
        info = infos.get(dispatcher.service)
        if info is None:
            return
        connections = self._gateway.connections
        connection = await connections.acquire(load.address)
        headers: CIMultiDict[str] = CIMultiDict({"Host": load.address})
        whole = False
        try:
            self.sent_count += 1
            await connection.send("GET", info.health_path, headers, b"")
            exchange = await connection.receive_head(self._decode_probe)
            observed_at = time.monotonic()
            head = exchange.head
            _, whole = await connection.read_body(exchange, MAX_PROBE_BODY_BYTES)
        finally:
            if whole:
                connections.release(load.address, connection)
            else:
                connection.close()
        if head.server_id and head.server_id != load.server_id:
            return
        if head.report is None:
            return
        if self._gateway.dispatchers.record_report(dispatcher, load, head.report, observed_at):
            self._news.record_report(load.server_id, head.report, observed_at)
            dispatcher.place_queued_requests()

    def _decode_probe(self, status: int, headers: t.Any) -> ResponseHead | None:
        head = self._protocol.decode_response(status, headers)
        # the late answer to an earlier request names that request
        return None if head.request_id else head
