"""Headers of the platform's requests and responses."""

from __future__ import annotations

import re
import typing as t

from multidict import MultiMapping

from ..measuring.load_reports import DetailedLoadReport
from ..requests.protocol import HeaderCodec
from ..requests.protocol import RequestHead
from ..requests.protocol import ResponseHead

REQUEST_ID_HEADER = "Jasmineseam-Request-Id"
# time that remains until the sender's deadline, in milliseconds
DEADLINE_MS_HEADER = "Jasmineseam-Deadline-Ms"
EXPECTED_SERVER_HEADER = "Jasmineseam-Expect-Instance"
RESPONSE_SIGNATURE_HEADER = "Jasmineseam-Response-Signature"
NOT_EXECUTED_HEADER = "Jasmineseam-Not-Executed"
# key of a client account, after KEY_SCHEME
KEY_HEADER = "Authorization"
KEY_SCHEME = "bearer"
# name of the client account, which the node sets on requests to servers
ACCOUNT_HEADER = "Jasmineseam-Tenant"
# time for which the server will be cold, in milliseconds
WARMUP_HEADER = "Jasmineseam-Warmup-Ms"
# A longer time is treated as an error of the server.
MAX_WARMUP_MS = 3_600_000.0
SERVER_ID_HEADER = "Jasmineseam-Instance-Id"
# "1" in all responses of a server that is about to stop
LEAVING_HEADER = "Server-Leaving"
RETRY_AFTER_HEADER = "Retry-After"
# requests per second that the server accepts from all nodes together
REQUEST_LIMIT_HEADER = "Server-Limit"
# A higher limit is treated as an error of the server.
MAX_REQUEST_LIMIT_PER_S = 1e6
# A longer time is treated as an error of the server.
MAX_RETRY_AFTER_S = 3600.0
# comma-separated integers: running requests, waiting requests, slots and, optionally, the
# current service time in percent of normal
LOAD_REPORT_HEADER = "Jasmineseam-Instance-Load"
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
_LOAD_PATTERN = re.compile(
    r"^\s*(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})\s*(?:,\s*(\d{1,6})\s*)?$"
)


def decode_request_headers(headers: t.Mapping[str, str]) -> RequestHead:
    """Decode a caller's request headers.

    :raises ValueError: if the value of the deadline header is not a number.
    """
    deadline = headers.get(DEADLINE_MS_HEADER)
    return RequestHead(
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        remaining_s=None if deadline is None else max(0.0, float(deadline) / 1000),
    )


def encode_request_headers(
    request_id: str, remaining_s: float, server_id: str
) -> list[tuple[str, str]]:
    """Return the headers that a node adds to the caller's headers when it forwards a request.

    :param remaining_s: time until the request's deadline, in seconds.
    :param server_id: id of the server that is expected to receive the request.
    """
    headers = [
        (DEADLINE_MS_HEADER, str(max(1, int(remaining_s * 1000)))),
        (EXPECTED_SERVER_HEADER, server_id),
    ]
    if request_id:
        headers.append((REQUEST_ID_HEADER, request_id))
    return headers


def decode_response_headers(status: int, headers: t.Mapping[str, str]) -> ResponseHead:
    """Decode the status and headers of a server's response."""
    return ResponseHead(
        request_id=headers.get(REQUEST_ID_HEADER, ""),
        server_id=headers.get(SERVER_ID_HEADER, ""),
        signed=RESPONSE_SIGNATURE_HEADER in headers and "Content-Encoding" not in headers,
        not_run=NOT_EXECUTED_HEADER in headers or status == MISDIRECTED_STATUS,
        misdirected=status == MISDIRECTED_STATUS,
        report=parse_load_report(headers.get(LOAD_REPORT_HEADER)),
        leaving=headers.get(LEAVING_HEADER, "").strip() == "1",
        retry_after_s=(
            parse_retry_after(headers.get(RETRY_AFTER_HEADER, ""))
            if status == UNAVAILABLE_STATUS
            else 0.0
        ),
        request_limit_per_s=parse_request_limit(headers.get(REQUEST_LIMIT_HEADER)),
        warmup_left_s=parse_warmup(headers.get(WARMUP_HEADER)),
    )


def decode_key(headers: t.Mapping[str, str]) -> str | None:
    """Return the key of a client account from a request's headers, ``None`` if there is none.

    A request with several such headers has no key, since it is ambiguous which one counts.

    >>> decode_key({"Authorization": "Bearer k1"}), decode_key({"Authorization": "Basic k1"})
    ('k1', None)
    """
    if isinstance(headers, MultiMapping) and len(headers.getall(KEY_HEADER, ())) > 1:
        return None
    scheme, _, key = headers.get(KEY_HEADER, "").strip().partition(" ")
    if scheme.lower() != KEY_SCHEME:
        return None
    return key.strip() or None


def encode_account(name: str) -> list[tuple[str, str]]:
    """Return the headers that name a request's client account to a server."""
    return [(ACCOUNT_HEADER, name)]


def parse_warmup(text: str | None) -> float | None:
    """Parse a remaining warm-up time in milliseconds and return it in seconds.

    >>> parse_warmup("1500"), parse_warmup(None), parse_warmup("soon")
    (1.5, None, None)
    """
    warmup_ms = None if text is None else _parse_number(text, MAX_WARMUP_MS)
    return None if warmup_ms is None else warmup_ms / 1000


def parse_retry_after(text: str) -> float:
    """Parse a ``Retry-After`` header in seconds; return 0 if it is missing or malformed.

    >>> parse_retry_after("1.5"), parse_retry_after("Fri, 04 Dec 2026 10:00:00 GMT")
    (1.5, 0.0)
    """
    retry_after_s = _parse_number(text, MAX_RETRY_AFTER_S)
    return 0.0 if retry_after_s is None else retry_after_s


def parse_request_limit(text: str | None) -> float | None:
    """Parse a limit in requests per second; return ``None`` if it is missing or malformed.

    >>> parse_request_limit("4.1"), parse_request_limit("-1"), parse_request_limit("few")
    (4.1, None, None)
    """
    return None if text is None else _parse_number(text, MAX_REQUEST_LIMIT_PER_S)


def _parse_number(text: str, maximum: float) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0.0 <= number <= maximum else None


def parse_load_report(text: str | None) -> DetailedLoadReport | None:
    """Parse a load report; return ``None`` if it is missing or malformed.

    >>> parse_load_report("3,1,4,250").slowness
    2.5
    >>> parse_load_report("3,1") is None
    True
    """
    if text is None:
        return None
    match = _LOAD_PATTERN.match(text)
    if match is None or int(match[3]) == 0:
        return None
    slowness = 1.0 if match[4] is None else max(0.01, int(match[4]) / 100)
    return DetailedLoadReport(
        running=int(match[1]), waiting=int(match[2]), slots=int(match[3]), slowness=slowness
    )


HEADER_CODEC = HeaderCodec(
    decode_request=decode_request_headers,
    encode_request=encode_request_headers,
    decode_response=decode_response_headers,
    headers_set_by_node=frozenset(
        name.lower() for name in (REQUEST_ID_HEADER, DEADLINE_MS_HEADER, EXPECTED_SERVER_HEADER)
    ),
    decode_key=decode_key,
    encode_account=encode_account,
    account_headers=frozenset((KEY_HEADER.lower(), ACCOUNT_HEADER.lower())),
)
