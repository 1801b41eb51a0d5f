"""Connections to servers: which server is chosen with and without one, and how many are opened."""

import asyncio
import random
import time
import types

import pytest

from jasmineseam.measuring.load_reports import DetailedLoadReport
from jasmineseam.routing.load import ServerLoad
from jasmineseam.routing.placement import ReportValue
from jasmineseam.routing.placement import choose_servers
from jasmineseam.routing.placement import compute_connect_cost_s
from jasmineseam.transport.connection_pool import ConnectionPool

from .service_simulation import ServiceLoad
from .service_simulation import compute_quantile
from .service_simulation import run_service_simulation

# A third of deployment B, so that each node has as many servers and requests as there.
B_NODE_COUNT = 36
THIRD_OF_B = (
    ServiceLoad(name="a", servers=12, requests_per_s=44.0, work_s=0.11, target_s=0.35),
    ServiceLoad(name="b", servers=9, requests_per_s=30.0, work_s=0.11, target_s=0.35),
    ServiceLoad(
        name="c", servers=12, requests_per_s=42.0, work_s=0.11, target_s=0.35, once_share=0.5
    ),
    ServiceLoad(name="d", servers=2, requests_per_s=19.0, work_s=0.047, target_s=0.179),
)


@pytest.mark.parametrize(
    ("round_trip_s", "running", "slowness", "service_time_s", "expected"),
    [
        # equal servers: the one with a connection
        (0.007, 0, 1.0, 0.05, "connected"),
        # one request less at the other server saves less time than its connection costs
        (0.007, 1, 1.0, 0.05, "connected"),
        # and more if requests take long
        (0.007, 1, 1.0, 1.0, "other"),
        # near servers: a connection costs hardly more than 1 ms
        (0.0004, 2, 1.0, 0.05, "other"),
        # no connection is worth a slow host
        (0.007, 0, 3.0, 0.05, "other"),
    ],
)
def test_open_connection_is_weighed_by_what_a_new_one_costs(
    round_trip_s, running, slowness, service_time_s, expected
):
    """Guards against connections that are opened for nothing, and against slow hosts."""
    loads = []
    for name in ("connected", "other"):
        load = ServerLoad(server_id=name, address=name, failure_domain="d1", slots=4, now=-60.0)
        is_connected = name == "connected"
        load.record_report(
            DetailedLoadReport(
                running=running * is_connected,
                waiting=0,
                slots=4,
                slowness=slowness if is_connected else 1.0,
            ),
            0.0,
        )
        loads.append(load)
    chosen = set()
    for seed in range(20):
        best_free, _ = choose_servers(
            loads,
            now=0.0,
            average_slowness=1.4,
            service_time_s=service_time_s,
            failure_domain="d1",
            rng=random.Random(seed),
            get_connect_cost_s=lambda load: (
                0.0 if load.address == "connected" else compute_connect_cost_s(round_trip_s)
            ),
        )
        chosen.add(best_free.load.server_id)
    assert chosen == {expected}


@pytest.mark.parametrize(
    ("slow_share", "is_full", "worthwhile"),
    [(0.0, False, 1), (0.1, False, 2), (0.5, False, 4), (0.1, True, 4)],
)
def test_more_reports_are_worth_a_connection_while_fewer_servers_suit(
    slow_share, is_full, worthwhile
):
    """Guards against requests at slow or full servers because others have no connection."""
    value = ReportValue()
    for number in range(1000):
        slow = number % 10 < 10 * slow_share
        value.record_report(slowness=5.0 if slow else 1.0, is_full=is_full)
    cost_s = compute_connect_cost_s(0.0006)
    gains_s = [value.estimate_gain_s(count, service_time_s=0.11) for count in range(4)]
    # The first report is always obtained.
    assert max(1, sum(gain_s > cost_s for gain_s in gains_s)) == worthwhile


class FakeConnection:
    """A connection that is idle since a time."""

    def __init__(self, *, idle_s, is_open=True):
        self.last_used_at = time.monotonic() - idle_s
        self.idle_limit_s = 8.0
        self.is_reusable = is_open
        self.reused = False

    def close(self):
        self.is_reusable = False


@pytest.mark.parametrize(
    ("idle", "max_idle_s", "reason"),
    [
        ([], float("inf"), "none-idle"),
        ([(1.0, True)], float("inf"), None),
        ([(1.0, True)], 4.0, None),
        ([(5.0, True)], float("inf"), None),
        ([(5.0, True)], 4.0, "too-idle"),
        ([(9.0, True)], float("inf"), "expired"),
        ([(1.0, False)], float("inf"), "expired"),
        ([(1.0, True), (0.5, False)], 4.0, None),
        ([(5.0, True), (0.5, False)], 4.0, "too-idle"),
    ],
)
def test_opened_connections_are_counted_by_reason(idle, max_idle_s, reason):
    """Guards against a server that counts as connected although a connection is opened."""

    async def run():
        pool = ConnectionPool()
        pool._open = lambda address, timeout_s: asyncio.sleep(
            0, types.SimpleNamespace(reused=False)
        )
        pool._idle["s"] = [
            FakeConnection(idle_s=idle_s, is_open=is_open) for idle_s, is_open in idle
        ]
        has_usable = pool.has_usable("s", max_idle_s)
        connection = await pool.acquire("s", max_idle_s, purpose="probe")
        assert connection.reused == has_usable == (reason is None)
        assert dict(pool.opened_counts) == ({} if reason is None else {("probe", reason): 1})

    asyncio.run(run())


@pytest.mark.parametrize(
    ("server_idle_s", "max_opened"),
    # If all servers are probed in turn: 0.30 and 0.13 for each request.
    [(5.0, 0.25), (15.0, 0.12)],
)
def test_nodes_with_few_requests_reuse_connections(server_idle_s, max_opened):
    """Guards against probes of all servers in turn, which open a connection for each request."""

    async def scenario(simulation):
        await simulation.send_service_load(6.0)
        before = simulation.sum_opened()
        simulation.statuses.clear()
        simulation.latencies.clear()
        await simulation.send_service_load(12.0)
        return (
            (simulation.sum_opened() - before) / simulation.statuses.total(),
            simulation.statuses[200] / simulation.statuses.total(),
            [compute_quantile(simulation.latencies[load.name], 0.9) for load in THIRD_OF_B],
        )

    opened, served, latencies_s = run_service_simulation(
        scenario,
        loads=THIRD_OF_B,
        node_count=B_NODE_COUNT,
        server_idle_s=server_idle_s,
        idle_limit_s=0.8 * server_idle_s,
        noise=(0.1, 5.0),
    )
    assert opened <= max_opened
    assert served >= 0.998
    # Requests take 1.2 times the mean at most on a host of normal speed.
    for load, latency_s in zip(THIRD_OF_B, latencies_s, strict=True):
        assert latency_s <= 1.25 * load.work_s + 2 * 0.007
