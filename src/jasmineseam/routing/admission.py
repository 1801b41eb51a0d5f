"""Admission of requests to a service: rate, concurrency, and a bounded deadline-aware queue."""

from __future__ import annotations

import asyncio
import collections

from ..exceptions import NotRunError
from .concurrency import ConcurrencyLimit

INTERACTIVE = "interactive"
BATCH = "batch"
# of this many queued requests that are let through, one is a batch request if any waits
DEQUEUES_PER_BATCH_REQUEST = 5
RATE_BURST_S = 0.25
MAX_WAIT_DEADLINE_FRACTION = 0.5
HOLD_TIME_EWMA_ALPHA = 0.05


class _Waiter:
    """A queued request; a plain class because a future cannot carry its class of traffic."""

    __slots__ = ("admitted", "deadline_at", "traffic_class")

    def __init__(self, admitted: asyncio.Future, deadline_at: float, traffic_class: str) -> None:
        self.admitted = admitted
        self.deadline_at = deadline_at
        self.traffic_class = traffic_class


class AdmissionController:
    """Admission to one service in one entry process.

    :param clock: returns seconds, monotonic.
    :param limit: adapts how many requests are at the servers.
    """

    __slots__ = (
        "_clock",
        "_queue_size",
        "_queues",
        "_rate_per_s",
        "_tokens",
        "_tokens_at",
        "_turn",
        "_usual_s",
        "in_flight",
        "limit",
        "refused",
    )

    def __init__(self, *, clock, limit: ConcurrencyLimit) -> None:
        self._clock = clock
        self.limit = limit
        self._queues: dict[str, collections.deque[_Waiter]] = {
            INTERACTIVE: collections.deque(),
            BATCH: collections.deque(),
        }
        self._queue_size = 0
        self._rate_per_s = float("inf")
        self._tokens = float("inf")
        self._tokens_at = clock()
        self._turn = 0
        self._usual_s = 0.0
        self.in_flight = 0
        self.refused: collections.Counter[str] = collections.Counter()

    def set_limits(self, *, rate_per_s: float, queue_size: int) -> None:
        """Take this process's part of the service's rate, and its queue's size."""
        if rate_per_s != self._rate_per_s:
            self._rate_per_s = rate_per_s
            self._tokens = min(self._tokens, max(1.0, rate_per_s * RATE_BURST_S))
        self._queue_size = queue_size
        self._wake()

    def count_queued(self) -> int:
        """Return how many requests wait."""
        return sum(len(queue) for queue in self._queues.values())

    def try_admit(self) -> bool:
        """Enter without waiting, if the rate allows it and nobody is queued.

        :raises NotRunError: if the rate limit is reached.
        """
        self._take_token()
        if self.in_flight >= int(self.limit.value) or self.count_queued():
            return False
        self.in_flight += 1
        return True

    async def wait_for_admission(self, traffic_class: str, deadline_at: float) -> None:
        """Queue until a place is free.

        :param deadline_at: when the request is worth nothing any more, on the clock.
        :raises NotRunError: at once if waiting makes no sense, else at the deadline.
        """
        self._make_room(traffic_class, deadline_at)
        admitted = asyncio.get_running_loop().create_future()
        waiter = _Waiter(admitted, deadline_at, traffic_class)
        queue = self._queues[traffic_class]
        queue.append(waiter)
        try:
            async with asyncio.timeout(max(0.0, deadline_at - self._clock())):
                await admitted
        except (TimeoutError, asyncio.CancelledError) as error:
            if waiter in queue:
                queue.remove(waiter)
            elif admitted.done() and not admitted.cancelled() and admitted.exception() is None:
                self.release(0.0)
            if isinstance(error, TimeoutError):
                raise self._refuse("deadline-in-queue", 504) from error
            raise

    def release(self, latency_s: float) -> None:
        """Give the place back.

        :param latency_s: how long the request held it, 0 if that tells nothing.
        """
        self.in_flight -= 1
        if latency_s > 0:
            self._usual_s += HOLD_TIME_EWMA_ALPHA * (latency_s - self._usual_s)
        self._wake()

    def estimate_wait_s(self) -> float:
        """Return how long a request queued now would wait, in seconds."""
        return (self.count_queued() + 1) * self._usual_s / max(1.0, self.limit.value)

    def _make_room(self, traffic_class: str, deadline_at: float) -> None:
        wait_s = self.estimate_wait_s()
        if wait_s > (deadline_at - self._clock()) * MAX_WAIT_DEADLINE_FRACTION:
            raise self._refuse("queue-too-long", 503)
        if self.count_queued() < self._queue_size:
            return
        batch = self._queues[BATCH]
        # the last batch request is never pushed out, so that batch does not starve
        if traffic_class != INTERACTIVE or len(batch) <= 1:
            raise self._refuse("queue-full", 503)
        pushed_out = batch.pop()
        pushed_out.admitted.set_exception(self._refuse("queue-full", 503))

    def _refuse(self, reason: str, status: int) -> NotRunError:
        self.refused[reason] += 1
        return NotRunError(reason, status, max(1.0, self.estimate_wait_s()))

    def _take_token(self) -> None:
        if self._rate_per_s == float("inf"):
            return
        now = self._clock()
        burst = max(1.0, self._rate_per_s * RATE_BURST_S)
        earned = (now - self._tokens_at) * self._rate_per_s
        self._tokens = min(burst, self._tokens + earned)
        self._tokens_at = now
        if self._tokens < 1.0:
            raise self._refuse("rate-limited", 429)
        self._tokens -= 1.0

    def _wake(self) -> None:
        while self.in_flight < int(self.limit.value):
            waiter = self._pick()
            if waiter is None:
                return
            if waiter.admitted.done():
                continue
            if self._clock() >= waiter.deadline_at:
                waiter.admitted.set_exception(self._refuse("deadline-in-queue", 504))
                continue
            self.in_flight += 1
            waiter.admitted.set_result(None)

    def _pick(self) -> _Waiter | None:
        interactive = self._queues[INTERACTIVE]
        batch = self._queues[BATCH]
        if not interactive and not batch:
            return None
        self._turn = (self._turn + 1) % DEQUEUES_PER_BATCH_REQUEST
        if batch and (self._turn == 0 or not interactive):
            return batch.popleft()
        return interactive.popleft()
