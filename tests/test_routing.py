"""The routing decisions: choice, ejection, ramp, budgets, concurrency and admission."""

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
from jasmineseam.routing.ejection import FAILURES_TO_EJECT
from jasmineseam.routing.ejection import list_candidates
from jasmineseam.routing.ejection import record_failure
from jasmineseam.routing.ejection import record_success
from jasmineseam.routing.hedging import QuantileEstimator
from jasmineseam.routing.pool import ServerPool
from jasmineseam.routing.retry_budget import RetryBudget
from jasmineseam.routing.server_selection import make_server_selector

USUAL_S = 0.02


def make_server(name):
    return Server(server_id=name, service="fittings", address=f"{name}:1", failure_domain="d0")


def make_backend(name, running=(), *, now=0.0, warm=True):
    backend = Backend(server=make_server(name), now=now, warm=warm)
    for at in running:
        backend.start_request(at)
    return backend


@pytest.mark.parametrize(
    ("running", "chosen"),
    [
        ({"a": [0.99], "b": []}, "b"),
        ({"a": [0.99, 0.99], "b": [0.99]}, "b"),
        # one request that runs far too long tells of a slowdown
        ({"a": [0.5], "b": [0.99, 0.99]}, "b"),
    ],
)
def test_the_least_loaded_server_is_chosen(running, chosen):
    choose = make_server_selector(rng=random.Random(1))
    backends = [make_backend(name, at) for name, at in running.items()]
    assert choose(backends, 1.0, USUAL_S).server.server_id == chosen


def test_no_candidates_no_choice():
    assert make_server_selector(rng=random.Random(1))([], 0.0, USUAL_S) is None


def test_a_cold_server_gets_less_until_it_has_ramped_up():
    choose = make_server_selector(rng=random.Random(1))
    cold = make_backend("cold", now=10.0, warm=False)
    warm = make_backend("warm", [9.99])
    assert choose([cold, warm], 10.1, USUAL_S) is warm
    assert choose([cold, warm], 10.0 + SLOW_START_S, USUAL_S) is cold


def test_a_failing_server_is_ejected_and_proves_itself_with_one_request():
    backends = [make_backend(name) for name in "abc"]
    failing = backends[0]
    for _ in range(FAILURES_TO_EJECT):
        record_failure(failing, 0.0)
    assert failing not in list_candidates(backends, 0.1)
    back_at = BASE_EJECTION_S + 0.1
    assert failing in list_candidates(backends, back_at)
    token = failing.start_request(back_at)
    assert failing not in list_candidates(backends, back_at)
    failing.finish_request(token, back_at)
    record_failure(failing, back_at)
    assert failing not in list_candidates(backends, back_at + BASE_EJECTION_S + 0.1)
    record_success(failing, 10.0)
    assert failing in list_candidates(backends, 10.0)


def test_a_fault_of_most_servers_ejects_none():
    backends = [make_backend(name) for name in "abc"]
    for backend in backends[:2]:
        for _ in range(FAILURES_TO_EJECT):
            record_failure(backend, 0.0)
    assert list_candidates(backends, 0.1) == backends


@pytest.mark.parametrize(("share", "first", "extra"), [(0.1, 1000, 100), (0.0, 1000, 0)])
def test_extra_attempts_stay_within_their_share(share, first, extra):
    budget = RetryBudget(share=share)
    for _ in range(first):
        budget.record_first_attempt()
        budget.take_retry()
    assert budget.extra_attempts <= extra


def test_hedges_leave_the_last_extra_attempts_to_retries():
    budget = RetryBudget(share=1.0)
    budget.record_first_attempt()
    assert not budget.take_hedge()
    assert budget.take_retry()


@pytest.mark.parametrize(("in_flight", "rises"), [(2, True), (12, False)])
def test_the_limit_follows_the_servers_queues(in_flight, rises):
    limit = ConcurrencyLimit()
    limit.set_capacity(slots_per_server=4, server_count=12, entry_process_count=2)
    before = limit.value
    for _ in range(200):
        limit.record_report(2, 4)
    top = limit.value
    assert before < top <= 48
    limit.record_report(in_flight, 4)
    assert (limit.value >= top) is rises


def make_admission(clock, *, limit=1, queue_size=2, rate_per_s=float("inf")):
    concurrency = ConcurrencyLimit()
    concurrency.value = limit
    admission = AdmissionController(clock=clock, limit=concurrency)
    admission.set_limits(rate_per_s=rate_per_s, queue_size=queue_size)
    return admission


def test_rate_limit_refuses_with_a_time_to_come_back(clock):
    admission = make_admission(clock, limit=100, rate_per_s=8.0)
    entered = 0
    with pytest.raises(NotRunError) as caught:
        for _ in range(10):
            entered += admission.try_admit()
    assert entered == 2
    assert (caught.value.status, caught.value.retry_after_s >= 1) == (429, True)


def test_a_full_queue_refuses_at_once(clock):
    async def run():
        admission = make_admission(clock, queue_size=1)
        assert admission.try_admit()
        waiting = asyncio.ensure_future(admission.wait_for_admission(INTERACTIVE, 10.0))
        await asyncio.sleep(0)
        with pytest.raises(NotRunError) as caught:
            await admission.wait_for_admission(INTERACTIVE, 10.0)
        assert caught.value.reason == "queue-full"
        admission.release(0.0)
        await waiting
        assert admission.in_flight == 1

    asyncio.run(run())


def test_a_wait_that_would_pass_the_deadline_is_refused_at_once(clock):
    async def run():
        admission = make_admission(clock, queue_size=100)
        admission.try_admit()
        for _ in range(200):
            admission.in_flight += 1
            admission.release(1.0)
        with pytest.raises(NotRunError) as caught:
            await admission.wait_for_admission(INTERACTIVE, 0.5)
        assert caught.value.reason == "queue-too-long"

    asyncio.run(run())


def test_a_cancelled_wait_gives_its_place_back(clock):
    async def run():
        admission = make_admission(clock)
        admission.try_admit()
        waiting = asyncio.ensure_future(admission.wait_for_admission(INTERACTIVE, 10.0))
        await asyncio.sleep(0)
        admission.release(0.0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert admission.in_flight == 0
        assert admission.count_queued() == 0

    asyncio.run(run())


def test_batch_neither_starves_nor_pushes_in_front(clock):
    async def run():
        admission = make_admission(clock, queue_size=40)
        admission.try_admit()
        order = []

        async def queue(kind):
            await admission.wait_for_admission(kind, 100.0)
            order.append(kind)

        tasks = [asyncio.ensure_future(queue(kind)) for kind in [BATCH] * 5 + [INTERACTIVE] * 20]
        await asyncio.sleep(0)
        for _ in range(15):
            admission.release(0.0)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        assert 2 <= order.count(BATCH) <= 4
        for task in tasks:
            task.cancel()

    asyncio.run(run())


def test_interactive_pushes_batch_out_of_a_full_queue(clock):
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


def test_a_pool_never_picks_a_leaving_server(clock):
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


def test_a_server_that_has_fallen_silent_is_passed_over():
    choose = make_server_selector(rng=random.Random(1))
    silent, heard = make_backend("silent"), make_backend("heard")
    silent.record_latency(0.02, 0.7)
    heard.record_latency(0.02, 0.95)
    assert choose([silent, heard], 1.0, USUAL_S) is heard
    heard.start_request(0.99)
    assert choose([silent, heard], 1.0, USUAL_S) is silent


def test_light_load_reaches_every_server():
    choose = make_server_selector(rng=random.Random(1))
    backends = [make_backend(name) for name in "abcd"]
    counts = dict.fromkeys("abcd", 0)
    for number in range(400):
        now = 10.0 + number * 0.1
        chosen = choose(backends, now, USUAL_S)
        chosen.record_latency(USUAL_S, now + USUAL_S)
        counts[chosen.server.server_id] += 1
    assert min(counts.values()) >= 20


def test_lying_reports_do_not_steer_the_choice(clock):
    servers = ServerMembership(clock=clock)
    servers.replace_servers([make_server(name) for name in "ab"])
    entry = CatalogueEntry(service="fittings", owner="k", limits=ServiceLimits())
    pool = ServerPool(entry=entry, servers=servers, clock=clock)
    pool.reconfigure(entry, 1)
    liar, honest = pool.list_backends()
    liar.start_request(0.0)
    pool.record_load_report(liar, LoadReport(in_flight=0, slots=4), None)
    pool.record_load_report(honest, LoadReport(in_flight=40, slots=4), None)
    assert pool.choose_server(set()) is honest


def test_hedging_does_not_pull_its_own_delay_down():
    # latencies of 10 ms, one in ten 100 ms; those that hedging cuts off count as unfinished
    estimate = QuantileEstimator(quantile=0.95)
    chooser = random.Random(1)
    unfinished = 0
    for number in range(4000):
        latency_s = 0.1 if chooser.random() < 0.1 else 0.01
        if latency_s > estimate.value_s > 0:
            unfinished += number > 1000
            estimate.record_unfinished(estimate.value_s * 1.01)
        else:
            estimate.record(latency_s)
    assert unfinished < 0.08 * 3000
