"""Attempts to run a request: placement, retries and hedging within a shared retry budget."""

from __future__ import annotations

import asyncio
import collections
import random
import time
import typing as t

from ..exceptions import AttemptError
from ..exceptions import AttemptNotRunError
from ..exceptions import AttemptOutcomeUnknownError
from ..exceptions import NotRunError
from ..exceptions import PathLostError
from ..exceptions import UnknownOutcomeError
from ..membership.registry import ServerRegistry
from ..operations.node_settings import RetryBudgetSettings
from ..requests.protocol import HeaderCodec
from ..requests.protocol import ResponseHead
from ..requests.protocol import ServerResponse
from ..routing.attempt_race import race_attempts
from ..routing.dispatch import REASON_NO_SERVER
from ..routing.dispatch import AccountShare
from ..routing.dispatch import Dispatcher
from ..routing.dispatch import PlacementRequest
from ..routing.hedging import FIRST_HEDGE_CHECK_S
from ..routing.hedging import HEDGE_CHECK_INTERVAL_S
from ..routing.hedging import HEDGE_RESERVED_BUDGET_FRACTION
from ..routing.hedging import find_hedge_cause
from ..routing.home_regions import compute_home_regions
from ..routing.load import ServerLoad
from ..routing.quarantine import Admission
from ..routing.quarantine import CrashQuarantine
from ..routing.queue_order import MAX_QUEUED_REQUESTS
from ..routing.window_retry_budget import SlidingWindowRetryBudget
from ..transport.connection_pool import ConnectionPool
from .crash_reports import CrashDetector
from .dispatchers import Dispatchers
from .proxied_request import ProxiedRequest
from .relays import NoRelayError
from .server_client import MIN_SERVER_ERROR_STATUS
from .server_client import ServerClient

MAX_CONNECT_FAILURES_PER_REQUEST = 5
# With less than this fraction of the expected service time left before the deadline, another
# attempt could not finish in time.
MIN_ATTEMPT_TIME_FRACTION = 0.5
# The latency target is at least this multiple of the expected service time, and at least
# MIN_LATENCY_TARGET_S.
MIN_LATENCY_TARGET_SERVICE_TIME_FACTOR = 1.5
MIN_LATENCY_TARGET_S = 0.15
# With less than this multiple of its service time before its target, a request may be late. It
# exceeds the margin by which the dispatcher decides on that.
LATE_SERVICE_TIME_FACTOR = 1.5
UNAUTHORIZED_STATUS = 401
# Retry-After time of a request whose service has servers in evacuated failure domains only. An
# evacuation lasts longer, but callers with less time left than this could not use its end.
EVACUATED_RETRY_AFTER_S = 1.0


class AttemptRunner:
    """Runs requests on servers.

    :param header_codec: encodes request headers and decodes response headers.
    :param registry: the registered servers.
    :param dispatchers: choose the server of each attempt.
    :param retry_limits: the limits on retries and hedges of each service, summed over all nodes.
    :param record_server_state: called with the load state of a server, the head of its response
        and the time at which the request was sent.
    """

    def __init__(
        self,
        *,
        header_codec: HeaderCodec,
        registry: ServerRegistry,
        dispatchers: Dispatchers,
        retry_limits: RetryBudgetSettings,
        record_server_state: t.Callable[[ServerLoad, ResponseHead, float], None],
    ) -> None:
        self._registry = registry
        self._dispatchers = dispatchers
        self._retry_limits = retry_limits
        self._retry_budgets: dict[str, SlidingWindowRetryBudget] = {}
        # number of hedges by result: started by cause, won, or not started by reason
        self.hedge_counts: collections.Counter[str] = collections.Counter()
        self._server_client = ServerClient(
            header_codec=header_codec,
            registry=registry,
            record_report=dispatchers.record_report,
            record_server_state=record_server_state,
            on_connection_broken=lambda proxied, load: self.crash_detector.start_check(
                proxied, load
            ),
        )
        dispatchers.is_connected = lambda address: self.connections.has_usable(address)
        self.quarantine = CrashQuarantine(clock=time.monotonic)
        self.crash_detector = CrashDetector(
            quarantine=self.quarantine, get_connections=lambda: self.connections
        )
        # Obtains fresh load reports before a request is placed.
        self.refresh_loads: t.Callable[[Dispatcher, PlacementRequest], t.Awaitable[None]] = (
            _keep_loads
        )
        # Raises NotRunError if the key of a request is not valid any more.
        self.check_account: t.Callable[[ProxiedRequest], None] = _accept_account
        # Runs a request through another node.
        self.relay: t.Callable[..., t.Awaitable[ServerResponse]] = _find_no_relay
        # If it is in doubt whether this node reaches a service, waits until that is known, and
        # returns whether it was in doubt.
        self.wait_for_verdict: t.Callable[[Dispatcher], t.Awaitable[bool]] = _have_no_doubt
        self._rng = random.Random()

    @property
    def connections(self) -> ConnectionPool:
        """The pool of connections to servers."""
        return self._server_client.connections

    @property
    def failure_counts(self) -> collections.Counter[str]:
        """Number of attempts without a response that may be forwarded, by reason."""
        return self._server_client.failure_counts

    def set_retry_limits(self, retry_limits: RetryBudgetSettings) -> None:
        """Change the retry limits; attempts counted in the current window are kept."""
        self._retry_limits = retry_limits
        for budget in self._retry_budgets.values():
            budget.set_limits(retry_limits.share, retry_limits.allowance)

    def check_service(self, proxied: ProxiedRequest, service: str) -> None:
        """Refuse a request that no server can take, as far as that is known without waiting.

        :raises NotRunError: if the service is evacuated, or its queue is too long.
        """
        if self._registry.is_evacuated(service):
            raise NotRunError("evacuated", 503, EVACUATED_RETRY_AFTER_S)
        regions = compute_home_regions(proxied.route, proxied.account)
        dispatcher = self._dispatchers.get(service, regions)
        if dispatcher.path.lost:
            # Another node may reach the servers.
            return
        if not dispatcher.loads:
            raise NotRunError(REASON_NO_SERVER, 503, dispatcher.estimate_retry_after_s())
        if not dispatcher.count_queued():
            return
        now = time.monotonic()
        proxied.service_time_s = dispatcher.get_service_time_s(
            proxied.route.name, proxied.route.target_s
        )
        request = self._build_placement_request(proxied)
        # A request without time for its target may also use the queue of a server, so that it is
        # not known whether it is refused. One that may use any free slot is not refused.
        is_late = now + LATE_SERVICE_TIME_FACTOR * proxied.service_time_s > request.target_at
        if is_late or dispatcher.has_suitable_server(request._replace(target_at=float("-inf"))):
            return
        # The queue of client accounts has an order in which this request may come first.
        ready_at = now + dispatcher.estimate_wait_s() + dispatcher.service_time_s
        full = dispatcher.count_queued() >= MAX_QUEUED_REQUESTS
        if full or (proxied.account is None and ready_at > proxied.deadline_at):
            reason = "queue-full" if full else "queue-too-long"
            raise NotRunError(reason, 503, dispatcher.estimate_retry_after_s())

    async def run(self, proxied: ProxiedRequest, service: str) -> ServerResponse:
        """Run a request on the servers of a service until its deadline.

        :returns: the response that is forwarded to the caller.
        :raises NotRunError: if no attempt was or may have been run.
        :raises UnknownOutcomeError: if a server may have run the request, but there is no response
            that may be forwarded to the caller.
        """
        if self._registry.is_evacuated(service):
            raise NotRunError("evacuated", 503, EVACUATED_RETRY_AFTER_S)
        regions = compute_home_regions(proxied.route, proxied.account)
        proxied.dispatcher = self._dispatchers.get(service, regions)
        proxied.service_time_s = proxied.dispatcher.get_service_time_s(
            proxied.route.name, proxied.route.target_s
        )
        budget = self._get_retry_budget(service)
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
        max_attempts = route.max_attempts
        is_trial = False
        may_relay = not proxied.relayed
        last_result: ServerResponse | AttemptError | None = None
        while (
            proxied.attempt_count < max_attempts
            and connect_failures < MAX_CONNECT_FAILURES_PER_REQUEST
        ):
            if proxied.attempt_count > 0 and not (
                self._has_time_for_attempt(proxied) and budget.take_attempt()
            ):
                break
            try:
                self.check_account(proxied)
                if may_relay and not proxied.dispatcher.path.draw_direct(self._rng):
                    self._check_quarantine(proxied, relayed=True)
                    try:
                        return await self.relay(proxied)
                    except NoRelayError:
                        may_relay = False
                if not proxied.counted:
                    proxied.counted = True
                    budget.record_request()
                if not is_trial and self._check_quarantine(proxied).trial:
                    is_trial = True
                    max_attempts = 1
                load = await self._place_attempt(proxied)
                # The request's key may have been removed while it waited for a server.
                self.check_account(proxied)
                if not is_trial:
                    # The request may have been quarantined while it waited for a server.
                    self._check_quarantine(proxied)
            except NotRunError as error:
                if isinstance(error, PathLostError) and may_relay:
                    continue
                if error.reason == REASON_NO_SERVER and await self.wait_for_verdict(
                    proxied.dispatcher
                ):
                    continue
                if last_result is None or (
                    error.status == UNAUTHORIZED_STATUS
                    and isinstance(last_result, AttemptNotRunError)
                ):
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
                await self.crash_detector.wait_for_checks(proxied)
                continue
            self.crash_detector.record_response(proxied, response)
            self._dispatchers.transfer_prices.record_response(route.name, len(response.body))
            if response.status < MIN_SERVER_ERROR_STATUS or not route.idempotent:
                return response
            last_result = response
        return self._return_or_raise_last_result(proxied, last_result)

    async def _place_attempt(self, proxied: ProxiedRequest) -> ServerLoad:
        """Return the server of the next attempt, after waiting for one if necessary.

        :raises NotRunError: if there is none.
        """
        dispatcher = proxied.dispatcher
        request = self._build_placement_request(proxied)
        if dispatcher.path.lost:
            return dispatcher.place_on_open_connection(
                request, lambda load: self.connections.has_idle(load.address)
            )
        await self.refresh_loads(dispatcher, request)
        return await dispatcher.place(request)

    def _check_quarantine(self, proxied: ProxiedRequest, *, relayed: bool = False) -> Admission:
        """Return how the request may be sent.

        :param relayed: whether another node will send it.
        :raises NotRunError: if the request is quarantined.
        """
        admission = self.crash_detector.admit(proxied, relayed=relayed)
        if admission.retry_after_s is not None:
            raise NotRunError("quarantined", 503, admission.retry_after_s)
        return admission

    def _check_account_of_hedge(self, proxied: ProxiedRequest) -> None:
        try:
            self.check_account(proxied)
        except NotRunError as error:
            raise AttemptNotRunError("no-hedge") from error

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
        reason = REASON_NO_SERVER if last_result is None else last_result.reason
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
            idempotent=proxied.route.idempotent,
            transfer_price_s=self._dispatchers.transfer_prices.get_price_s(
                proxied.route.name, len(proxied.body)
            ),
            account=_build_account_share(proxied),
            returned=proxied.elapsed_before_arrival_s > 0.0,
        )

    async def _send_hedged_attempt(
        self, proxied: ProxiedRequest, load: ServerLoad, budget: SlidingWindowRetryBudget
    ) -> ServerResponse:
        route = proxied.route
        if not route.idempotent or proxied.attempt_count + 1 >= route.max_attempts:
            return await self._server_client.send_attempt(proxied, load)
        dispatcher = proxied.dispatcher
        latencies = self._dispatchers.route_latencies
        overdue_s = latencies.get_overdue_s(
            dispatcher.service, route.name, service_time_s=proxied.service_time_s
        )
        started_at = time.monotonic()
        hedge_responses: list[ServerResponse] = []

        async def send_first_attempt() -> ServerResponse:
            response = await self._server_client.send_attempt(proxied, load)
            if _is_success(response):
                latencies.record(dispatcher.service, route.name, time.monotonic() - started_at)
            return response

        def start_hedge() -> t.Coroutine | None:
            if dispatcher.path.lost and not proxied.relayed:
                return send_relayed_hedge()
            now = time.monotonic()
            cause = find_hedge_cause(
                elapsed_s=now - started_at,
                overdue_s=overdue_s,
                slowness=load.get_fresh_slowness(now),
                queued_count=self._dispatchers.count_queued(dispatcher.service),
            )
            return None if cause is None else send_probed_hedge(cause)

        async def send_relayed_hedge() -> ServerResponse:
            self._check_account_of_hedge(proxied)
            if not budget.take_attempt():
                raise AttemptNotRunError("no-hedge")
            try:
                return await self.relay(proxied, hedge=True)
            except NotRunError as error:
                raise AttemptNotRunError(error.reason) from error
            except UnknownOutcomeError as error:
                raise AttemptOutcomeUnknownError(error.reason) from error

        async def send_probed_hedge(cause: str) -> ServerResponse:
            request = self._build_placement_request(proxied)
            await self.refresh_loads(dispatcher, request)
            hedge_server = dispatcher.choose_hedge_server(
                request._replace(target_at=proxied.target_at),
                latencies.get_typical_s(dispatcher.service, route.name),
            )
            self._check_account_of_hedge(proxied)
            if self.crash_detector.is_suspected(proxied):
                raise AttemptNotRunError("no-hedge")
            # Requests may have begun to wait while the load reports were obtained.
            if self._dispatchers.count_queued(dispatcher.service):
                self.hedge_counts["requests-waiting"] += 1
                raise AttemptNotRunError("no-hedge")
            if hedge_server is None:
                self.hedge_counts["no-server"] += 1
                raise AttemptNotRunError("no-hedge")
            if not budget.take_attempt(HEDGE_RESERVED_BUDGET_FRACTION):
                self.hedge_counts["no-budget"] += 1
                raise AttemptNotRunError("no-hedge")
            self.hedge_counts[cause] += 1
            hedge_server.take_token(time.monotonic())
            response = await self._server_client.send_attempt(proxied, hedge_server)
            hedge_responses.append(response)
            return response

        response = await race_attempts(
            send_first_attempt(),
            delay_s=FIRST_HEDGE_CHECK_S,
            start_hedge=start_hedge,
            is_success=_is_success,
            recheck_interval_s=HEDGE_CHECK_INTERVAL_S,
        )
        if any(response is hedge_response for hedge_response in hedge_responses):
            self.hedge_counts["won"] += 1
            latencies.record(dispatcher.service, route.name, time.monotonic() - started_at)
        return response

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
        budget.node_count = self._dispatchers.node_count
        return budget


def _accept_account(proxied: ProxiedRequest) -> None:
    """Accept every request."""


async def _find_no_relay(proxied: ProxiedRequest, *, hedge: bool = False) -> ServerResponse:
    raise NoRelayError


async def _have_no_doubt(dispatcher: Dispatcher) -> bool:
    return False


async def _keep_loads(dispatcher: Dispatcher, request: PlacementRequest) -> None:
    """Leave the load reports as they are."""


def _build_account_share(proxied: ProxiedRequest) -> AccountShare | None:
    account = proxied.account
    if account is None:
        return None
    return AccountShare(account.name, account.priority, account.requests_per_s)


def _is_success(response: ServerResponse) -> bool:
    return response.status < MIN_SERVER_ERROR_STATUS
