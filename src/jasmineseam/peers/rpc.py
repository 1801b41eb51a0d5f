"""Request and reply over pyzmq: a ROUTER that serves, and a DEALER for each peer.

Frames: a request number of 8 bytes, then one encoded message.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import struct
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
_NUMBER = struct.Struct("!Q")
_logger = logbook.Logger("peers")

MessageHandler = t.Callable[[Message], t.Awaitable[Message]]


class PeerServer:
    """Serves one process's control address.

    :param host: the configured IP; nothing else is bound.
    :param port: 0 lets the kernel choose.
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
        self._handlers: set[asyncio.Task] = set()
        self.dropped_by_reason: collections.Counter[str] = collections.Counter()

    async def serve(self) -> None:
        """Receive messages until cancelled; a bad one is counted and dropped."""
        while True:
            frames = await self._socket.recv_multipart()
            if len(frames) != 3 or len(frames[1]) != _NUMBER.size:
                self.dropped_by_reason["frames"] += 1
                continue
            if len(self._handlers) >= MAX_CONCURRENT_HANDLERS:
                self.dropped_by_reason["busy"] += 1
                continue
            try:
                message = decode_message(frames[2])
            except InvalidMessageError as error:
                self.dropped_by_reason["undecodable"] += 1
                _logger.warning("Message dropped: {}", error)
                continue
            task = asyncio.create_task(self._answer(frames[0], frames[1], message))
            self._handlers.add(task)
            task.add_done_callback(self._handlers.discard)

    async def _answer(self, identity: bytes, number: bytes, message: Message) -> None:
        try:
            reply = await self._handler(message)
        except Exception:
            # one peer's message must never end the process
            self.dropped_by_reason["failed"] += 1
            _logger.exception("Message of type {} failed.", type(message).__name__)
            reply = RefusedReply(reason="internal-error")
        with contextlib.suppress(zmq.ZMQError):
            await self._socket.send_multipart([identity, number, encode_message(reply)])

    def close(self) -> None:
        """Close the socket; replies already handed to it are still sent for a moment."""
        for task in self._handlers:
            task.cancel()
        self._socket.close()


class PeerClient:
    """A link to one peer's control address.

    A message is handed only to an established connection, so that :exc:`PeerUnreachableError`
    means that nothing was delivered. Once the connection breaks, all replies still missing are
    given up at once.
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
        self._waiting: dict[int, asyncio.Future] = {}
        self._number = 0
        self._receiver = asyncio.create_task(self._receive())
        self._watcher = asyncio.create_task(self._watch())

    async def request(self, message: Message, timeout_s: float) -> t.Any:
        """Send a message and wait for its reply.

        :raises PeerUnreachableError: nothing was delivered.
        :raises PeerAnswerLostError: the message may have been delivered.
        """
        self._number += 1
        number = self._number
        frames = [_NUMBER.pack(number), encode_message(message)]
        reply = asyncio.get_running_loop().create_future()
        self._waiting[number] = reply
        try:
            await self._send(frames, min(timeout_s, SEND_TIMEOUT_S))
            async with asyncio.timeout(timeout_s):
                return await reply
        except TimeoutError as error:
            raise PeerReplyLostError(f"{self.address}: no reply in {timeout_s:.3f} s") from error
        finally:
            del self._waiting[number]
            if reply.done() and not reply.cancelled():
                # it may have broken while the message was still being sent
                reply.exception()

    async def _send(self, frames: list[bytes], timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._socket.send_multipart(frames)
        except (TimeoutError, zmq.ZMQError) as error:
            raise PeerUnreachableError(f"{self.address}: not connected") from error

    async def _receive(self) -> None:
        while True:
            frames = await self._socket.recv_multipart()
            if len(frames) != 2 or len(frames[0]) != _NUMBER.size:
                continue
            reply = self._waiting.get(_NUMBER.unpack(frames[0])[0])
            if reply is None or reply.done():
                continue
            try:
                reply.set_result(decode_message(frames[1]))
            except InvalidMessageError as error:
                reply.set_exception(PeerReplyLostError(f"{self.address}: {error}"))

    async def _watch(self) -> None:
        while True:
            await self._monitor.recv_multipart()
            for reply in self._waiting.values():
                if reply.done():
                    continue
                reply.set_exception(PeerReplyLostError(f"{self.address}: connection broke"))

    def close(self) -> None:
        """Close the link; replies still missing are given up."""
        self._receiver.cancel()
        self._watcher.cancel()
        for reply in self._waiting.values():
            if reply.done():
                continue
            reply.set_exception(PeerReplyLostError(f"{self.address}: link closed"))
            # nobody may be left to retrieve it
            reply.exception()
        self._socket.disable_monitor()
        self._monitor.close()
        self._socket.close()


class PeerClients:
    """The links of one process, opened on first use; one for each address."""

    def __init__(self, *, context: zmq.asyncio.Context) -> None:
        self._context = context
        self._links: dict[str, PeerClient] = {}

    @property
    def addresses(self) -> list[str]:
        """The addresses that links are open to."""
        return list(self._links)

    def get(self, address: str) -> PeerClient:
        """Return the link to an address."""
        link = self._links.get(address)
        if link is None:
            link = PeerClient(context=self._context, address=address)
            self._links[address] = link
        return link

    def close_except(self, addresses: set[str]) -> None:
        """Close the links to all other addresses."""
        for address in list(self._links):
            if address not in addresses:
                self._links.pop(address).close()

    def close(self) -> None:
        """Close all links."""
        self.close_except(set())
