"""The state of the catalogue, built by applying the records of the log in order."""

from __future__ import annotations

import msgspec

from .. import invariants
from ..exceptions import InvalidEntryError
from .entry import check_entry
from .records import CatalogueSnapshot
from .records import Change
from .records import ChangeOutcome
from .records import CheckpointPart
from .records import EntryState
from .records import compute_payload_digest
from .records import decode_record
from .records import join_checkpoint_parts

MAX_RETAINED_OUTCOMES = 1024
MAX_PENDING_CHECKPOINTS = 4


class Catalogue:
    """The state of all entries, updated record by record.

    Neither records nor adopted snapshots decrease the revision of an entry. Catalogues to which
    the same records have been applied are equal.

    >>> from jasmineseam.catalogue.records import encode_record
    >>> catalogue = Catalogue()
    >>> change = Change(change_id="c1", service="fittings", base_revision=0,
    ...                 body={"service": "fittings", "owner": "kalipso"})
    >>> catalogue.apply_record(0, encode_record(change)).accepted
    True
    >>> catalogue.get_state("fittings").revision, catalogue.position
    (1, 1)
    """

    __slots__ = (
        "_entries",
        "_outcomes",
        "_pending_checkpoints",
        "checkpoint_offset",
        "invalid_records",
        "last_digest",
        "merged_entry_count",
        "next_offset",
        "position",
    )

    def __init__(self) -> None:
        self._entries: dict[str, EntryState] = {}
        self._outcomes: dict[str, ChangeOutcome] = {}
        self._pending_checkpoints: dict[str, list[CheckpointPart]] = {}
        self.next_offset = 0
        self.position = 0
        self.last_digest = ""
        self.invalid_records = 0
        # offset of the last part of the latest valid checkpoint, -1 if none has been read
        self.checkpoint_offset = -1
        # number of entry states that were merged from a snapshot or checkpoint
        self.merged_entry_count = 0

    def get_state(self, service: str) -> EntryState | None:
        """Return the latest state of an entry, which may be withdrawn; ``None`` if unknown."""
        return self._entries.get(service)

    def get_outcome(self, change_id: str) -> ChangeOutcome | None:
        """Return the outcome of a change, ``None`` if it is no longer retained.

        The latest :data:`MAX_RETAINED_OUTCOMES` outcomes are retained.
        """
        return self._outcomes.get(change_id)

    def list_states(self) -> list[EntryState]:
        """Return the states of all entries, ordered by service name."""
        return [self._entries[name] for name in sorted(self._entries)]

    def list_states_changed_since(self, position: int) -> list[EntryState]:
        """Return the states of the entries that changed after a position of the catalogue."""
        return [state for state in self._entries.values() if state.position > position]

    def apply_record(self, offset: int, payload: str) -> ChangeOutcome | None:
        """Apply the next record of the log.

        :param offset: offset of the record; must equal :attr:`next_offset`.
        :param payload: the encoded record.
        :returns: the outcome if the record is a valid change that has not been applied before,
            otherwise ``None``.
        """
        invariants.check(offset == self.next_offset, "catalogue-offset-gap", f"{offset}")
        self.next_offset = offset + 1
        self.position += 1
        self.last_digest = compute_payload_digest(payload)
        try:
            record = decode_record(payload)
        except (msgspec.MsgspecError, RecursionError, UnicodeError):
            self.invalid_records += 1
            return None
        if isinstance(record, CheckpointPart):
            self._apply_checkpoint_part(offset, record)
            return None
        return self._apply_change(record)

    def take_snapshot(self) -> CatalogueSnapshot:
        """Return the complete state."""
        return CatalogueSnapshot(
            next_offset=self.next_offset,
            position=self.position,
            last_digest=self.last_digest,
            entries=self.list_states(),
            outcomes=list(self._outcomes.values()),
        )

    def adopt_snapshot(self, snapshot: CatalogueSnapshot) -> bool:
        """Adopt the snapshot of another reader of the same log if it is newer.

        :returns: whether the snapshot was newer and was adopted.
        """
        if snapshot.position <= self.position:
            return False
        self._merge(snapshot)
        self.position = snapshot.position
        self.next_offset = snapshot.next_offset
        self.last_digest = snapshot.last_digest
        return True

    def reset_next_offset(self) -> None:
        """Continue at offset 0, to read the log again after it has lost or replaced records.

        The state of the entries is kept.
        """
        self.next_offset = 0
        self.last_digest = ""
        self.checkpoint_offset = -1
        self._pending_checkpoints.clear()

    def _apply_change(self, change: Change) -> ChangeOutcome | None:
        if change.change_id in self._outcomes:
            return None
        current = self._entries.get(change.service)
        revision = current.revision if current else 0
        if change.base_revision != revision:
            return self._reject_change(change, current, "")
        entry = None
        if change.body is not None:
            try:
                entry = check_entry(change.change_id, change.body)
            except InvalidEntryError as error:
                self.invalid_records += 1
                return self._reject_change(change, current, str(error))
            if entry.service != change.service:
                self.invalid_records += 1
                return self._reject_change(
                    change, current, "service: differs from the change's service"
                )
        if entry is None and (current is None or current.entry is None):
            return self._reject_change(change, current, "service: nothing to withdraw")
        self._entries[change.service] = EntryState(
            service=change.service,
            revision=revision + 1,
            change_id=change.change_id,
            position=self.position,
            entry=entry,
        )
        return self._record_outcome(change, accepted=True, revision=revision + 1)

    def _reject_change(
        self, change: Change, current: EntryState | None, faults: str
    ) -> ChangeOutcome:
        revision = current.revision if current else 0
        beaten_by = current.change_id if current and not faults else ""
        return self._record_outcome(
            change, accepted=False, revision=revision, beaten_by=beaten_by, faults=faults
        )

    def _record_outcome(
        self,
        change: Change,
        *,
        accepted: bool,
        revision: int,
        beaten_by: str = "",
        faults: str = "",
    ) -> ChangeOutcome:
        outcome = ChangeOutcome(
            change_id=change.change_id,
            accepted=accepted,
            revision=revision,
            position=self.position,
            beaten_by=beaten_by,
            faults=faults,
        )
        self._outcomes[change.change_id] = outcome
        while len(self._outcomes) > MAX_RETAINED_OUTCOMES:
            del self._outcomes[next(iter(self._outcomes))]
        return outcome

    def _apply_checkpoint_part(self, offset: int, part: CheckpointPart) -> None:
        if (
            len(self._pending_checkpoints) >= MAX_PENDING_CHECKPOINTS
            and part.checkpoint_id not in self._pending_checkpoints
        ):
            del self._pending_checkpoints[next(iter(self._pending_checkpoints))]
        parts = self._pending_checkpoints.setdefault(part.checkpoint_id, [])
        parts.append(part)
        if len(parts) < part.parts:
            return
        del self._pending_checkpoints[part.checkpoint_id]
        snapshot = join_checkpoint_parts(parts)
        if snapshot is None:
            self.invalid_records += 1
            return
        self.checkpoint_offset = offset
        # Merging has no effect unless the log has lost records that the checkpoint includes. The
        # position is raised to at least that of the snapshot plus 1, which counts the record of
        # this checkpoint part.
        self._merge(snapshot)
        self.position = max(self.position, snapshot.position + 1)

    def _merge(self, snapshot: CatalogueSnapshot) -> None:
        for state in snapshot.entries:
            current = self._entries.get(state.service)
            if current is not None and current.revision >= state.revision:
                consistent = (
                    current.revision > state.revision or current.change_id == state.change_id
                )
                invariants.check(
                    consistent, "catalogue-diverged", f"{state.service} {state.revision}"
                )
                continue
            self._entries[state.service] = state
            self.merged_entry_count += 1
        if snapshot.position < self.position:
            return
        for outcome in snapshot.outcomes:
            self._outcomes[outcome.change_id] = outcome


def find_checkpoint(payloads: list[str], first_offset: int) -> CatalogueSnapshot | None:
    """Find a checkpoint from which a new reader can start.

    :param payloads: all records that the log retains.
    :param first_offset: offset of the first of these records.
    :returns: the newest complete checkpoint after which no record has been trimmed, or ``None``.
    """
    pending: dict[str, list[CheckpointPart]] = {}
    newest = None
    for payload in payloads:
        try:
            record = decode_record(payload)
        except (msgspec.MsgspecError, RecursionError, UnicodeError):
            continue
        if not isinstance(record, CheckpointPart):
            continue
        if record.snapshot.next_offset < first_offset:
            continue
        parts = pending.setdefault(record.checkpoint_id, [])
        parts.append(record)
        if len(parts) < record.parts:
            continue
        snapshot = join_checkpoint_parts(pending.pop(record.checkpoint_id))
        if snapshot is None:
            continue
        if newest is None or snapshot.position > newest.position:
            newest = snapshot
    return newest
