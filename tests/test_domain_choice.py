"""The choice between servers of the own failure domain and others, without a network."""

import asyncio
import random

import pytest

from jasmineseam.measuring.load_reports import DetailedLoadReport
from jasmineseam.membership.registry import ServerListing
from jasmineseam.membership.registry import ServerRegistry
from jasmineseam.membership.request_limits import RequestLimits
from jasmineseam.membership.servers import Server
from jasmineseam.membership.store_position import StorePosition
from jasmineseam.node.dispatchers import Dispatchers
from jasmineseam.routing.dispatch import Dispatcher
from jasmineseam.routing.dispatch import PlacementRequest
from jasmineseam.routing.domain_choice import RoundTrips
from jasmineseam.routing.domain_choice import choose_domain
from jasmineseam.routing.load import ServerLoad
from jasmineseam.routing.placement import ServerEstimate
from jasmineseam.routing.service_times import ServiceTimes

SERVICE_TIME_S = 0.1


def make_load(name, failure_domain, *, running=0, slots=4, slowness=1.0):
    load = ServerLoad(
        server_id=name, address=name, failure_domain=failure_domain, slots=slots, now=-60.0
    )
    report = DetailedLoadReport(running=running, waiting=0, slots=slots, slowness=slowness)
    load.record_report(report, 0.0)
    return load


@pytest.mark.parametrize(
    ("own_s", "other_s", "time_to_target_s", "price_s", "chosen"),
    [
        # Both are in time, and the time saved does not pay for the bytes.
        (0.3, 0.1, 0.5, 0.5, "own"),
        # Only time counts.
        (0.3, 0.1, 0.5, 0.0, "other"),
        # Only the other one is in time, so the price does not matter.
        (0.6, 0.1, 0.5, 10.0, "other"),
        # Neither is in time, and the time saved does not pay.
        (0.9, 0.6, 0.5, 0.5, "own"),
        (0.9, 0.6, 0.5, 0.1, "other"),
        # An upload with time to spare stays; the estimates leave out some waiting.
        (0.45, 0.1, 0.5, 0.5, "other"),
        (None, 0.1, 0.5, 1.0, "other"),
        (0.9, None, 0.5, 1.0, "own"),
    ],
)
def test_request_leaves_its_domain_only_if_that_pays(
    own_s, other_s, time_to_target_s, price_s, chosen
):
    own = None if own_s is None else ServerEstimate(make_load("own", "d1"), own_s / 0.1, True)
    other = (
        None if other_s is None else ServerEstimate(make_load("other", "d2"), other_s / 0.1, True)
    )
    best = choose_domain(
        own,
        other,
        service_time_s=SERVICE_TIME_S,
        time_to_target_s=time_to_target_s,
        price_s=price_s,
    )
    assert best.load.server_id == chosen


@pytest.mark.parametrize(
    ("round_trip_s", "expected"), [(0.0005, "other"), (0.5, "own")], ids=["near", "far"]
)
def test_longer_network_path_counts_as_latency(clock, round_trip_s, expected):
    trips = RoundTrips()
    trips.record("d1", 0.0004)
    trips.record("d2", round_trip_s)
    dispatcher = Dispatcher(
        service="fit",
        failure_domain="d1",
        clock=clock,
        rng=random.Random(1),
        service_times=ServiceTimes(initial_s=SERVICE_TIME_S),
        round_trips=trips,
    )
    loads = [make_load("own", "d1", slowness=2.0), make_load("other", "d2")]
    dispatcher.loads = {load.server_id: load for load in loads}
    request = PlacementRequest(1, SERVICE_TIME_S, 2.0, 4.0, set())
    assert asyncio.run(dispatcher.place(request)).server_id == expected


def make_dispatchers(server_counts):
    registry = ServerRegistry(clock=lambda: 0.0)
    listings = [
        ServerListing(
            server=Server(
                server_id=f"{domain}-s{number}",
                service="fit",
                address=f"10.0.0.{number + 1}:{8000 + index}",
                failure_domain=domain,
            ),
            slots=4,
        )
        for index, (domain, count) in enumerate(server_counts.items())
        for number in range(count)
    ]
    registry.replace_listings(listings, StorePosition(0, 1))
    dispatchers = Dispatchers(
        node_id="n1",
        failure_domain="d1",
        registry=registry,
        request_limits=RequestLimits(clock=lambda: 0.0),
    )
    dispatchers.set_node_counts(45, 11)
    return dispatchers


@pytest.mark.parametrize(
    ("server_counts", "first_domains"),
    [
        ({"d1": 20, "d2": 20}, {"d1"}),
        # All servers of the own domain are in use already.
        ({"d1": 4, "d2": 20}, {"d2"}),
    ],
)
def test_servers_are_borrowed_in_the_own_domain_first(server_counts, first_domains):
    # Borrowed servers were drawn from all domains: three quarters of what was borrowed left the
    # domain although it had free servers outside of the node's subset.
    dispatchers = make_dispatchers(server_counts)
    dispatcher = dispatchers.get("fit")
    borrowed = dispatchers.borrow_servers(dispatcher, 4)
    assert {load.failure_domain for load in borrowed} == first_domains


class _Domain:
    """One failure domain of a model, with the requests that each of its servers runs."""

    def __init__(self, *, name, server_count):
        self.running = {f"{name}-{number}": 0 for number in range(server_count)}
        self.capacity = server_count * SLOTS


SLOTS = 4
TARGET_S = 0.3
STEP_S = 0.002
STEPS = 900
# All requests that arrive in this number of steps are placed with the same reports.
STEPS_PER_REPORT = 5
# name, demand of each domain as a fraction of its slots, demand of the first one in the second
# half, share of the first domain's requests that leaves it at least and at most in that half
DOMAIN_LOADS = [
    ("balanced", (0.6, 0.6, 0.6), 0.6, (0.0, 0.02)),
    # A half is above the capacity, and the others have room for all of it.
    ("twice_its_capacity", (2.0, 0.4, 0.4), 2.0, (0.4, 0.6)),
    # No more leaves than the third that its own servers can't take.
    ("all_full", (1.5, 1.5, 1.5), 1.5, (0.0, 0.34)),
    ("overload_ends", (2.0, 0.4, 0.4), 0.6, (0.0, 0.03)),
    ("overload_begins", (0.6, 0.4, 0.4), 2.0, (0.35, 0.6)),
    # Its servers are lost or evacuated, so all requests leave.
    ("lost", (0.6, 0.4, 0.4), None, (1.0, 1.0)),
]


@pytest.mark.parametrize(("node_count", "server_count"), [(6, 6), (51, 12), (300, 36)])
@pytest.mark.parametrize(("name", "demand", "later", "bounds"), DOMAIN_LOADS)
def test_excess_of_a_domain_leaves_it_and_no_more(
    name, demand, later, bounds, node_count, server_count
):
    # Every node decides by itself, and all that decide within 10 ms see the same free servers.
    rng = random.Random(node_count)
    domains = {
        f"d{number}": _Domain(name=f"d{number}", server_count=server_count)
        for number in range(len(demand))
    }
    reports = {}
    running = []
    # arrival time and own failure domain of the requests that wait for a free slot
    waiting = []
    left = placed = 0
    for step in range(STEPS):
        now = step * STEP_S
        while running and running[0][0] <= now:
            _, domain, server_id = running.pop(0)
            if server_id in domains[domain].running:
                domains[domain].running[server_id] -= 1
        if step == STEPS // 2 and later is None:
            domains["d0"].running.clear()
        if step % STEPS_PER_REPORT == 0:
            reports = {domain: dict(state.running) for domain, state in domains.items()}
        arrived = []
        for own, load_factor in zip(domains, demand, strict=True):
            if own == "d0" and step >= STEPS // 2 and later is not None:
                load_factor = later
            arrivals = load_factor * domains[own].capacity / SERVICE_TIME_S * STEP_S
            count = int(arrivals) + (rng.random() < arrivals % 1.0)
            arrived += [(now, own)] * count
        # Requests that wait are placed again when there are new reports.
        still_waiting = []
        if step % STEPS_PER_REPORT == 0:
            arrived += waiting
        else:
            still_waiting = waiting
        for arrived_at, own in arrived:
            time_to_target_s = arrived_at + TARGET_S - now
            if time_to_target_s < SERVICE_TIME_S:
                continue
            domain, server_id = _place(reports, own, time_to_target_s, rng)
            # A server refuses what it has no slot for.
            if server_id is None or domains[domain].running[server_id] >= SLOTS:
                still_waiting.append((arrived_at, own))
                continue
            domains[domain].running[server_id] += 1
            running.append((now + SERVICE_TIME_S, domain, server_id))
            # The first requests after the change meet servers that are still full.
            if own == "d0" and step > STEPS // 2 + 150:
                placed += 1
                left += domain != own
        waiting = still_waiting
    assert bounds[0] <= left / placed <= bounds[1]


def _place(reports, own, time_to_target_s, rng):
    """Return the domain and the server of a request, ``None`` for both if none is free."""
    best = []
    for is_own in (True, False):
        servers = [
            (domain, server_id)
            for domain, running in reports.items()
            for server_id in running
            if (domain == own) is is_own
        ]
        estimates = []
        for domain, server_id in rng.sample(servers, min(8, len(servers))):
            in_flight = reports[domain][server_id]
            if in_flight >= SLOTS:
                continue
            load = make_load(server_id, domain, running=in_flight)
            estimates.append(ServerEstimate(load, 1.0 + 0.15 * in_flight / SLOTS, True))
        best.append(min(estimates, key=lambda estimate: estimate.latency_factor, default=None))
    chosen = choose_domain(
        best[0],
        best[1],
        service_time_s=SERVICE_TIME_S,
        time_to_target_s=time_to_target_s,
        price_s=0.05,
    )
    return (None, None) if chosen is None else (chosen.load.failure_domain, chosen.load.server_id)
