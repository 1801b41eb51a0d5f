"""Fingerprints by which repeated requests are recognized.

Requests with equal fingerprints are the same to a server. The address of the caller is not part of
it: servers don't receive it, and it changes when a caller moves to another network.
"""

from __future__ import annotations

import typing as t

import xxhash

# Headers by which servers tell callers apart.
CREDENTIAL_HEADERS = ("Authorization", "Cookie")


def compute_fingerprint(
    method: str, path: str, headers: t.Mapping[str, str], body: bytes, *, account: str = ""
) -> bytes:
    """Return 16 bytes that are equal for requests of one caller with the same content.

    :param path: path and query.
    :param headers: host and credentials are used.
    :param account: name of the client account, empty for none.

    >>> first = compute_fingerprint("GET", "/a", {"Host": "h"}, b"")
    >>> first == compute_fingerprint("GET", "/a", {"Host": "h", "Accept": "*/*"}, b"")
    True
    >>> first == compute_fingerprint("GET", "/a", {"Host": "h", "Cookie": "c=1"}, b"")
    False
    """
    digest = xxhash.xxh3_128()
    credentials = [headers.get(name, "") for name in CREDENTIAL_HEADERS]
    for text in (method, path, headers.get("Host", ""), *credentials):
        encoded = text.encode(errors="surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    if account:
        digest.update(b"account")
        digest.update(account.encode(errors="surrogateescape"))
        digest.update(b"\0")
    digest.update(body)
    return digest.digest()
