"""Kinds of requests that compete for the servers of one service, on virtual time.

Clients, nodes and servers are simulated; the decisions are those of the product's dispatchers. A
client whose request is refused asks another node after the time in the refusal, or after a third
of the time that it has left if that is shorter.
"""

import asyncio
import collections
import random

from bench.virtual_time import run_in_virtual_time
from jasmineseam.exceptions import NotRunError
from jasmineseam.measuring.load_reports import DetailedLoadReport
from jasmineseam.routing.caller_timeout import CallerTimeoutEstimator
from jasmineseam.routing.dispatch import Dispatcher
from jasmineseam.routing.dispatch import PlacementRequest
from jasmineseam.routing.load import ServerLoad
from jasmineseam.routing.service_times import ServiceTimes

SERVICE = "s"
LATE_CREDIT = 0.1
# cost of a request that came back after a refusal and is finally refused
SECOND_REFUSAL_COST = 0.3
ROUND_TRIP_S = 0.007
CLIENT_ROUND_TRIP_S = 0.006
QUEUE_PROBE_INTERVAL_S = 0.02
SLOW_HOST_FACTOR = 5.0
HOST_PERIOD_S = 0.15


class Kind:
    """A kind of requests; times in seconds.

    :param bursts: whether it is sent at the higher rate during bursts.
    """

    __slots__ = ("bursts", "deadline_s", "name", "priority", "rate_per_s", "target_s", "work_s")

    def __init__(
        self, *, name, priority, work_s, target_s, deadline_s, rate_per_s, bursts=True
    ) -> None:
        self.name = name
        self.priority = priority
        self.work_s = work_s
        self.target_s = target_s
        self.deadline_s = deadline_s
        self.rate_per_s = rate_per_s
        self.bursts = bursts


class Outcomes:
    """What became of the requests of each kind."""

    __slots__ = ("asked", "in_time", "late", "refused_again")

    def __init__(self) -> None:
        self.asked = collections.Counter()
        self.in_time = collections.Counter()
        self.late = collections.Counter()
        self.refused_again = collections.Counter()

    def get_served(self, kind):
        """Return the fraction of a kind that was served."""
        return (self.in_time[kind] + self.late[kind]) / self.asked[kind]

    def get_credit(self, kind):
        """Return the fraction of its possible credit that a kind has got."""
        return (self.in_time[kind] + LATE_CREDIT * self.late[kind]) / self.asked[kind]

    def get_total(self):
        """Return the credit of all kinds less the cost of second refusals, for each request."""
        gained = self.in_time.total() + LATE_CREDIT * self.late.total()
        return (gained - SECOND_REFUSAL_COST * self.refused_again.total()) / self.asked.total()


class _Server:
    __slots__ = ("running", "server_id", "slots", "slowness", "waiting")

    def __init__(self, server_id, slots) -> None:
        self.server_id = server_id
        self.slots = slots
        self.slowness = 1.0
        self.running = 0
        self.waiting = collections.deque()

    async def run(self, work_s):
        """Run a request when a slot is free, first come first served."""
        if self.running >= self.slots:
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            await turn
        else:
            self.running += 1
        await asyncio.sleep(work_s * self.slowness)
        if self.waiting:
            self.waiting.popleft().set_result(None)
        else:
            self.running -= 1

    def build_report(self):
        """Return the load report of this moment."""
        return DetailedLoadReport(
            running=self.running,
            waiting=len(self.waiting),
            slots=self.slots,
            slowness=self.slowness,
        )


class _Simulation:
    def __init__(
        self, kinds, *, nodes, servers, slots, slow_share, retries, duration_s, burst, seed
    ):
        self._loop = asyncio.get_running_loop()
        self._rng = random.Random(seed)
        self._kinds = kinds
        self._retries = retries
        self._duration_s = duration_s
        self._burst = burst
        self._slow_share = slow_share
        self._servers = {f"s{n}": _Server(f"s{n}", slots) for n in range(servers)}
        self._dispatchers = [self._make_dispatcher(n, nodes) for n in range(nodes)]
        self._estimators = [
            {kind.name: CallerTimeoutEstimator() for kind in kinds} for _ in range(nodes)
        ]
        for by_kind in self._estimators:
            # Nodes have seen requests before the overload.
            for kind in kinds:
                for _ in range(64):
                    by_kind[kind.name].estimate_elapsed_s(self._draw_timeout(kind))
        self._queue_tasks = {}
        self._outcomes = Outcomes()

    def _draw_timeout(self, kind):
        return kind.deadline_s * self._rng.uniform(0.85, 1.0)

    def _make_dispatcher(self, number, nodes):
        times = ServiceTimes(initial_s=self._kinds[0].work_s)
        for kind in self._kinds:
            for _ in range(20):
                times.record(SERVICE, kind.name, kind.work_s)
        dispatcher = Dispatcher(
            service=SERVICE,
            failure_domain="d",
            clock=self._loop.time,
            rng=random.Random(self._rng.random()),
            service_times=times,
        )
        dispatcher.node_count = nodes
        dispatcher.on_queued = lambda _: self._probe_for_queue(number)
        for server in self._servers.values():
            dispatcher.loads[server.server_id] = ServerLoad(
                server_id=server.server_id,
                address="",
                failure_domain="d",
                slots=server.slots,
                now=self._loop.time(),
            )
        return dispatcher

    async def run(self):
        hosts = [asyncio.create_task(self._vary(server)) for server in self._servers.values()]
        await asyncio.gather(*(self._send(kind) for kind in self._kinds))
        for task in hosts:
            task.cancel()
        return self._outcomes

    async def _vary(self, server):
        while True:
            slow = self._rng.random() < self._slow_share
            server.slowness = SLOW_HOST_FACTOR if slow else 1.0
            await asyncio.sleep(HOST_PERIOD_S * self._rng.uniform(0.5, 1.5))

    async def _send(self, kind):
        ends_at = self._loop.time() + self._duration_s
        tasks = []
        while (now := self._loop.time()) < ends_at:
            rate_per_s = kind.rate_per_s
            if self._burst is not None and kind.bursts:
                period_s, burst_s, factor = self._burst
                rate_per_s *= factor if now % period_s < burst_s else 1.0
            await asyncio.sleep(self._rng.expovariate(rate_per_s))
            tasks.append(asyncio.create_task(self._run_client(kind)))
        await asyncio.gather(*tasks)

    async def _probe(self, node):
        await asyncio.sleep(ROUND_TRIP_S / 2)
        reports = {name: server.build_report() for name, server in self._servers.items()}
        await asyncio.sleep(ROUND_TRIP_S / 2)
        for server_id, report in reports.items():
            self._record(node, server_id, report)

    def _record(self, node, server_id, report):
        dispatcher = self._dispatchers[node]
        if dispatcher.loads[server_id].record_report(report, self._loop.time()):
            dispatcher.average_slowness.record_slowness(report.slowness)
            dispatcher.place_queued_requests()

    def _probe_for_queue(self, node):
        task = self._queue_tasks.get(node)
        if task is None or task.done():
            self._queue_tasks[node] = asyncio.create_task(self._probe_while_queued(node))

    async def _probe_while_queued(self, node):
        while self._dispatchers[node].count_queued():
            await asyncio.sleep(QUEUE_PROBE_INTERVAL_S)
            await self._probe(node)

    async def _run_client(self, kind):
        started_at = self._loop.time()
        deadline_at = started_at + self._draw_timeout(kind)
        self._outcomes.asked[kind.name] += 1
        for attempt in range(1 + self._retries):
            await asyncio.sleep(CLIENT_ROUND_TRIP_S / 2)
            try:
                await self._run_request(
                    kind, self._rng.randrange(len(self._dispatchers)), deadline_at
                )
            except NotRunError as error:
                await asyncio.sleep(CLIENT_ROUND_TRIP_S / 2)
                left_s = deadline_at - self._loop.time()
                if attempt == self._retries or left_s <= 0:
                    self._outcomes.refused_again[kind.name] += attempt > 0
                    return
                await asyncio.sleep(min(error.retry_after_s, left_s / 3))
                continue
            await asyncio.sleep(CLIENT_ROUND_TRIP_S / 2)
            now = self._loop.time()
            self._outcomes.in_time[kind.name] += now <= started_at + kind.target_s
            self._outcomes.late[kind.name] += started_at + kind.target_s < now <= deadline_at
            return

    async def _run_request(self, kind, node, deadline_at):
        dispatcher = self._dispatchers[node]
        arrived_at = self._loop.time()
        elapsed_s = self._estimators[node][kind.name].estimate_elapsed_s(deadline_at - arrived_at)
        await self._probe(node)
        service_time_s = dispatcher.get_service_time_s(kind.name, kind.target_s)
        least_target_s = max(0.15, 1.5 * service_time_s)
        target_s = max(kind.target_s - CLIENT_ROUND_TRIP_S, least_target_s)
        request = PlacementRequest(
            kind.priority,
            service_time_s,
            arrived_at + target_s - elapsed_s,
            deadline_at,
            set(),
            returned=elapsed_s > 0.0,
        )
        async with asyncio.timeout(10.0):
            load = await dispatcher.place(request)
        server = self._servers[load.server_id]
        token = load.start_request(self._loop.time())
        sent_at = self._loop.time()
        slowness = load.report.slowness
        await asyncio.sleep(ROUND_TRIP_S / 2)
        await server.run(kind.work_s * self._rng.uniform(0.6, 1.4))
        report = server.build_report()
        await asyncio.sleep(ROUND_TRIP_S / 2)
        load.finish_request(token)
        self._record(node, load.server_id, report)
        duration_s = self._loop.time() - sent_at
        dispatcher.record_latency(kind.name, duration_s, slowness, kind.target_s)
        dispatcher.record_completion()


def simulate_kinds(
    kinds,
    *,
    nodes,
    servers=5,
    slots=3,
    slow_share=0.1,
    retries=2,
    duration_s=15.0,
    burst=None,
    seed=1,
):
    """Return the outcomes of requests of some kinds.

    :param slow_share: fraction of the time in which a host is slow.
    :param retries: number of times that a refused client asks again.
    :param burst: period and length of bursts in seconds, and the factor of the rates.
    """

    async def simulate():
        simulation = _Simulation(
            kinds,
            nodes=nodes,
            servers=servers,
            slots=slots,
            slow_share=slow_share,
            retries=retries,
            duration_s=duration_s,
            burst=burst,
            seed=seed,
        )
        return await simulation.run()

    return run_in_virtual_time(simulate)
