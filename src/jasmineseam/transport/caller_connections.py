"""Connections of callers: which ones hold a request, and since when the others are quiet."""

from __future__ import annotations

import asyncio
import time
import typing as t

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

# longer than any idle limit: aiohttp's own limit can't be changed while it runs
AIOHTTP_KEEPALIVE_TIMEOUT_S = 86_400.0
# an answer that was just made has left the program's hands after this time, in seconds
RESPONSE_FLUSH_TIME_S = 0.1
REQUEST_TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class CallerConnection(RequestHandler):
    """aiohttp's protocol, which besides knows what its caller is doing.

    Attributes are in seconds, monotonic: ``quiet_since`` is when the last request ended,
    ``head_began_at`` is when the first bytes of the next one came, ``None`` if there are none.
    """

    __slots__ = ("has_request", "head_began_at", "idle_since", "timed_out")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a new connection."""
        self.idle_since = time.monotonic()
        self.head_began_at: float | None = None
        self.has_request = False
        self.timed_out = False
        super().connection_made(transport)

    def data_received(self, data: bytes) -> None:
        """Take bytes from the caller."""
        if not self.has_request and self.head_began_at is None:
            self.head_began_at = time.monotonic()
        super().data_received(data)

    def begin_request(self) -> bool:
        """Note that a whole head has come; returns whether the request may still be run."""
        self.has_request = True
        self.head_began_at = None
        return not self.timed_out

    def end_request(self) -> None:
        """Note that a request's answer is made."""
        self.has_request = False
        self.idle_since = time.monotonic()

    def is_quiet(self, for_s: float) -> bool:
        """Tell whether nothing has come or was asked for so long, in seconds."""
        if self.has_request or self.head_began_at is not None:
            return False
        return time.monotonic() - self.idle_since >= for_s

    def refuse_slow_head(self, limit_s: float) -> None:
        """End the connection if a request's head takes longer than a time, in seconds."""
        if self.has_request or self.head_began_at is None:
            return
        if time.monotonic() - self.head_began_at < limit_s:
            return
        self.timed_out = True
        if self.transport is not None:
            self.transport.write(REQUEST_TIMEOUT_RESPONSE)
        self.force_close()


class CallerServer(web.Server):
    """Takes callers' connections.

    :param handler: answers a request.
    :param options: of aiohttp's protocol.
    """

    def __init__(self, handler: t.Callable, **options: t.Any) -> None:
        super().__init__(handler, handler_cancellation=True)
        self._options = {**options, "keepalive_timeout": AIOHTTP_KEEPALIVE_TIMEOUT_S}

    def __call__(self) -> CallerConnection:
        """Return the protocol of a new connection."""
        return CallerConnection(self, loop=asyncio.get_running_loop(), **self._options)

    def close_idle_connections(self, for_s: float = RESPONSE_FLUSH_TIME_S) -> None:
        """Close the connections that were quiet for so long, in seconds."""
        for connection in self.connections:
            if connection.is_quiet(for_s):
                connection.force_close()

    def time_out_slow_heads(self, limit_s: float) -> None:
        """End the connections whose request's head takes longer than a time, in seconds."""
        for connection in self.connections:
            connection.refuse_slow_head(limit_s)
