"""Headers of the platform's requests and responses."""

from __future__ import annotations

import re
import typing as t

from ..measuring.reports import ServerReport
from ..requests.proxied import Protocol
from ..requests.proxied import RequestHead
from ..requests.proxied import ResponseHead

REQUEST_ID = "Jasmineseam-Request-Id"
# milliseconds for which the sender still waits
DEADLINE = "Jasmineseam-Deadline-Ms"
EXPECTED_SERVER = "Jasmineseam-Expect-Instance"
SIGNATURE = "Jasmineseam-Response-Signature"
NOT_RUN = "Jasmineseam-Not-Executed"
SERVER_ID = "Jasmineseam-Instance-Id"
# running, waiting, slots, and the time that work takes now in percent of the usual
LOAD = "Jasmineseam-Instance-Load"
MISDIRECTED = 421
_LOAD_PATTERN = re.compile(
    r"^\s*(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})\s*(?:,\s*(\d{1,6})\s*)?$"
)


def decode_request(headers: t.Mapping[str, str]) -> RequestHead:
    """Decode what a client says of its request.

    :raises ValueError: if the deadline is no number.
    """
    deadline = headers.get(DEADLINE)
    return RequestHead(
        request_id=headers.get(REQUEST_ID, ""),
        remaining_s=None if deadline is None else max(0.0, float(deadline) / 1000),
    )


def encode_request(request_id: str, remaining_s: float, server_id: str) -> list[tuple[str, str]]:
    """Return the headers that go to a server beside the client's own."""
    headers = [
        (DEADLINE, str(max(1, int(remaining_s * 1000)))),
        (EXPECTED_SERVER, server_id),
    ]
    if request_id:
        headers.append((REQUEST_ID, request_id))
    return headers


def decode_response(status: int, headers: t.Mapping[str, str]) -> ResponseHead:
    """Decode what a server says of its response."""
    return ResponseHead(
        request_id=headers.get(REQUEST_ID, ""),
        server_id=headers.get(SERVER_ID, ""),
        signed=SIGNATURE in headers and "Content-Encoding" not in headers,
        not_run=NOT_RUN in headers or status == MISDIRECTED,
        misdirected=status == MISDIRECTED,
        report=parse_load(headers.get(LOAD)),
    )


def parse_load(text: str | None) -> ServerReport | None:
    """Parse a load report; one that makes no sense is no report.

    >>> parse_load("3,1,4,250").slowness
    2.5
    >>> parse_load("3,1") is None
    True
    """
    if text is None:
        return None
    match = _LOAD_PATTERN.match(text)
    if match is None or int(match[3]) == 0:
        return None
    slowness = 1.0 if match[4] is None else max(0.01, int(match[4]) / 100)
    return ServerReport(
        running=int(match[1]), waiting=int(match[2]), slots=int(match[3]), slowness=slowness
    )


PROTOCOL = Protocol(
    decode_request=decode_request,
    encode_request=encode_request,
    decode_response=decode_response,
    own_headers=frozenset(name.lower() for name in (REQUEST_ID, DEADLINE, EXPECTED_SERVER)),
)
