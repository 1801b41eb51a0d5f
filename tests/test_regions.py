"""Which nodes a locator names to clients of several regions."""

import pytest

from jasmineseam.node.entry_selection import LocatorQuery
from jasmineseam.node.entry_selection import choose_entry_nodes
from jasmineseam.node.entry_selection import find_home_regions
from jasmineseam.routing.routes import Route
from jasmineseam.routing.routes import RoutingTable
from jasmineseam.routing.routes import WeightedService
from tests.test_nodes import make_info

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}


def choose(domains, query, home_regions=(), regions=REGIONS):
    nodes = [make_info(domain, failure_domain=domain) for domain in domains]
    chosen = choose_entry_nodes(nodes, query, regions=regions, home_regions=home_regions)
    return {info.vm_id for info in chosen}


@pytest.mark.parametrize(
    ("domains", "region", "domain", "home_regions", "expected"),
    [
        (["a1", "a2", "b1", "c1"], "a", "a1", {"b"}, {"a1"}),
        (["a2", "b1", "c1"], "a", "a1", {"b"}, {"a2"}),
        (["b1", "c1"], "a", "a1", {"b"}, {"b1"}),
        (["c1"], "a", "a1", {"b"}, {"c1"}),
        (["b1", "c1"], "a", "a1", set(), {"b1", "c1"}),
        # the region follows from the failure domain
        (["a2", "b1"], "", "a1", {"b"}, {"a2"}),
        # a client that names no known place
        (["a1", "b1"], "", "", {"b"}, {"b1"}),
        (["a1", "b1"], "z", "z1", {"b"}, {"b1"}),
        # the region counts if it contradicts the failure domain
        (["a1", "b1"], "b", "a1", set(), {"b1"}),
    ],
)
def test_locator_prefers_the_region_of_the_client_and_then_home_regions(
    domains, region, domain, home_regions, expected
):
    query = LocatorQuery(region=region, failure_domain=domain)
    assert choose(domains, query, home_regions) == expected


@pytest.mark.parametrize("regions", [{}, dict.fromkeys(REGIONS, "a")])
@pytest.mark.parametrize("region", ["", "a"])
def test_deployments_with_one_region_are_unaffected(regions, region):
    near = LocatorQuery(region=region, failure_domain="a1")
    far = LocatorQuery(region=region, failure_domain="a9")
    assert choose(["a1", "a2", "b1"], near, regions=regions) == {"a1"}
    assert choose(["a1", "a2", "b1"], far, regions=regions) == {"a1", "a2", "b1"}


def test_home_regions_are_those_of_all_routes_of_the_host():
    def make_route(name, host, *home_regions):
        return Route(
            name=name,
            host=host,
            path_prefix=f"/{name}/",
            idempotent=True,
            services=[WeightedService(service="fit")],
            home_regions=list(home_regions),
        )

    routes = [
        make_route("r1", "fit.example", "a"),
        make_route("r2", "Fit.example", "b"),
        make_route("r3", "fit.example"),
        make_route("r4", "other.example", "c"),
    ]
    table = RoutingTable(version=1, routes=routes, services=[])
    assert find_home_regions(table, "fit.example") == {"a", "b"}
    assert find_home_regions(table, "none.example") == set()
    assert find_home_regions(None, "fit.example") == set()
