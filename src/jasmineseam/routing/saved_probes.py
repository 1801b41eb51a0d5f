"""Probes of a server that a node saves up from its equal share of the limit.

It answers a load in which many nodes use the same few servers and each has a request only now and
then. The share of a node is one probe of a server in seconds, and two of its requests often follow
each other within that time: at 110 nodes, 5 servers and 58 requests/s, a node needs 0.24 probes/s
of each server and has 0.3. With an interval between probes, the second request got no report.
"""

from __future__ import annotations

# Over this time, all nodes together stay within the limit, whatever they have saved, in seconds.
LIMIT_PERIOD_S = 30.0
# Part of the limit that equal shares leave for saved probes.
SAVED_LIMIT_FRACTION = 0.2
# Shares that allow a probe as often as this don't need to be saved, in seconds.
SUFFICIENT_INTERVAL_S = 0.25
# More saved probes than this would be used by one burst of requests.
MAX_SAVED_PROBES = 4.0
# Servers that were not probed for this time are forgotten, in seconds.
RETENTION_S = 60.0


def compute_max_saved_probes(interval_s: float) -> float:
    """Return how many probes of a server a node may send at once, after a time without any.

    :param interval_s: interval of probes by the node's equal share, in seconds.

    >>> [round(compute_max_saved_probes(interval_s), 2) for interval_s in (0.125, 0.5, 3.3, 9.0)]
    [1.0, 2.0, 2.27, 1.0]
    """
    # The shares use the rest of the limit, so an interval of one second leaves this much of it.
    unused = SAVED_LIMIT_FRACTION * LIMIT_PERIOD_S / (1.0 - SAVED_LIMIT_FRACTION)
    needed = interval_s / SUFFICIENT_INTERVAL_S
    return max(1.0, min(MAX_SAVED_PROBES, needed, unused / interval_s))


class SavedProbes:
    """When this node may probe each server, by a virtual schedule of its equal share.

    A node starts without saved probes.

    >>> saved = SavedProbes()
    >>> def probe(now):
    ...     if not saved.may_probe("s", interval_s=2.0, now=now):
    ...         return False
    ...     saved.record_probe("s", interval_s=2.0, now=now)
    ...     return True
    >>> [probe(now) for now in (0.0, 0.5, 2.0, 12.0, 12.0, 12.0, 12.0, 12.5)]
    [True, False, True, True, True, True, False, True]
    """

    __slots__ = ("_due_at",)

    def __init__(self) -> None:
        # time at which the next probe of each server is due if none is saved
        self._due_at: dict[str, float] = {}

    def may_probe(self, server_id: str, *, interval_s: float, now: float) -> bool:
        """Return whether a probe is due, or one is saved."""
        due_at = self._due_at.get(server_id)
        if due_at is None:
            return True
        return now >= due_at - (compute_max_saved_probes(interval_s) - 1.0) * interval_s

    def record_probe(self, server_id: str, *, interval_s: float, now: float) -> None:
        """Count a probe."""
        due_at = self._due_at.pop(server_id, None)
        if due_at is None:
            due_at = now + (compute_max_saved_probes(interval_s) - 1.0) * interval_s
        self._due_at[server_id] = max(due_at, now) + interval_s
        self._forget_old(now)

    def _forget_old(self, now: float) -> None:
        for server_id, due_at in list(self._due_at.items()):
            if due_at > now - RETENTION_S:
                return
            del self._due_at[server_id]
