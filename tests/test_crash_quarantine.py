"""Requests that crash the servers that run them, refused by all nodes together.

The simulations check from the servers' side how often such a request arrives.
"""

import pytest

from tests.node_simulation import run_simulation

# A request that has crashed CRASH_LIMIT servers may reach others MAX_RETRIES times from
# STABILITY_S after the last of these crashes.
CRASH_LIMIT = 3
MAX_RETRIES = 3
STABILITY_S = 3.0


def count_late_arrivals(simulation, path, is_excused=lambda arrival: False):
    """Return how often a request has reached servers later than is allowed."""
    crash_times = sorted(
        at for server in simulation.servers for at, cause in server.crashes if cause == path
    )
    if len(crash_times) < CRASH_LIMIT:
        return 0
    checked_since = crash_times[CRASH_LIMIT - 1] + STABILITY_S
    return sum(
        arrival.path == path and arrival.at > checked_since and not is_excused(arrival)
        for server in simulation.servers
        for arrival in server.arrivals
    )


def count_crashes(simulation):
    return sum(len(server.crashes) for server in simulation.servers)


SIZES = [(6, 12, 60.0), (30, 30, 100.0), (123, 60, 160.0)]
SMALL, MEDIUM, LARGE = SIZES


@pytest.mark.parametrize(("node_count", "server_count", "requests_per_s"), SIZES)
@pytest.mark.parametrize("path", ["/safe/poison", "/order/poison"])
def test_request_that_crashes_servers_is_no_longer_sent_to_any(
    node_count, server_count, requests_per_s, path
):
    async def scenario(simulation):
        simulation.crashes_on = lambda sent: sent == path
        load = simulation.spawn(simulation.send_load(requests_per_s, 12.0))
        await simulation.repeat_request(path, 0.1, 10.0)
        await load
        assert count_crashes(simulation) >= CRASH_LIMIT
        assert count_late_arrivals(simulation, path) <= MAX_RETRIES
        # Other requests are lost only beside a crash.
        assert simulation.compute_served_share(3.0) > 0.98

    run_simulation(scenario, node_count=node_count, server_count=server_count)
