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


class RawServer:
    """A server that sends raw bytes for each request.

    :param response: the bytes that are sent first.
    :param repeated: bytes that follow again and again; empty to send no more.
    """

    def __init__(self, response, repeated=b""):
        self._response = response
        self._block = repeated * (65_536 // len(repeated)) if repeated else b""
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
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self._response)
                while self._block:
                    writer.write(self._block)
                    self.sent_bytes += len(self._block)
                    await writer.drain()
                    await asyncio.sleep(0)
        writer.transport.abort()
