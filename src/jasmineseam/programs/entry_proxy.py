"""The request path of an entry process, from the caller to a backend server and back.

A request is received, looked up in the catalogue, admitted, sent to a chosen server, retried or
hedged where that is allowed, and answered with its outcome.
"""

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
from ..routing.attempt_race import race_attempts
from ..routing.pool import ServerPool
from ..routing.server_selection import ServerSelector
from ..transport.caller_connections import has_queued_requests
from ..transport.request_body import read_body
from .agent_replica import AgentReplica
from .attempt_sender import SERVER_ERROR_STATUSES
from .attempt_sender import AttemptSender
from .attempt_sender import StreamingResponse
from .keyed_requests import KeyedRequests

MAX_ATTEMPTS_PER_REQUEST = 4
MAX_KEYED_RESPONSE_BYTES = 16 * 1024 * 1024
STARTING_RETRY_AFTER_S = 1.0
NO_SERVER_RETRY_AFTER_S = 1.0
REJECTION_REASONS_BEFORE_LEDGER_LOOKUP = frozenset({"starting", "no-such-service"})


class EntryProxy:
    """Reverse proxy for the callers of one entry process.

    :param replica: the local copy of the agent's state.
    :param sender: sends attempts to backend servers.
    :param keyed_requests: runs requests with an idempotency key.
    :param body_timeout_s: the longest time a caller may take to send a body, in seconds.
    :param make_server_selector: creates the server selector of a pool; ``None`` selects the
        default selector.
    """

    def __init__(
        self,
        *,
        replica: AgentReplica,
        sender: AttemptSender,
        keyed_requests: KeyedRequests,
        body_timeout_s: float,
        make_server_selector: t.Callable[[], ServerSelector] | None = None,
    ) -> None:
        self._replica = replica
        self._sender = sender
        self._keyed_requests = keyed_requests
        self._body_timeout_s = body_timeout_s
        self._make_server_selector = make_server_selector
        self.pools: dict[str, ServerPool] = {}
        self.draining = False
        self.in_flight = 0
        self.outcome_counts: collections.Counter[tuple[str, str]] = collections.Counter()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Run one request of a caller and return the response."""
        self.in_flight += 1
        try:
            inbound = await self._receive_request(request)
            if inbound.key and not inbound.idempotent:
                response = await self._keyed_requests.run(inbound)
            else:
                response = await self._run_request(inbound, request)
        except NotRunError as error:
            response = self._build_rejection_response(request, error)
        except UnknownOutcomeError as error:
            response = build_unknown_outcome_response(error)
            self.outcome_counts["unknown", error.reason] += 1
        except InvariantError:
            response = build_unknown_outcome_response(UnknownOutcomeError("invariant", 500))
            self.outcome_counts["unknown", "invariant"] += 1
        finally:
            self.in_flight -= 1
        if isinstance(response, web.StreamResponse):
            return response
        return self._build_web_response(request, response)

    async def run_keyed_request(self, inbound: InboundRequest) -> CallerResponse:
        """Run a request whose key's ledger this process holds, and buffer its whole response.

        :returns: the response, of at most ``MAX_KEYED_RESPONSE_BYTES``.

        :raises NotRunError: if the request was not run.
        :raises UnknownOutcomeError: if the request may have been run, or if its response exceeds
            ``MAX_KEYED_RESPONSE_BYTES``.
        """
        pool = self._get_pool(inbound.service)
        await self._admit(pool, inbound)
        started_at = time.monotonic()
        try:
            response = await self._try_servers(pool, inbound, MAX_KEYED_RESPONSE_BYTES)
        finally:
            pool.admission.finish_request(time.monotonic() - started_at)
        if isinstance(response, StreamingResponse):
            response.close()
            # The task that runs the request keeps this frame by the traceback of its exception,
            # until the garbage collector finds both.
            del response
            raise UnknownOutcomeError("answer-too-large")
        return response

    def build_inbound_request(
        self,
        method: str,
        path: str,
        service: str,
        headers: list[tuple[str, str]],
        remaining_s: float,
    ) -> InboundRequest:
        """Build a request with the limits and rules of its service's catalogue entry.

        :param remaining_s: time until the caller's deadline, in seconds; the deadline of the
            catalogue entry applies if it is earlier.
        :raises NotRunError: if the catalogue is not loaded yet or has no such service.
        """
        if not self._replica.ready:
            raise NotRunError("starting", 503, STARTING_RETRY_AFTER_S)
        state = self._replica.states.get(service)
        if state is None or state.entry is None:
            raise NotRunError("no-such-service", 404)
        entry = state.entry
        path_without_query = path.partition("?")[0]
        max_deadline_s = entry.limits.deadline_ms / 1000
        return InboundRequest(
            entry=entry,
            method=method,
            path=path,
            headers=headers,
            body=b"",
            deadline_at=time.monotonic() + min(max_deadline_s, remaining_s),
            idempotent=entry.is_idempotent(method, path_without_query),
            traffic_class=entry.find_traffic_class(method, path_without_query),
        )

    def update_pools(self) -> None:
        """Apply the current catalogue, servers and number of entry processes to all pools."""
        entry_process_count = self._replica.entry_process_count
        for service, pool in list(self.pools.items()):
            state = self._replica.states.get(service)
            if state is None or state.entry is None:
                if pool.admission.in_flight == 0:
                    del self.pools[service]
                continue
            pool.reconfigure(state.entry, entry_process_count)

    async def _receive_request(self, request: web.BaseRequest) -> InboundRequest:
        headers = request.headers
        path = request.raw_path
        if not path.startswith("/"):
            raise NotRunError("path-malformed", 400)
        service = headers.get("Host", "").partition(":")[0].lower()
        remaining_s = _parse_remaining_s(headers.get(DEADLINE_HEADER))
        stripped = strip_hop_by_hop_headers(headers, HEADERS_SET_BY_ENTRY)
        inbound = self.build_inbound_request(request.method, path, service, stripped, remaining_s)
        inbound.key = headers.get(IDEMPOTENCY_KEY_HEADER, "")
        inbound.extra = EXTRA_ATTEMPT_HEADER in headers
        if request.body_exists:
            max_body_bytes = inbound.entry.limits.body_bytes
            inbound.body = await read_body(request, max_body_bytes, self._body_timeout_s)
        return inbound

    async def _run_request(
        self, inbound: InboundRequest, request: web.BaseRequest
    ) -> CallerResponse | web.StreamResponse:
        pool = self._get_pool(inbound.service)
        await self._admit(pool, inbound)
        started_at = time.monotonic()
        try:
            response = await self._try_servers(pool, inbound, inbound.entry.limits.buffer_bytes)
            if isinstance(response, StreamingResponse):
                return await self._stream_response(request, response)
            return response
        finally:
            pool.admission.finish_request(time.monotonic() - started_at)

    def _get_pool(self, service: str) -> ServerPool:
        pool = self.pools.get(service)
        if pool is not None:
            return pool
        entry = self._replica.states[service].entry
        selector = self._make_server_selector() if self._make_server_selector else None
        pool = ServerPool(
            entry=entry,
            servers=self._replica.servers,
            clock=time.monotonic,
            select_server=selector,
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
        """Send attempts until a response is final or no further attempt is allowed.

        :param buffer_bytes: maximum size of a response body that is buffered; a larger one is
            returned as a :class:`~.attempt_sender.StreamingResponse`.
        """
        pool.retry_budget.record_first_attempt()
        excluded_ids: set[str] = set()
        unknown_outcome_error = None
        last_response = None
        for attempt in range(MAX_ATTEMPTS_PER_REQUEST):
            backend = pool.choose_server(excluded_ids)
            if backend is None:
                break
            excluded_ids.add(backend.server.server_id)
            invariants.check(
                inbound.idempotent or (unknown_outcome_error is None and last_response is None),
                "non-idempotent-attempted-again",
                inbound.service,
            )
            try:
                response = await self._send_hedged_attempt(
                    pool, backend, inbound, excluded_ids, buffer_bytes, extra=attempt > 0
                )
            except AttemptNotRunError as error:
                if not self._take_retry(pool, inbound, error):
                    break
                continue
            except AttemptOutcomeUnknownError as error:
                unknown_outcome_error = error
                if not inbound.idempotent or not self._take_retry(pool, inbound, error):
                    break
                continue
            if _is_success(response) or not inbound.idempotent:
                return response
            if isinstance(response, StreamingResponse) or not self._take_retry(
                pool, inbound, None
            ):
                return response
            last_response = response
        if last_response is not None:
            return last_response
        return self._raise_no_response(pool, inbound, unknown_outcome_error)

    def _take_retry(
        self, pool: ServerPool, inbound: InboundRequest, error: AttemptError | None
    ) -> bool:
        if inbound.deadline_at <= time.monotonic():
            return False
        if error is not None and error.reason in ("draining", "connect"):
            # a retry after one of these failures uses no retry budget; the number of leaving or
            # failed servers limits such retries, so they cannot cause a retry storm
            return True
        return not inbound.extra and pool.retry_budget.take_retry()

    def _raise_no_response(
        self,
        pool: ServerPool,
        inbound: InboundRequest,
        unknown_outcome_error: AttemptOutcomeUnknownError | None,
    ) -> t.NoReturn:
        if unknown_outcome_error is not None:
            status = 504 if unknown_outcome_error.reason == "deadline" else 502
            raise UnknownOutcomeError(unknown_outcome_error.reason, status)
        if inbound.deadline_at <= time.monotonic():
            raise NotRunError("deadline", 504)
        retry_after_s = max(NO_SERVER_RETRY_AFTER_S, pool.admission.estimate_wait_s())
        raise NotRunError("no-server", 503, retry_after_s)

    async def _send_hedged_attempt(
        self,
        pool: ServerPool,
        backend: t.Any,
        inbound: InboundRequest,
        excluded_ids: set[str],
        buffer_bytes: int,
        *,
        extra: bool,
    ) -> CallerResponse | StreamingResponse:
        first = self._sender.send(pool, backend, inbound, extra=extra, buffer_bytes=buffer_bytes)
        may_hedge = inbound.idempotent and inbound.entry.limits.hedge
        if not may_hedge or extra or inbound.extra or pool.hedge_delay.value_s == 0.0:
            return await first

        def start_hedge() -> t.Coroutine | None:
            if not pool.retry_budget.take_hedge():
                return None
            hedge_backend = pool.choose_server(excluded_ids)
            if hedge_backend is None:
                return None
            excluded_ids.add(hedge_backend.server.server_id)
            return self._sender.send(
                pool, hedge_backend, inbound, extra=True, buffer_bytes=buffer_bytes
            )

        return await race_attempts(
            first,
            delay_s=pool.get_hedge_delay_s(),
            start_hedge=start_hedge,
            is_success=_is_success,
        )

    async def _stream_response(
        self, request: web.BaseRequest, response: StreamingResponse
    ) -> web.StreamResponse:
        headers = CIMultiDict(response.head.headers)
        headers[OUTCOME_HEADER] = Outcome.ANSWERED.value
        caller_response = web.StreamResponse(status=response.head.status, headers=headers)
        length = response.upstream.content_length
        if length is not None:
            caller_response.content_length = length
        try:
            await caller_response.prepare(request)
            if response.head.body:
                await caller_response.write(response.head.body)
            async for chunk in response.upstream.content.iter_any():
                await caller_response.write(chunk)
            await caller_response.write_eof()
        except Exception:
            # aborts the connection, so that the caller detects that the response is truncated
            self.outcome_counts["unknown", "stream-cut"] += 1
            if request.transport is not None:
                request.transport.abort()
        else:
            self.outcome_counts["answered", "streamed"] += 1
        finally:
            response.close()
        return caller_response

    def _build_rejection_response(
        self, request: web.BaseRequest, error: NotRunError
    ) -> CallerResponse:
        keyed = IDEMPOTENCY_KEY_HEADER in request.headers
        if keyed and error.reason in REJECTION_REASONS_BEFORE_LEDGER_LOOKUP:
            # an earlier request with this key may have run, and its ledger was not consulted
            self.outcome_counts["unknown", error.reason] += 1
            unknown = UnknownOutcomeError(error.reason, error.status, STARTING_RETRY_AFTER_S)
            return build_unknown_outcome_response(unknown)
        self.outcome_counts["not-run", error.reason] += 1
        return build_not_run_response(error)

    def _build_web_response(
        self, request: web.BaseRequest, response: CallerResponse
    ) -> web.Response:
        headers = CIMultiDict(response.headers)
        headers[OUTCOME_HEADER] = response.outcome.value
        if response.outcome is Outcome.ANSWERED:
            self.outcome_counts["answered", "whole"] += 1
        body = response.body if request.method != "HEAD" else None
        web_response = web.Response(status=response.status, headers=headers, body=body)
        closes = self.draining and not has_queued_requests(request)
        if closes or response.status in (400, 408, 413):
            web_response.force_close()
        return web_response


def _is_success(response: CallerResponse | StreamingResponse) -> bool:
    status = response.status if isinstance(response, CallerResponse) else response.head.status
    return status not in SERVER_ERROR_STATUSES


def _parse_remaining_s(text: str | None) -> float:
    """Return the time until the caller's deadline in seconds, infinite without a header."""
    if text is None:
        return float("inf")
    try:
        return max(0.0, float(text) / 1000)
    except ValueError as error:
        raise NotRunError("deadline-malformed", 400) from error
