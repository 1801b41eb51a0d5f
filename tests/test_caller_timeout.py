"""How long callers have been trying, judged by the time that they still give."""

import asyncio
import random

import pytest

from bench.fleet import FleetSettings
from bench.fleet import Noise
from bench.lab import play
from bench.virtual import play_virtually
from jasmineseam.exceptions import NotRunError
from jasmineseam.routing.caller_timeout import SAMPLES_PER_UPDATE
from jasmineseam.routing.caller_timeout import CallerTimeoutEstimator
from tests.test_dispatch import make_dispatcher
from tests.test_dispatch import make_load
from tests.test_dispatch import make_request


def teach(patience, chooser, count, longest_s):
    for _ in range(count):
        patience.note(longest_s * chooser.uniform(0.85, 1.0))


@pytest.mark.parametrize(
    ("remaining_s", "low_s", "high_s"),
    [(1.5, 0.0, 0.0), (1.28, 0.0, 0.0), (0.5, 0.6, 0.75), (0.05, 1.0, 1.2)],
)
def test_the_time_tried_follows_from_the_time_left(remaining_s, low_s, high_s):
    patience = CallerTimeoutEstimator()
    teach(patience, random.Random(1), 200, 1.5)
    assert low_s <= patience.estimate_elapsed_s(remaining_s) <= high_s


def test_too_few_attempts_tell_nothing():
    patience = CallerTimeoutEstimator()
    assert [
        patience.estimate_elapsed_s(value) for value in (1.5,) * (SAMPLES_PER_UPDATE - 2) + (0.1,)
    ][-1] == 0.0


def test_one_caller_that_waits_far_longer_does_not_make_all_others_late():
    patience = CallerTimeoutEstimator()
    patience.estimate_elapsed_s(60.0)
    teach(patience, random.Random(1), 100, 1.5)
    assert patience.estimate_elapsed_s(1.4) == 0.0


def test_patience_follows_the_callers():
    patience = CallerTimeoutEstimator()
    teach(patience, random.Random(1), 300, 4.0)
    teach(patience, random.Random(1), 300, 1.0)
    assert patience.estimate_elapsed_s(0.9) == 0.0


def test_callers_that_come_back_late_leave_the_slots_to_first_attempts():
    """Plays twice what the servers can run; those who return have missed their target already."""

    async def scenario():
        loop = asyncio.get_running_loop()
        chooser = random.Random(3)
        work_s = 0.05
        loads = [make_load(f"s{index}", now=loop.time()) for index in range(5)]
        dispatcher = make_dispatcher(loop.time, *loads, usual_s=work_s)
        patience = CallerTimeoutEstimator()
        teach(patience, chooser, 64, 1.5)
        results = {"first": [], "returned": []}

        async def request(kind, remaining_s):
            began_at = loop.time()
            tried_s = patience.estimate_elapsed_s(remaining_s)
            wanted = make_request(
                target_at=began_at + 0.2 - tried_s,
                deadline_at=began_at + remaining_s,
                usual_s=work_s,
            )
            try:
                load = await dispatcher.place(wanted)
            except NotRunError:
                results[kind].append(float("inf"))
                return
            token = load.start_request(loop.time())
            await asyncio.sleep(work_s * max(1.0, len(load.running) / load.slots))
            load.finish_request(token)
            dispatcher.record_completion()
            results[kind].append(loop.time() - began_at)

        tasks = []
        until = loop.time() + 0.8
        while loop.time() < until:
            await asyncio.sleep(0.005)
            # the servers can run 400 a second
            for kind, per_s, tried_s in (("first", 300, 0.0), ("returned", 500, 1.0)):
                due = per_s * 0.005
                for _ in range(int(due) + (chooser.random() < due % 1)):
                    remaining_s = 1.5 * chooser.uniform(0.85, 1.0) - tried_s
                    tasks.append(asyncio.ensure_future(request(kind, remaining_s)))
        await asyncio.gather(*tasks)
        return results

    results = play_virtually(scenario)
    in_time = sum(took < 0.25 for took in results["first"])
    assert in_time >= 0.8 * len(results["first"])


OVERLOAD = FleetSettings(
    servers=8,
    nodes=3,
    # twice what all slots can run on hosts of average slowness
    requests_per_s=667,
    work_s=0.04,
    spread=0.0,
    target_s=0.15,
    deadline_s=0.8,
    duration_s=6.0,
    report_every_s=0.02,
    # hosts change faster than news would travel here
    news_delay_s=0.0,
    noise=Noise(share=0.35, factor=5.0, every_s=0.06),
)


@pytest.mark.parametrize("seed", [11, 12, 13])
def test_an_overload_leaves_most_callers_in_time(seed):
    """Late requests on slow hosts would hold the slots that first attempts need soon."""
    tally = play(OVERLOAD, seed)
    assert tally.in_time >= 0.7
    assert tally.failed <= 0.2
