"""The choice of a server: the least loaded of all, by this process's own requests.

Two signs of a sudden slowdown cost nothing and are never stale: a server whose oldest request
has run for much longer than usual is passed over, and among servers alike the one that answered
last is preferred, since one that has fallen silent may have stopped. Reports of others' load are
not used here: they are older than a service time on arrival, and measurements were worse with
them.
"""

from __future__ import annotations

import random
import typing as t

from .backends import Backend

OVERDUE_FACTOR = 2.5
OVERDUE_PENALTY = 2.0
SILENCE_PENALTY = 0.9
SILENCE_FACTOR = 10.0
SILENCE_EXPIRY_FACTOR = 40.0

ServerSelector = t.Callable[[list[Backend], float, float], Backend | None]


def make_server_selector(
    *,
    rng: random.Random,
    overdue_factor: float = OVERDUE_FACTOR,
    overdue_penalty: float = OVERDUE_PENALTY,
    silence_penalty: float = SILENCE_PENALTY,
    silence_factor: float = SILENCE_FACTOR,
) -> ServerSelector:
    """Make the function that chooses a server.

    :param chooser: breaks ties.
    :param overdue_factor: multiple of the usual latency from which a request is overdue.
    :param overdue_penalty: requests that an overdue one counts for.
    :param silence_penalty: requests that a long silence counts for; less than one.
    :param silence_factor: multiple of the usual latency from which a silence is long.
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

    def score(backend: Backend, now: float, overdue_s: float, silence_s: float) -> float:
        load = len(backend.running) + 1.0
        if backend.running:
            oldest_s = now - next(iter(backend.running.values()))
            if oldest_s > overdue_s:
                load += overdue_penalty
        silent_s = now - backend.last_response_at
        # a server that nobody has asked for long is tried again, or light load would stay at one
        if silent_s < silence_s * SILENCE_EXPIRY_FACTOR / silence_factor:
            load += silence_penalty * min(1.0, silent_s / silence_s)
        return load / backend.compute_weight(now)

    def choose(candidates: list[Backend], now: float, usual_s: float) -> Backend | None:
        overdue_s = overdue_factor * usual_s if usual_s > 0 else float("inf")
        silence_s = silence_factor * usual_s if usual_s > 0 else float("inf")
        best = None
        best_score = float("inf")
        for backend in candidates:
            own = score(backend, now, overdue_s, silence_s) + rng.random() * 0.01
            if own >= best_score:
                continue
            best = backend
            best_score = own
        return best

    return choose
