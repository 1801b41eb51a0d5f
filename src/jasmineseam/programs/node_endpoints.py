"""What a node answers beside requests to services: readiness, entries, metrics."""

from __future__ import annotations

import random
import typing as t

from aiohttp import web

from ..membership.vms import VmInfo
from ..operations.metrics import render_metrics


class EndpointConfig(t.NamedTuple):
    """How a node is asked for its readiness and for entries.

    :param readiness_path: where readiness is asked for.
    :param locator_path: where entries are asked for.
    :param get_caller_domain: reads the asking caller's failure domain from the query.
    :param encode_entries: writes entries' addresses and their lifetime in seconds.
    """

    readiness_path: str
    locator_path: str
    get_caller_failure_domain: t.Callable[[t.Mapping[str, str]], str]
    encode_entries: t.Callable[[list[str], float], bytes]


class NodeEndpoints:
    """Answers readiness checks, callers that ask for entries, and scrapes of metrics.

    :param interface: how the first two ask.
    :param is_ready: tells whether callers may be sent to this node.
    :param list_live: returns the nodes that callers may be sent to.
    :param get_lifetime_s: returns for how long a caller may keep the entries, in seconds.
    """

    def __init__(
        self,
        *,
        config: EndpointConfig,
        is_ready: t.Callable[[], bool],
        list_live_nodes: t.Callable[[], list[VmInfo]],
        get_entries_lifetime_s: t.Callable[[], float],
    ) -> None:
        self._interface = config
        self._is_ready = is_ready
        self._list_live = list_live_nodes
        self._get_lifetime_s = get_entries_lifetime_s
        self._chooser = random.Random()

    async def handle_readiness(self, request: web.BaseRequest) -> web.Response:
        """Tell whether callers may be sent here."""
        if request.path != self._interface.readiness_path:
            return web.Response(status=404, text="not found\n")
        if self._is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=503, text="not ready\n")

    async def handle_locator(self, request: web.BaseRequest) -> web.Response:
        """Name entries, those of the caller's failure domain if there are any."""
        if request.path != self._interface.locator_path:
            return web.Response(status=404, text="not found\n")
        domain = self._interface.get_caller_failure_domain(request.query)
        addresses = self._list_entries(domain)
        if not addresses:
            return web.Response(status=503, text="no entry is known yet\n")
        body = self._interface.encode_entries(addresses, self._get_lifetime_s())
        return web.Response(body=body, content_type="application/json")

    def _list_entries(self, domain: str) -> list[str]:
        live = self._list_live()
        near = [vm for vm in live if vm.failure_domain == domain]
        addresses = [entry.http_address for vm in near or live for entry in vm.entries]
        self._chooser.shuffle(addresses)
        return addresses

    async def handle_metrics(self, _request: web.BaseRequest) -> web.Response:
        """Return all metrics as text."""
        return web.Response(body=render_metrics(), content_type="text/plain")
