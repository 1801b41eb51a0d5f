"""Hedged attempts: which result is returned and which attempt is cancelled."""

import asyncio

import pytest

from jasmineseam.exceptions import AttemptOutcomeUnknownError
from jasmineseam.routing.attempt_race import race_attempts


class Attempt:
    """An attempt that ends after a time; raises its result if it is an exception."""

    def __init__(self, duration_s, result):
        self.duration_s = duration_s
        self.result = result
        self.started = False
        self.cancelled = False

    async def run(self):
        self.started = True
        try:
            await asyncio.sleep(self.duration_s)
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        if isinstance(self.result, Exception):
            raise self.result
        return self.result


LOST = AttemptOutcomeUnknownError("lost")
OTHER = AttemptOutcomeUnknownError("other")


def race(first, second):
    async def run():
        return await race_attempts(
            first.run(),
            delay_s=0.02,
            start_hedge=second.run if second else lambda: None,
            is_success=lambda response: response != "error",
        )

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("first", "second", "result", "started", "cancelled"),
    [
        ((0.0, "a"), (0.0, "b"), "a", False, (False, False)),
        ((5.0, "a"), (0.0, "b"), "b", True, (True, False)),
        ((0.1, "a"), (5.0, "b"), "a", True, (False, True)),
        ((0.1, "a"), (0.0, LOST), "a", True, (False, False)),
        ((0.1, LOST), (0.2, "b"), "b", True, (False, False)),
        ((0.1, LOST), (0.2, OTHER), LOST, True, (False, False)),
        ((0.0, LOST), (0.0, "b"), LOST, False, (False, False)),
        ((0.1, "error"), (0.2, "b"), "b", True, (False, False)),
        ((0.1, "error"), (0.2, LOST), "error", True, (False, False)),
        ((0.1, "a"), (0.0, "error"), "a", True, (False, False)),
        ((0.1, "a"), None, "a", False, (False, False)),
    ],
)
def test_first_successful_response_wins(first, second, result, started, cancelled):
    first_attempt = Attempt(*first)
    second_attempt = Attempt(*second) if second else None
    if isinstance(result, Exception):
        with pytest.raises(AttemptOutcomeUnknownError) as caught:
            race(first_attempt, second_attempt)
        assert caught.value is result
    else:
        assert race(first_attempt, second_attempt) == result
    if second_attempt is not None:
        assert second_attempt.started is started
        assert (first_attempt.cancelled, second_attempt.cancelled) == cancelled


@pytest.mark.parametrize("cancel_after_s", [0.0, 0.05])
def test_cancelling_caller_cancels_both_attempts(cancel_after_s):
    first_attempt, second_attempt = Attempt(5.0, "a"), Attempt(5.0, "b")

    async def run():
        task = asyncio.ensure_future(
            race_attempts(
                first_attempt.run(),
                delay_s=0.02,
                start_hedge=second_attempt.run,
                is_success=lambda response: True,
            )
        )
        await asyncio.sleep(cancel_after_s)
        while not first_attempt.started or (cancel_after_s and not second_attempt.started):
            await asyncio.sleep(0.005)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(run())
    assert (first_attempt.cancelled, second_attempt.cancelled) == (True, second_attempt.started)


def test_caller_task_is_not_cancelled_after_hedge_wins():
    async def run():
        response = await race_attempts(
            Attempt(5.0, "a").run(),
            delay_s=0.0,
            start_hedge=Attempt(0.0, "b").run,
            is_success=lambda response: True,
        )
        await asyncio.sleep(0)
        assert asyncio.current_task().cancelling() == 0
        return response

    assert asyncio.run(run()) == "b"
