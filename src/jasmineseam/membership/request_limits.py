"""Limits on requests that servers name in their responses, as known to one node.

A server in need names the number of requests per second that it accepts from all nodes together.
The limit holds until a response of the server names another one or none.
"""

from __future__ import annotations

import typing as t

import logbook

_logger = logbook.Logger("limits")


class RequestLimits:
    """The limits that servers name.

    >>> limits = RequestLimits()
    >>> limits.observe("s1", 1, 4.5), limits.observe("s1", 1, 4.5), limits.observe("s1", 1, None)
    (True, False, True)
    """

    __slots__ = ("_limits",)

    def __init__(self) -> None:
        # requests per second by the server's id and the Unix time of its start in milliseconds
        self._limits: dict[tuple[str, int], float] = {}

    def observe(self, server_id: str, started_ms: int, requests_per_s: float | None) -> bool:
        """Record what a response says of its server's limit; return whether it has changed.

        :param started_ms: Unix time of the server's start, in milliseconds.
        :param requests_per_s: the limit, ``None`` if the response names none.
        """
        key = (server_id, started_ms)
        if self._limits.get(key) == requests_per_s:
            return False
        if requests_per_s is None:
            del self._limits[key]
            _logger.info("Server {} names no limit on requests any more.", server_id)
            return True
        self._limits[key] = requests_per_s
        _logger.info("Server {} limits itself to {:g} requests/s.", server_id, requests_per_s)
        return True

    def list_limits(self) -> t.Iterator[tuple[str, float]]:
        """Yield the servers that name a limit, with their limits in requests per second."""
        for (server_id, _), requests_per_s in self._limits.items():
            yield server_id, requests_per_s
