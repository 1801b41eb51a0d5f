"""Whether one node reaches the servers of a service.

A node that is cut off from all servers sees what it would see if all of them had failed; other
nodes may still reach them. The path is in doubt if several servers in a row fail and none of them
shows a sign of life in between, or if no connection to a server can be opened. It is lost if new
connections to further servers fail as well.
"""

from __future__ import annotations

import random
import typing as t

# number of different servers that must fail in a row, unless the service has fewer
FAILED_SERVERS_TO_DOUBT = 3
# A path that is back carries a growing fraction of the requests for this time, in seconds, so that
# the servers do not get all of them, and new connections for them, at once.
RETURN_RAMP_S = 2.0
MIN_RETURN_FRACTION = 0.1


class ServicePath:
    """The path of this node to the servers of one service.

    :param clock: returns monotonic time in seconds.
    """

    __slots__ = (
        "_clock",
        "_connected_at",
        "_failed_ids",
        "_returned_at",
        "last_response_at",
        "lost",
        "on_doubt",
        "open_connections_respond",
        "server_count",
    )

    def __init__(self, *, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        # servers that have failed since the last sign of life of any server
        self._failed_ids: set[str] = set()
        self._connected_at = float("-inf")
        self._returned_at = float("-inf")
        self.last_response_at = float("-inf")
        self.lost = False
        # whether servers respond on connections that were opened before the path was lost
        self.open_connections_respond = True
        # number of servers that this node uses
        self.server_count = 0
        # Called when the path is in doubt.
        self.on_doubt: t.Callable[[], None] = lambda: None

    def record_response(self) -> None:
        """Record a sign of life of a server."""
        self.last_response_at = self._clock()
        self.open_connections_respond = True
        self._failed_ids.clear()

    def record_connection(self) -> None:
        """Record that a connection to a server was opened."""
        self.record_response()
        self._connected_at = self._clock()

    def record_connect_failure(self, server_id: str, started_at: float) -> None:
        """Record that no connection to a server could be opened.

        :param started_at: time at which the attempt to connect began.
        """
        self.record_failure(server_id, started_at)
        if not self.lost and started_at >= self._connected_at:
            self.on_doubt()

    def record_failure(self, server_id: str, sent_at: float) -> None:
        """Record that a server did not respond in time, or that its connection broke.

        :param sent_at: time at which the request was sent; the failure does not count if any
            server has shown a sign of life since then.
        """
        if sent_at < self.last_response_at:
            return
        self._failed_ids.add(server_id)
        if not self.lost and self.is_silent():
            self.on_doubt()

    def is_silent(self) -> bool:
        """Return whether several servers have failed, with no sign of life in between."""
        return len(self._failed_ids) >= max(1, min(FAILED_SERVERS_TO_DOUBT, self.server_count))

    def mark_lost(self) -> None:
        """Take the path as lost until :meth:`mark_returned` is called."""
        self.lost = True
        self.open_connections_respond = not self.is_silent()

    def mark_returned(self) -> None:
        """Use the path again, for a growing fraction of the requests."""
        self.lost = False
        self._returned_at = self._clock()
        self.dismiss_doubt()

    def dismiss_doubt(self) -> None:
        """Forget the failures, which were not caused by the path."""
        self._failed_ids.clear()

    def draw_direct(self, rng: random.Random) -> bool:
        """Return whether a request should use this path; random while the path is returning."""
        if self.lost:
            return False
        fraction = (self._clock() - self._returned_at) / RETURN_RAMP_S
        return fraction >= 1.0 or rng.random() < max(MIN_RETURN_FRACTION, fraction)
