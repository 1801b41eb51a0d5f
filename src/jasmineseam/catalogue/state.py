"""The fold: what the log's records, taken in order, make of the catalogue."""

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
    """The state of all entries, advanced record by record.

    An entry's revision only rises, whatever is folded or adopted. Two folds of the same records
    are equal.

    >>> from jasmineseam.catalogue.records import encode_record
    >>> catalogue = Catalogue()
    >>> change = Change(change_id="c1", service="fittings", base_revision=0,
    ...                 body={"service": "fittings", "owner": "kalipso"})
    >>> catalogue.apply(0, encode_record(change)).accepted
    True
    >>> catalogue.get("fittings").revision, catalogue.position
    (1, 1)
    """

    __slots__ = (
        "_entries",
        "_outcomes",
        "_pending",
        "checkpoint_offset",
        "invalid_records",
        "last_digest",
        "merge_count",
        "next_offset",
        "position",
    )

    def __init__(self) -> None:
        self._entries: dict[str, EntryState] = {}
        self._outcomes: dict[str, ChangeOutcome] = {}
        self._pending: dict[str, list[CheckpointPart]] = {}
        self.next_offset = 0
        self.position = 0
        self.last_digest = ""
        self.invalid_records = 0
        self.checkpoint_offset = -1
        # how often entries came from elsewhere than the log's next record
        self.merge_count = 0

    def get_state(self, service: str) -> EntryState | None:
        """Return an entry's newest state, withdrawn ones included."""
        return self._entries.get(service)

    def get_outcome(self, change_id: str) -> ChangeOutcome | None:
        """Return what became of a change, if it is among the newest ones."""
        return self._outcomes.get(change_id)

    def list_states(self) -> list[EntryState]:
        """Return all entries' states, ordered by name."""
        return [self._entries[name] for name in sorted(self._entries)]

    def list_states_changed_since(self, position: int) -> list[EntryState]:
        """Return the states of entries that changed after a position."""
        return [state for state in self._entries.values() if state.position > position]

    def apply_record(self, offset: int, payload: str) -> ChangeOutcome | None:
        """Fold the next record.

        :param offset: the record's offset; must be :attr:`next_offset`.
        :param payload: the record as it stands in the log.
        :returns: the outcome, if the record is a valid change that was not seen before.
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
            self._apply_part(offset, record)
            return None
        return self._apply_change(record)

    def take_snapshot(self) -> CatalogueSnapshot:
        """Return the whole state."""
        return CatalogueSnapshot(
            next_offset=self.next_offset,
            position=self.position,
            last_digest=self.last_digest,
            entries=self.list_states(),
            outcomes=list(self._outcomes.values()),
        )

    def adopt_snapshot(self, snapshot: CatalogueSnapshot) -> bool:
        """Take over a newer state of another reader of the same log.

        :returns: whether it was newer than the state held, and was taken.
        """
        if snapshot.position <= self.position:
            return False
        self._join(snapshot)
        self.position = snapshot.position
        self.next_offset = snapshot.next_offset
        self.last_digest = snapshot.last_digest
        return True

    def reset_next_offset(self) -> None:
        """Read the log from its first offset again, because it lost records; the state stays."""
        self.next_offset = 0
        self.last_digest = ""
        self.checkpoint_offset = -1
        self._pending.clear()

    def _apply_change(self, change: Change) -> ChangeOutcome | None:
        if change.change_id in self._outcomes:
            return None
        held = self._entries.get(change.service)
        revision = held.revision if held else 0
        if change.base_revision != revision:
            return self._refuse(change, held, "")
        entry = None
        if change.body is not None:
            try:
                entry = check_entry(change.change_id, change.body)
            except InvalidEntryError as error:
                self.invalid_records += 1
                return self._refuse(change, held, str(error))
            if entry.service != change.service:
                self.invalid_records += 1
                return self._refuse(change, held, "service: differs from the change's service")
        if entry is None and (held is None or held.entry is None):
            return self._refuse(change, held, "service: nothing to withdraw")
        self._entries[change.service] = EntryState(
            service=change.service,
            revision=revision + 1,
            change_id=change.change_id,
            position=self.position,
            entry=entry,
        )
        return self._record(change, accepted=True, revision=revision + 1)

    def _refuse(self, change: Change, held: EntryState | None, faults: str) -> ChangeOutcome:
        revision = held.revision if held else 0
        beaten_by = held.change_id if held and not faults else ""
        return self._record(
            change, accepted=False, revision=revision, beaten_by=beaten_by, faults=faults
        )

    def _record(
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

    def _apply_part(self, offset: int, part: CheckpointPart) -> None:
        if (
            len(self._pending) >= MAX_PENDING_CHECKPOINTS
            and part.checkpoint_id not in self._pending
        ):
            del self._pending[next(iter(self._pending))]
        parts = self._pending.setdefault(part.checkpoint_id, [])
        parts.append(part)
        if len(parts) < part.parts:
            return
        del self._pending[part.checkpoint_id]
        snapshot = join_checkpoint_parts(parts)
        if snapshot is None:
            self.invalid_records += 1
            return
        self.checkpoint_offset = offset
        # no change in a fold that lost nothing; refills one whose log lost records
        self._join(snapshot)
        self.position = max(self.position, snapshot.position + 1)

    def _join(self, snapshot: CatalogueSnapshot) -> None:
        for state in snapshot.entries:
            held = self._entries.get(state.service)
            if held is not None and held.revision >= state.revision:
                same = held.revision > state.revision or held.change_id == state.change_id
                invariants.check(same, "catalogue-diverged", f"{state.service} {state.revision}")
                continue
            self._entries[state.service] = state
            self.merge_count += 1
        if snapshot.position < self.position:
            return
        for outcome in snapshot.outcomes:
            self._outcomes[outcome.change_id] = outcome


def find_checkpoint(payloads: list[str], first_offset: int) -> CatalogueSnapshot | None:
    """Find a checkpoint from which a new reader may start.

    :param payloads: all records that the log still holds.
    :param first_offset: the offset of the first of them.
    :returns: the newest whole checkpoint after which no record has been forgotten, or ``None``.
    """
    pending: dict[str, list[CheckpointPart]] = {}
    found = None
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
        if found is None or snapshot.position > found.position:
            found = snapshot
    return found
