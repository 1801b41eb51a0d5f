"""Locator answers name no node that failed over 6 s ago, beside one that runs."""

import asyncio

import pytest

from tests.node_simulation import run_simulation

# stability of the deployment, 3 s, and 3 s
BOUND_S = 6.0


def list_named(simulation):
    """Return the names of the nodes that any running node names."""
    return {
        info.vm_id
        for simulated in simulation.nodes.values()
        for info in simulated.node.list_entry_nodes()
    }


def kill(simulation, count):
    names = simulation.rng.sample(list(simulation.nodes), count)
    for name in names:
        simulation.nodes[name].kill()
    return set(names)


@pytest.mark.parametrize(
    ("node_count", "killed_count"),
    [(6, 1), (6, 5), (51, 1), (51, 25), (51, 50), (300, 1), (300, 150), (300, 299)],
)
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_failed_nodes_are_not_named(node_count, killed_count, loss):
    """Guards against slow detection where few nodes are left of many."""

    async def scenario(simulation):
        simulation.loss = loss
        await asyncio.sleep(2.0)
        killed = kill(simulation, killed_count)
        await asyncio.sleep(BOUND_S)
        for _ in range(8):
            assert not list_named(simulation) & killed
            await asyncio.sleep(1.0)
        # Nodes that run are named.
        assert list_named(simulation) == set(simulation.nodes)

    run_simulation(scenario, node_count=node_count, server_count=4)


@pytest.mark.parametrize(("node_count", "killed_count"), [(6, 3), (51, 25), (300, 100)])
def test_node_that_was_paused_does_not_answer_with_its_old_list(node_count, killed_count):
    """Also does not pass its old list on to the others, which may have forgotten those nodes."""

    async def scenario(simulation):
        killed = kill(simulation, killed_count)
        paused = next(iter(simulation.nodes.values())).node
        # The list is as old as if the node had not run since before the nodes were killed.
        paused.fleet._ran_at -= 20.0
        assert [info.vm_id for info in paused.list_entry_nodes()] == [paused.settings.vm.id]
        nodes, _ = paused.fleet.membership.list_differing([0] * 16)
        assert not {info.vm_id for info in nodes} & killed
        await asyncio.sleep(0.1)
        named = {info.vm_id for info in paused.list_entry_nodes()}
        assert named == set(simulation.nodes)

    run_simulation(scenario, node_count=node_count, server_count=4)


@pytest.mark.parametrize("node_count", [6, 51])
@pytest.mark.parametrize("cut_s", [1.0, 10.0])
def test_node_that_was_cut_off_names_no_node_that_failed_meanwhile(node_count, cut_s):
    async def scenario(simulation):
        names = list(simulation.nodes)
        cut = {names[-1]}
        simulation.is_cut = lambda sender, receiver: (sender in cut) != (receiver in cut)
        killed = set(names[1:4])
        for name in killed:
            simulation.nodes[name].kill()
        await asyncio.sleep(cut_s)
        simulation.is_cut = lambda sender, receiver: False
        await asyncio.sleep(max(0.0, BOUND_S - cut_s))
        for _ in range(60):
            assert not list_named(simulation) & killed
            await asyncio.sleep(0.1)

    run_simulation(scenario, node_count=node_count, server_count=4)
