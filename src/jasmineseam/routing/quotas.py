"""Quotas of client accounts, shared by all nodes. Decisions without a network.

The load that this answers: an account of 131 requests/s or 0.5 requests/s whose callers use any of
6 to 300 nodes, unevenly, and at times send eight times their normal demand. Equal shares for all
nodes would starve such an account.

One node, the owner of the account, counts the tokens that it grants in a sliding window. The owner
is chosen by rendezvous hashing. The next node in rank, the standby, grants tokens if the owner
does not answer, and further nodes grant a part if neither does. Owner and standby send each other
their logs of granted tokens. Each message about an account carries logs, so that a new owner
learns what others have granted.
"""

from __future__ import annotations

import collections
import math
import typing as t

import msgspec

from .subsets import compute_rendezvous_weight

# The overage is divided: this part covers the time between the grant of a token and its use, the
# rest covers owners that have not learnt of each other's grants yet.
LIFETIME_OVERAGE_FRACTION = 0.4
# The slack is divided into the parts of owners, of nodes that reach no owner, and of owners that
# don't know what was granted before their start.
OWNER_SLACK_FRACTION = 0.25
FALLBACK_SLACK_FRACTION = 0.4
RESTART_SLACK_FRACTION = 0.35
# Life of a token if the overage is 0; a request that waits for it uses it at once.
MIN_LIFETIME_S = 0.1
# The window is counted in this many slots.
SLOTS_PER_WINDOW = 50
# An owner grants tokens in advance only while this fraction of the quota is left.
ADVANCE_RESERVE_FRACTION = 0.5
# Number of nodes that may grant an account's tokens: the owner, the standby and further nodes.
# With three, all of them are on one side of a fleet cut in halves in a quarter of the cases.
OWNER_COUNT = 5
# If owner and standby do not hear from each other, each uses this part of the quota. So do
# further nodes: until failure detection has noticed a partition, they can't know whether the
# others still grant tokens.
SEPARATED_SHARE = 0.5
# A part of the fleet that is not larger than this fraction grants nothing, and the rest of the
# fleet grants the whole quota, so that the loss of a few nodes costs no account a part of its
# quota. The fraction is smaller than one of the three or four failure domains that may be cut off.
MINORITY_FRACTION = 1.0 / 6.0
# Time constant of a node's estimate of an account's demand, in seconds.
DEMAND_TIME_CONSTANT_S = 1.0
MAX_ADVANCE_TOKENS = 1000
# Logs of more owners than this are not sent, so that a message fits into a datagram.
MAX_SENT_LOGS = 3
# Longest span that a received log may name, in milliseconds; a longer one is malformed.
MAX_AGE_MS = 600_000
MAX_AGE_SLOTS = 100_000


class Quota(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The quota of one account in one version of the routing table.

    :param table_version: version of the routing table.
    :param requests_per_s: above 0.
    """

    account: str
    table_version: int
    requests_per_s: t.Annotated[float, msgspec.Meta(gt=0.0)]
    burst: t.Annotated[float, msgspec.Meta(ge=0.0)]


class LogCopy(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """The tokens that one start of an owner has granted lately, in slots of time.

    :param owner: the node and its start.
    :param version: increases with each change of the log.
    :param base_version: version that the receiver must know; the copy has the slots that have
        changed since. 0 if the copy is complete.
    :param slot: number of the latest slot of the log.
    :param age_ms: time since the start of that slot, in milliseconds.
    :param slots: how many slots before *slot*, and number of tokens, for each slot.
    """

    owner: str
    version: t.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    base_version: t.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    slot: t.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
    age_ms: t.Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_MS)]
    slots: list[
        tuple[
            t.Annotated[int, msgspec.Meta(ge=0, le=MAX_AGE_SLOTS)],
            t.Annotated[int, msgspec.Meta(ge=0, le=10**6)],
        ]
    ]


class QuotaBounds:
    """Numbers that follow from the settings of quotas.

    :param window_s: length of the sliding window, in seconds.
    :param overage: part of the quota by which all nodes together may exceed it.
    :param slack: number of requests per window by which they may exceed it in addition.

    >>> bounds = QuotaBounds(window_s=5.0, overage=0.1, slack=20.0)
    >>> round(bounds.lifetime_s, 3), round(bounds.history_s, 3), bounds.fallback_tokens
    (0.2, 5.3, 8)
    """

    __slots__ = (
        "_overage",
        "_slack",
        "fallback_tokens",
        "history_s",
        "lifetime_s",
        "slot_s",
        "window_s",
    )

    def __init__(self, *, window_s: float, overage: float, slack: float) -> None:
        self._overage = overage
        self._slack = slack
        self.window_s = window_s
        self.slot_s = window_s / SLOTS_PER_WINDOW
        # time for which a granted token may be used
        self.lifetime_s = max(MIN_LIFETIME_S, LIFETIME_OVERAGE_FRACTION * overage * window_s)
        # A token counts until no window can contain its use. A slot counts from its end.
        self.history_s = window_s + self.lifetime_s + self.slot_s
        # requests per window that nodes which reach no owner may run, summed over all nodes
        self.fallback_tokens = int(FALLBACK_SLACK_FRACTION * slack)

    def compute_limit(self, quota: Quota) -> float:
        """Return the number of tokens that all owners together may grant within the history."""
        factor = 1.0 + LIFETIME_OVERAGE_FRACTION * self._overage
        return factor * self._compute_base(quota) + OWNER_SLACK_FRACTION * self._slack

    def compute_restart_limit(self, quota: Quota) -> float:
        """Return the number of tokens that an owner may grant if it does not know the history."""
        factor = (1.0 - LIFETIME_OVERAGE_FRACTION) * self._overage
        return factor * self._compute_base(quota) + RESTART_SLACK_FRACTION * self._slack

    def _compute_base(self, quota: Quota) -> float:
        return quota.requests_per_s * self.window_s + quota.burst


def rank_owners(account: str, node_ids: t.Iterable[str], count: int = OWNER_COUNT) -> list[str]:
    """Return the owner of an account and the next nodes in rank.

    >>> nodes = ["a", "b", "c"]
    >>> ranked = rank_owners("x", nodes, 3)
    >>> rank_owners("x", [node for node in nodes if node != ranked[0]]) == ranked[1:]
    True
    """
    ranked = sorted(
        node_ids, key=lambda node_id: compute_rendezvous_weight(node_id, account), reverse=True
    )
    return ranked[:count]


def compute_fallback_share(
    account: str, node_id: str, node_ids: t.Iterable[str], tokens: int
) -> int:
    """Return how many requests per window a node may run if it reaches no owner.

    :param node_ids: all nodes that share the tokens, including those that failed lately.
    :param tokens: the sum over all nodes.

    >>> sum(compute_fallback_share("x", node, "abc", 8) for node in "abc")
    8
    """
    ranked = rank_owners(account, node_ids, count=10**9)
    if node_id not in ranked:
        return 0
    each, rest = divmod(tokens, len(ranked))
    return each + (ranked.index(node_id) < rest)


def compute_owner_share(alive_count: int, node_count: int) -> float:
    """Return the part of a quota that an owner may grant.

    The shares of the parts of a partitioned network add up to at most 1.

    :param alive_count: nodes that the owner reaches, including itself.
    :param node_count: nodes known lately, including those that failed.

    >>> [compute_owner_share(alive, 45) for alive in (45, 44, 36, 9, 1)]
    [1.0, 1.0, 0.8, 0.2, 0.0]
    """
    share = min(1.0, alive_count / node_count)
    # a margin for rounding
    if share >= 1.0 - MINORITY_FRACTION - 1e-9:
        return 1.0
    return share if share > MINORITY_FRACTION + 1e-9 else 0.0


class _Log:
    """Tokens granted by one start of an owner, in slots of time.

    The owner numbers the slots. The time of a slot follows from the start of slot 0, which other
    nodes learn from the age of the latest slot.
    """

    __slots__ = ("_changed_by", "_slots", "started_at", "version")

    def __init__(self, started_at: float = 0.0) -> None:
        self.version = 0
        # monotonic time at which slot 0 started
        self.started_at = started_at
        # number of tokens of each slot, and the version of its last change
        self._slots: dict[int, int] = {}
        self._changed_by: dict[int, int] = {}

    def get_tokens(self, slot: int) -> int:
        return self._slots.get(slot, 0)

    def set_tokens(self, slot: int, tokens: int, version: int) -> None:
        self._slots[slot] = tokens
        self._changed_by[slot] = version
        self.version = version

    def count(self, oldest_at: float, slot_s: float) -> int:
        """Return the tokens of all slots that start at *oldest_at* or later; forget the others."""
        oldest = (oldest_at - self.started_at) / slot_s
        for slot in [slot for slot in self._slots if slot < oldest]:
            del self._slots[slot], self._changed_by[slot]
        return sum(self._slots.values())

    def list_starts(self, slot_s: float) -> t.Iterator[tuple[float, int]]:
        """Return the start and the tokens of each slot."""
        for slot, tokens in self._slots.items():
            yield self.started_at + slot * slot_s, tokens

    def copy(self, owner: str, known_version: int, now: float, slot_s: float) -> LogCopy:
        """Return the slots that have changed since a version, 0 for all."""
        latest = max(self._slots, default=max(0, int((now - self.started_at) / slot_s)))
        age_s = now - self.started_at - latest * slot_s
        return LogCopy(
            owner=owner,
            version=self.version,
            base_version=known_version,
            slot=latest,
            age_ms=min(MAX_AGE_MS, max(0, int(age_s * 1000.0))),
            slots=[
                (latest - slot, tokens)
                for slot, tokens in self._slots.items()
                if self._changed_by[slot] > known_version
            ],
        )

    def merge(self, copy: LogCopy, now: float, slot_s: float) -> None:
        """Apply a copy, if it is newer and nothing is missing between the versions."""
        if copy.version <= self.version or copy.base_version > self.version:
            return
        if not copy.base_version:
            self._slots.clear()
            self._changed_by.clear()
        self.version = copy.version
        self.started_at = now - copy.age_ms / 1000.0 - copy.slot * slot_s
        for age, tokens in copy.slots:
            self._slots[copy.slot - age] = tokens
            self._changed_by[copy.slot - age] = copy.version


class QuotaDecision(t.NamedTuple):
    """What an owner answers to a request for tokens.

    :param tokens: 0 if none is due.
    :param retry_after_s: time until a token is due, 0 if tokens were granted.
    """

    tokens: int
    retry_after_s: float


class _Grant:
    __slots__ = ("decision", "made_at", "returned", "slot")

    def __init__(self, decision: QuotaDecision, slot: float, now: float) -> None:
        self.decision = decision
        self.slot = slot
        self.made_at = now
        self.returned = 0


class QuotaLedger:
    """The tokens that this node and other owners have granted, by account.

    :param owner: name of this start of this node.
    :param bounds: the numbers that follow from the settings.
    :param now: current monotonic time, in seconds.
    :param first_start: whether nothing can have been granted before this node's start.

    >>> bounds = QuotaBounds(window_s=5.0, overage=0.0, slack=0.0)
    >>> ledger = QuotaLedger(owner="a", bounds=bounds, now=0.0, first_start=True)
    >>> quota = Quota(account="x", table_version=1, requests_per_s=0.2, burst=1.0)
    >>> [ledger.grant(quota, "n", number, 1, share=1.0, now=1.0).tokens for number in range(3)]
    [1, 1, 0]
    >>> ledger.give_back("x", "n", 0, 1)
    >>> ledger.grant(quota, "n", 3, 1, share=1.0, now=1.1).tokens
    1
    """

    __slots__ = (
        "_covered_since",
        "_grants",
        "_last_version",
        "_logs",
        "_started_at",
        "bounds",
        "owner",
    )

    def __init__(
        self, *, owner: str, bounds: QuotaBounds, now: float, first_start: bool = False
    ) -> None:
        self.owner = owner
        self.bounds = bounds
        self._started_at = -math.inf if first_start else now
        self._logs: dict[str, dict[str, _Log]] = {}
        # time since which the logs of an account are complete, if earlier than the start
        self._covered_since: dict[str, float] = {}
        self._grants: dict[tuple[str, str, int], _Grant] = {}
        self._last_version = 0

    def grant(
        self, quota: Quota, node_id: str, number: int, wanted: int, *, share: float, now: float
    ) -> QuotaDecision:
        """Decide on a node's request for tokens; a repeated request gets the same answer.

        :param number: number of the request at its node.
        :param wanted: one for the request that waits, and the rest in advance.
        :param share: part of the quota that this node may grant.
        """
        key = (quota.account, node_id, number)
        known = self._grants.get(key)
        if known is not None:
            return known.decision
        own = self._get_log(quota.account, self.owner)
        free = self._compute_free(quota, share, now)
        if free < 1.0:
            return QuotaDecision(0, self._compute_retry_after_s(quota, now, share))
        reserve = ADVANCE_RESERVE_FRACTION * share * self.bounds.compute_limit(quota)
        advance = max(0, min(wanted - 1, MAX_ADVANCE_TOKENS, int(free - 1.0 - reserve)))
        slot = math.floor((now - own.started_at) / self.bounds.slot_s)
        own.set_tokens(slot, own.get_tokens(slot) + 1 + advance, self._get_next_version())
        decision = QuotaDecision(1 + advance, 0.0)
        self._grants[key] = _Grant(decision, slot, now)
        return decision

    def give_back(self, account: str, node_id: str, number: int, unused: int) -> None:
        """Stop counting tokens that were not used and will not be.

        :param unused: unused tokens of one grant in all, so that a repeated message has no effect.
        """
        grant = self._grants.get((account, node_id, number))
        if grant is None:
            return
        unused = min(unused, grant.decision.tokens)
        own = self._get_log(account, self.owner)
        tokens = own.get_tokens(grant.slot)
        gained = min(unused - grant.returned, tokens)
        if gained <= 0:
            return
        grant.returned = unused
        own.set_tokens(grant.slot, tokens - gained, self._get_next_version())

    def merge(self, account: str, logs: t.Iterable[LogCopy], now: float) -> None:
        """Record what other owners have granted."""
        for copy in logs:
            if copy.owner == self.owner:
                continue
            self._get_log(account, copy.owner).merge(copy, now, self.bounds.slot_s)

    def copy_logs(
        self, account: str, now: float, known_versions: t.Mapping[str, int] = {}
    ) -> list[LogCopy]:
        """Return the logs of an account that still count, the own one first, for a message.

        :param known_versions: version of each owner's log that the receiver knows; it gets what
            has changed since.
        """
        copies = []
        oldest_at = now - self.bounds.history_s
        slot_s = self.bounds.slot_s
        for owner, log in self._logs.get(account, {}).items():
            known_version = known_versions.get(owner, 0)
            if not log.version or log.version == known_version:
                continue
            # The own log is also sent if returned tokens have emptied it.
            if not log.count(oldest_at, slot_s) and owner != self.owner:
                continue
            if known_version > log.version:
                known_version = 0
            copies.append(log.copy(owner, known_version, now, slot_s))
        copies.sort(key=lambda copy: copy.owner != self.owner)
        return copies[:MAX_SENT_LOGS]

    def list_versions(self, account: str, now: float) -> dict[str, int]:
        """Return the version of each owner's log that this node knows and that still counts."""
        oldest_at = now - self.bounds.history_s
        return {
            owner: log.version
            for owner, log in self._logs.get(account, {}).items()
            if owner != self.owner and log.count(oldest_at, self.bounds.slot_s)
        }

    def get_covered_s(self, account: str, now: float) -> float:
        """Return for how long this node's logs of an account have been complete, in seconds."""
        return now - min(self._started_at, self._covered_since.get(account, math.inf))

    def record_coverage(self, account: str, covered_s: float, now: float) -> None:
        """Record that another node's logs, which were merged, are complete for some time."""
        since = now - covered_s
        if since < self._covered_since.get(account, math.inf):
            self._covered_since[account] = since

    def forget_coverage(self, now: float) -> None:
        """Record that this node may have missed what was granted before."""
        self._started_at = now
        self._covered_since.clear()

    def is_covered(self, account: str, now: float) -> bool:
        """Return whether the logs of an account are complete for a window."""
        return self.get_covered_s(account, now) >= self.bounds.history_s

    def count(self, account: str, now: float) -> int:
        """Return the number of tokens that all owners have granted within the history."""
        oldest_at = now - self.bounds.history_s
        slot_s = self.bounds.slot_s
        return sum(log.count(oldest_at, slot_s) for log in self._logs.get(account, {}).values())

    def expire(self, now: float) -> None:
        """Forget what no window can contain any more."""
        oldest_at = now - self.bounds.history_s
        for key, grant in list(self._grants.items()):
            if grant.made_at < oldest_at:
                del self._grants[key]
        for account, logs in list(self._logs.items()):
            for owner, log in list(logs.items()):
                if not log.count(oldest_at, self.bounds.slot_s) and owner != self.owner:
                    del logs[owner]
            if not self.count(account, now):
                del self._logs[account]

    def _compute_free(self, quota: Quota, share: float, now: float) -> float:
        oldest_at = now - self.bounds.history_s
        own_log = self._get_log(quota.account, self.owner)
        own = own_log.count(oldest_at, self.bounds.slot_s)
        granted_elsewhere = self.count(quota.account, now) - own
        free = share * (self.bounds.compute_limit(quota) - granted_elsewhere) - own
        if not self.is_covered(quota.account, now):
            free = min(free, share * self.bounds.compute_restart_limit(quota) - own)
        return free

    def _compute_retry_after_s(self, quota: Quota, now: float, share: float) -> float:
        """Return the time until enough counted tokens have left the history."""
        missing = 1.0 - self._compute_free(quota, share, now)
        starts = collections.Counter()
        for log in self._logs[quota.account].values():
            for start, tokens in log.list_starts(self.bounds.slot_s):
                starts[start] += tokens
        for start in sorted(starts):
            missing -= starts[start]
            if missing <= 0.0:
                return max(0.0, start + self.bounds.history_s - now)
        return self.bounds.window_s

    def _get_next_version(self) -> int:
        self._last_version += 1
        return self._last_version

    def _get_log(self, account: str, owner: str) -> _Log:
        return self._logs.setdefault(account, {}).setdefault(owner, _Log())


class Token(t.NamedTuple):
    """The right to run one request.

    :param owner_id: node that granted it, empty for one of the node's own allowance.
    :param number: number of the request for tokens that it belongs to.
    """

    account: str
    owner_id: str
    number: int


class _HeldTokens:
    __slots__ = ("expires_at", "expires_wall", "number", "owner_id", "tokens")

    def __init__(
        self, owner_id: str, number: int, tokens: int, expires_at: float, expires_wall: float
    ) -> None:
        self.owner_id = owner_id
        self.number = number
        self.tokens = tokens
        self.expires_at = expires_at
        self.expires_wall = expires_wall

    def is_valid(self, now: float, wall: float) -> bool:
        return now < self.expires_at and wall < self.expires_wall


class AccountTokens:
    """The tokens of one account that a node holds, and its estimate of the demand.

    Two clocks limit the life of a token. The monotonic clock does not count a suspension of the
    VM; the wall clock counts it, but may be set back.

    :param lifetime_s: time from the request for a token until it expires, in seconds.

    >>> tokens = AccountTokens(quota=None, lifetime_s=0.2)
    >>> tokens.add("o", 1, 1, asked_at=1.0, asked_wall=9.0)
    >>> tokens.take(1.1, 9.3) is None  # the VM was suspended
    True
    """

    __slots__ = (
        "_demand",
        "_demand_at",
        "_fallback_times",
        "_held",
        "_lifetime_s",
        "asking",
        "quota",
        "waiting_count",
    )

    def __init__(self, *, quota: Quota, lifetime_s: float) -> None:
        self.quota = quota
        self._lifetime_s = lifetime_s
        self._held: collections.deque[_HeldTokens] = collections.deque()
        self._demand = 0.0
        self._demand_at = -math.inf
        self._fallback_times: collections.deque[tuple[float, float]] = collections.deque()
        # completes when the request for tokens that is under way has ended, ``None`` without one
        self.asking: t.Any = None
        # number of requests that wait for its end
        self.waiting_count = 0

    def record_demand(self, now: float) -> None:
        """Count one request."""
        if self._demand_at > -math.inf:
            self._demand *= math.exp((self._demand_at - now) / DEMAND_TIME_CONSTANT_S)
        self._demand_at = now
        self._demand += 1.0 / DEMAND_TIME_CONSTANT_S

    def compute_wanted(self) -> int:
        """Return how many tokens to ask for: one, and those that will be used in their life.

        A small account gets one token at a time, since its nodes use none in advance.
        """
        return 1 + min(MAX_ADVANCE_TOKENS, int(self._demand * self._lifetime_s))

    def add(
        self, owner_id: str, number: int, tokens: int, *, asked_at: float, asked_wall: float
    ) -> None:
        """Keep granted tokens; their life starts when they were asked for."""
        held = _HeldTokens(
            owner_id, number, tokens, asked_at + self._lifetime_s, asked_wall + self._lifetime_s
        )
        self._held.append(held)

    def take(self, now: float, wall: float) -> Token | None:
        """Use a held token, ``None`` if there is no valid one."""
        for held in self._held:
            if held.tokens and held.is_valid(now, wall):
                held.tokens -= 1
                return Token(self.quota.account, held.owner_id, held.number)
        return None

    def has_valid(self, now: float, wall: float) -> bool:
        """Return whether a valid token is held."""
        return any(held.tokens and held.is_valid(now, wall) for held in self._held)

    def drop_expired(self, now: float, wall: float) -> list[tuple[Token, int]]:
        """Remove expired tokens; return those that were not used, with their numbers."""
        return self._drop(lambda held: not held.is_valid(now, wall))

    def drop_all(self) -> list[tuple[Token, int]]:
        """Remove all tokens, since the quota has changed; return those that were not used."""
        return self._drop(lambda held: True)

    def restore(self, token: Token, now: float, wall: float) -> bool:
        """Hold a token again whose request was not run; return whether it is still valid."""
        for held in self._held:
            if (held.owner_id, held.number) == (token.owner_id, token.number):
                held.tokens += held.is_valid(now, wall)
                return held.is_valid(now, wall)
        return False

    def take_fallback(self, share: int, window_s: float, now: float, wall: float) -> bool:
        """Use the node's own allowance if this window has some left; return whether it had.

        :param share: requests per window.
        """
        times = self._fallback_times
        while times and now - times[0][0] >= window_s and wall - times[0][1] >= window_s:
            times.popleft()
        if len(times) >= share:
            return False
        times.append((now, wall))
        return True

    def _drop(self, is_dropped: t.Callable[[_HeldTokens], bool]) -> list[tuple[Token, int]]:
        unused = []
        kept: collections.deque[_HeldTokens] = collections.deque()
        for held in self._held:
            if not is_dropped(held):
                kept.append(held)
            elif held.tokens:
                token = Token(self.quota.account, held.owner_id, held.number)
                unused.append((token, held.tokens))
        self._held = kept
        return unused
