"""A model of backend servers, nodes and callers for the product's own decisions, on virtual time.

Servers have slots; their hosts turn slower for a while, each by itself; work takes a drawn time,
longer by what its host is when it begins.
Nodes know reports as old as probing makes them, and each other's requests after a delay. Callers
return after a refusal as they were told, within their deadline.
"""

from __future__ import annotations

import asyncio
import random
import typing as t

import msgspec

from jasmineseam.exceptions import NotRunError
from jasmineseam.measuring.load_reports import DetailedLoadReport
from jasmineseam.programs.gateway import HEDGE_CHECK_PERIOD_S
from jasmineseam.programs.gateway import HEDGE_MIN_SLOWNESS
from jasmineseam.programs.gateway import HEDGE_OVERDUE_FACTOR
from jasmineseam.programs.gateway import HEDGE_RESERVED_BUDGET_FRACTION
from jasmineseam.programs.hedge import race_attempts
from jasmineseam.routing.caller_timeout import CallerTimeoutEstimator
from jasmineseam.routing.dispatch import Dispatcher
from jasmineseam.routing.dispatch import PlacementRequest
from jasmineseam.routing.load import ServerLoad
from jasmineseam.routing.window_retry_budget import SlidingWindowRetryBudget

ARRIVAL_TICK_S = 0.002
EXTRA_WINDOW_S = 10.0
# worth of a late answer beside one in time
LATE_WORTH = 0.1
# first attempts give between this share and all of the deadline
LEAST_DEADLINE_SHARE = 0.83
KIND = "call"


class Noise(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """How hosts turn slow.

    :param share: part of the time that a host is slow.
    :param factor: time that work takes then, as a multiple of the usual.
    :param every_s: mean time between two changes of a host, in seconds.
    """

    share: float = 0.0
    factor: float = 1.0
    every_s: float = 0.15


class Burst(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """More callers for a while.

    :param factor: load as a multiple of the usual.
    """

    at_s: float
    for_s: float
    factor: float


class FleetSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """One service, its nodes and its callers.

    :param work_s: mean time of the work on a host of usual speed, in seconds.
    :param spread: half width of the work's uniform distribution, as a share of the mean.
    :param target_s: time in which an answer earns its whole credit, in seconds.
    :param hedged_share: share of calls that may be sent to a second server while the first works.
    :param extra_share: bound on second attempts, for each request of a window of 10 s.
    :param extra_allowance: second attempts of a window beyond that.
    :param retries: how often a caller returns after a refusal.
    :param report_every_s: time between two reports of a server that no answer brought, in seconds.
    :param news_delay_s: time until a node's peers know what it has learnt, in seconds.
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
    report_every_s: float = 0.05
    news_delay_s: float = 0.03
    duration_s: float = 10.0
    noise: Noise = Noise()
    bursts: list[Burst] = []


class Tally(msgspec.Struct, kw_only=True):
    """What callers got, each count as a share of all."""

    calls: int
    in_time: float
    late: float
    failed: float

    @property
    def credit(self) -> float:
        """What callers' answers are worth, 1 if all were in time."""
        return self.in_time + LATE_WORTH * self.late


class _Server:
    __slots__ = ("running", "server_id", "slowness")

    def __init__(self, server_id: str) -> None:
        self.server_id = server_id
        self.slowness = 1.0
        self.running = 0


class Fleet:
    """Plays one experiment; a loop must be running.

    :param settings: of the experiment.
    :param seed: of all that is drawn.
    """

    def __init__(self, *, settings: FleetSettings, seed: int) -> None:
        self._settings = settings
        self._chooser = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self._servers = {f"s{n}": _Server(f"s{n}") for n in range(settings.servers)}
        self._dispatchers = [self._make_dispatcher(n) for n in range(settings.nodes)]
        self._patience = [CallerTimeoutEstimator() for _ in range(settings.nodes)]
        self._budgets = [self._make_budget() for _ in range(settings.nodes)]
        self._counts = {"in_time": 0, "late": 0, "failed": 0}

    async def play(self) -> Tally:
        """Play the load, and count."""
        settings = self._settings
        background = [
            asyncio.create_task(self._change_host(one)) for one in self._servers.values()
        ]
        background += [asyncio.create_task(self._report(one)) for one in self._servers.values()]
        calls = []
        began_at = self._loop.time()
        due = 0.0
        while (now := self._loop.time()) < began_at + settings.duration_s:
            await asyncio.sleep(ARRIVAL_TICK_S)
            due += settings.requests_per_s * self._get_factor(now - began_at) * ARRIVAL_TICK_S
            while due >= 1.0 or self._chooser.random() < due:
                due -= 1.0
                calls.append(asyncio.create_task(self._call()))
        await asyncio.gather(*calls)
        for task in background:
            task.cancel()
        shares = {name: count / len(calls) for name, count in self._counts.items()}
        return Tally(calls=len(calls), **shares)

    def _make_dispatcher(self, number: int) -> Dispatcher:
        settings = self._settings
        dispatcher = Dispatcher(
            service=KIND,
            failure_domain="d",
            clock=self._loop.time,
            rng=random.Random(self._chooser.random()),
        )
        dispatcher.node_count = settings.nodes
        dispatcher.service_time_s = settings.work_s
        for server_id in self._servers:
            dispatcher.loads[server_id] = ServerLoad(
                server_id=server_id,
                address="",
                failure_domain="d",
                slots=settings.slots,
                now=self._loop.time(),
            )
        return dispatcher

    def _make_budget(self) -> SlidingWindowRetryBudget:
        settings = self._settings
        budget = SlidingWindowRetryBudget(
            share=settings.extra_share,
            allowance=settings.extra_allowance,
            window_s=EXTRA_WINDOW_S,
            clock=self._loop.time,
        )
        budget.node_count = settings.nodes
        return budget

    def _get_factor(self, at_s: float) -> float:
        factor = 1.0
        for burst in self._settings.bursts:
            if burst.at_s <= at_s < burst.at_s + burst.for_s:
                factor *= burst.factor
        return factor

    async def _change_host(self, server: _Server) -> None:
        noise = self._settings.noise
        while noise.share > 0:
            slow = self._chooser.random() < noise.share
            server.slowness = noise.factor if slow else 1.0
            await asyncio.sleep(self._chooser.uniform(0.5, 1.5) * noise.every_s)

    async def _report(self, server: _Server) -> None:
        await asyncio.sleep(self._chooser.random() * self._settings.report_every_s)
        prober = self._chooser.randrange(self._settings.nodes)
        while True:
            self._note_report(prober, server)
            await asyncio.sleep(self._settings.report_every_s)

    def _note_report(self, node: int, server: _Server) -> None:
        """Let one node know now, and its peers a little later."""
        now = self._loop.time()
        report = DetailedLoadReport(
            running=server.running,
            waiting=0,
            slots=self._settings.slots,
            slowness=server.slowness,
        )
        self._take_report(self._dispatchers[node], server.server_id, report, now)
        for number, dispatcher in enumerate(self._dispatchers):
            if number == node:
                continue
            self._loop.call_later(
                self._settings.news_delay_s,
                self._take_report,
                dispatcher,
                server.server_id,
                report,
                now,
            )

    def _take_report(
        self,
        dispatcher: Dispatcher,
        server_id: str,
        report: DetailedLoadReport,
        observed_at: float,
    ) -> None:
        if dispatcher.loads[server_id].record_report(report, observed_at):
            dispatcher.average_slowness.record_slowness(report.slowness)
            dispatcher.place_queued_requests()

    def _note_count(self, node: int, server_id: str) -> None:
        count = len(self._dispatchers[node].loads[server_id].request_start_times)

        def tell() -> None:
            for number, dispatcher in enumerate(self._dispatchers):
                if number != node:
                    load = dispatcher.loads[server_id]
                    load.record_peer_in_flight(str(node), count, self._loop.time())

        self._loop.call_later(self._settings.news_delay_s, tell)

    async def _call(self) -> None:
        settings = self._settings
        began_at = self._loop.time()
        until = began_at + settings.deadline_s * self._chooser.uniform(LEAST_DEADLINE_SHARE, 1.0)
        for _ in range(1 + settings.retries):
            node = self._chooser.randrange(settings.nodes)
            try:
                wanted = self._describe_want(node, until)
                load = await self._dispatchers[node].place(wanted)
            except NotRunError as error:
                left_s = until - self._loop.time()
                await asyncio.sleep(max(0.0, min(error.retry_after_s or 0.0, left_s / 3)))
                continue
            if self._chooser.random() < settings.hedged_share:
                await self._work_hedged(node, load, wanted)
            else:
                await self._work(node, load)
            took_s = self._loop.time() - began_at
            outcome = "in_time" if took_s <= settings.target_s else "late"
            self._counts[outcome if took_s <= settings.deadline_s else "failed"] += 1
            return
        self._counts["failed"] += 1

    def _describe_want(self, node: int, until: float) -> PlacementRequest:
        now = self._loop.time()
        self._budgets[node].record_request()
        tried_s = self._patience[node].estimate_elapsed_s(until - now)
        return PlacementRequest(
            priority=1,
            service_time_s=self._dispatchers[node].get_service_time_s(KIND),
            target_at=now + self._settings.target_s - tried_s,
            deadline_at=until,
            excluded_server_ids=set(),
        )

    async def _work_hedged(self, node: int, load: ServerLoad, wanted: PlacementRequest) -> None:
        dispatcher = self._dispatchers[node]
        began_at = self._loop.time()
        first = self._work(node, load)

        def start_second() -> t.Coroutine | None:
            now = self._loop.time()
            overdue = now - began_at > HEDGE_OVERDUE_FACTOR * wanted.service_time_s
            if not overdue and load.get_fresh_slowness(now) < HEDGE_MIN_SLOWNESS:
                return None
            left_s = wanted.target_at - now
            other = dispatcher.choose_hedge_server({load.server_id}, wanted.service_time_s, left_s)
            if other is None or not self._budgets[node].take_attempt(
                HEDGE_RESERVED_BUDGET_FRACTION
            ):
                return None
            return self._work(node, other)

        await race_attempts(
            first,
            delay_s=HEDGE_CHECK_PERIOD_S,
            start_hedge=start_second,
            is_success=lambda _: True,
            recheck_period_s=HEDGE_CHECK_PERIOD_S,
        )

    async def _work(self, node: int, load: ServerLoad) -> None:
        dispatcher = self._dispatchers[node]
        server = self._servers[load.server_id]
        began_at = self._loop.time()
        slowness = load.report.slowness if load.report is not None else 1.0
        token = load.start_request(began_at)
        self._note_count(node, load.server_id)
        server.running += 1
        spread = self._settings.spread
        work_s = self._settings.work_s * self._chooser.uniform(1 - spread, 1 + spread)
        # what exceeds the slots shares them
        shared = max(1.0, server.running / self._settings.slots)
        try:
            await asyncio.sleep(work_s * server.slowness * shared)
            dispatcher.record_latency(KIND, self._loop.time() - began_at, slowness)
        finally:
            server.running -= 1
            load.finish_request(token)
            self._note_report(node, server)
            self._note_count(node, load.server_id)
            dispatcher.record_completion()
