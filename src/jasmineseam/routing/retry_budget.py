"""Budget of one service for extra attempts, which are retries and hedges."""

from __future__ import annotations

BUCKET_CAPACITY_ATTEMPTS = 20.0
# number of extra attempts that must remain in the bucket for retries after a hedge is sent
RETRY_RESERVE_ATTEMPTS = 2.0


class RetryBudget:
    """Token bucket that limits extra attempts to a fraction of the first attempts.

    :param extra_attempt_share: extra attempts that each first attempt adds to the bucket.

    >>> budget = RetryBudget(extra_attempt_share=0.5)
    >>> budget.take_retry()
    False
    >>> budget.record_first_attempt(); budget.record_first_attempt(); budget.take_retry()
    True
    """

    __slots__ = ("_tokens", "extra_attempt_share", "extra_attempts", "first_attempts")

    def __init__(self, *, extra_attempt_share: float) -> None:
        self.extra_attempt_share = extra_attempt_share
        self._tokens = 0.0
        self.first_attempts = 0
        self.extra_attempts = 0

    def record_first_attempt(self) -> None:
        """Record a first attempt, which adds ``extra_attempt_share`` to the bucket."""
        self.first_attempts += 1
        self._tokens = min(self._tokens + self.extra_attempt_share, BUCKET_CAPACITY_ATTEMPTS)

    def take_retry(self) -> bool:
        """Spend one extra attempt on a retry; returns whether the budget allows it."""
        return self._take(1.0)

    def take_hedge(self) -> bool:
        """Spend one extra attempt on a hedge; returns whether the budget allows it.

        At least ``RETRY_RESERVE_ATTEMPTS`` extra attempts must remain for retries.
        """
        return self._take(1.0 + RETRY_RESERVE_ATTEMPTS)

    def _take(self, required_tokens: float) -> bool:
        if self._tokens < required_tokens:
            return False
        self._tokens -= 1.0
        self.extra_attempts += 1
        return True
