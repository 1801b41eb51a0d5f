"""A relay between VMs, so that a test can cut one off: what reaches it then goes nowhere."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec
from aiohttp import web

CHUNK_BYTES = 65_536


class Relay:
    """Listens for one VM under its advertised address and passes bytes on to its own address.

    :param advertised: the IP that others use.
    :param address: the IP that the VM's programs bind.
    """

    def __init__(self, *, advertised: str, address: str) -> None:
        self._advertised = advertised
        self._address = address
        self._open = asyncio.Event()
        self._open.set()

    async def listen(self, port: int) -> None:
        """Relay one port."""

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._relay(port, reader, writer)

        await asyncio.start_server(accept, self._advertised, port, backlog=1024)

    def cut(self, cut: bool) -> None:
        """Hold back all bytes, or let them go on."""
        if cut:
            self._open.clear()
        else:
            self._open.set()

    async def _relay(
        self, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            inner_reader, inner_writer = await asyncio.open_connection(self._address, port)
        except OSError:
            # what connects to a dead VM must see that no byte was taken
            writer.transport.abort()
            return
        await asyncio.gather(self._copy(reader, inner_writer), self._copy(inner_reader, writer))

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._open.wait()
                writer.write(chunk)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()


class RelayGroup:
    """The relays of all VMs, and the address to administer them."""

    def __init__(self) -> None:
        self._relays: dict[str, Relay] = {}

    async def administer(self, request: web.BaseRequest) -> web.Response:
        """Open a relay (``POST /open``) or cut one (``POST /cut``)."""
        order = msgspec.json.decode(await request.read())
        advertised = order["advertised"]
        if request.path == "/cut":
            self._relays[advertised].cut(order["cut"])
            return web.Response()
        if advertised not in self._relays:
            relay = Relay(advertised=advertised, address=order["address"])
            self._relays[advertised] = relay
            for port in order["ports"]:
                await relay.listen(port)
        return web.Response()
