"""The records of the catalogue's log, and their codec.

Every record is one JSON document. A reader refuses what it cannot decode, counts it, and goes on.
"""

from __future__ import annotations

import typing as t

import msgspec
import xxhash

from .entry import CatalogueEntry

MAX_ENTRIES_PER_CHECKPOINT_PART = 100


class Change(msgspec.Struct, kw_only=True, tag="change", tag_field="type"):
    """An operator's change of one entry.

    :param change_id: chosen by the publisher; its first occurrence in the log counts.
    :param service: the entry's name.
    :param base_revision: the revision that the operator saw, 0 for a new entry.
    :param body: the new entry as plain data, ``None`` to withdraw it.
    """

    change_id: t.Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    service: t.Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
    base_revision: t.Annotated[int, msgspec.Meta(ge=0)]
    body: dict[str, t.Any] | None = None


class EntryState(msgspec.Struct, kw_only=True):
    """The newest accepted state of one entry.

    :param revision: counts the entry's accepted changes; never falls, not even by withdrawal.
    :param change_id: the change that gave this revision.
    :param position: the fold's position when it did.
    :param entry: ``None`` once withdrawn.
    """

    service: str
    revision: int
    change_id: str
    position: int
    entry: CatalogueEntry | None = None


class ChangeOutcome(msgspec.Struct, kw_only=True):
    """What the log's order made of a change.

    :param accepted: whether it is in force.
    :param revision: the entry's revision after it, or the one that beat it.
    :param beaten_by: the change that holds the entry, if this one was refused.
    :param faults: why the body was refused, if it was.
    """

    change_id: str
    accepted: bool
    revision: int
    position: int
    beaten_by: str = ""
    faults: str = ""


class CatalogueSnapshot(msgspec.Struct, kw_only=True):
    """A fold's whole state: a pure function of the log's records up to an offset.

    :param next_offset: the offset of the first record that is not part of it.
    :param position: records folded since the first, those that the log forgot included.
    :param last_digest: digest of the last folded record, to notice a rewritten log.
    """

    next_offset: int
    position: int
    last_digest: str
    entries: list[EntryState]
    outcomes: list[ChangeOutcome]


class CheckpointPart(msgspec.Struct, kw_only=True, tag="checkpoint", tag_field="type"):
    """A part of a snapshot that an agent appends, so that the log may forget older records.

    :param checkpoint_id: the same for all parts of one checkpoint.
    :param digest: of the whole snapshot.
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

    :raises msgspec.MsgspecError: if it is not one.
    """
    return _decoder.decode(payload)


def compute_snapshot_digest(snapshot: CatalogueSnapshot) -> str:
    """Digest a snapshot, independent of where it is read."""
    return xxhash.xxh3_128_hexdigest(_encoder.encode(snapshot))


def compute_payload_digest(payload: str) -> str:
    """Digest one record as it stands in the log."""
    return xxhash.xxh3_64_hexdigest(payload.encode("utf-8", "surrogatepass"))


def split_snapshot(checkpoint_id: str, snapshot: CatalogueSnapshot) -> list[CheckpointPart]:
    """Cut a snapshot into parts that fit into log records."""
    digest = compute_snapshot_digest(snapshot)
    starts = range(0, max(1, len(snapshot.entries)), MAX_ENTRIES_PER_CHECKPOINT_PART)
    parts = []
    for index, start in enumerate(starts):
        piece = CatalogueSnapshot(
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
            snapshot=piece,
        )
        parts.append(part)
    return parts


def join_checkpoint_parts(parts: list[CheckpointPart]) -> CatalogueSnapshot | None:
    """Put a checkpoint together again, or return ``None`` if a part is missing or damaged."""
    by_index = {part.part: part for part in parts}
    first = by_index.get(0)
    if first is None or len(by_index) != first.parts:
        return None
    entries = []
    for index in range(first.parts):
        if index not in by_index:
            return None
        entries.extend(by_index[index].snapshot.entries)
    whole = CatalogueSnapshot(
        next_offset=first.snapshot.next_offset,
        position=first.snapshot.position,
        last_digest=first.snapshot.last_digest,
        entries=entries,
        outcomes=first.snapshot.outcomes,
    )
    if compute_snapshot_digest(whole) != first.digest:
        return None
    return whole
