"""HTTP/1.1 connection to a backend server, without pipelining, based on aiohttp's parser.

aiohttp's own client is not used because it retries requests by itself on a stale connection,
cannot skip a response that belongs to another request, and does not report whether a request was
sent.
"""

from __future__ import annotations

import asyncio
import re
import socket
import typing as t

import aiohttp
from aiohttp.http import RawResponseMessage
from aiohttp.http import StreamWriter
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.streams import StreamReader
from multidict import CIMultiDict

from ..exceptions import AttemptNotRunError
from ..exceptions import AttemptOutcomeUnknownError
from .keepalive import enable_keepalive
from .response_bodies import read_shared_body
from .response_memory import ResponseMemory
from .response_protocol import InvalidResponseError
from .response_protocol import ResponseProtocol

# size of the largest response head expected from servers; aiohttp's parser limits each line and
# each field of a head, not the whole head
MAX_HEAD_LINE_BYTES = 65_536
READ_BUFFER_BYTES = 262_144
# maximum size of a response to an earlier request, which is skipped
MAX_SKIPPED_BODY_BYTES = 32 * 1024 * 1024
# idle limit of a connection whose server has sent no timeout in a Keep-Alive header
DEFAULT_IDLE_LIMIT_S = 8.0
# idle connections are reused only for this fraction of the timeout in the Keep-Alive header, so
# that no request is sent on a connection that the server is about to close
IDLE_LIMIT_FRACTION = 0.8
# A connection is not used again after a larger body. Its server may have responded without reading
# all of it, which cannot be seen once the kernels hold the rest. Servers read bodies up to this
# size together with the head.
MAX_REUSABLE_BODY_BYTES = 65_536
# A body is passed to the transport in parts of this size, since the transport copies what it
# cannot send at once.
BODY_PART_BYTES = 262_144
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout\s*=\s*(\d{1,6})", re.IGNORECASE)
_TRANSPORT_ERRORS = (
    aiohttp.ClientError,
    aiohttp.EofStream,
    aiohttp.http.HttpProcessingError,
    OSError,
    EOFError,
)


class _ConnectionProtocol(ResponseProtocol):
    """Protocol that closes the connection when data arrives while no response is expected."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._expects_response = False

    def begin_exchange(self) -> None:
        """Expect responses from now on."""
        self._expects_response = True
        self.reset_counts()

    def end_exchange(self) -> None:
        """Expect no response until the next exchange begins."""
        self._expects_response = False

    def data_received(self, data: bytes) -> None:
        """Pass received data to the parser, unless it is surplus."""
        if not self._expects_response:
            self.abort()
            return
        super().data_received(data)


class IncomingResponse(t.NamedTuple):
    """A response whose head has been received.

    :param head: result of decoding status and headers.
    :param body: stream of the body, not read yet.
    """

    status: int
    head: t.Any
    reason: str
    headers: t.Any
    body: StreamReader


class ServerConnection:
    """An open connection to a server.

    :param protocol: the connected protocol.
    :param now: current monotonic time, in seconds.
    """

    __slots__ = (
        "_protocol",
        "_sent_large_body",
        "_upload",
        "idle_limit_s",
        "last_used_at",
        "probe_count",
        "request_count",
        "reused",
    )

    def __init__(self, *, protocol: _ConnectionProtocol, now: float) -> None:
        self._protocol = protocol
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.last_used_at = now
        self.request_count = 0
        self._sent_large_body = False
        # sends the rest of a large body
        self._upload: asyncio.Task | None = None
        # number of probes, whose responses have no request id
        self.probe_count = 0
        # whether the connection was opened before its current use
        self.reused = False

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is open, has no unread data, and its server read all bodies."""
        if self._sent_large_body:
            return False
        return self._protocol.is_connected() and not self._protocol.should_close

    async def send(self, method: str, path: str, headers: CIMultiDict[str], body: bytes) -> None:
        """Send one request; once this has started, the server may run the request.

        A large body is sent in the background, so that a response is received that arrives before
        the server has read the body.

        :raises AttemptNotRunError: if the connection was closed before sending.
        :raises AttemptOutcomeUnknownError: if the connection breaks while sending.
        """
        self.request_count += 1
        if not self._protocol.is_connected():
            raise AttemptNotRunError("closed-before-sending")
        self._protocol.begin_exchange()
        writer = StreamWriter(self._protocol, asyncio.get_running_loop())
        try:
            await writer.write_headers(f"{method} {path} HTTP/1.1", headers)
            if len(body) <= MAX_REUSABLE_BODY_BYTES:
                await writer.write_eof(body)
                return
            self._sent_large_body = True
            writer.send_headers()
            self._upload = asyncio.create_task(_send_body(writer, body))
        except _TRANSPORT_ERRORS as error:
            raise AttemptOutcomeUnknownError("connection-broke") from error

    async def receive_head(self, decode: t.Callable[[int, t.Any], t.Any]) -> IncomingResponse:
        """Read the head of the expected response, skipping all other responses.

        :param decode: decodes status and headers; returns ``None`` for other responses.
        :raises AttemptOutcomeUnknownError: if the connection breaks before the response arrives,
            or receives invalid data, or two responses seem to be one.
        """
        while True:
            try:
                message, payload = await self._protocol.read()
            except InvalidResponseError as error:
                raise AttemptOutcomeUnknownError(error.reason) from error
            except _TRANSPORT_ERRORS as error:
                raise AttemptOutcomeUnknownError("no-response") from error
            if 100 <= message.code < 200:
                continue
            head = decode(message.code, message.headers)
            if head is not None:
                self._update_idle_limit(message)
                return IncomingResponse(
                    message.code, head, message.reason, message.headers, payload
                )
            await self._skip_body(payload)

    async def read_body(
        self, response: IncomingResponse, limit: int, memory: ResponseMemory
    ) -> tuple[bytes, bool]:
        """Read the body of a response, and stop once it exceeds a limit.

        :param limit: maximum size of the body, in bytes.
        :param memory: bounds the size of all bodies that are being received.
        :returns: the data read, and whether it is the complete body.
        :raises AttemptOutcomeUnknownError: if the body is truncated, or was evicted from memory.
        """
        if response.body is EMPTY_PAYLOAD:
            return b"", True
        try:
            return await read_shared_body(response.body, limit, memory, self.close)
        except InvalidResponseError as error:
            raise AttemptOutcomeUnknownError(error.reason) from error
        except _TRANSPORT_ERRORS as error:
            raise AttemptOutcomeUnknownError("response-cut") from error

    def end_exchange(self) -> None:
        """Mark the last response as complete; further data closes the connection."""
        self._protocol.end_exchange()

    def close(self) -> None:
        """Abort the connection immediately, so that the server cancels a running request."""
        if self._upload is not None:
            self._upload.cancel()
        self._protocol.abort()

    def is_write_buffer_empty(self) -> bool:
        """Return whether all written data has been passed to the kernel."""
        transport = self._protocol.transport
        return transport is not None and transport.get_write_buffer_size() == 0

    async def _skip_body(self, payload: StreamReader) -> None:
        if payload is EMPTY_PAYLOAD:
            return
        size = 0
        try:
            while chunk := await payload.readany():
                size += len(chunk)
                if size > MAX_SKIPPED_BODY_BYTES:
                    raise AttemptOutcomeUnknownError("other-response-too-large")
        except _TRANSPORT_ERRORS as error:
            raise AttemptOutcomeUnknownError("response-cut") from error

    def _update_idle_limit(self, message: RawResponseMessage) -> None:
        match = _KEEP_ALIVE_TIMEOUT.search(message.headers.get("Keep-Alive", ""))
        if match is not None:
            self.idle_limit_s = int(match[1]) * IDLE_LIMIT_FRACTION


async def _send_body(writer: StreamWriter, body: bytes) -> None:
    view = memoryview(body)
    try:
        for start in range(0, len(body), BODY_PART_BYTES):
            await writer.write(view[start : start + BODY_PART_BYTES])
            await writer.drain()
    except _TRANSPORT_ERRORS:
        # The broken connection is also noticed by whoever waits for the response.
        return


async def open_connection(address: str, timeout_s: float) -> ServerConnection:
    """Connect to a server.

    :param address: ``ip:port``.
    :param timeout_s: maximum time to connect, in seconds.
    :raises AttemptNotRunError: if the connection fails or times out.
    """
    loop = asyncio.get_running_loop()
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            _, protocol = await loop.create_connection(
                lambda: _ConnectionProtocol(loop), host, int(port)
            )
    except (OSError, TimeoutError) as error:
        raise AttemptNotRunError("connect") from error
    _set_socket_options(protocol)
    protocol.set_response_params(
        read_until_eof=True,
        auto_decompress=False,
        read_bufsize=READ_BUFFER_BYTES,
        max_line_size=MAX_HEAD_LINE_BYTES,
        max_field_size=MAX_HEAD_LINE_BYTES,
    )
    return ServerConnection(protocol=protocol, now=loop.time())


def _set_socket_options(protocol: _ConnectionProtocol) -> None:
    connection_socket = protocol.transport.get_extra_info("socket")
    connection_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    enable_keepalive(connection_socket)
