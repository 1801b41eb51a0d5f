"""Server side of the connections from callers.

Idle connections and request heads have timeouts. Requests that a caller sends before it has
received the response to an earlier one are read ahead and run concurrently if they are idempotent.
"""

from __future__ import annotations

import asyncio
import collections
import socket
import struct
import time
import typing as t

import logbook
from aiohttp import web
from aiohttp.http import HttpVersion11
from aiohttp.http import RawRequestMessage
from aiohttp.http import StreamWriter
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler

# longer than any configured idle limit, because aiohttp's own limit cannot be changed at run time;
# idle connections are closed by CallerServer.close_idle_connections
AIOHTTP_KEEPALIVE_TIMEOUT_S = 86_400.0
# A response is assumed to be written to the socket within this time. It is the default minimum
# idle time of CallerServer.close_idle_connections, so that no response is cut off.
RESPONSE_FLUSH_TIME_S = 0.1
# Larger than every configured limit of a head, which is checked when the head is complete, and
# than the part of a body that may arrive before the request's handler starts.
MAX_UNPARSED_BYTES = 1024 * 1024
# Requests of a connection that run besides the first one whose response is not complete. More of
# them would let one connection take all slots of a small service.
MAX_READ_AHEAD_REQUESTS = 16
# Bound on the heads and bodies of these requests. It is also the most that is received at once, so
# that one connection does not hold much more.
MAX_READ_AHEAD_BYTES = 262_144
# Bound on the responses that wait for their turn, by the usual size while they are not known. It
# leaves large downloads to run one by one.
MAX_EARLY_RESPONSE_BYTES = 4 * 1024 * 1024
# The rest of a body that is not read any more is received for this time, and dropped. A caller
# that is still sending gets the response; if the connection were closed at once, the reset
# could overtake the response.
LINGERING_TIME_S = 3.0
# While the rest of an unread body is at most this, the connection stays open for further requests.
MAX_DROPPED_BODY_BYTES = 65_536
# Nothing more is received than this; it is the largest body by default.
MAX_LINGERING_BYTES = 64 * 1024 * 1024
# state of an open TCP connection, in the first byte of TCP_INFO (Linux)
_TCP_ESTABLISHED = 1
HEAD_TOO_LARGE_RESPONSE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
REQUEST_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


_logger = logbook.Logger("callers")


class RedactingConnection(RequestHandler):
    """aiohttp's protocol, without what a malformed request contains in logs and responses.

    aiohttp repeats the malformed line in both, which may be one that holds a key.
    """

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return the response to a request that can't be handled, which closes the connection."""
        if not isinstance(exc, HttpProcessingError):
            return super().handle_error(request, status, exc, message)
        _logger.info("Malformed request from {}: {}.", request.remote, type(exc).__name__)
        if request.writer.output_size > 0:
            raise ConnectionError("part of a response has been sent already")
        response = web.Response(status=status, text="malformed-request\n")
        response.force_close()
        return response


class RedactingServer(web.Server):
    """aiohttp server whose connections are :class:`RedactingConnection` objects.

    :param handler: coroutine that handles a request.
    :param options: options of aiohttp's protocol.
    """

    def __init__(self, handler: t.Callable, **options: t.Any) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._options = options

    def __call__(self) -> RedactingConnection:
        """Return the protocol object of a new connection."""
        return RedactingConnection(self, loop=asyncio.get_running_loop(), **self._options)


class _EarlyRequest:
    """A request that was started before the response to an earlier one was complete.

    :param size: size of its head and body, in bytes.
    :param response_size: usual size of its response, in bytes.
    """

    __slots__ = ("_response_size", "size", "task")

    def __init__(self, task: asyncio.Task, size: int, response_size: int) -> None:
        self.task = task
        self.size = size
        self._response_size = response_size

    def count_response_bytes(self) -> int:
        """Return the size of the response, or the usual one until it is complete."""
        if not self.task.done() or self.task.cancelled() or self.task.exception() is not None:
            return self._response_size
        body = getattr(self.task.result(), "body", None)
        return len(body) if isinstance(body, bytes) else 0


class CallerConnection(RedactingConnection):
    """aiohttp's protocol, extended by requests that are read ahead and by timeouts.

    aiohttp handles one request at a time, in the order in which they were sent. A request behind
    the current one is started early in a task of its own. When its turn comes, aiohttp's handler
    waits for that task. ``early`` holds these requests by the identity of their parsed message,
    which stays in aiohttp's queue meanwhile.

    The times are monotonic, in seconds. ``idle_since`` is the end of the last request, or the
    start of the connection. ``head_started_at`` is the arrival of the first byte of the next
    request, ``None`` if no byte has arrived. ``rejected`` is set once the connection is closed
    because of a slow or endless request head.
    """

    __slots__ = (
        "_arrived_at",
        "_closes_after_pending",
        "_current_allows_more",
        "_dropped_bytes",
        "_input_ended",
        "_last_message",
        "_last_payload",
        "_running_count",
        "_served_request",
        "_unparsed_bytes",
        "early",
        "head_started_at",
        "idle_since",
        "rejected",
    )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Initialize the state of a new connection."""
        self.idle_since = time.monotonic()
        self.head_started_at: float | None = None
        self.rejected = False
        self.early: dict[int, _EarlyRequest] = {}
        # arrival of the requests whose turn has not come, by the identity of their message
        self._arrived_at: dict[int, float] = {}
        self._dropped_bytes = 0
        self._running_count = 0
        self._served_request = False
        self._unparsed_bytes = 0
        # parsed last, with the stream of its body
        self._last_message: RawRequestMessage | None = None
        self._last_payload: StreamReader | None = None
        # whether the requests behind the current one may start before its response is complete
        self._current_allows_more = False
        # set when a slow or endless head was found behind a pending request
        self._input_ended = False
        # set by a planned stop
        self._closes_after_pending = False
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests that were started early; aiohttp cancels the current one."""
        self._current_allows_more = False
        self.cancel_early()
        super().connection_lost(exc)

    @property
    def has_request(self) -> bool:
        """Whether a request was received whose response is not complete."""
        waiter = self._waiter
        return (
            waiter is None
            or waiter.done()
            or bool(self._messages)
            or bool(self.early)
            or self._running_count > 0
        )

    def data_received(self, data: bytes) -> None:
        """Pass the data to the parser, bound request heads, and start requests early."""
        if self._input_ended or self.rejected:
            self._drop(data)
            return
        unread_body = self._last_payload is not None and not self._last_payload.is_eof()
        body_left = self._count_body_left() if unread_body else 0
        request_count = self._request_count
        super().data_received(data)
        if self._request_count != request_count and self._messages:
            self._last_message, self._last_payload = self._messages[-1]
            if not isinstance(self._last_message, RawRequestMessage):
                # A protocol error: its response closes the connection.
                self._last_message = self._last_payload = None
                self._input_ended = True
            parsed = True
            now = time.monotonic()
            for message, _ in self._messages:
                self._arrived_at.setdefault(id(message), now)
        else:
            parsed = False
        if data:
            self._track_head(data, parsed=parsed, unread_body=unread_body, body_left=body_left)
        if parsed:
            self.start_early()
            if not self._buffer_paused and self._count_waiting_bytes() > MAX_READ_AHEAD_BYTES:
                self._pause_reading_for_buffer()
                self.head_started_at = None

    def _drop(self, data: bytes) -> None:
        self._dropped_bytes += len(data)
        if self._dropped_bytes > MAX_LINGERING_BYTES and self.transport is not None:
            self.transport.pause_reading()

    def _count_body_left(self) -> int | None:
        """Return the missing part of the last body, in bytes, ``None`` if it is not known."""
        length = _get_content_length(self._last_message)
        return None if length is None else length - self._last_payload.total_bytes

    def _track_head(
        self, data: bytes, *, parsed: bool, unread_body: bool, body_left: int | None
    ) -> None:
        """Find out whether the received data ends within a request head.

        This affects the bounds on heads only, not how the data is parsed. If a part of a head is
        overlooked, its time starts with the next data.
        """
        payload = self._last_payload
        if self._input_ended or (payload is not None and not payload.is_eof()):
            self._end_head()
            return
        if parsed:
            length = _get_content_length(self._last_message) or 0
            partial = not data[: len(data) - length].endswith(b"\r\n\r\n")
            self._end_head()
        elif unread_body:
            self._end_head()
            partial = (
                not data.endswith(b"\r\n\r\n") if body_left is None else len(data) > body_left
            )
        else:
            partial = True
        if not partial or self._buffer_paused or self._upgraded:
            return
        if self.head_started_at is None:
            self.head_started_at = time.monotonic()
        self._unparsed_bytes += len(data)
        if self._unparsed_bytes > MAX_UNPARSED_BYTES:
            # After an earlier request, the data may be the rest of its body, which calls for
            # no further response.
            self._end_input(b"" if self._served_request else HEAD_TOO_LARGE_RESPONSE)

    def _end_head(self) -> None:
        self.head_started_at = None
        self._unparsed_bytes = 0

    def begin_request(self) -> bool:
        """Record the start of a request's handler; return whether the request may be run."""
        self._running_count += 1
        return not self.rejected

    def end_request(self) -> None:
        """Record the end of a request's handler."""
        self._running_count -= 1
        self._served_request = True
        self.idle_since = time.monotonic()

    def get_arrived_at(self, request: web.BaseRequest) -> float:
        """Return the time at which the head of a request was complete."""
        arrived_at = self._arrived_at.get(id(request._message))
        return time.monotonic() if arrived_at is None else arrived_at

    def close_after_pending(self) -> None:
        """Close the connection with the last response to a request that has been received."""
        self._closes_after_pending = True

    async def take_turn(
        self, request: web.BaseRequest, handler: t.Callable[..., t.Awaitable[web.StreamResponse]]
    ) -> web.StreamResponse:
        """Return the response to the request that is next in order.

        :param handler: handles the request, unless it was started early.
        """
        message = request._message
        server: CallerServer = self._manager
        early = self.early.pop(id(message), None)
        usual_response_bytes = server.get_read_ahead_bytes(message)
        self._current_allows_more = usual_response_bytes is not None and _is_plain(message)
        self.resume_reading_ahead()
        self.start_early()
        try:
            response = await (handler(request) if early is None else _await_early(early.task))
        finally:
            # Until the next request's turn begins, it is not known what may follow it.
            self._current_allows_more = False
            self._arrived_at.pop(id(message), None)
            self.idle_since = time.monotonic()
        self._close_if_last(request, response)
        return response

    def _close_if_last(self, request: web.BaseRequest, response: web.StreamResponse) -> None:
        """Decide whether a response closes the connection, and cancel what is behind it then."""
        if self._closes_after_pending and not self.early and not self._messages:
            response.force_close()
        if self._input_ended and not self._messages:
            response.force_close()
        if not request.content.is_eof() and not self._may_drop_body(request):
            response.force_close()
        keep_alive = response.keep_alive
        if keep_alive is None:
            keep_alive = request.keep_alive
        if not keep_alive:
            self.cancel_early()

    async def _handle_request(
        self, request: web.BaseRequest, start_time: float | None, request_handler: t.Callable
    ) -> tuple[web.StreamResponse, bool]:
        response, reset = await super()._handle_request(request, start_time, request_handler)
        malformed = request_handler is not self._request_handler
        closes = not response.keep_alive and not reset and not malformed
        if closes and self._has_unread_input(request):
            await self._linger()
        return response, reset

    def _has_unread_input(self, request: web.BaseRequest) -> bool:
        return (
            self._input_ended
            or self._buffer_paused
            or bool(self._messages)
            or self.head_started_at is not None
            or not request.content.is_eof()
        )

    async def _linger(self) -> None:
        """Receive and drop what the caller still sends, until it closes or for a bounded time."""
        self._input_ended = True
        self._lingering_time = 0.0
        transport = self.transport
        if transport is None:
            return
        if transport.can_write_eof():
            transport.write_eof()
        transport.resume_reading()
        await asyncio.sleep(LINGERING_TIME_S)

    def _may_drop_body(self, request: web.BaseRequest) -> bool:
        """Return whether the rest of an unread body is small, and surely sent."""
        length = request.content_length
        if length is None or "Expect" in request.headers:
            return False
        return length - request.content.total_bytes <= MAX_DROPPED_BODY_BYTES

    def start_early(self) -> None:
        """Start the requests that may run before the response to the current one is complete."""
        if not self._current_allows_more or self._closes_after_pending:
            return
        if not self._messages or self.transport is None:
            return
        server: CallerServer = self._manager
        size = sum(early.size for early in self.early.values())
        response_size = sum(early.count_response_bytes() for early in self.early.values())
        for message, payload in self._messages:
            if id(message) in self.early:
                if message.should_close:
                    return
                continue
            if not isinstance(message, RawRequestMessage) or not _is_plain(message):
                return
            usual_response_bytes = server.get_read_ahead_bytes(message)
            if usual_response_bytes is None:
                return
            size += _count_bytes(message)
            response_size += usual_response_bytes
            if len(self.early) >= MAX_READ_AHEAD_REQUESTS or size > MAX_READ_AHEAD_BYTES:
                return
            if response_size > MAX_EARLY_RESPONSE_BYTES:
                return
            self._start(message, payload, usual_response_bytes)
            if message.should_close:
                return

    def _start(
        self, message: RawRequestMessage, payload: StreamReader, usual_response_bytes: int
    ) -> None:
        server: CallerServer = self._manager
        request = self._request_factory(
            message, payload, self, StreamWriter(self, self._loop), self._task_handler
        )
        task = self._loop.create_task(server.handler(request))
        self.early[id(message)] = _EarlyRequest(task, _count_bytes(message), usual_response_bytes)
        server.read_ahead_counts["started"] += 1

    def cancel_early(self) -> None:
        """Cancel the requests that were started early; they count as not read."""
        pending, self.early = self.early, {}
        for early in pending.values():
            if not early.task.done():
                self._manager.read_ahead_counts["cancelled"] += 1
            early.task.cancel()

    def _count_waiting_bytes(self) -> int:
        """Return the size of the requests in the queue, as far as they were received."""
        return sum(
            _count_head_bytes(message) + payload.total_bytes
            for message, payload in self._messages
            if isinstance(message, RawRequestMessage)
        )

    def resume_reading_ahead(self) -> None:
        """Resume reading if few requests are left in the queue."""
        if not self._buffer_paused or self._upgraded or self._input_ended:
            return
        if self._count_waiting_bytes() > MAX_READ_AHEAD_BYTES // 2:
            return
        if len(self._messages) <= self._msg_queue_resume_size:
            self._resume_reading_if_drained()

    def _resume_reading_if_drained(self) -> None:
        # aiohttp calls this when its queue is short; the requests in it may still be large.
        if self._count_waiting_bytes() <= MAX_READ_AHEAD_BYTES // 2:
            super()._resume_reading_if_drained()

    def is_idle(self, min_idle_s: float) -> bool:
        """Return whether the last *min_idle_s* seconds had no request and no data."""
        if self.has_request or self.head_started_at is not None:
            return False
        return time.monotonic() - self.idle_since >= min_idle_s

    def time_out_slow_head(self, timeout_s: float) -> None:
        """End the input if a request head has taken *timeout_s* seconds or more.

        Without a pending request, the response is 408 and the connection is closed at once.
        """
        if self._input_ended and not self.has_request:
            self.force_close()
        if self.head_started_at is None:
            return
        if time.monotonic() - self.head_started_at < timeout_s:
            return
        self._end_input(REQUEST_TIMEOUT_RESPONSE)

    def close_if_caller_left(self) -> None:
        """Close the connection if the caller has closed it and reading is paused.

        While reading is paused, the event loop does not notice this.
        """
        if not self._buffer_paused or self.transport is None:
            return
        tcp_socket = self.transport.get_extra_info("socket")
        if tcp_socket is None or not hasattr(socket, "TCP_INFO"):
            return
        try:
            (state,) = struct.unpack(
                "B", tcp_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
            )
        except OSError as error:
            _logger.debug("The state of a caller's connection is not known: {}", error)
            return
        if state != _TCP_ESTABLISHED:
            self.transport.abort()

    def _end_input(self, response: bytes) -> None:
        """Close the connection because of its input, after the pending responses.

        :param response: sent if no request is pending.
        """
        self.head_started_at = None
        if self.has_request:
            self._input_ended = True
            _logger.info(
                "Slow or endless request head from {} behind {} pending requests; closing the "
                "connection after their responses.",
                self.peername,
                len(self._messages) + 1,
            )
            return
        self.rejected = True
        if self.transport is not None and response:
            self.transport.write(response)
        self.force_close()


class CallerServer(web.Server):
    """aiohttp server whose connections are :class:`CallerConnection` objects.

    :param handler: coroutine that handles a request.
    :param get_read_ahead_bytes: returns the usual size of the response to a request, by its parsed
        head, or ``None`` if it must not be started before the response to an earlier one is
        complete. None may by default.
    :param read_ahead_counts: counts the requests that were ``started`` early, and of these the
        ones that were ``cancelled``.
    :param options: options of aiohttp's protocol.
    """

    def __init__(
        self,
        handler: t.Callable,
        *,
        get_read_ahead_bytes: t.Callable[[RawRequestMessage], int | None] = lambda message: None,
        read_ahead_counts: collections.Counter[str] | None = None,
        **options: t.Any,
    ) -> None:
        super().__init__(self._handle, handler_cancellation=True)
        self.handler = handler
        self.get_read_ahead_bytes = get_read_ahead_bytes
        self.read_ahead_counts = (
            collections.Counter() if read_ahead_counts is None else (read_ahead_counts)
        )
        self._options = {
            "lingering_time": LINGERING_TIME_S,
            **options,
            "keepalive_timeout": AIOHTTP_KEEPALIVE_TIMEOUT_S,
        }

    def __call__(self) -> CallerConnection:
        """Return the protocol object of a new connection."""
        return CallerConnection(self, loop=asyncio.get_running_loop(), **self._options)

    def close_idle_connections(self, min_idle_s: float = RESPONSE_FLUSH_TIME_S) -> None:
        """Close the connections that have been idle for at least *min_idle_s* seconds."""
        for connection in self.connections:
            if connection.is_idle(min_idle_s):
                connection.force_close()

    def time_out_slow_heads(self, timeout_s: float) -> None:
        """Time out connections whose request head has taken *timeout_s* seconds or more."""
        for connection in self.connections:
            connection.time_out_slow_head(timeout_s)

    def close_left_connections(self) -> None:
        """Close the connections that their callers have closed while reading was paused."""
        for connection in self.connections:
            connection.close_if_caller_left()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        return await request.protocol.take_turn(request, self.handler)


async def _await_early(task: asyncio.Task) -> web.StreamResponse:
    try:
        return await task
    finally:
        task.cancel()


def has_queued_requests(request: web.BaseRequest) -> bool:
    """Return whether further requests have been received on the connection of a request."""
    return bool(request.protocol._messages)


def _is_plain(message: RawRequestMessage) -> bool:
    """Return whether a request's end is known from its head, without an interim response."""
    if message.version < HttpVersion11 or message.upgrade or message.chunked:
        return False
    return "Expect" not in message.headers


def _get_content_length(message: RawRequestMessage) -> int | None:
    """Return the length of a request's body, ``None`` if its head does not say it."""
    if message.chunked:
        return None
    text = message.headers.get("Content-Length", "0")
    return int(text) if text.isascii() and text.isdigit() else 0


def _count_head_bytes(message: RawRequestMessage) -> int:
    size = len(message.method) + len(message.path)
    return size + sum(len(name) + len(value) for name, value in message.raw_headers)


def _count_bytes(message: RawRequestMessage) -> int:
    """Return the size of a request with a body of known length, in bytes."""
    return _count_head_bytes(message) + (_get_content_length(message) or 0)
