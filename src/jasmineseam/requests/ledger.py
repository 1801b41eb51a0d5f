"""The ledger of a home: decides, alone, whether a key may run.

A key runs at most once. The ledger holds every key of every issue period it still answers for, so
a key that it does not hold was never started. Older periods are dropped whole, and their keys
answered as unknown.

A refusal is final for its key, as a late copy of the same request may still arrive: the caller
asks again with a new key. For the same reason a period in which a key was refused for lack of
room starts no more keys.
"""

from __future__ import annotations

import enum

import msgspec

from .. import invariants
from ..exceptions import NotRunError
from ..exceptions import UnknownOutcomeError
from .idempotency_key import IdempotencyKey
from .idempotency_key import build_key_prefix
from .outcome import CallerResponse

ISSUE_PERIOD_S = 60.0
MAX_RETAINED_PAST_PERIODS = 10
MAX_LEDGER_KEYS = 200_000
MAX_LEDGER_BYTES = 64 * 1024 * 1024
KEY_OVERHEAD_BYTES = 256
LEDGER_FULL_RETRY_AFTER_S = 5.0


class KeyPhase(enum.Enum):
    """How far a key has come."""

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class LedgerRecord(msgspec.Struct, kw_only=True):
    """One key's state.

    :param fingerprint: digest of the request, so that a key is not used for another one.
    """

    key: IdempotencyKey
    phase: KeyPhase
    fingerprint: str
    answer: CallerResponse | None = None


class LedgerSnapshot(msgspec.Struct, kw_only=True):
    """A whole ledger, as a stopping home hands it to its successor.

    :param period: the issue period at the time of the copy.
    :param period_age_s: how long ago that period began, in seconds.
    :param closed_period: the newest period that starts no more keys.
    """

    home: str
    period: int
    period_age_s: float
    closed_period: int
    records: list[LedgerRecord]


class Ledger:
    """The keys of one home.

    :param home: the incarnation that stands in the keys.
    :param clock: returns seconds, monotonic; no other VM's clock is compared with it.

    >>> ledger = Ledger(home="00000000000000ff", clock=lambda: 0.0)
    >>> key = Key(home="00000000000000ff", period=0, own_id="order-1")
    >>> ledger.claim(key, "digest") is None    # the caller runs it now
    True
    >>> ledger.finish(key, Answer(status=200, headers=[], body=b"done"))
    >>> ledger.claim(key, "digest").answer.body
    b'done'
    """

    __slots__ = (
        "_bytes",
        "_clock",
        "_closed_period",
        "_deciding",
        "_max_bytes",
        "_max_keys",
        "_oldest",
        "_period_s",
        "_periods",
        "_started_at",
        "home",
    )

    def __init__(
        self,
        *,
        home: str,
        clock,
        period_s: float = ISSUE_PERIOD_S,
        max_keys: int = MAX_LEDGER_KEYS,
        max_bytes: int = MAX_LEDGER_BYTES,
    ) -> None:
        self.home = home
        self._clock = clock
        self._period_s = period_s
        self._max_keys = max_keys
        self._max_bytes = max_bytes
        self._started_at = clock()
        self._periods: dict[int, dict[str, LedgerRecord]] = {}
        self._oldest = 0
        self._closed_period = -1
        self._bytes = 0
        self._deciding = True

    @property
    def period(self) -> int:
        """The issue period now."""
        return int((self._clock() - self._started_at) / self._period_s)

    @property
    def key_prefix(self) -> str:
        """The key prefix to hand out now."""
        return build_key_prefix(self.home, self.period)

    @property
    def accepts_claims(self) -> bool:
        """Whether claims are still taken here."""
        return self._deciding

    def count_keys(self) -> int:
        """Return how many keys are held."""
        return sum(len(records) for records in self._periods.values())

    def count_running_keys(self) -> int:
        """Return how many keys are running."""
        count = 0
        for records in self._periods.values():
            count += sum(record.phase is KeyPhase.RUNNING for record in records.values())
        return count

    def claim_key(self, key: IdempotencyKey, fingerprint: str) -> LedgerRecord | None:
        """Claim a key before the first byte of its request goes out.

        :returns: ``None`` if the caller must run the request now, else the key's record.
        :raises NotRunError: if the key can't be taken and has not been run.
        :raises UnknownOutcomeError: if the ledger no longer knows.
        """
        if key.home != self.home or not self._deciding:
            raise UnknownOutcomeError("home-not-deciding")
        self.expire_periods()
        if key.period > self.period:
            raise NotRunError("idempotency-key-not-issued", 400)
        if key.period < self._oldest:
            raise UnknownOutcomeError("idempotency-key-expired")
        record = self._periods.get(key.period, {}).get(key.own_id)
        if record is None:
            self._start(key, fingerprint)
            return None
        if record.fingerprint != fingerprint:
            raise NotRunError("idempotency-key-reused", 422)
        return record

    def record_response(self, key: IdempotencyKey, answer: CallerResponse) -> None:
        """Keep the final answer of a key, be it a server's answer or a refusal."""
        record = self._get_running(key)
        if record is None:
            return
        size = len(answer.body)
        if self._bytes + size > self._max_bytes:
            record.phase = KeyPhase.UNKNOWN
            return
        record.phase = KeyPhase.ANSWERED
        record.answer = answer
        self._bytes += size

    def mark_unknown(self, key: IdempotencyKey) -> None:
        """Record that it can't be known whether a key has run."""
        record = self._get_running(key)
        if record is None:
            return
        record.phase = KeyPhase.UNKNOWN

    def expire_periods(self) -> None:
        """Drop the periods that are no longer answered for."""
        oldest = self.period - MAX_RETAINED_PAST_PERIODS
        if oldest <= self._oldest:
            return
        self._oldest = oldest
        for period in list(self._periods):
            if period >= oldest:
                continue
            for record in self._periods.pop(period).values():
                self._bytes -= _weigh(record)

    def stop_accepting_claims(self) -> None:
        """Take no more claims; this comes before the ledger is handed over."""
        self._deciding = False

    def take_snapshot(self) -> LedgerSnapshot:
        """Return the whole ledger for a successor; running keys become unknown."""
        invariants.check(not self._deciding, "ledger-copied-while-deciding", self.home)
        self.expire_periods()
        records = []
        for held in self._periods.values():
            for record in held.values():
                if record.phase is KeyPhase.RUNNING:
                    record.phase = KeyPhase.UNKNOWN
                records.append(record)
        now = self._clock() - self._started_at
        period = self.period
        age_s = now - period * self._period_s
        return LedgerSnapshot(
            home=self.home,
            period=period,
            period_age_s=age_s,
            closed_period=self._closed_period,
            records=records,
        )

    def _start(self, key: IdempotencyKey, fingerprint: str) -> None:
        too_many = self.count_keys() >= self._max_keys
        if too_many or self._bytes + KEY_OVERHEAD_BYTES > self._max_bytes:
            self._closed_period = self.period
        if key.period <= self._closed_period:
            raise NotRunError("ledger-full", 503, LEDGER_FULL_RETRY_AFTER_S)
        record = LedgerRecord(key=key, phase=KeyPhase.RUNNING, fingerprint=fingerprint)
        self._periods.setdefault(key.period, {})[key.own_id] = record
        self._bytes += KEY_OVERHEAD_BYTES

    def _get_running(self, key: IdempotencyKey) -> LedgerRecord | None:
        record = self._periods.get(key.period, {}).get(key.own_id)
        if record is None or record.phase is not KeyPhase.RUNNING:
            return None
        return record


def restore_ledger(copy: LedgerSnapshot, *, clock, period_s: float = ISSUE_PERIOD_S) -> Ledger:
    """Open a handed-over ledger; from now on this process decides for its keys."""
    ledger = Ledger(home=copy.home, clock=clock, period_s=period_s)
    ledger._started_at = clock() - copy.period * period_s - copy.period_age_s
    for record in copy.records:
        ledger._periods.setdefault(record.key.period, {})[record.key.own_id] = record
        ledger._bytes += _weigh(record)
    ledger._oldest = max(0, copy.period - MAX_RETAINED_PAST_PERIODS)
    ledger._closed_period = copy.closed_period
    return ledger


def _weigh(record: LedgerRecord) -> int:
    if record.answer is None:
        return KEY_OVERHEAD_BYTES
    return KEY_OVERHEAD_BYTES + len(record.answer.body)
