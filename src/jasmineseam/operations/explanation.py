"""Explanation of a request's outcome, assembled from the log lines of all nodes."""

from __future__ import annotations

import datetime
import typing as t

import msgspec

from .request_log import OUTCOME_ANSWERED
from .request_log import RequestLogLine

# an explanation lists the nodes' log messages from EVENTS_BEFORE_REQUEST_S before the request's
# start to EVENTS_AFTER_REQUEST_S after its end, since they may be related to its outcome
EVENTS_BEFORE_REQUEST_S = 5.0
EVENTS_AFTER_REQUEST_S = 1.0
# a host whose service time is at least this multiple of normal counts as slow
SLOW_HOST_FACTOR = 1.8
# an older load report does not reflect the host's current load
STALE_LOAD_REPORT_AGE_MS = 150
MIN_SERVER_ERROR_STATUS = 500
START_MESSAGE_PREFIX = "Started as "
_REASON_TEXTS = {
    "starting": "the node had not loaded a routing table yet",
    "fault": "an internal error occurred in the node; its log has the details",
    "cancelled": "the caller closed its connection before the response was ready",
    "no-key": "the route needs the key of a client account, and the request had none",
    "unknown-key": "no client account of the current routing table holds the request's key",
    "configuration-outdated": "the key was unknown and the routing table may have been outdated",
    "configuration-unconfirmed": "the routing table was not confirmed for too long (fail-closed)",
    "no-route": "no route of the current routing table matches the host and path",
    "overloaded": "no server had a free slot in time to meet the target latency",
    "queue-too-long": "the expected wait in the queue was too long to meet the deadline",
    "queue-full": "the node's request queue was full",
    "no-server": "the service had no untried server in the server list",
    "server-limit": "the servers name limits on requests, which were reached",
    "quarantined": "servers crashed while they ran the same request, so it is not sent to others",
    "quota-exceeded": "the client account had used its quota at all nodes together",
    "quota-unreachable": "no node that grants the client account's quota answered",
    "no-path": "no node that was asked reaches the servers of the service",
    "leaving": "the nodes that were asked to relay the request are stopping",
    "relay-lost": "the node that relayed the request gave no response",
    "shed": "every server that was tried rejected the request",
    "misdirected": "the addresses that were tried now belong to other servers",
    "connect": "no connection could be opened to the servers that were tried",
    "deadline": "the deadline passed before a slot was free",
    "timeout-in-queue": "the deadline or the route's timeout passed before a slot was free",
    "timeout": "no response arrived before the deadline or the route's timeout",
    "no-response": "the server's connection broke after the request had been sent",
    "connection-broke": "the server's connection broke while the request was being sent",
    "closed-before-sending": "the reused connection was closed before anything was sent",
    "response-cut": "the server's response was truncated",
    "response-unsigned": "the response had no signature of the service",
    "response-invalid": "the server sent bytes that are no valid response",
    "heads-merged": "the head of the response consisted of two heads",
    "stopping": "the node stopped: by the end of its grace period there was no response",
    "response-too-large": "the response exceeded the node's size limit",
    "deadline-malformed": "the caller's deadline is not a number",
    "head-timeout": "the caller did not send the request head in time",
    "head-too-large": "the request head exceeded the configured limit",
    "body-too-large": "the request body exceeded the configured limit",
    "body-timeout": "the caller did not send the request body in time",
    "body-malformed": "the request body was truncated or malformed",
}


class AttemptRecord(msgspec.Struct, kw_only=True):
    """One attempt at a server.

    :param result: HTTP status of the response, or the reason why there was none.
    :param ms: duration of the attempt, in milliseconds.
    :param slowness: reported service time on the server's host, as a multiple of normal.
    :param age_ms: age of that load report in milliseconds, -1 if there was none.
    """

    server_id: str
    result: str
    ms: int
    slowness: float
    age_ms: int


class NodeEvent(msgspec.Struct, kw_only=True):
    """Log message of a node that does not belong to a single request.

    :param source: name of the log file.
    """

    source: str
    time: datetime.datetime
    level: str
    part: str
    message: str


class LogLines(msgspec.Struct, kw_only=True):
    """Lines collected from the log files for one request.

    :param requests: request log lines of the request, each with the name of its file.
    :param events: all other log messages of the nodes.
    :param unreadable: number of lines that could not be parsed as a log line.
    """

    requests: list[tuple[str, RequestLogLine]] = []
    events: list[NodeEvent] = []
    unreadable: int = 0


class RequestExplanation(msgspec.Struct, kw_only=True):
    """Explanation of one request at one node.

    :param source: name of the log file.
    :param waited_ms: time in the node during which no attempt was running, in milliseconds.
    :param cause: the cause of the outcome, as text.
    :param events: log messages of nodes around the time of the request, oldest first.
    """

    source: str
    line: RequestLogLine
    attempts: list[AttemptRecord]
    waited_ms: int
    cause: str
    events: list[NodeEvent]


def collect_log_lines(
    request_id: str, source: str, lines: t.Iterable[str], collected: LogLines
) -> None:
    """Add the lines of a log file to *collected*, except the log lines of other requests.

    :param source: name of the log file.
    :param lines: content of the log file.
    :param collected: object to which the lines are added.
    """
    for text in lines:
        if not text.strip():
            continue
        try:
            value = msgspec.json.decode(text)
            if "outcome" in value:
                line = msgspec.convert(value, RequestLogLine)
                if line.id == request_id:
                    collected.requests.append((source, line))
                continue
            collected.events.append(msgspec.convert({**value, "source": source}, NodeEvent))
        except (msgspec.DecodeError, TypeError):
            collected.unreadable += 1


def explain_request(lines: LogLines) -> list[RequestExplanation]:
    """Return one explanation per log line of the request, ordered by the time of the line.

    Lines of nodes that have relayed the request come last.
    """
    explanations = []
    for source, line in sorted(
        lines.requests, key=lambda pair: (bool(pair[1].relay), pair[1].time)
    ):
        attempts = [parse_attempt(text) for text in line.tried]
        waited_ms = max(0, line.ms - sum(attempt.ms for attempt in attempts))
        explanations.append(
            RequestExplanation(
                source=source,
                line=line,
                attempts=attempts,
                waited_ms=waited_ms,
                cause=_describe_cause(line, attempts, waited_ms),
                events=_list_events_near_request(lines.events, line),
            )
        )
    return explanations


def parse_attempt(text: str) -> AttemptRecord:
    """Parse one item of ``tried`` in a request log line.

    >>> attempt = parse_attempt("i-7:no-response:75ms:x1.5@10ms")
    >>> attempt.server_id, attempt.result, attempt.ms, attempt.slowness, attempt.age_ms
    ('i-7', 'no-response', 75, 1.5, 10)
    """
    server_id, result, ms, load = text.rsplit(":", 3)
    slowness, _, age = load.removeprefix("x").partition("@")
    return AttemptRecord(
        server_id=server_id,
        result=result,
        ms=int(ms.removesuffix("ms")),
        slowness=float(slowness),
        age_ms=int(age.removesuffix("ms")),
    )


def list_node_starts(lines: LogLines) -> list[NodeEvent]:
    """Return the start messages of nodes, oldest first.

    If a request has no log line, its node may have crashed; a later start of the node indicates a
    crash.
    """
    starts = [event for event in lines.events if event.message.startswith(START_MESSAGE_PREFIX)]
    return sorted(starts, key=lambda event: event.time)


def format_explanation(explanation: RequestExplanation) -> str:
    """Format an explanation as text of several lines."""
    line = explanation.line
    rows = [
        (
            f"{line.id} at {explanation.source}: {line.outcome}, "
            f"status {line.status}, after {line.ms} ms"
        ),
        f"  route {line.route or '-'} of table {line.table}, service {line.service or '-'}",
        f"  target {line.target_ms} ms, deadline {line.deadline_ms} ms",
    ]
    if line.relay:
        rows.append(f"  run for another node, relay {line.relay}")
    if line.account:
        rows.append(f"  client account {line.account}")
    if line.fingerprint:
        rows.append(f"  fingerprint {line.fingerprint}")
    if line.account:
        rows.append(f"  client account {line.account}")
    if line.tried_before_ms:
        rows.append(f"  earlier attempts of the caller took {line.tried_before_ms} ms")
    if explanation.waited_ms:
        rows.append(f"  waited {explanation.waited_ms} ms in the node")
    for number, attempt in enumerate(explanation.attempts, start=1):
        rows.append(f"  attempt {number}: {_format_attempt(attempt)}")
    rows.append(f"  cause: {explanation.cause}")
    for event in explanation.events:
        text = f"{event.level} {event.part}: {event.message}"
        rows.append(f"  {event.time.isoformat()} {event.source} {text}")
    return "\n".join(rows)


def _format_attempt(attempt: AttemptRecord) -> str:
    node, _, server_id = attempt.server_id.rpartition("/")
    name = f"server {server_id} through node {node}" if node else f"server {server_id}"
    outcome = f"{name}: {attempt.result} after {attempt.ms} ms"
    host = f"host slowness {attempt.slowness:g}, load report {attempt.age_ms} ms old"
    return f"{outcome}, {host}"


def _describe_cause(line: RequestLogLine, attempts: list[AttemptRecord], waited_ms: int) -> str:
    if line.outcome != OUTCOME_ANSWERED:
        _, _, reason = line.outcome.rpartition(":")
        text = _REASON_TEXTS.get(reason, reason)
        servers = ", ".join(attempt.server_id for attempt in attempts)
        return f"{text} ({servers})" if servers else text
    if line.status >= MIN_SERVER_ERROR_STATUS:
        return f"server {attempts[-1].server_id} responded with status {line.status}"
    if line.target_ms is None or line.ms <= line.target_ms:
        return "answered in time"
    return f"late: {_describe_delay(line, attempts, waited_ms)}"


def _describe_delay(line: RequestLogLine, attempts: list[AttemptRecord], waited_ms: int) -> str:
    if line.target_ms <= 0 and line.tried_before_ms:
        return "the caller's earlier attempts had used up the target latency"
    if not attempts or waited_ms > max(attempt.ms for attempt in attempts):
        return f"the request waited {waited_ms} ms for a free slot"
    longest = max(attempts, key=lambda attempt: attempt.ms)
    failed = [attempt for attempt in attempts[:-1] if attempt.result != "cancelled"]
    if failed and longest in failed:
        return f"an earlier attempt at server {longest.server_id} failed: {longest.result}"
    attempt_text = f"server {longest.server_id} took {longest.ms} ms"
    if longest.age_ms < 0:
        return f"{attempt_text}, and there was no load report from it"
    if longest.age_ms > STALE_LOAD_REPORT_AGE_MS:
        return f"{attempt_text}, and its last load report was {longest.age_ms} ms old"
    if longest.slowness >= SLOW_HOST_FACTOR:
        return f"{attempt_text} on a host reported as slow; no faster host had a free slot"
    return f"{attempt_text}; its host became slow after the request had been sent"


def _list_events_near_request(events: list[NodeEvent], line: RequestLogLine) -> list[NodeEvent]:
    begin = line.time - datetime.timedelta(seconds=line.ms / 1000 + EVENTS_BEFORE_REQUEST_S)
    end = line.time + datetime.timedelta(seconds=EVENTS_AFTER_REQUEST_S)
    nearby = [event for event in events if begin <= event.time <= end]
    return sorted(nearby, key=lambda event: event.time)
