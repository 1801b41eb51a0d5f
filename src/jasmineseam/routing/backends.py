"""State of one backend server as observed by one entry process through its own requests."""

from __future__ import annotations

from ..membership.servers import Server

SLOW_START_S = 4.0
# Weights are relative to a server that is not in its slow start and does not report the state
# ``cold``.
SLOW_START_MIN_WEIGHT = 0.1
COLD_WEIGHT = 0.3
LATENCY_EWMA_ALPHA = 0.1


class Backend:
    """A backend server with the observations that routing decisions are based on.

    :param server: the server's entry in the list of servers.
    :param now: monotonic time at which the server was discovered, in seconds.
    :param skip_slow_start: whether the server gets its full weight at once, because it was already
        running when this process started.
    """

    __slots__ = (
        "_last_token",
        "average_latency_s",
        "cold",
        "consecutive_ejections",
        "consecutive_failures",
        "ejected_until",
        "half_open",
        "last_response_at",
        "request_count",
        "request_start_times",
        "server",
        "slow_start_at",
    )

    def __init__(self, *, server: Server, now: float, skip_slow_start: bool = False) -> None:
        self.server = server
        self.slow_start_at = now - SLOW_START_S if skip_slow_start else now
        # start times of this process's requests in flight, by token, oldest first
        self.request_start_times: dict[int, float] = {}
        self._last_token = 0
        self.average_latency_s = 0.0
        self.cold = False
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.ejected_until = 0.0
        # whether no trial request has succeeded since the last ejection
        self.half_open = False
        self.request_count = 0
        self.last_response_at = now

    @property
    def in_flight(self) -> int:
        """Number of requests of this process in flight at the server."""
        return len(self.request_start_times)

    def start_request(self, now: float) -> int:
        """Record that a request was sent; returns a token for ``finish_request``."""
        self._last_token += 1
        self.request_start_times[self._last_token] = now
        self.request_count += 1
        return self._last_token

    def finish_request(self, token: int, now: float) -> float:
        """Record that a request has ended; returns its duration in seconds."""
        return now - self.request_start_times.pop(token)

    def record_latency(self, latency_s: float, now: float) -> None:
        """Update the average latency from one complete response."""
        self.last_response_at = now
        if self.average_latency_s == 0.0:
            self.average_latency_s = latency_s
            return
        self.average_latency_s += LATENCY_EWMA_ALPHA * (latency_s - self.average_latency_s)

    def compute_weight(self, now: float) -> float:
        """Return the intended request rate relative to a server with full weight, 0 to 1."""
        weight = COLD_WEIGHT if self.cold else 1.0
        age_s = now - self.slow_start_at
        if age_s >= SLOW_START_S:
            return weight
        return weight * max(SLOW_START_MIN_WEIGHT, age_s / SLOW_START_S)
