"""Reading the request body from a caller."""

from __future__ import annotations

import asyncio

from aiohttp import web

from ..exceptions import NotRunError

BODY_CHUNK_BYTES = 65_536
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def read_body(request: web.BaseRequest, max_bytes: int, timeout_s: float) -> bytes:
    """Read the complete request body.

    :param max_bytes: the maximum size of the body, in bytes.
    :param timeout_s: the maximum time for receiving the body, in seconds.
    :raises NotRunError: if the body is too large, arrives too slowly or is malformed.
    """
    content_length = request.content_length
    if content_length is not None and content_length > max_bytes:
        raise NotRunError("body-too-large", 413)
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(CONTINUE_RESPONSE)
    chunks = []
    received_bytes = 0
    try:
        async with asyncio.timeout(timeout_s):
            while chunk := await request.content.read(BODY_CHUNK_BYTES):
                chunks.append(chunk)
                received_bytes += len(chunk)
                if received_bytes > max_bytes:
                    raise NotRunError("body-too-large", 413)
    except TimeoutError as error:
        raise NotRunError("body-timeout", 408) from error
    except (OSError, ValueError, web.HTTPException) as error:
        raise NotRunError("body-malformed", 400) from error
    return b"".join(chunks)
