"""Request/reply messaging between processes over ZeroMQ.

A process receives requests on one ROUTER socket and sends requests on one DEALER socket per peer.
The frames of a request or reply are a request number of 8 bytes and one encoded message.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import struct
import time
import typing as t

import logbook
import zmq
import zmq.asyncio

from ..exceptions import InvalidMessageError
from ..exceptions import PeerReplyLostError
from ..exceptions import PeerUnreachableError
from .messages import Message
from .messages import RefusedReply
from .messages import decode_message
from .messages import encode_message

HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 3000
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
MAX_QUEUED_MESSAGES_PER_PEER = 1000
MAX_CONCURRENT_HANDLERS = 2000
SEND_TIMEOUT_S = 0.5
_REQUEST_NUMBER_FORMAT = struct.Struct("!Q")
_logger = logbook.Logger("peers")

MessageHandler = t.Callable[[Message], t.Awaitable[Message]]


class PeerServer:
    """Receives requests at a process's control address and sends the replies.

    :param context: the ZeroMQ context of the process.
    :param host: IP address to bind; the server listens on no other address.
    :param port: port to bind, 0 to let the kernel choose one.
    :param handler: called for each message; its return value is the reply.
    """

    def __init__(
        self, *, context: zmq.asyncio.Context, host: str, port: int, handler: MessageHandler
    ):
        self._handler = handler
        self._socket = context.socket(zmq.ROUTER)
        self._socket.setsockopt(zmq.LINGER, 200)
        self._socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_MESSAGES_PER_PEER)
        self._socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES_PER_PEER)
        self._socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        self._socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self._socket.bind(f"tcp://{host}:{port}")
        endpoint = self._socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix("tcp://").rstrip("\0")
        self._handler_tasks: set[asyncio.Task] = set()
        self.dropped_by_reason: collections.Counter[str] = collections.Counter()

    async def serve(self) -> None:
        """Receive messages until cancelled.

        Malformed messages, and messages while :data:`MAX_CONCURRENT_HANDLERS` are running, are
        counted and dropped.
        """
        while True:
            frames = await self._socket.recv_multipart()
            if len(frames) != 3 or len(frames[1]) != _REQUEST_NUMBER_FORMAT.size:
                self.dropped_by_reason["frames"] += 1
                continue
            if len(self._handler_tasks) >= MAX_CONCURRENT_HANDLERS:
                self.dropped_by_reason["busy"] += 1
                continue
            try:
                message = decode_message(frames[2])
            except InvalidMessageError as error:
                self.dropped_by_reason["undecodable"] += 1
                _logger.warning("Dropping undecodable message: {}", error)
                continue
            task = asyncio.create_task(self._handle_request(frames[0], frames[1], message))
            self._handler_tasks.add(task)
            task.add_done_callback(self._handler_tasks.discard)

    async def _handle_request(
        self, identity: bytes, request_number: bytes, message: Message
    ) -> None:
        try:
            reply = await self._handler(message)
        except Exception:
            # a failing handler must not stop the server; the peer receives a refusal
            self.dropped_by_reason["failed"] += 1
            _logger.exception(
                "Handler failed for message of type {}; refusing the request.",
                type(message).__name__,
            )
            reply = RefusedReply(reason="internal-error")
        with contextlib.suppress(zmq.ZMQError):
            await self._socket.send_multipart([identity, request_number, encode_message(reply)])

    def close(self) -> None:
        """Close the socket; replies already queued are still sent for up to 200 ms (LINGER)."""
        for task in self._handler_tasks:
            task.cancel()
        self._socket.close()


class PeerClient:
    """Sends requests to one peer's control address.

    The socket accepts messages only while it is connected, so :exc:`PeerUnreachableError` means
    that nothing was delivered. When the connection breaks, all pending requests fail at once.

    :param context: the ZeroMQ context of the process.
    :param address: the peer's control address, ``ip:port``.
    """

    def __init__(self, *, context: zmq.asyncio.Context, address: str) -> None:
        self.address = address
        self._socket = context.socket(zmq.DEALER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_MESSAGES_PER_PEER)
        self._socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        self._socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL, 50)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        self._monitor = self._socket.get_monitor_socket(zmq.EVENT_DISCONNECTED)
        self._socket.connect(f"tcp://{address}")
        self._pending_replies: dict[int, asyncio.Future] = {}
        self._last_request_number = 0
        self._receive_task = asyncio.create_task(self._receive())
        self._monitor_task = asyncio.create_task(self._fail_pending_requests_on_disconnect())

    async def request(
        self, message: Message, timeout_s: float, *, send_timeout_s: float = SEND_TIMEOUT_S
    ) -> t.Any:
        """Send a message and wait for its reply.

        :param timeout_s: time limit in seconds, applied to sending (at most *send_timeout_s*) and
            then again to the reply.
        :param send_timeout_s: time limit for sending, in seconds.
        :raises PeerUnreachableError: if nothing was delivered.
        :raises PeerReplyLostError: if the message may have been delivered, but no reply arrived.
        """
        self._last_request_number += 1
        request_number = self._last_request_number
        frames = [_REQUEST_NUMBER_FORMAT.pack(request_number), encode_message(message)]
        reply = asyncio.get_running_loop().create_future()
        self._pending_replies[request_number] = reply
        try:
            await self._send(frames, min(timeout_s, send_timeout_s))
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError as error:
            raise PeerReplyLostError(
                f"{self.address}: message sent, but no reply within {timeout_s:.3f} s"
            ) from error
        finally:
            del self._pending_replies[request_number]
            if reply.done() and not reply.cancelled():
                # The future is not awaited if the connection breaks while the message is being
                # sent. Without this call, asyncio would log that its exception was not retrieved.
                reply.exception()

    async def _send(self, frames: list[bytes], timeout_s: float) -> None:
        sending = asyncio.ensure_future(self._socket.send_multipart(frames))
        try:
            await asyncio.wait({sending}, timeout=timeout_s)
        finally:
            # A message that was sent at the moment of the timeout can't be cancelled any more.
            sending.cancel()
        if sending.cancelled() or sending.exception() is not None:
            raise PeerUnreachableError(f"{self.address}: message not sent, no connection")

    async def _receive(self) -> None:
        while True:
            frames = await self._socket.recv_multipart()
            if len(frames) != 2 or len(frames[0]) != _REQUEST_NUMBER_FORMAT.size:
                continue
            reply = self._pending_replies.get(_REQUEST_NUMBER_FORMAT.unpack(frames[0])[0])
            if reply is None or reply.done():
                continue
            try:
                reply.set_result(decode_message(frames[1]))
            except InvalidMessageError as error:
                reply.set_exception(
                    PeerReplyLostError(f"{self.address}: malformed reply: {error}")
                )

    async def _fail_pending_requests_on_disconnect(self) -> None:
        while True:
            await self._monitor.recv_multipart()
            for reply in self._pending_replies.values():
                if reply.done():
                    continue
                reply.set_exception(
                    PeerReplyLostError(f"{self.address}: connection broke before the reply")
                )

    def has_pending_requests(self) -> bool:
        """Return whether requests wait for their replies."""
        return bool(self._pending_replies)

    def close(self) -> None:
        """Close the connection; pending requests fail."""
        self._receive_task.cancel()
        self._monitor_task.cancel()
        for reply in self._pending_replies.values():
            if reply.done():
                continue
            reply.set_exception(
                PeerReplyLostError(f"{self.address}: client closed before the reply")
            )
            # The future may no longer be awaited. Without this call, asyncio would log that its
            # exception was not retrieved.
            reply.exception()
        self._socket.disable_monitor()
        self._monitor.close()
        self._socket.close()


class PeerClients:
    """The peer clients of one process, one per address, created on first use."""

    def __init__(self, *, context: zmq.asyncio.Context) -> None:
        self._context = context
        self._clients: dict[str, PeerClient] = {}
        # monotonic time of the last call of get for each address, in seconds
        self._used_at: dict[str, float] = {}

    @property
    def addresses(self) -> list[str]:
        """Addresses with an open client."""
        return list(self._clients)

    def get(self, address: str) -> PeerClient:
        """Return the client for an address; create it if there is none."""
        client = self._clients.get(address)
        if client is None:
            client = PeerClient(context=self._context, address=address)
            self._clients[address] = client
        self._used_at[address] = time.monotonic()
        return client

    def close_idle(self, min_idle_s: float) -> None:
        """Close the clients that have not been used for a time and have no pending requests."""
        now = time.monotonic()
        self.close_except(
            {
                address
                for address, client in self._clients.items()
                if now - self._used_at[address] < min_idle_s or client.has_pending_requests()
            }
        )

    def close_except(self, addresses: set[str]) -> None:
        """Close all clients except those for the given addresses."""
        for address in list(self._clients):
            if address not in addresses:
                self._clients.pop(address).close()
                del self._used_at[address]

    def close(self) -> None:
        """Close all clients."""
        self.close_except(set())
