"""Fingerprints by which repeated requests are recognized."""

from __future__ import annotations

import xxhash


def compute_fingerprint(caller: str, host: str, method: str, path: str, body: bytes) -> bytes:
    """Return 16 bytes that are equal for requests of one caller with the same content.

    :param caller: IP address of the caller.
    :param path: path and query.

    >>> first = compute_fingerprint("10.0.0.1", "h", "GET", "/a", b"")
    >>> first == compute_fingerprint("10.0.0.1", "h", "GET", "/a", b"")
    True
    >>> first == compute_fingerprint("10.0.0.2", "h", "GET", "/a", b"")
    False
    """
    digest = xxhash.xxh3_128()
    for text in (caller, host, method, path):
        encoded = text.encode(errors="surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(body)
    return digest.digest()
