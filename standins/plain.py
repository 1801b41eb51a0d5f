"""The simplest HTTP programs, to compare with: a server that answers at once, and a bare proxy."""

from __future__ import annotations

import aiohttp
import yarl
from aiohttp import web

BODY = b"x" * 200


async def answer_at_once(request: web.BaseRequest) -> web.Response:
    """Answer with a small body."""
    if request.body_exists:
        await request.read()
    return web.Response(body=BODY)


def make_pass_through(session: aiohttp.ClientSession, target: str):
    """Make a handler that sends every request on and brings the answer back; nothing else."""

    async def pass_through(request: web.BaseRequest) -> web.Response:
        body = await request.read() if request.body_exists else None
        url = yarl.URL(f"http://{target}{request.raw_path}", encoded=True)
        async with session.request(
            request.method, url, headers=request.headers, data=body, allow_redirects=False
        ) as response:
            text = await response.read()
            return web.Response(status=response.status, body=text)

    return pass_through
