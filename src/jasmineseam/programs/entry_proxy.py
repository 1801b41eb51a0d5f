"""A request's way through the entry: receive, look up, admit, choose, attempt, judge, answer."""

from __future__ import annotations

import collections
import time
import typing as t

from aiohttp import web
from multidict import CIMultiDict

from .. import invariants
from ..exceptions import AttemptError
from ..exceptions import AttemptNotRunError
from ..exceptions import AttemptOutcomeUnknownError
from ..exceptions import InvariantError
from ..exceptions import NotRunError
from ..exceptions import UnknownOutcomeError
from ..requests.headers import strip_hop_by_hop_headers
from ..requests.idempotency_key import IDEMPOTENCY_KEY_HEADER
from ..requests.inbound_request import DEADLINE_HEADER
from ..requests.inbound_request import EXTRA_ATTEMPT_HEADER
from ..requests.inbound_request import HEADERS_SET_BY_ENTRY
from ..requests.inbound_request import InboundRequest
from ..requests.outcome import OUTCOME_HEADER
from ..requests.outcome import CallerResponse
from ..requests.outcome import Outcome
from ..requests.outcome import build_not_run_response
from ..requests.outcome import build_unknown_outcome_response
from ..routing.pool import ServerPool
from ..routing.server_selection import ServerSelector
from .agent_replica import AgentReplica
from .attempt_sender import SERVER_ERROR_STATUSES
from .attempt_sender import AttemptSender
from .attempt_sender import StreamingResponse
from .hedge import race_attempts
from .keyed_requests import KeyedRequests
from .request_body import read_body

MAX_ATTEMPTS = 4
MAX_KEYED_RESPONSE_BYTES = 16 * 1024 * 1024
STARTING_RETRY_AFTER_S = 1.0
NO_SERVER_RETRY_AFTER_S = 1.0
REASONS_BEFORE_LEDGER_LOOKUP = frozenset({"starting", "no-such-service"})


class EntryProxy:
    """Serves the callers of one entry process.

    :param mirror: the agent's state.
    :param sender: sends attempts.
    :param homes: decides on keyed requests.
    :param body_timeout_s: the longest that a caller may take over a body, in seconds.
    :param make_choice: replaces the choice of a server.
    """

    def __init__(
        self,
        *,
        replica: AgentReplica,
        sender: AttemptSender,
        keyed_requests: KeyedRequests,
        body_timeout_s: float,
        make_choice: t.Callable[[], ServerSelector] | None = None,
    ) -> None:
        self._replica = replica
        self._sender = sender
        self._keyed_requests = keyed_requests
        self._body_timeout_s = body_timeout_s
        self._make_choice = make_choice
        self.pools: dict[str, ServerPool] = {}
        self.closing = False
        self.in_flight = 0
        self.outcomes: collections.Counter[tuple[str, str]] = collections.Counter()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request of a caller."""
        self.in_flight += 1
        try:
            inbound = await self._receive(request)
            if inbound.key and not inbound.idempotent:
                answer = await self._keyed_requests.run(inbound)
            else:
                answer = await self._run(inbound, request)
        except NotRunError as error:
            answer = self._refuse(request, error)
        except UnknownOutcomeError as error:
            answer = build_unknown_outcome_response(error)
            self.outcomes["unknown", error.reason] += 1
        except InvariantError:
            answer = build_unknown_outcome_response(UnknownOutcomeError("invariant", 500))
            self.outcomes["unknown", "invariant"] += 1
        finally:
            self.in_flight -= 1
        if isinstance(answer, web.StreamResponse):
            return answer
        return self._respond(request, answer)

    async def run_keyed_request(self, inbound: InboundRequest) -> CallerResponse:
        """Run a keyed request whose home is this process.

        :raises NotRunError: it was not run.
        :raises UnknownOutcomeError: it may have been run.
        """
        pool = self._get_pool(inbound.service)
        await self._admit(pool, inbound)
        began_at = time.monotonic()
        try:
            answer = await self._try_servers(pool, inbound, MAX_KEYED_RESPONSE_BYTES)
        finally:
            pool.admission.release(time.monotonic() - began_at)
        if isinstance(answer, StreamingResponse):
            answer.close()
            raise UnknownOutcomeError("answer-too-large")
        return answer

    def build_inbound_request(
        self,
        method: str,
        path: str,
        service: str,
        headers: list[tuple[str, str]],
        remaining_s: float,
    ) -> InboundRequest:
        """Look up a request's service, and put together what the catalogue says of it.

        :raises NotRunError: if there is no such service here.
        """
        if not self._replica.ready:
            raise NotRunError("starting", 503, STARTING_RETRY_AFTER_S)
        state = self._replica.states.get(service)
        if state is None or state.entry is None:
            raise NotRunError("no-such-service", 404)
        entry = state.entry
        plain_path = path.partition("?")[0]
        limit_s = entry.limits.deadline_ms / 1000
        return InboundRequest(
            entry=entry,
            method=method,
            path=path,
            headers=headers,
            body=b"",
            deadline_at=time.monotonic() + min(limit_s, remaining_s),
            idempotent=entry.is_idempotent(method, plain_path),
            traffic_class=entry.find_traffic_class(method, plain_path),
        )

    def update_pools(self) -> None:
        """Take what changed in the catalogue, the servers or the number of entries."""
        processes = self._replica.entry_process_count
        for service, pool in list(self.pools.items()):
            state = self._replica.states.get(service)
            if state is None or state.entry is None:
                if pool.admission.in_flight == 0:
                    del self.pools[service]
                continue
            pool.reconfigure(state.entry, processes)

    async def _receive(self, request: web.BaseRequest) -> InboundRequest:
        headers = request.headers
        path = request.raw_path
        if not path.startswith("/"):
            raise NotRunError("path-malformed", 400)
        service = headers.get("Host", "").partition(":")[0].lower()
        remaining_s = _parse_deadline(headers.get(DEADLINE_HEADER))
        stripped = strip_hop_by_hop_headers(headers, HEADERS_SET_BY_ENTRY)
        inbound = self.build_inbound_request(request.method, path, service, stripped, remaining_s)
        inbound.key = headers.get(IDEMPOTENCY_KEY_HEADER, "")
        inbound.extra = EXTRA_ATTEMPT_HEADER in headers
        if request.body_exists:
            limit = inbound.entry.limits.body_bytes
            inbound.body = await read_body(request, limit, self._body_timeout_s)
        return inbound

    async def _run(
        self, inbound: InboundRequest, request: web.BaseRequest
    ) -> CallerResponse | web.StreamResponse:
        pool = self._get_pool(inbound.service)
        await self._admit(pool, inbound)
        began_at = time.monotonic()
        try:
            answer = await self._try_servers(pool, inbound, inbound.entry.limits.buffer_bytes)
            if isinstance(answer, StreamingResponse):
                return await self._stream(request, answer)
            return answer
        finally:
            pool.admission.release(time.monotonic() - began_at)

    def _get_pool(self, service: str) -> ServerPool:
        pool = self.pools.get(service)
        if pool is not None:
            return pool
        entry = self._replica.states[service].entry
        choose = self._make_choice() if self._make_choice else None
        pool = ServerPool(
            entry=entry, servers=self._replica.servers, clock=time.monotonic, choose=choose
        )
        pool.reconfigure(entry, self._replica.entry_process_count)
        self.pools[service] = pool
        return pool

    async def _admit(self, pool: ServerPool, inbound: InboundRequest) -> None:
        if pool.admission.try_admit():
            return
        await pool.admission.wait_for_admission(inbound.traffic_class, inbound.deadline_at)

    async def _try_servers(
        self, pool: ServerPool, inbound: InboundRequest, buffer_bytes: int
    ) -> CallerResponse | StreamingResponse:
        """Attempt until there is an answer, or nothing more may be attempted."""
        pool.attempt_budget.record_first_attempt()
        excluded: set[str] = set()
        lost = None
        last_answer = None
        for attempt in range(MAX_ATTEMPTS):
            backend = pool.choose_server(excluded)
            if backend is None:
                break
            excluded.add(backend.server.server_id)
            invariants.check(
                inbound.idempotent or (lost is None and last_answer is None),
                "non-idempotent-attempted-again",
                inbound.service,
            )
            try:
                answer = await self._attempt_hedged(
                    pool, backend, inbound, excluded, buffer_bytes, extra=attempt > 0
                )
            except AttemptNotRunError as error:
                if not self._may_retry(pool, inbound, error):
                    break
                continue
            except AttemptOutcomeUnknownError as error:
                lost = error
                if not inbound.idempotent or not self._may_retry(pool, inbound, error):
                    break
                continue
            if _is_good(answer) or not inbound.idempotent:
                return answer
            if isinstance(answer, StreamingResponse) or not self._may_retry(pool, inbound, None):
                return answer
            last_answer = answer
        if last_answer is not None:
            return last_answer
        return self._give_up(pool, inbound, lost)

    def _may_retry(
        self, pool: ServerPool, inbound: InboundRequest, error: AttemptError | None
    ) -> bool:
        if inbound.deadline_at <= time.monotonic():
            return False
        if error is not None and error.reason in ("draining", "connect"):
            # bounded by the number of servers that leave or die, so no storm comes of it
            return True
        return not inbound.extra and pool.attempt_budget.take_retry()

    def _give_up(
        self, pool: ServerPool, inbound: InboundRequest, lost: AttemptOutcomeUnknownError | None
    ) -> t.NoReturn:
        if lost is not None:
            status = 504 if lost.reason == "deadline" else 502
            raise UnknownOutcomeError(lost.reason, status)
        if inbound.deadline_at <= time.monotonic():
            raise NotRunError("deadline", 504)
        wait_s = max(NO_SERVER_RETRY_AFTER_S, pool.admission.estimate_wait_s())
        raise NotRunError("no-server", 503, wait_s)

    async def _attempt_hedged(
        self,
        pool: ServerPool,
        backend: t.Any,
        inbound: InboundRequest,
        excluded: set[str],
        buffer_bytes: int,
        *,
        extra: bool,
    ) -> CallerResponse | StreamingResponse:
        first = self._sender.send(pool, backend, inbound, extra=extra, buffer_bytes=buffer_bytes)
        hedged = inbound.idempotent and inbound.entry.limits.hedge
        if not hedged or extra or inbound.extra or pool.hedge_delay.value_s == 0.0:
            return await first

        def start_second() -> t.Coroutine | None:
            if not pool.attempt_budget.take_hedge():
                return None
            other = pool.choose_server(excluded)
            if other is None:
                return None
            excluded.add(other.server.server_id)
            return self._sender.send(pool, other, inbound, extra=True, buffer_bytes=buffer_bytes)

        return await race_attempts(
            first,
            delay_s=pool.get_hedge_delay_s(),
            start_hedge=start_second,
            is_success=_is_good,
        )

    async def _stream(
        self, request: web.BaseRequest, answer: StreamingResponse
    ) -> web.StreamResponse:
        headers = CIMultiDict(answer.head.headers)
        headers[OUTCOME_HEADER] = Outcome.ANSWERED.value
        response = web.StreamResponse(status=answer.head.status, headers=headers)
        length = answer.response.content_length
        if length is not None:
            response.content_length = length
        try:
            await response.prepare(request)
            if answer.head.body:
                await response.write(answer.head.body)
            async for chunk in answer.response.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
        except Exception:
            # half an answer must not look whole
            self.outcomes["unknown", "stream-cut"] += 1
            if request.transport is not None:
                request.transport.abort()
        else:
            self.outcomes["answered", "streamed"] += 1
        finally:
            answer.close()
        return response

    def _refuse(self, request: web.BaseRequest, error: NotRunError) -> CallerResponse:
        keyed = IDEMPOTENCY_KEY_HEADER in request.headers
        if keyed and error.reason in REASONS_BEFORE_LEDGER_LOOKUP:
            # another sending of the same key may have run, and its home was not asked
            self.outcomes["unknown", error.reason] += 1
            unknown = UnknownOutcomeError(error.reason, error.status, STARTING_RETRY_AFTER_S)
            return build_unknown_outcome_response(unknown)
        self.outcomes["not-run", error.reason] += 1
        return build_not_run_response(error)

    def _respond(self, request: web.BaseRequest, answer: CallerResponse) -> web.Response:
        headers = CIMultiDict(answer.headers)
        headers[OUTCOME_HEADER] = answer.outcome.value
        if answer.outcome is Outcome.ANSWERED:
            self.outcomes["answered", "whole"] += 1
        body = answer.body if request.method != "HEAD" else None
        response = web.Response(status=answer.status, headers=headers, body=body)
        if self.closing or answer.status in (400, 408, 413):
            response.force_close()
        return response


def _is_good(answer: CallerResponse | StreamingResponse) -> bool:
    status = answer.status if isinstance(answer, CallerResponse) else answer.head.status
    return status not in SERVER_ERROR_STATUSES


def _parse_deadline(text: str | None) -> float:
    if text is None:
        return float("inf")
    try:
        return max(0.0, float(text) / 1000)
    except ValueError as error:
        raise NotRunError("deadline-malformed", 400) from error
