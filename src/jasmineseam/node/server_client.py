"""Sending one attempt of a request to one backend server."""

from __future__ import annotations

import asyncio
import collections
import time
import typing as t

from multidict import CIMultiDict

from ..exceptions import AttemptError
from ..exceptions import AttemptNotRunError
from ..exceptions import AttemptOutcomeUnknownError
from ..membership.registry import ServerRegistry
from ..requests.headers import strip_hop_by_hop_headers
from ..requests.protocol import HeaderCodec
from ..requests.protocol import ResponseHead
from ..requests.protocol import ServerResponse
from ..routing.load import ServerLoad
from ..routing.service_path import ServicePath
from ..transport.connection_pool import ConnectionPool
from ..transport.response_memory import ResponseMemory
from ..transport.server_connection import ServerConnection
from .proxied_request import ProxiedRequest

MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# for the bodies of all responses that are being received
MAX_BUFFERED_BYTES = 96 * 1024 * 1024
# Non-idempotent requests are not sent over a pooled connection that was idle for longer than
# this: the server may be closing it, and a request lost that way must not be retried.
NON_IDEMPOTENT_MAX_IDLE_S = 4.0
# Subtracted from the remaining time that is sent to the server, so that its response reaches the
# node before the deadline.
RESPONSE_MARGIN_S = 0.005
MIN_CLIENT_ERROR_STATUS = 400
MIN_SERVER_ERROR_STATUS = 500
UNAVAILABLE_STATUS = 503
# errors of attempts that end with a broken connection
BROKEN_CONNECTION_REASONS = frozenset({"no-response", "connection-broke", "response-cut"})


class ServerClient:
    """Sends request attempts to backend servers over pooled connections.

    :param header_codec: encodes request headers and decodes response headers.
    :param registry: the registered servers; a server is marked as stale there if a request for it
        reaches another server.
    :param record_report: stores a load report.
    :param record_server_state: called with the load state of a server, the head of its response
        and the time at which the request was sent.
    :param on_connection_broken: called with a request and the load state of its server if the
        connection broke before the end of the response.
    """

    def __init__(
        self,
        *,
        header_codec: HeaderCodec,
        registry: ServerRegistry,
        record_report: t.Callable[..., bool],
        record_server_state: t.Callable[[ServerLoad, ResponseHead, float], None],
        on_connection_broken: t.Callable[[ProxiedRequest, ServerLoad], None],
    ) -> None:
        self._header_codec = header_codec
        self._registry = registry
        self._record_report = record_report
        self._record_server_state = record_server_state
        self._on_connection_broken = on_connection_broken
        self._response_memory = ResponseMemory(max_bytes=MAX_BUFFERED_BYTES)
        self.connections = ConnectionPool()
        # attempts without a response that may be forwarded, by reason
        self.failure_counts: collections.Counter[str] = collections.Counter()

    async def send_attempt(self, proxied: ProxiedRequest, load: ServerLoad) -> ServerResponse:
        """Send a request to one server and return its response.

        :param load: the load state of the server.
        :raises AttemptError: if there is no response that may be forwarded to the caller.
        """
        proxied.excluded_server_ids.add(load.server_id)
        dispatcher = proxied.dispatcher
        started_at = time.monotonic()
        in_flight_token = load.start_request(started_at)
        slowness = load.report.slowness if load.report is not None else 1.0
        # The age in the attempt trace is at most 99,999 ms; it is -1 without a load report.
        report_age_ms = (
            min(99_999, int((started_at - load.reported_at) * 1000)) if load.report else -1
        )
        result = "cancelled"
        try:
            response = await self._send_over_connection(proxied, load)
            result = str(response.status)
            finished_at = time.monotonic()
            failed = response.status >= MIN_SERVER_ERROR_STATUS
            load.record_outcome(failed, finished_at)
            if not failed:
                dispatcher.record_latency(
                    proxied.route.name, finished_at - started_at, slowness, proxied.route.target_s
                )
            return response
        except AttemptError as error:
            result = error.reason
            self.failure_counts[error.reason] += 1
            _record_path_failure(dispatcher.path, load, error.reason, started_at)
            if not dispatcher.path.lost:
                self._record_failure(load, error)
            if error.reason in BROKEN_CONNECTION_REASONS:
                self._on_connection_broken(proxied, load)
            raise
        except asyncio.CancelledError:
            if time.monotonic() >= proxied.deadline_at:
                result = "deadline"
                dispatcher.path.record_failure(load.server_id, started_at)
            raise
        finally:
            load.finish_request(in_flight_token)
            dispatcher.record_completion()
            duration_ms = int((time.monotonic() - started_at) * 1000)
            proxied.attempt_trace.append(
                f"{load.server_id}:{result}:{duration_ms}ms:x{slowness:g}@{report_age_ms}ms"
            )

    async def _send_over_connection(
        self, proxied: ProxiedRequest, load: ServerLoad
    ) -> ServerResponse:
        max_idle_s = float("inf") if proxied.route.idempotent else NON_IDEMPOTENT_MAX_IDLE_S
        connection = await self.connections.acquire(load.address, max_idle_s)
        if not connection.reused:
            proxied.dispatcher.path.record_connection()
        response = None
        try:
            proxied.attempt_count += 1
            proxied.reached_server_ids.add(load.server_id)
            response = await self._send_and_receive(proxied, load, connection)
        finally:
            if (
                response is None
                or _may_have_unread_body(proxied, response)
                # A copy of it could not be told from the response to a later request.
                or not response.head.request_id
            ):
                connection.close()
            else:
                self.connections.release(load.address, connection)
        head = response.head
        if head.misdirected:
            self._registry.mark_stale(load.server_id)
            raise AttemptNotRunError("misdirected")
        if head.not_run:
            raise AttemptNotRunError("shed")
        # An unsigned 503 does not come from the server, so it is no guarantee that the request has
        # not run.
        if not head.signed and (
            response.status < MIN_SERVER_ERROR_STATUS or response.status == UNAVAILABLE_STATUS
        ):
            raise AttemptOutcomeUnknownError("response-unsigned")
        return response

    async def _send_and_receive(
        self, proxied: ProxiedRequest, load: ServerLoad, connection: ServerConnection
    ) -> ServerResponse:
        request_id = proxied.head.request_id
        remaining_s = proxied.deadline_at - time.monotonic() - RESPONSE_MARGIN_S
        headers = self._build_headers(proxied, load, remaining_s)
        proxied.sent = True
        sent_at = time.monotonic()
        await connection.send(proxied.method, proxied.path, headers, proxied.body)

        # Returns None for a response to an earlier request; the connection skips that response.
        def decode_head(status: int, response_headers: t.Any) -> ResponseHead | None:
            head = self._header_codec.decode_response(status, response_headers)
            if head.request_id or not request_id:
                return head if head.request_id == request_id else None
            # A server may reject a request before it has read the request id.
            return head if head.not_run else None

        exchange = await connection.receive_head(decode_head)
        observed_at = time.monotonic()
        proxied.dispatcher.path.record_response()
        head = exchange.head
        report = head.report
        if report is not None:
            self._record_report(proxied.dispatcher, load, report, observed_at)
        if not head.misdirected:
            self._record_server_state(load, head, sent_at)
        body, complete = await connection.read_body(
            exchange, MAX_RESPONSE_BYTES, self._response_memory
        )
        if not complete:
            raise AttemptOutcomeUnknownError("response-too-large")
        return ServerResponse(exchange.status, exchange.headers, body, head)

    def _build_headers(
        self, proxied: ProxiedRequest, load: ServerLoad, remaining_s: float
    ) -> CIMultiDict[str]:
        headers = CIMultiDict(
            strip_hop_by_hop_headers(proxied.headers, self._header_codec.headers_set_by_node)
        )
        for name, value in self._header_codec.encode_request(
            proxied.head.request_id, remaining_s, load.server_id
        ):
            headers[name] = value
        if proxied.body or proxied.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(proxied.body))
        return headers

    def _record_failure(self, load: ServerLoad, error: AttemptError) -> None:
        now = time.monotonic()
        if error.reason == "shed":
            return
        load.record_outcome(True, now)
        if error.reason in ("connect", "misdirected"):
            load.eject(now)


def _may_have_unread_body(proxied: ProxiedRequest, response: ServerResponse) -> bool:
    """Return whether a server may have refused an upload without reading its body.

    A connection does not reuse itself after a large body. This concerns small ones, which servers
    of other routes are taken to read with the head.
    """
    refused = response.status >= MIN_CLIENT_ERROR_STATUS
    return refused and proxied.route.large_bodies and bool(proxied.body)


def _record_path_failure(
    path: ServicePath, load: ServerLoad, reason: str, started_at: float
) -> None:
    if reason == "connect":
        path.record_connect_failure(load.server_id, started_at)
    elif reason in BROKEN_CONNECTION_REASONS:
        path.record_failure(load.server_id, started_at)
