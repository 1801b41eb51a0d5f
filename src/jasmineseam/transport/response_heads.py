"""What a valid head of a response is."""

from __future__ import annotations

import re
import typing as t

REASON_INVALID = "response-invalid"
REASON_HEADS_MERGED = "heads-merged"
INVALID_REASONS = frozenset({REASON_INVALID, REASON_HEADS_MERGED})
# values and reason phrases: no control characters but tabs (RFC 9110, section 5.5)
_TEXT = rb"[^\x00-\x08\x0a-\x1f\x7f]*"
_FIELD_NAME = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# 100 to 599 (RFC 9110, section 15), without 101: no request asks for an upgrade
_STATUS = rb"(?:1(?!01)|[2-5])[0-9]{2}"
_FINAL_STATUSES = range(200, 600)
_HEAD = re.compile(
    rb"HTTP/1\.[01] %b(?: %b)?\r?\n(?:%b:%b\r?\n)*\r?\n" % (_STATUS, _TEXT, _FIELD_NAME, _TEXT)
)
_FIELD = re.compile(rf"{_FIELD_NAME.decode()}:{_TEXT.decode()}")
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}")


def find_head_fault(head: bytes) -> str:
    r"""Return why a head is invalid, empty if it is valid.

    A server that breaks off a surplus response within a line continues that line with the status
    line of its next response. Such a head consists of the start of one head and another whole one.

    >>> find_head_fault(b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n\r\n")
    ''
    >>> find_head_fault(b"HTTP/1.1 000 OK\r\n\r\n")
    'response-invalid'
    >>> find_head_fault(b"HTTP/1.1 200 OK\r\nContent-Type: text/plHTTP/1.1 500 Failed\r\n\r\n")
    'heads-merged'
    """
    if _HEAD.fullmatch(head) is None:
        return REASON_INVALID
    if _STATUS_LINE.search(head, 1) is not None:
        return REASON_HEADS_MERGED
    return ""


def is_forwardable(status: int, headers: t.Iterable[tuple[str, str]]) -> bool:
    r"""Return whether the head of a response that another process has received is valid.

    That process may be of a build that accepted heads which are invalid.

    >>> is_forwardable(200, [("X-A", "1")]), is_forwardable(0, [])
    (True, False)
    >>> is_forwardable(200, [("X-A ", "1")]), is_forwardable(200, [("X-A", "\x01")])
    (False, False)
    """
    return status in _FINAL_STATUSES and all(
        _FIELD.fullmatch(f"{name}:{value}") for name, value in headers
    )
