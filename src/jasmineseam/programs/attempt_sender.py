"""Sends one attempt of a request to one backend server, over aiohttp."""

from __future__ import annotations

import asyncio
import collections
import itertools
import time
import typing as t

import aiohttp
import yarl
from multidict import CIMultiDict

from ..exceptions import AttemptNotRunError
from ..exceptions import AttemptOutcomeUnknownError
from ..measuring.load_reports import DRAINING
from ..measuring.load_reports import LOAD_HEADER
from ..measuring.load_reports import STATE_HEADER
from ..measuring.load_reports import parse_load_report
from ..requests.headers import strip_hop_by_hop_headers
from ..requests.inbound_request import ATTEMPT_HEADER
from ..requests.inbound_request import DEADLINE_HEADER
from ..requests.inbound_request import EXTRA_ATTEMPT_HEADER
from ..requests.inbound_request import HEADERS_SET_BY_ENTRY
from ..requests.inbound_request import REFUSAL_HEADER
from ..requests.inbound_request import InboundRequest
from ..requests.outcome import CallerResponse
from ..routing.backends import Backend
from ..routing.pool import ServerPool
from ..transport.response_bodies import read_shared_body
from ..transport.response_memory import ResponseMemory
from ..transport.response_protocol import InvalidResponseError
from ..transport.response_protocol import open_connector

MAX_CONNECTIONS_PER_SERVER = 40
IDLE_CONNECTION_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 0.5
# for the bodies of all responses that are being buffered
MAX_BUFFERED_BYTES = 192 * 1024 * 1024
SERVER_ERROR_STATUSES = frozenset({500, 502, 503, 504})
_CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_SKIPPED_AUTO_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


class _ReceivedBody(t.NamedTuple):
    """The part of a response body that has been read."""

    body: bytes
    complete: bool


class StreamingResponse:
    """A response whose body is too large to buffer; the rest of the body is still to be read.

    :param head: status, headers and the start of the body.
    :param upstream: the server's response, from which the rest of the body is read.
    :param on_close: called when the response is closed, to finish the attempt.
    """

    __slots__ = ("_on_close", "head", "upstream")

    def __init__(
        self, *, head: CallerResponse, upstream: aiohttp.ClientResponse, on_close
    ) -> None:
        self.head = head
        self.upstream = upstream
        self._on_close = on_close

    def close(self) -> None:
        """Close the connection, unless the response was read to its end; finish the attempt."""
        self.upstream.close()
        self._on_close()


def open_session() -> aiohttp.ClientSession:
    """Open the HTTP client session for backend servers."""
    connector = open_connector(
        limit=0,
        limit_per_host=MAX_CONNECTIONS_PER_SERVER,
        keepalive_timeout=IDLE_CONNECTION_TIMEOUT_S,
        use_dns_cache=False,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        timeout=aiohttp.ClientTimeout(total=None),
    )
    # aiohttp repeats a request with an idempotent method if a reused connection breaks, but the
    # catalogue defines which requests are idempotent
    session._retry_connection = False
    return session


class AttemptSender:
    """Sends attempts to backend servers, and records load and state from the responses.

    :param session: HTTP client session for backend servers.
    :param on_server_leaving: called with a server's id and the source of the report when a
        response reports that the server is leaving.
    """

    def __init__(self, *, session: aiohttp.ClientSession, on_server_leaving) -> None:
        self._session = session
        self._on_server_leaving = on_server_leaving
        self._attempt_numbers = itertools.count(1)
        self._response_memory = ResponseMemory(max_bytes=MAX_BUFFERED_BYTES)
        self.dropped_responses: collections.Counter[str] = collections.Counter()
        # servers that have responded since the last sync with the agent
        self.responding_server_ids: set[str] = set()

    async def send(
        self,
        pool: ServerPool,
        backend: Backend,
        inbound: InboundRequest,
        *,
        extra: bool,
        buffer_bytes: int,
    ) -> CallerResponse | StreamingResponse:
        """Send a request to a server and return its response.

        :param extra: whether this is a retry or a hedge.
        :param buffer_bytes: maximum size of a response body that is buffered; a larger one is
            returned as a :class:`StreamingResponse`.
        :raises AttemptNotRunError: if no byte was sent, or the server rejected the request.
        :raises AttemptOutcomeUnknownError: if the server may have run the request.
        """
        started_at = time.monotonic()
        token = backend.start_request(started_at)
        streaming = None
        try:
            result = await self._run_attempt(pool, backend, inbound, extra, buffer_bytes, token)
            if isinstance(result, StreamingResponse):
                streaming = result
            return result
        except AttemptOutcomeUnknownError:
            pool.record_failed_attempt(backend)
            raise
        except asyncio.CancelledError:
            if not extra:
                pool.record_cancelled_attempt(time.monotonic() - started_at)
            raise
        finally:
            if streaming is None:
                backend.finish_request(token, time.monotonic())

    async def _run_attempt(
        self,
        pool: ServerPool,
        backend: Backend,
        inbound: InboundRequest,
        extra: bool,
        buffer_bytes: int,
        token: int,
    ) -> CallerResponse | StreamingResponse:
        started_at = time.monotonic()
        remaining_s = inbound.deadline_at - started_at
        if remaining_s <= 0:
            raise AttemptNotRunError("deadline")
        attempt_number = str(next(self._attempt_numbers))
        headers = self._build_headers(inbound, attempt_number, remaining_s, extra)
        url = yarl.URL(f"http://{backend.server.address}{inbound.path}", encoded=True)
        try:
            response = await self._session.request(
                inbound.method,
                url,
                headers=headers,
                data=inbound.body or None,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=remaining_s, sock_connect=CONNECT_TIMEOUT_S),
            )
        except _CONNECT_ERRORS as error:
            pool.record_failed_attempt(backend)
            raise AttemptNotRunError("connect") from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise self._build_unknown_outcome_error(error) from error
        completed = False
        try:
            self._process_response_head(pool, backend, response, attempt_number)
            received = await self._read_body(response, buffer_bytes)
            completed = True
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise self._build_unknown_outcome_error(error) from error
        finally:
            if not completed:
                # the connection of a response that was not read to its end is never reused
                response.close()
        latency_s = time.monotonic() - started_at
        success = response.status not in SERVER_ERROR_STATUSES
        pool.record_response(backend, latency_s, success=success, extra=extra)
        self.responding_server_ids.add(backend.server.server_id)
        head = _build_response(response, received.body)
        if received.complete:
            return head
        return StreamingResponse(
            head=head,
            upstream=response,
            on_close=lambda: backend.finish_request(token, time.monotonic()),
        )

    def _build_unknown_outcome_error(self, error: Exception) -> AttemptOutcomeUnknownError:
        reason = _get_failure_reason(error)
        if isinstance(error, InvalidResponseError):
            self.dropped_responses[reason] += 1
        return AttemptOutcomeUnknownError(reason)

    def _build_headers(
        self, inbound: InboundRequest, attempt_number: str, remaining_s: float, extra: bool
    ) -> CIMultiDict:
        headers = CIMultiDict(inbound.headers)
        headers["Host"] = inbound.service
        headers[ATTEMPT_HEADER] = attempt_number
        headers[DEADLINE_HEADER] = str(int(remaining_s * 1000))
        if extra or inbound.extra:
            headers[EXTRA_ATTEMPT_HEADER] = "1"
        return headers

    def _process_response_head(
        self,
        pool: ServerPool,
        backend: Backend,
        response: aiohttp.ClientResponse,
        attempt_number: str,
    ) -> None:
        headers = response.headers
        echoed = headers.get(ATTEMPT_HEADER)
        if echoed is not None and echoed != attempt_number:
            # the response belongs to another attempt
            self.dropped_responses["crossed-answer"] += 1
            raise AttemptOutcomeUnknownError("crossed-answer")
        server_id = backend.server.server_id
        state = headers.get(STATE_HEADER)
        if state == DRAINING:
            self._on_server_leaving(server_id, "answer")
        report = parse_load_report(headers.get(LOAD_HEADER))
        if report is not None:
            pool.record_load_report(backend, report, state)
        refusal = headers.get(REFUSAL_HEADER)
        if refusal is None or response.status != 503:
            return
        if refusal == DRAINING:
            self._on_server_leaving(server_id, "refusal")
            raise AttemptNotRunError("draining")
        pool.admission.concurrency_limit.record_shed_request()
        raise AttemptNotRunError("shed")

    async def _read_body(
        self, response: aiohttp.ClientResponse, buffer_bytes: int
    ) -> _ReceivedBody:
        """Read a whole response body, or at most its start if it exceeds *buffer_bytes*.

        Nothing is read if ``Content-Length`` already exceeds the limit. The response of a body
        that is too large stays open, so that the rest can be read from it.

        :raises AttemptOutcomeUnknownError: if the body was evicted from memory.
        """
        length = response.content_length
        if length is not None and length > buffer_bytes and response.method != "HEAD":
            return _ReceivedBody(body=b"", complete=False)
        body, complete = await read_shared_body(
            response.content, buffer_bytes, self._response_memory, response.close
        )
        return _ReceivedBody(body=body, complete=complete)


def _build_response(response: aiohttp.ClientResponse, body: bytes) -> CallerResponse:
    headers = strip_hop_by_hop_headers(response.headers, HEADERS_SET_BY_ENTRY)
    if response.method == "HEAD" and "Content-Length" in response.headers:
        headers.append(("Content-Length", response.headers["Content-Length"]))
    return CallerResponse(status=response.status, headers=headers, body=body)


def _get_failure_reason(error: Exception) -> str:
    if isinstance(error, TimeoutError):
        return "deadline"
    if isinstance(error, InvalidResponseError):
        return error.reason
    if isinstance(error, aiohttp.ClientPayloadError):
        return "answer-cut"
    if isinstance(error, aiohttp.ServerDisconnectedError):
        return "disconnected"
    return "connection"
