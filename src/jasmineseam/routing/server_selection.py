"""Selection of the least loaded server, based on this process's own requests.

Two indicators of a sudden slowdown need no extra traffic and are always current. A server whose
oldest request has run much longer than usual is avoided. Among otherwise equal servers, the one
that responded most recently is preferred, because a server without recent responses may have
stalled. Other processes' reports of the servers' load are not used: they are older than a service
time when they arrive, and benchmarks gave worse results with them.
"""

from __future__ import annotations

import random
import typing as t

from .backends import Backend

# SILENCE means the time since a server's last response. A *_LATENCY_FACTOR is a multiple of the
# median latency; a *_PENALTY_REQUESTS is a number of requests that is added to a server's load.
OVERDUE_LATENCY_FACTOR = 2.5
OVERDUE_PENALTY_REQUESTS = 2.0
SILENCE_PENALTY_REQUESTS = 0.9
SILENCE_LATENCY_FACTOR = 10.0
SILENCE_EXPIRY_LATENCY_FACTOR = 40.0

ServerSelector = t.Callable[[list[Backend], float, float], Backend | None]


def make_server_selector(
    *,
    rng: random.Random,
    overdue_factor: float = OVERDUE_LATENCY_FACTOR,
    overdue_penalty: float = OVERDUE_PENALTY_REQUESTS,
    silence_penalty: float = SILENCE_PENALTY_REQUESTS,
    silence_factor: float = SILENCE_LATENCY_FACTOR,
) -> ServerSelector:
    """Create a function that selects a server.

    :param rng: breaks ties between servers.
    :param overdue_factor: a request is overdue after this multiple of the median latency.
    :param overdue_penalty: number of requests that an overdue request adds to the load.
    :param silence_penalty: number of requests, below 1, that a long silence adds to the load.
    :param silence_factor: a silence is long after this multiple of the median latency.
    :returns: a function of the candidates, the current time and the service's median latency (both
        in seconds) that returns the selected server, or ``None`` if there are no candidates.

    >>> from jasmineseam.membership.servers import Server
    >>> def make_backend(name):
    ...     server = Server(server_id=name, service="s", address="", failure_domain="")
    ...     return Backend(server=server, now=0.0, skip_slow_start=True)
    >>> busy, idle = make_backend("busy"), make_backend("idle")
    >>> _ = busy.start_request(0.0)
    >>> select = make_server_selector(rng=random.Random(1))
    >>> select([busy, idle], 0.01, 0.02).server.server_id
    'idle'
    """

    def compute_score(
        backend: Backend, now: float, overdue_s: float, long_silence_s: float
    ) -> float:
        load = len(backend.request_start_times) + 1.0
        if backend.request_start_times:
            oldest_s = now - next(iter(backend.request_start_times.values()))
            if oldest_s > overdue_s:
                load += overdue_penalty
        silence_s = now - backend.last_response_at
        # The penalty ends after a very long silence. Otherwise, under light load, the server that
        # responded last would get all requests.
        if silence_s < long_silence_s * SILENCE_EXPIRY_LATENCY_FACTOR / silence_factor:
            load += silence_penalty * min(1.0, silence_s / long_silence_s)
        return load / backend.compute_weight(now)

    def select(candidates: list[Backend], now: float, median_latency_s: float) -> Backend | None:
        overdue_s = overdue_factor * median_latency_s if median_latency_s > 0 else float("inf")
        long_silence_s = (
            silence_factor * median_latency_s if median_latency_s > 0 else float("inf")
        )
        best = None
        best_score = float("inf")
        for backend in candidates:
            score = compute_score(backend, now, overdue_s, long_silence_s) + rng.random() * 0.01
            if score >= best_score:
                continue
            best = backend
            best_score = score
        return best

    return select
