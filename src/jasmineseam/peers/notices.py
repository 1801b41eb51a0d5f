"""One-way messages between nodes over pyzmq: a PULL that receives, and a PUSH for each peer.

Notices are many and small, so their sockets are served from the loop's own readiness events,
without a future for each message. A notice is lost if its peer is not connected or falls behind.
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

# messages that wait for one peer; at some sixty a second these are few seconds' worth
MAX_QUEUED_NOTICES_PER_PEER = 200
# links may fall silent without a reset, and a new one is better than old news
HEARTBEAT_TIMEOUT_MS = 1500
RECONNECT_INTERVAL_MS = 50
MAX_RECONNECT_INTERVAL_MS = 1000
_logger = logbook.Logger("peers")


class NoticeReceiver:
    """Receives notices at one address.

    :param context: of the process.
    :param address: ``ip:port`` to bind to; port 0 lets the kernel choose.
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
        """Begin to receive; a loop must be running."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._descriptor, self._drain)
        # the descriptor tells of changes only, and some may have come before
        loop.call_soon(self._drain)

    def close(self) -> None:
        """Close the socket."""
        asyncio.get_running_loop().remove_reader(self._descriptor)
        self._socket.close()

    def _drain(self) -> None:
        while not self._socket.closed:
            try:
                data = self._socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            try:
                message = decode_message(data)
            except InvalidMessageError as error:
                self.dropped_by_reason["undecodable"] += 1
                _logger.warning("Notice dropped: {}", error)
                continue
            try:
                self._handler(message)
            except Exception:
                # one peer's message must never end the process
                self.dropped_by_reason["failed"] += 1
                _logger.exception("Notice of type {} failed.", type(message).__name__)


class NoticeSender:
    """Sends notices to peers, over a socket for each that is opened on first use.

    :param context: of the process.
    """

    def __init__(self, *, context: zmq.Context) -> None:
        self._context = zmq.Context.shadow(context.underlying)
        self._sockets: dict[str, zmq.Socket] = {}
        self._closed = False
        self.dropped_count = 0

    def send(self, addresses: t.Iterable[str], message: Message) -> None:
        """Send a message to several peers; those that can't take it now don't get it."""
        if self._closed:
            return
        data = encode_message(message)
        for address in addresses:
            try:
                self._get_socket(address).send(data, zmq.NOBLOCK)
            except zmq.Again:
                self.dropped_count += 1

    def close_except(self, addresses: set[str]) -> None:
        """Close the sockets to all other peers."""
        for address in list(self._sockets):
            if address not in addresses:
                self._sockets.pop(address).close()

    def close(self) -> None:
        """Close all sockets, and open no more."""
        self._closed = True
        self.close_except(set())

    def _get_socket(self, address: str) -> zmq.Socket:
        held = self._sockets.get(address)
        if held is not None:
            return held
        opened = self._context.socket(zmq.PUSH)
        opened.setsockopt(zmq.LINGER, 0)
        opened.setsockopt(zmq.IMMEDIATE, 1)
        opened.setsockopt(zmq.SNDHWM, MAX_QUEUED_NOTICES_PER_PEER)
        opened.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        opened.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        opened.setsockopt(zmq.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        opened.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS)
        opened.connect(f"tcp://{address}")
        self._sockets[address] = opened
        return opened
