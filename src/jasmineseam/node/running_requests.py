"""The requests that a node is handling, which it ends at the end of a planned stop."""

from __future__ import annotations

import asyncio
import contextlib
import typing as t

from ..exceptions import NotRunError
from ..exceptions import UnknownOutcomeError
from .proxied_request import ProxiedRequest

REASON_STOPPING = "stopping"
# The caller can send the request to another node at once.
STOPPING_RETRY_AFTER_S = 0.05


class RunningRequests:
    """The requests that a node is handling.

    Each of them gets a response when the node stops, even if its server has not answered.
    """

    __slots__ = ("_ended", "_timeouts")

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()
        self._ended = False

    @contextlib.asynccontextmanager
    async def track(self, proxied: ProxiedRequest) -> t.AsyncIterator[None]:
        """Handle a request in the body of an ``async with`` statement, until :meth:`end`.

        :raises NotRunError: if the request was ended before it was sent to a server, or arrives
            after the end of the others.
        :raises UnknownOutcomeError: if the request was ended, and a server may have run it.
        """
        if self._ended:
            raise NotRunError(REASON_STOPPING, 503, STOPPING_RETRY_AFTER_S)
        timeout = asyncio.timeout(None)
        try:
            async with timeout:
                self._timeouts.add(timeout)
                yield
        except TimeoutError as error:
            if not timeout.expired():
                raise
            if proxied.sent:
                raise UnknownOutcomeError(REASON_STOPPING, 504) from error
            raise NotRunError(REASON_STOPPING, 503, STOPPING_RETRY_AFTER_S) from error
        finally:
            self._timeouts.discard(timeout)

    def end(self) -> int:
        """End all requests that are being handled; return their number.

        Requests that arrive later are refused.
        """
        self._ended = True
        now = asyncio.get_running_loop().time()
        for timeout in self._timeouts:
            timeout.reschedule(now)
        return len(self._timeouts)
