"""Routing decisions: server selection, ejection, slow start, budgets and admission."""

import asyncio
import random

import pytest

from jasmineseam.catalogue.entry import CatalogueEntry
from jasmineseam.catalogue.entry import ServiceLimits
from jasmineseam.exceptions import NotRunError
from jasmineseam.measuring.load_reports import LoadReport
from jasmineseam.membership.servers import Server
from jasmineseam.membership.servers import ServerMembership
from jasmineseam.routing.admission import BATCH
from jasmineseam.routing.admission import INTERACTIVE
from jasmineseam.routing.admission import AdmissionController
from jasmineseam.routing.backends import SLOW_START_S
from jasmineseam.routing.backends import Backend
from jasmineseam.routing.concurrency import ConcurrencyLimit
from jasmineseam.routing.ejection import BASE_EJECTION_S
from jasmineseam.routing.ejection import CONSECUTIVE_FAILURES_TO_EJECT
from jasmineseam.routing.ejection import list_candidates
from jasmineseam.routing.ejection import record_failure
from jasmineseam.routing.ejection import record_success
from jasmineseam.routing.hedging import QuantileEstimator
from jasmineseam.routing.pool import ServerPool
from jasmineseam.routing.retry_budget import RetryBudget
from jasmineseam.routing.server_selection import make_server_selector

MEDIAN_LATENCY_S = 0.02


def make_server(name):
    return Server(server_id=name, service="fittings", address=f"{name}:1", failure_domain="d0")


def make_backend(name, running=(), *, now=0.0, skip_slow_start=True):
    backend = Backend(server=make_server(name), now=now, skip_slow_start=skip_slow_start)
    for started_at in running:
        backend.start_request(started_at)
    return backend


@pytest.mark.parametrize(
    ("running", "chosen"),
    [
        ({"a": [0.99], "b": []}, "b"),
        ({"a": [0.99, 0.99], "b": [0.99]}, "b"),
        # one request that runs far longer than the median latency indicates a slowdown
        ({"a": [0.5], "b": [0.99, 0.99]}, "b"),
    ],
)
def test_the_least_loaded_server_is_selected(running, chosen):
    select = make_server_selector(rng=random.Random(1))
    backends = [make_backend(name, started_at) for name, started_at in running.items()]
    assert select(backends, 1.0, MEDIAN_LATENCY_S).server.server_id == chosen


def test_no_server_is_selected_without_candidates():
    assert make_server_selector(rng=random.Random(1))([], 0.0, MEDIAN_LATENCY_S) is None


def test_a_new_server_gets_fewer_requests_during_its_slow_start():
    select = make_server_selector(rng=random.Random(1))
    new = make_backend("new", now=10.0, skip_slow_start=False)
    warm = make_backend("warm", [9.99])
    assert select([new, warm], 10.1, MEDIAN_LATENCY_S) is warm
    assert select([new, warm], 10.0 + SLOW_START_S, MEDIAN_LATENCY_S) is new


def test_a_failing_server_is_ejected_and_then_gets_one_trial_request():
    backends = [make_backend(name) for name in "abc"]
    failing = backends[0]
    for _ in range(CONSECUTIVE_FAILURES_TO_EJECT):
        record_failure(failing, 0.0)
    assert failing not in list_candidates(backends, 0.1)
    ejection_end = BASE_EJECTION_S + 0.1
    assert failing in list_candidates(backends, ejection_end)
    token = failing.start_request(ejection_end)
    assert failing not in list_candidates(backends, ejection_end)
    failing.finish_request(token, ejection_end)
    record_failure(failing, ejection_end)
    assert failing not in list_candidates(backends, ejection_end + BASE_EJECTION_S + 0.1)
    record_success(failing, 10.0)
    assert failing in list_candidates(backends, 10.0)


def test_all_servers_remain_candidates_if_most_of_them_fail():
    backends = [make_backend(name) for name in "abc"]
    for backend in backends[:2]:
        for _ in range(CONSECUTIVE_FAILURES_TO_EJECT):
            record_failure(backend, 0.0)
    assert list_candidates(backends, 0.1) == backends


@pytest.mark.parametrize(("share", "first", "extra"), [(0.1, 1000, 100), (0.0, 1000, 0)])
def test_extra_attempts_stay_within_their_share(share, first, extra):
    budget = RetryBudget(extra_attempt_share=share)
    for _ in range(first):
        budget.record_first_attempt()
        budget.take_retry()
    assert budget.extra_attempts <= extra


def test_hedges_do_not_use_the_extra_attempts_reserved_for_retries():
    budget = RetryBudget(extra_attempt_share=1.0)
    budget.record_first_attempt()
    assert not budget.take_hedge()
    assert budget.take_retry()


@pytest.mark.parametrize(("in_flight", "rises"), [(2, True), (12, False)])
def test_the_concurrency_limit_follows_the_servers_queues(in_flight, rises):
    limit = ConcurrencyLimit()
    limit.set_capacity(slots_per_server=4, server_count=12, entry_process_count=2)
    initial_value = limit.value
    for _ in range(200):
        limit.record_report(2, 4)
    grown_value = limit.value
    assert initial_value < grown_value <= 48
    limit.record_report(in_flight, 4)
    assert (limit.value >= grown_value) is rises


def make_admission(clock, *, limit=1, queue_size=2, rate_per_s=float("inf")):
    concurrency = ConcurrencyLimit()
    concurrency.value = limit
    admission = AdmissionController(clock=clock, concurrency_limit=concurrency)
    admission.set_limits(rate_per_s=rate_per_s, queue_size=queue_size)
    return admission


def test_the_rate_limit_rejects_with_a_retry_delay(clock):
    admission = make_admission(clock, limit=100, rate_per_s=8.0)
    admitted = 0
    with pytest.raises(NotRunError) as raised:
        for _ in range(10):
            admitted += admission.try_admit()
    assert admitted == 2
    assert (raised.value.status, raised.value.retry_after_s >= 1) == (429, True)


def test_a_full_queue_rejects_at_once(clock):
    async def run():
        admission = make_admission(clock, queue_size=1)
        assert admission.try_admit()
        waiting = asyncio.ensure_future(admission.wait_for_admission(INTERACTIVE, 10.0))
        await asyncio.sleep(0)
        with pytest.raises(NotRunError) as raised:
            await admission.wait_for_admission(INTERACTIVE, 10.0)
        assert raised.value.reason == "queue-full"
        admission.finish_request(0.0)
        await waiting
        assert admission.in_flight == 1

    asyncio.run(run())


def test_a_wait_beyond_the_deadline_is_rejected_at_once(clock):
    async def run():
        admission = make_admission(clock, queue_size=100)
        admission.try_admit()
        for _ in range(200):
            admission.in_flight += 1
            admission.finish_request(1.0)
        with pytest.raises(NotRunError) as raised:
            await admission.wait_for_admission(INTERACTIVE, 0.5)
        assert raised.value.reason == "queue-too-long"

    asyncio.run(run())


def test_a_request_cancelled_after_its_admission_is_not_in_flight(clock):
    async def run():
        admission = make_admission(clock)
        admission.try_admit()
        waiting = asyncio.ensure_future(admission.wait_for_admission(INTERACTIVE, 10.0))
        await asyncio.sleep(0)
        admission.finish_request(0.0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert admission.in_flight == 0
        assert admission.count_queued() == 0

    asyncio.run(run())


def test_batch_requests_are_neither_starved_nor_preferred(clock):
    async def run():
        admission = make_admission(clock, queue_size=40)
        admission.try_admit()
        order = []

        async def queue(traffic_class):
            await admission.wait_for_admission(traffic_class, 100.0)
            order.append(traffic_class)

        tasks = [
            asyncio.ensure_future(queue(traffic_class))
            for traffic_class in [BATCH] * 5 + [INTERACTIVE] * 20
        ]
        await asyncio.sleep(0)
        for _ in range(15):
            admission.finish_request(0.0)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        assert 2 <= order.count(BATCH) <= 4
        for task in tasks:
            task.cancel()

    asyncio.run(run())


def test_an_interactive_request_evicts_a_batch_request_from_a_full_queue(clock):
    async def run():
        admission = make_admission(clock, queue_size=2)
        admission.try_admit()
        batch = [
            asyncio.ensure_future(admission.wait_for_admission(BATCH, 10.0)) for _ in range(2)
        ]
        await asyncio.sleep(0)
        interactive = asyncio.ensure_future(admission.wait_for_admission(INTERACTIVE, 10.0))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert batch[1].exception().reason == "queue-full"
        assert not batch[0].done()
        for task in (batch[0], interactive):
            task.cancel()

    asyncio.run(run())


def test_a_pool_never_chooses_a_leaving_server(clock):
    servers = ServerMembership(clock=clock)
    servers.replace_servers([make_server(name) for name in "abc"])
    entry = CatalogueEntry(service="fittings", owner="k", limits=ServiceLimits())
    pool = ServerPool(entry=entry, servers=servers, clock=clock)
    pool.reconfigure(entry, 1)
    for name in "ab":
        servers.mark_leaving(name, "answer")
        for _ in range(20):
            assert pool.choose_server(set()).server.server_id != name
    servers.mark_leaving("c", "answer")
    assert pool.choose_server(set()) is None


def test_a_server_without_recent_responses_is_avoided():
    select = make_server_selector(rng=random.Random(1))
    silent, recent = make_backend("silent"), make_backend("recent")
    silent.record_latency(0.02, 0.7)
    recent.record_latency(0.02, 0.95)
    assert select([silent, recent], 1.0, MEDIAN_LATENCY_S) is recent
    recent.start_request(0.99)
    assert select([silent, recent], 1.0, MEDIAN_LATENCY_S) is silent


def test_light_load_reaches_every_server():
    select = make_server_selector(rng=random.Random(1))
    backends = [make_backend(name) for name in "abcd"]
    counts = dict.fromkeys("abcd", 0)
    for number in range(400):
        now = 10.0 + number * 0.1
        selected = select(backends, now, MEDIAN_LATENCY_S)
        selected.record_latency(MEDIAN_LATENCY_S, now + MEDIAN_LATENCY_S)
        counts[selected.server.server_id] += 1
    assert min(counts.values()) >= 20


def test_false_load_reports_do_not_affect_the_choice(clock):
    servers = ServerMembership(clock=clock)
    servers.replace_servers([make_server(name) for name in "ab"])
    entry = CatalogueEntry(service="fittings", owner="k", limits=ServiceLimits())
    pool = ServerPool(entry=entry, servers=servers, clock=clock)
    pool.reconfigure(entry, 1)
    underreporting, overreporting = pool.list_backends()
    underreporting.start_request(0.0)
    pool.record_load_report(underreporting, LoadReport(in_flight=0, slots=4), None)
    pool.record_load_report(overreporting, LoadReport(in_flight=40, slots=4), None)
    assert pool.choose_server(set()) is overreporting


def test_hedging_does_not_lower_its_own_delay():
    # Most latencies are 10 ms, one in ten is 100 ms. Requests above the hedge delay are cancelled.
    estimator = QuantileEstimator(quantile=0.95)
    rng = random.Random(1)
    cancelled = 0
    for number in range(4000):
        latency_s = 0.1 if rng.random() < 0.1 else 0.01
        if latency_s > estimator.value_s > 0:
            cancelled += number > 1000
            estimator.record_cancelled_request(estimator.value_s * 1.01)
        else:
            estimator.record_latency(latency_s)
    assert cancelled < 0.08 * 3000
