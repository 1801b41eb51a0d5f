"""The state of one request on its way through a node, and its log line."""

from __future__ import annotations

import time

from ..operations.request_log import RequestLogLine
from ..requests.protocol import RequestHead
from ..routing.dispatch import Dispatcher
from ..routing.routes import Route


class ProxiedRequest:
    """One request; times are monotonic, in seconds.

    ``excluded`` holds the ids of servers that it has been at, ``attempts`` counts those that may
    have received it, ``tried_s`` is for how long its caller had been trying before it came.
    """

    __slots__ = (
        "arrived_at",
        "attempt_count",
        "body",
        "deadline_at",
        "dispatcher",
        "excluded",
        "expected_duration_s",
        "head",
        "headers",
        "method",
        "path",
        "route",
        "sent",
        "table_version",
        "target_at",
        "trace",
        "tried_before_s",
    )

    def __init__(self) -> None:
        self.arrived_at = time.monotonic()
        self.target_at = self.deadline_at = self.arrived_at
        self.route: Route | None = None
        self.dispatcher: Dispatcher | None = None
        self.head = RequestHead(request_id="", remaining_s=None)
        self.table_version = -1
        self.excluded: set[str] = set()
        self.expected_duration_s = 0.0
        self.attempt_count = 0
        self.sent = False
        self.body = b""
        self.trace: list[str] = []
        self.tried_before_s = 0.0


def build_request_line(
    ours: ProxiedRequest, outcome: str, status: int, now: float
) -> RequestLogLine:
    """Return the line of a request that has ended."""
    line = RequestLogLine(
        id=ours.head.request_id,
        outcome=outcome,
        status=status,
        ms=round((now - ours.arrived_at) * 1000),
        table=ours.table_version,
        tried=ours.trace,
    )
    if ours.route is not None:
        line.route = ours.route.name
        line.target_ms = round((ours.target_at - ours.arrived_at) * 1000)
        line.deadline_ms = round((ours.deadline_at - ours.arrived_at) * 1000)
        line.tried_before_ms = round(ours.tried_before_s * 1000)
    if ours.dispatcher is not None:
        line.service = ours.dispatcher.service
    return line
