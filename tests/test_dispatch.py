"""Decisions on where a request goes, without a network: placement, waiting, refusal, budgets."""

import asyncio
import random

import pytest

from jasmineseam.exceptions import NotRunError
from jasmineseam.measuring.load_reports import ServerReport
from jasmineseam.routing.dispatch import Dispatcher
from jasmineseam.routing.dispatch import PlacementRequest
from jasmineseam.routing.load import ServerLoad
from jasmineseam.routing.placement import estimate_server
from jasmineseam.routing.routes import Route
from jasmineseam.routing.routes import WeightedRoundRobin
from jasmineseam.routing.routes import WeightedService
from jasmineseam.routing.window_retry_budget import SlidingWindowRetryBudget


def make_load(name, *, slots=4, slowness=1.0, running=0, now=0.0, domain="d1"):
    load = ServerLoad(server_id=name, address="", failure_domain=domain, slots=slots, now=-60.0)
    report = ServerReport(running=0, waiting=0, slots=slots, slowness=slowness)
    load.record_report(report, now)
    for _ in range(running):
        load.start_request(now)
    return load


def make_dispatcher(clock, *loads, usual_s=0.1):
    dispatcher = Dispatcher(service="fit", failure_domain="d1", clock=clock, rng=random.Random(1))
    dispatcher.service_time_s = usual_s
    dispatcher.loads = {load.server_id: load for load in loads}
    return dispatcher


def make_request(*, target_at=0.3, deadline_at=2.0, priority=1, usual_s=0.1, excluded=()):
    return PlacementRequest(priority, usual_s, target_at, deadline_at, set(excluded))


PLACEMENTS = [
    # the fast host before the slow one
    ([("a", 5.0, 0), ("b", 1.0, 0)], "b"),
    # a free slot at a usual host before a queue at a fast one
    ([("a", 1.0, 4), ("b", 1.2, 0)], "b"),
    # fewer requests among hosts alike
    ([("a", 1.0, 2), ("b", 1.0, 0)], "b"),
    # some load on a fast host before none on a slow one
    ([("a", 1.0, 2), ("b", 4.0, 0)], "a"),
]


@pytest.mark.parametrize(("servers", "expected"), PLACEMENTS)
def test_a_request_goes_to_the_server_that_is_expected_to_answer_first(clock, servers, expected):
    loads = [make_load(name, slowness=slow, running=n) for name, slow, n in servers]
    dispatcher = make_dispatcher(clock, *loads)
    assert asyncio.run(dispatcher.place(make_request())).server_id == expected


def test_an_old_report_counts_less_than_a_fresh_one(clock):
    old = make_load("a", slowness=6.0, now=-1.0)
    fresh = make_load("b", slowness=6.0, now=0.0)
    factors = [estimate_server(load, 0.0, 2.0, 0.1, "d1").latency_factor for load in (old, fresh)]
    assert factors[0] < 2.5 < 5.0 < factors[1]


def test_peers_requests_count_until_they_are_old(clock):
    load = make_load("a")
    load.record_peer_count("vm-2", 3, 0.0)
    assert load.count_in_flight(0.5) == 3
    assert load.count_in_flight(1.5) == 0


def test_failures_push_a_server_back_and_fade(clock):
    load = make_load("a")
    for _ in range(5):
        load.record_outcome(True, 0.0)
    assert estimate_server(load, 0.0, 1.0, 0.1, "d1").latency_factor > 4.0
    load.record_report(ServerReport(running=0, waiting=0, slots=4), 60.0)
    assert estimate_server(load, 60.0, 1.0, 0.1, "d1").latency_factor < 1.2


def test_an_answer_ends_the_growth_of_the_pauses_after_failed_connections():
    load = make_load("a")
    pauses = []
    for _ in range(5):
        load.eject(0.0)
        pauses.append(load.ejected_until)
    assert pauses == [0.5, 1.0, 2.0, 4.0, 4.0]
    load.record_outcome(False, 10.0)
    load.eject(20.0)
    assert load.ejected_until == 20.5


def test_a_request_waits_for_a_fast_host_while_it_can_still_be_in_time():
    async def scenario():
        loop = asyncio.get_running_loop()
        now = loop.time()
        slow = make_load("slow", slowness=8.0, now=now)
        dispatcher = make_dispatcher(loop.time, slow, usual_s=0.02)
        placing = asyncio.ensure_future(
            dispatcher.place(
                make_request(target_at=now + 0.15, deadline_at=now + 2.0, usual_s=0.02)
            )
        )
        await asyncio.sleep(0.03)
        assert not placing.done()
        slow.record_report(ServerReport(running=0, waiting=0, slots=4), loop.time())
        dispatcher.place_queued_requests()
        assert (await placing).server_id == "slow"
        assert loop.time() - now < 0.1

    asyncio.run(scenario())


def test_a_request_that_will_be_late_anyway_is_not_held_back():
    async def scenario():
        loop = asyncio.get_running_loop()
        now = loop.time()
        slow = make_load("slow", slowness=8.0, now=now)
        dispatcher = make_dispatcher(loop.time, slow, usual_s=0.02)
        await dispatcher.place(
            make_request(target_at=now + 0.1, deadline_at=now + 2.0, usual_s=0.02)
        )
        # it left in time for an answer at the target, had the host been fast by then
        assert loop.time() - now < 0.1

    asyncio.run(scenario())


def test_a_request_that_no_server_can_answer_in_time_is_refused_at_once():
    async def scenario():
        loop = asyncio.get_running_loop()
        now = loop.time()
        full = make_load("full", running=9, now=now)
        dispatcher = make_dispatcher(loop.time, full, usual_s=0.1)
        with pytest.raises(NotRunError) as caught:
            await dispatcher.place(make_request(target_at=now + 0.05, deadline_at=now + 1.0))
        assert caught.value.status == 503
        assert caught.value.retry_after_s > 0
        assert loop.time() - now < 0.05

    asyncio.run(scenario())


def test_more_urgent_requests_are_placed_first():
    async def scenario():
        loop = asyncio.get_running_loop()
        now = loop.time()
        load = make_load("a", slots=1, running=1, now=now)
        dispatcher = make_dispatcher(loop.time, load, usual_s=0.001)
        order = []

        async def place(name, priority):
            wanted = make_request(
                target_at=now + 5.0, deadline_at=now + 9.0, priority=priority, usual_s=0.001
            )
            load = await dispatcher.place(wanted)
            order.append(name)
            token = load.start_request(loop.time())
            await asyncio.sleep(0.02)
            load.finish_request(token)
            dispatcher.record_completion()

        tasks = [asyncio.ensure_future(place("low", 3))]
        await asyncio.sleep(0.005)
        tasks.append(asyncio.ensure_future(place("high", 0)))
        await asyncio.sleep(0.005)
        load.finish_request(next(iter(load.running)))
        dispatcher.record_completion()
        await asyncio.gather(*tasks)
        assert order == ["high", "low"]

    asyncio.run(scenario())


@pytest.mark.parametrize("factor", [0.9, 1.6])
def test_a_burst_is_served_in_time_as_far_as_the_slots_allow(factor):
    """Plays a second of load on five servers with real waiting, and counts what callers get."""

    async def scenario():
        loop = asyncio.get_running_loop()
        chooser = random.Random(7)
        work_s = 0.05
        loads = [make_load(f"s{index}", now=loop.time()) for index in range(5)]
        dispatcher = make_dispatcher(loop.time, *loads, usual_s=work_s)
        capacity_per_s = 5 * 4 / work_s
        results = []

        async def request():
            began_at = loop.time()
            wanted = make_request(
                target_at=began_at + 0.2, deadline_at=began_at + 1.0, usual_s=work_s
            )
            try:
                load = await dispatcher.place(wanted)
            except NotRunError:
                results.append(("refused", loop.time() - began_at))
                return
            token = load.start_request(loop.time())
            await asyncio.sleep(work_s * max(1.0, len(load.running) / load.slots))
            load.finish_request(token)
            dispatcher.record_completion()
            results.append(("answered", loop.time() - began_at))

        tasks = []
        until = loop.time() + 1.0
        while loop.time() < until:
            await asyncio.sleep(0.005)
            due = capacity_per_s * factor * 0.005
            count = int(due) + (chooser.random() < due % 1)
            tasks.extend(asyncio.ensure_future(request()) for _ in range(count))
        await asyncio.gather(*tasks)
        return results, capacity_per_s

    results, capacity_per_s = asyncio.run(scenario())
    in_time = sum(kind == "answered" and took < 0.25 for kind, took in results)
    assert in_time >= 0.6 * min(len(results), capacity_per_s)
    assert max(took for _, took in results) < 1.05


@pytest.mark.parametrize(
    ("requests", "nodes", "granted"),
    [(0, 1, 30), (0, 6, 5), (100, 6, 21), (1000, 1, 190)],
)
def test_extra_attempts_stay_within_the_shared_bound(clock, requests, nodes, granted):
    budget = SlidingWindowRetryBudget(share=0.2, allowance=60.0, window_s=10.0, clock=clock)
    budget.node_count = nodes
    for _ in range(requests):
        budget.record_request()
    taken = sum(budget.take_attempt() for _ in range(2 * granted + 10))
    assert taken == granted
    assert taken <= 0.2 * requests + 60.0 / nodes
    clock.now = 5.0
    assert not budget.take_attempt()
    clock.now = 10.6
    assert budget.take_attempt()


def test_no_sliding_window_holds_more_than_the_bound(clock):
    budget = SlidingWindowRetryBudget(share=0.2, allowance=30.0, window_s=10.0, clock=clock)
    chooser = random.Random(3)
    sent = []
    asked = []
    for _ in range(20_000):
        clock.now += chooser.expovariate(200.0)
        if chooser.random() < 0.5:
            budget.record_request()
            asked.append(clock.now)
        if budget.take_attempt():
            sent.append(clock.now)
    for end in range(10, int(clock.now)):
        extra = sum(end - 10 < at <= end for at in sent)
        first = sum(end - 10 < at <= end for at in asked)
        assert extra <= 0.2 * first + 30.0


def test_shares_of_a_split_are_kept_over_any_run_of_requests():
    counter = WeightedRoundRobin()
    parts = [
        WeightedService(service=name, weight=w) for name, w in (("a", 90), ("b", 10), ("c", 0))
    ]
    route = Route(name="r", host="h", path_prefix="/", idempotent=True, services=parts)
    picks = [counter.choose_service(route) for _ in range(300)]
    for begin in range(0, 300, 50):
        window = picks[begin : begin + 50]
        assert abs(window.count("b") - 5) <= 1
    assert "c" not in picks


def test_a_node_that_has_finished_nothing_yet_does_not_refuse_for_want_of_a_rate():
    async def scenario():
        loop = asyncio.get_running_loop()
        now = loop.time()
        load = make_load("a", slots=4, running=4, now=now)
        dispatcher = make_dispatcher(loop.time, load, usual_s=0.01)
        waits = [
            asyncio.ensure_future(
                dispatcher.place(
                    make_request(target_at=now + 0.5, deadline_at=now + 1.0, usual_s=0.01)
                )
            )
            for _ in range(4)
        ]
        await asyncio.sleep(0.02)
        assert not any(wait.done() for wait in waits)
        for token in list(load.running):
            load.finish_request(token)
        dispatcher.place_queued_requests()
        assert len(await asyncio.gather(*waits)) == 4

    asyncio.run(scenario())


def test_under_overload_those_that_can_be_in_time_go_before_those_that_can_not():
    """Two requests wait for one slot; one of them has just missed its target."""

    async def scenario():
        loop = asyncio.get_running_loop()
        now = loop.time()
        load = make_load("a", slots=1, running=1, now=now)
        dispatcher = make_dispatcher(loop.time, load, usual_s=0.05)
        late = asyncio.ensure_future(
            dispatcher.place(
                make_request(target_at=now + 0.08, deadline_at=now + 1.0, usual_s=0.05)
            )
        )
        await asyncio.sleep(0.005)
        timely = asyncio.ensure_future(
            dispatcher.place(
                make_request(target_at=now + 0.4, deadline_at=now + 1.0, usual_s=0.05)
            )
        )
        await asyncio.sleep(0.02)
        load.finish_request(next(iter(load.running)))
        dispatcher.record_completion()
        assert (await timely).server_id == "a"
        with pytest.raises(NotRunError):
            await late

    asyncio.run(scenario())
