"""Placement: how long a request would take at each server, and which one it should go to.

Load: many short requests on few servers whose hosts turn several times slower for about a tenth
of a second at a time. What counts is to be at a server whose host is fast now and that has a free
slot, so the estimate starts from the newest report of each server and falls back on the service's
average as the report grows older.
"""

from __future__ import annotations

import math
import random
import typing as t

from .load import MAX_FRESH_REPORT_AGE_S
from .load import ServerLoad

# time in which a host's slowness is expected to change, in seconds
SLOWNESS_TIME_CONSTANT_S = 0.15
WARMUP_FACTOR = 2.0
FAILURE_RATE_FACTOR = 8.0
REMOTE_DOMAIN_FACTOR = 1.02
OCCUPANCY_FACTOR = 0.15
# share of the slots from which servers are expected to slow down, and by how much
HIGH_OCCUPANCY_FRACTION = 0.8
HIGH_OCCUPANCY_FACTOR = 1.3
# a request that runs this many times longer than usual marks its server as stuck
OVERDUE_FACTOR = 6.0
STUCK_SERVER_FACTOR = 3.0
TIE_BREAK_JITTER = 0.03


class ServerEstimate(t.NamedTuple):
    """A server and what a request is expected to meet there.

    :param factor: expected time as a multiple of the usual.
    :param free: whether a slot is free, as far as known.
    """

    load: ServerLoad
    latency_factor: float
    has_free_slot: bool


class SlownessEwma:
    """The average slowness of a service's hosts.

    >>> average = SlownessAverage()
    >>> average.note(3.0)
    >>> 1.0 < average.value < 3.0
    True
    """

    __slots__ = ("value",)

    ALPHA = 0.01

    def __init__(self) -> None:
        self.value = 1.5

    def record(self, slowness: float) -> None:
        """Learn from one report."""
        self.value += self.ALPHA * (min(slowness, 20.0) - self.value)


def estimate_slowness(load: ServerLoad, now: float, average: float) -> float:
    """Return the slowness to expect of a server's host from its last report's age."""
    report = load.report
    if report is None:
        return average
    age_s = max(0.0, now - load.reported_at)
    trust = math.exp(-age_s / SLOWNESS_TIME_CONSTANT_S)
    return average + (report.slowness - average) * trust


def estimate_server(
    load: ServerLoad, now: float, average: float, usual_s: float, failure_domain: str
) -> ServerEstimate:
    """Return what a request sent now is expected to meet at a server.

    :param average: slowness of the service's hosts.
    :param usual_s: time that a request takes on a host of usual speed, in seconds.
    :param failure_domain: the node's own.
    """
    factor = estimate_slowness(load, now, average)
    count = load.count_in_flight(now)
    report = load.report
    if report is not None and now - load.reported_at < MAX_FRESH_REPORT_AGE_S:
        # what the server still works on for callers that have left
        count = max(count, report.running + report.waiting)
    slots = load.slots
    excess = count + 1 - slots
    if excess > 0:
        factor *= 1.0 + excess / slots
    if count + 1 > HIGH_OCCUPANCY_FRACTION * slots:
        factor *= HIGH_OCCUPANCY_FACTOR
    if now < load.warmup_ends_at:
        factor *= WARMUP_FACTOR
    if load.running:
        oldest_s = now - next(iter(load.running.values()))
        if oldest_s > OVERDUE_FACTOR * usual_s > 0:
            factor *= STUCK_SERVER_FACTOR
    factor *= 1.0 + FAILURE_RATE_FACTOR * load.get_failure_rate(now)
    factor *= 1.0 + OCCUPANCY_FACTOR * count / slots
    if load.failure_domain != failure_domain:
        factor *= REMOTE_DOMAIN_FACTOR
    return ServerEstimate(load, factor, excess <= 0)


def choose(
    loads: t.Iterable[ServerLoad],
    *,
    now: float,
    average: float,
    usual_s: float,
    failure_domain: str,
    rng: random.Random,
) -> tuple[ServerEstimate | None, ServerEstimate | None]:
    """Return the best server with a free slot and the best of all, ``None`` if there is none.

    :param chooser: breaks ties, so that nodes with the same view spread.
    """
    best_free = best = None
    for load in loads:
        if now < load.ejected_until:
            continue
        one = estimate_server(load, now, average, usual_s, failure_domain)
        factor = one.latency_factor * (1.0 + TIE_BREAK_JITTER * rng.random())
        one = ServerEstimate(load, factor, one.has_free_slot)
        if best is None or factor < best.latency_factor:
            best = one
        if one.has_free_slot and (best_free is None or factor < best_free.latency_factor):
            best_free = one
    return best_free, best
