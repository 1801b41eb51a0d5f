"""The state of one request on its way through a node, and its log line."""

from __future__ import annotations

import time

from ..operations.journal import RequestLine
from ..requests.proxied import RequestHead
from ..routing.dispatch import Dispatcher
from ..routing.routes import Route


class ProxiedRequest:
    """One request; times are monotonic, in seconds.

    ``excluded`` holds the ids of servers that it has been at, ``attempts`` counts those that may
    have received it, ``tried_s`` is for how long its caller had been trying before it came.
    """

    __slots__ = (
        "arrived_at",
        "attempts",
        "body",
        "deadline_at",
        "dispatcher",
        "excluded",
        "head",
        "headers",
        "method",
        "path",
        "route",
        "sent",
        "target_at",
        "trace",
        "tried_s",
        "usual_s",
        "version",
    )

    def __init__(self) -> None:
        self.arrived_at = time.monotonic()
        self.target_at = self.deadline_at = self.arrived_at
        self.route: Route | None = None
        self.dispatcher: Dispatcher | None = None
        self.head = RequestHead(request_id="", remaining_s=None)
        self.version = -1
        self.excluded: set[str] = set()
        self.usual_s = 0.0
        self.attempts = 0
        self.sent = False
        self.body = b""
        self.trace: list[str] = []
        self.tried_s = 0.0


def describe_request(ours: ProxiedRequest, outcome: str, status: int, now: float) -> RequestLine:
    """Return the line of a request that has ended."""
    line = RequestLine(
        id=ours.head.request_id,
        outcome=outcome,
        status=status,
        ms=round((now - ours.arrived_at) * 1000),
        table=ours.version,
        tried=ours.trace,
    )
    if ours.route is not None:
        line.route = ours.route.name
        line.target_ms = round((ours.target_at - ours.arrived_at) * 1000)
        line.deadline_ms = round((ours.deadline_at - ours.arrived_at) * 1000)
        line.tried_before_ms = round(ours.tried_s * 1000)
    if ours.dispatcher is not None:
        line.service = ours.dispatcher.service
    return line
