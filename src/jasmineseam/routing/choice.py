"""The choice of a server: the least loaded of all, by own requests first.

Reports of others' load count less the older they are. A server whose oldest request has run for
much longer than usual is passed over: that sign of a sudden slowdown costs nothing and is never
stale.
"""

from __future__ import annotations

import random
import typing as t

from .backends import Backend

REPORT_TRUST_S = 0.1
OVERDUE_FACTOR = 2.5
OVERDUE_PENALTY = 2.0

Choice = t.Callable[[list[Backend], float, float], Backend | None]


def make_choice(
    *,
    chooser: random.Random,
    report_trust_s: float = REPORT_TRUST_S,
    overdue_factor: float = OVERDUE_FACTOR,
    overdue_penalty: float = OVERDUE_PENALTY,
) -> Choice:
    """Make the function that chooses a server.

    :param chooser: breaks ties.
    :param report_trust_s: age in seconds at which a report counts for nothing.
    :param overdue_factor: multiple of the usual latency from which a request is overdue.
    :param overdue_penalty: requests that an overdue one counts for.
    :returns: a function of the candidates, the time now and the service's usual latency, both in
        seconds, that returns the chosen one, or ``None`` if there is none.

    >>> from jasmineseam.membership.servers import Server
    >>> def make(name):
    ...     server = Server(server_id=name, service="s", address="", failure_domain="")
    ...     return Backend(server=server, now=0.0, warm=True)
    >>> busy, idle = make("busy"), make("idle")
    >>> _ = busy.begin(0.0)
    >>> choose = make_choice(chooser=random.Random(1))
    >>> choose([busy, idle], 0.01, 0.02).server.server_id
    'idle'
    """

    def score(backend: Backend, now: float, overdue_s: float) -> float:
        load = len(backend.running) + 1.0
        age_s = now - backend.reported_at
        if age_s < report_trust_s:
            load += backend.others * (1.0 - age_s / report_trust_s)
        if backend.running:
            oldest_s = now - next(iter(backend.running.values()))
            if oldest_s > overdue_s:
                load += overdue_penalty
        return load / backend.get_weight(now)

    def choose(candidates: list[Backend], now: float, usual_s: float) -> Backend | None:
        overdue_s = overdue_factor * usual_s if usual_s > 0 else float("inf")
        best = None
        best_score = float("inf")
        for backend in candidates:
            own = score(backend, now, overdue_s) + chooser.random() * 0.01
            if own >= best_score:
                continue
            best = backend
            best_score = own
        return best

    return choose
