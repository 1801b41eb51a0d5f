"""Hedged requests: running a second attempt, the hedge, concurrently with a slow first one.

The first attempt runs in the task that awaits :func:`race_attempts`, and a timer starts the hedge.
Nearly all requests complete before the timer fires, so their only overhead is the timer.
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
    recheck_interval_s: float | None = None,
) -> T:
    """Return the first successful response of an attempt and its hedge, and cancel the other one.

    If the first attempt ends without a successful response, the response of the hedge is returned,
    successful or not. If the hedge fails with an :exc:`AttemptError`, the response of the first
    attempt is returned or its error is raised.

    :param first: the first attempt.
    :param delay_s: time after which *start_hedge* is called, in seconds.
    :param start_hedge: returns the hedge, or ``None`` if none should be started.
    :param is_success: returns whether a response is successful.
    :param recheck_interval_s: time after which *start_hedge* is called again if it returned
        ``None``, in seconds; ``None`` to call it only once.
    :raises AttemptError: the error of the first attempt if neither attempt returns a response.
    """
    loop = asyncio.get_running_loop()
    first_task = asyncio.current_task()
    hedge: asyncio.Task[T] | None = None
    first_running = True
    hedge_succeeded = False

    def try_start_hedge() -> None:
        nonlocal hedge, timer
        attempt = start_hedge()
        if attempt is None:
            if recheck_interval_s is not None:
                timer = loop.call_later(recheck_interval_s, try_start_hedge)
            return
        hedge = loop.create_task(attempt)
        hedge.add_done_callback(handle_hedge_done)

    def handle_hedge_done(done: asyncio.Task[T]) -> None:
        nonlocal hedge_succeeded
        if done.cancelled() or done.exception() is not None or not first_running:
            return
        if is_success(done.result()):
            hedge_succeeded = True
            first_task.cancel()

    timer = loop.call_later(delay_s, try_start_hedge)
    try:
        response = await first
        first_running = False
        if is_success(response) or hedge is None:
            return response
        with contextlib.suppress(AttemptError):
            return await hedge
        return response
    except asyncio.CancelledError:
        first_running = False
        # Only the cancellation requested by handle_hedge_done is undone.
        if not hedge_succeeded or first_task.uncancel() > 0:
            raise
        return hedge.result()
    except AttemptError:
        first_running = False
        if hedge is None:
            raise
        with contextlib.suppress(AttemptError):
            return await hedge
        raise
    finally:
        timer.cancel()
        if hedge is not None and not hedge.done():
            hedge.cancel()
            with contextlib.suppress(AttemptError, asyncio.CancelledError):
                await hedge
