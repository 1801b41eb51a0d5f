"""When hedges are started: by the route's latencies, within the budget, not under overload."""

import math

import pytest

from jasmineseam.node.attempts import AttemptRunner
from jasmineseam.routing.hedging import MAX_LATENCY_SAMPLES
from jasmineseam.routing.hedging import OVERDUE_SERVICE_TIME_FACTOR
from jasmineseam.routing.hedging import RouteLatencies
from jasmineseam.routing.hedging import find_hedge_cause

from .node_simulation import RETRY_SHARE
from .service_simulation import ServiceLoad
from .service_simulation import run_service_simulation

BUDGET_WINDOW_S = 10.0
NODE_COUNT = 6
CAUSES = ("overdue", "slow-host")


def make_load(**fields):
    defaults = {
        "name": "d",
        "servers": 9,
        "requests_per_s": 58.0,
        "work_s": 0.047,
        "target_s": 0.179,
    }
    return ServiceLoad(**{**defaults, **fields})


def use_old_rule(monkeypatch):
    """Hedge by the mean service time, at servers that meet the target by the mean."""
    monkeypatch.setattr(
        RouteLatencies,
        "get_overdue_s",
        lambda latencies, service, route_name, *, service_time_s: 1.6 * service_time_s,
    )
    monkeypatch.setattr(
        RouteLatencies, "get_typical_s", lambda latencies, service, route_name: math.inf
    )


def run_load(load, *, duration_s=20.0, factor=1.0, node_count=NODE_COUNT, **options):
    """Send the requests of one service; return the simulation's figures."""

    async def scenario(simulation):
        await simulation.send_service_load(6.0)
        for simulated in simulation.nodes.values():
            simulated.node.gateway.attempts.hedge_counts.clear()
        simulation.latencies.clear()
        simulation.statuses.clear()
        await simulation.send_service_load(duration_s, factor)
        counts = dict.fromkeys((*CAUSES, "won", "no-budget", "no-server"), 0)
        for simulated in simulation.nodes.values():
            for result, count in simulated.node.gateway.attempts.hedge_counts.items():
                counts[result] = counts.get(result, 0) + count
        request_count = simulation.statuses.total()
        in_time = sum(latency_s <= load.target_s for latency_s in simulation.latencies[load.name])
        started = sum(counts[cause] for cause in CAUSES)
        return in_time / request_count, started / request_count, counts, simulation

    return run_service_simulation(scenario, loads=(load,), node_count=node_count, **options)


def test_route_with_few_slow_requests_is_hedged(monkeypatch):
    """Guards against requests that miss their target because 3 in 100 take seven times as long."""
    load = make_load(slow_share=0.03, servers=6, requests_per_s=24.0)

    def run_seeds():
        results = [
            run_load(load, node_count=36, noise=(0.1, 5.0), duration_s=40.0, seed=seed)
            for seed in (1, 2)
        ]
        in_time = sum(result[0] for result in results) / len(results)
        started = sum(result[1] for result in results) / len(results)
        return in_time, started

    in_time, started = run_seeds()
    use_old_rule(monkeypatch)
    old_in_time, _ = run_seeds()
    # 0.995 in time, and 0.985 with the rule by the mean
    assert in_time >= 0.988
    assert in_time > old_in_time
    assert 0.01 <= started <= 0.045


@pytest.mark.parametrize("spread", [0.05, 0.2, 0.5])
def test_route_with_even_latencies_is_hardly_hedged(spread):
    """Guards against hedges that only add load."""
    in_time, started, _, _ = run_load(make_load(spread=spread), duration_s=12.0)
    assert in_time >= 0.998
    assert started <= 0.01


def test_no_hedge_is_started_while_requests_wait(monkeypatch):
    """Guards against hedges that make an overload worse."""
    # number of requests that wait at the node when a hedge takes its attempt from the budget
    queued_counts = []
    send_hedged_attempt = AttemptRunner._send_hedged_attempt

    class WatchedBudget:
        """Records the hedges that take an attempt."""

        def __init__(self, *, budget, dispatcher):
            self._budget = budget
            self._dispatcher = dispatcher

        def take_attempt(self, reserved_fraction=0.0):
            queued_counts.append(self._dispatcher.count_queued())
            return self._budget.take_attempt(reserved_fraction)

    async def watch(runner, proxied, load, budget):
        watched = WatchedBudget(budget=budget, dispatcher=proxied.dispatcher)
        return await send_hedged_attempt(runner, proxied, load, watched)

    monkeypatch.setattr(AttemptRunner, "_send_hedged_attempt", watch)
    load = make_load(slow_share=0.03, target_s=0.5)
    in_time, started, _, _ = run_load(load, factor=14.0, duration_s=4.0)
    # The load exceeds the capacity, so many requests are late or refused.
    assert in_time < 0.9
    assert not any(queued_counts)
    # Without this rule, 0.03 are hedged. Some are while no request waits.
    assert started <= 0.015


@pytest.mark.parametrize(("node_count", "slow_share"), [(6, 0.08), (36, 0.08), (6, 0.3)])
def test_extra_attempts_stay_within_the_shared_budget(node_count, slow_share):
    """Guards against hedges of all nodes that together exceed the budget."""
    allowance = 12.0
    load = make_load(slow_share=slow_share)
    *_, simulation = run_load(
        load, node_count=node_count, duration_s=24.0, retry_allowance=allowance
    )
    # the first arrival of each request is no extra attempt
    arrivals = sorted(
        (arrival.at, arrival.path) for server in simulation.servers for arrival in server.arrivals
    )
    seen = set()
    events = []
    for at, path in arrivals:
        events.append((at, path in seen))
        seen.add(path)
    extras = [at for at, is_extra in events if is_extra]
    firsts = [at for at, is_extra in events if not is_extra]
    assert extras
    for end in extras:
        extra_count = sum(end - BUDGET_WINDOW_S < at <= end for at in extras)
        request_count = sum(end - BUDGET_WINDOW_S < at <= end for at in firsts)
        assert extra_count <= RETRY_SHARE * request_count + allowance


@pytest.mark.parametrize(
    ("samples_s", "overdue_s"),
    [
        ([], OVERDUE_SERVICE_TIME_FACTOR * 0.05),
        # few requests: the expected service time decides
        ([0.1] * 9, OVERDUE_SERVICE_TIME_FACTOR * 0.05),
        ([0.1] * 10, 0.12),
        # one slow request in ten does not postpone the hedge
        ([0.1] * 9 + [0.7], 0.12),
        ([0.1] * 97 + [0.7] * 3, 0.12),
        # slow requests of long ago are forgotten
        ([0.7] * 500 + [0.1] * MAX_LATENCY_SAMPLES, 0.12),
        # if many are slow, none of them is overdue
        ([0.1] * 40 + [0.7] * 20, 0.84),
    ],
)
def test_attempt_is_overdue_by_the_quantile_of_its_route(samples_s, overdue_s):
    """Guards against a rule by the mean, and against memory that grows with the requests."""
    latencies = RouteLatencies()
    for sample_s in samples_s:
        latencies.record("d", "lookup", sample_s)
        latencies.record("d", "other", 5.0)
    assert latencies.get_overdue_s("d", "lookup", service_time_s=0.05) == pytest.approx(overdue_s)
    assert all(len(kept) <= MAX_LATENCY_SAMPLES for kept in latencies._latencies_s.values())
    latencies.retain_routes({"other"})
    assert latencies.get_typical_s("d", "lookup") == math.inf


@pytest.mark.parametrize(
    ("elapsed_s", "slowness", "queued_count", "cause"),
    [
        (0.05, 1.0, 0, None),
        (0.15, 1.0, 0, "overdue"),
        (0.05, 2.0, 0, "slow-host"),
        (0.15, 1.0, 1, None),
        (0.05, 2.0, 1, None),
    ],
)
def test_cause_of_a_hedge(elapsed_s, slowness, queued_count, cause):
    """Guards against hedges while requests wait, whatever the cause."""
    assert cause == find_hedge_cause(
        elapsed_s=elapsed_s, overdue_s=0.1, slowness=slowness, queued_count=queued_count
    )
