"""Request handling of a node: routing, server selection, attempts, retries and hedging."""

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
from ..requests.protocol import ResponseHead
from ..requests.protocol import ServerResponse
from ..routing.caller_timeout import CallerTimeoutEstimator
from ..routing.dispatch import Dispatcher
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
from .proxied_request import ProxiedRequest
from .proxied_request import build_request_log_line
from .request_body import read_body
from .responses import build_not_run_response
from .responses import build_response
from .responses import build_unknown_outcome_response
from .server_client import MIN_SERVER_ERROR_STATUS
from .server_client import ServerClient

# Retry-After time of a response to a request that arrives before the first routing table.
STARTING_RETRY_AFTER_S = 0.5
# Retry-After time of a response to an internal error; short, so that the caller soon switches to
# another node.
INTERNAL_ERROR_RETRY_AFTER_S = 0.1
# Time from arrival to the deadline of a request without a deadline header.
DEFAULT_REQUEST_TIMEOUT_S = 30.0
MAX_CONNECT_FAILURES_PER_REQUEST = 5
# Hedges leave this fraction of the retry budget to retries.
HEDGE_RESERVED_BUDGET_FRACTION = 0.25
# Interval at which a running attempt is checked for hedging.
HEDGE_CHECK_INTERVAL_S = 0.02
# A hedge is started if the server of the first attempt reports at least this slowness: the current
# service time on its host as a multiple of the normal one.
HEDGE_MIN_SLOWNESS = 1.8
# A hedge is also started if the first attempt takes longer than this multiple of the expected
# service time.
HEDGE_OVERDUE_FACTOR = 1.6
# With less than this fraction of the expected service time left before the deadline, another
# attempt could not finish in time.
MIN_ATTEMPT_TIME_FRACTION = 0.5
# The latency target is at least this multiple of the expected service time, and at least
# MIN_LATENCY_TARGET_S.
MIN_LATENCY_TARGET_SERVICE_TIME_FACTOR = 1.5
MIN_LATENCY_TARGET_S = 0.15
_logger = logbook.Logger("gateway")


class Gateway:
    """Forwards callers' requests to backend servers and returns their responses.

    :param node_id: the VM of this node.
    :param failure_domain: the failure domain of this node.
    :param header_codec: decodes and encodes the headers of requests and responses.
    :param registry: the registered servers.
    :param retry_limits: the limits on retries and hedges of each service, summed over all nodes.
    :param request_log: writes a line for each request, within its rate limit.
    :param on_server_leaving: called with a server's id and the Unix time of its start in
        milliseconds if a response reports that the server is leaving.
    :param caller_round_trip_s: network round trip between a caller and the node, in seconds.
    """

    def __init__(
        self,
        *,
        node_id: str,
        failure_domain: str,
        header_codec: HeaderCodec,
        registry: ServerRegistry,
        retry_limits: RetryBudgetSettings,
        request_log: RequestLog,
        on_server_leaving: t.Callable[[str, int], None] = lambda server_id, started_ms: None,
        caller_round_trip_s: float = 0.0,
    ) -> None:
        self._caller_round_trip_s = caller_round_trip_s
        self._header_codec = header_codec
        self._retry_limits = retry_limits
        self._request_log = request_log
        self._route_index: RouteIndex | None = None
        self._service_balancer = WeightedRoundRobin()
        self._timeout_estimators: dict[str, CallerTimeoutEstimator] = {}
        self._retry_budgets: dict[str, SlidingWindowRetryBudget] = {}
        self.dispatchers = Dispatchers(
            node_id=node_id,
            failure_domain=failure_domain,
            registry=registry,
            on_server_replaced=lambda address: self.connections.discard(address),
        )
        self._server_client = ServerClient(
            header_codec=header_codec,
            registry=registry,
            record_report=self.dispatchers.record_report,
            record_server_state=self.record_server_state,
        )
        self._on_server_leaving = on_server_leaving
        # While set, each response closes its caller connection.
        self.draining = False
        # Obtains fresh load reports before a request is placed.
        self.refresh_loads: t.Callable[[Dispatcher, PlacementRequest], t.Awaitable[None]] = (
            _keep_loads
        )
        self.in_flight = 0
        # Called with the duration of each request in seconds and its metric attributes.
        self.record_duration: t.Callable[[float, dict[str, str]], None] = lambda *_: None
        self.outcome_counts: collections.Counter[str] = collections.Counter()

    @property
    def routing_table(self) -> RoutingTable | None:
        """The current routing table, ``None`` before the first one is received."""
        return None if self._route_index is None else self._route_index.table

    @property
    def connections(self) -> ConnectionPool:
        """The pool of connections to servers."""
        return self._server_client.connections

    @property
    def caller_limits(self) -> CallerLimits:
        """Size limits and timeouts for callers' requests and connections."""
        return CallerLimits() if self._route_index is None else self._route_index.table.limits

    def record_server_state(self, load: ServerLoad, head: ResponseHead) -> None:
        """Act on what a response says of the server beyond its load.

        A server that is leaving gets no new requests. One that has sent a retry time gets none
        until that time is over.
        """
        if head.leaving:
            self._on_server_leaving(load.server_id, load.started_ms)
        if head.retry_after_s > 0.0:
            self.dispatchers.pause_server(load, time.monotonic() + head.retry_after_s)

    def set_retry_limits(self, retry_limits: RetryBudgetSettings) -> None:
        """Change the retry limits; attempts counted in the current window are kept."""
        self._retry_limits = retry_limits
        for budget in self._retry_budgets.values():
            budget.set_limits(retry_limits.share, retry_limits.allowance)

    def apply_routing_table(self, table: RoutingTable) -> bool:
        """Apply a routing table if its version is newer; return whether it was applied."""
        if self._route_index is not None and table.version <= self._route_index.table.version:
            return False
        self._route_index = RouteIndex(table=table)
        self._service_balancer = WeightedRoundRobin()
        names = {route.name for route in table.routes}
        self._timeout_estimators = {
            name: estimator
            for name, estimator in self._timeout_estimators.items()
            if name in names
        }
        self.refresh_servers()
        return True

    def refresh_servers(self) -> None:
        """Update all dispatchers from the server registry."""
        if self._route_index is not None:
            self.dispatchers.refresh_servers(self._route_index.services)

    async def handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request of a caller.

        Every exception except a cancellation is converted to a response that states whether the
        request may have been run.
        """
        self.in_flight += 1
        connection: CallerConnection = request.protocol
        proxied = ProxiedRequest()
        outcome = "cancelled"
        status = 0
        try:
            try:
                if not connection.begin_request():
                    raise NotRunError("head-timeout", 408)
                await self._read_request(request, proxied)
                server_response = await self._run_attempts_before_deadline(proxied)
                response = build_response(request.method, server_response)
                outcome = OUTCOME_ANSWERED
            except NotRunError as error:
                response = build_not_run_response(error)
                outcome = f"not-run:{error.reason}"
            except UnknownOutcomeError as error:
                response = build_unknown_outcome_response(error)
                outcome = f"unknown:{error.reason}"
            except Exception:
                # The response to an internal error must also state whether the request may have
                # been run.
                _logger.exception(
                    "Internal error while handling request {}; returning an error response.",
                    proxied.head.request_id,
                )
                response = self._build_internal_error_response(proxied)
                outcome = "fault"
            status = response.status
            if self.draining:
                response.force_close()
            return response
        finally:
            self.in_flight -= 1
            connection.end_request()
            self._record_completion(proxied, outcome, status)

    def _record_completion(self, proxied: ProxiedRequest, outcome: str, status: int) -> None:
        now = time.monotonic()
        self.outcome_counts[outcome] += 1
        outcome_class = outcome.partition(":")[0]
        self.record_duration(now - proxied.arrived_at, {"outcome": outcome_class})
        in_time = outcome == OUTCOME_ANSWERED and now <= proxied.target_at
        if self._request_log.admit(in_time=in_time, now=now):
            self._request_log.write(build_request_log_line(proxied, outcome, status, now))

    def count_queued(self) -> int:
        """Return the number of requests queued for a server."""
        return sum(dispatcher.count_queued() for dispatcher in self.dispatchers.list_all())

    async def _read_request(self, request: web.BaseRequest, proxied: ProxiedRequest) -> None:
        try:
            proxied.head = self._header_codec.decode_request(request.headers)
        except ValueError as error:
            raise NotRunError("deadline-malformed", 400) from error
        index = self._route_index
        if index is None:
            raise NotRunError("starting", 503, STARTING_RETRY_AFTER_S)
        proxied.table_version = index.table.version
        if _count_head_bytes(request) > index.table.limits.header_bytes:
            raise NotRunError("head-too-large", 431)
        proxied.method = request.method
        proxied.path = request.raw_path
        proxied.headers = request.headers
        host = request.headers.get("Host", "")
        route = index.find_route(host.partition(":")[0], proxied.path.partition("?")[0])
        if route is None:
            raise NotRunError("no-route", 404)
        proxied.route = route
        remaining_s = proxied.head.remaining_s
        if remaining_s is None:
            remaining_s = DEFAULT_REQUEST_TIMEOUT_S
        else:
            proxied.elapsed_before_arrival_s = self._timeout_estimators.setdefault(
                route.name, CallerTimeoutEstimator()
            ).estimate_elapsed_s(remaining_s)
        if route.timeout_s is not None:
            remaining_s = min(remaining_s, route.timeout_s)
        proxied.deadline_at = proxied.arrived_at + remaining_s
        target_s = remaining_s if route.target_s is None else min(route.target_s, remaining_s)
        # The latency target covers the network round trip and starts with the caller's first
        # attempt, so the round trip and the time spent on earlier attempts are subtracted.
        proxied.target_at = (
            proxied.arrived_at
            + target_s
            - self._caller_round_trip_s
            - proxied.elapsed_before_arrival_s
        )
        if request.body_exists:
            limits = index.table.limits
            proxied.body = await read_body(request, limits.body_bytes, remaining_s)

    async def _run_attempts_before_deadline(self, proxied: ProxiedRequest) -> ServerResponse:
        service = self._service_balancer.choose_service(proxied.route)
        proxied.dispatcher = self.dispatchers.get(service)
        proxied.service_time_s = proxied.dispatcher.get_service_time_s(proxied.route.name)
        budget = self._get_retry_budget(service)
        budget.record_request()
        try:
            async with asyncio.timeout_at(proxied.deadline_at):
                return await self._run_attempts(proxied, budget)
        except TimeoutError as error:
            if proxied.sent:
                raise UnknownOutcomeError("timeout", 504) from error
            retry_after_s = proxied.dispatcher.estimate_retry_after_s()
            raise NotRunError("timeout-in-queue", 503, retry_after_s) from error

    async def _run_attempts(
        self, proxied: ProxiedRequest, budget: SlidingWindowRetryBudget
    ) -> ServerResponse:
        """Send attempts until one succeeds or no further attempt is allowed.

        :returns: the first response that is successful or must not be retried; otherwise the error
            response of the last attempt that was or may have been run.
        :raises NotRunError: if no attempt was or may have been run.
        :raises UnknownOutcomeError: if the last attempt that may have been run has no response
            that may be forwarded to the caller.
        """
        route = proxied.route
        connect_failures = 0
        last_result: ServerResponse | AttemptError | None = None
        while (
            proxied.attempt_count < route.max_attempts
            and connect_failures < MAX_CONNECT_FAILURES_PER_REQUEST
        ):
            if proxied.attempt_count > 0 and not (
                self._has_time_for_attempt(proxied) and budget.take_attempt()
            ):
                break
            try:
                placement_request = self._build_placement_request(proxied)
                await self.refresh_loads(proxied.dispatcher, placement_request)
                load = await proxied.dispatcher.place(placement_request)
            except NotRunError as error:
                if last_result is None:
                    raise
                proxied.attempt_trace.append(error.reason)
                break
            try:
                response = await self._send_hedged_attempt(proxied, load, budget)
            except AttemptNotRunError as error:
                # An earlier attempt that was or may have been run determines the outcome.
                last_result = (
                    last_result
                    if isinstance(last_result, AttemptOutcomeUnknownError | ServerResponse)
                    else error
                )
                connect_failures += error.reason == "connect"
                continue
            except AttemptOutcomeUnknownError as error:
                last_result = error
                if not route.idempotent:
                    break
                continue
            if response.status < MIN_SERVER_ERROR_STATUS or not route.idempotent:
                return response
            last_result = response
        return self._return_or_raise_last_result(proxied, last_result)

    def _has_time_for_attempt(self, proxied: ProxiedRequest) -> bool:
        """Return whether another attempt could finish before the deadline."""
        return (
            proxied.deadline_at - time.monotonic()
            > MIN_ATTEMPT_TIME_FRACTION * proxied.service_time_s
        )

    def _return_or_raise_last_result(
        self, proxied: ProxiedRequest, last_result: ServerResponse | AttemptError | None
    ) -> ServerResponse:
        if isinstance(last_result, ServerResponse):
            return last_result
        if isinstance(last_result, AttemptOutcomeUnknownError):
            raise UnknownOutcomeError(last_result.reason, 502)
        reason = "no-server" if last_result is None else last_result.reason
        raise NotRunError(reason, 503, proxied.dispatcher.estimate_retry_after_s())

    def _build_placement_request(self, proxied: ProxiedRequest) -> PlacementRequest:
        # Even an idle server cannot meet a latency target below these lower bounds. Without them,
        # the dispatcher would treat the request as late on arrival and could reject it.
        min_target_s = (
            max(
                MIN_LATENCY_TARGET_S,
                MIN_LATENCY_TARGET_SERVICE_TIME_FACTOR * proxied.service_time_s,
            )
            - proxied.elapsed_before_arrival_s
        )
        return PlacementRequest(
            priority=proxied.route.priority,
            service_time_s=proxied.service_time_s,
            target_at=max(proxied.target_at, proxied.arrived_at + min_target_s),
            deadline_at=proxied.deadline_at,
            excluded_server_ids=proxied.excluded_server_ids,
        )

    async def _send_hedged_attempt(
        self, proxied: ProxiedRequest, load: ServerLoad, budget: SlidingWindowRetryBudget
    ) -> ServerResponse:
        first_attempt = self._server_client.send_attempt(proxied, load)
        route = proxied.route
        if not route.idempotent or proxied.attempt_count + 1 >= route.max_attempts:
            return await first_attempt
        dispatcher = proxied.dispatcher
        started_at = time.monotonic()

        def start_hedge() -> t.Coroutine | None:
            now = time.monotonic()
            overdue = now - started_at > HEDGE_OVERDUE_FACTOR * proxied.service_time_s
            if not overdue and load.get_fresh_slowness(now) < HEDGE_MIN_SLOWNESS:
                return None
            return send_probed_hedge()

        async def send_probed_hedge() -> ServerResponse:
            await self.refresh_loads(dispatcher, self._build_placement_request(proxied))
            time_to_target_s = proxied.target_at - time.monotonic()
            hedge_server = dispatcher.choose_hedge_server(
                proxied.excluded_server_ids, proxied.service_time_s, time_to_target_s
            )
            if hedge_server is None or not budget.take_attempt(HEDGE_RESERVED_BUDGET_FRACTION):
                raise AttemptNotRunError("no-hedge")
            return await self._server_client.send_attempt(proxied, hedge_server)

        return await race_attempts(
            first_attempt,
            delay_s=HEDGE_CHECK_INTERVAL_S,
            start_hedge=start_hedge,
            is_success=_is_success,
            recheck_interval_s=HEDGE_CHECK_INTERVAL_S,
        )

    def _get_retry_budget(self, service: str) -> SlidingWindowRetryBudget:
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = SlidingWindowRetryBudget(
                share=self._retry_limits.share,
                allowance=self._retry_limits.allowance,
                window_s=self._retry_limits.window_s,
                clock=time.monotonic,
            )
            self._retry_budgets[service] = budget
        budget.node_count = self.dispatchers.node_count
        return budget

    def _build_internal_error_response(self, proxied: ProxiedRequest) -> web.Response:
        if proxied.sent:
            return build_unknown_outcome_response(UnknownOutcomeError("fault", 502))
        return build_not_run_response(NotRunError("fault", 503, INTERNAL_ERROR_RETRY_AFTER_S))


async def _keep_loads(dispatcher: Dispatcher, request: PlacementRequest) -> None:
    """Leave the load reports as they are."""


def _is_success(response: ServerResponse) -> bool:
    return response.status < MIN_SERVER_ERROR_STATUS


def _count_head_bytes(request: web.BaseRequest) -> int:
    size = len(request.method) + len(request.raw_path)
    for name, value in request.raw_headers:
        size += len(name) + len(value)
    return size
