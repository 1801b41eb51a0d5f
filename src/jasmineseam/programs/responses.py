"""Responses to callers."""

from __future__ import annotations

from aiohttp import web
from multidict import CIMultiDict

from ..exceptions import NotRunError
from ..exceptions import UnknownOutcomeError
from ..requests.headers import strip_hop_by_hop_headers
from ..requests.protocol import ServerResponse


def build_response(method: str, answer: ServerResponse) -> web.Response:
    """Return a server's answer for the caller."""
    headers = CIMultiDict(strip_hop_by_hop_headers(answer.headers))
    body = answer.body if method != "HEAD" else None
    return web.Response(status=answer.status, headers=headers, body=body)


def build_not_run_response(error: NotRunError) -> web.Response:
    """Return the response for a request that was not run, and will not be."""
    headers = {}
    if error.retry_after_s is not None:
        headers["Retry-After"] = f"{error.retry_after_s:.3f}"
    return web.Response(status=error.status, headers=headers, text=f"{error.reason}\n")


def build_unknown_outcome_response(error: UnknownOutcomeError) -> web.Response:
    """Return the response for a request that may have been run."""
    return web.Response(status=error.status, text=f"{error.reason}\n")
