"""TCP relays between VMs, with which a test partitions a VM by pausing the forwarding of bytes."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec
from aiohttp import web

CHUNK_BYTES = 65_536


class Relay:
    """Listens on a VM's advertised address and forwards bytes to and from its real address.

    :param advertised: the IP address that the other VMs connect to.
    :param address: the IP address that the VM's programs listen on.
    """

    def __init__(self, *, advertised: str, address: str) -> None:
        self._advertised_address = advertised
        self._address = address
        self._forwarding = asyncio.Event()
        self._forwarding.set()

    async def listen(self, port: int) -> None:
        """Start to relay one port."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._relay_connection(port, reader, writer)

        await asyncio.start_server(accept, self._advertised_address, port, backlog=1024)

    def set_paused(self, paused: bool) -> None:
        """Pause or resume forwarding; paused connections stay open."""
        if paused:
            self._forwarding.clear()
        else:
            self._forwarding.set()

    async def _relay_connection(
        self, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            server_reader, server_writer = await asyncio.open_connection(self._address, port)
        except OSError:
            # The VM is stopped. Its clients need a connection reset, which shows that no byte was
            # delivered.
            writer.transport.abort()
            return
        await asyncio.gather(
            self._copy_bytes(reader, server_writer), self._copy_bytes(server_reader, writer)
        )

    async def _copy_bytes(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._forwarding.wait()
                writer.write(chunk)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()


class RelayGroup:
    """The relays of all VMs and their admin endpoint."""

    def __init__(self) -> None:
        self._relays: dict[str, Relay] = {}

    async def handle_admin_request(self, request: web.BaseRequest) -> web.Response:
        """Open a relay (``POST /open``), or pause or resume one (``POST /cut``)."""
        command = msgspec.json.decode(await request.read())
        advertised = command["advertised"]
        if request.path == "/cut":
            self._relays[advertised].set_paused(command["cut"])
            return web.Response()
        if advertised not in self._relays:
            relay = Relay(advertised=advertised, address=command["address"])
            self._relays[advertised] = relay
            for port in command["ports"]:
                await relay.listen(port)
        return web.Response()
