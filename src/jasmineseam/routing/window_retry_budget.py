"""Limit of extra attempts at one service in a sliding window, shared by all nodes."""

from __future__ import annotations

import collections

# Each node multiplies ``share`` and ``allowance`` by these factors, so that all nodes together
# stay within the limit even while ``node_count``, the number of nodes among which the allowance is
# divided, differs between nodes.
SHARE_SAFETY_FACTOR = 0.8
ALLOWANCE_SAFETY_FACTOR = 0.5
BUCKET_DURATION_S = 0.25


class SlidingWindowRetryBudget:
    """Budget of one node for extra attempts at one service.

    :param share: extra attempts that are allowed per request in the window.
    :param allowance: extra attempts that all nodes together may send per window in addition to
        ``share``.
    :param window_s: length of the window in seconds.
    :param clock: returns monotonic time in seconds.

    >>> budget = SlidingWindowRetryBudget(
    ...     share=0.0, allowance=4.0, window_s=10.0, clock=lambda: 0.0
    ... )
    >>> budget.node_count = 1
    >>> [budget.take_attempt() for _ in range(3)]
    [True, True, False]
    """

    __slots__ = (
        "_allowance",
        "_buckets",
        "_clock",
        "_extra_attempts",
        "_requests",
        "_share",
        "_window_s",
        "node_count",
    )

    def __init__(self, *, share: float, allowance: float, window_s: float, clock) -> None:
        self._share = share * SHARE_SAFETY_FACTOR
        self._allowance = allowance * ALLOWANCE_SAFETY_FACTOR
        self._window_s = window_s
        self._clock = clock
        # start time, number of requests and number of extra attempts of each bucket of the window
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._requests = 0
        self._extra_attempts = 0
        self.node_count = 1

    def set_limits(self, share: float, allowance: float) -> None:
        """Replace the limits; requests and attempts already in the window still count."""
        self._share = share * SHARE_SAFETY_FACTOR
        self._allowance = allowance * ALLOWANCE_SAFETY_FACTOR

    def record_request(self) -> None:
        """Record the arrival of a request."""
        self._get_bucket()[1] += 1
        self._requests += 1

    def take_attempt(self, reserved_fraction: float = 0.0) -> bool:
        """Spend one extra attempt; returns whether the limit allows it.

        :param reserved_fraction: fraction of the limit that must remain unused, 0 to 1.
        """
        bucket = self._get_bucket()
        limit = self._share * self._requests + self._allowance / max(1, self.node_count)
        if self._extra_attempts + 1 > limit * (1.0 - reserved_fraction):
            return False
        bucket[2] += 1
        self._extra_attempts += 1
        return True

    def _get_bucket(self) -> list[float]:
        now = self._clock()
        buckets = self._buckets
        while buckets and buckets[0][0] <= now - self._window_s - BUCKET_DURATION_S:
            _, requests, extra_attempts = buckets.popleft()
            self._requests -= requests
            self._extra_attempts -= extra_attempts
        if not buckets or now - buckets[-1][0] >= BUCKET_DURATION_S:
            buckets.append([now, 0, 0])
        return buckets[-1]
