"""Admission control of a service: rate limit, concurrency limit and deadline-aware queue."""

from __future__ import annotations

import asyncio
import collections

from ..exceptions import NotRunError
from .concurrency import ConcurrencyLimit

INTERACTIVE = "interactive"
BATCH = "batch"
# while requests of both classes are queued, one in this many dequeued requests is a batch request
DEQUEUES_PER_BATCH_REQUEST = 5
# capacity of the token bucket, as the time in which the rate limit refills it, in seconds
TOKEN_BUCKET_CAPACITY_S = 0.25
# longest expected wait of a queued request, as a fraction of the time until its deadline
MAX_WAIT_FRACTION = 0.5
IN_FLIGHT_TIME_EWMA_ALPHA = 0.05


class _QueuedRequest:
    """A queued request with its traffic class and deadline.

    :param admission_future: completes when the request is admitted, fails when it is rejected.
    """

    __slots__ = ("admission_future", "deadline_at", "traffic_class")

    def __init__(
        self, admission_future: asyncio.Future, deadline_at: float, traffic_class: str
    ) -> None:
        self.admission_future = admission_future
        self.deadline_at = deadline_at
        self.traffic_class = traffic_class


class AdmissionController:
    """Admits, queues or rejects the requests to one service in one entry process.

    :param clock: returns monotonic time in seconds.
    :param concurrency_limit: adaptive limit of the requests in flight at the servers.
    """

    __slots__ = (
        "_average_in_flight_time_s",
        "_clock",
        "_dequeue_count",
        "_queue_size",
        "_queues",
        "_rate_per_s",
        "_refilled_at",
        "_tokens",
        "concurrency_limit",
        "in_flight",
        "rejections_by_reason",
    )

    def __init__(self, *, clock, concurrency_limit: ConcurrencyLimit) -> None:
        self._clock = clock
        self.concurrency_limit = concurrency_limit
        self._queues: dict[str, collections.deque[_QueuedRequest]] = {
            INTERACTIVE: collections.deque(),
            BATCH: collections.deque(),
        }
        self._queue_size = 0
        self._rate_per_s = float("inf")
        self._tokens = float("inf")
        self._refilled_at = clock()
        self._dequeue_count = 0
        self._average_in_flight_time_s = 0.0
        self.in_flight = 0
        self.rejections_by_reason: collections.Counter[str] = collections.Counter()

    def set_limits(self, *, rate_per_s: float, queue_size: int) -> None:
        """Set this process's share of the service's rate limit, and the size of its queue.

        :param rate_per_s: admitted requests per second, infinite for no limit.
        :param queue_size: maximum number of queued requests.
        """
        if rate_per_s != self._rate_per_s:
            self._rate_per_s = rate_per_s
            self._tokens = min(self._tokens, max(1.0, rate_per_s * TOKEN_BUCKET_CAPACITY_S))
        self._queue_size = queue_size
        self._admit_queued()

    def count_queued(self) -> int:
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    def try_admit(self) -> bool:
        """Admit a request at once if the limits allow it and no request is queued.

        :returns: whether the request was admitted; otherwise it can be queued with
            :meth:`wait_for_admission`.
        :raises NotRunError: if the rate limit is exceeded.
        """
        self._take_token()
        if self.in_flight >= int(self.concurrency_limit.value) or self.count_queued():
            return False
        self.in_flight += 1
        return True

    async def wait_for_admission(self, traffic_class: str, deadline_at: float) -> None:
        """Queue a request until it is admitted.

        :param traffic_class: ``INTERACTIVE`` or ``BATCH``.
        :param deadline_at: time after which a response is useless, on the controller's clock.
        :raises NotRunError: at once if the queue is full or the expected wait exceeds
            ``MAX_WAIT_FRACTION`` of the time until the deadline; later if the deadline passes or
            an interactive request evicts the queued request.
        """
        self._ensure_queue_space(traffic_class, deadline_at)
        admission_future = asyncio.get_running_loop().create_future()
        queued = _QueuedRequest(admission_future, deadline_at, traffic_class)
        queue = self._queues[traffic_class]
        queue.append(queued)
        try:
            async with asyncio.timeout(max(0.0, deadline_at - self._clock())):
                await admission_future
        except (TimeoutError, asyncio.CancelledError) as error:
            if queued in queue:
                queue.remove(queued)
            elif (
                admission_future.done()
                and not admission_future.cancelled()
                and admission_future.exception() is None
            ):
                # the request was admitted before this task resumed and counts as in flight
                self.finish_request(0.0)
            if isinstance(error, TimeoutError):
                raise self._build_rejection("deadline-in-queue", 504) from error
            raise

    def finish_request(self, in_flight_s: float) -> None:
        """Record that an admitted request has ended, and admit queued requests.

        :param in_flight_s: time since the request was admitted, in seconds; 0 leaves the average
            unchanged.
        """
        self.in_flight -= 1
        if in_flight_s > 0:
            self._average_in_flight_time_s += IN_FLIGHT_TIME_EWMA_ALPHA * (
                in_flight_s - self._average_in_flight_time_s
            )
        self._admit_queued()

    def estimate_wait_s(self) -> float:
        """Return the expected wait of a request that is queued now, in seconds."""
        return (
            (self.count_queued() + 1)
            * self._average_in_flight_time_s
            / max(1.0, self.concurrency_limit.value)
        )

    def _ensure_queue_space(self, traffic_class: str, deadline_at: float) -> None:
        wait_s = self.estimate_wait_s()
        if wait_s > (deadline_at - self._clock()) * MAX_WAIT_FRACTION:
            raise self._build_rejection("queue-too-long", 503)
        if self.count_queued() < self._queue_size:
            return
        batch = self._queues[BATCH]
        # the last batch request is never evicted, so that batch traffic is not starved
        if traffic_class != INTERACTIVE or len(batch) <= 1:
            raise self._build_rejection("queue-full", 503)
        evicted = batch.pop()
        evicted.admission_future.set_exception(self._build_rejection("queue-full", 503))

    def _build_rejection(self, reason: str, status: int) -> NotRunError:
        self.rejections_by_reason[reason] += 1
        return NotRunError(reason, status, max(1.0, self.estimate_wait_s()))

    def _take_token(self) -> None:
        if self._rate_per_s == float("inf"):
            return
        now = self._clock()
        capacity = max(1.0, self._rate_per_s * TOKEN_BUCKET_CAPACITY_S)
        refill = (now - self._refilled_at) * self._rate_per_s
        self._tokens = min(capacity, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0:
            raise self._build_rejection("rate-limited", 429)
        self._tokens -= 1.0

    def _admit_queued(self) -> None:
        while self.in_flight < int(self.concurrency_limit.value):
            queued = self._dequeue()
            if queued is None:
                return
            if queued.admission_future.done():
                continue
            if self._clock() >= queued.deadline_at:
                queued.admission_future.set_exception(
                    self._build_rejection("deadline-in-queue", 504)
                )
                continue
            self.in_flight += 1
            queued.admission_future.set_result(None)

    def _dequeue(self) -> _QueuedRequest | None:
        interactive = self._queues[INTERACTIVE]
        batch = self._queues[BATCH]
        if not interactive and not batch:
            return None
        self._dequeue_count = (self._dequeue_count + 1) % DEQUEUES_PER_BATCH_REQUEST
        if batch and (self._dequeue_count == 0 or not interactive):
            return batch.popleft()
        return interactive.popleft()
