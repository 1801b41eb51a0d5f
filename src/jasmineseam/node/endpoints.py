"""HTTP endpoints of a node for readiness checks, entry addresses and metrics.

An entry is the proxy to which callers send their requests; each node runs one.
"""

from __future__ import annotations

import random
import typing as t

from aiohttp import web

from ..membership.nodes import NodeInfo
from ..operations.metrics import render_metrics
from .entry_selection import LocatorQuery


class EndpointConfig(t.NamedTuple):
    """Paths and formats of the readiness and locator endpoints.

    :param readiness_path: path of the readiness endpoint.
    :param locator_path: path of the endpoint that returns entry addresses.
    :param decode_query: decodes the query parameters of a client.
    :param encode_entries: encodes entry addresses and their TTL in seconds.
    """

    readiness_path: str
    locator_path: str
    decode_query: t.Callable[[t.Mapping[str, str]], LocatorQuery]
    encode_entries: t.Callable[[list[str], float], bytes]


class NodeEndpoints:
    """Handles readiness checks, requests for entry addresses, and metric scrapes.

    :param config: paths and formats of the readiness and locator endpoints.
    :param is_ready: returns whether this node accepts requests of callers.
    :param list_entry_nodes: returns the nodes whose addresses a client gets.
    :param get_entries_ttl_s: returns how long a caller may cache the entry addresses, in seconds.
    """

    def __init__(
        self,
        *,
        config: EndpointConfig,
        is_ready: t.Callable[[], bool],
        list_entry_nodes: t.Callable[[LocatorQuery], list[NodeInfo]],
        get_entries_ttl_s: t.Callable[[], float],
    ) -> None:
        self._config = config
        self._is_ready = is_ready
        self._list_entry_nodes = list_entry_nodes
        self._get_entries_ttl_s = get_entries_ttl_s
        self._rng = random.Random()

    async def handle_readiness(self, request: web.BaseRequest) -> web.Response:
        """Return status 200 if this node accepts requests of callers, otherwise 503."""
        if request.path != self._config.readiness_path:
            return web.Response(status=404, text="not found\n")
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def handle_locator(self, request: web.BaseRequest) -> web.Response:
        """Return entry addresses in random order.

        Entries near the client are preferred, see :func:`.entry_selection.choose_entry_nodes`.
        """
        if request.path != self._config.locator_path:
            return web.Response(status=404, text="not found\n")
        addresses = self._list_entry_addresses(self._config.decode_query(request.query))
        if not addresses:
            return web.Response(status=503, text="no entry is known yet\n")
        body = self._config.encode_entries(addresses, self._get_entries_ttl_s())
        return web.Response(body=body, content_type="application/json")

    def _list_entry_addresses(self, query: LocatorQuery) -> list[str]:
        addresses = [node.entry_address for node in self._list_entry_nodes(query)]
        self._rng.shuffle(addresses)
        return addresses

    async def handle_metrics(self, _request: web.BaseRequest) -> web.Response:
        """Return all metrics in the Prometheus text format."""
        return web.Response(body=render_metrics(), content_type="text/plain")
