"""HTTP responses to callers."""

from __future__ import annotations

from aiohttp import web
from multidict import CIMultiDict

from ..exceptions import NotRunError
from ..exceptions import UnknownOutcomeError
from ..requests.headers import strip_hop_by_hop_headers
from ..requests.protocol import ServerResponse


def build_response(method: str, response: ServerResponse) -> web.Response:
    """Build the response to the caller from the response of a server.

    :param method: the method of the request; the response to HEAD has no body.
    """
    headers = CIMultiDict(strip_hop_by_hop_headers(response.headers))
    body = response.body if method != "HEAD" else None
    return web.Response(status=response.status, headers=headers, body=body)


def build_not_run_response(error: NotRunError) -> web.Response:
    """Build the response to a request that was not run and will not be run."""
    headers = {}
    if error.retry_after_s is not None:
        headers["Retry-After"] = f"{error.retry_after_s:.3f}"
    return web.Response(status=error.status, headers=headers, text=f"{error.reason}\n")


def build_unknown_outcome_response(error: UnknownOutcomeError) -> web.Response:
    """Build the response to a request that may have been run."""
    return web.Response(status=error.status, text=f"{error.reason}\n")
