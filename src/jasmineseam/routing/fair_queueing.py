"""Order in which the requests of client accounts compete for the servers of one service.

Answers the load of a service that has less capacity than its accounts demand, in particular of one
account that sends several times its usual demand. Within a rank, start-time fair queueing shares
the capacity by the accounts' quotas: each request gets a virtual start time, which lies behind
that of the account's previous request by the inverse of its quota. The excess of an account
therefore waits behind the requests of the others, and is refused first.

A rank or an account that is served far less often than all is moved to the front, so that none is
starved.
"""

from __future__ import annotations

import typing as t

from .placement_counts import PlacementCounts

# weight of an account without a quota, in requests per second
DEFAULT_WEIGHT = 1.0
# The counts of arrived and placed requests are halved when this many requests have been counted.
COUNT_WINDOW = 200
# Accounts that have sent nothing for longer than the virtual time advances are forgotten when more
# than this many are known.
MAX_ACCOUNTS = 1000


class Rank(t.NamedTuple):
    """Urgency of a request; lower values come first."""

    account_priority: int
    route_priority: int


class FairQueue:
    """Virtual times of the accounts, and how often each rank and each account is served.

    >>> queue = FairQueue()
    >>> [queue.assign_start("large", 10.0) for _ in range(3)], queue.assign_start("small", 1.0)
    ([0.0, 0.1, 0.2], 0.0)
    >>> queue.record_placement(Rank(0, 0), "large", 0.2)
    >>> queue.assign_start("small", 1.0), queue.assign_start("other", 1.0)
    (1.0, 0.2)
    """

    __slots__ = ("_counts", "_finish_times", "_virtual_time")

    def __init__(self) -> None:
        self._virtual_time = 0.0
        # virtual time at which the last request of each account is finished
        self._finish_times: dict[str, float] = {}
        # of each rank and each account
        self._counts = PlacementCounts(window=COUNT_WINDOW)

    def assign_start(self, account: str, weight: float) -> float:
        """Return the virtual start time of a request that arrives now.

        :param weight: share of the account; its quota in requests per second, 0 without a quota.
        """
        start = max(self._virtual_time, self._finish_times.get(account, 0.0))
        if len(self._finish_times) > MAX_ACCOUNTS:
            self._finish_times = {
                name: finish
                for name, finish in self._finish_times.items()
                if finish > self._virtual_time
            }
        self._finish_times[account] = start + 1.0 / (weight or DEFAULT_WEIGHT)
        return start

    def record_arrival(self, rank: Rank, account: str) -> None:
        """Count a request that needs a server."""
        self._counts.record_arrival(rank, account)

    def record_placement(self, rank: Rank, account: str, start: float) -> None:
        """Count a request that has got a server.

        :param start: its virtual start time.
        """
        self._virtual_time = max(self._virtual_time, start)
        self._counts.record_placement(rank, account)

    def is_starved(self, rank: Rank, account: str) -> bool:
        """Return whether a rank or an account is served far less often than all requests are."""
        return self._counts.is_starved(rank, account)
