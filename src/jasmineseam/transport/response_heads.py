"""What a valid head of a response is, and checks of heads that were parsed already."""

from __future__ import annotations

import re
import typing as t

# values and reason phrases: no control bytes but tabs (RFC 9110, section 5.5)
TEXT = rb"[^\x00-\x08\x0a-\x1f\x7f]*"
FIELD_NAME = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
# 100 to 599 (RFC 9110, section 15), without 101: no request asks for an upgrade
STATUS = rb"(?:1(?!01)|[2-5])[0-9]{2}"
FINAL_STATUSES = range(200, 600)
_FIELD = re.compile(rf"{FIELD_NAME.decode()}:{TEXT.decode()}")
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}")


def is_forwardable(status: int, headers: t.Iterable[tuple[str, str]]) -> bool:
    r"""Return whether the head of a response that another process has received is valid.

    That process may be of a build that accepted heads which are invalid.

    >>> is_forwardable(200, [("X-A", "1")]), is_forwardable(0, [])
    (True, False)
    >>> is_forwardable(200, [("X-A ", "1")]), is_forwardable(200, [("X-A", "\x01")])
    (False, False)
    """
    return status in FINAL_STATUSES and all(
        _FIELD.fullmatch(f"{name}:{value}") for name, value in headers
    )


def holds_status_line(reason: str | None, raw_headers: t.Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a head consists of the start of one response and another whole head.

    A server that breaks off a surplus response within a line continues that line with the status
    line of its next response.

    :param reason: the reason phrase of the response.
    :param raw_headers: names and values of its headers.

    >>> holds_status_line("OK", [(b"Content-Type", b"text/plHTTP/1.1 500 Failed")])
    True
    >>> holds_status_line("OK", [(b"Via", b"HTTP/1.1 proxy")])
    False
    """
    if reason and "HTTP/1." in reason and _STATUS_LINE.search(reason.encode("utf-8", "replace")):
        return True
    return any(b"HTTP/1." in value and _STATUS_LINE.search(value) for _, value in raw_headers)
