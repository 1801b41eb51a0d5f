"""Adaptive limit of the requests that one entry process keeps in flight at a service's servers.

Requests above the limit are queued in the entry process, where they can still be sent to the first
server that becomes free.
"""

from __future__ import annotations

# decrease of the limit per rejected request, in requests; for each queued request in a load
# report, the limit decreases by this step divided by the limit
DECREASE_STEP_REQUESTS = 0.5
# the lower bound of the limit, as a multiple of this process's fair share of the slots
FAIR_SHARE_HEADROOM_FACTOR = 1.25


class ConcurrencyLimit:
    """Concurrency limit of one service in one entry process.

    The limit increases with each response whose load report shows no queued requests, and
    decreases with each response whose report shows queued requests. Its lower bound is this
    process's fair share of the slots times ``FAIR_SHARE_HEADROOM_FACTOR``, its upper bound is the
    total number of slots or the lower bound, whichever is greater.

    >>> limit = ConcurrencyLimit()
    >>> limit.set_capacity(slots_per_server=4, server_count=30, entry_process_count=6)
    >>> limit.value
    25.0
    """

    __slots__ = ("_max_value", "_min_value", "value")

    def __init__(self) -> None:
        self._min_value = 1.0
        self._max_value = 1.0
        self.value = 0.0

    def set_capacity(
        self, *, slots_per_server: int, server_count: int, entry_process_count: int
    ) -> None:
        """Set the capacity of the servers and the number of entry processes that share it."""
        total = max(1, slots_per_server * server_count)
        self._min_value = max(
            1.0, FAIR_SHARE_HEADROOM_FACTOR * total / max(1, entry_process_count)
        )
        self._max_value = max(self._min_value, float(total))
        if self.value == 0.0:
            self.value = self._min_value
        self._clamp()

    def record_report(self, in_flight: int, slots: int) -> None:
        """Adapt the limit to the load report of one response.

        :param in_flight: requests at the server, queued ones included.
        :param slots: requests that the server runs concurrently.
        """
        if in_flight > slots:
            self.value -= DECREASE_STEP_REQUESTS / self.value * (in_flight - slots)
        else:
            self.value += 1.0 / self.value
        self._clamp()

    def record_shed_request(self) -> None:
        """Lower the limit after an overloaded server rejected a request."""
        self.value -= DECREASE_STEP_REQUESTS
        self._clamp()

    def _clamp(self) -> None:
        self.value = min(max(self.value, self._min_value), self._max_value)
