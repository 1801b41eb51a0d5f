"""Ejection: a server that fails keeps out for a while, then proves itself with single requests.

At most a share of a service's servers is out at once; servers past that share are still used.
"""

from __future__ import annotations

from .backends import Backend

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
EJECTED_SHARE = 0.5


def note_failure(backend: Backend, now: float) -> None:
    """Count a failed attempt; too many in a row, or a failed trial, eject the server."""
    backend.failures += 1
    if backend.failures < FAILURES_TO_EJECT and not backend.trial:
        return
    if now < backend.ejected_until:
        return
    ejection_s = min(FIRST_EJECTION_S * 2**backend.ejections, LONGEST_EJECTION_S)
    backend.ejected_until = now + ejection_s
    backend.ejections += 1
    backend.trial = True
    backend.failures = 0


def note_success(backend: Backend, now: float) -> None:
    """Count a whole answer; it ends a trial, and the server's return is ramped."""
    backend.failures = 0
    if not backend.trial:
        return
    backend.trial = False
    backend.ejections = 0
    backend.known_at = now


def list_candidates(backends: list[Backend], now: float) -> list[Backend]:
    """Return the servers that may get a request now.

    A server on trial gets one request at a time. If too many are ejected, all are candidates: a
    fault that hits most servers at once is more likely the caller's or the network's.
    """
    candidates = []
    ejected = 0
    for backend in backends:
        if now < backend.ejected_until:
            ejected += 1
            continue
        if backend.trial and backend.running:
            continue
        candidates.append(backend)
    if ejected > EJECTED_SHARE * len(backends):
        return list(backends)
    return candidates or list(backends)
