"""Positions in the metadata store, which a restore of the store invalidates."""

from __future__ import annotations

import typing as t


class StorePosition(t.NamedTuple):
    """A position in one topic of the metadata store.

    When the store is restored from a backup, a new timeline begins: records after the backup are
    lost, and their offsets are assigned again. Offsets of different timelines are therefore not
    comparable. Positions are ordered by timeline first.

    :param timeline: number of the store's timeline; each restore increases it.
    :param offset: offset of the next record in this timeline.

    >>> StorePosition(2, 3) > StorePosition(1, 90)
    True
    """

    timeline: int
    offset: int


# lower than every position in a store
UNKNOWN_POSITION = StorePosition(-1, -1)
