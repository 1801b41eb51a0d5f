"""One-way messages between nodes in UDP datagrams.

A node needs one socket for any number of peers. Datagrams may be lost, repeated or reordered, so
every message must tolerate that. A message that exceeds :data:`MAX_DATAGRAM_BYTES` is divided by
its sender.
"""

from __future__ import annotations

import asyncio
import collections
import typing as t

import logbook

from ..exceptions import InvalidMessageError
from ..membership.addresses import parse_address
from .messages import Message
from .messages import decode_message
from .messages import encode_message

# fits into one Ethernet frame
MAX_DATAGRAM_BYTES = 1400
_logger = logbook.Logger("peers")

DatagramHandler = t.Callable[[Message], None]


class DatagramEndpoint(asyncio.DatagramProtocol):
    """Sends and receives messages at one address.

    :param handler: called with each received message.
    """

    def __init__(self, *, handler: DatagramHandler) -> None:
        self._handler = handler
        self._transport: asyncio.DatagramTransport | None = None
        self.sent_count = 0
        self.sent_bytes = 0
        self.dropped_by_reason: collections.Counter[str] = collections.Counter()

    async def open(self, address: str) -> None:
        """Bind an address, ``ip:port``."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, int(port)))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for sending."""
        self._transport = t.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and handle one datagram."""
        try:
            message = decode_message(data)
        except InvalidMessageError as error:
            self.dropped_by_reason["undecodable"] += 1
            _logger.warning("Dropping undecodable datagram from {}: {}", addr[0], error)
            return
        try:
            self._handler(message)
        except Exception:
            # a failing handler must not stop the endpoint
            self.dropped_by_reason["failed"] += 1
            _logger.exception(
                "Handler failed for datagram of type {}; dropping it.", type(message).__name__
            )

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that the network rejected; the next one is sent all the same."""
        self.dropped_by_reason["rejected"] += 1

    def send(self, address: str, message: Message) -> None:
        """Send a message to an address, ``ip:port``."""
        self.send_to_all([address], message)

    def send_to_all(self, addresses: t.Iterable[str], message: Message) -> None:
        """Send a message to several addresses."""
        if self._transport is None or self._transport.is_closing():
            return
        data = encode_message(message)
        for address in addresses:
            # asyncio closes the socket if the kernel's address can't be built.
            try:
                self._transport.sendto(data, parse_address(address))
            except (OSError, ValueError) as error:
                self.dropped_by_reason["unsendable"] += 1
                _logger.debug("Datagram to {} was not sent: {}", address, error)
                continue
            self.sent_count += 1
            self.sent_bytes += len(data)

    def close(self) -> None:
        """Close the socket; messages sent later are dropped."""
        if self._transport is not None:
            self._transport.close()
