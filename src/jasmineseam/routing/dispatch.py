"""Dispatch of requests to the servers of one service, with a deadline-aware priority queue.

A feasible request that would miss its target at every server with a free slot is queued, so that
it can use the first server that becomes fast or free. An infeasible request is placed only on a
slot that feasible requests do not need; if there is none, it is rejected at once. The order of the
queue is in ``queue_order``, the choice of a server in ``server_choice``. The slots that requests
leave to others are in ``reserved_slots``, and the times at which rejected requests may come back
in ``retry_reservations``.
"""

from __future__ import annotations

import asyncio
import collections
import random
import typing as t

from ..exceptions import NotRunError
from ..exceptions import PathLostError
from .domain_choice import RoundTrips
from .hedging import HEDGE_MIN_SLOWNESS
from .load import MAX_FRESH_REPORT_AGE_S
from .load import ServerLoad
from .placement import ReportValue
from .placement import ServerEstimate
from .placement import SlownessEwma
from .placement import compute_connect_cost_s
from .queue_order import AccountShare
from .queue_order import PlacementRequest
from .queue_order import QueuedRequest
from .queue_order import RequestQueue
from .queue_order import is_feasible
from .reserved_slots import ReservedSlots
from .retry_reservations import MAX_RETRY_AFTER_S
from .retry_reservations import MIN_RETRY_AFTER_S
from .retry_reservations import RetryReservations
from .server_choice import BestServers
from .server_choice import ServerChooser
from .service_path import ServicePath
from .service_times import ServiceTimes

__all__ = ["AccountShare", "Dispatcher", "PlacementRequest"]

QUEUE_RECHECK_INTERVAL_S = 0.01
# requests that may wait in a server's own queue, as a fraction of its slots
MAX_SERVER_QUEUE_FRACTION = 0.5
COMPLETION_RATE_WINDOW_S = 1.0
NO_SERVER_RETRY_AFTER_S = 0.3
PATH_LOST_RETRY_AFTER_S = 0.5
REASON_NO_PATH = "no-path"
REASON_NO_SERVER = "no-server"
# minimum retry delay of a rejected infeasible request, which is late for its target, as a fraction
# of the time until its deadline; MAX_RETRY_AFTER_S limits it
LATE_RETRY_SHARE = 0.25


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
        self._clock = clock
        self.loads: dict[str, ServerLoad] = {}
        self.path = ServicePath(clock=clock)
        self.average_slowness = SlownessEwma()
        self.report_value = ReportValue()
        self._service_times = service_times or ServiceTimes()
        self._round_trips = round_trips or RoundTrips()
        self._server_chooser = ServerChooser(
            failure_domain=failure_domain, rng=rng, round_trips=self._round_trips
        )
        # number of nodes that send requests to the same servers, on average
        self.node_count = 1.0
        # called with this dispatcher when a request has to wait for a server
        self.on_queued: t.Callable[[Dispatcher], None] = lambda dispatcher: None
        # returns whether an open connection to an address is idle
        self.is_connected: t.Callable[[str], bool] = lambda address: True
        self._queue = RequestQueue()
        self._reserved_slots = ReservedSlots()
        self._retry_reservations = RetryReservations()
        # number of placements of requests that came back after a refusal, by result
        self.returned_counts: collections.Counter[str] = collections.Counter()
        self._timer: asyncio.TimerHandle | None = None
        self._completion_times: collections.deque[float] = collections.deque()
        self.last_request_at = float("-inf")

    def count_queued(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    async def place(self, request: PlacementRequest) -> ServerLoad:
        """Return the server for a request, after waiting for one if necessary.

        :raises PathLostError: if this node can't reach the servers.
        :raises NotRunError: if no server is expected to meet the deadline, or the queue is full.
        """
        try:
            load = await self._place(request)
        except NotRunError as error:
            if request.returned and not isinstance(error, PathLostError):
                self.returned_counts["refused"] += 1
            raise
        if request.returned:
            self.returned_counts["placed"] += 1
        return load

    async def _place(self, request: PlacementRequest) -> ServerLoad:
        if self.path.lost:
            raise _build_path_lost_error()
        now = self._clock()
        self.last_request_at = now
        self._reserved_slots.record_arrival(request.rank, feasible=is_feasible(request, now))
        queued = QueuedRequest(
            request=request,
            placement_future=asyncio.get_running_loop().create_future(),
            fair_start=self._queue.record_arrival(request),
        )
        if not self._queue.must_wait(queued, now):
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
        if not is_feasible(request, now):
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
        for queued in self._queue.sort(now):
            if queued.placement_future.done():
                continue
            request = queued.request
            if request.excluded_server_ids or shared_estimates is None:
                estimates = self._estimate_best_servers(request, now)
                if not request.excluded_server_ids and not self._server_chooser.uses_other_domains(
                    self.loads.values()
                ):
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
        for queued in self._queue.remove_all():
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

    def _estimate_best_servers(self, request: PlacementRequest, now: float) -> BestServers:
        """Return the best server with a free slot and the best server overall."""
        return self._server_chooser.choose(
            self.loads.values(),
            request,
            now,
            average_slowness=self.average_slowness.value,
            service_time_s=self.service_time_s,
            get_connect_cost_s=self.get_connect_cost_s,
        )

    def get_connect_cost_s(self, load: ServerLoad) -> float:
        """Return what opening a connection to a server costs, in seconds; 0 if one is open."""
        if self.is_connected(load.address):
            return 0.0
        return compute_connect_cost_s(self._round_trips.get_s(load.failure_domain))

    def _record_placement(self, queued: QueuedRequest) -> None:
        self._queue.record_placement(queued)
        self._reserved_slots.record_placement(queued.request.rank)

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
        if (
            best_free is not None
            and is_feasible(request, now)
            and self._must_leave_slots(request, now)
        ):
            best_free = None
        service_time_s = request.service_time_s
        if (
            best_free is not None
            and now + best_free.latency_factor * service_time_s <= request.target_at
        ):
            return best_free.load
        if is_feasible(request, now):
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
        return in_flight >= slots - self._reserved_slots.compute_for_feasible(slots)

    def _must_leave_slots(self, request: PlacementRequest, now: float) -> bool:
        """Return whether the free slots are reserved for more urgent requests of other nodes."""
        slots = sum(load.slots for load in self.loads.values())
        reserved = round(
            self._reserved_slots.compute_for_urgent(
                request.rank, slots=slots, node_count=self.node_count
            )
        )
        if not reserved or self._queue.is_starved(request):
            return False
        # A queue at one server takes no free slot from another one.
        free = sum(max(0, load.slots - load.count_in_flight(now)) for load in self.loads.values())
        return free <= reserved

    def _build_overload_error(self, request: PlacementRequest, now: float) -> NotRunError:
        wait_s = max(self.estimate_wait_s(), LATE_RETRY_SHARE * (request.deadline_at - now))
        return NotRunError("overloaded", 503, self._reserve_retry(request, now, wait_s))

    def _reserve_retry(self, request: PlacementRequest, now: float, wait_s: float) -> float:
        """Reserve a time at which a rejected request can be placed; return the time until then.

        :param wait_s: shortest time until then, in seconds.
        """
        retry_at = self._retry_reservations.reserve(
            now,
            earliest_at=now + max(MIN_RETRY_AFTER_S, wait_s),
            deadline_at=request.deadline_at,
            interval_s=1.0 / max(1.0, self._estimate_capacity_per_s()),
        )
        return min(MAX_RETRY_AFTER_S, retry_at - now)

    def _check_queue_limits(self, queued: QueuedRequest, now: float) -> None:
        request = queued.request
        if self._queue.full:
            wait_s = self.estimate_wait_s()
            raise NotRunError("queue-full", 503, self._reserve_retry(request, now, wait_s))
        queue_wait_s = self.estimate_wait_s()
        wait_s = queue_wait_s * self._queue.compute_fraction_ahead(queued, now)
        if now + wait_s + self.service_time_s > request.deadline_at:
            retry_after_s = self._reserve_retry(request, now, queue_wait_s)
            raise NotRunError("queue-too-long", 503, retry_after_s)

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
