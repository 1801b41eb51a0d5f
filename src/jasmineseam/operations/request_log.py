"""One structured log line for each request: its inputs, what was tried, and the outcome.

The lines are bounded by a rate; failures may use what successes leave. What is left out is
counted and said with the next line.
"""

from __future__ import annotations

import datetime
import typing as t

import msgspec

OUTCOME_ANSWERED = "answered"
RATE_WINDOW_S = 1.0
# part of the rate that requests answered as usual may use
MAX_IN_TIME_FRACTION = 0.5


def _read_clock() -> datetime.datetime:
    return datetime.datetime.now(datetime.UTC).replace(tzinfo=None)


class RequestLogLine(msgspec.Struct, kw_only=True, omit_defaults=True):
    """One request's line.

    :param time: of the end, UTC.
    :param ms: how long the request took, in milliseconds.
    :param target_ms: time in which it should have been answered, less than 0 if it came too late.
    :param deadline_ms: time in which it had to be answered.
    :param tried_before_ms: for how long its caller had been trying already, as far as known.
    :param tried: servers in their order, each with result, duration, slowness and its age.
    :param dropped: lines left out since the last one.
    """

    id: str
    time: datetime.datetime = msgspec.field(default_factory=_read_clock)
    outcome: str
    status: int
    ms: int
    route: str = ""
    table: int = -1
    service: str = ""
    target_ms: int | None = None
    deadline_ms: int | None = None
    tried_before_ms: int = 0
    tried: list[str] = []
    dropped: int = 0


class RequestLog:
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
        self.dropped_lines = 0

    def admit(self, *, in_time: bool, now: float) -> bool:
        """Tell whether a line may be written now; if not, it counts as dropped.

        :param usual: whether it is about a request that was answered in time.
        """
        if now - self._window_at >= RATE_WINDOW_S:
            self._window_at = now
            self._used = 0
        limit = self._lines_per_s * (MAX_IN_TIME_FRACTION if in_time else 1.0)
        if self._used >= limit:
            self._dropped += 1
            self.dropped_lines += 1
            return False
        self._used += 1
        return True

    def write(self, line: RequestLogLine) -> None:
        """Write a line that was admitted."""
        line.dropped = self._dropped
        self._dropped = 0
        self._write(msgspec.json.encode(line))
