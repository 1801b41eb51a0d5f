"""Baselines for overhead measurements: a server that responds immediately and a minimal proxy."""

from __future__ import annotations

import aiohttp
import yarl
from aiohttp import web

RESPONSE_BODY = b"x" * 200


async def respond_immediately(request: web.BaseRequest) -> web.Response:
    """Return a small response as soon as the request is read."""
    if request.body_exists:
        await request.read()
    return web.Response(body=RESPONSE_BODY)


def make_proxy_handler(session: aiohttp.ClientSession, target: str):
    """Create a handler that forwards every request and returns the response without its headers.

    :param session: the client session for requests to the target.
    :param target: the server behind the proxy, ``ip:port``.
    """

    async def forward_request(request: web.BaseRequest) -> web.Response:
        body = await request.read() if request.body_exists else None
        url = yarl.URL(f"http://{target}{request.raw_path}", encoded=True)
        async with session.request(
            request.method, url, headers=request.headers, data=body, allow_redirects=False
        ) as response:
            response_body = await response.read()
            return web.Response(status=response.status, body=response_body)

    return forward_request
