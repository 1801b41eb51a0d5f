"""A request's way through a node: receive, route, place, attempt, judge, answer."""

from __future__ import annotations

import asyncio
import collections
import random
import time
import typing as t

import logbook
from aiohttp import web
from multidict import CIMultiDict

from ..exceptions import AttemptError
from ..exceptions import AttemptLostError
from ..exceptions import AttemptNotRunError
from ..exceptions import NotRunError
from ..exceptions import UnknownOutcomeError
from ..membership.registry import Registry
from ..operations.journal import ANSWERED
from ..operations.journal import RequestJournal
from ..operations.journal import RequestLine
from ..operations.node_settings import RetryLimits
from ..requests.headers import strip_headers
from ..requests.proxied import RequestHead
from ..requests.proxied import ResponseHead
from ..routing.dispatch import Dispatcher
from ..routing.dispatch import Wanted
from ..routing.load import ServerLoad
from ..routing.patience import RoutePatience
from ..routing.routes import CallerLimits
from ..routing.routes import Route
from ..routing.routes import RouteIndex
from ..routing.routes import RoutingTable
from ..routing.routes import SplitCounter
from ..routing.window import WindowBudget
from ..transport.callers import CallerConnection
from ..transport.connection import Connection
from ..transport.connections import ServerConnections
from .bodies import read_body
from .hedge import race_attempts
from .mesh import LoadNews

STARTING_RETRY_AFTER_S = 0.5
# time for a caller to reach another node after a fault of this one, in seconds
FAULT_RETRY_AFTER_S = 0.1
DEFAULT_DEADLINE_S = 30.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# connections that could not be opened for one request before it is given up
MAX_UNSENT = 5
# a kept connection that was idle for longer may be closing just now, in seconds
UNREPEATABLE_IDLE_S = 4.0
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
# part of the time left that is kept for the answer's way back, in seconds
ANSWER_MARGIN_S = 0.005
SERVER_ERROR = 500
_logger = logbook.Logger("gateway")


class Protocol(t.NamedTuple):
    """How the heads of requests and responses are read and written.

    :param decode_request: reads a caller's headers; raises :exc:`ValueError`.
    :param encode_request: headers for a server: request id, seconds left, the server's id.
    :param decode_response: reads a status and a server's headers.
    :param own_headers: lower-case names of the headers that the node sets by itself.
    """

    decode_request: t.Callable[[t.Mapping[str, str]], RequestHead]
    encode_request: t.Callable[[str, float, str], list[tuple[str, str]]]
    decode_response: t.Callable[[int, t.Mapping[str, str]], ResponseHead]
    own_headers: frozenset[str]


class _Answer(t.NamedTuple):
    status: int
    headers: t.Any
    body: bytes
    head: ResponseHead


class _Request:
    """One request on its way."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "body",
        "deadline_at",
        "dispatcher",
        "excluded",
        "head",
        "headers",
        "method",
        "path",
        "route",
        "sent",
        "target_at",
        "trace",
        "tried_s",
        "usual_s",
        "version",
    )

    def __init__(self) -> None:
        self.arrived_at = time.monotonic()
        self.target_at = self.deadline_at = self.arrived_at
        self.route: Route | None = None
        self.dispatcher: Dispatcher | None = None
        self.head = RequestHead(request_id="", remaining_s=None)
        self.version = -1
        self.excluded: set[str] = set()
        self.usual_s = 0.0
        # servers that may have received it
        self.attempts = 0
        self.sent = False
        self.body = b""
        self.trace: list[str] = []
        # how long its caller has been trying, in seconds
        self.tried_s = 0.0


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
        self._failure_domain = failure_domain
        self._protocol = protocol
        self._registry = registry
        self._retries = retries
        self._news = news
        self._journal = journal
        self._index: RouteIndex | None = None
        self._splits = SplitCounter()
        self._patience: dict[str, RoutePatience] = {}
        self._chooser = random.Random()
        self._budgets: dict[str, WindowBudget] = {}
        self.connections = ServerConnections()
        self.dispatchers: dict[str, Dispatcher] = {}
        self._nodes = 1
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
    def limits(self) -> CallerLimits:
        """What callers may send, and for how long."""
        return CallerLimits() if self._index is None else self._index.table.limits

    def set_nodes(self, count: int) -> None:
        """Take the number of nodes that share the servers."""
        self._nodes = count
        for dispatcher in self.dispatchers.values():
            dispatcher.nodes = count

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
        if self._index is None:
            return
        for service in self._index.services:
            self._refresh_service(service)

    def get_dispatcher(self, service: str) -> Dispatcher:
        """Return the dispatcher of a service."""
        dispatcher = self.dispatchers.get(service)
        if dispatcher is None:
            dispatcher = Dispatcher(
                service=service,
                failure_domain=self._failure_domain,
                clock=time.monotonic,
                chooser=self._chooser,
            )
            dispatcher.nodes = self._nodes
            self.dispatchers[service] = dispatcher
            self._refresh_service(service)
        return dispatcher

    def find_load(self, server_id: str) -> tuple[Dispatcher, ServerLoad] | None:
        """Return what is known of a server, with its dispatcher."""
        for dispatcher in self.dispatchers.values():
            load = dispatcher.loads.get(server_id)
            if load is not None:
                return dispatcher, load
        return None

    def note_report(
        self, dispatcher: Dispatcher, load: ServerLoad, report: t.Any, observed_at: float
    ) -> bool:
        """Take a load report; returns whether it is news."""
        if not load.note_report(report, observed_at):
            return False
        dispatcher.slowness.note(report.slowness)
        return True

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of a caller."""
        self.in_flight += 1
        connection: CallerConnection = request.protocol
        ours = _Request()
        outcome = "cancelled"
        status = 0
        try:
            try:
                if not connection.begin_request():
                    raise NotRunError("head-timeout", 408)
                await self._receive(request, ours)
                answer = await self._run(ours)
                response = self._build_response(request, answer)
                outcome = ANSWERED
            except NotRunError as error:
                response = self._build_refusal(error)
                outcome = f"not-run:{error.reason}"
            except UnknownOutcomeError as error:
                response = self._build_failure(error)
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

    def _note_ended(self, ours: _Request, outcome: str, status: int) -> None:
        now = time.monotonic()
        self.outcomes[outcome] += 1
        kind = outcome.partition(":")[0]
        self.record_duration(now - ours.arrived_at, {"outcome": kind})
        usual = outcome == ANSWERED and now <= ours.target_at
        if self._journal.admit(usual=usual, now=now):
            self._journal.write(_describe_request(ours, outcome, status, now))

    def count_queued(self) -> int:
        """Return how many requests wait for a server."""
        return sum(dispatcher.count_queued() for dispatcher in self.dispatchers.values())

    async def _receive(self, request: web.BaseRequest, ours: _Request) -> None:
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

    async def _run(self, ours: _Request) -> _Answer:
        service = self._splits.pick(ours.route)
        ours.dispatcher = self.get_dispatcher(service)
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

    async def _try_servers(self, ours: _Request, budget: WindowBudget) -> _Answer:
        """Attempt until there is an answer, or nothing more may be attempted."""
        route = ours.route
        unsent = 0
        last: _Answer | AttemptError | None = None
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
                last = last if isinstance(last, AttemptLostError | _Answer) else error
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

    def _has_time(self, ours: _Request) -> bool:
        """Tell whether another attempt could still end before the deadline."""
        return ours.deadline_at - time.monotonic() > ATTEMPT_MIN_SHARE * ours.usual_s

    def _give_up(self, ours: _Request, last: _Answer | AttemptError | None) -> _Answer:
        if isinstance(last, _Answer):
            return last
        if isinstance(last, AttemptLostError):
            raise UnknownOutcomeError(last.reason, 502)
        reason = "no-server" if last is None else last.reason
        retry_after_s = max(0.05, ours.dispatcher.estimate_wait_s())
        raise NotRunError(reason, 503, retry_after_s)

    def _describe_want(self, ours: _Request) -> Wanted:
        return Wanted(
            priority=ours.route.priority,
            usual_s=ours.usual_s,
            target_at=ours.target_at,
            deadline_at=ours.deadline_at,
            excluded=ours.excluded,
        )

    async def _attempt_hedged(
        self, ours: _Request, load: ServerLoad, budget: WindowBudget
    ) -> _Answer:
        first = self._attempt(ours, load)
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
            return self._attempt(ours, other)

        return await race_attempts(
            first,
            delay_s=HEDGE_CHECK_S,
            start_second=start_second,
            is_good=_is_good,
            recheck_s=HEDGE_CHECK_S,
        )

    async def _attempt(self, ours: _Request, load: ServerLoad) -> _Answer:
        """Send the request to one server, and judge what comes back."""
        ours.excluded.add(load.server_id)
        dispatcher = ours.dispatcher
        began_at = time.monotonic()
        token = load.begin(began_at)
        self._news.note_count(load.server_id, len(load.running))
        slowness = load.report.slowness if load.report is not None else 1.0
        age_ms = min(99_999, int((began_at - load.reported_at) * 1000)) if load.report else -1
        result = "cancelled"
        try:
            answer = await self._exchange(ours, load)
            result = str(answer.status)
            finished_at = time.monotonic()
            failed = answer.status >= SERVER_ERROR
            load.note_outcome(failed, finished_at)
            if not failed:
                dispatcher.note_latency(ours.route.name, finished_at - began_at, slowness)
            return answer
        except AttemptError as error:
            result = error.reason
            self._note_failure(load, error)
            raise
        finally:
            load.end(token)
            self._news.note_count(load.server_id, len(load.running))
            dispatcher.note_finished()
            ms = int((time.monotonic() - began_at) * 1000)
            ours.trace.append(f"{load.server_id}:{result}:{ms}ms:x{slowness:g}@{age_ms}ms")

    async def _exchange(self, ours: _Request, load: ServerLoad) -> _Answer:
        idle_limit_s = float("inf") if ours.route.idempotent else UNREPEATABLE_IDLE_S
        connection = await self.connections.acquire(load.address, idle_limit_s)
        answer = None
        try:
            ours.attempts += 1
            answer = await self._converse(ours, load, connection)
        finally:
            if answer is None:
                connection.close()
            else:
                self.connections.release(load.address, connection)
        head = answer.head
        if head.misdirected:
            self._registry.mark_gone(load.server_id)
            raise AttemptNotRunError("misdirected")
        if head.not_run:
            raise AttemptNotRunError("shed")
        if not head.signed and answer.status < SERVER_ERROR:
            raise AttemptLostError("response-unsigned")
        return answer

    async def _converse(self, ours: _Request, load: ServerLoad, connection: Connection) -> _Answer:
        request_id = ours.head.request_id
        remaining_s = ours.deadline_at - time.monotonic() - ANSWER_MARGIN_S
        headers = self._build_headers(ours, load, remaining_s)
        ours.sent = True
        await connection.send(ours.method, ours.path, headers, ours.body)

        def decode(status: int, received: t.Any) -> ResponseHead | None:
            head = self._protocol.decode_response(status, received)
            # a server may reject a request before it has read the id
            rejected = head.not_run and not head.request_id
            if request_id and head.request_id != request_id and not rejected:
                return None
            return head

        exchange = await connection.receive(decode)
        observed_at = time.monotonic()
        head = exchange.head
        report = head.report
        if report is not None and self.note_report(ours.dispatcher, load, report, observed_at):
            self._news.note_report(load.server_id, report, observed_at)
        body, whole = await connection.read_body(exchange, MAX_RESPONSE_BYTES)
        if not whole:
            raise AttemptLostError("response-too-large")
        return _Answer(exchange.status, exchange.headers, body, head)

    def _build_headers(
        self, ours: _Request, load: ServerLoad, remaining_s: float
    ) -> CIMultiDict[str]:
        headers = CIMultiDict(strip_headers(ours.headers, self._protocol.own_headers))
        for name, value in self._protocol.encode_request(
            ours.head.request_id, remaining_s, load.server_id
        ):
            headers[name] = value
        if ours.body or ours.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(ours.body))
        return headers

    def _note_failure(self, load: ServerLoad, error: AttemptError) -> None:
        now = time.monotonic()
        if error.reason == "shed":
            return
        load.note_outcome(True, now)
        if error.reason in ("connect", "misdirected"):
            load.eject(now)

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
        budget.nodes = self._nodes
        return budget

    def _refresh_service(self, service: str) -> None:
        dispatcher = self.dispatchers.get(service)
        if dispatcher is None:
            if self._index is None or service not in self._index.services:
                return
            self.get_dispatcher(service)
            return
        now = time.monotonic()
        loads = {}
        for listed in self._registry.list_usable(service):
            server = listed.server
            load = dispatcher.loads.get(server.server_id)
            changed = load is None or load.address != server.address
            if changed or load.started_ms != listed.listing.started_ms:
                load = ServerLoad(
                    server_id=server.server_id,
                    address=server.address,
                    failure_domain=server.failure_domain,
                    slots=listed.listing.slots,
                    now=now,
                )
                load.started_ms = listed.listing.started_ms
            load.warm_at = listed.warm_at
            loads[server.server_id] = load
        dispatcher.loads = loads

    def _build_response(self, request: web.BaseRequest, answer: _Answer) -> web.Response:
        headers = CIMultiDict(strip_headers(answer.headers))
        body = answer.body if request.method != "HEAD" else None
        return web.Response(status=answer.status, headers=headers, body=body)

    def _build_refusal(self, error: NotRunError) -> web.Response:
        headers = {}
        if error.retry_after_s is not None:
            headers["Retry-After"] = f"{error.retry_after_s:.3f}"
        return web.Response(status=error.status, headers=headers, text=f"{error.reason}\n")

    def _build_failure(self, error: UnknownOutcomeError) -> web.Response:
        return web.Response(status=error.status, text=f"{error.reason}\n")

    def _build_after_fault(self, ours: _Request) -> web.Response:
        if ours.sent:
            return self._build_failure(UnknownOutcomeError("fault", 502))
        return self._build_refusal(NotRunError("fault", 503, FAULT_RETRY_AFTER_S))


def _is_good(answer: _Answer) -> bool:
    return answer.status < SERVER_ERROR


def _count_head_bytes(request: web.BaseRequest) -> int:
    size = len(request.method) + len(request.raw_path)
    for name, value in request.raw_headers:
        size += len(name) + len(value)
    return size


def _describe_request(ours: _Request, outcome: str, status: int, now: float) -> RequestLine:
    line = RequestLine(
        id=ours.head.request_id,
        outcome=outcome,
        status=status,
        ms=round((now - ours.arrived_at) * 1000),
        table=ours.version,
        tried=ours.trace,
    )
    if ours.route is not None:
        line.route = ours.route.name
        line.target_ms = round((ours.target_at - ours.arrived_at) * 1000)
        line.deadline_ms = round((ours.deadline_at - ours.arrived_at) * 1000)
        line.tried_before_ms = round(ours.tried_s * 1000)
    if ours.dispatcher is not None:
        line.service = ours.dispatcher.service
    return line
