"""Limits on requests that servers name, kept by all nodes together.

The simulations check from the servers' side how many requests arrive.
"""

import asyncio

import pytest

from tests.node_simulation import get_time
from tests.node_simulation import run_simulation

# A server may get BURST_FACTOR times what its limit allows in a window, and BURST_REQUESTS more.
WINDOW_S = 4.0
BURST_FACTOR = 1.5
BURST_REQUESTS = 5
# time after the first response that names a limit from which the limit is checked
STABILITY_S = 3.0
# a node counts this long after it has received the limit
NOTICE_S = 0.5


def list_episodes(server, now):
    """Return start, end and limit changes of each time in which a server names a limit."""
    episodes = []
    for at, limit in server.limit_changes:
        if limit is None:
            episodes[-1][1] = at
        elif not episodes or episodes[-1][1] is not None:
            episodes.append([at, None, [(at, limit)]])
        else:
            episodes[-1][2].append((at, limit))
    return [(start, now if end is None else end, limits) for start, end, limits in episodes]


def count_allowed(limits, since, until):
    """Return the requests that a server may get in a time, given the changes of its limit.

    A lower limit counts from ``NOTICE_S`` after it is first named.
    """
    allowed = 0.0
    step_s = 0.05
    at = since
    while at < until:
        named = [limit for changed_at, limit in limits if changed_at <= at]
        recent = [limit for changed_at, limit in limits if at - NOTICE_S < changed_at <= at]
        before = [limit for changed_at, limit in limits if changed_at <= at - NOTICE_S]
        allowed += step_s * max([*recent, *before[-1:], *named[-1:]], default=limits[0][1])
        at += step_s
    return BURST_FACTOR * allowed + BURST_REQUESTS


def find_excess(server, now, is_excused=lambda arrival: False):
    """Return each window of time in which a server got too many requests, with their number."""
    excess = []
    for start, end, limits in list_episodes(server, now):
        counted = [
            arrival.at
            for arrival in server.arrivals
            if start <= arrival.at < end
            and arrival.told_at is not None
            and arrival.at - arrival.told_at >= NOTICE_S
            and not is_excused(arrival)
        ]
        for index, at in enumerate(counted):
            if at < start + STABILITY_S:
                continue
            since = max(start, at - WINDOW_S)
            count = sum(since < earlier <= at for earlier in counted[: index + 1])
            if count > count_allowed(limits, at - WINDOW_S, at):
                excess.append((server.name, round(at, 2), count))
    return excess


def assert_limits_kept(simulation, is_excused=lambda arrival: False):
    now = get_time()
    for server in simulation.servers:
        assert find_excess(server, now, is_excused) == []


SIZES = [(6, 12, 120.0), (30, 30, 150.0), (123, 60, 240.0)]


@pytest.mark.parametrize(("node_count", "server_count", "requests_per_s"), SIZES)
def test_servers_that_name_a_limit_get_no_more_from_all_nodes_together(
    node_count, server_count, requests_per_s
):
    async def scenario(simulation):
        load = simulation.spawn(simulation.send_load(requests_per_s, 16.0))
        await asyncio.sleep(2.0)
        limits = [0.0, 1.0, 2.4, 4.1]
        for server, limit in zip(simulation.servers, limits, strict=False):
            server.name_limit(limit)
        await load
        assert_limits_kept(simulation)
        # The other servers have room for all requests.
        assert simulation.compute_served_share(0.0) > 0.99

    run_simulation(scenario, node_count=node_count, server_count=server_count)
