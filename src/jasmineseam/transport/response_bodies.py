"""Reading the bodies of responses, up to a limit."""

from __future__ import annotations

import aiohttp


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
