"""Choices of a server to compare with; none of them is part of the product."""

from __future__ import annotations

import os
import random
import socket
import typing as t

from jasmineseam.routing.backends import Backend
from jasmineseam.routing.server_selection import ServerSelector

ORACLE_TIMEOUT_S = 0.05


def make_random() -> ServerSelector:
    """Any server, by chance."""
    chooser = random.Random()

    def choose(candidates: list[Backend], now: float, usual_s: float) -> Backend | None:
        return chooser.choice(candidates) if candidates else None

    return choose


def make_round_robin() -> ServerSelector:
    """All servers in turn, from a random start."""
    turn = random.randrange(1000)

    def choose(candidates: list[Backend], now: float, usual_s: float) -> Backend | None:
        nonlocal turn
        turn += 1
        return candidates[turn % len(candidates)] if candidates else None

    return choose


def make_two_choices() -> ServerSelector:
    """Return the choice of the less used of two random servers, by own requests in flight."""
    chooser = random.Random()

    def choose(candidates: list[Backend], now: float, usual_s: float) -> Backend | None:
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        one, other = chooser.sample(candidates, 2)
        return one if len(one.request_start_times) <= len(other.request_start_times) else other

    return choose


def make_fewest() -> ServerSelector:
    """Return the choice of the server with the fewest own requests in flight."""
    chooser = random.Random()

    def choose(candidates: list[Backend], now: float, usual_s: float) -> Backend | None:
        if not candidates:
            return None
        return min(candidates, key=lambda one: (len(one.request_start_times), chooser.random()))

    return choose


def make_oracle() -> ServerSelector:
    """Return the choice of the servers' own process, which sees every true queue."""
    host, _, port = os.environ["BENCH_ORACLE"].partition(":")
    asker = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    asker.connect((host, int(port)))
    asker.settimeout(ORACLE_TIMEOUT_S)

    def choose(candidates: list[Backend], now: float, usual_s: float) -> Backend | None:
        asker.send(b"")
        name = asker.recv(100).decode()
        for backend in candidates:
            if backend.server.server_id == name:
                return backend
        return candidates[0] if candidates else None

    return choose


BASELINES: dict[str, t.Callable[[], ServerSelector]] = {
    "random": make_random,
    "round-robin": make_round_robin,
    "two-choices": make_two_choices,
    "fewest": make_fewest,
    "oracle": make_oracle,
}
