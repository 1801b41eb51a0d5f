"""The race of two attempts: who wins, what is cancelled, whose error counts."""

import asyncio

import pytest

from jasmineseam.exceptions import AttemptOutcomeUnknownError
from jasmineseam.programs.hedge import race_attempts


class Attempt:
    """An attempt that ends after a time; an exception is raised, anything else is returned."""

    def __init__(self, after_s, result):
        self.after_s = after_s
        self.result = result
        self.started = False
        self.cancelled = False

    async def run(self):
        self.started = True
        try:
            await asyncio.sleep(self.after_s)
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
            is_success=lambda answer: answer != "error",
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
def test_the_first_good_answer_wins(first, second, result, started, cancelled):
    one = Attempt(*first)
    other = Attempt(*second) if second else None
    if isinstance(result, Exception):
        with pytest.raises(AttemptOutcomeUnknownError) as caught:
            race(one, other)
        assert caught.value is result
    else:
        assert race(one, other) == result
    if other is not None:
        assert other.started is started
        assert (one.cancelled, other.cancelled) == cancelled


@pytest.mark.parametrize("at_s", [0.0, 0.05])
def test_a_caller_that_leaves_cancels_both(at_s):
    one, other = Attempt(5.0, "a"), Attempt(5.0, "b")

    async def run():
        task = asyncio.ensure_future(
            race_attempts(
                one.run(), delay_s=0.02, start_hedge=other.run, is_success=lambda answer: True
            )
        )
        await asyncio.sleep(at_s)
        while not one.started or (at_s and not other.started):
            await asyncio.sleep(0.005)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(run())
    assert (one.cancelled, other.cancelled) == (True, other.started)


def test_a_task_goes_on_after_its_race_was_won_by_the_second():
    async def run():
        answer = await race_attempts(
            Attempt(5.0, "a").run(),
            delay_s=0.0,
            start_hedge=Attempt(0.0, "b").run,
            is_success=lambda answer: True,
        )
        await asyncio.sleep(0)
        assert asyncio.current_task().cancelling() == 0
        return answer

    assert asyncio.run(run()) == "b"
