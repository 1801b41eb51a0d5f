"""A TCP proxy between one node and one instance, which cuts the path between them."""

from __future__ import annotations

import asyncio
import contextlib
import socket

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
# More connections than the queue of a socket with a backlog of 0 holds.
QUEUE_FILLING_CONNECTIONS = 4


class PathProxy:
    """Forwards the connections to an instance until the path is cut.

    :param target: ``ip:port`` of the instance.
    """

    def __init__(self, *, target: str) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._forwarding = asyncio.Event()
        self._forwarding.set()
        # sockets that fill the queue of new connections, so that further ones hang
        self._blocking_sockets: list[socket.socket] = []

    @property
    def address(self) -> str:
        """The address, ``ip:port``, at which the proxy listens."""
        return f"{HOST}:{self._port}"

    async def start(self) -> None:
        """Start to listen; later calls use the same port."""
        self._server = await asyncio.start_server(self._serve, HOST, self._port)
        self._port = self._server.sockets[0].getsockname()[1]

    def cut(self, *, connecting: str, established: str) -> None:
        """Cut the path.

        :param connecting: what new connections do: ``hang`` or ``reset``.
        :param established: what open connections do: ``break``, ``hang`` or ``work``.
        """
        self._server.close()
        self._server = None
        if connecting == "hang":
            self._block_port()
        if established == "hang":
            self._forwarding.clear()
        if established == "break":
            for writer in list(self._writers):
                writer.transport.abort()

    async def restore(self) -> None:
        """End the cut; bytes that were held up are forwarded."""
        for blocking_socket in self._blocking_sockets:
            blocking_socket.close()
        self._blocking_sockets.clear()
        self._forwarding.set()
        await self.start()

    def stop(self) -> None:
        """Close all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        for blocking_socket in self._blocking_sockets:
            blocking_socket.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def _block_port(self) -> None:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((HOST, self._port))
        listener.listen(0)
        self._blocking_sockets.append(listener)
        for _ in range(QUEUE_FILLING_CONNECTIONS):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex((HOST, self._port))
            self._blocking_sockets.append(filling)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._copy(reader, target_writer), self._copy(target_reader, writer)
            )
        finally:
            self._writers -= {writer, target_writer}

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await self._forwarding.wait()
                writer.write(chunk)
                await writer.drain()
        writer.transport.abort()
