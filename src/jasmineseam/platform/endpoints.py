"""Paths and formats of a node's readiness check and locator.

The locator returns the addresses of entries to callers.
"""

from __future__ import annotations

import typing as t

import msgspec

from ..node.entry_selection import LocatorQuery

READINESS_PATH = "/api/readyz"
LOCATOR_PATH = "/api/resolve"
MAX_LOCATOR_ADDRESSES = 64


class _LocatorResponse(msgspec.Struct):
    addresses: list[str]
    ttl: str


def decode_locator_query(query: t.Mapping[str, str]) -> LocatorQuery:
    """Decode the query parameters of a client.

    >>> decode_locator_query({"name": "fit.example:80", "zone": "z1"})
    LocatorQuery(host='fit.example', region='', failure_domain='z1')
    """
    return LocatorQuery(
        host=query.get("name", "").partition(":")[0],
        region=query.get("region", ""),
        failure_domain=query.get("zone", ""),
    )


def encode_entry_addresses(addresses: list[str], lifetime_s: float) -> bytes:
    """Encode the body of a locator response.

    :param addresses: addresses of entries, ``ip:port``; only the first
        :data:`MAX_LOCATOR_ADDRESSES` are included.
    :param lifetime_s: how long the caller may cache the addresses, in seconds.

    >>> encode_entry_addresses(["10.1.0.35:8144"], 2.0)
    b'{"addresses":["10.1.0.35:8144"],"ttl":"2000ms"}'
    """
    ttl = f"{round(lifetime_s * 1000)}ms"
    return msgspec.json.encode(
        _LocatorResponse(addresses=addresses[:MAX_LOCATOR_ADDRESSES], ttl=ttl)
    )
