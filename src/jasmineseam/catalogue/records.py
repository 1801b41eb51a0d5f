"""The records of the catalogue's log, and their codec.

Every record is one JSON document. Readers count and skip records that they cannot decode.
"""

from __future__ import annotations

import typing as t

import msgspec
import xxhash

from .entry import CatalogueEntry

MAX_ENTRIES_PER_CHECKPOINT_PART = 100


class Change(msgspec.Struct, kw_only=True, tag="change", tag_field="type"):
    """A change of one entry, published by an operator.

    :param change_id: id set by the publisher; repeated records with the same id are ignored.
    :param service: name of the service.
    :param base_revision: revision on which the change is based, 0 for a new entry.
    :param body: the new entry as plain data, ``None`` to withdraw the entry.
    """

    change_id: t.Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    service: t.Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    base_revision: t.Annotated[int, msgspec.Meta(ge=0)]
    body: dict[str, t.Any] | None = None


class EntryState(msgspec.Struct, kw_only=True):
    """The latest accepted state of one entry.

    :param revision: number of accepted changes of the entry; never decreases, not even when the
        entry is withdrawn.
    :param change_id: id of the change that produced this revision.
    :param position: number of records applied to the catalogue, up to and including that change.
    :param entry: the entry, ``None`` if withdrawn.
    """

    service: str
    revision: int
    change_id: str
    position: int
    entry: CatalogueEntry | None = None


class ChangeOutcome(msgspec.Struct, kw_only=True):
    """The result of applying a change in the order of the log.

    :param accepted: whether the change was accepted.
    :param revision: revision of the entry after the change was accepted or rejected.
    :param position: number of records applied to the catalogue, up to and including the change.
    :param beaten_by: id of the latest accepted change of the entry, if this change was rejected
        because its base revision is not the current one.
    :param faults: validation errors, if the change was rejected as invalid.
    """

    change_id: str
    accepted: bool
    revision: int
    position: int
    beaten_by: str = ""
    faults: str = ""


class CatalogueSnapshot(msgspec.Struct, kw_only=True):
    """The complete state of a catalogue, determined by the records of the log up to an offset.

    :param next_offset: offset of the first record that is not included.
    :param position: number of records applied since the first one, including those that the log
        has trimmed.
    :param last_digest: digest of the last applied record, used to detect a rewritten log.
    """

    next_offset: int
    position: int
    last_digest: str
    entries: list[EntryState]
    outcomes: list[ChangeOutcome]


class CheckpointPart(msgspec.Struct, kw_only=True, tag="checkpoint", tag_field="type"):
    """One part of a checkpoint, a snapshot that an agent appends to the log.

    A reader can start from a checkpoint after the log has trimmed older records.

    :param checkpoint_id: id of the checkpoint, the same for all of its parts.
    :param part: index of the part, starting at 0.
    :param parts: number of parts of the checkpoint.
    :param digest: digest of the complete snapshot.
    :param snapshot: a snapshot with the entries of this part only.
    """

    checkpoint_id: str
    part: int
    parts: int
    digest: str
    snapshot: CatalogueSnapshot


Record = Change | CheckpointPart
_decoder = msgspec.json.Decoder(Record)
_encoder = msgspec.json.Encoder(order="deterministic")


def encode_record(record: Record) -> str:
    """Encode a record for the log."""
    return _encoder.encode(record).decode()


def decode_record(payload: str) -> Record:
    """Decode a record.

    :raises msgspec.MsgspecError: if the payload is not a valid record.
    """
    return _decoder.decode(payload)


def compute_snapshot_digest(snapshot: CatalogueSnapshot) -> str:
    """Return the digest of a snapshot, equal for equal snapshots on all VMs."""
    return xxhash.xxh3_128_hexdigest(_encoder.encode(snapshot))


def compute_payload_digest(payload: str) -> str:
    """Return the digest of an encoded record."""
    return xxhash.xxh3_64_hexdigest(payload.encode("utf-8", "surrogatepass"))


def split_snapshot(checkpoint_id: str, snapshot: CatalogueSnapshot) -> list[CheckpointPart]:
    """Split a snapshot into checkpoint parts that fit into records of the log."""
    digest = compute_snapshot_digest(snapshot)
    starts = range(0, max(1, len(snapshot.entries)), MAX_ENTRIES_PER_CHECKPOINT_PART)
    parts = []
    for index, start in enumerate(starts):
        part_snapshot = CatalogueSnapshot(
            next_offset=snapshot.next_offset,
            position=snapshot.position,
            last_digest=snapshot.last_digest,
            entries=snapshot.entries[start : start + MAX_ENTRIES_PER_CHECKPOINT_PART],
            outcomes=snapshot.outcomes if index == 0 else [],
        )
        part = CheckpointPart(
            checkpoint_id=checkpoint_id,
            part=index,
            parts=len(starts),
            digest=digest,
            snapshot=part_snapshot,
        )
        parts.append(part)
    return parts


def join_checkpoint_parts(parts: list[CheckpointPart]) -> CatalogueSnapshot | None:
    """Join the parts of a checkpoint; return ``None`` if a part is missing or corrupt."""
    by_index = {part.part: part for part in parts}
    first = by_index.get(0)
    if first is None or len(by_index) != first.parts:
        return None
    entries = []
    for index in range(first.parts):
        if index not in by_index:
            return None
        entries.extend(by_index[index].snapshot.entries)
    snapshot = CatalogueSnapshot(
        next_offset=first.snapshot.next_offset,
        position=first.snapshot.position,
        last_digest=first.snapshot.last_digest,
        entries=entries,
        outcomes=first.snapshot.outcomes,
    )
    if compute_snapshot_digest(snapshot) != first.digest:
        return None
    return snapshot
