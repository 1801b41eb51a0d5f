"""Estimates of how long callers have been retrying, from the time until their deadline."""

import asyncio
import random

import pytest

from bench.fleet import FleetSettings
from bench.fleet import Noise
from bench.lab import simulate
from bench.virtual_time import run_in_virtual_time
from jasmineseam.exceptions import NotRunError
from jasmineseam.routing.caller_timeout import SAMPLES_PER_UPDATE
from jasmineseam.routing.caller_timeout import CallerTimeoutEstimator
from tests.test_dispatch import make_dispatcher
from tests.test_dispatch import make_load
from tests.test_dispatch import make_request


def record_attempts(estimator, rng, count, timeout_s):
    for _ in range(count):
        estimator.estimate_elapsed_s(timeout_s * rng.uniform(0.85, 1.0))


@pytest.mark.parametrize(
    ("remaining_s", "low_s", "high_s"),
    [(1.5, 0.0, 0.0), (1.28, 0.0, 0.0), (0.5, 0.6, 0.75), (0.05, 1.0, 1.2)],
)
def test_the_elapsed_time_follows_from_the_remaining_time(remaining_s, low_s, high_s):
    estimator = CallerTimeoutEstimator()
    record_attempts(estimator, random.Random(1), 200, 1.5)
    assert low_s <= estimator.estimate_elapsed_s(remaining_s) <= high_s


def test_too_few_attempts_give_no_estimate():
    estimator = CallerTimeoutEstimator()
    assert [
        estimator.estimate_elapsed_s(remaining_s)
        for remaining_s in (1.5,) * (SAMPLES_PER_UPDATE - 2) + (0.1,)
    ][-1] == 0.0


def test_one_caller_with_a_far_longer_timeout_does_not_change_the_estimate():
    estimator = CallerTimeoutEstimator()
    estimator.estimate_elapsed_s(60.0)
    record_attempts(estimator, random.Random(1), 100, 1.5)
    assert estimator.estimate_elapsed_s(1.4) == 0.0


def test_the_estimate_follows_changed_timeouts():
    estimator = CallerTimeoutEstimator()
    record_attempts(estimator, random.Random(1), 300, 4.0)
    record_attempts(estimator, random.Random(1), 300, 1.0)
    assert estimator.estimate_elapsed_s(0.9) == 0.0


def test_late_retries_leave_the_slots_to_first_attempts():
    """Sends twice the load that the servers can run, in virtual time.

    Retried requests have missed their target already. They must not take slots that first attempts
    need to meet theirs.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        rng = random.Random(3)
        work_s = 0.05
        loads = [make_load(f"s{index}", now=loop.time()) for index in range(5)]
        dispatcher = make_dispatcher(loop.time, *loads, service_time_s=work_s)
        estimator = CallerTimeoutEstimator()
        record_attempts(estimator, rng, 64, 1.5)
        results = {"first": [], "returned": []}

        async def send_request(kind, remaining_s):
            started_at = loop.time()
            elapsed_s = estimator.estimate_elapsed_s(remaining_s)
            placement_request = make_request(
                target_at=started_at + 0.2 - elapsed_s,
                deadline_at=started_at + remaining_s,
                service_time_s=work_s,
            )
            try:
                load = await dispatcher.place(placement_request)
            except NotRunError:
                results[kind].append(float("inf"))
                return
            token = load.start_request(loop.time())
            await asyncio.sleep(work_s * max(1.0, len(load.request_start_times) / load.slots))
            load.finish_request(token)
            dispatcher.record_completion()
            results[kind].append(loop.time() - started_at)

        tasks = []
        ends_at = loop.time() + 0.8
        while loop.time() < ends_at:
            await asyncio.sleep(0.005)
            # the servers can run 400 requests per second
            for kind, per_s, elapsed_s in (("first", 300, 0.0), ("returned", 500, 1.0)):
                expected_arrivals = per_s * 0.005
                for _ in range(int(expected_arrivals) + (rng.random() < expected_arrivals % 1)):
                    remaining_s = 1.5 * rng.uniform(0.85, 1.0) - elapsed_s
                    tasks.append(asyncio.ensure_future(send_request(kind, remaining_s)))
        await asyncio.gather(*tasks)
        return results

    results = run_in_virtual_time(scenario)
    in_time = sum(latency_s < 0.25 for latency_s in results["first"])
    assert in_time >= 0.8 * len(results["first"])


OVERLOAD = FleetSettings(
    servers=8,
    nodes=3,
    # twice the capacity of all slots on hosts of average slowness
    requests_per_s=667,
    work_s=0.04,
    spread=0.0,
    target_s=0.15,
    deadline_s=0.8,
    duration_s=6.0,
    noise=Noise(share=0.35, factor=5.0, every_s=0.06),
)


@pytest.mark.parametrize("seed", [11, 12, 13])
def test_an_overload_leaves_most_callers_in_time(seed):
    """Guards against infeasible requests on slow hosts occupying slots of first attempts."""
    tally = simulate(OVERLOAD, seed)
    assert tally.in_time >= 0.7
    assert tally.failed <= 0.2
