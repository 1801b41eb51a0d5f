"""Requests that crash the servers that run them, refused by all nodes together.

The simulations check from the servers' side how often such a request arrives.
"""

import asyncio

import pytest

from jasmineseam.requests.fingerprint import compute_fingerprint
from jasmineseam.routing.quarantine import ADMITTED
from jasmineseam.routing.quarantine import MAX_SUSPECTS
from jasmineseam.routing.quarantine import QUARANTINE_S
from jasmineseam.routing.quarantine import TRIAL_INTERVAL_S
from jasmineseam.routing.quarantine import CrashQuarantine
from standins.instance import InstanceBehaviour
from tests.deployment import run_scenario
from tests.deployment import wait_until
from tests.fleet_troubles import STABILITY_S
from tests.fleet_troubles import build_cases
from tests.node_simulation import HOST
from tests.node_simulation import run_simulation

# A request that has crashed CRASH_LIMIT servers may reach others MAX_RETRIES times from
# STABILITY_S after the last of these crashes.
CRASH_LIMIT = 3
MAX_RETRIES = 3


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


long = pytest.mark.long


@pytest.mark.parametrize(("trouble", "size", "seed"), build_cases(SIZES, large_seed=1))
def test_crashing_request_is_refused_beside_trouble_between_nodes(trouble, size, seed):
    node_count, server_count, requests_per_s = size

    async def scenario(simulation):
        paths = ["/safe/poison", "/order/poison"]
        simulation.crashes_on = paths.__contains__
        load = simulation.spawn(simulation.send_load(requests_per_s, 12.0))
        repeated = [
            simulation.spawn(simulation.repeat_request(path, interval_s, 11.0))
            for path, interval_s in zip(paths, (0.1, 0.4), strict=True)
        ]
        await asyncio.sleep(simulation.rng.uniform(0.0, 1.0))
        is_excused = await trouble(simulation)
        await asyncio.gather(load, *repeated)
        for path in paths:
            assert count_late_arrivals(simulation, path, is_excused) <= MAX_RETRIES

    run_simulation(scenario, seed=seed, node_count=node_count, server_count=server_count)


@pytest.mark.parametrize(
    ("path", "size"),
    [("/safe/popular", SMALL), ("/order/popular", SMALL), ("/safe/popular", MEDIUM)],
)
def test_normal_request_that_runs_beside_crashes_is_not_refused(path, size):
    node_count, server_count, requests_per_s = size

    async def scenario(simulation):
        async def crash_servers():
            while True:
                await asyncio.sleep(0.4)
                simulation.rng.choice(simulation.servers).crash()

        simulation.spawn(crash_servers())
        load = simulation.spawn(simulation.send_load(requests_per_s, 12.0))
        await simulation.repeat_request(path, 0.02, 12.0)
        await load
        for simulated in simulation.nodes.values():
            assert simulated.node.gateway.outcome_counts["not-run:quarantined"] == 0
        assert count_crashes(simulation) > 15

    run_simulation(scenario, node_count=node_count, server_count=server_count)


@pytest.mark.parametrize("still_crashes", [True, False])
def test_one_node_tries_a_request_after_its_quarantine(still_crashes):
    path = "/safe/poison"

    async def scenario(simulation):
        simulation.crashes_on = lambda sent: sent == path
        repeated = simulation.spawn(simulation.repeat_request(path, 0.5, QUARANTINE_S + 60.0))
        await asyncio.sleep(QUARANTINE_S - 10.0)
        known = [arrival for server in simulation.servers for arrival in server.arrivals]
        if not still_crashes:
            simulation.crashes_on = lambda sent: False
        await repeated
        later = [
            arrival
            for server in simulation.servers
            for arrival in server.arrivals
            if arrival not in known
        ]
        if still_crashes:
            assert len(later) == 1
        else:
            assert later[0].at > QUARANTINE_S
            assert len(later) > 20

    run_simulation(scenario, node_count=6, server_count=6)


def test_request_that_is_quarantined_while_it_waits_for_a_server_is_not_sent():
    async def scenario(simulation):
        (simulated,) = simulation.nodes.values()
        attempts = simulated.node.gateway.attempts

        async def quarantine_request(dispatcher, request):
            for number in range(3):
                attempts.quarantine.record_crash(fingerprint, f"s{number}", 1)

        fingerprint = compute_fingerprint("GET", "/safe/poison", {"Host": HOST}, b"")
        attempts.refresh_loads = quarantine_request
        status, headers = await simulation.send_request("/safe/poison")
        assert status == 503
        assert float(headers["Retry-After"]) == QUARANTINE_S
        assert not any(server.arrivals for server in simulation.servers)

    run_simulation(scenario, node_count=1, server_count=2)


def test_real_nodes_refuse_a_request_that_has_crashed_three_servers():
    async def scenario(deployment):
        deployment.write_configuration()
        for number in range(6):
            instance = await deployment.add_instance(f"i-{number}")
            instance.behaviour = InstanceBehaviour(crash_path="/safe/poison")
        nodes = [await deployment.add_node(f"vm-{number}") for number in range(2)]
        await wait_until(
            lambda: all(len(node.fleet.membership.list_live()) == 2 for node in nodes),
            "the nodes are linked",
        )
        first = [(await deployment.send_request(nodes[0], "/safe/poison"))[0] for _ in range(2)]
        assert first[0] == 502
        for node in nodes:
            await wait_until(
                lambda node=node: node.gateway.attempts.quarantine.count_quarantined(),
                "the request is quarantined",
                2.0,
            )
            status, headers, _ = await deployment.send_request(node, "/safe/poison")
            assert status == 503
            assert 100.0 < float(headers["Retry-After"]) <= QUARANTINE_S
            assert (await deployment.send_request(node, "/safe/other"))[0] == 200
        crashed = [instance for instance in deployment.instances.values() if instance.is_stopped()]
        assert 3 <= len(crashed) <= 4

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["lost", "reset", "cut"])
def test_lost_response_of_a_living_server_is_no_crash(fault):
    async def scenario(deployment):
        deployment.write_configuration()
        instance = await deployment.add_instance("i-1")
        node = await deployment.add_node("vm-1")
        for _ in range(4):
            instance.behaviour = InstanceBehaviour(fault=fault, fault_count=1)
            status, _, _ = await deployment.send_request(node, "/order/1", method="POST")
            assert status == 502
        await asyncio.sleep(0.3)
        assert not node.gateway.attempts.quarantine.has_suspects

    run_scenario(scenario)


def crash(quarantine, *server_ids, fingerprint=b"request"):
    for server_id in server_ids:
        quarantine.record_crash(fingerprint, server_id, 1)


def test_each_further_quarantine_takes_twice_as_long(clock):
    quarantine = CrashQuarantine(clock=clock)
    crash(quarantine, "s1", "s2")
    assert quarantine.admit(b"request") == ADMITTED
    crash(quarantine, "s3")
    for number, duration_s in enumerate([QUARANTINE_S, 2 * QUARANTINE_S, 4 * QUARANTINE_S]):
        assert quarantine.admit(b"request").retry_after_s == duration_s
        # crashes of attempts that were running already change nothing
        crash(quarantine, f"late{number}")
        assert quarantine.admit(b"request").retry_after_s == duration_s
        clock.now += duration_s
        assert quarantine.admit(b"request", lambda _: False).retry_after_s == TRIAL_INTERVAL_S
        assert quarantine.admit(b"request").trial
        assert quarantine.admit(b"request").retry_after_s == TRIAL_INTERVAL_S
        crash(quarantine, f"trial{number}")


def test_response_clears_earlier_crashes_and_not_later_ones(clock):
    quarantine = CrashQuarantine(clock=clock)
    crash(quarantine, "s1", "s2")
    other = CrashQuarantine(clock=clock)
    cleared = quarantine.record_response(b"request")
    # The news of the response overtakes those of the crashes.
    assert [other.apply(report) for report in cleared] == [True, True]
    crash(other, "s1", "s2")
    for known in (quarantine, other):
        assert known.count_crashes(b"request") == 0
        crash(known, "s3", "s4")
        assert known.admit(b"request") == ADMITTED
        crash(known, "s5")
        assert known.admit(b"request").retry_after_s == QUARANTINE_S


def test_memory_of_crashes_is_bounded_and_quarantined_requests_are_dropped_last(clock):
    quarantine = CrashQuarantine(clock=clock)
    crash(quarantine, "s1", "s2", "s3")
    for number in range(MAX_SUSPECTS + 100):
        clock.now += 0.01
        crash(quarantine, "s1", fingerprint=b"%d" % number)
    for number in range(100):
        crash(quarantine, f"t{number}")
    assert len({report.fingerprint for report in quarantine.list_reports()}) == MAX_SUSPECTS
    assert len(quarantine.list_reports()) < MAX_SUSPECTS + 20
    assert quarantine.count_quarantined() == 1
    clock.now += 1e5
    quarantine.expire()
    assert not quarantine.has_suspects


def test_nodes_that_know_different_crashes_agree_on_the_hash_of_a_quarantine(clock):
    first, second = (CrashQuarantine(clock=clock) for _ in range(2))
    crash(first, "s1", "s2", "s3", "s4")
    crash(second, "s4", "s3", "s2", "s1")
    assert first.compute_hash() == second.compute_hash() != 0
