"""How nodes learn the load of servers: from shared probes, or by probing before each placement.

In a small fleet, each server is probed often by one node, which sends the reports to all others.
The number of these notices grows with the square of the number of nodes, so the interval between
the notices of one node grows with the number of nodes. Reports that would be too old by then are
not shared; each node probes a few servers itself when it places a request.
"""

from __future__ import annotations

MIN_NOTICE_INTERVAL_S = 0.02
# With a longer interval, a report would describe a state that has probably changed.
MAX_NOTICE_INTERVAL_S = 0.04
# notices that one node receives from all others
MAX_NOTICES_PER_S = 300.0


def compute_notice_interval_s(node_count: int) -> float | None:
    """Return the interval between the load notices of one node, ``None`` if none are sent.

    >>> [compute_notice_interval_s(count) for count in (1, 7, 13, 39)]
    [0.02, 0.02, 0.04, None]
    """
    interval_s = max(MIN_NOTICE_INTERVAL_S, (node_count - 1) / MAX_NOTICES_PER_S)
    return interval_s if interval_s <= MAX_NOTICE_INTERVAL_S else None
