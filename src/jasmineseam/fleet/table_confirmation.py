"""How long ago it was confirmed that the routing table of this node is the newest one.

Nodes that read the store confirm their table. The others learn the age of the confirmation from
the digests in the messages of other nodes.
"""

from __future__ import annotations

import math
import typing as t

from ..peers.messages import StateDigest

# A node of an earlier build sends only the age of its server list. The nodes that read the store
# read the routing table up to this much less often than the list.
TABLE_READ_LAG_S = 1.4
# A table is current if it was confirmed within this time, plus a time for each doubling of the
# number of nodes, in which confirmations reach all of them. Readers confirm it at least every
# 2.3 s: they leave out a read after a long poll that has ended, of which only the start counts.
MAX_TABLE_AGE_S = 2.6
SPREAD_TIME_PER_DOUBLING_S = 0.25
# Largest age that digests state, also if there was no confirmation.
MAX_AGE_MS = 2**31


class TableConfirmation:
    """Tracks the newest confirmation of this node's routing table.

    A confirmation at a time means that no table newer than this node's existed then. It stays true
    when the node applies a newer table.

    :param clock: returns monotonic time in seconds.
    :param get_node_count: returns the number of nodes.

    >>> confirmation = TableConfirmation(clock=lambda: 10.0)
    >>> confirmation.is_current()
    False
    >>> confirmation.confirm(1.5)
    >>> confirmation.is_current(), confirmation.get_age_s()
    (True, 1.5)
    """

    __slots__ = (
        "_clock",
        "_confirmed_at",
        "_newer_seen_at",
        "get_node_count",
        "provisional",
        "wanted_version",
    )

    def __init__(
        self, *, clock: t.Callable[[], float], get_node_count: t.Callable[[], int] = lambda: 1
    ) -> None:
        self._clock = clock
        self._confirmed_at = float("-inf")
        self._newer_seen_at = float("-inf")
        self.get_node_count = get_node_count
        # Whether the table comes from a node of an earlier build, which leaves out the fields that
        # it does not know, such as the client accounts.
        self.provisional = False
        # Newest version that only nodes of an earlier build are known to have, -1 for none. This
        # node reads it from the store.
        self.wanted_version = -1

    def confirm(self, age_s: float) -> None:
        """Record that the table was the newest one some time ago.

        :param age_s: time since then, in seconds.
        """
        self._confirmed_at = max(self._confirmed_at, self._clock() - age_s)

    def record_table(self, version: int, *, provisional: bool = False) -> None:
        """Record that this node has applied a newer table, or a complete one."""
        self._newer_seen_at = float("-inf")
        self.provisional = provisional
        if provisional:
            self.wanted_version = version
        elif version >= self.wanted_version:
            self.wanted_version = -1

    def needs_read(self) -> bool:
        """Return whether this node has to read the table from the store by itself."""
        return self.wanted_version >= 0

    def record_digest(self, digest: StateDigest, own_version: int) -> None:
        """Take over the confirmation of another node, unless it knows a newer table.

        :param own_version: version of this node's table.
        """
        if digest.table_version > own_version:
            self._newer_seen_at = self._clock()
            return
        if digest.table_version < 0:
            return
        if sends_complete_tables(digest):
            if digest.table_age_ms < MAX_AGE_MS:
                self.confirm(digest.table_age_ms / 1000)
        elif digest.servers_age_ms >= 0:
            self.confirm(digest.servers_age_ms / 1000 + TABLE_READ_LAG_S)

    def get_age_s(self) -> float:
        """Return the time since the newest confirmation, in seconds."""
        return self._clock() - self._confirmed_at

    def get_age_ms(self) -> int:
        """Return the age as digests state it.

        A node with a provisional table presents itself as one of an earlier build, since it would
        send the others an incomplete table.
        """
        if self.provisional:
            return -1
        return min(round(min(1000 * self.get_age_s(), MAX_AGE_MS)), MAX_AGE_MS)

    def is_current(self) -> bool:
        """Return whether there is no reason to think that a newer table exists."""
        max_age_s = MAX_TABLE_AGE_S + SPREAD_TIME_PER_DOUBLING_S * math.log2(
            max(1, self.get_node_count())
        )
        if self._clock() - self._newer_seen_at <= max_age_s:
            return False
        return self.get_age_s() <= max_age_s


def sends_complete_tables(digest: StateDigest) -> bool:
    """Return whether a node knows all fields of the routing table, judging by its digest."""
    return digest.table_age_ms >= 0
