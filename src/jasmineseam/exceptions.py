"""All errors that the library and the programs raise, as one small tree."""

from __future__ import annotations

import typing as t


class JasmineseamError(Exception):
    """Base class of every error of this project."""


class Fault(t.NamedTuple):
    """One thing that is wrong in a document.

    :param path: where, as dotted keys from the document's root.
    :param value: what stands there, shortened.
    :param expected: what should stand there.
    """

    path: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.path}: got {self.value}, expected {self.expected}"


class DocumentError(JasmineseamError):
    """A settings file or catalogue entry was refused as a whole.

    :param source: the file or record that was checked.
    :param faults: every fault found in it.
    """

    def __init__(self, source: str, faults: list[Fault]) -> None:
        self.source = source
        self.faults = faults
        lines = "; ".join(str(fault) for fault in faults)
        super().__init__(f"{source}: {lines}")


class SettingsError(DocumentError):
    """A settings file is wrong."""


class InvalidEntryError(DocumentError):
    """A catalogue entry is wrong."""


class PlatformError(JasmineseamError):
    """A service of the platform did not do what it was asked."""


class LogUnavailableError(PlatformError):
    """The log did not answer; for an append, it is not known whether it took effect."""


class RecordsTrimmedError(PlatformError):
    """The asked offset has been forgotten by the log.

    :param first_offset: the oldest offset that the log still holds.
    """

    def __init__(self, first_offset: int) -> None:
        self.first_offset = first_offset
        super().__init__(f"records before offset {first_offset} have been trimmed")


class StoreUnavailableError(PlatformError):
    """The metadata store did not answer; a write may nevertheless take effect, also later.

    :param call: the call that failed.
    :param detail: what happened instead of an answer.
    """

    def __init__(self, call: str, detail: str) -> None:
        self.call = call
        self.detail = detail
        super().__init__(f"{call}: {detail}")


class InvalidRecordError(PlatformError):
    """A record of the metadata store makes no sense.

    :param key: the record's key.
    :param detail: what is wrong with it.
    """

    def __init__(self, key: str, detail: str) -> None:
        self.key = key
        self.detail = detail
        super().__init__(f"{key}: {detail}")


class VmListUnavailableError(PlatformError):
    """The list of VMs did not answer."""


class PeerError(JasmineseamError):
    """Something went wrong between two of the system's own processes."""


class InvalidMessageError(PeerError):
    """A peer's message could not be decoded, or has another version."""


class PeerUnreachableError(PeerError):
    """A peer did not take the message; nothing of it was delivered."""


class PeerReplyLostError(PeerError):
    """A peer took the message, but its reply did not arrive."""


class RequestError(JasmineseamError):
    """A request ended without a server's answer."""


class NotRunError(RequestError):
    """The request was not run, and will not be.

    :param reason: a short identifier of the cause.
    :param status: the HTTP status to answer with.
    :param retry_after_s: when asking again makes sense, ``None`` if never.
    """

    def __init__(self, reason: str, status: int, retry_after_s: float | None = None) -> None:
        self.reason = reason
        self.status = status
        self.retry_after_s = retry_after_s
        super().__init__(f"not run: {reason}")


class UnknownOutcomeError(RequestError):
    """The request may or may not have been run.

    :param reason: a short identifier of the cause.
    :param status: the HTTP status to answer with.
    :param retry_after_s: when to ask again with the same key, ``None`` if that tells no more.
    """

    def __init__(self, reason: str, status: int = 502, retry_after_s: float | None = None) -> None:
        self.reason = reason
        self.status = status
        self.retry_after_s = retry_after_s
        super().__init__(f"outcome unknown: {reason}")


class AttemptError(RequestError):
    """One attempt at one server failed.

    :param reason: a short identifier of the cause.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class AttemptNotRunError(AttemptError):
    """The attempt was not run: no byte left, or the server itself refused it."""


class AttemptOutcomeUnknownError(AttemptError):
    """The attempt may have been run, but no whole answer came."""


class InvariantError(JasmineseamError):
    """A property that must always hold was found broken."""
