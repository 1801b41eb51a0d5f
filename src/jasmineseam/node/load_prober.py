"""Probing the load of servers for the placement of requests.

The slowness of a host changes within a tenth of a second, so older reports say little. A node
therefore probes a few of its servers just before it places a request, and again while requests
wait for a server. The number of probes depends on the number of requests alone.
"""

from __future__ import annotations

import asyncio
import random
import time
import typing as t

import logbook
from multidict import CIMultiDict

from ..exceptions import AttemptError
from ..exceptions import AttemptNotRunError
from ..operations.node_settings import ProbeOptions
from ..requests.protocol import HeaderCodec
from ..requests.protocol import ResponseHead
from ..routing.dispatch import Dispatcher
from ..routing.dispatch import PlacementRequest
from ..routing.load import ServerLoad
from ..routing.request_shares import PROBES_PER_S
from ..transport.response_memory import ResponseMemory
from .gateway import Gateway

PROBE_TIMEOUT_S = 0.5
MAX_PROBE_BODY_BYTES = 65_536
# for the bodies of all probe responses that are being received
MAX_PROBE_MEMORY_BYTES = 8 * 1024 * 1024
# interval between the probes for requests that wait for a server
QUEUE_PROBE_INTERVAL_S = 0.02
# A younger report is not refreshed.
MIN_REPORT_AGE_S = 0.01
# Part of the limit on probes to a server that the nodes use; their number is only an estimate.
USABLE_LIMIT_FRACTION = 0.8
# A probe without a response after this time puts the path to the service in doubt, in seconds.
SILENCE_S = 0.1
# longest time that a request waits for a sign of life, in which the path is checked
MAX_SILENCE_WAIT_S = 0.4
SILENCE_POLL_INTERVAL_S = 0.005
# If the timer for this fires later than this, the node itself was delayed, in seconds.
MAX_TIMER_DELAY_S = 0.05
_logger = logbook.Logger("probes")


class LoadProber:
    """Probes servers when load reports are needed.

    :param gateway: provides the routing table, the dispatchers and the connection pool.
    :param header_codec: decodes the response headers of servers.
    :param options: how many servers are probed, and how long a request waits for their reports.
    :param max_probes_per_s: maximum probes per second that one server may receive from all nodes.
    """

    def __init__(
        self,
        *,
        gateway: Gateway,
        header_codec: HeaderCodec,
        options: ProbeOptions,
        max_probes_per_s: float,
    ) -> None:
        self._gateway = gateway
        self._header_codec = header_codec
        self._options = options
        self.max_probes_per_s = max_probes_per_s
        self._response_memory = ResponseMemory(max_bytes=MAX_PROBE_MEMORY_BYTES)
        self._probe_tasks: dict[str, asyncio.Task] = {}
        # tasks that probe for waiting requests, by service
        self._queue_tasks: dict[str, asyncio.Task] = {}
        self._rng = random.Random()
        self.sent_count = 0
        self.failed_count = 0
        gateway.dispatchers.on_queued = self._handle_queued_request

    async def refresh_loads(self, dispatcher: Dispatcher, request: PlacementRequest) -> None:
        """Obtain reports of a few servers for the placement of a request.

        If none of this node's servers suits the request, servers outside of its subset are used
        as well. A request that must not be repeated waits while no server shows a sign of life,
        since it would be lost if this node's path to the servers is.
        """
        started_at = time.monotonic()
        await self._probe_sample(dispatcher, request.excluded_server_ids)
        if not request.idempotent:
            await self._wait_for_sign_of_life(dispatcher, started_at)
        if dispatcher.has_suitable_server(request):
            return
        borrowed = self._gateway.dispatchers.borrow_servers(
            dispatcher, self._options.per_placement
        )
        await self._probe_all(dispatcher, borrowed)

    async def _wait_for_sign_of_life(self, dispatcher: Dispatcher, since: float) -> None:
        path = dispatcher.path
        while (
            path.last_response_at < since
            and not path.lost
            and time.monotonic() - since < MAX_SILENCE_WAIT_S
            and not self._probe_tasks.keys().isdisjoint(dispatcher.loads)
        ):
            await asyncio.sleep(SILENCE_POLL_INTERVAL_S)

    def _handle_queued_request(self, dispatcher: Dispatcher) -> None:
        if dispatcher.service in self._queue_tasks:
            return
        task = asyncio.create_task(self._probe_while_queued(dispatcher))
        self._queue_tasks[dispatcher.service] = task
        task.add_done_callback(lambda _: self._queue_tasks.pop(dispatcher.service, None))

    async def _probe_while_queued(self, dispatcher: Dispatcher) -> None:
        while dispatcher.count_queued():
            await asyncio.sleep(QUEUE_PROBE_INTERVAL_S)
            await self._probe_sample(dispatcher, set())
            if not dispatcher.count_queued():
                return
            borrowed = self._gateway.dispatchers.borrow_servers(dispatcher, 1)
            await self._probe_all(dispatcher, borrowed)

    async def _probe_sample(self, dispatcher: Dispatcher, excluded_ids: set[str]) -> None:
        now = time.monotonic()
        candidates = [
            load
            for load in dispatcher.loads.values()
            if load.server_id not in excluded_ids
            and now >= load.get_available_at(now)
            and now - load.reported_at > MIN_REPORT_AGE_S
            and now - load.last_probe_at >= self._compute_min_interval_s(dispatcher, load)
            and load.server_id not in self._probe_tasks
        ]
        count = min(self._options.per_placement, len(candidates))
        await self._probe_all(dispatcher, self._rng.sample(candidates, count))

    async def _probe_all(self, dispatcher: Dispatcher, loads: list[ServerLoad]) -> None:
        if not loads or self.max_probes_per_s <= 0.0:
            return
        tasks = [self._start_probe(dispatcher, load) for load in loads]
        await asyncio.wait(tasks, timeout=self._options.wait_s)

    def _compute_min_interval_s(self, dispatcher: Dispatcher, load: ServerLoad) -> float:
        """Return the least interval between two probes of a server by this node, in seconds.

        With it, the nodes that use the same servers stay within the limit together. A server that
        names a limit on requests gets few probes, too.
        """
        if load.request_bucket is not None:
            return load.request_bucket.share.node_count / PROBES_PER_S
        limit_per_s = max(0.001, USABLE_LIMIT_FRACTION * self.max_probes_per_s)
        # The subsets of dispatchers with different home regions are used by different nodes.
        dispatcher_count = self._gateway.dispatchers.count(dispatcher.service)
        return dispatcher_count * dispatcher.node_count / limit_per_s

    def _start_probe(self, dispatcher: Dispatcher, load: ServerLoad) -> asyncio.Task:
        load.last_probe_at = time.monotonic()
        task = asyncio.create_task(self._run_probe(dispatcher, load))
        self._probe_tasks[load.server_id] = task
        task.add_done_callback(lambda _, key=load.server_id: self._probe_tasks.pop(key, None))
        return task

    async def _run_probe(self, dispatcher: Dispatcher, load: ServerLoad) -> None:
        path = dispatcher.path
        started_at = time.monotonic()

        def record_silence() -> None:
            if time.monotonic() - started_at < SILENCE_S + MAX_TIMER_DELAY_S:
                path.record_failure(load.server_id, started_at)

        silence_timer = asyncio.get_running_loop().call_later(SILENCE_S, record_silence)
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                await self.send_probe(dispatcher, load)
        except (AttemptError, TimeoutError) as error:
            self.failed_count += 1
            if isinstance(error, AttemptNotRunError):
                path.record_connect_failure(load.server_id, started_at)
            else:
                path.record_failure(load.server_id, started_at)
            if path.lost:
                return
            load.unanswered_probe = True
            if isinstance(error, AttemptNotRunError):
                load.eject(time.monotonic())
            _logger.debug(
                "Load probe of server {} failed; other servers are preferred: {!r}",
                load.server_id,
                error,
            )
        finally:
            silence_timer.cancel()

    async def send_probe(self, dispatcher: Dispatcher, load: ServerLoad) -> None:
        """Probe a server and record its report.

        :raises AttemptError: if there is no response.
        """
        table = self._gateway.routing_table
        services = {service.name: service for service in table.services} if table else {}
        service = services.get(dispatcher.service)
        if service is None:
            return
        connections = self._gateway.connections
        connection = await connections.acquire(load.address)
        if not connection.reused:
            dispatcher.path.record_connection()
        headers: CIMultiDict[str] = CIMultiDict({"Host": load.address})
        complete = False
        try:
            self.sent_count += 1
            sent_at = time.monotonic()
            await connection.send("GET", service.health_path, headers, b"")
            exchange = await connection.receive_head(self._decode_probe_head)
            observed_at = time.monotonic()
            dispatcher.path.record_response()
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
        self._gateway.record_server_state(load, head, sent_at, probe=True)
        if head.report is None:
            return
        if self._gateway.dispatchers.record_report(dispatcher, load, head.report, observed_at):
            dispatcher.place_queued_requests()

    def _decode_probe_head(self, status: int, headers: t.Any) -> ResponseHead | None:
        head = self._header_codec.decode_response(status, headers)
        # A response with a request id belongs to an earlier request on this connection; None makes
        # the connection skip it.
        return None if head.request_id else head
