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
async def start_raw_server(start, repeated=b""):
    """Run a server that responds to each request with raw bytes; yields its address.

    :param start: the bytes that are sent first.
    :param repeated: bytes that are sent without end after these; empty to send no more, and to
        keep the connection open.
    """
    tasks = set()

    async def serve(reader, writer):
        tasks.add(asyncio.current_task())
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(start)
                while repeated:
                    writer.write(repeated * (65_536 // len(repeated)))
                    await writer.drain()
                    await asyncio.sleep(0)
        writer.transport.abort()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()
        for task in tasks:
            task.cancel()
