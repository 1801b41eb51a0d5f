"""The HTTP listeners of a node, and the connections of its callers."""

from __future__ import annotations

import asyncio
import contextlib
import typing as t

from aiohttp import web

from ..operations.node_settings import NodeListeners
from ..routing.routes import CallerLimits
from ..transport.caller_connections import CallerServer
from ..transport.caller_connections import RedactingServer
from .endpoints import NodeEndpoints

MAX_HEADER_LINE_BYTES = 65_536
HTTP_SERVER_OPTIONS = {
    "max_line_size": MAX_HEADER_LINE_BYTES,
    "max_field_size": MAX_HEADER_LINE_BYTES,
    "access_log": None,
    "auto_decompress": False,
}
LISTEN_BACKLOG = 1024
CLEANUP_TIMEOUT_S = 0.1


class HttpListeners:
    """Listens for callers' requests, readiness checks, locator requests and metric scrapes.

    :param addresses: the addresses to listen on.
    :param metrics_address: ``ip:port`` of the metrics endpoint, empty for none.
    :param handle_request: handles a request of a caller to a service.
    :param read_ahead_options: ``get_read_ahead_bytes`` and ``read_ahead_counts`` of
        :class:`CallerServer`.
    :param endpoints: handles all other requests.
    """

    def __init__(
        self,
        *,
        addresses: NodeListeners,
        metrics_address: str,
        handle_request: t.Callable,
        read_ahead_options: dict[str, t.Any],
        endpoints: NodeEndpoints,
    ) -> None:
        self._addresses = addresses
        self._metrics_address = metrics_address
        self._endpoints = endpoints
        self.caller_server = CallerServer(
            handle_request, **read_ahead_options, **HTTP_SERVER_OPTIONS
        )
        self._runners: list[web.ServerRunner] = []

    async def start(self) -> None:
        """Start all listeners."""
        await self._start_listener(self.caller_server, self._addresses.entry)
        await self._start_listener(
            _build_http_server(self._endpoints.handle_readiness), self._addresses.readiness
        )
        await self._start_listener(
            _build_http_server(self._endpoints.handle_locator), self._addresses.locator
        )
        if self._metrics_address:
            await self._start_listener(
                _build_http_server(self._endpoints.handle_metrics), self._metrics_address
            )

    async def stop_accepting_callers(self) -> None:
        """Accept no new connections of callers; open connections stay."""
        for site in list(self._runners[0].sites):
            await site.stop()

    def enforce_limits(self, limits: CallerLimits) -> None:
        """Close connections that have been idle, or sent a request head, for too long."""
        self.caller_server.close_idle_connections(limits.idle_timeout_s)
        self.caller_server.time_out_slow_heads(limits.header_timeout_s)
        self.caller_server.close_left_connections()

    async def close(self) -> None:
        """Close all listeners and connections."""
        for runner in self._runners:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(CLEANUP_TIMEOUT_S):
                    await runner.cleanup()

    async def _start_listener(self, server: web.Server, address: str) -> None:
        host, _, port = address.rpartition(":")
        runner = web.ServerRunner(server, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, host, int(port), backlog=LISTEN_BACKLOG).start()
        self._runners.append(runner)


def _build_http_server(handler: t.Callable) -> web.Server:
    return RedactingServer(handler, **HTTP_SERVER_OPTIONS)
