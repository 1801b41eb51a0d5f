"""A caller's request as the entry has received it."""

from __future__ import annotations

import msgspec
import xxhash

from ..catalogue.entry import CatalogueEntry

DEADLINE_HEADER = "Jasmineseam-Deadline-Ms"
ATTEMPT_HEADER = "Jasmineseam-Attempt"
EXTRA_ATTEMPT_HEADER = "Jasmineseam-Extra-Attempt"
REFUSAL_HEADER = "Backend-Refusal"
# what an entry sets by itself on its way to a server
HEADERS_SET_BY_ENTRY = frozenset(
    {
        "host",
        "jasmineseam-attempt",
        "jasmineseam-deadline-ms",
        "jasmineseam-extra-attempt",
    }
)


class InboundRequest(msgspec.Struct, kw_only=True):
    """One request, received whole.

    :param path: path and query as the caller sent them.
    :param headers: without those that are for one connection only.
    :param deadline_at: on the process's monotonic clock, in seconds.
    :param key: the idempotency key as sent, empty if none.
    :param extra: whether it is itself a retry or hedge further up, so that it gets none here.
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
        """The service's name."""
        return self.entry.service

    def compute_fingerprint(self) -> str:
        """Digest what makes two requests the same one."""
        digest = xxhash.xxh3_128()
        for part in (self.service, self.method, self.path):
            digest.update(part.encode())
            digest.update(b"\0")
        digest.update(self.body)
        return digest.hexdigest()
