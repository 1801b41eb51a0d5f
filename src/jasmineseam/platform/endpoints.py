"""Calls that the platform and its clients make to a node: readiness, and which entry to use."""

from __future__ import annotations

import typing as t

import msgspec

READINESS_PATH = "/api/readyz"
LOCATOR_PATH = "/api/resolve"
MAX_LOCATOR_ADDRESSES = 64


class _Resolved(msgspec.Struct):
    addresses: list[str]
    ttl: str


def get_caller_failure_domain(query: t.Mapping[str, str]) -> str:
    """Return the failure domain that a caller asks from, empty if it does not say."""
    return query.get("zone", "")


def encode_entry_addresses(addresses: list[str], lifetime_s: float) -> bytes:
    """Return the body that names entries.

    >>> encode_entries(["10.1.0.35:8144"], 2.0)
    b'{"addresses":["10.1.0.35:8144"],"ttl":"2000ms"}'
    """
    ttl = f"{round(lifetime_s * 1000)}ms"
    return msgspec.json.encode(_Resolved(addresses=addresses[:MAX_LOCATOR_ADDRESSES], ttl=ttl))
