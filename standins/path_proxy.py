"""A TCP proxy, which cuts or disturbs the path to one target."""

from __future__ import annotations

import asyncio
import contextlib
import socket

HOST = "127.0.0.1"
CHUNK_BYTES = 65_536
# More connections than the queue of a socket with a backlog of 0 holds.
QUEUE_FILLING_CONNECTIONS = 4


class PathProxy:
    """Forwards the connections to a target until the path is cut.

    :param target: ``ip:port`` of the target.
    :param host: the IP address to listen on.
    """

    def __init__(self, *, target: str, host: str = HOST) -> None:
        self._target = target
        self._host = host
        self._server: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        # set while bytes are forwarded to the target, and from it
        self._sending, self._receiving = asyncio.Event(), asyncio.Event()
        self._sending.set()
        self._receiving.set()
        # delay of each chunk in either direction, in seconds
        self.delay_s = 0.0
        # sockets that fill the queue of new connections, so that further ones hang
        self._blocking_sockets: list[socket.socket] = []

    @property
    def address(self) -> str:
        """The address, ``ip:port``, at which the proxy listens."""
        return f"{self._host}:{self._port}"

    async def start(self) -> None:
        """Start to listen; later calls use the same port."""
        self._server = await asyncio.start_server(self._serve, self._host, self._port)
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
            self.hold(sending=True, receiving=True)
        if established == "break":
            for writer in list(self._writers):
                writer.transport.abort()

    def hold(self, *, sending: bool, receiving: bool) -> None:
        """Accept connections but forward nothing to the target, or nothing from it."""
        if sending:
            self._sending.clear()
        if receiving:
            self._receiving.clear()

    def release(self) -> None:
        """Forward in both directions, also the bytes that were held up."""
        self._sending.set()
        self._receiving.set()

    async def restore(self) -> None:
        """End the cut; bytes that were held up are forwarded."""
        for blocking_socket in self._blocking_sockets:
            blocking_socket.close()
        self._blocking_sockets.clear()
        self.release()
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
        listener.bind((self._host, self._port))
        listener.listen(0)
        self._blocking_sockets.append(listener)
        for _ in range(QUEUE_FILLING_CONNECTIONS):
            filling = socket.socket()
            filling.setblocking(False)
            filling.connect_ex((self._host, self._port))
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
                self._copy(reader, target_writer, self._sending),
                self._copy(target_reader, writer, self._receiving),
            )
        finally:
            self._writers -= {writer, target_writer}

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, forwarding: asyncio.Event
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                await forwarding.wait()
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                writer.write(chunk)
                await writer.drain()
        writer.transport.abort()
