"""aiohttp's protocol of HTTP/1.1 client connections, with strict heads and bounded framing.

All connections on which this project reads responses use it.
"""

from __future__ import annotations

import asyncio
import functools
import typing as t

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader

from .response_heads import REASON_INVALID
from .response_scanner import ResponseScanner

# Per request, a server may send this many bytes outside of bodies (heads, chunk sizes, trailers)
# in addition to twice the size of the bodies.
MAX_FRAMING_BYTES = 262_144


class InvalidResponseError(aiohttp.ClientError):
    """A server has sent bytes that are no valid response.

    :param reason: :data:`~.response_heads.REASON_INVALID` or
        :data:`~.response_heads.REASON_HEADS_MERGED`.
    :param detail: what is invalid.
    """

    def __init__(self, reason: str, detail: str) -> None:
        self.reason = reason
        super().__init__(f"{reason}: {detail}")


class ResponseProtocol(ResponseHandler):
    """aiohttp's protocol, with stricter handling of connections that send invalid data.

    An invalid head, and framing without end, end the connection. A connection reset ends an
    incomplete body with an error; aiohttp completes a body that is delimited by the close of the
    connection even on a reset.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._scanner = ResponseScanner()
        self._received_bytes = 0
        self._finished_body_bytes = 0
        self._current_body: StreamReader | None = None

    def set_response_params(self, **params: t.Any) -> None:
        """Expect a response from now on."""
        self._scanner = ResponseScanner(has_bodies=not params.get("skip_payload", False))
        self.reset_counts()
        super().set_response_params(**params)

    def reset_counts(self) -> None:
        """Count the bytes of the next response from zero."""
        self._received_bytes = 0
        self._finished_body_bytes = 0
        self._current_body = None

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Record the body of a new response, and queue the response."""
        if not self._scanner.valid_heads:
            # The parser has found a head where the scanner has not.
            self._fail(InvalidResponseError(REASON_INVALID, "unchecked head"))
            return
        self._scanner.valid_heads -= 1
        self._finished_body_bytes = self._count_body_bytes()
        _, self._current_body = data
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Pass received data to the parser, up to an invalid head."""
        if self._parser is None or not data:
            super().data_received(data)
            return
        self._received_bytes += len(data)
        valid_size = self._scanner.scan(data)
        if valid_size:
            super().data_received(data[:valid_size])
        if valid_size < len(data):
            self._fail(InvalidResponseError(self._scanner.fault, "invalid head"))
        elif self._received_bytes > MAX_FRAMING_BYTES + 2 * self._count_body_bytes():
            self._fail(InvalidResponseError(REASON_INVALID, "too many bytes outside of bodies"))

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """End the expected response with an error; one of the parser means an invalid response."""
        if isinstance(exc, HttpProcessingError):
            exc = InvalidResponseError(REASON_INVALID, exc.message or "not parsable")
        super().set_exception(exc, *cause)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End an incomplete body with an error if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"), exc)
        super().connection_lost(exc)

    def _count_body_bytes(self) -> int:
        current = 0 if self._current_body is None else self._current_body.total_bytes
        return self._finished_body_bytes + current

    def _fail(self, error: aiohttp.ClientError) -> None:
        self.abort()
        self.set_exception(error)
        if self._current_body is not None and not self._current_body.is_eof():
            self._current_body.set_exception(error)


def open_connector(**options: t.Any) -> aiohttp.TCPConnector:
    """Return a connector for client sessions whose connections are checked.

    :param options: options of the connector.
    """
    connector = aiohttp.TCPConnector(**options)
    connector._factory = functools.partial(ResponseProtocol, asyncio.get_running_loop())
    return connector
