"""A request's way through a node: receive, route, place, attempt, judge, answer."""

from __future__ import annotations

import asyncio
import collections
import time
import typing as t

import logbook
from aiohttp import web

from ..exceptions import AttemptError
from ..exceptions import AttemptLostError
from ..exceptions import AttemptNotRunError
from ..exceptions import NotRunError
from ..exceptions import UnknownOutcomeError
from ..membership.registry import Registry
from ..operations.journal import ANSWERED
from ..operations.journal import RequestJournal
from ..operations.node_settings import RetryLimits
from ..requests.proxied import Answer
from ..requests.proxied import Protocol
from ..routing.dispatch import Wanted
from ..routing.load import ServerLoad
from ..routing.patience import RoutePatience
from ..routing.routes import CallerLimits
from ..routing.routes import RouteIndex
from ..routing.routes import RoutingTable
from ..routing.routes import SplitCounter
from ..routing.window import WindowBudget
from ..transport.callers import CallerConnection
from ..transport.connections import ServerConnections
from .answers import build_failure
from .answers import build_refusal
from .answers import build_response
from .bodies import read_body
from .dispatchers import Dispatchers
from .hedge import race_attempts
from .load_news import LoadNews
from .proxied_request import ProxiedRequest
from .proxied_request import describe_request
from .server_attempts import SERVER_ERROR
from .server_attempts import ServerAttempts

STARTING_RETRY_AFTER_S = 0.5
# time for a caller to reach another node after a fault of this one, in seconds
FAULT_RETRY_AFTER_S = 0.1
DEFAULT_DEADLINE_S = 30.0
# connections that could not be opened for one request before it is given up
MAX_UNSENT = 5
# part of the bound on extra attempts that hedges leave to retries
HEDGE_RESERVE = 0.25
# how often a running attempt is looked at, in seconds
HEDGE_CHECK_S = 0.02
# a host that has become so slow while it runs a request is not waited for
HEDGE_SLOWNESS = 1.8
# nor is an attempt that has taken this many times the usual
HEDGE_OVERDUE = 1.6
# with less than this part of a request's usual time left, another attempt is of no use
ATTEMPT_MIN_SHARE = 0.5
# the least time that counts as a target, as a multiple of the usual, and in seconds
LEAST_TARGET_FACTOR = 1.5
LEAST_TARGET_S = 0.15
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
        protocol: Protocol,
        registry: Registry,
        retries: RetryLimits,
        news: LoadNews,
        journal: RequestJournal,
        caller_round_trip_s: float = 0.0,
    ) -> None:
        self._caller_round_trip_s = caller_round_trip_s
        self._protocol = protocol
        self._retries = retries
        self._journal = journal
        self._index: RouteIndex | None = None
        self._splits = SplitCounter()
        self._patience: dict[str, RoutePatience] = {}
        self._budgets: dict[str, WindowBudget] = {}
        self.dispatchers = Dispatchers(failure_domain=failure_domain, registry=registry)
        self._attempts = ServerAttempts(
            protocol=protocol,
            registry=registry,
            news=news,
            note_report=self.dispatchers.note_report,
        )
        self.closing = False
        self.in_flight = 0
        # takes a request's duration in seconds, and its attributes
        self.record_duration: t.Callable[[float, dict[str, str]], None] = lambda *_: None
        self.outcomes: collections.Counter[str] = collections.Counter()

    @property
    def table(self) -> RoutingTable | None:
        """The routing table in force."""
        return None if self._index is None else self._index.table

    @property
    def connections(self) -> ServerConnections:
        """The kept connections to servers."""
        return self._attempts.connections

    @property
    def limits(self) -> CallerLimits:
        """What callers may send, and for how long."""
        return CallerLimits() if self._index is None else self._index.table.limits

    def set_retries(self, retries: RetryLimits) -> None:
        """Take another bound on extra attempts; what the window holds still counts."""
        self._retries = retries
        for budget in self._budgets.values():
            budget.change(retries.share, retries.allowance)

    def take_table(self, table: RoutingTable) -> bool:
        """Put a routing table in force, unless a newer one is; returns whether it was taken."""
        if self._index is not None and table.version <= self._index.table.version:
            return False
        self._index = RouteIndex(table=table)
        self._splits = SplitCounter()
        names = {route.name for route in table.routes}
        self._patience = {name: held for name, held in self._patience.items() if name in names}
        self.refresh()
        return True

    def refresh(self) -> None:
        """Take what has changed in the list of servers."""
        if self._index is not None:
            self.dispatchers.refresh(self._index.services)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
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
                outcome = ANSWERED
            except NotRunError as error:
                response = build_refusal(error)
                outcome = f"not-run:{error.reason}"
            except UnknownOutcomeError as error:
                response = build_failure(error)
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
        usual = outcome == ANSWERED and now <= ours.target_at
        if self._journal.admit(usual=usual, now=now):
            self._journal.write(describe_request(ours, outcome, status, now))

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
        ours.version = index.table.version
        if _count_head_bytes(request) > index.table.limits.header_bytes:
            raise NotRunError("head-too-large", 431)
        ours.method = request.method
        ours.path = request.raw_path
        ours.headers = request.headers
        host = request.headers.get("Host", "")
        route = index.find(host.partition(":")[0], ours.path.partition("?")[0])
        if route is None:
            raise NotRunError("no-route", 404)
        ours.route = route
        remaining_s = ours.head.remaining_s
        if remaining_s is None:
            remaining_s = DEFAULT_DEADLINE_S
        else:
            ours.tried_s = self._patience.setdefault(route.name, RoutePatience()).note(remaining_s)
        if route.timeout_s is not None:
            remaining_s = min(remaining_s, route.timeout_s)
        ours.deadline_at = ours.arrived_at + remaining_s
        target_s = remaining_s if route.target_s is None else min(route.target_s, remaining_s)
        ours.target_at = ours.arrived_at + target_s - self._caller_round_trip_s - ours.tried_s
        if request.body_exists:
            limits = index.table.limits
            ours.body = await read_body(request, limits.body_bytes, remaining_s)

    async def _run(self, ours: ProxiedRequest) -> Answer:
        service = self._splits.pick(ours.route)
        ours.dispatcher = self.dispatchers.get(service)
        ours.usual_s = ours.dispatcher.get_usual_s(ours.route.name)
        budget = self._get_budget(service)
        budget.note_request()
        try:
            async with asyncio.timeout_at(ours.deadline_at):
                return await self._try_servers(ours, budget)
        except TimeoutError as error:
            if ours.sent:
                raise UnknownOutcomeError("timeout", 504) from error
            retry_after_s = ours.dispatcher.estimate_wait_s()
            raise NotRunError("timeout-in-queue", 503, retry_after_s) from error

    async def _try_servers(self, ours: ProxiedRequest, budget: WindowBudget) -> Answer:
        """Attempt until there is an answer, or nothing more may be attempted."""
        route = ours.route
        unsent = 0
        last: Answer | AttemptError | None = None
        while ours.attempts < route.max_attempts and unsent < MAX_UNSENT:
            if ours.attempts > 0 and not (self._has_time(ours) and budget.take()):
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
                last = last if isinstance(last, AttemptLostError | Answer) else error
                unsent += error.reason == "connect"
                continue
            except AttemptLostError as error:
                last = error
                if not route.idempotent:
                    break
                continue
            if answer.status < SERVER_ERROR or not route.idempotent:
                return answer
            last = answer
        return self._give_up(ours, last)

    def _has_time(self, ours: ProxiedRequest) -> bool:
        """Tell whether another attempt could still end before the deadline."""
        return ours.deadline_at - time.monotonic() > ATTEMPT_MIN_SHARE * ours.usual_s

    def _give_up(self, ours: ProxiedRequest, last: Answer | AttemptError | None) -> Answer:
        if isinstance(last, Answer):
            return last
        if isinstance(last, AttemptLostError):
            raise UnknownOutcomeError(last.reason, 502)
        reason = "no-server" if last is None else last.reason
        retry_after_s = max(0.05, ours.dispatcher.estimate_wait_s())
        raise NotRunError(reason, 503, retry_after_s)

    def _describe_want(self, ours: ProxiedRequest) -> Wanted:
        # a target that no idle server could meet does not make a request late from the start
        least_s = max(LEAST_TARGET_S, LEAST_TARGET_FACTOR * ours.usual_s) - ours.tried_s
        return Wanted(
            priority=ours.route.priority,
            usual_s=ours.usual_s,
            target_at=max(ours.target_at, ours.arrived_at + least_s),
            deadline_at=ours.deadline_at,
            excluded=ours.excluded,
        )

    async def _attempt_hedged(
        self, ours: ProxiedRequest, load: ServerLoad, budget: WindowBudget
    ) -> Answer:
        first = self._attempts.attempt(ours, load)
        route = ours.route
        if not route.idempotent or ours.attempts + 1 >= route.max_attempts:
            return await first
        dispatcher = ours.dispatcher
        began_at = time.monotonic()

        def start_second() -> t.Coroutine | None:
            now = time.monotonic()
            overdue = now - began_at > HEDGE_OVERDUE * ours.usual_s
            if not overdue and load.get_fresh_slowness(now) < HEDGE_SLOWNESS:
                return None
            left_s = ours.target_at - now
            other = dispatcher.pick_hedge(ours.excluded, ours.usual_s, left_s)
            if other is None or not budget.take(HEDGE_RESERVE):
                return None
            return self._attempts.attempt(ours, other)

        return await race_attempts(
            first,
            delay_s=HEDGE_CHECK_S,
            start_second=start_second,
            is_good=_is_good,
            recheck_s=HEDGE_CHECK_S,
        )

    def _get_budget(self, service: str) -> WindowBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = WindowBudget(
                share=self._retries.share,
                allowance=self._retries.allowance,
                window_s=self._retries.window_s,
                clock=time.monotonic,
            )
            self._budgets[service] = budget
        budget.nodes = self.dispatchers.nodes
        return budget

    def _build_after_fault(self, ours: ProxiedRequest) -> web.Response:
        if ours.sent:
            return build_failure(UnknownOutcomeError("fault", 502))
        return build_refusal(NotRunError("fault", 503, FAULT_RETRY_AFTER_S))


def _is_good(answer: Answer) -> bool:
    return answer.status < SERVER_ERROR


def _count_head_bytes(request: web.BaseRequest) -> int:
    size = len(request.method) + len(request.raw_path)
    for name, value in request.raw_headers:
        size += len(name) + len(value)
    return size
