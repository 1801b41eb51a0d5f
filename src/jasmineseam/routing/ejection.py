"""Outlier ejection: a failing server gets no requests until its ejection ends.

After its ejection, a server is half-open: it gets one trial request at a time until a trial
request succeeds. The duration of the ejection doubles with each consecutive ejection. While more
than ``MAX_EJECTED_FRACTION`` of a service's servers are ejected, ejections are ignored and all
servers get requests.
"""

from __future__ import annotations

from .backends import Backend

CONSECUTIVE_FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
MAX_EJECTED_FRACTION = 0.5


def record_failure(backend: Backend, now: float) -> None:
    """Record a failed attempt, and eject the server if necessary.

    A server is ejected after ``CONSECUTIVE_FAILURES_TO_EJECT`` failures or a failed trial request.
    """
    backend.consecutive_failures += 1
    if backend.consecutive_failures < CONSECUTIVE_FAILURES_TO_EJECT and not backend.half_open:
        return
    if now < backend.ejected_until:
        return
    ejection_s = min(BASE_EJECTION_S * 2**backend.consecutive_ejections, MAX_EJECTION_S)
    backend.ejected_until = now + ejection_s
    backend.consecutive_ejections += 1
    backend.half_open = True
    backend.consecutive_failures = 0


def record_success(backend: Backend, now: float) -> None:
    """Record a successful response; a successful trial request starts the server's slow start."""
    backend.consecutive_failures = 0
    if not backend.half_open:
        return
    backend.half_open = False
    backend.consecutive_ejections = 0
    backend.slow_start_at = now


def list_candidates(backends: list[Backend], now: float) -> list[Backend]:
    """Return the servers that may receive a request now.

    A half-open server gets one request at a time. If more than ``MAX_EJECTED_FRACTION`` of the
    servers are ejected, all servers are candidates, because a fault that affects most servers at
    once is more likely a fault of this process or of the network. All servers are also candidates
    if there would be none otherwise.
    """
    candidates = []
    ejected = 0
    for backend in backends:
        if now < backend.ejected_until:
            ejected += 1
            continue
        if backend.half_open and backend.request_start_times:
            continue
        candidates.append(backend)
    if ejected > MAX_EJECTED_FRACTION * len(backends):
        return list(backends)
    return candidates or list(backends)
