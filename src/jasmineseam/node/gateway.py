"""Request handling of a node: routing, server selection, attempts, retries and hedging."""

from __future__ import annotations

import asyncio
import collections
import time
import typing as t

import logbook
from aiohttp import web
from aiohttp.http import RawRequestMessage

from ..exceptions import NotRunError
from ..exceptions import UnknownOutcomeError
from ..membership.registry import ServerRegistry
from ..membership.request_limits import RequestLimit
from ..membership.request_limits import RequestLimits
from ..operations.node_settings import RetryBudgetSettings
from ..operations.request_log import OUTCOME_ANSWERED
from ..operations.request_log import RequestLog
from ..requests.protocol import HeaderCodec
from ..requests.protocol import ResponseHead
from ..requests.protocol import ServerResponse
from ..routing.caller_timeout import CallerTimeoutEstimator
from ..routing.domain_choice import TransferPrices
from ..routing.load import ServerLoad
from ..routing.quotas import Token
from ..routing.routes import CallerLimits
from ..routing.routes import ClientAccount
from ..routing.routes import RouteIndex
from ..routing.routes import RoutingTable
from ..routing.routes import WeightedRoundRobin
from ..transport.caller_connections import CallerConnection
from ..transport.connection_pool import ConnectionPool
from ..transport.request_body import HeldBodies
from ..transport.request_body import HeldBody
from ..transport.request_body import check_content_length
from ..transport.request_body import read_body
from .attempts import AttemptRunner
from .authentication import Authenticator
from .dispatchers import Dispatchers
from .proxied_request import ProxiedRequest
from .proxied_request import build_request_log_line
from .responses import build_not_run_response
from .responses import build_response
from .responses import build_unknown_outcome_response
from .running_requests import RunningRequests
from .warmups import Warmups

# Retry-After time of a response to a request that arrives before the first routing table.
STARTING_RETRY_AFTER_S = 0.5
# Retry-After time of a response to an internal error; short, so that the caller soon switches to
# another node.
INTERNAL_ERROR_RETRY_AFTER_S = 0.1
# Time from arrival to the deadline of a request without a deadline header.
DEFAULT_REQUEST_TIMEOUT_S = 30.0
# The refusals of bodies without memory are logged at most this often.
BODY_LOG_INTERVAL_S = 5.0
# Retry-After time of a request whose deadline passed while it waited for its turn on a connection;
# its caller will hardly wait for that.
LATE_RETRY_AFTER_S = 0.05
_logger = logbook.Logger("gateway")


class Gateway:
    """Forwards callers' requests to backend servers and returns their responses.

    :param node_id: the VM of this node.
    :param failure_domain: the failure domain of this node.
    :param header_codec: decodes and encodes the headers of requests and responses.
    :param registry: the registered servers.
    :param retry_limits: the limits on retries and hedges of each service, summed over all nodes.
    :param request_log: writes a line for each request, within its rate limit.
    :param caller_round_trip_s: network round trip between a caller and the node, in seconds.
    :param transfer_price_s_per_mb: time that sending a megabyte to another failure domain must
        save, in seconds.
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
        caller_round_trip_s: float = 0.0,
        transfer_price_s_per_mb: float = 0.0,
    ) -> None:
        self.node_id = node_id
        self._caller_round_trip_s = caller_round_trip_s
        self._header_codec = header_codec
        self._request_log = request_log
        self.request_limits = RequestLimits(clock=time.monotonic)
        self.warmups = Warmups(registry=registry, request_limits=self.request_limits)
        self._route_index: RouteIndex | None = None
        self.authenticator = Authenticator(
            header_codec=header_codec, get_index=lambda: self._route_index
        )
        self._service_balancer = WeightedRoundRobin()
        self._timeout_estimators: dict[str, CallerTimeoutEstimator] = {}
        self.dispatchers = Dispatchers(
            node_id=node_id,
            failure_domain=failure_domain,
            registry=registry,
            request_limits=self.request_limits,
            is_warmup_limited=self.warmups.is_limited,
            on_server_replaced=lambda address: self.connections.discard(address),
            transfer_prices=TransferPrices(price_s_per_mb=transfer_price_s_per_mb),
        )
        self.attempts = AttemptRunner(
            header_codec=header_codec,
            registry=registry,
            dispatchers=self.dispatchers,
            retry_limits=retry_limits,
            record_server_state=self.record_server_state,
        )
        self.attempts.check_account = self.authenticator.check
        # Called with a server's id and the Unix time of its start in milliseconds if a response
        # reports that the server is leaving.
        self.on_server_leaving: t.Callable[[str, int], None] = lambda server_id, started_ms: None
        # Called when a response changes the limit that its server names.
        self.on_request_limit: t.Callable[[RequestLimit], None] = lambda limit: None
        # Takes a token of an account's quota for a request; raises NotRunError if none is due.
        self.take_token: t.Callable[[ClientAccount | None], t.Awaitable[Token | None]] = (
            _take_no_token
        )
        # Returns the token of a request that was offered to no server.
        self.give_back_token: t.Callable[[Token | None], None] = lambda token: None
        # While set, each caller connection is closed with the last response to its requests.
        self.draining = False
        self.held_bodies = HeldBodies()
        self._bodies_logged_at = float("-inf")
        # Requests that were started before the response to an earlier request of their connection.
        self.read_ahead_counts: collections.Counter[str] = collections.Counter()
        self.in_flight = 0
        self.running_requests = RunningRequests()
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
        return self.attempts.connections

    @property
    def caller_limits(self) -> CallerLimits:
        """Size limits and timeouts for callers' requests and connections."""
        return CallerLimits() if self._route_index is None else self._route_index.table.limits

    def record_server_state(
        self, load: ServerLoad, head: ResponseHead, sent_at: float, *, probe: bool = False
    ) -> None:
        """Act on what a response says of the server beyond its load.

        A server that is leaving gets no new requests. One that has sent a retry time gets none
        until that time is over. The limit that a server names, and that it is cold, is shared with
        the other nodes.

        :param sent_at: monotonic time at which the request was sent, in seconds.
        :param probe: whether the response answers a probe.
        """
        if head.leaving:
            self.on_server_leaving(load.server_id, load.started_ms)
        if head.retry_after_s > 0.0:
            self.dispatchers.pause_server(load, time.monotonic() + head.retry_after_s)
        if head.warmup_left_s is not None and (head.signed or probe):
            warmup = self.warmups.observe_response(
                load.server_id, load.started_ms, head.warmup_left_s, sent_at=sent_at
            )
            if warmup is not None:
                self.dispatchers.apply_request_limits()
                self.on_request_limit(warmup)
        if head.request_limit_per_s is None and not (head.signed or head.not_run or probe):
            # A response that may not be the server's own withdraws no limit.
            return
        limit = self.request_limits.observe(
            load.server_id,
            load.started_ms,
            head.request_limit_per_s,
            sent_at=sent_at,
            probe=probe,
        )
        if limit is not None:
            self.dispatchers.apply_request_limits()
            self.on_request_limit(limit)

    def apply_routing_table(self, table: RoutingTable, *, replace: bool = False) -> bool:
        """Apply a routing table if its version is newer; return whether it was applied.

        :param replace: whether to apply a table of the same version as well.
        """
        if self._route_index is not None:
            oldest = self._route_index.table.version + int(not replace)
            if table.version < oldest:
                return False
        index = RouteIndex(table=table)
        self.authenticator.log_removed_keys(self._route_index, index)
        self._route_index = index
        self.warmups.set_services(table.services)
        self._service_balancer = WeightedRoundRobin()
        names = {route.name for route in table.routes}
        self._timeout_estimators = {
            name: estimator
            for name, estimator in self._timeout_estimators.items()
            if name in names
        }
        self.dispatchers.retain_routes(names)
        self.refresh_servers()
        return True

    def list_services(self) -> set[str]:
        """Return the services that have servers in use."""
        return {
            dispatcher.service for dispatcher in self.dispatchers.list_all() if dispatcher.loads
        }

    def refresh_servers(self) -> None:
        """Update all dispatchers from the server registry."""
        if self._route_index is not None:
            self.warmups.observe_listings()
            self.dispatchers.refresh_servers(self._route_index.services)

    async def handle_request(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request of a caller.

        Every exception except a cancellation is converted to a response that states whether the
        request may have been run.
        """
        self.in_flight += 1
        connection: CallerConnection = request.protocol
        proxied = ProxiedRequest()
        proxied.arrived_at = connection.get_arrived_at(request)
        body = self.held_bodies.open()
        outcome = "cancelled"
        status = 0
        try:
            try:
                if not connection.begin_request():
                    raise NotRunError("head-timeout", 408)
                async with self.running_requests.track(proxied):
                    await self._read_request(request, proxied)
                    service = self._service_balancer.choose_service(proxied.route)
                    if request.body_exists:
                        self._check_before_body(request, proxied, service)
                    server_response = await self._run_within_quota(
                        proxied, service, lambda: self._read_body(request, proxied, body)
                    )
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
                connection.close_after_pending()
            return response
        finally:
            self.in_flight -= 1
            body.close()
            connection.end_request()
            self._record_completion(proxied, outcome, status)

    async def _run_within_quota(
        self,
        proxied: ProxiedRequest,
        service: str,
        read_body: t.Callable[[], t.Awaitable[None]],
    ) -> ServerResponse:
        """Run a request with a token of its account, which is returned if it was not run."""
        token = await self.take_token(proxied.account)
        try:
            await read_body()
            return await self.attempts.run(proxied, service)
        except NotRunError:
            # Servers that have rejected the request have not run it.
            self.give_back_token(token)
            raise
        except asyncio.CancelledError:
            # Another node to which the request was relayed may have offered it to a server.
            if not proxied.sent and not proxied.attempt_trace:
                self.give_back_token(token)
            raise

    def record_relayed(
        self, proxied: ProxiedRequest, outcome: str, status: int, relay_id: str
    ) -> None:
        """Log a request of another node that has ended."""
        now = time.monotonic()
        in_time = outcome == OUTCOME_ANSWERED and now <= proxied.target_at
        if self._request_log.admit(in_time=in_time, now=now):
            line = build_request_log_line(proxied, outcome, status, now)
            line.relay = relay_id
            self._request_log.write(line)

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

    def get_read_ahead_bytes(self, message: RawRequestMessage) -> int | None:
        """Return the usual size of the response to a request, by its head.

        It is ``None`` if the request must not run beside earlier ones of its connection. A request
        that no route matches is refused, so that it matters for no other one.
        """
        index = self._route_index
        if index is None or self.draining:
            return None
        host = message.headers.get("Host", "").partition(":")[0]
        route = index.find_route(host, message.path.partition("?")[0])
        if route is None:
            return 0
        if not route.idempotent:
            return None
        return self.dispatchers.transfer_prices.get_response_bytes(route.name)

    def _check_before_body(
        self, request: web.BaseRequest, proxied: ProxiedRequest, service: str
    ) -> None:
        """Refuse a request that would be refused after its body was read, if that is known.

        :raises NotRunError: if it is refused.
        """
        check_content_length(request, self.caller_limits.body_bytes)
        self.attempts.check_service(proxied, service)

    async def _read_body(
        self, request: web.BaseRequest, proxied: ProxiedRequest, body: HeldBody
    ) -> None:
        if not request.body_exists:
            return
        refused_count = self.held_bodies.refused_count
        try:
            proxied.body = await read_body(
                request,
                self.caller_limits.body_bytes,
                proxied.deadline_at - time.monotonic(),
                body.grow,
            )
        except NotRunError:
            if self.held_bodies.refused_count != refused_count:
                self._log_refused_bodies()
            raise

    def _log_refused_bodies(self) -> None:
        now = time.monotonic()
        if now - self._bodies_logged_at < BODY_LOG_INTERVAL_S:
            return
        self._bodies_logged_at = now
        _logger.warning(
            "No memory for a request body: {} bytes are held; {} refused so far.",
            self.held_bodies.size,
            self.held_bodies.refused_count,
        )

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
        self.authenticator.authenticate(proxied)
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
        if time.monotonic() > proxied.deadline_at:
            raise NotRunError("timeout-in-queue", 503, LATE_RETRY_AFTER_S)

    def _build_internal_error_response(self, proxied: ProxiedRequest) -> web.Response:
        if proxied.sent:
            return build_unknown_outcome_response(UnknownOutcomeError("fault", 502))
        return build_not_run_response(NotRunError("fault", 503, INTERNAL_ERROR_RETRY_AFTER_S))


async def _take_no_token(account: ClientAccount | None) -> None:
    return None


def _count_head_bytes(request: web.BaseRequest) -> int:
    size = len(request.method) + len(request.raw_path)
    for name, value in request.raw_headers:
        size += len(name) + len(value)
    return size
