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

# weight of an account without a quota, in requests per second
DEFAULT_WEIGHT = 1.0
# A rank or an account is starved while it is served less often than this fraction of how often all
# are served. The limit is a quarter; the margin is for requests that fail after their placement.
MIN_SERVED_FRACTION = 0.4
# The counts of served and refused requests are halved when this many requests have been counted.
COUNT_WINDOW = 200
# A rank or an account with fewer counted requests is not judged.
MIN_COUNT = 10
# Accounts that have sent nothing for longer than the virtual time advances are forgotten when more
# than this many are known.
MAX_ACCOUNTS = 1000


class Rank(t.NamedTuple):
    """Urgency of a request; lower values come first."""

    account_priority: int
    route_priority: int


class _Counts:
    __slots__ = ("arrived", "served")

    def __init__(self) -> None:
        self.arrived = 0.0
        self.served = 0.0


class FairQueue:
    """Virtual times of the accounts, and how often each rank and each account is served.

    >>> queue = FairQueue()
    >>> [queue.assign_start("large", 10.0) for _ in range(3)], queue.assign_start("small", 1.0)
    ([0.0, 0.1, 0.2], 0.0)
    >>> queue.record_placement(Rank(0, 0), "large", 0.2)
    >>> queue.assign_start("small", 1.0), queue.assign_start("other", 1.0)
    (1.0, 0.2)
    """

    __slots__ = ("_all", "_by_group", "_finish_times", "_virtual_time")

    def __init__(self) -> None:
        self._virtual_time = 0.0
        # virtual time at which the last request of each account is finished
        self._finish_times: dict[str, float] = {}
        # counts of each rank and each account
        self._by_group: dict[Rank | str, _Counts] = {}
        self._all = _Counts()

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
        if self._all.arrived >= COUNT_WINDOW:
            self._halve_counts()
        for group in (rank, account):
            self._by_group.setdefault(group, _Counts()).arrived += 1
        self._all.arrived += 1

    def record_placement(self, rank: Rank, account: str, start: float) -> None:
        """Count a request that has got a server.

        :param start: its virtual start time.
        """
        self._virtual_time = max(self._virtual_time, start)
        for group in (rank, account):
            self._by_group.setdefault(group, _Counts()).served += 1
        self._all.served += 1

    def is_starved(self, rank: Rank, account: str) -> bool:
        """Return whether a rank or an account is served far less often than all requests are."""
        for group in (rank, account):
            counts = self._by_group.get(group)
            if counts is None or counts.arrived < MIN_COUNT:
                continue
            served_fraction = counts.served / counts.arrived
            if served_fraction < MIN_SERVED_FRACTION * self._all.served / self._all.arrived:
                return True
        return False

    def _halve_counts(self) -> None:
        for counts in (self._all, *self._by_group.values()):
            counts.arrived /= 2
            counts.served /= 2
        self._by_group = {
            group: counts for group, counts in self._by_group.items() if counts.arrived >= 1.0
        }
