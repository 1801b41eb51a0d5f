"""The exceptions that the library and the programs raise."""

from __future__ import annotations

import typing as t


class JasmineseamError(Exception):
    """Base class of all exceptions of this project."""


class ValidationFault(t.NamedTuple):
    """A missing, unknown or invalid value in a document.

    :param path: location of the value, as dotted keys from the root of the document.
    :param value: representation of the value found, truncated if long.
    :param expected: description of the valid values.
    """

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: got {self.value}, expected {self.expected}"


class DocumentError(JasmineseamError):
    """A settings file or catalogue entry failed validation and was rejected as a whole.

    :param source: the validated file or record.
    :param faults: all faults found in it.
    """

    def __init__(self, source: str, faults: list[ValidationFault]) -> None:
        self.source = source
        self.faults = faults
        descriptions = "; ".join(str(fault) for fault in faults)
        super().__init__(f"{source}: {descriptions}")


class SettingsError(DocumentError):
    """A settings file is unreadable or invalid."""


class InvalidEntryError(DocumentError):
    """A catalogue entry is invalid."""


class PlatformError(JasmineseamError):
    """A call to a service of the platform failed."""


class LogUnavailableError(PlatformError):
    """The platform's log sent no valid response; an append may still have taken effect."""


class RecordsTrimmedError(PlatformError):
    """The log or the metadata store has trimmed the record at the requested offset.

    :param first_offset: the oldest offset that is retained.
    """

    def __init__(self, first_offset: int) -> None:
        self.first_offset = first_offset
        super().__init__(f"records before offset {first_offset} have been trimmed")


class StoreRestoredError(PlatformError):
    """The metadata store was restored from a backup since the requested position was read.

    :param timeline: number of the store's current timeline.
    """

    def __init__(self, timeline: int) -> None:
        self.timeline = timeline
        super().__init__(f"the store was restored; its timeline is now {timeline}")


class StoreUnavailableError(PlatformError):
    """The metadata store sent no valid response.

    A failed write may have taken effect, or may take effect later.

    :param call: name of the failed call, ``answer`` if a response cannot be decoded.
    :param detail: the cause of the failure.
    """

    def __init__(self, call: str, detail: str) -> None:
        self.call = call
        self.detail = detail
        super().__init__(f"{call}: {detail}")


class InvalidRecordError(PlatformError):
    """A record of the metadata store is invalid.

    :param key: the key of the record.
    :param detail: why the record is invalid.
    """

    def __init__(self, key: str, detail: str) -> None:
        self.key = key
        self.detail = detail
        super().__init__(f"{key}: {detail}")


class VmListUnavailableError(PlatformError):
    """The VM list service sent no valid response."""


class PeerError(JasmineseamError):
    """Communication between two processes of the system failed."""


class InvalidMessageError(PeerError):
    """A message from a peer has an unsupported protocol version or cannot be decoded."""


class PeerUnreachableError(PeerError):
    """The peer could not be reached; no part of the message was delivered."""


class PeerReplyLostError(PeerError):
    """The message may have been delivered, but no valid reply arrived."""


class RequestError(JasmineseamError):
    """A request ended without a response from a server."""


class NotRunError(RequestError):
    """The request was not run and will not be run.

    :param reason: short identifier of the cause.
    :param status: HTTP status of the response to the caller.
    :param retry_after_s: delay after which a retry can succeed, in seconds; ``None`` if a retry
        is pointless.
    """

    def __init__(self, reason: str, status: int, retry_after_s: float | None = None) -> None:
        self.reason = reason
        self.status = status
        self.retry_after_s = retry_after_s
        super().__init__(f"not run: {reason}")


class PathLostError(NotRunError):
    """The request was not run because this node can't reach the servers of its service."""


class UnknownOutcomeError(RequestError):
    """It is unknown whether the request was run.

    :param reason: short identifier of the cause.
    :param status: HTTP status of the response to the caller.
    :param retry_after_s: delay after which a request with the same idempotency key can return the
        outcome, in seconds; ``None`` if the outcome stays unknown.
    """

    def __init__(self, reason: str, status: int = 502, retry_after_s: float | None = None) -> None:
        self.reason = reason
        self.status = status
        self.retry_after_s = retry_after_s
        super().__init__(f"outcome unknown: {reason}")


class AttemptError(RequestError):
    """One attempt to run a request on one server failed.

    :param reason: short identifier of the cause.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class AttemptNotRunError(AttemptError):
    """The attempt was not run: no byte was sent, or the server rejected the request."""


class AttemptOutcomeUnknownError(AttemptError):
    """The attempt may have been run, but no complete response arrived."""


class InvariantError(JasmineseamError):
    """An invariant was violated."""
