"""Selection of the nodes that a locator names to a client."""

from __future__ import annotations

import typing as t

from ..membership.nodes import NodeInfo
from ..routing.routes import RoutingTable


class LocatorQuery(t.NamedTuple):
    """What a client says of itself in its query.

    :param host: host name of its requests, empty if unknown.
    :param region: the client's region, empty if unknown.
    :param failure_domain: the client's failure domain, empty if unknown.
    """

    host: str = ""
    region: str = ""
    failure_domain: str = ""


def find_home_regions(table: RoutingTable | None, host: str) -> set[str]:
    """Return the home regions of all routes of a host.

    :param table: the routing table, ``None`` if there is none yet.
    """
    if table is None:
        return set()
    return {
        region
        for route in table.routes
        if route.host.lower() == host.lower()
        for region in route.home_regions
    }


def choose_entry_nodes(
    nodes: list[NodeInfo],
    query: LocatorQuery,
    *,
    regions: t.Mapping[str, str],
    home_regions: t.Collection[str],
) -> list[NodeInfo]:
    """Return the nodes that a client is sent to.

    Nodes in the client's failure domain are preferred, then others in its region, then nodes in
    the home regions of the host, then all.

    :param regions: region of each failure domain; empty if there is only one region.
    :param home_regions: home regions of the host's routes, empty for none.
    """
    own_region = query.region or regions.get(query.failure_domain, "")
    in_region = nodes
    if regions and own_region:
        in_region = [info for info in nodes if regions.get(info.failure_domain, "") == own_region]
    same_domain = [info for info in in_region if info.failure_domain == query.failure_domain]
    if same_domain:
        return same_domain
    if regions and own_region and in_region:
        return in_region
    at_home = [info for info in nodes if regions.get(info.failure_domain, "") in home_regions]
    return at_home or nodes
