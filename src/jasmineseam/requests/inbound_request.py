"""A caller's request as received by an entry process."""

from __future__ import annotations

import msgspec
import xxhash

from ..catalogue.entry import CatalogueEntry

DEADLINE_HEADER = "Jasmineseam-Deadline-Ms"
ATTEMPT_HEADER = "Jasmineseam-Attempt"
EXTRA_ATTEMPT_HEADER = "Jasmineseam-Extra-Attempt"
REFUSAL_HEADER = "Backend-Refusal"
# lower-case names of the headers that an entry process sets on requests to servers
HEADERS_SET_BY_ENTRY = frozenset(
    {
        "host",
        "jasmineseam-attempt",
        "jasmineseam-deadline-ms",
        "jasmineseam-extra-attempt",
    }
)


class InboundRequest(msgspec.Struct, kw_only=True):
    """A request whose head and body have been received completely.

    :param entry: catalogue entry of the requested service.
    :param path: path and query as sent by the caller.
    :param headers: end-to-end headers; hop-by-hop headers are removed.
    :param deadline_at: deadline on the monotonic clock of the process, in seconds.
    :param idempotent: whether the request may be run more than once.
    :param key: value of the idempotency key header, empty if there is none.
    :param extra: whether the request is itself a retry or hedge of an upstream proxy; such a
        request is neither retried nor hedged here.
    """

    entry: CatalogueEntry
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_at: float
    idempotent: bool
    traffic_class: str
    key: str = ""
    extra: bool = False

    @property
    def service(self) -> str:
        """The name of the service."""
        return self.entry.service

    def compute_fingerprint(self) -> str:
        """Return a digest of service, method, path and body, equal for repeats of a request."""
        digest = xxhash.xxh3_128()
        for part in (self.service, self.method, self.path):
            digest.update(part.encode())
            digest.update(b"\0")
        digest.update(self.body)
        return digest.hexdigest()
