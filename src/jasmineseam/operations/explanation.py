"""The story of one request, put together from the log lines of all nodes."""

from __future__ import annotations

import datetime
import typing as t

import msgspec

from .request_log import OUTCOME_ANSWERED
from .request_log import RequestLogLine

# what a node said so long before a request came and after it ended may have to do with it
EVENTS_BEFORE_REQUEST_S = 5.0
EVENTS_AFTER_REQUEST_S = 1.0
# a host that is so many times slower than usual counts as slow
SLOW_HOST_FACTOR = 1.8
# an older report tells little of a host
STALE_REPORT_AGE_MS = 150
MIN_SERVER_ERROR_STATUS = 500
START_MESSAGE_PREFIX = "Started as "
_REASONS = {
    "starting": "the node held no routing table yet",
    "fault": "the node met a fault of its own, which its log holds",
    "cancelled": "the caller closed its connection before there was an answer",
    "no-route": "no route of the table in force has this host and path",
    "overloaded": "no server had a slot free until the target could not be met any more",
    "queue-too-long": "those that waited already would have taken longer than the deadline",
    "queue-full": "as many requests waited as a node takes",
    "no-server": "the service had no listed server left to try",
    "shed": "every server that was tried rejected it",
    "misdirected": "the addresses that were tried belong to other servers now",
    "connect": "the servers that were tried took no connection",
    "deadline": "its deadline came before a slot was free",
    "timeout-in-queue": "its deadline or its route's timeout came before a slot was free",
    "timeout": "no answer came before its deadline or its route's timeout",
    "no-response": "the server's connection broke after the request had been sent",
    "connection-broke": "the server's connection broke while the request was sent",
    "closed-before-sending": "the kept connection was closed before anything was sent",
    "response-cut": "the server's answer broke off",
    "response-unsigned": "the answer was not the service's own",
    "response-too-large": "the answer was larger than a node takes",
    "deadline-malformed": "the caller's deadline is no number",
    "head-timeout": "the caller took too long over the head",
    "head-too-large": "the head was larger than the configuration allows",
    "body-too-large": "the body was larger than the configuration allows",
    "body-timeout": "the caller took too long over the body",
    "body-malformed": "the body broke off or was malformed",
}


class AttemptRecord(msgspec.Struct, kw_only=True):
    """One attempt at a server.

    :param result: the answer's status, or why there was none.
    :param slowness: time that work took on the server's host, as a multiple of the usual.
    :param age_ms: how old that report was, -1 if there was none.
    """

    server_id: str
    result: str
    ms: int
    slowness: float
    age_ms: int


class NodeEvent(msgspec.Struct, kw_only=True):
    """What a node said about itself."""

    source: str
    time: datetime.datetime
    level: str
    part: str
    message: str


class LogLines(msgspec.Struct, kw_only=True):
    """What the log files hold for one request.

    :param requests: the request's own lines, with the file of each.
    :param events: all lines of the nodes about themselves.
    :param unreadable: lines that are neither.
    """

    requests: list[tuple[str, RequestLogLine]] = []
    events: list[NodeEvent] = []
    unreadable: int = 0


class RequestExplanation(msgspec.Struct, kw_only=True):
    """One request at one node.

    :param source: the log file.
    :param waited_ms: time in the node in which no server worked on it.
    :param cause: a sentence on why it ended as it did.
    :param events: what nodes said around that time, oldest first.
    """

    source: str
    line: RequestLogLine
    attempts: list[AttemptRecord]
    waited_ms: int
    cause: str
    events: list[NodeEvent]


def collect_log_lines(
    request_id: str, source: str, lines: t.Iterable[str], into: LogLines
) -> None:
    """Collect what a log file says.

    :param source: the file's name.
    """
    for text in lines:
        if not text.strip():
            continue
        try:
            value = msgspec.json.decode(text)
            if "outcome" in value:
                line = msgspec.convert(value, RequestLogLine)
                if line.id == request_id:
                    into.requests.append((source, line))
                continue
            into.events.append(msgspec.convert({**value, "source": source}, NodeEvent))
        except (msgspec.DecodeError, TypeError):
            into.unreadable += 1


def explain_request(lines: LogLines) -> list[RequestExplanation]:
    """Return a story for each node that has a line of the request, in order of time."""
    stories = []
    for source, line in sorted(lines.requests, key=lambda pair: pair[1].time):
        attempts = [parse_attempt(text) for text in line.tried]
        waited_ms = max(0, line.ms - sum(attempt.ms for attempt in attempts))
        stories.append(
            RequestExplanation(
                source=source,
                line=line,
                attempts=attempts,
                waited_ms=waited_ms,
                cause=_find_cause(line, attempts, waited_ms),
                events=_list_events_around(lines.events, line),
            )
        )
    return stories


def parse_attempt(text: str) -> AttemptRecord:
    """Parse one entry of ``tried``.

    >>> attempt = parse_attempt("i-7:no-response:75ms:x1.5@10ms")
    >>> attempt.server_id, attempt.result, attempt.ms, attempt.slowness, attempt.age_ms
    ('i-7', 'no-response', 75, 1.5, 10)
    """
    server_id, result, ms, known = text.rsplit(":", 3)
    slowness, _, age = known.removeprefix("x").partition("@")
    return AttemptRecord(
        server_id=server_id,
        result=result,
        ms=int(ms.removesuffix("ms")),
        slowness=float(slowness),
        age_ms=int(age.removesuffix("ms")),
    )


def list_node_starts(lines: LogLines) -> list[NodeEvent]:
    """Return the starts of nodes: a request without a line was held by one that was lost."""
    starts = [event for event in lines.events if event.message.startswith(START_MESSAGE_PREFIX)]
    return sorted(starts, key=lambda event: event.time)


def format_explanation(story: RequestExplanation) -> str:
    """Return a story as text of several lines."""
    line = story.line
    rows = [
        f"{line.id} at {story.source}: {line.outcome}, status {line.status}, after {line.ms} ms",
        f"  route {line.route or '-'} of table {line.table}, service {line.service or '-'}",
        f"  target {line.target_ms} ms, deadline {line.deadline_ms} ms",
    ]
    if line.tried_before_ms:
        rows.append(f"  its caller had been trying for {line.tried_before_ms} ms before")
    if story.waited_ms:
        rows.append(f"  waited {story.waited_ms} ms in the node")
    for number, attempt in enumerate(story.attempts, start=1):
        rows.append(f"  attempt {number}: {_format_attempt(attempt)}")
    rows.append(f"  cause: {story.cause}")
    for event in story.events:
        said = f"{event.level} {event.part}: {event.message}"
        rows.append(f"  {event.time.isoformat()} {event.source} {said}")
    return "\n".join(rows)


def _format_attempt(attempt: AttemptRecord) -> str:
    done = f"server {attempt.server_id}: {attempt.result} after {attempt.ms} ms"
    host = f"host {attempt.slowness:g} times the usual, known for {attempt.age_ms} ms"
    return f"{done}, {host}"


def _find_cause(line: RequestLogLine, attempts: list[AttemptRecord], waited_ms: int) -> str:
    if line.outcome != OUTCOME_ANSWERED:
        _, _, reason = line.outcome.rpartition(":")
        text = _REASONS.get(reason, reason)
        servers = ", ".join(attempt.server_id for attempt in attempts)
        return f"{text} ({servers})" if servers else text
    if line.status >= MIN_SERVER_ERROR_STATUS:
        return f"server {attempts[-1].server_id} answered {line.status} itself"
    if line.target_ms is None or line.ms <= line.target_ms:
        return "answered in time"
    return f"late: {_find_delay(line, attempts, waited_ms)}"


def _find_delay(line: RequestLogLine, attempts: list[AttemptRecord], waited_ms: int) -> str:
    if line.target_ms <= 0 and line.tried_before_ms:
        return "its caller's earlier attempts had used up the time"
    if not attempts or waited_ms > max(attempt.ms for attempt in attempts):
        return f"it waited {waited_ms} ms for a free slot"
    longest = max(attempts, key=lambda attempt: attempt.ms)
    failed = [attempt for attempt in attempts[:-1] if attempt.result != "cancelled"]
    if failed and longest in failed:
        return f"the attempt at server {longest.server_id} failed first: {longest.result}"
    where = f"server {longest.server_id} took {longest.ms} ms"
    if longest.age_ms < 0:
        return f"{where}, and nothing was known of its load"
    if longest.age_ms > STALE_REPORT_AGE_MS:
        return f"{where}, and its load had last been known {longest.age_ms} ms before"
    if longest.slowness >= SLOW_HOST_FACTOR:
        return f"{where} on a host known to be slow; no faster one had a free slot"
    return f"{where}: its host turned slow after the request had been sent"


def _list_events_around(events: list[NodeEvent], line: RequestLogLine) -> list[NodeEvent]:
    begin = line.time - datetime.timedelta(seconds=line.ms / 1000 + EVENTS_BEFORE_REQUEST_S)
    end = line.time + datetime.timedelta(seconds=EVENTS_AFTER_REQUEST_S)
    around = [event for event in events if begin <= event.time <= end]
    return sorted(around, key=lambda event: event.time)
