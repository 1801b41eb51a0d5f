"""Trouble between the nodes of a simulated fleet.

Each function begins one kind of trouble and returns whether a server's :class:`Arrival` is excused
by it: what a node sends while it is cut off, or just after it was started, counts for no limit.
"""

import asyncio

import pytest

from tests.node_simulation import get_time

# A node is excused for this time after its start.
STABILITY_S = 3.0
# With more loss, a large fleet suspects half of its nodes at any time.
DATAGRAM_LOSS = 0.3
LARGE_FLEET_DATAGRAM_LOSS = 0.1
LARGE_FLEET_NODE_COUNT = 100


def choose_names(simulation, share):
    """Draw the names of a share of the nodes, without the one that reads the store."""
    names = list(simulation.nodes)[1:]
    return set(simulation.rng.sample(names, round(share * len(names))))


async def lose_datagrams(simulation):
    """Lose a share of the datagrams between nodes."""
    is_large = len(simulation.nodes) >= LARGE_FLEET_NODE_COUNT
    simulation.loss = LARGE_FLEET_DATAGRAM_LOSS if is_large else DATAGRAM_LOSS
    return lambda arrival: False


async def delay_news(simulation):
    """Delay what a third of the nodes send by up to a second."""
    for name in choose_names(simulation, 0.33):
        simulation.node_delays_s[name] = simulation.rng.uniform(0.2, 1.0)
    return lambda arrival: False


async def cut_off_nodes(simulation):
    """Cut a third of the nodes off from the others for some seconds."""
    cut = choose_names(simulation, 0.33)
    simulation.is_cut = lambda sender, receiver: (sender in cut) != (receiver in cut)

    async def end_cut():
        await asyncio.sleep(6.0)
        simulation.is_cut = lambda sender, receiver: False

    simulation.spawn(end_cut())
    return lambda arrival: arrival.node.name in cut


async def cut_off_one_way(simulation):
    """Lose what some nodes send to some others; it reaches them by way of the rest."""
    senders = choose_names(simulation, 0.3)
    receivers = choose_names(simulation, 0.3)
    simulation.is_cut = lambda sender, receiver: sender in senders and receiver in receivers
    return lambda arrival: False


async def restart_nodes(simulation):
    """Kill and start nodes one after the other."""
    started_at = {}

    async def restart_each():
        for name in sorted(choose_names(simulation, 0.4)):
            simulation.nodes[name].kill()
            await asyncio.sleep(0.5)
            started_at[simulation.start_node(name, knows_state=False).start_id] = get_time()
            await asyncio.sleep(0.2)

    simulation.spawn(restart_each())
    return lambda arrival: (
        arrival.at < started_at.get(arrival.node.start_id, float("-inf")) + STABILITY_S
    )


async def lose_paths(simulation, **modes):
    """Cut half of the nodes off from all servers for some seconds; nothing is excused by it."""
    cut = simulation.cut_paths(choose_names(simulation, 0.5), **modes)

    async def end_cut():
        await asyncio.sleep(6.0)
        cut.ended.set()

    simulation.spawn(end_cut())
    return lambda arrival: False


async def lose_paths_silently(simulation):
    """Cut half of the nodes off from all servers; connections to them hang."""
    return await lose_paths(simulation, connecting="hang", established="hang")


async def lose_paths_with_resets(simulation):
    """Cut half of the nodes off from all servers; connections to them are reset."""
    return await lose_paths(simulation, connecting="reset", established="break")


TROUBLES = [
    lose_datagrams,
    delay_news,
    cut_off_nodes,
    cut_off_one_way,
    restart_nodes,
    lose_paths_silently,
    lose_paths_with_resets,
]


def build_cases(sizes, *, large_seed):
    """Return cases of trouble, size and seed; most run only with ``--long``.

    :param sizes: a small, a medium and a large fleet.
    :param large_seed: seed of the cases with the large fleet.
    """
    small, medium, large = sizes
    cases = [(trouble, small, 1) for trouble in TROUBLES]
    cases += [(trouble, medium, 1) for trouble in TROUBLES[2:]]
    long_cases = [(trouble, medium, 1) for trouble in TROUBLES[:2]]
    long_cases += [(trouble, large, large_seed) for trouble in TROUBLES]
    long_cases += [
        (trouble, size, seed)
        for trouble in TROUBLES
        for size in (small, medium)
        for seed in (2, 3, 4, 5)
    ]
    return cases + [pytest.param(*case, marks=pytest.mark.long) for case in long_cases]
