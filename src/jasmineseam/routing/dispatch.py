"""Dispatch of requests to the servers of one service, with a deadline-aware priority queue.

Bursts exceed the capacity of the servers, and individual hosts become slow for a short time. A
request is feasible while it can still meet its target latency on a host of normal speed. A
feasible request that would miss its target at every server with a free slot is queued, so that it
can use the first server that becomes fast or free. An infeasible request is placed only on a slot
that feasible requests do not need; if there is none, it is rejected at once. The number of slots
reserved for feasible requests is proportional to their fraction of the arriving requests. Requests
with a higher priority are placed first.
"""

from __future__ import annotations

import asyncio
import collections
import random
import typing as t

from ..exceptions import NotRunError
from ..exceptions import PathLostError
from .domain_choice import RoundTrips
from .domain_choice import choose_domain
from .domain_choice import split_by_domain
from .fair_queueing import FairQueue
from .fair_queueing import Rank
from .hedging import HEDGE_MIN_SLOWNESS
from .load import MAX_FRESH_REPORT_AGE_S
from .load import ServerLoad
from .placement import ReportValue
from .placement import ServerEstimate
from .placement import SlownessEwma
from .placement import choose_servers
from .placement import compute_connect_cost_s
from .service_path import ServicePath
from .service_times import ServiceTimes

QUEUE_RECHECK_INTERVAL_S = 0.01
# fraction of the slots reserved for feasible requests while all arriving requests are feasible
RESERVED_SHARE = 0.5
# smoothing factor of the fraction of requests that are feasible on arrival
FEASIBLE_FRACTION_EWMA_ALPHA = 0.02
# a request is feasible while more than this many service times remain until its target
SERVICE_TIME_MARGIN_FACTOR = 1.3
# requests that may wait in a server's own queue, as a fraction of its slots
MAX_SERVER_QUEUE_FRACTION = 0.5
MAX_QUEUED_REQUESTS = 2000
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0
COMPLETION_RATE_WINDOW_S = 1.0
NO_SERVER_RETRY_AFTER_S = 0.3
PATH_LOST_RETRY_AFTER_S = 0.5
REASON_NO_PATH = "no-path"
REASON_NO_SERVER = "no-server"
# minimum retry delay of a rejected infeasible request, which is late for its target, as a fraction
# of the time until its deadline; MAX_RETRY_AFTER_S limits it
LATE_RETRY_SHARE = 0.25


class AccountShare(t.NamedTuple):
    """The client account of a request, as far as it matters for the order of requests.

    :param weight: quota in requests per second, 0 without a quota.
    """

    name: str
    priority: int
    weight: float


# Requests without an account, on public routes, compete with those of accounts as one account.
NO_ACCOUNT = AccountShare("", 0, 0.0)


class PlacementRequest(t.NamedTuple):
    """The requirements of one request on its server.

    :param priority: 0 is the highest priority.
    :param service_time_s: expected service time on a host of normal speed, in seconds.
    :param target_at: time at which the response should be complete, on the dispatcher's clock.
    :param deadline_at: time after which a response is useless, on the dispatcher's clock.
    :param excluded_server_ids: servers that already received an attempt of the request.
    :param idempotent: whether the request may be run more than once.
    :param transfer_price_s: time that a server in another failure domain must save, in seconds.
    :param account: client account, ``None`` if the configuration holds none.
    """

    priority: int
    service_time_s: float
    target_at: float
    deadline_at: float
    excluded_server_ids: set[str]
    idempotent: bool = True
    transfer_price_s: float = 0.0
    account: AccountShare | None = None

    @property
    def rank(self) -> Rank:
        """Urgency of the request among those of all accounts."""
        return Rank(0 if self.account is None else self.account.priority, self.priority)


class _QueuedRequest:
    """A queued request.

    :param placement_future: completes with the load of the chosen server, fails on a rejection.
    :param fair_start: virtual start time among the requests of all accounts.
    """

    __slots__ = ("arrived_at", "fair_start", "placement_future", "request")

    def __init__(
        self,
        request: PlacementRequest,
        arrived_at: float,
        placement_future: asyncio.Future,
        fair_start: float,
    ) -> None:
        self.fair_start = fair_start
        self.request = request
        self.arrived_at = arrived_at
        self.placement_future = placement_future


class Dispatcher:
    """Chooses the server of each request to one service, in one node.

    :param service: name of the service.
    :param failure_domain: failure domain of this node.
    :param clock: returns monotonic time in seconds.
    :param rng: breaks ties between servers.
    :param service_times: estimated service times, shared by the dispatchers of a node.
    :param round_trips: round trips to the failure domains, shared by the dispatchers of a node.
    :param regions: regions of the servers that are used, ``None`` for all.
    """

    def __init__(
        self,
        *,
        service: str,
        failure_domain: str,
        clock,
        rng: random.Random,
        service_times: ServiceTimes | None = None,
        round_trips: RoundTrips | None = None,
        regions: frozenset[str] | None = None,
    ) -> None:
        self.service = service
        self.regions = regions
        # differs from that of every other dispatcher of the node
        self.name = service if regions is None else f"{service}@{'+'.join(sorted(regions))}"
        self._failure_domain = failure_domain
        self._clock = clock
        self._rng = rng
        self.loads: dict[str, ServerLoad] = {}
        self.path = ServicePath(clock=clock)
        self.average_slowness = SlownessEwma()
        self.report_value = ReportValue()
        self._service_times = service_times or ServiceTimes()
        self._round_trips = round_trips or RoundTrips()
        # number of nodes that send requests to the same servers, on average
        self.node_count = 1.0
        # called with this dispatcher when a request has to wait for a server
        self.on_queued: t.Callable[[Dispatcher], None] = lambda dispatcher: None
        # returns whether an open connection to an address is idle
        self.is_connected: t.Callable[[str], bool] = lambda address: True
        self._queue: list[_QueuedRequest] = []
        # ``None`` until a request of a client account arrives
        self._fair_queue: FairQueue | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._completion_times: collections.deque[float] = collections.deque()
        self.last_request_at = float("-inf")
        self._feasible_fraction = 1.0

    def count_queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    async def place(self, request: PlacementRequest) -> ServerLoad:
        """Return the server for a request, after waiting for one if necessary.

        :raises PathLostError: if this node can't reach the servers.
        :raises NotRunError: if no server is expected to meet the deadline, or the queue is full.
        """
        if self.path.lost:
            raise _build_path_lost_error()
        now = self._clock()
        self.last_request_at = now
        feasible = self._is_feasible(request, now)
        self._feasible_fraction += FEASIBLE_FRACTION_EWMA_ALPHA * (
            feasible - self._feasible_fraction
        )
        fair_start = self._record_arrival(request)
        queued = _QueuedRequest(
            request, now, asyncio.get_running_loop().create_future(), fair_start
        )
        if not self._must_queue(queued, now):
            estimates = self._estimate_best_servers(request, now)
            load = self._select_server(request, now, *estimates, contended=False)
            if load is not None:
                self._record_placement(queued)
                load.take_token(now)
                return load
        self._check_queue_limits(queued, now)
        self._queue.append(queued)
        self._start_timer()
        self.on_queued(self)
        try:
            return await queued.placement_future
        finally:
            if queued in self._queue:
                self._queue.remove(queued)

    def place_on_open_connection(
        self, request: PlacementRequest, is_connected: t.Callable[[ServerLoad], bool]
    ) -> ServerLoad:
        """Return a server with an open connection for a request, while the path is lost.

        :param is_connected: returns whether an open connection to a server is idle.
        :raises PathLostError: if there is none.
        """
        now = self._clock()
        unsuitable = {load.server_id for load in self.loads.values() if not is_connected(load)}
        request = request._replace(excluded_server_ids=request.excluded_server_ids | unsuitable)
        best_free, _ = self._estimate_best_servers(request, now)
        if best_free is None or not self.path.open_connections_respond:
            raise _build_path_lost_error()
        best_free.load.take_token(now)
        return best_free.load

    def has_suitable_server(self, request: PlacementRequest) -> bool:
        """Return whether a server with a free slot and a fresh report can meet the target.

        For a request that can't meet its target any more, any free slot is suitable.
        """
        now = self._clock()
        best_free, _ = self._estimate_best_servers(request, now)
        if best_free is None:
            return False
        if not self._is_feasible(request, now):
            return True
        if now - best_free.load.reported_at > MAX_FRESH_REPORT_AGE_S:
            return False
        return now + best_free.latency_factor * request.service_time_s <= request.target_at

    def choose_hedge_server(
        self, request: PlacementRequest, typical_s: float = float("inf")
    ) -> ServerLoad | None:
        """Return a server that may meet the target, ``None`` if there is none.

        :param typical_s: usual latency of the route, in seconds. A hedge replaces an attempt that
            is one of the slowest, so the mean, which includes these, is too high for it.
        """
        now = self._clock()
        best, _ = self._estimate_best_servers(request, now)
        if best is None:
            return None
        expected_s = best.latency_factor * request.service_time_s
        if best.load.get_fresh_slowness(now) < HEDGE_MIN_SLOWNESS:
            expected_s = min(expected_s, typical_s)
        return best.load if now + expected_s <= request.target_at else None

    @property
    def service_time_s(self) -> float:
        """Average service time of all requests on a host of normal speed, in seconds."""
        return self._service_times.get(self.service)

    def get_service_time_s(self, route_name: str, target_s: float | None = None) -> float:
        """Return the service time of a route on a host of normal speed, in seconds.

        :param route_name: name of the route.
        :param target_s: target latency of the route, in seconds, ``None`` if it has none.
        """
        return self._service_times.get(self.service, route_name, target_s)

    def record_latency(
        self, route_name: str, latency_s: float, slowness: float, target_s: float | None = None
    ) -> None:
        """Update the estimated service time from a complete response.

        :param route_name: name of the request's route.
        :param latency_s: time from sending the request to the end of the response, in seconds.
        :param slowness: slowness of the host when the request was sent; 1 is normal speed.
        :param target_s: target latency of the route, in seconds, ``None`` if it has none.
        """
        service_time_s = latency_s / max(1.0, slowness)
        self._service_times.record(self.service, route_name, service_time_s, target_s)

    def record_completion(self) -> None:
        """Record the end of a request, successful or not.

        The end of a request may free a slot, so queued requests are placed.
        """
        self._completion_times.append(self._clock())
        self.place_queued_requests()

    def place_queued_requests(self) -> None:
        """Place every queued request for which a suitable server is available."""
        if not self._queue:
            return
        now = self._clock()
        # the estimates stay valid for all queued requests until one of them is placed
        shared_estimates = None
        contended = False
        for queued in self._sort_queue(now):
            if queued.placement_future.done():
                continue
            request = queued.request
            if request.excluded_server_ids or shared_estimates is None:
                estimates = self._estimate_best_servers(request, now)
                if not request.excluded_server_ids and not self._uses_other_domains():
                    shared_estimates = estimates
            else:
                estimates = shared_estimates
            try:
                load = self._select_server(request, now, *estimates, contended=contended)
            except NotRunError as error:
                queued.placement_future.set_exception(error)
                self._queue.remove(queued)
                continue
            if load is None:
                contended = True
                continue
            shared_estimates = None
            self._record_placement(queued)
            load.take_token(now)
            self._queue.remove(queued)
            queued.placement_future.set_result(load)
            # The awaiting task calls start_request when the event loop resumes it. Until then,
            # the start_request call in the next statement occupies the slot. The event loop runs
            # callbacks in the order of their scheduling, so finish_request is called after the
            # task has resumed.
            asyncio.get_running_loop().call_soon(load.finish_request, load.start_request(now))

    def mark_path_lost(self) -> None:
        """Take the path to the servers as lost, and return the queued requests.

        The servers did not cause the failures that led to this.
        """
        self.path.mark_lost()
        for load in self.loads.values():
            load.forget_failures()
        queued_requests, self._queue = self._queue, []
        for queued in queued_requests:
            if not queued.placement_future.done():
                queued.placement_future.set_exception(_build_path_lost_error())

    def estimate_wait_s(self) -> float:
        """Return the expected time until all requests queued now are placed, in seconds."""
        now = self._clock()
        while (
            self._completion_times and self._completion_times[0] < now - COMPLETION_RATE_WINDOW_S
        ):
            self._completion_times.popleft()
        completions_per_s = len(self._completion_times) / COMPLETION_RATE_WINDOW_S
        return len(self._queue) / max(1.0, completions_per_s, self._estimate_capacity_per_s())

    def estimate_retry_after_s(self) -> float:
        """Return the time after which a refused request can be placed, in seconds.

        This is the expected wait in the queue, or the time until the first server that is ejected,
        has sent a retry time or names a limit may be used.
        """
        if not self.loads:
            return NO_SERVER_RETRY_AFTER_S
        now = self._clock()
        available_in_s = min(load.get_available_at(now) for load in self.loads.values()) - now
        return max(MIN_RETRY_AFTER_S, self.estimate_wait_s(), available_in_s)

    def _estimate_capacity_per_s(self) -> float:
        """Return this node's share of the servers' capacity, in requests per second.

        Of a server that names a limit, this is its share of the limit at most.
        """
        slot_time_s = self.service_time_s * max(1.0, self.average_slowness.value)
        capacity_per_s = 0.0
        for load in self.loads.values():
            share_per_s = load.slots / slot_time_s / self.node_count
            if load.request_bucket is not None:
                share_per_s = min(share_per_s, load.request_bucket.share.requests_per_s)
            capacity_per_s += share_per_s
        return capacity_per_s

    def _expects_token(self, request: PlacementRequest, now: float) -> bool:
        """Return whether the limits that servers name allow a request in time for its target.

        Used while no server may receive a request. Requests that are queued already come first.
        """
        limited = [
            load
            for load in self.loads.values()
            if load.request_bucket is not None
            and load.server_id not in request.excluded_server_ids
        ]
        if not limited:
            return False
        available_at = min(load.get_available_at(now) for load in limited)
        tokens_per_s = sum(load.request_bucket.share.requests_per_s for load in limited)
        available_at += max(0, len(self._queue) - 1) / tokens_per_s
        duration_s = request.service_time_s * max(1.0, self.average_slowness.value)
        return available_at + duration_s <= request.target_at

    def _uses_other_domains(self) -> bool:
        """Return whether servers of other failure domains are used besides own ones."""
        domains = {load.failure_domain for load in self.loads.values()}
        return len(domains) > 1 and self._failure_domain in domains

    def _estimate_best_servers(
        self, request: PlacementRequest, now: float
    ) -> tuple[ServerEstimate | None, ServerEstimate | None]:
        """Return the best server with a free slot and the best server overall."""
        loads = list(self.loads.values())
        excluded_server_ids = request.excluded_server_ids
        if excluded_server_ids:
            loads = [load for load in loads if load.server_id not in excluded_server_ids]
        own, others = split_by_domain(loads, self._failure_domain)
        if not own or not others:
            return self._choose_servers(loads, now)
        own_free, own_best = self._choose_servers(own, now)
        other_free, other_best = self._choose_servers(others, now)

        def choose(
            own: ServerEstimate | None, other: ServerEstimate | None
        ) -> ServerEstimate | None:
            return choose_domain(
                own,
                None if other is None else self._add_round_trip(other, request),
                service_time_s=request.service_time_s,
                time_to_target_s=request.target_at - now,
                price_s=request.transfer_price_s,
            )

        return choose(own_free, other_free), choose(own_best, other_best)

    def _add_round_trip(
        self, estimate: ServerEstimate, request: PlacementRequest
    ) -> ServerEstimate:
        """Add the longer network path to a server in another failure domain to its latency."""
        extra_s = self._round_trips.get_extra_s(
            estimate.load.failure_domain, own=self._failure_domain
        )
        if request.service_time_s <= 0.0:
            return estimate
        factor = estimate.latency_factor + extra_s / request.service_time_s
        return estimate._replace(latency_factor=factor)

    def _choose_servers(
        self, loads: list[ServerLoad], now: float
    ) -> tuple[ServerEstimate | None, ServerEstimate | None]:
        return choose_servers(
            loads,
            now=now,
            average_slowness=self.average_slowness.value,
            service_time_s=self.service_time_s,
            failure_domain=self._failure_domain,
            rng=self._rng,
            get_connect_cost_s=self.get_connect_cost_s,
        )

    def get_connect_cost_s(self, load: ServerLoad) -> float:
        """Return what opening a connection to a server costs, in seconds; 0 if one is open."""
        if self.is_connected(load.address):
            return 0.0
        return compute_connect_cost_s(self._round_trips.get_s(load.failure_domain))

    def _is_feasible(self, request: PlacementRequest, now: float) -> bool:
        return now + SERVICE_TIME_MARGIN_FACTOR * request.service_time_s < request.target_at

    def _record_arrival(self, request: PlacementRequest) -> float:
        """Count a request among those of all accounts; return its virtual start time."""
        if request.account is not None and self._fair_queue is None:
            self._fair_queue = FairQueue()
        if self._fair_queue is None:
            return 0.0
        account = request.account or NO_ACCOUNT
        self._fair_queue.record_arrival(request.rank, account.name)
        return self._fair_queue.assign_start(account.name, account.weight)

    def _record_placement(self, queued: _QueuedRequest) -> None:
        if self._fair_queue is not None:
            request = queued.request
            account = request.account or NO_ACCOUNT
            self._fair_queue.record_placement(request.rank, account.name, queued.fair_start)

    def _must_queue(self, queued: _QueuedRequest, now: float) -> bool:
        """Return whether requests that are queued already come before a new one."""
        if self._fair_queue is None:
            return self._has_feasible_queued_request(now, queued.request.priority)
        key = self._get_fair_key(queued, now)
        return any(
            self._is_feasible(other.request, now) and self._get_fair_key(other, now) < key
            for other in self._queue
        )

    def _get_fair_key(self, queued: _QueuedRequest, now: float) -> tuple:
        """Return the key by which requests of client accounts are sorted."""
        request = queued.request
        rank = request.rank
        return (
            not self._fair_queue.is_starved(rank, (request.account or NO_ACCOUNT).name),
            rank,
            not self._is_feasible(request, now),
            queued.fair_start,
            request.target_at,
        )

    def _has_feasible_queued_request(self, now: float, priority: int) -> bool:
        for queued in self._queue:
            request = queued.request
            if request.priority <= priority and self._is_feasible(request, now):
                return True
        return False

    def _sort_queue(self, now: float) -> list[_QueuedRequest]:
        """Return the queued requests in the order in which they are placed.

        Feasible requests come first. Within both groups, requests are sorted by priority and then
        by target. Requests of client accounts are sorted by their account's priority, their own
        priority and their virtual start time.
        """
        if self._fair_queue is not None:
            return sorted(self._queue, key=lambda queued: self._get_fair_key(queued, now))

        def sort_key(queued: _QueuedRequest) -> tuple[bool, int, float]:
            request = queued.request
            infeasible = not self._is_feasible(request, now)
            return (infeasible, request.priority, request.target_at)

        return sorted(self._queue, key=sort_key)

    def _select_server(
        self,
        request: PlacementRequest,
        now: float,
        best_free: ServerEstimate | None,
        best: ServerEstimate | None,
        *,
        contended: bool,
    ) -> ServerLoad | None:
        """Return the server for a request now, ``None`` if the request should wait.

        :param best_free: the best server with a free slot.
        :param best: the best of all servers.
        :param contended: whether a feasible request before this one is waiting for a server.
        :raises NotRunError: if the request should be rejected.
        """
        if best is None:
            if self._expects_token(request, now):
                return None
            raise NotRunError(self._get_unavailable_reason(), 503, self.estimate_retry_after_s())
        service_time_s = request.service_time_s
        if (
            best_free is not None
            and now + best_free.latency_factor * service_time_s <= request.target_at
        ):
            return best_free.load
        if self._is_feasible(request, now):
            return None
        if now >= request.deadline_at:
            raise NotRunError("deadline", 503, MIN_RETRY_AFTER_S)
        if self._has_only_reserved_slots(now):
            raise self._build_overload_error(request, now)
        if best_free is not None:
            return best_free.load
        in_flight = best.load.count_in_flight(now)
        has_queue_space = in_flight < best.load.slots * (1.0 + MAX_SERVER_QUEUE_FRACTION)
        if (
            has_queue_space
            and not contended
            and now + best.latency_factor * service_time_s < request.deadline_at
        ):
            return best.load
        raise self._build_overload_error(request, now)

    def _get_unavailable_reason(self) -> str:
        if any(load.request_bucket is not None for load in self.loads.values()):
            return "server-limit"
        return REASON_NO_SERVER

    def _has_only_reserved_slots(self, now: float) -> bool:
        """Return whether all free slots are reserved for feasible requests."""
        in_flight = 0
        slots = 0
        for load in self.loads.values():
            in_flight += load.count_in_flight(now)
            slots += load.slots
        return in_flight >= (1.0 - RESERVED_SHARE * self._feasible_fraction) * slots

    def _build_overload_error(self, request: PlacementRequest, now: float) -> NotRunError:
        wait_s = max(self.estimate_wait_s(), LATE_RETRY_SHARE * (request.deadline_at - now))
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return NotRunError("overloaded", 503, retry_after_s)

    def _check_queue_limits(self, queued: _QueuedRequest, now: float) -> None:
        request = queued.request
        if len(self._queue) >= MAX_QUEUED_REQUESTS:
            raise NotRunError("queue-full", 503, self._compute_retry_after_s())
        wait_s = self.estimate_wait_s()
        if self._fair_queue is not None and self._queue:
            # Only requests that come first delay this one.
            key = self._get_fair_key(queued, now)
            ahead = sum(self._get_fair_key(other, now) < key for other in self._queue)
            wait_s *= ahead / len(self._queue)
        if now + wait_s + self.service_time_s > request.deadline_at:
            raise NotRunError("queue-too-long", 503, self._compute_retry_after_s())

    def _compute_retry_after_s(self) -> float:
        wait_s = self.estimate_wait_s()
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _start_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(QUEUE_RECHECK_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.place_queued_requests()
        if self._queue:
            self._start_timer()


def _build_path_lost_error() -> PathLostError:
    return PathLostError(REASON_NO_PATH, 503, PATH_LOST_RETRY_AFTER_S)
