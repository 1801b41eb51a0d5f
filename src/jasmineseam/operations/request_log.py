"""Structured log with one line per request: its inputs, the attempts and the outcome.

The number of lines per second is limited. Lines of requests answered in time may use only a
fraction of this limit, so that failures are still logged under load. Dropped lines are counted,
and the next line reports the count.
"""

from __future__ import annotations

import datetime
import typing as t

import msgspec

OUTCOME_ANSWERED = "answered"
RATE_WINDOW_S = 1.0
# fraction of the rate limit that lines of requests answered in time may use
MAX_IN_TIME_RATE_FRACTION = 0.5


def _get_utc_now() -> datetime.datetime:
    return datetime.datetime.now(datetime.UTC).replace(tzinfo=None)


class RequestLogLine(msgspec.Struct, kw_only=True, omit_defaults=True):
    """Log line of one request.

    :param id: id of the request, empty if it had none.
    :param time: end of the request, UTC.
    :param outcome: ``answered``, ``cancelled``, ``fault``, or ``not-run`` or ``unknown`` with the
        reason, as in ``not-run:no-route``.
    :param ms: duration of the request, in milliseconds.
    :param table: version of the routing table, -1 if none was loaded.
    :param target_ms: target latency, in milliseconds from arrival; below 0 if the target had
        passed before the request arrived.
    :param deadline_ms: deadline, in milliseconds from arrival.
    :param tried_before_ms: estimated time that the caller had spent on earlier attempts, in
        milliseconds.
    :param fingerprint: of a request whose outcome is unknown or that is quarantined; equal in its
        repetitions.
    :param tried: attempts in order, each as ``server:result:duration:xSLOWNESS@AGE`` with the age
        of the load report; see :func:`.explanation.parse_attempt`.
    :param relay: id of the relay, if another node has received the request from its caller.
    :param quota: client account whose quota the request was refused for.
    :param dropped: number of lines that the rate limit dropped since the previous line.
    """

    id: str
    time: datetime.datetime = msgspec.field(default_factory=_get_utc_now)
    outcome: str
    status: int
    ms: int
    route: str = ""
    table: int = -1
    service: str = ""
    target_ms: int | None = None
    deadline_ms: int | None = None
    tried_before_ms: int = 0
    fingerprint: str = ""
    tried: list[str] = []
    relay: str = ""
    quota: str = ""
    dropped: int = 0


class RequestLog:
    """Writes the request log of one process.

    :param write: called with each encoded line.
    :param lines_per_s: maximum number of lines per second.
    """

    def __init__(self, *, write: t.Callable[[bytes], None], lines_per_s: int) -> None:
        self._write = write
        self._lines_per_s = lines_per_s
        self._window_started_at = float("-inf")
        self._lines_in_window = 0
        self._dropped_since_last_line = 0
        self.dropped_lines = 0

    def admit(self, *, in_time: bool, now: float) -> bool:
        """Return whether the rate limit admits a line now; if not, count it as dropped.

        :param in_time: whether the request was answered in time.
        :param now: current time in seconds, monotonic.
        """
        if now - self._window_started_at >= RATE_WINDOW_S:
            self._window_started_at = now
            self._lines_in_window = 0
        limit = self._lines_per_s * (MAX_IN_TIME_RATE_FRACTION if in_time else 1.0)
        if self._lines_in_window >= limit:
            self._dropped_since_last_line += 1
            self.dropped_lines += 1
            return False
        self._lines_in_window += 1
        return True

    def write(self, line: RequestLogLine) -> None:
        """Write a line that :meth:`admit` has admitted."""
        line.dropped = self._dropped_since_last_line
        self._dropped_since_last_line = 0
        self._write(msgspec.json.encode(line))
