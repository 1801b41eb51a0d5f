"""Limits on requests that servers name, kept by all nodes together.

The simulations check from the servers' side how many requests arrive.
"""

import asyncio

import pytest

from jasmineseam.membership.request_limits import RequestLimit
from jasmineseam.membership.request_limits import RequestLimits
from jasmineseam.routing.request_shares import MIN_REQUESTS_PER_S
from jasmineseam.routing.request_shares import RequestShare
from jasmineseam.routing.request_shares import ShareCandidate
from jasmineseam.routing.request_shares import TokenBucket
from jasmineseam.routing.request_shares import compute_share
from jasmineseam.routing.request_shares import rank_node
from tests.fleet_troubles import STABILITY_S
from tests.fleet_troubles import build_cases
from tests.fleet_troubles import cut_off_nodes
from tests.fleet_troubles import restart_nodes
from tests.node_simulation import get_time
from tests.node_simulation import run_simulation

# A server may get BURST_FACTOR times what its limit allows in a window, and BURST_REQUESTS more.
WINDOW_S = 4.0
BURST_FACTOR = 1.5
BURST_REQUESTS = 5
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
LIMITS = [0.0, 1.0, 2.4, 4.1, 20.0]


def name_limits(simulation, limits=LIMITS):
    for server, limit in zip(simulation.servers, limits, strict=False):
        server.name_limit(limit)


@pytest.mark.parametrize(("node_count", "server_count", "requests_per_s"), SIZES)
def test_servers_that_name_a_limit_get_no_more_from_all_nodes_together(
    node_count, server_count, requests_per_s
):
    async def scenario(simulation):
        load = simulation.spawn(simulation.send_load(requests_per_s, 16.0))
        await asyncio.sleep(2.0)
        name_limits(simulation)
        await load
        assert_limits_kept(simulation)
        # The other servers have room for all requests.
        assert simulation.compute_served_share(0.0) > 0.99

    run_simulation(scenario, node_count=node_count, server_count=server_count)


SMALL, MEDIUM, LARGE = SIZES
long = pytest.mark.long


@pytest.mark.parametrize(
    ("trouble", "size", "seed"),
    [
        (cut_off_nodes, LARGE, 1),
        *build_cases(SIZES, large_seed=2),
    ],
)
def test_limit_is_kept_beside_trouble_between_nodes(trouble, size, seed):
    node_count, server_count, requests_per_s = size

    async def scenario(simulation):
        load = simulation.spawn(simulation.send_load(requests_per_s, 18.0))
        await asyncio.sleep(2.0)
        name_limits(simulation)
        await asyncio.sleep(simulation.rng.uniform(0.0, 2.0))
        is_excused = await trouble(simulation)
        await load
        assert_limits_kept(simulation, is_excused)
        if trouble is not restart_nodes:
            assert simulation.compute_served_share(0.0) > 0.99

    run_simulation(scenario, seed=seed, node_count=node_count, server_count=server_count)


@pytest.mark.parametrize(
    ("size", "seed"),
    [
        (SMALL, 1),
        (SMALL, 2),
        (MEDIUM, 1),
        *[
            pytest.param(size, seed, marks=long)
            for size in (SMALL, MEDIUM)
            for seed in range(3, 9)
        ],
    ],
)
def test_limit_that_moves_is_followed(size, seed):
    node_count, server_count, requests_per_s = size

    async def scenario(simulation):
        load = simulation.spawn(simulation.send_load(requests_per_s, 20.0))
        await asyncio.sleep(1.0)
        while not load.done():
            for server in simulation.servers[:4]:
                server.name_limit(simulation.rng.choice([0.5, 1.0, 2.0, 4.0, 8.0, 16.0]))
            await asyncio.sleep(simulation.rng.uniform(1.0, 5.0))
        assert_limits_kept(simulation)

    run_simulation(scenario, seed=seed, node_count=node_count, server_count=server_count)


@pytest.mark.parametrize(("node_count", "server_count", "requests_per_s"), SIZES[:2])
def test_server_that_withdraws_its_limit_is_used_as_before(
    node_count, server_count, requests_per_s
):
    async def scenario(simulation):
        load = simulation.spawn(simulation.send_load(requests_per_s, 24.0))
        await asyncio.sleep(1.0)
        name_limits(simulation, [1.0, 2.4])
        await asyncio.sleep(6.0)
        name_limits(simulation, [None, None])
        withdrawn_at = get_time()
        await load
        assert_limits_kept(simulation)
        usual = requests_per_s / server_count
        for server in simulation.servers[:2]:
            late = [arrival for arrival in server.arrivals if arrival.at > withdrawn_at + 8.0]
            assert len(late) / 9.0 > 0.4 * usual

    run_simulation(scenario, node_count=node_count, server_count=server_count)


@pytest.mark.parametrize(
    ("node_count", "server_count"), [(6, 6), (30, 20), pytest.param(123, 40, marks=long)]
)
def test_limits_of_all_servers_are_used_and_the_rest_is_refused_at_once(node_count, server_count):
    async def scenario(simulation):
        limit = 5.0
        total = limit * server_count
        name_limits(simulation, [limit] * server_count)
        await simulation.send_load(1.5 * total, 12.0)
        assert_limits_kept(simulation)
        steady = [
            (status, duration_s)
            for at, status, duration_s in simulation.responses
            if 4.0 <= at < 12.0
        ]
        served = sum(status == 200 for status, _ in steady)
        assert served / 8.0 > 0.7 * total
        assert {status for status, _ in steady} == {200, 503}
        refused_s = sorted(duration_s for status, duration_s in steady if status == 503)
        assert refused_s[len(refused_s) // 2] < 0.05
        # nothing waits beyond its target of 0.5 s
        assert refused_s[-1] < 0.5

    run_simulation(scenario, node_count=node_count, server_count=server_count)


@pytest.mark.parametrize(
    ("response", "sent_at", "probe", "expected"),
    [
        (2.0, 0.0, False, 2.0),  # a lower limit counts at once
        (8.0, 0.9, False, 4.0),  # the request was sent before the limit was last named
        (8.0, 1.1, False, 8.0),
        (None, 0.9, False, 4.0),
        (None, 1.1, False, None),
        (None, 1.1, True, 4.0),  # responses to probes have never named the limit
        (4.1, 1.1, False, 4.0),  # too small a change
    ],
)
def test_responses_that_overtake_each_other_do_not_raise_a_limit(
    clock, response, sent_at, probe, expected
):
    limits = RequestLimits(clock=clock)
    limits.observe("s1", 1, 4.0, sent_at=0.0)
    clock.now = 1.0
    limits.observe("s1", 1, 4.0, sent_at=0.5)
    clock.now = 2.0
    limits.observe("s1", 1, response, sent_at=sent_at, probe=probe)
    assert limits.get("s1", 1) == expected


def test_probe_withdraws_a_limit_that_probes_have_named(clock):
    limits = RequestLimits(clock=clock)
    limits.observe("s1", 1, 4.0, sent_at=0.0)
    clock.now = 1.0
    limits.observe("s1", 1, 4.0, sent_at=0.5, probe=True)
    clock.now = 2.0
    assert limits.observe("s1", 1, None, sent_at=1.5, probe=True).requests_per_s is None


def make_limit(version, requests_per_s, started_ms=1):
    return RequestLimit(
        server_id="s1", started_ms=started_ms, version=version, requests_per_s=requests_per_s
    )


@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        (make_limit(1, 4.0), make_limit(2, None), None),
        (make_limit(1, 4.0), make_limit(2, 9.0), 9.0),
        # Two nodes have observed different limits at the same time.
        (make_limit(2, 4.0), make_limit(2, None), 4.0),
        (make_limit(2, 4.0), make_limit(2, 1.0), 1.0),
        # The second limit is one of the server's next start.
        (make_limit(9, 4.0), make_limit(1, 1.0, started_ms=2), None),
    ],
)
def test_nodes_agree_on_a_limit_in_any_order_of_news(clock, first, second, expected):
    known = [RequestLimits(clock=clock) for _ in range(2)]
    for limits, news in zip(known, ([first, second], [second, first]), strict=True):
        for limit in (*news, *news):
            limits.apply(limit)
        assert limits.get("s1", 1) == expected
    assert known[0].compute_hash() == known[1].compute_hash()


def test_limits_of_servers_that_are_not_listed_are_forgotten(clock):
    limits = RequestLimits(clock=clock)
    for name in ("s1", "s2"):
        limits.observe(name, 1, 4.0, sent_at=0.0)
    for _ in range(100):
        clock.now += 1.0
        limits.expire({"s2"})
    assert [limit.server_id for limit in limits.list_limits()] == ["s2"]


@pytest.mark.parametrize("limit", [0.0, 0.5, 1.0, 2.4, 4.1, 30.0, 500.0])
@pytest.mark.parametrize("node_count", [1, 2, 6, 30, 123])
def test_shares_and_bursts_of_all_nodes_fit_the_limit(limit, node_count):
    nodes = [ShareCandidate(f"n{number}", f"d{number % 3}") for number in range(node_count)]
    ranks = [
        rank_node(node.vm_id, server_id="s1", failure_domain="d1", nodes=nodes) for node in nodes
    ]
    shares = [compute_share(limit, rank=rank, node_count=node_count) for rank in ranks]
    total = sum(share.requests_per_s for share in shares)
    assert total <= max(limit, MIN_REQUESTS_PER_S)
    burst = sum(share.burst for share in shares)
    assert WINDOW_S * total + burst <= BURST_FACTOR * WINDOW_S * limit + BURST_REQUESTS


def test_node_that_gets_a_share_has_no_requests_saved():
    bucket = TokenBucket(share=RequestShare(0.5, 3.0, 2), now=100.0)
    assert bucket.get_available_at(100.0) == 102.0
