"""Urgent requests with a tight target beside less urgent ones, at servers with too few slots."""

import pytest

from jasmineseam.routing.fair_queueing import Rank
from jasmineseam.routing.reserved_slots import ReservedSlots
from tests.kinds_simulation import Kind
from tests.kinds_simulation import simulate_kinds

# requests that 15 slots on hosts of average slowness run at a time
CAPACITY = 15 / 1.4
URGENT_WORK_FRACTION = 0.25
MAX_SERVED_DIFFERENCE = 0.05
MAX_CREDIT_DIFFERENCE = 0.15


def make_kinds(load_factor):
    """Return the two kinds of deployment B.

    :param load_factor: demand as a multiple of the capacity.
    """
    work = load_factor * CAPACITY
    return [
        Kind(
            name="state",
            priority=1,
            work_s=0.047,
            target_s=0.179,
            deadline_s=0.8,
            rate_per_s=URGENT_WORK_FRACTION * work / 0.047,
        ),
        Kind(
            name="lobby",
            priority=2,
            work_s=0.112,
            target_s=0.429,
            deadline_s=1.5,
            rate_per_s=(1 - URGENT_WORK_FRACTION) * work / 0.112,
        ),
    ]


# nodes, demand as a multiple of the capacity, bursts, least credit of all less refusals
LOADS = [
    (1, 1.2, None, 0.95),
    (6, 1.2, None, 0.78),
    (6, 2.0, None, 0.33),
    (6, 0.7, (5.0, 1.5, 2.5), 0.74),
    (40, 1.2, None, 0.77),
    (40, 2.0, None, 0.33),
    (40, 0.7, (5.0, 1.5, 2.5), 0.74),
]


@pytest.mark.parametrize(("nodes", "load_factor", "burst", "least_total"), LOADS)
def test_urgent_kind_with_a_tight_target_gets_its_share(nodes, load_factor, burst, least_total):
    # Each node sees its own queue only. At 6 nodes and twice the capacity, 0.18 of the urgent kind
    # and 0.75 of the other were served, because its requests wait for a shorter time.
    outcomes = simulate_kinds(make_kinds(load_factor), nodes=nodes, burst=burst)
    assert outcomes.get_served("state") >= outcomes.get_served("lobby") - MAX_SERVED_DIFFERENCE
    assert outcomes.get_credit("state") >= outcomes.get_credit("lobby") - MAX_CREDIT_DIFFERENCE
    assert outcomes.get_total() >= least_total
    # The less urgent kind is not starved.
    asked = outcomes.asked.total()
    served = (outcomes.in_time.total() + outcomes.late.total()) / asked
    assert outcomes.get_served("lobby") >= served / 4


@pytest.mark.parametrize("nodes", [1, 6, 40])
def test_slots_for_urgent_requests_cost_nothing_below_the_capacity(nodes):
    outcomes = simulate_kinds(make_kinds(0.9), nodes=nodes)
    for kind in ("state", "lobby"):
        assert outcomes.get_credit(kind) >= 0.95


def record(reserved, rank, count, *, placed):
    for number in range(count):
        reserved.record_arrival(rank, feasible=True)
        if number < placed * count:
            reserved.record_placement(rank)


URGENT = Rank(0, 1)
LESS_URGENT = Rank(0, 2)


@pytest.mark.parametrize(
    ("rank", "placed", "node_count", "leaves_slots"),
    [
        (LESS_URGENT, 0.9, 40, True),
        # nothing is more urgent
        (URGENT, 0.9, 40, False),
        # the queue of the only node orders all requests
        (LESS_URGENT, 0.9, 1, False),
        # a rank that gets little already is not held back further
        (LESS_URGENT, 0.1, 40, False),
    ],
)
def test_less_urgent_requests_leave_slots(rank, placed, node_count, leaves_slots):
    reserved = ReservedSlots()
    record(reserved, URGENT, 40, placed=0.9)
    record(reserved, LESS_URGENT, 40, placed=placed)
    slots = reserved.compute_for_urgent(rank, slots=15, node_count=node_count)
    assert (round(slots) > 0) == leaves_slots


def test_no_slots_are_reserved_at_a_normal_load():
    # Guards against refusals of less urgent requests while nearly all requests get a server.
    reserved = ReservedSlots()
    record(reserved, URGENT, 40, placed=0.98)
    record(reserved, LESS_URGENT, 40, placed=1.0)
    assert reserved.compute_for_urgent(LESS_URGENT, slots=15, node_count=40) == 0.0


def test_slots_are_not_reserved_for_a_kind_that_is_not_sent_any_more():
    reserved = ReservedSlots()
    record(reserved, URGENT, 40, placed=1.0)
    record(reserved, LESS_URGENT, 1000, placed=1.0)
    assert round(reserved.compute_for_urgent(LESS_URGENT, slots=15, node_count=40)) == 0
