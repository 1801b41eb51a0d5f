"""The budget of extra attempts (retries and hedges) of one service."""

from __future__ import annotations

MAX_SAVED_ATTEMPTS = 20.0
HEDGE_RESERVE_ATTEMPTS = 2.0


class RetryBudget:
    """Extra attempts, as a share of first attempts.

    :param share: extra attempts earned by each first attempt.

    >>> budget = AttemptBudget(share=0.5)
    >>> budget.take_retry()
    False
    >>> budget.earn(); budget.earn(); budget.take_retry()
    True
    """

    __slots__ = ("_saved", "extra_attempts", "first_attempts", "share")

    def __init__(self, *, share: float) -> None:
        self.share = share
        self._saved = 0.0
        self.first_attempts = 0
        self.extra_attempts = 0

    def record_first_attempt(self) -> None:
        """Note a first attempt."""
        self.first_attempts += 1
        self._saved = min(self._saved + self.share, MAX_SAVED_ATTEMPTS)

    def take_retry(self) -> bool:
        """Spend one extra attempt on a retry, if there is one."""
        return self._take(1.0)

    def take_hedge(self) -> bool:
        """Spend one on a hedge; the last ones are left to retries."""
        return self._take(1.0 + HEDGE_RESERVE_ATTEMPTS)

    def _take(self, needed: float) -> bool:
        if self._saved < needed:
            return False
        self._saved -= 1.0
        self.extra_attempts += 1
        return True
