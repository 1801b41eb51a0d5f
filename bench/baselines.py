"""Baselines for an entry's selection of a server; none of them is part of the product."""

from __future__ import annotations

import os
import random
import socket
import typing as t

from jasmineseam.routing.backends import Backend
from jasmineseam.routing.server_selection import ServerSelector

ORACLE_TIMEOUT_S = 0.05


def make_random_selector() -> ServerSelector:
    """Create a function that selects a random server."""
    rng = random.Random()

    def select(candidates: list[Backend], now: float, median_latency_s: float) -> Backend | None:
        return rng.choice(candidates) if candidates else None

    return select


def make_round_robin_selector() -> ServerSelector:
    """Create a function that selects all servers in turn, from a random start."""
    index = random.randrange(1000)

    def select(candidates: list[Backend], now: float, median_latency_s: float) -> Backend | None:
        nonlocal index
        index += 1
        return candidates[index % len(candidates)] if candidates else None

    return select


def make_two_choices_selector() -> ServerSelector:
    """Create a function that selects the better of two random servers.

    The better server is the one with fewer in-flight requests from this process.
    """
    rng = random.Random()

    def select(candidates: list[Backend], now: float, median_latency_s: float) -> Backend | None:
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        first, second = rng.sample(candidates, 2)
        return (
            first if len(first.request_start_times) <= len(second.request_start_times) else second
        )

    return select


def make_fewest_in_flight_selector() -> ServerSelector:
    """Create a function that selects the server with the fewest requests in flight.

    Only requests that this process sent are counted.
    """
    rng = random.Random()

    def select(candidates: list[Backend], now: float, median_latency_s: float) -> Backend | None:
        if not candidates:
            return None
        return min(
            candidates, key=lambda backend: (len(backend.request_start_times), rng.random())
        )

    return select


def make_oracle_selector() -> ServerSelector:
    """Create a function that requests each selection from the oracle.

    The oracle is part of the process that runs the servers and holds the exact queue length of
    each. The environment variable ``BENCH_ORACLE`` contains its address.
    """
    host, _, port = os.environ["BENCH_ORACLE"].partition(":")
    oracle_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    oracle_socket.connect((host, int(port)))
    oracle_socket.settimeout(ORACLE_TIMEOUT_S)

    def select(candidates: list[Backend], now: float, median_latency_s: float) -> Backend | None:
        oracle_socket.send(b"")
        name = oracle_socket.recv(100).decode()
        for backend in candidates:
            if backend.server.server_id == name:
                return backend
        return candidates[0] if candidates else None

    return select


SELECTOR_BASELINES: dict[str, t.Callable[[], ServerSelector]] = {
    "random": make_random_selector,
    "round-robin": make_round_robin_selector,
    "two-choices": make_two_choices_selector,
    "fewest": make_fewest_in_flight_selector,
    "oracle": make_oracle_selector,
}
