"""A request's way through a node: receive, route, place, attempt, judge, answer."""

from __future__ import annotations

import asyncio
import collections
import time
import typing as t

import logbook
from aiohttp import web

from ..exceptions import AttemptError
from ..exceptions import AttemptNotRunError
from ..exceptions import AttemptOutcomeUnknownError
from ..exceptions import NotRunError
from ..exceptions import UnknownOutcomeError
from ..membership.registry import ServerRegistry
from ..operations.node_settings import RetryBudgetSettings
from ..operations.request_log import OUTCOME_ANSWERED
from ..operations.request_log import RequestLog
from ..requests.protocol import HeaderCodec
from ..requests.protocol import ServerResponse
from ..routing.caller_timeout import CallerTimeoutEstimator
from ..routing.dispatch import PlacementRequest
from ..routing.load import ServerLoad
from ..routing.routes import CallerLimits
from ..routing.routes import RouteIndex
from ..routing.routes import RoutingTable
from ..routing.routes import WeightedRoundRobin
from ..routing.window_retry_budget import SlidingWindowRetryBudget
from ..transport.caller_connections import CallerConnection
from ..transport.connection_pool import ConnectionPool
from .dispatchers import Dispatchers
from .hedge import race_attempts
from .load_exchange import LoadUpdateBuffer
from .proxied_request import ProxiedRequest
from .proxied_request import build_request_line
from .request_body import read_body
from .responses import build_not_run_response
from .responses import build_response
from .responses import build_unknown_outcome_response
from .server_client import MIN_SERVER_ERROR_STATUS
from .server_client import ServerClient

STARTING_RETRY_AFTER_S = 0.5
# time for a caller to reach another node after a fault of this one, in seconds
INTERNAL_ERROR_RETRY_AFTER_S = 0.1
DEFAULT_DEADLINE_S = 30.0
# connections that could not be opened for one request before it is given up
MAX_CONNECT_FAILURES_PER_REQUEST = 5
# part of the bound on extra attempts that hedges leave to retries
HEDGE_RESERVED_BUDGET_FRACTION = 0.25
# how often a running attempt is looked at, in seconds
HEDGE_CHECK_PERIOD_S = 0.02
# a host that has become so slow while it runs a request is not waited for
HEDGE_MIN_SLOWNESS = 1.8
# nor is an attempt that has taken this many times the usual
HEDGE_OVERDUE_FACTOR = 1.6
# with less than this part of a request's usual time left, another attempt is of no use
MIN_ATTEMPT_TIME_FRACTION = 0.5
# the least time that counts as a target, as a multiple of the usual, and in seconds
MIN_TARGET_FACTOR = 1.5
MIN_TARGET_S = 0.15
_logger = logbook.Logger("gateway")


class Gateway:
    """Answers callers' requests by servers' answers.

    :param failure_domain: the node's own.
    :param protocol: of callers and servers.
    :param registry: the servers.
    :param retries: the bound on extra attempts.
    :param news: takes what is learnt of load, for the peers.
    :param journal: takes a line for each request.
    :param caller_round_trip_s: time from a caller to the node and back, in seconds.
    """

    def __init__(
        self,
        *,
        failure_domain: str,
        protocol: HeaderCodec,
        registry: ServerRegistry,
        retry_limits: RetryBudgetSettings,
        load_updates: LoadUpdateBuffer,
        journal: RequestLog,
        caller_round_trip_s: float = 0.0,
    ) -> None:
        self._caller_round_trip_s = caller_round_trip_s
        self._protocol = protocol
        self._retries = retry_limits
        self._journal = journal
        self._index: RouteIndex | None = None
        self._splits = WeightedRoundRobin()
        self._patience: dict[str, CallerTimeoutEstimator] = {}
        self._budgets: dict[str, SlidingWindowRetryBudget] = {}
        self.dispatchers = Dispatchers(failure_domain=failure_domain, registry=registry)
        self._attempts = ServerClient(
            protocol=protocol,
            registry=registry,
            load_updates=load_updates,
            record_report=self.dispatchers.record_report,
        )
        self.closing = False
        self.in_flight = 0
        # takes a request's duration in seconds, and its attributes
        self.record_duration: t.Callable[[float, dict[str, str]], None] = lambda *_: None
        self.outcomes: collections.Counter[str] = collections.Counter()

    @property
    def routing_table(self) -> RoutingTable | None:
        """The routing table in force."""
        return None if self._index is None else self._index.table

    @property
    def connections(self) -> ConnectionPool:
        """The kept connections to servers."""
        return self._attempts.connections

    @property
    def caller_limits(self) -> CallerLimits:
        """What callers may send, and for how long."""
        return CallerLimits() if self._index is None else self._index.table.limits

    def set_retry_limits(self, retries: RetryBudgetSettings) -> None:
        """Take another bound on extra attempts; what the window holds still counts."""
        self._retries = retries
        for budget in self._budgets.values():
            budget.set_limits(retries.share, retries.allowance)

    def apply_routing_table(self, table: RoutingTable) -> bool:
        """Put a routing table in force, unless a newer one is; returns whether it was taken."""
        if self._index is not None and table.version <= self._index.table.version:
            return False
        self._index = RouteIndex(table=table)
        self._splits = WeightedRoundRobin()
        names = {route.name for route in table.routes}
        self._patience = {name: held for name, held in self._patience.items() if name in names}
        self.refresh_servers()
        return True

    def refresh_servers(self) -> None:
        """Take what has changed in the list of servers."""
        if self._index is not None:
            self.dispatchers.refresh_servers(self._index.services)

    async def handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of a caller."""
        self.in_flight += 1
        connection: CallerConnection = request.protocol
        ours = ProxiedRequest()
        outcome = "cancelled"
        status = 0
        try:
            try:
                if not connection.begin_request():
                    raise NotRunError("head-timeout", 408)
                await self._receive(request, ours)
                answer = await self._run(ours)
                response = build_response(request.method, answer)
                outcome = OUTCOME_ANSWERED
            except NotRunError as error:
                response = build_not_run_response(error)
                outcome = f"not-run:{error.reason}"
            except UnknownOutcomeError as error:
                response = build_unknown_outcome_response(error)
                outcome = f"unknown:{error.reason}"
            except Exception:
                # a fault of the program: the caller is still told truly whether it may have run
                _logger.exception("Request {} met a fault of the node.", ours.head.request_id)
                response = self._build_after_fault(ours)
                outcome = "fault"
            status = response.status
            if self.closing:
                response.force_close()
            return response
        finally:
            self.in_flight -= 1
            connection.end_request()
            self._note_ended(ours, outcome, status)

    def _note_ended(self, ours: ProxiedRequest, outcome: str, status: int) -> None:
        now = time.monotonic()
        self.outcomes[outcome] += 1
        kind = outcome.partition(":")[0]
        self.record_duration(now - ours.arrived_at, {"outcome": kind})
        usual = outcome == OUTCOME_ANSWERED and now <= ours.target_at
        if self._journal.admit(in_time=usual, now=now):
            self._journal.write(build_request_line(ours, outcome, status, now))

    def count_queued(self) -> int:
        """Return how many requests wait for a server."""
        return sum(dispatcher.count_queued() for dispatcher in self.dispatchers.list_all())

    async def _receive(self, request: web.BaseRequest, ours: ProxiedRequest) -> None:
        try:
            ours.head = self._protocol.decode_request(request.headers)
        except ValueError as error:
            raise NotRunError("deadline-malformed", 400) from error
        index = self._index
        if index is None:
            raise NotRunError("starting", 503, STARTING_RETRY_AFTER_S)
        ours.table_version = index.table.version
        if _count_head_bytes(request) > index.table.limits.header_bytes:
            raise NotRunError("head-too-large", 431)
        ours.method = request.method
        ours.path = request.raw_path
        ours.headers = request.headers
        host = request.headers.get("Host", "")
        route = index.find_route(host.partition(":")[0], ours.path.partition("?")[0])
        if route is None:
            raise NotRunError("no-route", 404)
        ours.route = route
        remaining_s = ours.head.remaining_s
        if remaining_s is None:
            remaining_s = DEFAULT_DEADLINE_S
        else:
            ours.tried_before_s = self._patience.setdefault(
                route.name, CallerTimeoutEstimator()
            ).estimate_elapsed_s(remaining_s)
        if route.timeout_s is not None:
            remaining_s = min(remaining_s, route.timeout_s)
        ours.deadline_at = ours.arrived_at + remaining_s
        target_s = remaining_s if route.target_s is None else min(route.target_s, remaining_s)
        ours.target_at = (
            ours.arrived_at + target_s - self._caller_round_trip_s - ours.tried_before_s
        )
        if request.body_exists:
            limits = index.table.limits
            ours.body = await read_body(request, limits.body_bytes, remaining_s)

    async def _run(self, ours: ProxiedRequest) -> ServerResponse:
        service = self._splits.choose_service(ours.route)
        ours.dispatcher = self.dispatchers.get(service)
        ours.expected_duration_s = ours.dispatcher.get_service_time_s(ours.route.name)
        budget = self._get_budget(service)
        budget.record_request()
        try:
            async with asyncio.timeout_at(ours.deadline_at):
                return await self._try_servers(ours, budget)
        except TimeoutError as error:
            if ours.sent:
                raise UnknownOutcomeError("timeout", 504) from error
            retry_after_s = ours.dispatcher.estimate_wait_s()
            raise NotRunError("timeout-in-queue", 503, retry_after_s) from error

    async def _try_servers(
        self, ours: ProxiedRequest, budget: SlidingWindowRetryBudget
    ) -> ServerResponse:
        """Attempt until there is an answer, or nothing more may be attempted."""
        route = ours.route
        unsent = 0
        last: ServerResponse | AttemptError | None = None
        while (
            ours.attempt_count < route.max_attempts and unsent < MAX_CONNECT_FAILURES_PER_REQUEST
        ):
            if ours.attempt_count > 0 and not (self._has_time(ours) and budget.take_attempt()):
                break
            try:
                load = await ours.dispatcher.place(self._describe_want(ours))
            except NotRunError as error:
                if last is None:
                    raise
                ours.trace.append(error.reason)
                break
            try:
                answer = await self._attempt_hedged(ours, load, budget)
            except AttemptNotRunError as error:
                last = (
                    last
                    if isinstance(last, AttemptOutcomeUnknownError | ServerResponse)
                    else error
                )
                unsent += error.reason == "connect"
                continue
            except AttemptOutcomeUnknownError as error:
                last = error
                if not route.idempotent:
                    break
                continue
            if answer.status < MIN_SERVER_ERROR_STATUS or not route.idempotent:
                return answer
            last = answer
        return self._give_up(ours, last)

    def _has_time(self, ours: ProxiedRequest) -> bool:
        """Tell whether another attempt could still end before the deadline."""
        return (
            ours.deadline_at - time.monotonic()
            > MIN_ATTEMPT_TIME_FRACTION * ours.expected_duration_s
        )

    def _give_up(
        self, ours: ProxiedRequest, last: ServerResponse | AttemptError | None
    ) -> ServerResponse:
        if isinstance(last, ServerResponse):
            return last
        if isinstance(last, AttemptOutcomeUnknownError):
            raise UnknownOutcomeError(last.reason, 502)
        reason = "no-server" if last is None else last.reason
        retry_after_s = max(0.05, ours.dispatcher.estimate_wait_s())
        raise NotRunError(reason, 503, retry_after_s)

    def _describe_want(self, ours: ProxiedRequest) -> PlacementRequest:
        # a target that no idle server could meet does not make a request late from the start
        least_s = (
            max(MIN_TARGET_S, MIN_TARGET_FACTOR * ours.expected_duration_s) - ours.tried_before_s
        )
        return PlacementRequest(
            priority=ours.route.priority,
            service_time_s=ours.expected_duration_s,
            target_at=max(ours.target_at, ours.arrived_at + least_s),
            deadline_at=ours.deadline_at,
            excluded_server_ids=ours.excluded,
        )

    async def _attempt_hedged(
        self, ours: ProxiedRequest, load: ServerLoad, budget: SlidingWindowRetryBudget
    ) -> ServerResponse:
        first = self._attempts.send_attempt(ours, load)
        route = ours.route
        if not route.idempotent or ours.attempt_count + 1 >= route.max_attempts:
            return await first
        dispatcher = ours.dispatcher
        began_at = time.monotonic()

        def start_second() -> t.Coroutine | None:
            now = time.monotonic()
            overdue = now - began_at > HEDGE_OVERDUE_FACTOR * ours.expected_duration_s
            if not overdue and load.get_fresh_slowness(now) < HEDGE_MIN_SLOWNESS:
                return None
            left_s = ours.target_at - now
            other = dispatcher.choose_hedge_server(ours.excluded, ours.expected_duration_s, left_s)
            if other is None or not budget.take_attempt(HEDGE_RESERVED_BUDGET_FRACTION):
                return None
            return self._attempts.send_attempt(ours, other)

        return await race_attempts(
            first,
            delay_s=HEDGE_CHECK_PERIOD_S,
            start_hedge=start_second,
            is_success=_is_good,
            recheck_period_s=HEDGE_CHECK_PERIOD_S,
        )

    def _get_budget(self, service: str) -> SlidingWindowRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = SlidingWindowRetryBudget(
                share=self._retries.share,
                allowance=self._retries.allowance,
                window_s=self._retries.window_s,
                clock=time.monotonic,
            )
            self._budgets[service] = budget
        budget.node_count = self.dispatchers.node_count
        return budget

    def _build_after_fault(self, ours: ProxiedRequest) -> web.Response:
        if ours.sent:
            return build_unknown_outcome_response(UnknownOutcomeError("fault", 502))
        return build_not_run_response(NotRunError("fault", 503, INTERNAL_ERROR_RETRY_AFTER_S))


def _is_good(answer: ServerResponse) -> bool:
    return answer.status < MIN_SERVER_ERROR_STATUS


def _count_head_bytes(request: web.BaseRequest) -> int:
    size = len(request.method) + len(request.raw_path)
    for name, value in request.raw_headers:
        size += len(name) + len(value)
    return size
