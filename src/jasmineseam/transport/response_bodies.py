"""Reading the bodies of responses, up to a limit."""

from __future__ import annotations

import typing as t

import aiohttp
from aiohttp.streams import StreamReader

from ..exceptions import AttemptOutcomeUnknownError
from .response_memory import ResponseMemory


async def read_limited_body(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """Return the whole body of a response.

    :param limit: maximum size of the body, in bytes.
    :raises aiohttp.ClientPayloadError: if the body is truncated or larger; the connection is not
        used again then.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > limit:
            raise aiohttp.ClientPayloadError(f"body exceeds {limit} bytes")
    return bytes(body)


async def read_shared_body(
    stream: StreamReader, limit: int, memory: ResponseMemory, abort: t.Callable[[], None]
) -> tuple[bytes, bool]:
    """Read a body within the memory of all bodies, and stop once it exceeds a limit.

    :param limit: maximum size of the body, in bytes.
    :param memory: bounds the size of all bodies that are being received.
    :param abort: closes the connection that the body arrives on.
    :returns: the data read, and whether it is the complete body.
    :raises AttemptOutcomeUnknownError: if the body was evicted from memory.
    :raises Exception: the stream's exception if the body is truncated.
    """
    buffer = memory.open(abort=abort)
    try:
        while chunk := await stream.readany():
            memory.append(buffer, chunk)
            if buffer.evicted or buffer.size > limit:
                break
    except Exception as error:
        if not buffer.evicted:
            raise
        raise AttemptOutcomeUnknownError("response-memory") from error
    else:
        if buffer.evicted:
            raise AttemptOutcomeUnknownError("response-memory")
        return buffer.get_body(), buffer.size <= limit
    finally:
        memory.close(buffer)
        # An exception that is raised here keeps this frame.
        buffer.clear()
