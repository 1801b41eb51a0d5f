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
from ..routing.probe_budget import USABLE_LIMIT_FRACTION
from ..routing.probe_budget import OwnProbes
from ..routing.request_shares import PROBES_PER_S
from ..routing.saved_probes import SavedProbes
from ..transport.connection_pool import PURPOSE_PROBE
from ..transport.response_heads import INVALID_REASONS
from ..transport.response_memory import ResponseMemory
from ..transport.server_connection import ServerConnection
from .gateway import Gateway
from .probe_grants import ProbeGrants

PROBE_TIMEOUT_S = 0.5
MAX_PROBE_BODY_BYTES = 65_536
# for the bodies of all probe responses that are being received
MAX_PROBE_MEMORY_BYTES = 8 * 1024 * 1024
# A request that no server in use suits borrows servers of its failure domain first, and then
# servers elsewhere.
MAX_BORROWINGS_PER_PLACEMENT = 2
# interval between the probes for requests that wait for a server
QUEUE_PROBE_INTERVAL_S = 0.02
# A younger report is not refreshed.
MIN_REPORT_AGE_S = 0.01
# While a request waits, the owner is asked only for servers with older reports, in seconds. It
# is asked again before the reports are too old for a placement.
MIN_ASK_REPORT_AGE_S = 0.03
# least interval between two requests to the owner for requests that wait for a server, in seconds
QUEUE_ASK_INTERVAL_S = 0.04
# After a request to the owner for servers outside of the subset, such servers are part of the next
# requests for this time, in seconds. A placement needs one datagram then.
BORROW_AHEAD_S = 1.0
# A probe without a response after this time puts the path to the service in doubt, in seconds.
SILENCE_S = 0.1
# Servers with an open connection are probed first, but for this share of the placements. A node
# with many requests would otherwise leave the rest of its subset unused.
EXPLORATION_SHARE = 0.05
# longest time that a request waits for a sign of life, in which the path is checked
MAX_SILENCE_WAIT_S = 0.4
SILENCE_POLL_INTERVAL_S = 0.005
# If the timer for this fires later than this, the node itself was delayed, in seconds.
MAX_TIMER_DELAY_S = 0.05
# A health response shows for this time that a server is not cold, in seconds. A server that
# restarts takes longer until it accepts requests.
MIN_HEALTH_LIFETIME_S = 1.0
# The time is at least this many intervals between probes, so that few probes don't concentrate the
# requests on few servers.
HEALTH_LIFETIME_INTERVALS = 3.0
_logger = logbook.Logger("probes")


class LoadProber:
    """Probes servers when load reports are needed.

    :param gateway: provides the routing table, the dispatchers and the connection pool.
    :param header_codec: decodes the response headers of servers.
    :param options: how many servers are probed, and how long a request waits for their reports.
    :param max_probes_per_s: maximum probes per second that one server may receive from all nodes.
    :param grants: shares that limit among the nodes.
    """

    def __init__(
        self,
        *,
        gateway: Gateway,
        header_codec: HeaderCodec,
        options: ProbeOptions,
        max_probes_per_s: float,
        grants: ProbeGrants,
    ) -> None:
        self._gateway = gateway
        self._header_codec = header_codec
        self._options = options
        self._grants = grants
        self._own_probes = OwnProbes(node_id=gateway.node_id)
        self._saved_probes = SavedProbes()
        self.max_probes_per_s = max_probes_per_s
        self._response_memory = ResponseMemory(max_bytes=MAX_PROBE_MEMORY_BYTES)
        self._probe_tasks: dict[str, asyncio.Task] = {}
        # tasks that probe for waiting requests, by service
        self._queue_tasks: dict[str, asyncio.Task] = {}
        # time of the last request to the owner of each service, and of the last for servers that
        # were borrowed
        self._asked_at: dict[str, float] = {}
        self._borrowed_at: dict[str, float] = {}
        # tasks that ask for probes
        self._grant_tasks: set[asyncio.Task] = set()
        self._rng = random.Random()
        self.sent_count = 0
        self.failed_count = 0
        # failed probes whose servers sent bytes that are no valid response
        self.invalid_count = 0
        gateway.dispatchers.on_queued = self._handle_queued_request

    async def refresh_loads(self, dispatcher: Dispatcher, request: PlacementRequest) -> None:
        """Obtain reports of a few servers for the placement of a request.

        If none of this node's servers suits the request, servers outside of its subset are used
        as well. A request that must not be repeated waits while no server shows a sign of life,
        since it would be lost if this node's path to the servers is.
        """
        started_at = time.monotonic()
        count = self._options.per_placement
        borrowed = self._borrow_ahead(dispatcher, count, started_at)
        # Without an open connection, this node may have been cut off from the servers since the
        # last request. If several new ones fail, a request that may run once is relayed.
        any_connection = not request.idempotent and not any(
            dispatcher.is_connected(load.address) for load in dispatcher.loads.values()
        )
        await self._probe_sample(
            dispatcher, request.excluded_server_ids, any_connection=any_connection
        )
        if not request.idempotent:
            await self._wait_for_sign_of_life(dispatcher, started_at)
        if borrowed:
            return
        for _ in range(MAX_BORROWINGS_PER_PLACEMENT):
            if dispatcher.has_suitable_server(request):
                return
            if not await self._borrow_servers(dispatcher, count):
                return

    def _borrow_ahead(self, dispatcher: Dispatcher, count: int, now: float) -> list[ServerLoad]:
        """Add servers outside of the subset, if reports of such were requested a short time ago.

        They are part of the next request to the owner, so that one datagram suffices.
        """
        if now - self._borrowed_at.get(dispatcher.service, float("-inf")) > BORROW_AHEAD_S:
            return []
        return self._gateway.dispatchers.borrow_servers(dispatcher, count)

    async def _borrow_servers(self, dispatcher: Dispatcher, count: int) -> bool:
        """Add servers outside of the subset, and obtain their reports.

        :returns: whether there were any.
        """
        borrowed = self._gateway.dispatchers.borrow_servers(dispatcher, count)
        if await self._obtain_reports(dispatcher, borrowed, count):
            self._borrowed_at[dispatcher.service] = time.monotonic()
        return bool(borrowed)

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
            borrowed = self._borrow_ahead(dispatcher, 1, time.monotonic())
            await self._probe_sample(dispatcher, set(), queued=True)
            if not dispatcher.count_queued():
                return
            if not borrowed:
                await self._borrow_servers(dispatcher, 1)

    async def _probe_sample(
        self,
        dispatcher: Dispatcher,
        excluded_ids: set[str],
        *,
        queued: bool = False,
        any_connection: bool = False,
    ) -> None:
        now = time.monotonic()
        available = [
            load
            for load in dispatcher.loads.values()
            if load.server_id not in excluded_ids and now >= load.get_available_at(now)
        ]
        candidates = [
            load
            for load in available
            if now - load.reported_at > MIN_REPORT_AGE_S
            and load.server_id not in self._probe_tasks
        ]
        self._rng.shuffle(candidates)
        if self._rng.random() >= EXPLORATION_SHARE:
            candidates.sort(
                key=lambda load: (not dispatcher.is_connected(load.address), load.last_probe_at)
            )
        fresh_count = sum(now - load.reported_at <= MIN_ASK_REPORT_AGE_S for load in available)
        asked_at = self._asked_at.get(dispatcher.service, float("-inf"))
        await self._obtain_reports(
            dispatcher,
            candidates,
            self._options.per_placement,
            fresh_count=fresh_count,
            may_ask=not queued or now - asked_at >= QUEUE_ASK_INTERVAL_S,
            any_connection=any_connection,
        )

    async def _obtain_reports(
        self,
        dispatcher: Dispatcher,
        loads: list[ServerLoad],
        count: int,
        *,
        fresh_count: int = 0,
        may_ask: bool = True,
        any_connection: bool = False,
    ) -> bool:
        """Obtain reports of some of the given servers, the first of them by preference.

        Servers are probed within this node's own share of the probes. If that yields too few
        reports, the owner of the service is asked.

        :param fresh_count: number of servers that need no report.
        :param may_ask: whether the owner may be asked.
        :param any_connection: whether connections are opened whatever the reports are worth.
        :returns: whether the owner was asked.
        """
        if not loads or self.max_probes_per_s <= 0.0:
            return False
        now = time.monotonic()
        chosen: list[ServerLoad] = []
        others: list[ServerLoad] = []
        for load in loads:
            if not any_connection and not self._is_probe_worthwhile(dispatcher, load, len(chosen)):
                continue
            if len(chosen) < count and self._may_probe_unasked(dispatcher, load, now):
                chosen.append(load)
            elif self._may_ask(dispatcher, load, now):
                others.append(load)
        tasks = [self._start_probe(dispatcher, load) for load in chosen]
        missing_count = count - len(chosen) - fresh_count
        asks = may_ask and missing_count > 0 and bool(others)
        if asks:
            self._asked_at[dispatcher.service] = now
            request = self._grants.request(
                dispatcher,
                others,
                missing_count,
                lambda granted: self._probe_granted(dispatcher, granted),
            )
            task = asyncio.create_task(request)
            self._grant_tasks.add(task)
            task.add_done_callback(self._grant_tasks.discard)
            if not self._grants.is_silent(dispatcher.service):
                tasks.append(task)
        if tasks:
            await asyncio.wait(tasks, timeout=self._options.wait_s)
        return asks

    async def _probe_granted(self, dispatcher: Dispatcher, loads: list[ServerLoad]) -> None:
        """Probe servers whose probes were granted, and wait for the reports."""
        now = time.monotonic()
        tasks = [
            self._start_probe(dispatcher, load)
            for load in loads
            if load.server_id not in self._probe_tasks and now >= load.get_available_at(now)
        ]
        if tasks:
            await asyncio.wait(tasks, timeout=self._options.wait_s)

    def _is_probe_worthwhile(
        self, dispatcher: Dispatcher, load: ServerLoad, report_count: int
    ) -> bool:
        """Return whether a report of a server is worth a new connection, if it takes one.

        :param report_count: number of servers that are probed for the same placement.
        """
        if report_count == 0 or load.requires_health:
            return True
        gain_s = dispatcher.report_value.estimate_gain_s(
            report_count, service_time_s=dispatcher.service_time_s
        )
        return dispatcher.get_connect_cost_s(load) < gain_s

    def _may_ask(self, dispatcher: Dispatcher, load: ServerLoad, now: float) -> bool:
        """Return whether the owner may provide a report of a server that this node needs."""
        bucket = load.request_bucket
        if bucket is not None and bucket.limits_probes:
            return False
        if not self._options.by_demand or now - load.reported_at <= MIN_ASK_REPORT_AGE_S:
            return False
        share = self._grants.get_share(dispatcher.service, load.failure_domain)
        return share.granted_per_s > 0.0

    def _may_probe_unasked(self, dispatcher: Dispatcher, load: ServerLoad, now: float) -> bool:
        """Return whether this node may probe a server within its own share of the probes.

        A server that names a limit on requests gets few probes, too.
        """
        bucket = load.request_bucket
        if bucket is not None and bucket.limits_probes:
            interval_s = bucket.share.node_count / PROBES_PER_S
            return now - load.last_probe_at >= interval_s
        if not self._options.by_demand:
            interval_s = self._compute_equal_share_interval_s(dispatcher)
            return self._saved_probes.may_probe(load.server_id, interval_s=interval_s, now=now)
        share = self._grants.get_share(dispatcher.service, load.failure_domain)
        in_subset = load.borrowed_until is None
        probes_per_s = share.own_per_s if in_subset else share.borrower_per_s
        # The subsets of dispatchers with different home regions are used by different nodes.
        probes_per_s /= self._gateway.dispatchers.count(dispatcher.service)
        return self._own_probes.may_probe(load.server_id, probes_per_s, now)

    def _compute_equal_share_interval_s(self, dispatcher: Dispatcher) -> float:
        """Return the interval of probes if all nodes that use a server share them equally."""
        limit_per_s = max(0.001, USABLE_LIMIT_FRACTION * self.max_probes_per_s)
        # The subsets of dispatchers with different home regions are used by different nodes.
        dispatcher_count = self._gateway.dispatchers.count(dispatcher.service)
        return dispatcher_count * dispatcher.node_count / limit_per_s

    def _start_probe(self, dispatcher: Dispatcher, load: ServerLoad) -> asyncio.Task:
        load.last_probe_at = time.monotonic()
        self._own_probes.record_probe(load.server_id, load.last_probe_at)
        self._saved_probes.record_probe(
            load.server_id,
            interval_s=self._compute_equal_share_interval_s(dispatcher),
            now=load.last_probe_at,
        )
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
            if isinstance(error, AttemptError) and error.reason in INVALID_REASONS:
                self.invalid_count += 1
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
        connection = await connections.acquire(load.address, purpose=PURPOSE_PROBE)
        if not connection.reused:
            dispatcher.path.record_connection()
        headers: CIMultiDict[str] = CIMultiDict({"Host": load.address})
        complete = False
        try:
            self.sent_count += 1
            sent_at = time.monotonic()
            connection.probe_count += 1
            await connection.send("GET", service.health_path, headers, b"")
            exchange = await connection.receive_head(self._decode_probe_head)
            observed_at = time.monotonic()
            dispatcher.path.record_response()
            self._gateway.dispatchers.round_trips.record(
                load.failure_domain, observed_at - sent_at
            )
            head = exchange.head
            _, complete = await connection.read_body(
                exchange, MAX_PROBE_BODY_BYTES, self._response_memory
            )
        finally:
            if complete and not _may_repeat_rejection(connection, head):
                connections.release(load.address, connection)
            else:
                connection.close()
        if head.server_id and head.server_id != load.server_id:
            return
        interval_s = self._compute_equal_share_interval_s(dispatcher)
        load.health_valid_until = sent_at + max(
            MIN_HEALTH_LIFETIME_S, HEALTH_LIFETIME_INTERVALS * interval_s
        )
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


def _may_repeat_rejection(connection: ServerConnection, head: ResponseHead) -> bool:
    """Return whether a rejection of a probe may arrive in place of the response to a request.

    It has no id that tells it from the rejection of that request. A server that does not report
    its load may reject probes, and the response to a second probe can be a copy of that to the
    first, with the true one still to come.
    """
    return head.not_run or (head.report is None and connection.probe_count > 1)
