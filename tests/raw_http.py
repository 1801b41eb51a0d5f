"""Callers and servers of raw bytes, for messages that an HTTP library can't send."""

import asyncio
import contextlib


async def receive_raw(address, request, timeout_s=5.0):
    """Send a request on a new connection; return what is received until the connection closes."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        async with asyncio.timeout(timeout_s):
            return await reader.read(-1)
    finally:
        writer.transport.abort()


@contextlib.asynccontextmanager
async def start_raw_server(response):
    """Run a server that sends some bytes for each request; yields its address."""
    tasks = set()

    async def serve(reader, writer):
        tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(response)
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()


class EndlessServer:
    """A server that sends bytes without end to each connection, once it has got a request.

    :param start: the bytes that are sent first.
    :param repeated: the bytes that follow again and again.
    """

    def __init__(self, start, repeated):
        self._start = start
        self._block = repeated * (65_536 // len(repeated))
        self._tasks = set()
        self.address = ""
        self.sent_bytes = 0

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"
        return self

    async def __aexit__(self, *error):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._start)
            while True:
                writer.write(self._block)
                self.sent_bytes += len(self._block)
                await writer.drain()
                await asyncio.sleep(0)
        writer.transport.abort()
