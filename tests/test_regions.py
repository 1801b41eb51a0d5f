"""Home regions: which servers and relays get requests, and which nodes a locator names."""

import asyncio
import types

import msgspec
import pytest

from jasmineseam.node.entry_selection import LocatorQuery
from jasmineseam.node.entry_selection import choose_entry_nodes
from jasmineseam.node.entry_selection import find_home_regions
from jasmineseam.routing.home_regions import compute_home_regions
from jasmineseam.routing.routes import ClientAccount
from jasmineseam.routing.routes import Route
from jasmineseam.routing.routes import RoutingTable
from jasmineseam.routing.routes import WeightedService
from tests.node_simulation import SERVICE
from tests.node_simulation import get_time
from tests.node_simulation import run_simulation
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


@pytest.mark.parametrize(
    ("of_route", "of_account", "expected"),
    [
        ([], None, None),
        ([], [], None),
        (["a"], [], {"a"}),
        ([], ["b"], {"b"}),
        (["a", "b"], ["b", "c"], {"b"}),
        # no region satisfies both, which is not the same as no restriction
        (["a"], ["b"], set()),
    ],
)
def test_both_restrictions_apply(of_route, of_account, expected):
    route = Route(
        name="r",
        host="fit.example",
        path_prefix="/",
        idempotent=True,
        services=[WeightedService(service="fit")],
        home_regions=of_route,
    )
    account = None
    if of_account is not None:
        account = ClientAccount(name="k", key_hashes=[], home_regions=of_account)
    assert compute_home_regions(route, account) == expected


def restrict(simulation, regions, home_regions):
    """Give all nodes the regions of their domains, and a table with home regions."""
    table = next(iter(simulation.nodes.values())).node.gateway.routing_table
    routes = [
        msgspec.structs.replace(route, home_regions=home_regions if route.name == "safe" else [])
        for route in table.routes
    ]
    table = msgspec.structs.replace(table, version=2, routes=routes)
    for simulated in simulation.nodes.values():
        node = simulated.node
        node.settings = msgspec.structs.replace(node.settings, regions=regions)
        node.gateway.dispatchers.regions = regions
        node._apply_routing_table(table, "store")


def list_outside(simulation, path_prefix, domains):
    """Return the servers outside of some domains that have received requests."""
    return {
        server.name
        for server in simulation.servers
        if server.domain not in domains
        and any(arrival.path.startswith(path_prefix) for arrival in server.arrivals)
    }


@pytest.mark.parametrize(("node_count", "server_count", "rate"), [(6, 12, 60), (51, 60, 300)])
@pytest.mark.parametrize("trouble", ["none", "crash", "limit", "cut"])
def test_requests_reach_servers_in_home_regions_only(node_count, server_count, rate, trouble):
    """Also retries, queued requests, borrowed servers and relays, in three regions."""

    async def scenario(simulation):
        regions = {"d1": "r1", "d2": "r2", "d3": "r3"}
        restrict(simulation, regions, ["r2"])
        load = simulation.spawn(simulation.send_load(rate, 6.0))
        other = simulation.spawn(simulation.send_load(rate / 2, 6.0, kind="order"))
        await asyncio.sleep(1.0)
        cut = None
        if trouble == "crash":
            simulation.servers[1].crash()
        elif trouble == "limit":
            simulation.servers[1].name_limit(3.0)
        elif trouble == "cut":
            names = list(simulation.nodes)[: node_count // 2]
            cut = simulation.cut_paths(names, connecting="reset", established="break")
        await asyncio.sleep(3.0)
        if cut is not None:
            cut.ended.set()
        await asyncio.gather(load, other)
        assert list_outside(simulation, "/safe/", {"d2"}) == set()
        # Routes without home regions use all servers.
        assert list_outside(simulation, "/order/", {"d2"})
        assert simulation.compute_served_share(0.0) > 0.9

    run_simulation(scenario, node_count=node_count, server_count=server_count)


def test_relays_stay_in_the_home_regions():
    """Guards against a request body that reaches a node in another region."""

    async def scenario(simulation):
        regions = {"d1": "r1", "d2": "r2", "d3": "r3"}
        restrict(simulation, regions, ["r2"])
        for simulated in simulation.nodes.values():
            handle = simulated.node.relay_server.handle

            async def record(message, simulated=simulated, handle=handle):
                relayed.append((simulated.domain, message.path, message.route.home_regions))
                return await handle(message)

            simulated.node.relay_server.handle = record
        relayed = []
        names = [name for name, node in simulation.nodes.items() if node.domain == "d1"]
        simulation.cut_paths(names, connecting="reset", established="break")
        for _ in range(40):
            node = simulation.nodes[simulation.rng.choice(names)]
            await simulation.send_request(kind="safe", node=node)
        safe = [entry for entry in relayed if entry[1].startswith(b"/safe/")]
        assert safe
        assert {domain for domain, _, _ in safe} == {"d2"}
        assert all(home_regions == ["r2"] for _, _, home_regions in safe)

    run_simulation(scenario, node_count=9, server_count=12)


def test_request_without_a_common_region_is_refused_at_once():
    async def scenario(simulation):
        restrict(simulation, {"d1": "r1", "d2": "r2", "d3": "r3"}, ["r9"])
        started_at = get_time()
        status, headers = await simulation.send_request(kind="safe")
        assert (status, get_time() - started_at < 0.2) == (503, True)
        assert float(headers["Retry-After"]) > 0.0

    run_simulation(scenario, node_count=6, server_count=12)


def test_home_regions_have_no_effect_with_one_region():
    async def scenario(simulation):
        restrict(simulation, {}, ["r9"])
        for _ in range(20):
            assert (await simulation.send_request(kind="safe"))[0] == 200
        dispatchers = [
            dispatcher.name
            for simulated in simulation.nodes.values()
            for dispatcher in simulated.node.gateway.dispatchers.list_all()
        ]
        assert not any("@" in name for name in dispatchers)

    run_simulation(scenario, node_count=6, server_count=12)


def test_dispatchers_of_a_service_share_load_and_the_probe_limit():
    """Guards against servers that get the requests and probes of a node twice."""

    async def scenario(simulation):
        node = simulation.nodes["n1"].node
        dispatchers = node.gateway.dispatchers
        base = dispatchers.get(SERVICE)
        (load, *_) = base.loads.values()
        rates = []
        own_probes = types.SimpleNamespace(
            may_probe=lambda server_id, rate, now: rates.append(rate)
        )
        node.prober._own_probes = own_probes
        node.prober._options = msgspec.structs.replace(node.prober._options, by_demand=True)
        node.prober._may_probe_unasked(base, load, 0.0)
        restrict(simulation, {"d1": "r1", "d2": "r2", "d3": "r3"}, ["r2"])
        regional = dispatchers.get(SERVICE, frozenset({"r2"}))
        shared = base.loads.keys() & regional.loads.keys()
        assert shared
        assert all(base.loads[name] is regional.loads[name] for name in shared)
        node.prober._may_probe_unasked(base, load, 0.0)
        assert rates[0] > 0.0
        assert rates[1] == rates[0] / 2

    run_simulation(scenario, node_count=6, server_count=12)
