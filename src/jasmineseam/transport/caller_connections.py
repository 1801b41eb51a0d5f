"""Server side of the connections from callers, with idle and request head timeouts."""

from __future__ import annotations

import asyncio
import time
import typing as t

import logbook
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError
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


class CallerConnection(RedactingConnection):
    """aiohttp's protocol, extended by the state of the current request.

    The times are monotonic, in seconds. ``idle_since`` is the end of the last request, or the
    start of the connection. ``head_started_at`` is the arrival of the first byte of the next
    request, ``None`` if no byte has arrived. ``has_request`` is set while a request is being
    handled, ``rejected`` once the connection is closed because of a slow or endless request head.
    """

    __slots__ = (
        "_served_request",
        "_unparsed_bytes",
        "has_request",
        "head_started_at",
        "idle_since",
        "rejected",
    )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Initialize the state of a new connection."""
        self.idle_since = time.monotonic()
        self.head_started_at: float | None = None
        self.has_request = False
        self.rejected = False
        self._served_request = False
        self._unparsed_bytes = 0
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Record the start of a request head, and pass the data to the parser."""
        if not self.has_request and self.head_started_at is None:
            self.head_started_at = time.monotonic()
        if not self.has_request:
            self._unparsed_bytes += len(data)
            if self._unparsed_bytes > MAX_UNPARSED_BYTES:
                # After an earlier request, the data may be the rest of its body, which calls for
                # no further response.
                self._reject(b"" if self._served_request else HEAD_TOO_LARGE_RESPONSE)
                return
        super().data_received(data)

    def begin_request(self) -> bool:
        """Record that a request head is complete; return whether the request may still be run."""
        self.has_request = True
        self.head_started_at = None
        self._unparsed_bytes = 0
        return not self.rejected

    def end_request(self) -> None:
        """Record that the response to the request is complete."""
        self.has_request = False
        self._served_request = True
        self.idle_since = time.monotonic()

    def is_idle(self, min_idle_s: float) -> bool:
        """Return whether the last *min_idle_s* seconds had no request and no data."""
        if self.has_request or self.head_started_at is not None:
            return False
        return time.monotonic() - self.idle_since >= min_idle_s

    def time_out_slow_head(self, timeout_s: float) -> None:
        """Respond with 408 and close if the request head has taken *timeout_s* seconds or more."""
        if self.has_request or self.head_started_at is None:
            return
        if time.monotonic() - self.head_started_at < timeout_s:
            return
        self._reject(REQUEST_TIMEOUT_RESPONSE)

    def _reject(self, response: bytes) -> None:
        self.rejected = True
        if self.transport is not None and response:
            self.transport.write(response)
        self.force_close()


class CallerServer(web.Server):
    """aiohttp server whose connections are :class:`CallerConnection` objects.

    :param handler: coroutine that handles a request.
    :param options: options of aiohttp's protocol.
    """

    def __init__(self, handler: t.Callable, **options: t.Any) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._options = {**options, "keepalive_timeout": AIOHTTP_KEEPALIVE_TIMEOUT_S}

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
