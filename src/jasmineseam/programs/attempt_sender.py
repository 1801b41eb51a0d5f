"""One attempt of a request at one server, over aiohttp."""

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

MAX_CONNECTIONS_PER_SERVER = 40
IDLE_CONNECTION_TIMEOUT_S = 15.0
CONNECT_TIMEOUT_S = 0.5
READ_CHUNK_BYTES = 65_536
SERVER_ERROR_STATUSES = frozenset({500, 502, 503, 504})
_NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_SKIPPED = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


class _Received(t.NamedTuple):
    """What was read of an answer's body."""

    body: bytes
    whole: bool


class StreamingResponse:
    """An answer too large to be held whole: its beginning, and the connection for the rest.

    :param head: status and headers; its body is the beginning.
    :param response: the rest of it.
    """

    __slots__ = ("_end", "head", "response")

    def __init__(self, *, head: CallerResponse, response: aiohttp.ClientResponse, end) -> None:
        self.head = head
        self.response = response
        self._end = end

    def close(self) -> None:
        """Drop the connection, unless the answer was read to its end, and end the attempt."""
        self.response.close()
        self._end()


def open_session() -> aiohttp.ClientSession:
    """Open the HTTP session towards servers."""
    connector = aiohttp.TCPConnector(
        limit=0,
        limit_per_host=MAX_CONNECTIONS_PER_SERVER,
        keepalive_timeout=IDLE_CONNECTION_TIMEOUT_S,
        use_dns_cache=False,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=_SKIPPED,
        timeout=aiohttp.ClientTimeout(total=None),
    )
    # aiohttp would repeat requests by their method alone, but the catalogue decides that
    session._retry_connection = False
    return session


class AttemptSender:
    """Sends attempts and judges what comes back.

    :param session: towards servers.
    :param on_leaving: called with a server's id and the source when it says that it is leaving.
    """

    def __init__(self, *, session: aiohttp.ClientSession, on_server_leaving) -> None:
        self._session = session
        self._on_leaving = on_server_leaving
        self._numbers = itertools.count(1)
        self.dropped_responses: collections.Counter[str] = collections.Counter()
        self.responding_servers: set[str] = set()

    async def send(
        self,
        pool: ServerPool,
        backend: Backend,
        inbound: InboundRequest,
        *,
        extra: bool,
        buffer_bytes: int,
    ) -> CallerResponse | StreamingResponse:
        """Send a request to a server and return its answer.

        :param extra: whether this is a retry or a hedge.
        :param buffer_bytes: answers up to this size are returned whole.
        :raises AttemptNotRunError: no byte left, or the server refused.
        :raises AttemptLostError: it may have been run.
        """
        began_at = time.monotonic()
        token = backend.start_request(began_at)
        open_answer = None
        try:
            result = await self._exchange(pool, backend, inbound, extra, buffer_bytes, token)
            if isinstance(result, StreamingResponse):
                open_answer = result
            return result
        except AttemptOutcomeUnknownError:
            pool.record_lost_attempt(backend)
            raise
        except asyncio.CancelledError:
            if not extra:
                pool.record_unfinished(time.monotonic() - began_at)
            raise
        finally:
            if open_answer is None:
                backend.finish_request(token, time.monotonic())

    async def _exchange(
        self,
        pool: ServerPool,
        backend: Backend,
        inbound: InboundRequest,
        extra: bool,
        buffer_bytes: int,
        token: int,
    ) -> CallerResponse | StreamingResponse:
        began_at = time.monotonic()
        remaining_s = inbound.deadline_at - began_at
        if remaining_s <= 0:
            raise AttemptNotRunError("deadline")
        number = str(next(self._numbers))
        headers = self._build_headers(inbound, number, remaining_s, extra)
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
        except _NOT_SENT as error:
            pool.record_lost_attempt(backend)
            raise AttemptNotRunError("connect") from error
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise AttemptOutcomeUnknownError(_name_loss(error)) from error
        whole = False
        try:
            self._judge_head(pool, backend, response, number)
            received = await self._receive(response, buffer_bytes)
            whole = True
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            raise AttemptOutcomeUnknownError(_name_loss(error)) from error
        finally:
            if not whole:
                # an abandoned answer's connection is never used again
                response.close()
        latency_s = time.monotonic() - began_at
        good = response.status not in SERVER_ERROR_STATUSES
        pool.record_response(backend, latency_s, success=good, extra=extra)
        self.responding_servers.add(backend.server.server_id)
        answer = _build_answer(response, received.body)
        if received.whole:
            return answer
        return StreamingResponse(
            head=answer,
            response=response,
            end=lambda: backend.finish_request(token, time.monotonic()),
        )

    def _build_headers(
        self, inbound: InboundRequest, number: str, remaining_s: float, extra: bool
    ) -> CIMultiDict:
        headers = CIMultiDict(inbound.headers)
        headers["Host"] = inbound.service
        headers[ATTEMPT_HEADER] = number
        headers[DEADLINE_HEADER] = str(int(remaining_s * 1000))
        if extra or inbound.extra:
            headers[EXTRA_ATTEMPT_HEADER] = "1"
        return headers

    def _judge_head(
        self, pool: ServerPool, backend: Backend, response: aiohttp.ClientResponse, number: str
    ) -> None:
        headers = response.headers
        echoed = headers.get(ATTEMPT_HEADER)
        if echoed is not None and echoed != number:
            self.dropped_responses["crossed-answer"] += 1
            raise AttemptOutcomeUnknownError("crossed-answer")
        server_id = backend.server.server_id
        state = headers.get(STATE_HEADER)
        if state == DRAINING:
            self._on_leaving(server_id, "answer")
        report = parse_load_report(headers.get(LOAD_HEADER))
        if report is not None:
            pool.record_load_report(backend, report, state)
        refusal = headers.get(REFUSAL_HEADER)
        if refusal is None or response.status != 503:
            return
        if refusal == DRAINING:
            self._on_leaving(server_id, "refusal")
            raise AttemptNotRunError("draining")
        pool.admission.limit.record_shed()
        raise AttemptNotRunError("shed")

    async def _receive(self, response: aiohttp.ClientResponse, buffer_bytes: int) -> _Received:
        """Read an answer whole, or its beginning, with the response left open."""
        length = response.content_length
        if length is not None and length > buffer_bytes and response.method != "HEAD":
            return _Received(body=b"", whole=False)
        if length is not None:
            return _Received(body=await response.read(), whole=True)
        chunks = []
        size = 0
        while size <= buffer_bytes:
            chunk = await response.content.read(READ_CHUNK_BYTES)
            if not chunk:
                return _Received(body=b"".join(chunks), whole=True)
            chunks.append(chunk)
            size += len(chunk)
        return _Received(body=b"".join(chunks), whole=False)


def _build_answer(response: aiohttp.ClientResponse, body: bytes) -> CallerResponse:
    headers = strip_hop_by_hop_headers(response.headers, HEADERS_SET_BY_ENTRY)
    if response.method == "HEAD" and "Content-Length" in response.headers:
        headers.append(("Content-Length", response.headers["Content-Length"]))
    return CallerResponse(status=response.status, headers=headers, body=body)


def _name_loss(error: Exception) -> str:
    if isinstance(error, TimeoutError):
        return "deadline"
    if isinstance(error, aiohttp.ClientPayloadError):
        return "answer-cut"
    if isinstance(error, aiohttp.ServerDisconnectedError):
        return "disconnected"
    return "connection"
