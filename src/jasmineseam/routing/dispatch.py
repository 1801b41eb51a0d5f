"""Dispatch of requests to the servers of one service: place now, wait for a better slot, refuse.

Load: bursts beyond what the servers can run at once, and hosts that are slow for a moment. A
request that would miss its target at every server with a free slot waits here, where it can still
go to whichever server becomes fast or free first, but only while it can meet the target. After
that it takes a slot that nobody who can still be in time has use for, or is refused at once if
there is none: a part of the slots is kept for requests that can be in time, as long as such
requests come. More urgent requests go first.
"""

from __future__ import annotations

import asyncio
import collections
import random
import typing as t

from ..exceptions import NotRunError
from .load import ServerLoad
from .placement import ServerEstimate
from .placement import SlownessEwma
from .placement import choose

QUEUE_RECHECK_INTERVAL_S = 0.01
# part of the slots that late requests leave free when all others can be in time
RESERVED_SHARE = 0.5
# weight of one request in the share of requests that could be in time when they came
TIMELY_FRACTION_EWMA_ALPHA = 0.02
# a waiting request leaves the queue early enough to run this many times the usual
SERVICE_TIME_MARGIN_FACTOR = 1.3
# requests that may wait in a server's own queue, as a share of its slots
MAX_SERVER_QUEUE_FRACTION = 0.5
MAX_QUEUED_REQUESTS = 2000
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
SERVICE_TIME_EWMA_ALPHA = 0.05
DEFAULT_SERVICE_TIME_S = 0.1
COMPLETION_RATE_WINDOW_S = 1.0
NO_SERVER_RETRY_AFTER_S = 0.3
# a late request that finds no room had better return after this part of the time that it has
LATE_RETRY_SHARE = 0.25


class PlacementRequest(t.NamedTuple):
    """What a request needs of a server.

    :param priority: 0 is the most urgent.
    :param usual_s: time that it takes on a host of usual speed, in seconds.
    :param target_at: when its answer should be there, on the clock.
    :param deadline_at: when its answer is worth nothing any more, on the clock.
    :param excluded: ids of servers that it has been at.
    """

    priority: int
    service_time_s: float
    target_at: float
    deadline_at: float
    excluded_server_ids: set[str]


class _Waiter:
    __slots__ = ("arrived_at", "placed", "wanted")

    def __init__(
        self, wanted: PlacementRequest, arrived_at: float, placed: asyncio.Future
    ) -> None:
        self.wanted = wanted
        self.arrived_at = arrived_at
        self.placed = placed


class Dispatcher:
    """Chooses the server of each request to one service, in one node.

    :param service: the service's name.
    :param failure_domain: the node's own.
    :param clock: returns seconds, monotonic.
    :param chooser: breaks ties.
    """

    def __init__(self, *, service: str, failure_domain: str, clock, rng: random.Random) -> None:
        self.service = service
        self._failure_domain = failure_domain
        self._clock = clock
        self._chooser = rng
        self.loads: dict[str, ServerLoad] = {}
        self.slowness = SlownessEwma()
        self.service_time_s = DEFAULT_SERVICE_TIME_S
        self._usual_by_kind: dict[str, float] = {}
        # nodes that share the servers
        self.node_count = 1
        self._waiters: list[_Waiter] = []
        self._timer: asyncio.TimerHandle | None = None
        self._finished: collections.deque[float] = collections.deque()
        self.last_request_at = float("-inf")
        self._timely_share = 1.0

    def count_queued(self) -> int:
        """Return how many requests wait."""
        return len(self._waiters)

    async def place(self, wanted: PlacementRequest) -> ServerLoad:
        """Return the server that a request should be sent to now.

        :raises NotRunError: if no server can answer it in time.
        """
        now = self._clock()
        self.last_request_at = now
        timely = self._can_be_in_time(wanted, now)
        self._timely_share += TIMELY_FRACTION_EWMA_ALPHA * (timely - self._timely_share)
        if not self._has_waiters_in_time(now, wanted.priority):
            chosen = self._choose(wanted.excluded_server_ids, now)
            load = self._judge(wanted, now, *chosen, contended=False)
            if load is not None:
                return load
        self._check_room(wanted, now)
        waiter = _Waiter(wanted, now, asyncio.get_running_loop().create_future())
        self._waiters.append(waiter)
        self._start_timer()
        try:
            return await waiter.placed
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def choose_hedge_server(
        self, excluded: set[str], service_time_s: float, max_latency_s: float
    ) -> ServerLoad | None:
        """Return a server that would answer within a time, ``None`` if none is expected to.

        :param usual_s: time that the request takes on a host of usual speed, in seconds.
        """
        now = self._clock()
        best, _ = self._choose(excluded, now)
        if best is None or best.latency_factor * service_time_s > max_latency_s:
            return None
        return best.load

    def get_service_time_s(self, kind: str) -> float:
        """Return the time that a kind of request takes on a host of usual speed, in seconds."""
        return self._usual_by_kind.get(kind, self.service_time_s)

    def record_latency(self, kind: str, latency_s: float, slowness: float) -> None:
        """Learn from a whole answer how long work takes on a host of usual speed.

        :param kind: the request's route.
        """
        taken_s = latency_s / max(1.0, slowness)
        self.service_time_s = _blend(self.service_time_s, taken_s)
        self._usual_by_kind[kind] = _blend(self.get_service_time_s(kind), taken_s)

    def record_completion(self) -> None:
        """Note that a request has ended, whichever way, so that a slot may be free."""
        self._finished.append(self._clock())
        self.place_queued_requests()

    def place_queued_requests(self) -> None:
        """Place the waiting requests that can be placed now."""
        if not self._waiters:
            return
        now = self._clock()
        # one choice serves all that wait, until a request is placed
        choice = None
        contended = False
        for waiter in self._sort_waiters(now):
            if waiter.placed.done():
                continue
            wanted = waiter.wanted
            if wanted.excluded_server_ids or choice is None:
                chosen = self._choose(wanted.excluded_server_ids, now)
                choice = choice if wanted.excluded_server_ids else chosen
            else:
                chosen = choice
            try:
                load = self._judge(wanted, now, *chosen, contended=contended)
            except NotRunError as error:
                waiter.placed.set_exception(error)
                self._waiters.remove(waiter)
                continue
            if load is None:
                contended = True
                continue
            choice = None
            self._waiters.remove(waiter)
            waiter.placed.set_result(load)
            # counts until the request's own task, which runs first, has taken over
            asyncio.get_running_loop().call_soon(load.finish_request, load.start_request(now))

    def estimate_wait_s(self) -> float:
        """Return how long the requests that wait now will take to be placed, in seconds."""
        now = self._clock()
        while self._finished and self._finished[0] < now - COMPLETION_RATE_WINDOW_S:
            self._finished.popleft()
        measured_per_s = len(self._finished) / COMPLETION_RATE_WINDOW_S
        return len(self._waiters) / max(1.0, measured_per_s, self._estimate_rate_per_s())

    def _estimate_rate_per_s(self) -> float:
        """Return what the servers can finish for this node if all nodes ask for the same."""
        slots = sum(load.slots for load in self.loads.values())
        return slots / (self.service_time_s * max(1.0, self.slowness.value)) / self.node_count

    def _choose(
        self, excluded: set[str], now: float
    ) -> tuple[ServerEstimate | None, ServerEstimate | None]:
        loads = self.loads.values()
        if excluded:
            loads = [load for load in loads if load.server_id not in excluded]
        return choose(
            loads,
            now=now,
            average=self.slowness.value,
            usual_s=self.service_time_s,
            failure_domain=self._failure_domain,
            rng=self._chooser,
        )

    def _can_be_in_time(self, wanted: PlacementRequest, now: float) -> bool:
        return now + SERVICE_TIME_MARGIN_FACTOR * wanted.service_time_s < wanted.target_at

    def _has_waiters_in_time(self, now: float, priority: int) -> bool:
        for waiter in self._waiters:
            wanted = waiter.wanted
            if wanted.priority <= priority and self._can_be_in_time(wanted, now):
                return True
        return False

    def _sort_waiters(self, now: float) -> list[_Waiter]:
        """Return those that can still be in time before the others, the most urgent first."""

        def rank(waiter: _Waiter) -> tuple[bool, int, float]:
            wanted = waiter.wanted
            late = not self._can_be_in_time(wanted, now)
            return (late, wanted.priority, wanted.target_at)

        return sorted(self._waiters, key=rank)

    def _judge(
        self,
        wanted: PlacementRequest,
        now: float,
        best_free: ServerEstimate | None,
        best: ServerEstimate | None,
        *,
        contended: bool,
    ) -> ServerLoad | None:
        """Return where to go now, ``None`` to wait.

        :param contended: whether others wait that can still be in time.
        """
        if best is None:
            raise NotRunError("no-server", 503, NO_SERVER_RETRY_AFTER_S)
        usual_s = wanted.service_time_s
        if best_free is not None and now + best_free.latency_factor * usual_s <= wanted.target_at:
            return best_free.load
        if self._can_be_in_time(wanted, now):
            return None
        if now >= wanted.deadline_at:
            raise NotRunError("deadline", 503, MIN_RETRY_AFTER_S)
        if self._has_reserve_only(now):
            raise self._refuse_late(wanted, now)
        if best_free is not None:
            return best_free.load
        count = best.load.count_in_flight(now)
        has_room = count < best.load.slots * (1.0 + MAX_SERVER_QUEUE_FRACTION)
        if has_room and not contended and now + best.latency_factor * usual_s < wanted.deadline_at:
            return best.load
        raise self._refuse_late(wanted, now)

    def _has_reserve_only(self, now: float) -> bool:
        """Tell whether all slots are taken but those kept for requests that can be in time."""
        taken = 0
        slots = 0
        for load in self.loads.values():
            taken += load.count_in_flight(now)
            slots += load.slots
        return taken >= (1.0 - RESERVED_SHARE * self._timely_share) * slots

    def _refuse_late(self, wanted: PlacementRequest, now: float) -> NotRunError:
        wait_s = max(self.estimate_wait_s(), LATE_RETRY_SHARE * (wanted.deadline_at - now))
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return NotRunError("overloaded", 503, retry_after_s)

    def _check_room(self, wanted: PlacementRequest, now: float) -> None:
        if len(self._waiters) >= MAX_QUEUED_REQUESTS:
            raise NotRunError("queue-full", 503, self._compute_retry_after_s())
        wait_s = self.estimate_wait_s()
        if now + wait_s + self.service_time_s > wanted.deadline_at:
            raise NotRunError("queue-too-long", 503, self._compute_retry_after_s())

    def _compute_retry_after_s(self) -> float:
        wait_s = self.estimate_wait_s()
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _start_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(QUEUE_RECHECK_INTERVAL_S, self._recheck)

    def _recheck(self) -> None:
        self._timer = None
        self.place_queued_requests()
        if self._waiters:
            self._start_timer()


def _blend(held_s: float, taken_s: float) -> float:
    # one request that met a stuck server should not move the estimate far
    return held_s + SERVICE_TIME_EWMA_ALPHA * (min(taken_s, 4 * held_s) - held_s)
