"""What one entry process knows of one backend server from its own requests to it."""

from __future__ import annotations

from ..membership.servers import Server

SLOW_START_S = 4.0
SLOW_START_MIN_WEIGHT = 0.1
COLD_WEIGHT = 0.3
LATENCY_EWMA_ALPHA = 0.1


class Backend:
    """A server as the routing functions see it.

    :param server: the listed server.
    :param now: the time at which it became known, in seconds.
    :param warm: whether it was there when this process began, so that it needs no ramp.
    """

    __slots__ = (
        "_next",
        "cold",
        "consecutive_ejections",
        "consecutive_failures",
        "ejected_until",
        "half_open",
        "last_response_at",
        "latency_s",
        "request_count",
        "running",
        "server",
        "slow_start_at",
    )

    def __init__(self, *, server: Server, now: float, warm: bool = False) -> None:
        self.server = server
        self.slow_start_at = now - SLOW_START_S if warm else now
        # start times of this process's own requests, oldest first
        self.running: dict[int, float] = {}
        self._next = 0
        self.latency_s = 0.0
        self.cold = False
        self.consecutive_failures = 0
        self.consecutive_ejections = 0
        self.ejected_until = 0.0
        self.half_open = False
        self.request_count = 0
        self.last_response_at = now

    @property
    def in_flight(self) -> int:
        """Requests of this process that the server holds."""
        return len(self.running)

    def start_request(self, now: float) -> int:
        """Note a request sent; returns the token to end it with."""
        self._next += 1
        self.running[self._next] = now
        self.request_count += 1
        return self._next

    def finish_request(self, token: int, now: float) -> float:
        """Note that a request has ended; returns how long it took, in seconds."""
        return now - self.running.pop(token)

    def record_latency(self, latency_s: float, now: float) -> None:
        """Learn from one whole answer's latency."""
        self.last_response_at = now
        if self.latency_s == 0.0:
            self.latency_s = latency_s
            return
        self.latency_s += LATENCY_EWMA_ALPHA * (latency_s - self.latency_s)

    def compute_weight(self, now: float) -> float:
        """Return the share of a full server's requests that this one should get, 0 to 1."""
        weight = COLD_WEIGHT if self.cold else 1.0
        age_s = now - self.slow_start_at
        if age_s >= SLOW_START_S:
            return weight
        return weight * max(SLOW_START_MIN_WEIGHT, age_s / SLOW_START_S)
