"""Latency estimates for a request at each server, and the choice of the best server.

Many short requests go to a few servers whose hosts become several times slower for about a tenth
of a second at a time. Latency depends mostly on the choice of a host that is fast now and has a
free slot. The estimate therefore starts from the slowness in the newest load report of each server
and approaches the average slowness of the service's hosts as the report ages.
"""

from __future__ import annotations

import math
import random
import typing as t

from .load import ServerLoad

# time constant of the exponential decay of a report's weight, in seconds; about the time in which
# a host's slowness is expected to change
SLOWNESS_TIME_CONSTANT_S = 0.15
# The latency estimate is multiplied by each *_LATENCY_FACTOR that applies, and by
# 1 + weight * x for each *_LATENCY_WEIGHT, where x is the failure rate or the fraction of used
# slots.
WARMUP_LATENCY_FACTOR = 2.0
FAILURE_RATE_LATENCY_WEIGHT = 8.0
REMOTE_FAILURE_DOMAIN_LATENCY_FACTOR = 1.02
OCCUPANCY_LATENCY_WEIGHT = 0.15
# fraction of used slots above which HIGH_OCCUPANCY_LATENCY_FACTOR applies
HIGH_OCCUPANCY_FRACTION = 0.8
HIGH_OCCUPANCY_LATENCY_FACTOR = 1.3
# a server is treated as stalled if a request has run there for more than this many service times
OVERDUE_SERVICE_TIME_FACTOR = 6.0
STALLED_SERVER_LATENCY_FACTOR = 3.0
UNANSWERED_PROBE_LATENCY_FACTOR = 3.0
# Time of a slot that a server spends on accepting a connection, in seconds.
CONNECT_WORK_S = 0.001
# largest random increase of an estimate, as a fraction of the estimate
TIE_BREAK_JITTER_FRACTION = 0.03


class ServerEstimate(t.NamedTuple):
    """A server and the latency that a request is expected to have there.

    :param latency_factor: expected latency as a multiple of the normal service time.
    :param has_free_slot: whether this node expects a slot to be free for the request.
    """

    load: ServerLoad
    latency_factor: float
    has_free_slot: bool


class SlownessEwma:
    """Moving average of the slowness of a service's hosts.

    >>> average = SlownessEwma()
    >>> average.record_slowness(3.0)
    >>> 1.0 < average.value < 3.0
    True
    """

    __slots__ = ("value",)

    ALPHA = 0.01

    def __init__(self) -> None:
        # initial estimate, until load reports arrive
        self.value = 1.5

    def record_slowness(self, slowness: float) -> None:
        """Update the average from one load report."""
        # samples are limited to 20, so that one report raises the average by at most 0.2
        self.value += self.ALPHA * (min(slowness, 20.0) - self.value)


class ReportValue:
    """How much time a further load report saves a request, from the reports so far.

    A request that has reports of some servers gains from one more if none of those suits: if their
    hosts are slow or all their slots are in use.

    >>> value = ReportValue()
    >>> for _ in range(100):
    ...     for slowness in (1.0, 1.0, 1.0, 1.0, 5.0):
    ...         value.record_report(slowness=slowness, is_full=False)
    >>> [round(value.estimate_gain_s(count, service_time_s=0.1), 3) for count in (1, 2, 3)]
    [0.017, 0.003, 0.001]
    """

    __slots__ = ("_mean_loss", "_unsuitable_share")

    ALPHA = 0.01
    # slowness from which a server is not suitable
    MIN_UNSUITABLE_SLOWNESS = 1.5
    # time that a request waits for a slot, as a multiple of the service time
    FULL_SERVER_LOSS = 1.0

    def __init__(self) -> None:
        # initial estimates, until load reports arrive
        self._mean_loss = 0.5
        self._unsuitable_share = 0.2

    def record_report(self, *, slowness: float, is_full: bool) -> None:
        """Update the estimates from one load report.

        :param is_full: whether all slots of the server are in use.
        """
        # samples are limited to 20, as those of SlownessEwma
        loss = min(slowness, 20.0) - 1.0 + self.FULL_SERVER_LOSS * is_full
        is_unsuitable = is_full or slowness >= self.MIN_UNSUITABLE_SLOWNESS
        self._mean_loss += self.ALPHA * (max(0.0, loss) - self._mean_loss)
        self._unsuitable_share += self.ALPHA * (is_unsuitable - self._unsuitable_share)

    def estimate_gain_s(self, report_count: int, *, service_time_s: float) -> float:
        """Return the time that a request gains by one more report, in seconds.

        :param report_count: number of servers with a report so far.
        :param service_time_s: service time on a host of normal speed, in seconds.
        """
        return service_time_s * self._mean_loss * self._unsuitable_share**report_count


def estimate_slowness(load: ServerLoad, now: float, average_slowness: float) -> float:
    """Return the expected slowness of a server's host, weighted by the age of its last report.

    :param average_slowness: average slowness of the service's hosts.
    """
    report = load.report
    if report is None:
        return average_slowness
    age_s = max(0.0, now - load.reported_at)
    weight = math.exp(-age_s / SLOWNESS_TIME_CONSTANT_S)
    return average_slowness + (report.slowness - average_slowness) * weight


def estimate_server(
    load: ServerLoad,
    now: float,
    average_slowness: float,
    service_time_s: float,
    failure_domain: str,
) -> ServerEstimate:
    """Return the latency estimate of a request that is sent to a server now.

    :param average_slowness: average slowness of the service's hosts.
    :param service_time_s: service time on a host of normal speed, in seconds.
    :param failure_domain: failure domain of this node.
    """
    factor = estimate_slowness(load, now, average_slowness)
    in_flight = load.count_in_flight(now)
    slots = load.slots
    excess = in_flight + 1 - slots
    if excess > 0:
        factor *= 1.0 + excess / slots
    if in_flight + 1 > HIGH_OCCUPANCY_FRACTION * slots:
        factor *= HIGH_OCCUPANCY_LATENCY_FACTOR
    if now < load.warmup_ends_at:
        factor *= WARMUP_LATENCY_FACTOR
    if load.unanswered_probe:
        factor *= UNANSWERED_PROBE_LATENCY_FACTOR
    if load.request_start_times:
        oldest_s = now - next(iter(load.request_start_times.values()))
        if oldest_s > OVERDUE_SERVICE_TIME_FACTOR * service_time_s > 0:
            factor *= STALLED_SERVER_LATENCY_FACTOR
    factor *= 1.0 + FAILURE_RATE_LATENCY_WEIGHT * load.get_failure_rate(now)
    factor *= 1.0 + OCCUPANCY_LATENCY_WEIGHT * in_flight / slots
    if load.failure_domain != failure_domain:
        factor *= REMOTE_FAILURE_DOMAIN_LATENCY_FACTOR
    return ServerEstimate(load, factor, excess <= 0)


def compute_connect_cost_s(round_trip_s: float) -> float:
    """Return what a new connection costs: a round trip and the server's work, in seconds.

    :param round_trip_s: round trip to the server, in seconds.
    """
    return round_trip_s + CONNECT_WORK_S


def choose_servers(
    loads: t.Iterable[ServerLoad],
    *,
    now: float,
    average_slowness: float,
    service_time_s: float,
    failure_domain: str,
    rng: random.Random,
    get_connect_cost_s: t.Callable[[ServerLoad], float] = lambda load: 0.0,
) -> tuple[ServerEstimate | None, ServerEstimate | None]:
    """Return the best server with a free slot and the best server overall.

    Either is ``None`` if there is none. A server that may have become cold since its last health
    response is chosen only if that applies to all servers.

    :param average_slowness: average slowness of the service's hosts.
    :param service_time_s: service time on a host of normal speed, in seconds.
    :param failure_domain: failure domain of this node.
    :param rng: breaks ties, so that nodes with the same information choose different servers.
    :param get_connect_cost_s: returns what opening a connection to a server costs, in seconds; 0
        if one is open.
    """
    best_free = best = None
    available = [load for load in loads if now >= load.get_available_at(now)]
    known = [load for load in available if load.is_health_known(now)]
    for load in known or available:
        candidate = estimate_server(load, now, average_slowness, service_time_s, failure_domain)
        factor = candidate.latency_factor * (1.0 + TIE_BREAK_JITTER_FRACTION * rng.random())
        if service_time_s > 0.0:
            factor += get_connect_cost_s(load) / service_time_s
        candidate = ServerEstimate(load, factor, candidate.has_free_slot)
        if best is None or factor < best.latency_factor:
            best = candidate
        if candidate.has_free_slot and (best_free is None or factor < best_free.latency_factor):
            best_free = candidate
    return best_free, best
