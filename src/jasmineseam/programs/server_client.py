"""One attempt of a request at one backend server: send, read, judge, learn."""

from __future__ import annotations

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
from ..transport.connection_pool import ConnectionPool
from ..transport.server_connection import ServerConnection
from .load_exchange import LoadUpdateBuffer
from .proxied_request import ProxiedRequest

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
# a kept connection that was idle for longer may be closing just now, in seconds
NON_IDEMPOTENT_MAX_IDLE_S = 4.0
# part of the time left that is kept for the answer's way back, in seconds
RESPONSE_MARGIN_S = 0.005
MIN_SERVER_ERROR_STATUS = 500


class ServerClient:
    """Sends requests to servers.

    :param protocol: of callers and servers.
    :param registry: the servers.
    :param news: takes what is learnt of load, for the peers.
    :param note_report: takes a load report; returns whether it is news.
    """

    def __init__(
        self,
        *,
        protocol: HeaderCodec,
        registry: ServerRegistry,
        load_updates: LoadUpdateBuffer,
        record_report: t.Callable[..., bool],
    ) -> None:
        self._protocol = protocol
        self._registry = registry
        self._news = load_updates
        self._note_report = record_report
        self.connections = ConnectionPool()

    async def send_attempt(self, ours: ProxiedRequest, load: ServerLoad) -> ServerResponse:
        """Send a request to one server, and judge what comes back.

        :raises AttemptError: if there is no answer that may be given to the caller.
        """
        ours.excluded.add(load.server_id)
        dispatcher = ours.dispatcher
        began_at = time.monotonic()
        token = load.start_request(began_at)
        self._news.record_in_flight(load.server_id, len(load.running))
        slowness = load.report.slowness if load.report is not None else 1.0
        age_ms = min(99_999, int((began_at - load.reported_at) * 1000)) if load.report else -1
        result = "cancelled"
        try:
            answer = await self._exchange(ours, load)
            result = str(answer.status)
            finished_at = time.monotonic()
            failed = answer.status >= MIN_SERVER_ERROR_STATUS
            load.record_outcome(failed, finished_at)
            if not failed:
                dispatcher.record_latency(ours.route.name, finished_at - began_at, slowness)
            return answer
        except AttemptError as error:
            result = error.reason
            self._note_failure(load, error)
            raise
        finally:
            load.finish_request(token)
            self._news.record_in_flight(load.server_id, len(load.running))
            dispatcher.record_completion()
            ms = int((time.monotonic() - began_at) * 1000)
            ours.trace.append(f"{load.server_id}:{result}:{ms}ms:x{slowness:g}@{age_ms}ms")

    async def _exchange(self, ours: ProxiedRequest, load: ServerLoad) -> ServerResponse:
        idle_limit_s = float("inf") if ours.route.idempotent else NON_IDEMPOTENT_MAX_IDLE_S
        connection = await self.connections.acquire(load.address, idle_limit_s)
        answer = None
        try:
            ours.attempt_count += 1
            answer = await self._converse(ours, load, connection)
        finally:
            if answer is None:
                connection.close()
            else:
                self.connections.release(load.address, connection)
        head = answer.head
        if head.misdirected:
            self._registry.mark_stale(load.server_id)
            raise AttemptNotRunError("misdirected")
        if head.not_run:
            raise AttemptNotRunError("shed")
        if not head.signed and answer.status < MIN_SERVER_ERROR_STATUS:
            raise AttemptOutcomeUnknownError("response-unsigned")
        return answer

    async def _converse(
        self, ours: ProxiedRequest, load: ServerLoad, connection: ServerConnection
    ) -> ServerResponse:
        request_id = ours.head.request_id
        remaining_s = ours.deadline_at - time.monotonic() - RESPONSE_MARGIN_S
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

        exchange = await connection.receive_head(decode)
        observed_at = time.monotonic()
        head = exchange.head
        report = head.report
        if report is not None and self._note_report(ours.dispatcher, load, report, observed_at):
            self._news.record_report(load.server_id, report, observed_at)
        body, whole = await connection.read_body(exchange, MAX_RESPONSE_BYTES)
        if not whole:
            raise AttemptOutcomeUnknownError("response-too-large")
        return ServerResponse(exchange.status, exchange.headers, body, head)

    def _build_headers(
        self, ours: ProxiedRequest, load: ServerLoad, remaining_s: float
    ) -> CIMultiDict[str]:
        headers = CIMultiDict(
            strip_hop_by_hop_headers(ours.headers, self._protocol.headers_set_by_node)
        )
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
        load.record_outcome(True, now)
        if error.reason in ("connect", "misdirected"):
            load.eject(now)
