"""One-way messages (notices) between nodes over ZeroMQ PULL and PUSH sockets.

Notices are small and frequent, so the sockets are read on the event loop's readiness events,
without a future per message. The process's ZeroMQ context creates asyncio sockets, so plain
sockets are created through a shadow of it. A notice is lost if the peer is not connected or its
queue is full.
"""

from __future__ import annotations

import asyncio
import collections
import typing as t

import logbook
import zmq

from ..exceptions import InvalidMessageError
from .messages import Message
from .messages import decode_message
from .messages import encode_message
from .rpc import HEARTBEAT_INTERVAL_MS
from .rpc import MAX_MESSAGE_BYTES

# at about 60 notices per second to each peer, this bounds the backlog to a few seconds
MAX_QUEUED_NOTICES_PER_PEER = 200
# A connection may fail without a reset. This timeout is shorter than that of RPC, since
# reconnecting early is better than delivering outdated notices.
NOTICE_HEARTBEAT_TIMEOUT_MS = 1500
RECONNECT_INTERVAL_MS = 50
MAX_RECONNECT_INTERVAL_MS = 1000
_logger = logbook.Logger("peers")


class NoticeReceiver:
    """Receives notices at one address.

    :param context: the ZeroMQ context of the process.
    :param address: ``ip:port`` to bind; port 0 lets the kernel choose one.
    :param handler: called with each message.
    """

    def __init__(
        self, *, context: zmq.Context, address: str, handler: t.Callable[[Message], None]
    ) -> None:
        self._handler = handler
        self._socket = zmq.Context.shadow(context.underlying).socket(zmq.PULL)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        self._socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_NOTICES_PER_PEER)
        self._socket.bind(f"tcp://{address}")
        endpoint = self._socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix("tcp://").rstrip("\0")
        self.dropped_by_reason: collections.Counter[str] = collections.Counter()
        self._descriptor = self._socket.getsockopt(zmq.FD)

    def start(self) -> None:
        """Start receiving; requires a running event loop."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._descriptor, self._receive_queued_notices)
        # the descriptor is edge-triggered: it does not signal notices that arrived earlier
        loop.call_soon(self._receive_queued_notices)

    def close(self) -> None:
        """Close the socket."""
        asyncio.get_running_loop().remove_reader(self._descriptor)
        self._socket.close()

    def _receive_queued_notices(self) -> None:
        while not self._socket.closed:
            try:
                data = self._socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            try:
                message = decode_message(data)
            except InvalidMessageError as error:
                self.dropped_by_reason["undecodable"] += 1
                _logger.warning("Dropping undecodable notice: {}", error)
                continue
            try:
                self._handler(message)
            except Exception:
                # a failing handler must not stop the receiver
                self.dropped_by_reason["failed"] += 1
                _logger.exception(
                    "Handler failed for notice of type {}; dropping it.", type(message).__name__
                )


class NoticeSender:
    """Sends notices to peers, over one socket per peer that is opened on first use.

    :param context: the ZeroMQ context of the process.
    """

    def __init__(self, *, context: zmq.Context) -> None:
        self._context = zmq.Context.shadow(context.underlying)
        self._sockets: dict[str, zmq.Socket] = {}
        self._closed = False
        self.dropped_notices = 0

    def send(self, addresses: t.Iterable[str], message: Message) -> None:
        """Send a message to several peers.

        It is dropped for peers that are not connected or whose queue is full.
        """
        if self._closed:
            return
        data = encode_message(message)
        for address in addresses:
            try:
                self._get_socket(address).send(data, zmq.NOBLOCK)
            except zmq.Again:
                self.dropped_notices += 1

    def close_except(self, addresses: set[str]) -> None:
        """Close the sockets of all peers except those at the given addresses."""
        for address in list(self._sockets):
            if address not in addresses:
                self._sockets.pop(address).close()

    def close(self) -> None:
        """Close all sockets; later calls of :meth:`send` have no effect."""
        self._closed = True
        self.close_except(set())

    def _get_socket(self, address: str) -> zmq.Socket:
        existing = self._sockets.get(address)
        if existing is not None:
            return existing
        push_socket = self._context.socket(zmq.PUSH)
        push_socket.setsockopt(zmq.LINGER, 0)
        push_socket.setsockopt(zmq.IMMEDIATE, 1)
        push_socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_NOTICES_PER_PEER)
        push_socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        push_socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, NOTICE_HEARTBEAT_TIMEOUT_MS)
        push_socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        push_socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
        push_socket.connect(f"tcp://{address}")
        self._sockets[address] = push_socket
        return push_socket
