"""Cuts between nodes and servers, and the rule on what callers get meanwhile."""

import asyncio

from tests.node_simulation import get_time

# The rule counts from this time after the start of a cut.
STABILITY_S = 3.0
# First attempts at nodes that are cut off are served at least this fraction as often as those at
# the others, and no more of all first attempts fail there than these limits together.
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED_COUNT = 10
MAX_FAILED_FRACTION = 1 / 50

CUT_MODES = [
    {"connecting": connecting, "established": established}
    for connecting in ("hang", "reset")
    for established in ("break", "hang", "work")
]


def choose_one_node(simulation):
    """Return the name of one node."""
    return {list(simulation.nodes)[-1]}


def choose_domain(simulation):
    """Return the names of all nodes of a failure domain."""
    domain = simulation.nodes["n1"].domain
    return {name for name, node in simulation.nodes.items() if node.domain == domain}


def choose_half(simulation):
    """Return the names of half of the nodes."""
    names = list(simulation.nodes)
    return set(simulation.rng.sample(names, len(names) // 2))


def choose_all_but_one(simulation):
    """Return the names of all nodes but one."""
    return set(list(simulation.nodes)[1:])


async def cut_for(simulation, names, duration_s, **modes):
    """Cut nodes off for a time; return the start and end of what the rule counts."""
    cut = simulation.cut_paths(names, **modes)
    started_at = get_time()
    await asyncio.sleep(duration_s)
    cut.ended.set()
    return started_at + STABILITY_S, get_time()


def count_first_attempts(simulation, names, since, until):
    """Return how many first attempts of a time were served and sent, at some nodes."""
    statuses = [
        status
        for at, name, status in simulation.first_attempts
        if since <= at < until and name in names
    ]
    return sum(status == 200 for status in statuses), len(statuses)


def assert_served_as_others(simulation, names, since, until):
    """Check what callers get at nodes that are cut off, from *since* until *until*."""
    others = set(simulation.nodes) - set(names)
    served, sent = count_first_attempts(simulation, names, since, until)
    others_served, others_sent = count_first_attempts(simulation, others, since, until)
    assert sent > 20
    assert others_sent > 20
    report = f"{served} of {sent} served, the others {others_served} of {others_sent}"
    assert served / sent >= MIN_SERVED_RATIO * others_served / others_sent, report
    max_failed = MAX_FAILED_COUNT + MAX_FAILED_FRACTION * (sent + others_sent)
    assert sent - served <= max_failed, report


def assert_run_once(simulation):
    """Check that no request that must not be repeated has run more than once."""
    assert simulation.order_ids
    repeated = {
        request_id for request_id in simulation.order_ids if simulation.run_counts[request_id] > 1
    }
    assert not repeated


def list_ejections(simulation, names):
    """Return the servers that nodes have ejected, by node.

    Ejections while a path is being checked are left out; they end if the path is lost.
    """
    now = get_time()
    return {
        name: ejected
        for name in names
        if (
            ejected := [
                load.server_id
                for dispatcher in simulation.nodes[name].node.gateway.dispatchers.list_all()
                if not simulation.nodes[name].node.path_checker.is_in_doubt(dispatcher.service)
                for load in dispatcher.loads.values()
                if load.ejected_until > now or load.get_failure_rate(now) > 0.1
            ]
        )
    }


def count_crash_reports(simulation):
    """Return how many crashes nodes have reported."""
    return sum(
        len(simulated.node.gateway.attempts.quarantine.list_reports())
        for simulated in simulation.nodes.values()
    )
