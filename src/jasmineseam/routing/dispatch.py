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
from .placement import Estimate
from .placement import SlownessAverage
from .placement import choose

RECHECK_S = 0.01
# part of the slots that late requests leave free when all others can be in time
RESERVED_SHARE = 0.5
# weight of one request in the share of requests that could be in time when they came
TIMELY_GAIN = 0.02
# a waiting request leaves the queue early enough to run this many times the usual
TARGET_RUN_FACTOR = 1.3
# requests that may wait in a server's own queue, as a share of its slots
SERVER_QUEUE_SHARE = 0.5
MAX_QUEUED = 2000
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
USUAL_GAIN = 0.05
DEFAULT_USUAL_S = 0.1
RATE_WINDOW_S = 1.0
NO_SERVER_RETRY_AFTER_S = 0.3
# a late request that finds no room had better return after this part of the time that it has
LATE_RETRY_SHARE = 0.25


class Wanted(t.NamedTuple):
    """What a request needs of a server.

    :param priority: 0 is the most urgent.
    :param usual_s: time that it takes on a host of usual speed, in seconds.
    :param target_at: when its answer should be there, on the clock.
    :param deadline_at: when its answer is worth nothing any more, on the clock.
    :param excluded: ids of servers that it has been at.
    """

    priority: int
    usual_s: float
    target_at: float
    deadline_at: float
    excluded: set[str]


class _Waiter:
    __slots__ = ("arrived_at", "placed", "wanted")

    def __init__(self, wanted: Wanted, arrived_at: float, placed: asyncio.Future) -> None:
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

    def __init__(
        self, *, service: str, failure_domain: str, clock, chooser: random.Random
    ) -> None:
        self.service = service
        self._failure_domain = failure_domain
        self._clock = clock
        self._chooser = chooser
        self.loads: dict[str, ServerLoad] = {}
        self.slowness = SlownessAverage()
        self.usual_s = DEFAULT_USUAL_S
        self._usual_by_kind: dict[str, float] = {}
        # nodes that share the servers
        self.nodes = 1
        self._waiters: list[_Waiter] = []
        self._timer: asyncio.TimerHandle | None = None
        self._finished: collections.deque[float] = collections.deque()
        self.requested_at = float("-inf")
        self._timely_share = 1.0

    def count_queued(self) -> int:
        """Return how many requests wait."""
        return len(self._waiters)

    async def place(self, wanted: Wanted) -> ServerLoad:
        """Return the server that a request should be sent to now.

        :raises NotRunError: if no server can answer it in time.
        """
        now = self._clock()
        self.requested_at = now
        timely = self._can_be_in_time(wanted, now)
        self._timely_share += TIMELY_GAIN * (timely - self._timely_share)
        if not self._has_waiters_in_time(now, wanted.priority):
            chosen = self._choose(wanted.excluded, now)
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

    def pick_hedge(self, excluded: set[str], usual_s: float, within_s: float) -> ServerLoad | None:
        """Return a server that would answer within a time, ``None`` if none is expected to.

        :param usual_s: time that the request takes on a host of usual speed, in seconds.
        """
        now = self._clock()
        best, _ = self._choose(excluded, now)
        if best is None or best.factor * usual_s > within_s:
            return None
        return best.load

    def get_usual_s(self, kind: str) -> float:
        """Return the time that a kind of request takes on a host of usual speed, in seconds."""
        return self._usual_by_kind.get(kind, self.usual_s)

    def note_latency(self, kind: str, latency_s: float, slowness: float) -> None:
        """Learn from a whole answer how long work takes on a host of usual speed.

        :param kind: the request's route.
        """
        taken_s = latency_s / max(1.0, slowness)
        self.usual_s = _blend(self.usual_s, taken_s)
        self._usual_by_kind[kind] = _blend(self.get_usual_s(kind), taken_s)

    def note_finished(self) -> None:
        """Note that a request has ended, whichever way, so that a slot may be free."""
        self._finished.append(self._clock())
        self.pump()

    def pump(self) -> None:
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
            if wanted.excluded or choice is None:
                chosen = self._choose(wanted.excluded, now)
                choice = choice if wanted.excluded else chosen
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
            asyncio.get_running_loop().call_soon(load.end, load.begin(now))

    def estimate_wait_s(self) -> float:
        """Return how long the requests that wait now will take to be placed, in seconds."""
        now = self._clock()
        while self._finished and self._finished[0] < now - RATE_WINDOW_S:
            self._finished.popleft()
        measured_per_s = len(self._finished) / RATE_WINDOW_S
        return len(self._waiters) / max(1.0, measured_per_s, self._estimate_rate_per_s())

    def _estimate_rate_per_s(self) -> float:
        """Return what the servers can finish for this node if all nodes ask for the same."""
        slots = sum(load.slots for load in self.loads.values())
        return slots / (self.usual_s * max(1.0, self.slowness.value)) / self.nodes

    def _choose(self, excluded: set[str], now: float) -> tuple[Estimate | None, Estimate | None]:
        loads = self.loads.values()
        if excluded:
            loads = [load for load in loads if load.server_id not in excluded]
        return choose(
            loads,
            now=now,
            average=self.slowness.value,
            usual_s=self.usual_s,
            failure_domain=self._failure_domain,
            chooser=self._chooser,
        )

    def _can_be_in_time(self, wanted: Wanted, now: float) -> bool:
        return now + TARGET_RUN_FACTOR * wanted.usual_s < wanted.target_at

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
        wanted: Wanted,
        now: float,
        best_free: Estimate | None,
        best: Estimate | None,
        *,
        contended: bool,
    ) -> ServerLoad | None:
        """Return where to go now, ``None`` to wait.

        :param contended: whether others wait that can still be in time.
        """
        if best is None:
            raise NotRunError("no-server", 503, NO_SERVER_RETRY_AFTER_S)
        usual_s = wanted.usual_s
        if best_free is not None and now + best_free.factor * usual_s <= wanted.target_at:
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
        has_room = count < best.load.slots * (1.0 + SERVER_QUEUE_SHARE)
        if has_room and not contended and now + best.factor * usual_s < wanted.deadline_at:
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

    def _refuse_late(self, wanted: Wanted, now: float) -> NotRunError:
        wait_s = max(self.estimate_wait_s(), LATE_RETRY_SHARE * (wanted.deadline_at - now))
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return NotRunError("overloaded", 503, retry_after_s)

    def _check_room(self, wanted: Wanted, now: float) -> None:
        if len(self._waiters) >= MAX_QUEUED:
            raise NotRunError("queue-full", 503, self._compute_retry_after_s())
        wait_s = self.estimate_wait_s()
        if now + wait_s + self.usual_s > wanted.deadline_at:
            raise NotRunError("queue-too-long", 503, self._compute_retry_after_s())

    def _compute_retry_after_s(self) -> float:
        wait_s = self.estimate_wait_s()
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _start_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RECHECK_S, self._recheck)

    def _recheck(self) -> None:
        self._timer = None
        self.pump()
        if self._waiters:
            self._start_timer()


def _blend(held_s: float, taken_s: float) -> float:
    # one request that met a stuck server should not move the estimate far
    return held_s + USUAL_GAIN * (min(taken_s, 4 * held_s) - held_s)
