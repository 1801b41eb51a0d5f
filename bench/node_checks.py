"""Checks of the node soak: what callers and servers saw, compared with what the operator did."""

from __future__ import annotations

import bisect
import collections
import math
import pathlib
import typing as t

import msgspec

from standins.soak_processes import KEY_MARK
from standins.soak_processes import Arrival
from standins.soak_processes import RequestRecord

CONFIGURATION_S = 2.5
EVACUATION_S = 5.0
DRAINING_S = 2.5
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20.0
WARMUP_OVERAGE = 1.5
WARMUP_SLACK = 8.0
# responses which state that the request has not run
REFUSAL_STATUSES = frozenset((401, 404, 408, 421, 429, 503))
FAULT_TEXTS = ("Invariant", "Crashed", "Background task", "Internal error", "Handler failed")
MAX_FAILURES = 40


class Period(msgspec.Struct):
    """A time during which a key is valid, a domain is evacuated or a server drains.

    :param start: time at which the store accepted the start.
    :param end: time before the write that ends it.
    """

    start: float
    end: float = math.inf


class RunFacts(msgspec.Struct, kw_only=True):
    """What the operator did and what servers and callers saw.

    :param keys: when each key was part of the configuration.
    :param quotas: requests per second and burst of each account with a quota.
    :param evacuations: evacuations by failure domain.
    :param drains: drains by server.
    :param late_deliveries: by server, times at which its path delivers requests that nodes sent
        earlier.
    :param max_cold_requests: maximum requests to a cold server in a second.
    :param earlier_nodes: entry addresses of nodes of an earlier build, which knows no accounts, no
        evacuations and no warm-up.
    """

    keys: dict[str, Period] = {}
    quotas: dict[str, tuple[float, float]] = {}
    evacuations: dict[str, list[Period]] = {}
    drains: dict[str, list[Period]] = {}
    late_deliveries: dict[str, list[Period]] = {}
    max_cold_requests: float = math.inf
    earlier_nodes: set[str] = set()
    requests: dict[str, RequestRecord] = {}
    arrivals: list[Arrival] = []
    runs: list[Arrival] = []


def check_run(facts: RunFacts, *, complete: bool) -> list[str]:
    """Return the violations of a run.

    :param complete: whether all requests have ended. Otherwise, requests that servers saw and that
        have not ended are left out.
    """
    failures = _check_responses(facts)
    for arrival in facts.arrivals:
        request = facts.requests.get(arrival.request_id)
        if request is None:
            if complete:
                failures.append(f"{arrival.server_id} got an unknown request: {arrival}")
            continue
        texts = list(_check_timing(facts, request, arrival))
        if request.node not in facts.earlier_nodes:
            texts += _check_arrival(facts, request, arrival)
        failures += [f"{text}: {request} {arrival}" for text in texts]
    failures += _check_quotas(facts) + _check_cold_servers(facts)
    return failures[:MAX_FAILURES]


def _check_responses(facts: RunFacts) -> list[str]:
    failures = []
    run_counts = collections.Counter(run.request_id for run in facts.runs)
    for request in facts.requests.values():
        count = run_counts[request.request_id]
        if request.kind == "order" and count > 1:
            failures.append(f"ran {count} times: {request}")
        if request.status in REFUSAL_STATUSES and count:
            failures.append(f"refused, but ran: {request}")
        if not request.is_own_response:
            failures.append(f"incomplete or another request's response: {request}")
        if request.status == 200 and not count:
            failures.append(f"answered without a run: {request}")
        key = facts.keys.get(request.key, Period(math.inf))
        valid = key.start + CONFIGURATION_S < request.sent_at and request.ended_at < key.end
        if request.status == 401 and valid:
            failures.append(f"valid key refused: {request}")
    return failures


def _check_arrival(facts: RunFacts, request: RequestRecord, arrival: Arrival) -> t.Iterator[str]:
    """Check the account and key of a request at a server."""
    if arrival.has_key:
        yield "server sees a key"
    if arrival.account != request.account:
        yield "server sees another account"
    if request.kind == "open":
        return
    key = facts.keys.get(request.key)
    if key is None:
        yield "request with an unknown key"
    elif arrival.at > key.end + CONFIGURATION_S and not _is_late(facts, arrival):
        yield f"key removed {arrival.at - key.end:.2f} s before"


def _check_timing(facts: RunFacts, request: RequestRecord, arrival: Arrival) -> t.Iterator[str]:
    """Check that no request reaches a server that drains or is evacuated."""
    if _is_late(facts, arrival):
        return
    for period in facts.drains.get(arrival.server_id, ()):
        if period.start + DRAINING_S < arrival.at < period.end:
            yield f"server draining since {arrival.at - period.start:.2f} s"
    if request.node in facts.earlier_nodes:
        return
    for period in facts.evacuations.get(arrival.zone, ()):
        if period.start + EVACUATION_S < arrival.at < period.end:
            yield f"domain evacuated since {arrival.at - period.start:.2f} s"


def _is_late(facts: RunFacts, arrival: Arrival) -> bool:
    """Return whether a path that was held up may just have delivered a request."""
    periods = facts.late_deliveries.get(arrival.server_id, ())
    return any(period.start <= arrival.at <= period.end for period in periods)


def _check_quotas(facts: RunFacts) -> list[str]:
    failures = []
    times: dict[str, dict[str, float]] = collections.defaultdict(dict)
    for run in facts.runs:
        if not _is_late(facts, run):
            times[run.account].setdefault(run.request_id, run.at)
    for account, (rate, burst) in facts.quotas.items():
        limit = (rate * QUOTA_WINDOW_S + burst) * (1.0 + QUOTA_OVERAGE) + QUOTA_SLACK
        at, count = _find_most(sorted(times[account].values()), QUOTA_WINDOW_S)
        if count > limit:
            failures.append(f"{count} runs of {account} in 5 s from {at:.3f}, {limit:g} allowed")
    return failures


def _check_cold_servers(facts: RunFacts) -> list[str]:
    failures = []
    times = collections.defaultdict(list)
    for arrival in facts.arrivals:
        request = facts.requests.get(arrival.request_id)
        if request is not None and request.node in facts.earlier_nodes:
            continue
        if arrival.cold and not _is_late(facts, arrival):
            times[arrival.server_id].append(arrival.at)
    for server_id, arrived_at in times.items():
        at, count = _find_most(sorted(arrived_at), 1.0)
        if count > facts.max_cold_requests:
            failures.append(f"{count} requests at cold {server_id} in 1 s from {at:.3f}")
    return failures


def _find_most(times: list[float], window_s: float) -> tuple[float, int]:
    """Return the start and the count of the window with the most times."""
    most = (0.0, 0)
    for index, start in enumerate(times):
        count = bisect.bisect_left(times, start + window_s) - index
        if count > most[1]:
            most = (start, count)
    return most


def find_log_faults(log_paths: t.Iterable[pathlib.Path]) -> list[str]:
    """Return the log lines of nodes that show a key, a crash or a violated invariant."""
    faults = []
    for path in log_paths:
        with path.open(encoding="utf-8", errors="replace") as file:
            for line in file:
                if KEY_MARK in line or any(text in line for text in FAULT_TEXTS):
                    faults.append(f"{path.name}: {line.strip()}")
    return faults[:MAX_FAILURES]
