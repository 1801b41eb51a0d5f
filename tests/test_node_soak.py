"""The soak of node processes: short runs, and whether its checks find what they look for."""

import asyncio

import pytest

from bench.node_checks import Period
from bench.node_checks import RunFacts
from bench.node_checks import check_run
from bench.node_checks import find_log_faults
from bench.node_soak import ROOT_DIRECTORY
from bench.node_soak import run_soak
from standins.soak_processes import KEY_MARK
from standins.soak_processes import Arrival
from standins.soak_processes import RequestRecord

# Includes the start and the stop of all processes.
TIMEOUT_S = 100.0
# Seed and duration in seconds. Each seed that ever failed stays here, with the cause in a comment;
# a test without processes guards against the same cause in every run.
RUNS = [
    (7, 25.0),
    # A node closed its session with the store while tasks still read it, and logged tracebacks
    # (test_node.py, test_store_is_closed_after_the_tasks_that_read_it).
    pytest.param(3, 42.0, marks=pytest.mark.long),
    # The soak itself lost records of the servers, as it cancelled the call that fetched them.
    pytest.param(5, 55.0, marks=pytest.mark.long),
]


@pytest.mark.parametrize(("seed", "duration_s"), RUNS)
def test_nodes_keep_their_rules_under_random_faults(seed, duration_s, tmp_path):
    """Guards against faults that only show in real processes under overlapping troubles."""

    async def run():
        async with asyncio.timeout(TIMEOUT_S):
            return await run_soak(tmp_path, seed, duration_s, [ROOT_DIRECTORY] * 6)

    soak = asyncio.run(run())
    report = "\n".join([*soak.fault_schedule, *soak.failures])
    assert not soak.failures, report
    answered = sum(request.status == 200 for request in soak.facts.requests.values())
    assert answered > 10 * duration_s, report


def make_request(number=1, kind="order", account="north", key="k1", **changes):
    fields = {"node": "n1", "sent_at": 50.0, "ended_at": 50.1, "status": 200}
    return RequestRecord(f"q{number}", kind, account, key, **{**fields, **changes})


def make_arrival(number=1, at=50.05, **changes):
    fields = {"server_id": "s1", "zone": "d1", "cold": False, "account": "north", "has_key": False}
    return Arrival(at, f"q{number}", **{**fields, **changes})


def check(requests, arrivals, runs=None, **facts):
    facts = {"keys": {"k1": Period(0.0)}, "max_cold_requests": 11.0, **facts}
    runs = arrivals if runs is None else runs
    requests = {request.request_id: request for request in requests}
    run_facts = RunFacts(requests=requests, arrivals=arrivals, runs=runs, **facts)
    return check_run(run_facts, complete=True)


REFUSED = make_request(status=503)
OPEN = make_request(kind="open", account="", key="")
BURST = [make_request(number) for number in range(40)]


@pytest.mark.parametrize(
    ("requests", "arrivals", "facts", "expected"),
    [
        ([make_request()], [make_arrival()], {}, None),
        ([make_request()], [make_arrival()] * 2, {}, "ran 2 times"),
        ([make_request(kind="look")], [make_arrival()] * 2, {}, None),
        *(
            ([make_request(status=s)], [make_arrival()], {}, "but ran")
            for s in (408, 421, 429, 503)
        ),
        (
            [make_request(is_own_response=False)],
            [make_arrival()],
            {},
            "another request's response",
        ),
        ([make_request()], [], {}, "without a run"),
        ([], [make_arrival()], {}, "unknown request"),
        ([make_request()], [make_arrival(has_key=True)], {}, "server sees a key"),
        ([make_request()], [make_arrival(account="large")], {}, "another account"),
        ([OPEN], [make_arrival(account="")], {}, None),
        ([OPEN], [make_arrival(account="forged")], {}, "another account"),
        ([make_request(key="k2")], [make_arrival()], {}, "an unknown key"),
        ([make_request()], [make_arrival()], {"keys": {"k1": Period(0, 47.5)}}, "key removed"),
        ([make_request()], [make_arrival()], {"keys": {"k1": Period(0, 47.6)}}, None),
        ([make_request(status=401)], [], {}, "valid key refused"),
        ([make_request(status=401)], [], {"keys": {"k1": Period(48.0)}}, None),
        ([make_request()], [make_arrival()], {"drains": {"s1": [Period(47.5)]}}, "draining"),
        ([make_request()], [make_arrival()], {"drains": {"s1": [Period(47.5, 50)]}}, None),
        ([make_request()], [make_arrival()], {"evacuations": {"d1": [Period(45)]}}, "evacuated"),
        ([make_request()], [make_arrival()], {"evacuations": {"d1": [Period(45, 50)]}}, None),
        (
            BURST,
            [make_arrival(number, 50 + number / 10) for number in range(40)],
            {"quotas": {"north": (2.0, 2.0)}},
            "40 runs of north",
        ),
        (
            BURST,
            [make_arrival(number, 50 + number / 5) for number in range(40)],
            {"quotas": {"north": (2.0, 2.0)}},
            None,
        ),
        (
            BURST[:12],
            [make_arrival(number, cold=True) for number in range(12)],
            {},
            "12 requests at cold s1",
        ),
        (BURST[:11], [make_arrival(number, cold=True) for number in range(11)], {}, None),
    ],
)
def test_checks_find_each_violation(requests, arrivals, facts, expected):
    """Guards against a soak that passes because a check finds nothing."""
    failures = check(requests, arrivals, **facts)
    if expected is None:
        assert failures == []
    else:
        assert any(expected in failure for failure in failures), failures


@pytest.mark.parametrize(
    ("line", "found"),
    [
        ("Invariant x violated", True),
        (f"request with {KEY_MARK}-north-1", True),
        ("Applied routing table", False),
    ],
)
def test_log_lines_of_faults_are_found(line, found, tmp_path):
    """Guards against a key or a violated invariant in a log that nobody reads."""
    path = tmp_path / "vm-1.log"
    path.write_text(f"{line}\n", encoding="utf-8")
    assert bool(find_log_faults([path])) == found
