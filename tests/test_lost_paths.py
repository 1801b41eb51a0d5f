"""Nodes that are cut off from servers which other nodes reach."""

import asyncio
import collections

import pytest

from jasmineseam.routing.service_path import RETURN_RAMP_S
from tests.node_simulation import OTHER_SERVICE
from tests.node_simulation import RETRY_SHARE
from tests.node_simulation import SERVICE
from tests.node_simulation import run_simulation
from tests.path_cuts import CUT_MODES
from tests.path_cuts import STABILITY_S
from tests.path_cuts import assert_run_once
from tests.path_cuts import assert_served_as_others
from tests.path_cuts import choose_all_but_one
from tests.path_cuts import choose_domain
from tests.path_cuts import choose_half
from tests.path_cuts import choose_one_node
from tests.path_cuts import count_crash_reports
from tests.path_cuts import count_first_attempts
from tests.path_cuts import cut_for
from tests.path_cuts import list_ejections

SIZES = [(6, 12, 60.0), (30, 30, 120.0), (123, 60, 240.0)]
SMALL, MEDIUM, LARGE = SIZES
HANG, RESET = CUT_MODES[1], CUT_MODES[3]
long = pytest.mark.long


async def send_load(simulation, requests_per_s, duration_s):
    """Send requests that may be repeated, and some that must not be."""
    await asyncio.gather(
        simulation.send_load(0.7 * requests_per_s, duration_s),
        simulation.send_load(0.3 * requests_per_s, duration_s, kind="order"),
    )


async def send_load_to(simulation, names, requests_per_s, duration_s):
    """Send requests to some nodes."""
    nodes = [simulation.nodes[name] for name in sorted(names)]
    await simulation.send_load(
        requests_per_s, duration_s, choose_node=lambda: simulation.rng.choice(nodes)
    )


CASES = [
    *[(SMALL, choose_half, modes) for modes in CUT_MODES],
    (SMALL, choose_one_node, HANG),
    (SMALL, choose_domain, RESET),
    (SMALL, choose_all_but_one, HANG),
    (MEDIUM, choose_half, HANG),
    (MEDIUM, choose_domain, RESET),
    (LARGE, choose_half, HANG),
    *[
        pytest.param(size, choose, modes, marks=long)
        for size in SIZES
        for choose in (choose_one_node, choose_domain, choose_half, choose_all_but_one)
        for modes in CUT_MODES
    ],
]


@pytest.mark.parametrize(("size", "choose_names", "modes"), CASES)
def test_callers_of_nodes_cut_off_from_all_servers_are_served_as_at_other_nodes(
    size, choose_names, modes
):
    node_count, server_count, requests_per_s = size

    async def scenario(simulation):
        names = choose_names(simulation)
        load = simulation.spawn(send_load(simulation, requests_per_s, 14.0))
        # enough requests on both sides of the cut, however few nodes are there
        others = set(simulation.nodes) - names
        for group in (names, others):
            simulation.spawn(send_load_to(simulation, group, 10.0, 14.0))
        await asyncio.sleep(2.0)
        since, until = await cut_for(simulation, names, 8.0, **modes)
        ejections = list_ejections(simulation, names)
        await load
        assert_served_as_others(simulation, names, since, until)
        assert_run_once(simulation)
        assert ejections == {}
        assert count_crash_reports(simulation) == 0
        served, sent = count_first_attempts(simulation, names, until, until + 3.0)
        assert served / sent > 0.98

    run_simulation(scenario, node_count=node_count, server_count=server_count)


@pytest.mark.parametrize("modes", [HANG, RESET])
def test_callers_are_served_while_single_services_are_out_of_reach(modes):
    async def scenario(simulation):
        names = choose_half(simulation)
        load = simulation.spawn(send_load(simulation, 30.0, 12.0))
        other_load = simulation.spawn(simulation.send_load(30.0, 12.0, kind="other"))
        await asyncio.sleep(2.0)
        since, until = await cut_for(simulation, names, 8.0, services=(OTHER_SERVICE,), **modes)
        await asyncio.gather(load, other_load)
        assert_served_as_others(simulation, names, since, until)
        served, sent = count_first_attempts(simulation, names, since, until)
        assert served / sent > 0.98
        assert_run_once(simulation)

    run_simulation(scenario, node_count=6, server_count=8, other_server_count=4)


def test_callers_are_served_while_cuts_overlap_and_end_one_after_the_other():
    async def scenario(simulation):
        names = list(simulation.nodes)
        load = simulation.spawn(send_load(simulation, 90.0, 24.0))
        await asyncio.sleep(2.0)

        async def cut_later(delay_s, cut_names, duration_s, **options):
            await asyncio.sleep(delay_s)
            return cut_names, await cut_for(simulation, cut_names, duration_s, **options)

        checked = await asyncio.gather(
            cut_later(0.0, names[:2], 8.0, **HANG),
            cut_later(3.0, names[1:4], 8.0, **RESET),
            cut_later(6.0, names[3:5], 8.0, **CUT_MODES[0]),
            cut_later(9.0, names[0:1], 6.0, services=(SERVICE,), **CUT_MODES[5]),
        )
        await load
        for cut_names, (since, until) in checked:
            assert_served_as_others(simulation, cut_names, since, until)
        assert_run_once(simulation)
        assert count_crash_reports(simulation) == 0

    run_simulation(scenario, node_count=6, server_count=12)


@pytest.mark.parametrize("modes", [CUT_MODES[0], HANG, RESET])
def test_requests_are_refused_at_once_while_no_node_reaches_a_server(modes):
    async def scenario(simulation):
        names = set(simulation.nodes)
        load = simulation.spawn(send_load(simulation, 60.0, 14.0))
        await asyncio.sleep(2.0)
        since, until = await cut_for(simulation, names, 8.0, **modes)
        await load
        refused = [
            (status, duration_s)
            for at, status, duration_s in simulation.responses
            if since <= at < until - 0.5
        ]
        assert {status for status, _ in refused} == {503}
        durations_s = sorted(duration_s for _, duration_s in refused)
        assert durations_s[len(durations_s) * 99 // 100] < 0.1
        assert all(0.0 < retry_after_s <= 2.0 for retry_after_s in simulation.retry_after_s)
        served, sent = count_first_attempts(simulation, names, until + 1.0, until + 4.0)
        assert served / sent > 0.98
        assert_run_once(simulation)
        assert count_crash_reports(simulation) == 0

    run_simulation(scenario, node_count=6, server_count=12)


def test_open_connections_are_used_while_no_node_can_open_new_ones():
    async def scenario(simulation):
        names = set(simulation.nodes)
        load = simulation.spawn(send_load(simulation, 60.0, 14.0))
        await asyncio.sleep(4.0)
        since, until = await cut_for(
            simulation, names, 6.0, connecting="reset", established="work"
        )
        await load
        served, sent = count_first_attempts(simulation, names, since, until)
        assert served / sent > 0.9
        assert_run_once(simulation)

    run_simulation(scenario, node_count=6, server_count=12)


def list_named(simulation, asked):
    """Return the names of the nodes that some nodes name to callers."""
    return {
        name: {info.vm_id for info in simulation.nodes[name].node.list_entry_nodes()}
        for name in asked
    }


@pytest.mark.parametrize(
    ("size", "choose_names"),
    [(SMALL, choose_half), (SMALL, choose_all_but_one), (MEDIUM, choose_domain)],
)
def test_callers_are_sent_to_nodes_that_reach_servers(size, choose_names):
    node_count, server_count, requests_per_s = size

    async def scenario(simulation):
        names = choose_names(simulation)
        load = simulation.spawn(send_load(simulation, requests_per_s, 14.0))
        await asyncio.sleep(2.0)
        cut = simulation.cut_paths(names, **HANG)
        await asyncio.sleep(STABILITY_S)
        reaching = set(simulation.nodes) - names
        assert set(map(frozenset, list_named(simulation, simulation.nodes).values())) == {
            frozenset(reaching)
        }
        cut.ended.set()
        await asyncio.sleep(2.0)
        named = list_named(simulation, simulation.nodes)
        assert all(found == set(simulation.nodes) for found in named.values())
        await load

    run_simulation(
        scenario, node_count=node_count, server_count=server_count, other_server_count=4
    )


def test_all_nodes_are_named_to_callers_while_none_reaches_a_server():
    async def scenario(simulation):
        names = list(simulation.nodes)
        load = simulation.spawn(send_load(simulation, 60.0, 16.0))
        await asyncio.sleep(2.0)
        # The last nodes to be cut off were relaying the requests of the others.
        cuts = []
        for name in names:
            cuts.append(simulation.cut_paths({name}, **HANG))
            await asyncio.sleep(1.0)
        await asyncio.sleep(STABILITY_S)
        named = list_named(simulation, names)
        assert all(found == set(names) for found in named.values())
        for cut in cuts:
            cut.ended.set()
        await load

    run_simulation(scenario, node_count=6, server_count=12)


@pytest.mark.parametrize("established", ["hang", "break"])
def test_first_order_after_a_quiet_time_is_not_sent_into_a_cut(established):
    async def scenario(simulation):
        await send_load(simulation, 60.0, 2.0)
        await asyncio.sleep(1.0)
        names = choose_half(simulation)
        simulation.cut_paths(names, connecting="hang", established=established)
        statuses = [
            (await simulation.send_request(kind="order", node=simulation.nodes[name]))[0]
            for name in names
        ]
        assert statuses == [200] * len(names)
        assert_run_once(simulation)

    run_simulation(scenario, node_count=6, server_count=12)


@pytest.mark.parametrize("modes", [CUT_MODES[0], HANG, RESET])
@pytest.mark.parametrize("size", [SMALL, MEDIUM])
def test_relayed_requests_count_for_the_retry_budget_as_direct_ones_do(size, modes):
    node_count, server_count, requests_per_s = size
    allowance = 10.0

    async def scenario(simulation):
        load = simulation.spawn(send_load(simulation, requests_per_s, 12.0))
        for _ in range(3):
            await asyncio.sleep(1.5)
            await cut_for(simulation, choose_half(simulation), 2.0, **modes)
        await load
        arrivals = collections.Counter(
            arrival.path for server in simulation.servers for arrival in server.arrivals
        )
        extra = sum(arrivals.values()) - len(arrivals)
        assert extra <= RETRY_SHARE * len(simulation.responses) + allowance
        assert_run_once(simulation)

    run_simulation(
        scenario,
        node_count=node_count,
        server_count=server_count,
        retry_allowance=allowance,
    )


def test_servers_get_no_rush_of_connections_when_a_cut_of_all_nodes_ends():
    async def scenario(simulation):
        names = set(simulation.nodes)
        load = simulation.spawn(send_load(simulation, 120.0, 14.0))
        await asyncio.sleep(2.0)
        _, until = await cut_for(simulation, names, 6.0, **RESET)
        await load
        opened_at = [
            at
            for simulated in simulation.nodes.values()
            for at in simulated.node.gateway.connections.opened_at
            if at >= until
        ]
        most_in_half_a_second = max(
            sum(since <= at < since + 0.5 for at in opened_at) for since in opened_at
        )
        # one for each node and server
        assert most_in_half_a_second <= len(simulation.nodes) * len(simulation.servers)
        served, sent = count_first_attempts(simulation, names, until + 1.0, until + 4.0)
        assert served / sent > 0.98

    run_simulation(scenario, node_count=6, server_count=12)


def test_nodes_send_a_growing_share_of_requests_themselves_when_a_cut_ends():
    async def scenario(simulation):
        names = choose_half(simulation)
        load = simulation.spawn(simulation.send_load(300.0, 12.0))
        await asyncio.sleep(2.0)
        _, until = await cut_for(simulation, names, 4.0, **RESET)
        await load

        def compute_direct_share(since, end):
            direct = sum(
                since <= arrival.at < end and arrival.node.name in names
                for server in simulation.servers
                for arrival in server.arrivals
            )
            return direct / count_first_attempts(simulation, names, since, end)[1]

        assert compute_direct_share(until, until + 0.25 * RETURN_RAMP_S) < 0.5
        assert compute_direct_share(until + 2 * RETURN_RAMP_S, until + 3 * RETURN_RAMP_S) > 0.95

    run_simulation(scenario, node_count=6, server_count=24)
