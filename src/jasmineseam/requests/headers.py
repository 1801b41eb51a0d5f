"""Headers that concern one connection only."""

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
_STANDARD_CONNECTION_VALUES = frozenset({"", "keep-alive", "close"})


def strip_hop_by_hop_headers(
    headers: t.Mapping[str, str], dropped: frozenset[str] = frozenset()
) -> list[tuple[str, str]]:
    """Return a message's headers without those for one connection only.

    :param headers: a multi-dict of headers.
    :param dropped: lower-case names of more headers to leave out.

    >>> strip_headers({"Connection": "X-Hop", "X-Hop": "1", "X-A": "2", "Host": "h"}, {"host"})
    [('X-A', '2')]
    """
    dropped = HOP_BY_HOP_HEADERS | dropped
    named = headers.get("Connection", "").lower()
    if named not in _STANDARD_CONNECTION_VALUES:
        dropped = dropped | {name.strip() for name in named.split(",")}
    # aiohttp's own string type has no codec
    return [(str(name), value) for name, value in headers.items() if name.lower() not in dropped]
