"""Simulation of backend servers, nodes and callers that runs the product's routing code.

Each server runs on its own host and has a number of slots. Each host becomes slow for short
periods, independently of the others. The service time of a request is random and multiplied by the
slowness of the host when the request starts. Each node uses a subset of the servers and probes
some of them before it places a request. A caller whose request is rejected
retries after the retry delay in the rejection, or after a third of the remaining time until its
deadline if that is shorter. The simulation runs in virtual time.
"""

from __future__ import annotations

import asyncio
import math
import random
import typing as t

import msgspec

from jasmineseam.exceptions import AttemptNotRunError
from jasmineseam.exceptions import NotRunError
from jasmineseam.measuring.load_reports import DetailedLoadReport
from jasmineseam.node.load_prober import QUEUE_PROBE_INTERVAL_S
from jasmineseam.routing import subsets
from jasmineseam.routing.attempt_race import race_attempts
from jasmineseam.routing.caller_timeout import CallerTimeoutEstimator
from jasmineseam.routing.dispatch import Dispatcher
from jasmineseam.routing.dispatch import PlacementRequest
from jasmineseam.routing.hedging import FIRST_HEDGE_CHECK_S
from jasmineseam.routing.hedging import HEDGE_CHECK_INTERVAL_S
from jasmineseam.routing.hedging import HEDGE_RESERVED_BUDGET_FRACTION
from jasmineseam.routing.hedging import RouteLatencies
from jasmineseam.routing.hedging import find_hedge_cause
from jasmineseam.routing.load import ServerLoad
from jasmineseam.routing.service_times import ServiceTimes
from jasmineseam.routing.window_retry_budget import SlidingWindowRetryBudget

ARRIVAL_TICK_S = 0.002
RETRY_BUDGET_WINDOW_S = 10.0
# score of a response after the target latency but within the deadline; a response within the
# target latency scores 1, a failed call 0
LATE_RESPONSE_CREDIT = 0.1
# the deadline of each call is drawn uniformly between this fraction of deadline_s and deadline_s
MIN_DEADLINE_FRACTION = 0.83
ROUTE_NAME = "call"


class Noise(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """Periods in which hosts are slow.

    :param share: fraction of the time in which a host is slow.
    :param factor: service time on a slow host, as a multiple of the normal service time.
    :param every_s: mean time between two changes of a host's speed, in seconds.
    """

    share: float = 0.0
    factor: float = 1.0
    every_s: float = 0.15


class Burst(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """A period with a higher request rate.

    :param at_s: start, in seconds from the start of the simulation.
    :param for_s: duration, in seconds.
    :param factor: request rate as a multiple of the normal rate.
    """

    at_s: float
    for_s: float
    factor: float


class FleetSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """Settings of one service, its nodes and its callers.

    :param work_s: mean service time on a host of normal speed, in seconds.
    :param target_s: target latency, in seconds.
    :param deadline_s: longest time from the start of a call to its deadline, in seconds.
    :param slots: number of requests that a server runs concurrently.
    :param spread: half width of the uniform distribution of service times, as a fraction of the
        mean.
    :param hedged_share: fraction of calls that may be hedged.
    :param extra_share: maximum number of extra attempts in a window of 10 s, as a fraction of the
        requests in the window.
    :param extra_allowance: number of extra attempts allowed in a window in addition to
        ``extra_share``.
    :param retries: maximum number of retries after rejections.
    :param probes_per_placement: number of servers that a node probes before it places a request.
    :param probe_round_trip_s: time until the reports arrive, in seconds.
    :param min_subset_size: smallest number of servers that a node uses; the product's rule for
        larger subsets applies as well.
    """

    servers: int
    nodes: int
    requests_per_s: float
    work_s: float
    target_s: float
    deadline_s: float
    slots: int = 4
    spread: float = 0.5
    hedged_share: float = 0.0
    extra_share: float = 0.2
    extra_allowance: float = 60.0
    retries: int = 2
    probes_per_placement: int = 4
    probe_round_trip_s: float = 0.002
    min_subset_size: int = subsets.MIN_SUBSET_SIZE
    duration_s: float = 10.0
    noise: Noise = Noise()
    bursts: list[Burst] = []


class SimulationResult(msgspec.Struct, kw_only=True):
    """Outcomes of all calls of one simulation.

    :param calls: number of calls.
    :param in_time: fraction of the calls with a response within the target latency.
    :param late: fraction with a later response within the deadline.
    :param failed: fraction without a response within the deadline.
    """

    calls: int
    in_time: float
    late: float
    failed: float

    @property
    def credit(self) -> float:
        """Mean score of the calls: 1 if all responses were within the target latency."""
        return self.in_time + LATE_RESPONSE_CREDIT * self.late


class _SimulatedServer:
    __slots__ = ("running", "server_id", "slowness")

    def __init__(self, server_id: str) -> None:
        self.server_id = server_id
        self.slowness = 1.0
        self.running = 0


class FleetSimulation:
    """Simulates one fleet on the running event loop.

    :param settings: settings of the fleet.
    :param seed: seed of all random numbers.
    """

    def __init__(self, *, settings: FleetSettings, seed: int) -> None:
        self._settings = settings
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._servers = {f"s{n}": _SimulatedServer(f"s{n}") for n in range(settings.servers)}
        self._dispatchers = [self._make_dispatcher(n) for n in range(settings.nodes)]
        self._timeout_estimators = [CallerTimeoutEstimator() for _ in range(settings.nodes)]
        self._retry_budgets = [self._make_retry_budget() for _ in range(settings.nodes)]
        self._route_latencies = [RouteLatencies() for _ in range(settings.nodes)]
        self._queue_tasks: dict[int, asyncio.Task] = {}
        self._outcome_counts = {"in_time": 0, "late": 0, "failed": 0}

    async def run(self) -> SimulationResult:
        """Run all calls to their end and return their outcomes."""
        settings = self._settings
        background = [
            asyncio.create_task(self._vary_host_slowness(server))
            for server in self._servers.values()
        ]
        calls = []
        started_at = self._loop.time()
        due_calls = 0.0
        while (now := self._loop.time()) < started_at + settings.duration_s:
            await asyncio.sleep(ARRIVAL_TICK_S)
            due_calls += (
                settings.requests_per_s * self._get_load_factor(now - started_at) * ARRIVAL_TICK_S
            )
            while due_calls >= 1.0 or self._rng.random() < due_calls:
                due_calls -= 1.0
                calls.append(asyncio.create_task(self._run_call()))
        await asyncio.gather(*calls)
        for task in background:
            task.cancel()
        shares = {name: count / len(calls) for name, count in self._outcome_counts.items()}
        return SimulationResult(calls=len(calls), **shares)

    def _make_dispatcher(self, number: int) -> Dispatcher:
        settings = self._settings
        dispatcher = Dispatcher(
            service=ROUTE_NAME,
            failure_domain="d",
            clock=self._loop.time,
            rng=random.Random(self._rng.random()),
            service_times=ServiceTimes(initial_s=settings.work_s),
        )
        dispatcher.on_queued = lambda _: self._handle_queued_request(number)
        size = max(
            settings.min_subset_size,
            math.ceil(subsets.NODES_PER_SERVER * settings.servers / settings.nodes),
        )
        members = self._rng.sample(list(self._servers), min(settings.servers, size))
        dispatcher.node_count = settings.nodes * len(members) / settings.servers
        for server_id in members:
            dispatcher.loads[server_id] = ServerLoad(
                server_id=server_id,
                address="",
                failure_domain="d",
                slots=settings.slots,
                now=self._loop.time(),
            )
        return dispatcher

    def _make_retry_budget(self) -> SlidingWindowRetryBudget:
        settings = self._settings
        budget = SlidingWindowRetryBudget(
            share=settings.extra_share,
            allowance=settings.extra_allowance,
            window_s=RETRY_BUDGET_WINDOW_S,
            clock=self._loop.time,
        )
        budget.node_count = settings.nodes
        return budget

    def _get_load_factor(self, at_s: float) -> float:
        factor = 1.0
        for burst in self._settings.bursts:
            if burst.at_s <= at_s < burst.at_s + burst.for_s:
                factor *= burst.factor
        return factor

    async def _vary_host_slowness(self, server: _SimulatedServer) -> None:
        noise = self._settings.noise
        while noise.share > 0:
            slow = self._rng.random() < noise.share
            server.slowness = noise.factor if slow else 1.0
            await asyncio.sleep(self._rng.uniform(0.5, 1.5) * noise.every_s)

    async def _probe(self, node: int) -> None:
        """Obtain the reports of some servers of a node."""
        loads = self._dispatchers[node].loads
        count = min(self._settings.probes_per_placement, len(loads))
        sample = self._rng.sample(list(loads), count)
        await asyncio.sleep(self._settings.probe_round_trip_s)
        for server_id in sample:
            self._record_report(node, self._servers[server_id])

    def _record_report(self, node: int, server: _SimulatedServer) -> None:
        dispatcher = self._dispatchers[node]
        report = DetailedLoadReport(
            running=server.running,
            waiting=0,
            slots=self._settings.slots,
            slowness=server.slowness,
        )
        if dispatcher.loads[server.server_id].record_report(report, self._loop.time()):
            dispatcher.average_slowness.record_slowness(report.slowness)
            dispatcher.place_queued_requests()

    def _handle_queued_request(self, node: int) -> None:
        task = self._queue_tasks.get(node)
        if task is None or task.done():
            self._queue_tasks[node] = asyncio.create_task(self._probe_while_queued(node))

    async def _probe_while_queued(self, node: int) -> None:
        while self._dispatchers[node].count_queued():
            await asyncio.sleep(QUEUE_PROBE_INTERVAL_S)
            await self._probe(node)

    async def _run_call(self) -> None:
        settings = self._settings
        started_at = self._loop.time()
        deadline_at = started_at + settings.deadline_s * self._rng.uniform(
            MIN_DEADLINE_FRACTION, 1.0
        )
        for _ in range(1 + settings.retries):
            node = self._rng.randrange(settings.nodes)
            try:
                await self._probe(node)
                request = self._build_placement_request(node, deadline_at)
                load = await self._dispatchers[node].place(request)
            except NotRunError as error:
                remaining_s = deadline_at - self._loop.time()
                await asyncio.sleep(max(0.0, min(error.retry_after_s or 0.0, remaining_s / 3)))
                continue
            if self._rng.random() < settings.hedged_share:
                await self._run_hedged_request(node, load, request)
            else:
                await self._run_request(node, load)
            latency_s = self._loop.time() - started_at
            outcome = "in_time" if latency_s <= settings.target_s else "late"
            self._outcome_counts[outcome if latency_s <= settings.deadline_s else "failed"] += 1
            return
        self._outcome_counts["failed"] += 1

    def _build_placement_request(self, node: int, deadline_at: float) -> PlacementRequest:
        now = self._loop.time()
        self._retry_budgets[node].record_request()
        elapsed_s = self._timeout_estimators[node].estimate_elapsed_s(deadline_at - now)
        return PlacementRequest(
            priority=1,
            service_time_s=self._dispatchers[node].get_service_time_s(ROUTE_NAME),
            target_at=now + self._settings.target_s - elapsed_s,
            deadline_at=deadline_at,
            excluded_server_ids=set(),
        )

    async def _run_hedged_request(
        self, node: int, load: ServerLoad, request: PlacementRequest
    ) -> None:
        dispatcher = self._dispatchers[node]
        started_at = self._loop.time()
        latencies = self._route_latencies[node]
        overdue_s = latencies.get_overdue_s(
            dispatcher.service, ROUTE_NAME, service_time_s=request.service_time_s
        )

        def start_hedge() -> t.Coroutine | None:
            now = self._loop.time()
            cause = find_hedge_cause(
                elapsed_s=now - started_at,
                overdue_s=overdue_s,
                slowness=load.get_fresh_slowness(now),
                queued_count=dispatcher.count_queued(),
            )
            return None if cause is None else send_hedge()

        async def send_hedge() -> None:
            await self._probe(node)
            hedge_load = dispatcher.choose_hedge_server(
                request._replace(excluded_server_ids={load.server_id}),
                latencies.get_typical_s(dispatcher.service, ROUTE_NAME),
            )
            if hedge_load is None or not self._retry_budgets[node].take_attempt(
                HEDGE_RESERVED_BUDGET_FRACTION
            ):
                raise AttemptNotRunError("no-hedge")
            await self._run_request(node, hedge_load)

        await race_attempts(
            self._run_request(node, load),
            delay_s=FIRST_HEDGE_CHECK_S,
            start_hedge=start_hedge,
            is_success=lambda _: True,
            recheck_interval_s=HEDGE_CHECK_INTERVAL_S,
        )
        latencies.record(dispatcher.service, ROUTE_NAME, self._loop.time() - started_at)

    async def _run_request(self, node: int, load: ServerLoad) -> None:
        dispatcher = self._dispatchers[node]
        server = self._servers[load.server_id]
        started_at = self._loop.time()
        slowness = load.report.slowness if load.report is not None else 1.0
        token = load.start_request(started_at)
        server.running += 1
        spread = self._settings.spread
        work_s = self._settings.work_s * self._rng.uniform(1 - spread, 1 + spread)
        # requests in excess of the slots slow down all requests of the server
        contention_factor = max(1.0, server.running / self._settings.slots)
        try:
            await asyncio.sleep(work_s * server.slowness * contention_factor)
            dispatcher.record_latency(ROUTE_NAME, self._loop.time() - started_at, slowness)
        finally:
            server.running -= 1
            load.finish_request(token)
            self._record_report(node, server)
            dispatcher.record_completion()
