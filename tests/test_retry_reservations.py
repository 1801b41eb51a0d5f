"""Times that refused requests are given, and requests that come back."""

import asyncio
import itertools

import pytest

from bench.virtual_time import run_in_virtual_time
from jasmineseam.exceptions import NotRunError
from jasmineseam.routing.retry_reservations import MAX_RESERVATIONS
from jasmineseam.routing.retry_reservations import RetryReservations
from tests.test_dispatch import make_dispatcher
from tests.test_dispatch import make_load
from tests.test_dispatch import make_request

INTERVAL_S = 0.0625


@pytest.mark.parametrize(
    ("earliest", "expected"),
    [
        # each refused request gets a time of its own
        ([1.0, 1.0, 1.0], [1.0, 1.0625, 1.125]),
        # an earlier time stays free for a request that can come back sooner
        ([1.0, 0.5, 0.5], [1.0, 0.5, 0.5625]),
        # a gap that is too short for a request is left out
        ([1.0, 1.1, 0.95], [1.0, 1.1, 1.1625]),
    ],
)
def test_no_time_is_reserved_twice(earliest, expected):
    reservations = RetryReservations()
    times = [
        reservations.reserve(0.0, earliest_at=at, deadline_at=9.0, interval_s=INTERVAL_S)
        for at in earliest
    ]
    assert times == pytest.approx(expected)


def test_times_that_have_passed_are_forgotten():
    reservations = RetryReservations()
    for now in range(100):
        reservations.reserve(
            float(now), earliest_at=now + 0.5, deadline_at=now + 3.0, interval_s=INTERVAL_S
        )
    assert len(reservations) <= 2


def test_memory_for_reservations_is_bounded():
    reservations = RetryReservations()
    for _ in range(2 * MAX_RESERVATIONS):
        at = reservations.reserve(0.0, earliest_at=0.1, deadline_at=1e6, interval_s=1.0)
    assert len(reservations) == MAX_RESERVATIONS
    assert at > MAX_RESERVATIONS


async def refuse(dispatcher, request):
    with pytest.raises(NotRunError) as raised:
        await dispatcher.place(request)
    return raised.value.retry_after_s


def test_requests_refused_at_the_same_time_come_back_at_different_times():
    # All of them were given the same time and came back together.
    async def scenario():
        now = asyncio.get_running_loop().time()
        full = make_load("full", running=4, now=now)
        dispatcher = make_dispatcher(asyncio.get_running_loop().time, full)
        retries_s = [
            await refuse(dispatcher, make_request(target_at=now + 0.05, deadline_at=now + 2.0))
            for _ in range(5)
        ]
        assert asyncio.get_running_loop().time() == now
        return retries_s

    retries_s = run_in_virtual_time(scenario)
    # four slots on hosts of average slowness 1.5 end a request in 0.0375 s
    gaps_s = [later - earlier for earlier, later in itertools.pairwise(retries_s)]
    assert retries_s[0] == pytest.approx(0.5)
    assert gaps_s == pytest.approx([0.0375] * 4)


@pytest.mark.parametrize(
    ("running", "returned", "expected"),
    [
        # all free slots are reserved for requests that can be in time
        (4, True, "overloaded"),
        (4, False, "overloaded"),
        (1, True, "a"),
        (1, False, "a"),
    ],
)
def test_late_request_is_placed_or_refused_at_once(running, returned, expected):
    # A delayed refusal leaves the client less time to come back.
    async def scenario():
        loop = asyncio.get_running_loop()
        now = loop.time()
        dispatcher = make_dispatcher(loop.time, make_load("a", running=running, now=now))
        request = make_request(target_at=now, deadline_at=now + 1.0)._replace(returned=returned)
        try:
            result = (await dispatcher.place(request)).server_id
        except NotRunError as error:
            result = error.reason
        assert loop.time() == now
        counted = {("refused" if result == "overloaded" else "placed"): 1} if returned else {}
        assert dispatcher.returned_counts == counted
        return result

    assert run_in_virtual_time(scenario) == expected


def test_request_that_came_back_is_first_among_feasible_ones():
    async def scenario():
        loop = asyncio.get_running_loop()
        load = make_load("a", slots=1, running=1, now=loop.time())
        dispatcher = make_dispatcher(loop.time, load, service_time_s=0.05)
        order = []

        async def place(name, request):
            try:
                placed = await dispatcher.place(request)
            except NotRunError as error:
                order.append(f"{name}: {error.reason}")
                return
            order.append(name)
            token = placed.start_request(loop.time())
            await asyncio.sleep(0.05)
            placed.finish_request(token)
            dispatcher.record_completion()

        late = make_request(target_at=0.0, deadline_at=3.0, service_time_s=0.05)
        requests = {
            "late": late._replace(returned=True),
            "first": make_request(target_at=1.0, deadline_at=3.0, service_time_s=0.05),
            "back": make_request(target_at=1.5, deadline_at=3.0, service_time_s=0.05)._replace(
                returned=True
            ),
        }
        tasks = [asyncio.create_task(place(*item)) for item in requests.items()]
        await asyncio.sleep(0.02)
        load.finish_request(next(iter(load.request_start_times)))
        dispatcher.record_completion()
        await asyncio.gather(*tasks)
        return order

    # The slots have no room for the late one while feasible requests wait.
    assert run_in_virtual_time(scenario) == ["late: overloaded", "back", "first"]
