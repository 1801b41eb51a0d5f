"""The bound on extra attempts at one service in a sliding window, shared by all nodes."""

from __future__ import annotations

import collections

# part of the bound that is used, so that nodes that disagree on their number stay within it
SHARE_SAFETY_FACTOR = 0.8
ALLOWANCE_SAFETY_FACTOR = 0.5
BUCKET_DURATION_S = 0.25


class SlidingWindowRetryBudget:
    """One node's part of the bound.

    :param share: extra attempts for each request of the window.
    :param allowance: extra attempts in a window beyond that share, for all nodes.
    :param window_s: the window's length in seconds.
    :param clock: returns seconds, monotonic.

    >>> budget = WindowBudget(share=0.0, allowance=4.0, window_s=10.0, clock=lambda: 0.0)
    >>> budget.nodes = 1
    >>> [budget.take() for _ in range(3)]
    [True, True, False]
    """

    __slots__ = (
        "_allowance",
        "_buckets",
        "_clock",
        "_extra",
        "_first",
        "_share",
        "_window_s",
        "node_count",
    )

    def __init__(self, *, share: float, allowance: float, window_s: float, clock) -> None:
        self._share = share * SHARE_SAFETY_FACTOR
        self._allowance = allowance * ALLOWANCE_SAFETY_FACTOR
        self._window_s = window_s
        self._clock = clock
        # start time, requests and extra attempts of each part of the window
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._first = 0
        self._extra = 0
        self.node_count = 1

    def set_limits(self, share: float, allowance: float) -> None:
        """Take another bound."""
        self._share = share * SHARE_SAFETY_FACTOR
        self._allowance = allowance * ALLOWANCE_SAFETY_FACTOR

    def record_request(self) -> None:
        """Note a request's arrival."""
        self._get_bucket()[1] += 1
        self._first += 1

    def take_attempt(self, reserved_fraction: float = 0.0) -> bool:
        """Take the right to one extra attempt, if there is one.

        :param reserve: part of the bound, 0 to 1, that is left to others.
        """
        bucket = self._get_bucket()
        bound = self._share * self._first + self._allowance / max(1, self.node_count)
        if self._extra + 1 > bound * (1.0 - reserved_fraction):
            return False
        bucket[2] += 1
        self._extra += 1
        return True

    def _get_bucket(self) -> list[float]:
        now = self._clock()
        buckets = self._buckets
        while buckets and buckets[0][0] <= now - self._window_s - BUCKET_DURATION_S:
            _, first, extra = buckets.popleft()
            self._first -= first
            self._extra -= extra
        if not buckets or now - buckets[-1][0] >= BUCKET_DURATION_S:
            buckets.append([now, 0, 0])
        return buckets[-1]
