"""Load of one backend server as observed by one node, with the age of each observation."""

from __future__ import annotations

from ..measuring.load_reports import DetailedLoadReport
from .request_shares import TokenBucket

# a report's requests count as in flight for this time
REPORT_LIFETIME_S = 1.0
# up to this age a report is treated as the current state, in seconds
MAX_FRESH_REPORT_AGE_S = 0.1
FAILURE_RATE_EWMA_ALPHA = 0.25
# half-life of the failure rate, in seconds
FAILURE_RATE_HALF_LIFE_S = 4.0
# duration of the ejection of a server that accepts no connection, in seconds; doubles with each
# consecutive ejection
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0


class ServerLoad:
    """Load and health of one server.

    :param server_id: id of the server.
    :param address: ``ip:port``.
    :param failure_domain: failure domain of the server.
    :param slots: number of requests that the server runs concurrently.
    :param now: current monotonic time, in seconds.
    """

    __slots__ = (
        "_consecutive_ejections",
        "_failure_rate",
        "_failure_rate_at",
        "_last_token",
        "address",
        "borrowed_until",
        "ejected_until",
        "failure_domain",
        "health_valid_until",
        "last_probe_at",
        "paused_until",
        "report",
        "reported_at",
        "request_bucket",
        "request_start_times",
        "requires_health",
        "server_id",
        "slots",
        "started_ms",
        "unanswered_probe",
        "warmup_ends_at",
    )

    def __init__(
        self, *, server_id: str, address: str, failure_domain: str, slots: int, now: float
    ) -> None:
        self.server_id = server_id
        self.address = address
        self.failure_domain = failure_domain
        self.slots = slots
        # Unix time at which the server started according to the server list, in milliseconds
        self.started_ms = 0
        self.warmup_ends_at = now
        # start times of the requests of this node that are in flight, by token, oldest first
        self.request_start_times: dict[int, float] = {}
        self._last_token = 0
        self.report: DetailedLoadReport | None = None
        self.reported_at = float("-inf")
        self.last_probe_at = float("-inf")
        # whether the last probe has failed and no report has arrived since then
        self.unanswered_probe = False
        # end of the time for which the server is used, ``None`` if it is in this node's subset
        self.borrowed_until: float | None = None
        self._failure_rate = 0.0
        self._failure_rate_at = now
        self.ejected_until = 0.0
        # the server has asked for no requests until this time
        self.paused_until = 0.0
        # this node's share of the limit of the server, ``None`` if it has none
        self.request_bucket: TokenBucket | None = None
        # Whether a server with a recent health response is preferred, because the server may have
        # become cold since an older one.
        self.requires_health = False
        self.health_valid_until = float("-inf")
        # reset by a successful attempt
        self._consecutive_ejections = 0

    def start_request(self, now: float) -> int:
        """Record that a request was sent; returns the token for ``finish_request``."""
        self._last_token += 1
        self.request_start_times[self._last_token] = now
        return self._last_token

    def finish_request(self, token: int) -> None:
        """Record that a request has ended."""
        del self.request_start_times[token]

    def record_report(self, report: DetailedLoadReport, observed_at: float) -> bool:
        """Store a load report; returns whether it was newer than the stored one.

        :param observed_at: monotonic time at which the server's report was received, in seconds.
        """
        if observed_at <= self.reported_at:
            return False
        self.report = report
        self.reported_at = observed_at
        self.unanswered_probe = False
        if report.slots:
            self.slots = report.slots
        return True

    def get_fresh_slowness(self, now: float) -> float:
        """Return the slowness of the server's host.

        Without a report that is at most ``MAX_FRESH_REPORT_AGE_S`` old, the result is 1, which is
        normal speed.
        """
        if self.report is None or now - self.reported_at > MAX_FRESH_REPORT_AGE_S:
            return 1.0
        return self.report.slowness

    def count_in_flight(self, now: float) -> int:
        """Return how many requests the server runs or queues, as far as this node knows.

        A server also runs requests of other nodes, and those whose callers have disconnected; only
        its reports count them.
        """
        own_count = len(self.request_start_times)
        if self.report is None or now - self.reported_at > REPORT_LIFETIME_S:
            return own_count
        return max(own_count, self.report.running + self.report.waiting)

    def record_outcome(self, failed: bool, now: float) -> None:
        """Update the failure rate from one finished attempt."""
        rate = self.get_failure_rate(now)
        self._failure_rate = rate + FAILURE_RATE_EWMA_ALPHA * (float(failed) - rate)
        self._failure_rate_at = now
        if not failed:
            self._consecutive_ejections = 0

    def eject(self, now: float) -> None:
        """Eject the server.

        The duration doubles with each ejection until an attempt succeeds.
        """
        ejection_s = min(BASE_EJECTION_S * 2**self._consecutive_ejections, MAX_EJECTION_S)
        self._consecutive_ejections += 1
        self.ejected_until = now + ejection_s

    def forget_failures(self) -> None:
        """Undo the consequences of failures that the server did not cause."""
        self._failure_rate = 0.0
        self._consecutive_ejections = 0
        self.ejected_until = 0.0
        self.unanswered_probe = False

    def get_available_at(self, now: float) -> float:
        """Return the time from which the server may receive requests."""
        available_at = max(self.ejected_until, self.paused_until)
        if self.request_bucket is not None:
            available_at = max(available_at, self.request_bucket.get_available_at(now))
        return available_at

    def is_health_known(self, now: float) -> bool:
        """Return whether a health response would have shown that the server is cold."""
        return not self.requires_health or now < self.health_valid_until

    def take_token(self, now: float) -> None:
        """Count a request that will be sent against the limit that the server names."""
        if self.request_bucket is not None:
            self.request_bucket.take(now)

    def get_failure_rate(self, now: float) -> float:
        """Return the fraction of recent attempts that failed; it decays over time."""
        if self._failure_rate < 0.01:
            return 0.0
        age_s = now - self._failure_rate_at
        return self._failure_rate * 0.5 ** (age_s / FAILURE_RATE_HALF_LIFE_S)
