"""Racing a second attempt against a first one that takes long.

The first attempt runs in the caller's own task, and a timer starts the second, since nearly all
requests end before it: they pay for the timer only.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing as t

from ..exceptions import AttemptError

T = t.TypeVar("T")


async def race_attempts(
    first: t.Awaitable[T],
    *,
    delay_s: float,
    start_hedge: t.Callable[[], t.Coroutine[t.Any, t.Any, T] | None],
    is_success: t.Callable[[T], bool],
    recheck_period_s: float | None = None,
) -> T:
    """Return the first good answer of two attempts; the other one is cancelled.

    :param first: the first attempt.
    :param delay_s: after what time the second is started, in seconds.
    :param start_second: returns the second attempt, or ``None`` if there may be none.
    :param is_good: tells whether an answer ends the race.
    :param recheck_s: after what time *start_second* is asked again if there was none, in seconds;
        ``None`` to ask once.
    :raises AttemptError: of the first attempt, if neither brought an answer.
    """
    loop = asyncio.get_running_loop()
    racer = asyncio.current_task()
    second: asyncio.Task[T] | None = None
    first_runs = True
    won = False

    def start() -> None:
        nonlocal second, timer
        attempt = start_hedge()
        if attempt is None:
            if recheck_period_s is not None:
                timer = loop.call_later(recheck_period_s, start)
            return
        second = loop.create_task(attempt)
        second.add_done_callback(finish)

    def finish(done: asyncio.Task[T]) -> None:
        nonlocal won
        if done.cancelled() or done.exception() is not None or not first_runs:
            return
        if is_success(done.result()):
            won = True
            racer.cancel()

    timer = loop.call_later(delay_s, start)
    try:
        answer = await first
        first_runs = False
        if is_success(answer) or second is None:
            return answer
        with contextlib.suppress(AttemptError):
            return await second
        return answer
    except asyncio.CancelledError:
        first_runs = False
        # only the second attempt's own cancellation is taken back
        if not won or racer.uncancel() > 0:
            raise
        return second.result()
    except AttemptError:
        first_runs = False
        if second is None:
            raise
        with contextlib.suppress(AttemptError):
            return await second
        raise
    finally:
        timer.cancel()
        if second is not None and not second.done():
            second.cancel()
            with contextlib.suppress(AttemptError, asyncio.CancelledError):
                await second
