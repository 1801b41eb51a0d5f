"""The budget of extra attempts (retries and hedges) of one service."""

from __future__ import annotations

MAX_SAVED = 20.0
HEDGE_RESERVE = 2.0


class AttemptBudget:
    """Extra attempts, as a share of first attempts.

    :param share: extra attempts earned by each first attempt.

    >>> budget = AttemptBudget(share=0.5)
    >>> budget.take_retry()
    False
    >>> budget.earn(); budget.earn(); budget.take_retry()
    True
    """

    __slots__ = ("_saved", "extra", "first", "share")

    def __init__(self, *, share: float) -> None:
        self.share = share
        self._saved = 0.0
        self.first = 0
        self.extra = 0

    def earn(self) -> None:
        """Note a first attempt."""
        self.first += 1
        self._saved = min(self._saved + self.share, MAX_SAVED)

    def take_retry(self) -> bool:
        """Spend one extra attempt on a retry, if there is one."""
        return self._take(1.0)

    def take_hedge(self) -> bool:
        """Spend one on a hedge; the last ones are left to retries."""
        return self._take(1.0 + HEDGE_RESERVE)

    def _take(self, needed: float) -> bool:
        if self._saved < needed:
            return False
        self._saved -= 1.0
        self.extra += 1
        return True
