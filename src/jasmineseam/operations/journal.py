"""One structured log line for each request: its inputs, what was tried, and the outcome.

The lines are bounded by a rate; failures may use what successes leave. What is left out is
counted and said with the next line.
"""

from __future__ import annotations

import typing as t

import msgspec

WINDOW_S = 1.0
# part of the rate that requests answered as usual may use
USUAL_SHARE = 0.5


class RequestLine(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One request's line.

    :param ms: how long the request took, in milliseconds.
    :param tried: servers in their order, each with result, duration, slowness and its age.
    :param dropped: lines left out since the last one.
    """

    id: str
    outcome: str
    status: int
    ms: int
    route: str = ""
    table: int = -1
    service: str = ""
    tried: list[str] = []
    dropped: int = 0


class RequestJournal:
    """Writes the lines of one process.

    :param write: takes an encoded line.
    :param lines_per_s: the most lines, averaged over a second.
    """

    def __init__(self, *, write: t.Callable[[bytes], None], lines_per_s: int) -> None:
        self._write = write
        self._lines_per_s = lines_per_s
        self._window_at = float("-inf")
        self._used = 0
        self._dropped = 0
        self.dropped_total = 0

    def note_request(self, request: t.Any, outcome: str, status: int, now: float) -> None:
        """Write the line of a request that has ended.

        :param request: as the gateway holds it.
        """
        usual = outcome == "answered" and now <= getattr(request, "target_at", now)
        if not self._take(usual, now):
            self._dropped += 1
            self.dropped_total += 1
            return
        route = request.route
        line = RequestLine(
            id=request.head.request_id,
            outcome=outcome,
            status=status,
            ms=round((now - request.arrived_at) * 1000),
            route="" if route is None else route.name,
            table=request.version,
            service="" if request.dispatcher is None else request.dispatcher.service,
            tried=request.trace,
            dropped=self._dropped,
        )
        self._dropped = 0
        self._write(msgspec.json.encode(line))

    def _take(self, usual: bool, now: float) -> bool:
        if now - self._window_at >= WINDOW_S:
            self._window_at = now
            self._used = 0
        limit = self._lines_per_s * (USUAL_SHARE if usual else 1.0)
        if self._used >= limit:
            return False
        self._used += 1
        return True
