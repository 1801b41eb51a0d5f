"""Checks of response heads that a parser has accepted."""

from __future__ import annotations

import re
import typing as t

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}")


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
