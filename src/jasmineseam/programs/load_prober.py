"""Probing the load of servers.

Each server is assigned to one node, which probes it and sends the reports to the other nodes.
"""

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
from ..transport.response_memory import ResponseMemory
from .gateway import Gateway
from .load_exchange import LoadUpdateBuffer

# Interval at which the prober checks which probes are due.
PROBE_POLL_INTERVAL_S = 0.01
PROBE_TIMEOUT_S = 0.5
ASSIGNMENT_REFRESH_INTERVAL_S = 0.25
MAX_PROBE_BODY_BYTES = 65_536
# for the bodies of all probe responses that are being received
MAX_PROBE_MEMORY_BYTES = 8 * 1024 * 1024
# The servers of a service that received a request within this time are probed every
# ``ProbeOptions.interval_s``, those of other services every ``ProbeOptions.idle_interval_s``.
ACTIVE_SERVICE_WINDOW_S = 2.0
# A probe is skipped if the latest report is younger than this fraction of the probe interval.
FRESH_REPORT_FRACTION = 0.5
_logger = logbook.Logger("probes")


class LoadProber:
    """Probes the servers that are assigned to this node.

    :param gateway: provides the routing table, the dispatchers and the connection pool.
    :param header_codec: decodes the response headers of servers.
    :param load_updates: collects the received reports for the other nodes.
    :param options: the probe intervals.
    :param own_vm_id: the VM of this node.
    :param max_probes_per_s: maximum probes per second that one server may receive from all nodes.
    :param list_prober_candidates: returns all nodes that may probe, including this one.
    """

    def __init__(
        self,
        *,
        gateway: Gateway,
        header_codec: HeaderCodec,
        load_updates: LoadUpdateBuffer,
        options: ProbeOptions,
        own_vm_id: str,
        max_probes_per_s: float,
        list_prober_candidates: t.Callable[[], list[ProberCandidate]],
    ) -> None:
        self._gateway = gateway
        self._header_codec = header_codec
        self._load_updates = load_updates
        self._options = options
        self._own_vm_id = own_vm_id
        self.max_probes_per_s = max_probes_per_s
        self._list_prober_candidates = list_prober_candidates
        self._response_memory = ResponseMemory(max_bytes=MAX_PROBE_MEMORY_BYTES)
        self._probe_intervals_s: dict[str, float] = {}
        self._assignments_refreshed_at = float("-inf")
        self._probe_tasks: dict[str, asyncio.Task] = {}
        self.sent_count = 0
        self.failed_count = 0
        self.stopped = False

    async def probe_forever(self) -> None:
        """Send probes as they become due, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_POLL_INTERVAL_S)
            if self.stopped:
                continue
            now = time.monotonic()
            if now - self._assignments_refreshed_at >= ASSIGNMENT_REFRESH_INTERVAL_S:
                self._refresh_assignments(now)
            for dispatcher in self._gateway.dispatchers.list_all():
                self._start_due_probes(dispatcher, now)

    def _refresh_assignments(self, now: float) -> None:
        self._assignments_refreshed_at = now
        self._probe_intervals_s = {}
        candidates = self._list_prober_candidates()
        for dispatcher in self._gateway.dispatchers.list_all():
            active = now - dispatcher.last_request_at < ACTIVE_SERVICE_WINDOW_S
            target_interval_s = (
                self._options.interval_s if active else self._options.idle_interval_s
            )
            for load in dispatcher.loads.values():
                interval_s = compute_probe_interval_s(
                    load.server_id,
                    load.failure_domain,
                    candidates,
                    own_vm_id=self._own_vm_id,
                    target_interval_s=target_interval_s,
                    max_probes_per_s=self.max_probes_per_s,
                )
                if interval_s is not None:
                    self._probe_intervals_s[load.server_id] = interval_s

    def _start_due_probes(self, dispatcher: Dispatcher, now: float) -> None:
        for load in dispatcher.loads.values():
            interval_s = self._probe_intervals_s.get(load.server_id)
            if interval_s is None or load.server_id in self._probe_tasks:
                continue
            if now - load.last_probe_at < interval_s or now < load.paused_until:
                continue
            if now - load.reported_at < FRESH_REPORT_FRACTION * interval_s:
                continue
            load.last_probe_at = now
            task = asyncio.create_task(self._run_probe(dispatcher, load))
            self._probe_tasks[load.server_id] = task
            task.add_done_callback(lambda _, key=load.server_id: self._probe_tasks.pop(key, None))

    async def _run_probe(self, dispatcher: Dispatcher, load: ServerLoad) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self._send_probe(dispatcher, load)
        except (AttemptError, TimeoutError) as error:
            self.failed_count += 1
            _logger.debug(
                "Load probe of server {} failed; retrying after the probe interval: {!r}",
                load.server_id,
                error,
            )

    async def _send_probe(self, dispatcher: Dispatcher, load: ServerLoad) -> None:
        table = self._gateway.routing_table
        services = {service.name: service for service in table.services} if table else {}
        service = services.get(dispatcher.service)
        if service is None:
            return
        connections = self._gateway.connections
        connection = await connections.acquire(load.address)
        headers: CIMultiDict[str] = CIMultiDict({"Host": load.address})
        complete = False
        try:
            self.sent_count += 1
            await connection.send("GET", service.health_path, headers, b"")
            exchange = await connection.receive_head(self._decode_probe_head)
            observed_at = time.monotonic()
            head = exchange.head
            _, complete = await connection.read_body(
                exchange, MAX_PROBE_BODY_BYTES, self._response_memory
            )
        finally:
            if complete:
                connections.release(load.address, connection)
            else:
                connection.close()
        if head.server_id and head.server_id != load.server_id:
            return
        self._gateway.record_server_state(load, head)
        if head.report is None:
            return
        if self._gateway.dispatchers.record_report(dispatcher, load, head.report, observed_at):
            self._load_updates.record_report(load.server_id, head.report, observed_at)
            dispatcher.place_queued_requests()

    def _decode_probe_head(self, status: int, headers: t.Any) -> ResponseHead | None:
        head = self._header_codec.decode_response(status, headers)
        # A response with a request id belongs to an earlier request on this connection; None makes
        # the connection skip it.
        return None if head.request_id else head
