"""Order and admission of the requests that wait for the servers of one service, in one node.

Bursts exceed the capacity of the servers, and individual hosts become slow for a short time. A
request is feasible while it can still meet its target latency on a host of normal speed. Feasible
requests are placed first, because an infeasible one earns a tenth of their worth. Among both, the
more urgent ones come first, and within a rank those that have come back after a refusal, because
another refusal costs more than a late response of another request. Requests of client accounts
compete within their rank by virtual start time.
"""

from __future__ import annotations

import asyncio
import typing as t

from .fair_queueing import FairQueue
from .fair_queueing import Rank

# a request is feasible while more than this many service times remain until its target
SERVICE_TIME_MARGIN_FACTOR = 1.3
MAX_QUEUED_REQUESTS = 2000


class AccountShare(t.NamedTuple):
    """The client account of a request, as far as it matters for the order of requests.

    :param weight: quota in requests per second, 0 without a quota.
    """

    name: str
    priority: int
    weight: float


# Requests without an account, on public routes, compete with those of accounts as one account.
NO_ACCOUNT = AccountShare("", 0, 0.0)


class PlacementRequest(t.NamedTuple):
    """The requirements of one request on its server.

    :param priority: 0 is the highest priority.
    :param service_time_s: expected service time on a host of normal speed, in seconds.
    :param target_at: time at which the response should be complete, on the dispatcher's clock.
    :param deadline_at: time after which a response is useless, on the dispatcher's clock.
    :param excluded_server_ids: servers that already received an attempt of the request.
    :param idempotent: whether the request may be run more than once.
    :param transfer_price_s: time that a server in another failure domain must save, in seconds.
    :param account: client account, ``None`` if the configuration holds none.
    :param returned: whether the client has had a refusal of the request before.
    """

    priority: int
    service_time_s: float
    target_at: float
    deadline_at: float
    excluded_server_ids: set[str]
    idempotent: bool = True
    transfer_price_s: float = 0.0
    account: AccountShare | None = None
    returned: bool = False

    @property
    def rank(self) -> Rank:
        """Urgency of the request among those of all accounts."""
        return Rank(0 if self.account is None else self.account.priority, self.priority)


class QueuedRequest:
    """A queued request.

    :param placement_future: completes with the load of the chosen server, fails on a rejection.
    :param fair_start: virtual start time among the requests of all accounts.
    """

    __slots__ = ("fair_start", "placement_future", "request")

    def __init__(
        self, *, request: PlacementRequest, placement_future: asyncio.Future, fair_start: float
    ) -> None:
        self.fair_start = fair_start
        self.request = request
        self.placement_future = placement_future


def is_feasible(request: PlacementRequest, now: float) -> bool:
    """Return whether a request can meet its target on a host of normal speed."""
    return now + SERVICE_TIME_MARGIN_FACTOR * request.service_time_s < request.target_at


class RequestQueue:
    """The queued requests of one service, and the order in which they are placed."""

    __slots__ = ("_fair_queue", "_queued")

    def __init__(self) -> None:
        self._queued: list[QueuedRequest] = []
        # ``None`` until a request of a client account arrives
        self._fair_queue: FairQueue | None = None

    def __len__(self) -> int:
        return len(self._queued)

    def __contains__(self, queued: QueuedRequest) -> bool:
        return queued in self._queued

    @property
    def full(self) -> bool:
        """Whether no further request may be queued."""
        return len(self._queued) >= MAX_QUEUED_REQUESTS

    def append(self, queued: QueuedRequest) -> None:
        """Queue a request."""
        self._queued.append(queued)

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request that was placed or refused, or whose caller is gone."""
        self._queued.remove(queued)

    def remove_all(self) -> list[QueuedRequest]:
        """Remove all requests and return them."""
        queued, self._queued = self._queued, []
        return queued

    def record_arrival(self, request: PlacementRequest) -> float:
        """Count a request among those of all accounts; return its virtual start time."""
        if request.account is not None and self._fair_queue is None:
            self._fair_queue = FairQueue()
        if self._fair_queue is None:
            return 0.0
        account = request.account or NO_ACCOUNT
        self._fair_queue.record_arrival(request.rank, account.name)
        return self._fair_queue.assign_start(account.name, account.weight)

    def record_placement(self, queued: QueuedRequest) -> None:
        """Count a request that has got a server among those of all accounts."""
        if self._fair_queue is not None:
            request = queued.request
            account = request.account or NO_ACCOUNT
            self._fair_queue.record_placement(request.rank, account.name, queued.fair_start)

    def is_starved(self, request: PlacementRequest) -> bool:
        """Return whether the rank or the account of a request is served far too rarely."""
        if self._fair_queue is None:
            return False
        return self._fair_queue.is_starved(request.rank, (request.account or NO_ACCOUNT).name)

    def must_wait(self, queued: QueuedRequest, now: float) -> bool:
        """Return whether requests that are queued already come before a new one."""
        if self._fair_queue is None:
            return any(
                other.request.priority <= queued.request.priority
                and is_feasible(other.request, now)
                for other in self._queued
            )
        key = self._get_key(queued, now)
        return any(
            is_feasible(other.request, now) and self._get_key(other, now) < key
            for other in self._queued
        )

    def sort(self, now: float) -> list[QueuedRequest]:
        """Return the queued requests in the order in which they are placed."""
        return sorted(self._queued, key=lambda queued: self._get_key(queued, now))

    def compute_fraction_ahead(self, queued: QueuedRequest, now: float) -> float:
        """Return the fraction of the queued requests that delay a new one.

        With client accounts, only those that come first delay it, so that the excess of one
        account does not lead to refusals of the others.
        """
        if self._fair_queue is None or not self._queued:
            return 1.0
        key = self._get_key(queued, now)
        ahead = sum(self._get_key(other, now) < key for other in self._queued)
        return ahead / len(self._queued)

    def _get_key(self, queued: QueuedRequest, now: float) -> tuple:
        """Return the key by which requests are sorted."""
        request = queued.request
        infeasible = not is_feasible(request, now)
        if self._fair_queue is None:
            return (infeasible, request.priority, not request.returned, request.target_at)
        return (
            not self.is_starved(request),
            request.rank,
            infeasible,
            not request.returned,
            queued.fair_start,
            request.target_at,
        )
