"""What one node knows of the load of one backend server, and how old that is."""

from __future__ import annotations

from ..measuring.load_reports import ServerReport

PEER_COUNT_EXPIRY_S = 1.0
# a report counts as the present state until this age, in seconds
MAX_FRESH_REPORT_AGE_S = 0.1
FAILURE_RATE_EWMA_ALPHA = 0.25
# a server's failures weigh half as much after this time, in seconds
FAILURE_HALF_LIFE_S = 4.0
# a server that takes no connection is left alone for so long, doubled with each time in a row
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0


class ServerLoad:
    """Load of one server.

    :param server_id: the server's id.
    :param address: ``ip:port``.
    :param failure_domain: where it is.
    :param slots: requests that it runs at once.
    :param now: monotonic, in seconds.
    """

    __slots__ = (
        "_ejections",
        "_failure_rate",
        "_failure_rate_at",
        "_others",
        "_token",
        "address",
        "ejected_until",
        "failure_domain",
        "last_probe_at",
        "report",
        "reported_at",
        "running",
        "server_id",
        "slots",
        "started_ms",
        "warmup_ends_at",
    )

    def __init__(
        self, *, server_id: str, address: str, failure_domain: str, slots: int, now: float
    ) -> None:
        self.server_id = server_id
        self.address = address
        self.failure_domain = failure_domain
        self.slots = slots
        self.started_ms = 0
        self.warmup_ends_at = now
        # start times of this node's own requests, oldest first
        self.running: dict[int, float] = {}
        self._token = 0
        self._others: dict[str, tuple[int, float]] = {}
        self.report: ServerReport | None = None
        self.reported_at = float("-inf")
        self.last_probe_at = float("-inf")
        self._failure_rate = 0.0
        self._failure_rate_at = now
        self.ejected_until = 0.0
        # since the last answer
        self._ejections = 0

    def start_request(self, now: float) -> int:
        """Note a request sent; returns the token to end it with."""
        self._token += 1
        self.running[self._token] = now
        return self._token

    def finish_request(self, token: int) -> None:
        """Note that a request has ended."""
        del self.running[token]

    def record_report(self, report: ServerReport, observed_at: float) -> bool:
        """Take a report unless a newer one is known; returns whether it was taken."""
        if observed_at <= self.reported_at:
            return False
        self.report = report
        self.reported_at = observed_at
        if report.slots:
            self.slots = report.slots
        return True

    def get_fresh_slowness(self, now: float) -> float:
        """Return the slowness of the server's host, 1 if the last report is too old to tell."""
        if self.report is None or now - self.reported_at > MAX_FRESH_REPORT_AGE_S:
            return 1.0
        return self.report.slowness

    def record_peer_count(self, peer: str, count: int, at: float) -> None:
        """Take a peer's word on how many requests it has at the server."""
        if count:
            self._others[peer] = (count, at)
        else:
            self._others.pop(peer, None)

    def count_in_flight(self, now: float) -> int:
        """Return the requests that all nodes have at the server, as far as known."""
        count = len(self.running)
        for peer, (others, at) in list(self._others.items()):
            if now - at > PEER_COUNT_EXPIRY_S:
                del self._others[peer]
                continue
            count += others
        return count

    def record_outcome(self, failed: bool, now: float) -> None:
        """Learn from one finished attempt."""
        rate = self.get_failure_rate(now)
        self._failure_rate = rate + FAILURE_RATE_EWMA_ALPHA * (float(failed) - rate)
        self._failure_rate_at = now
        if not failed:
            self._ejections = 0

    def eject(self, now: float) -> None:
        """Leave the server alone for a while, longer each time until it answers."""
        pause_s = min(BASE_EJECTION_S * 2**self._ejections, MAX_EJECTION_S)
        self._ejections += 1
        self.ejected_until = now + pause_s

    def get_failure_rate(self, now: float) -> float:
        """Return the share of recent attempts that failed; it fades with time."""
        if self._failure_rate < 0.01:
            return 0.0
        age_s = now - self._failure_rate_at
        return self._failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)
