"""State of a proxied request, and the request log line built from it."""

from __future__ import annotations

import asyncio
import time

from ..operations.request_log import RequestLogLine
from ..requests.fingerprint import compute_fingerprint
from ..requests.protocol import RequestHead
from ..routing.dispatch import Dispatcher
from ..routing.routes import ClientAccount
from ..routing.routes import Route


class ProxiedRequest:
    """A request of a caller while a node handles it.

    All ``*_at`` attributes are monotonic times in seconds. ``target_at`` is the time at which the
    response must be sent to meet the latency target of the route. ``sent`` is set before the first
    attempt is written to a connection, after which the request may have been run.
    ``excluded_server_ids`` holds the servers that the request was already assigned to, and
    ``reached_server_ids`` those of them to which a connection was available.
    ``attempt_count`` counts attempts for which a connection was available, so the server may have
    received the request. ``attempt_trace`` holds a text for each attempt, such as
    ``server:result:75ms:x1.5@10ms``: the server id, the result, the duration, the slowness in the
    server's last load report, and the age of that report. If a further attempt was not assigned to
    a server, the reason is appended as the last text. ``elapsed_before_arrival_s`` is the
    estimated time that the caller spent on earlier attempts. ``service_time_s`` is the expected
    service time on a host of normal speed, in seconds. ``table_version`` is the version of
    the routing table, -1 if none was applied. ``crash_checks`` holds the checks of servers whose
    connection broke under the request. ``fingerprint`` is empty until it is computed.
    ``relayed`` is set if another node has received the request from its caller. ``counted`` is set
    when a node has counted the request for its retry budget. ``account`` is the client account
    that holds the request's key, ``None`` if there is none.
    """

    __slots__ = (
        "account",
        "arrived_at",
        "attempt_count",
        "attempt_trace",
        "body",
        "counted",
        "crash_checks",
        "deadline_at",
        "dispatcher",
        "elapsed_before_arrival_s",
        "excluded_server_ids",
        "fingerprint",
        "head",
        "headers",
        "method",
        "path",
        "reached_server_ids",
        "relayed",
        "route",
        "sent",
        "service_time_s",
        "table_version",
        "target_at",
    )

    def __init__(self) -> None:
        self.arrived_at = time.monotonic()
        self.target_at = self.deadline_at = self.arrived_at
        self.route: Route | None = None
        self.account: ClientAccount | None = None
        self.dispatcher: Dispatcher | None = None
        self.head = RequestHead(request_id="", remaining_s=None)
        self.table_version = -1
        self.excluded_server_ids: set[str] = set()
        self.reached_server_ids: set[str] = set()
        self.service_time_s = 0.0
        self.attempt_count = 0
        self.sent = False
        self.relayed = False
        self.counted = False
        self.body = b""
        self.crash_checks: list[asyncio.Task] = []
        self.fingerprint = b""
        self.attempt_trace: list[str] = []
        self.elapsed_before_arrival_s = 0.0

    def get_fingerprint(self) -> bytes:
        """Return the fingerprint by which a repetition of the request is recognized."""
        if not self.fingerprint:
            self.fingerprint = compute_fingerprint(self.method, self.path, self.headers, self.body)
        return self.fingerprint


def build_request_log_line(
    proxied: ProxiedRequest, outcome: str, status: int, now: float
) -> RequestLogLine:
    """Build the request log line of a completed request.

    :param outcome: the outcome and its reason, such as ``not-run:no-route``.
    :param status: the HTTP status of the response, 0 if none was built.
    :param now: current monotonic time, in seconds.
    """
    line = RequestLogLine(
        id=proxied.head.request_id,
        outcome=outcome,
        status=status,
        ms=round((now - proxied.arrived_at) * 1000),
        table=proxied.table_version,
        tried=proxied.attempt_trace,
    )
    if proxied.route is not None:
        line.route = proxied.route.name
        line.target_ms = round((proxied.target_at - proxied.arrived_at) * 1000)
        line.deadline_ms = round((proxied.deadline_at - proxied.arrived_at) * 1000)
        line.tried_before_ms = round(proxied.elapsed_before_arrival_s * 1000)
    if outcome.startswith("unknown:") or outcome.endswith(":quarantined"):
        line.fingerprint = proxied.get_fingerprint().hex()
    if ":quota-" in outcome and proxied.account is not None:
        line.quota = proxied.account.name
    if proxied.dispatcher is not None:
        line.service = proxied.dispatcher.service
    return line
