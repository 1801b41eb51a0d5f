"""Hop-by-hop headers, which apply to a single connection and must not be forwarded."""

from __future__ import annotations

import typing as t

HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_CONNECTION_VALUES_WITHOUT_HEADER_NAMES = frozenset({"", "keep-alive", "close"})


def strip_hop_by_hop_headers(
    headers: t.Mapping[str, str], excluded: frozenset[str] = frozenset()
) -> list[tuple[str, str]]:
    r"""Return the headers of a message without the hop-by-hop ones.

    Headers that the ``Connection`` header lists are hop-by-hop as well. Bytes of a value that are
    not UTF-8, which aiohttp can't write, are left out.

    :param headers: a multi-dict of headers.
    :param excluded: lower-case names of further headers to remove.

    >>> headers = {"Connection": "X-Hop", "X-Hop": "1", "X-A": "2", "Host": "h"}
    >>> strip_hop_by_hop_headers(headers, {"host"})
    [('X-A', '2')]
    >>> strip_hop_by_hop_headers({"X-A": "a\udce9b"})
    [('X-A', 'ab')]
    """
    excluded = HOP_BY_HOP_HEADERS | excluded
    connection = headers.get("Connection", "").lower()
    if connection not in _CONNECTION_VALUES_WITHOUT_HEADER_NAMES:
        excluded = excluded | {name.strip() for name in connection.split(",")}
    # names are converted to str because msgspec cannot encode aiohttp's istr
    return [
        (str(name), value if value.isascii() else value.encode("utf-8", "ignore").decode())
        for name, value in headers.items()
        if name.lower() not in excluded
    ]
