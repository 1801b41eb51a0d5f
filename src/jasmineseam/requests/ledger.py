"""Ledger of the idempotency keys of one home.

The home of a key is the entry process that issued the prefix of the key, or the process that has
taken over the ledger of that process. Only the home decides whether the request of a key may be
run.

The request of a key is run at most once. The ledger holds every claimed key of the retained issue
periods. If the ledger does not hold a key of a retained period, the request of that key has never
been run. Expired periods are dropped as a whole, and the outcome of their keys is reported as
unknown.

The rejection of a key is final, because a delayed copy of the same request can still arrive; the
caller must retry with a new key. For the same reason, when a key is rejected because the ledger is
full, the issue period that is current at that time and all earlier periods are closed: no further
keys of these periods can be claimed.
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
# memory accounted for a key, in addition to the body of its response
KEY_OVERHEAD_BYTES = 256
LEDGER_FULL_RETRY_AFTER_S = 5.0


class KeyPhase(enum.Enum):
    """Processing state of the request of a key.

    ``UNKNOWN`` means that it is unknown whether the request was run.
    """

    RUNNING = "running"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class LedgerRecord(msgspec.Struct, kw_only=True):
    """State of one key.

    :param fingerprint: digest of the request, used to reject the key for any other request.
    :param answer: the final response, ``None`` unless the phase is ``ANSWERED``.
    """

    key: IdempotencyKey
    phase: KeyPhase
    fingerprint: str
    answer: CallerResponse | None = None


class LedgerSnapshot(msgspec.Struct, kw_only=True):
    """Complete state of a ledger, which a stopping home hands over to its successor.

    :param period: the issue period at the time of the snapshot.
    :param period_age_s: time since the start of that period, in seconds.
    :param closed_period: the newest period whose keys can no longer be claimed, -1 if none.
    """

    home: str
    period: int
    period_age_s: float
    closed_period: int
    records: list[LedgerRecord]


class Ledger:
    """The keys of one home and the processing states of their requests.

    :param home: the home incarnation contained in the keys.
    :param clock: returns monotonic time in seconds; never compared with the clock of another VM.
    :param period_s: duration of an issue period, in seconds.
    :param max_keys: number of keys at which the ledger is full.
    :param max_bytes: limit of the memory for keys and response bodies, in bytes.

    >>> ledger = Ledger(home="00000000000000ff", clock=lambda: 0.0)
    >>> key = IdempotencyKey(home="00000000000000ff", period=0, own_id="order-1")
    >>> ledger.claim_key(key, "digest") is None    # the request must be run now
    True
    >>> ledger.record_response(key, CallerResponse(status=200, headers=[], body=b"done"))
    >>> ledger.claim_key(key, "digest").answer.body
    b'done'
    """

    __slots__ = (
        "_accepts_claims",
        "_clock",
        "_closed_period",
        "_max_bytes",
        "_max_keys",
        "_oldest_period",
        "_period_s",
        "_periods",
        "_started_at",
        "_used_bytes",
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
        self._oldest_period = 0
        self._closed_period = -1
        self._used_bytes = 0
        self._accepts_claims = True

    @property
    def period(self) -> int:
        """The number of the current issue period, starting at 0."""
        return int((self._clock() - self._started_at) / self._period_s)

    @property
    def key_prefix(self) -> str:
        """The prefix of keys that are issued in the current period."""
        return build_key_prefix(self.home, self.period)

    @property
    def accepts_claims(self) -> bool:
        """Whether this ledger still accepts claims."""
        return self._accepts_claims

    def count_keys(self) -> int:
        """Return the number of keys held."""
        return sum(len(records) for records in self._periods.values())

    def count_running_keys(self) -> int:
        """Return the number of keys whose requests are running."""
        count = 0
        for records in self._periods.values():
            count += sum(record.phase is KeyPhase.RUNNING for record in records.values())
        return count

    def claim_key(self, key: IdempotencyKey, fingerprint: str) -> LedgerRecord | None:
        """Claim a key; must be called before the first byte of its request is sent.

        :param fingerprint: digest of the request.
        :returns: ``None`` if the key is new and its request must be run now, otherwise the record
            of the key.
        :raises NotRunError: if the key is rejected and its request has not been run.
        :raises UnknownOutcomeError: if the key belongs to another home or is no longer retained,
            or if the ledger no longer accepts claims.
        """
        if key.home != self.home or not self._accepts_claims:
            raise UnknownOutcomeError("home-not-deciding")
        self.expire_periods()
        if key.period > self.period:
            raise NotRunError("idempotency-key-not-issued", 400)
        if key.period < self._oldest_period:
            raise UnknownOutcomeError("idempotency-key-expired")
        record = self._periods.get(key.period, {}).get(key.own_id)
        if record is None:
            self._add_key(key, fingerprint)
            return None
        if record.fingerprint != fingerprint:
            raise NotRunError("idempotency-key-reused", 422)
        return record

    def record_response(self, key: IdempotencyKey, response: CallerResponse) -> None:
        """Store the final response to the request of a key if the request is running.

        Responses of servers and rejections by the entry process are both stored. A response that
        exceeds the memory limit is not stored, and the phase of the key becomes ``UNKNOWN``.
        """
        record = self._get_running_record(key)
        if record is None:
            return
        size = len(response.body)
        if self._used_bytes + size > self._max_bytes:
            record.phase = KeyPhase.UNKNOWN
            return
        record.phase = KeyPhase.ANSWERED
        record.answer = response
        self._used_bytes += size

    def mark_unknown(self, key: IdempotencyKey) -> None:
        """Set the phase of a key to ``UNKNOWN`` if its request is running."""
        record = self._get_running_record(key)
        if record is None:
            return
        record.phase = KeyPhase.UNKNOWN

    def expire_periods(self) -> None:
        """Drop keys issued more than :data:`MAX_RETAINED_PAST_PERIODS` periods ago."""
        oldest = self.period - MAX_RETAINED_PAST_PERIODS
        if oldest <= self._oldest_period:
            return
        self._oldest_period = oldest
        for period in list(self._periods):
            if period >= oldest:
                continue
            for record in self._periods.pop(period).values():
                self._used_bytes -= _get_size_bytes(record)

    def stop_accepting_claims(self) -> None:
        """Reject all further claims; must be called before the ledger is handed over."""
        self._accepts_claims = False

    def take_snapshot(self) -> LedgerSnapshot:
        """Return the state of the ledger for a successor.

        The ledger must have stopped accepting claims. The phase of running keys becomes
        ``UNKNOWN``.
        """
        invariants.check(not self._accepts_claims, "ledger-copied-while-deciding", self.home)
        self.expire_periods()
        records = []
        for period_records in self._periods.values():
            for record in period_records.values():
                if record.phase is KeyPhase.RUNNING:
                    record.phase = KeyPhase.UNKNOWN
                records.append(record)
        elapsed_s = self._clock() - self._started_at
        period = self.period
        age_s = elapsed_s - period * self._period_s
        return LedgerSnapshot(
            home=self.home,
            period=period,
            period_age_s=age_s,
            closed_period=self._closed_period,
            records=records,
        )

    def _add_key(self, key: IdempotencyKey, fingerprint: str) -> None:
        too_many = self.count_keys() >= self._max_keys
        if too_many or self._used_bytes + KEY_OVERHEAD_BYTES > self._max_bytes:
            self._closed_period = self.period
        if key.period <= self._closed_period:
            raise NotRunError("ledger-full", 503, LEDGER_FULL_RETRY_AFTER_S)
        record = LedgerRecord(key=key, phase=KeyPhase.RUNNING, fingerprint=fingerprint)
        self._periods.setdefault(key.period, {})[key.own_id] = record
        self._used_bytes += KEY_OVERHEAD_BYTES

    def _get_running_record(self, key: IdempotencyKey) -> LedgerRecord | None:
        record = self._periods.get(key.period, {}).get(key.own_id)
        if record is None or record.phase is not KeyPhase.RUNNING:
            return None
        return record


def restore_ledger(snapshot: LedgerSnapshot, *, clock, period_s: float = ISSUE_PERIOD_S) -> Ledger:
    """Create a ledger from a snapshot; this process becomes the home of the snapshot's keys."""
    ledger = Ledger(home=snapshot.home, clock=clock, period_s=period_s)
    ledger._started_at = clock() - snapshot.period * period_s - snapshot.period_age_s
    for record in snapshot.records:
        ledger._periods.setdefault(record.key.period, {})[record.key.own_id] = record
        ledger._used_bytes += _get_size_bytes(record)
    ledger._oldest_period = max(0, snapshot.period - MAX_RETAINED_PAST_PERIODS)
    ledger._closed_period = snapshot.closed_period
    return ledger


def _get_size_bytes(record: LedgerRecord) -> int:
    if record.answer is None:
        return KEY_OVERHEAD_BYTES
    return KEY_OVERHEAD_BYTES + len(record.answer.body)
