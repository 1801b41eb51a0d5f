"""Takes tokens of client accounts' quotas for the requests of a node, and grants them as owner."""

from __future__ import annotations

import asyncio
import collections
import itertools
import time
import typing as t

import logbook

from ..exceptions import NotRunError
from ..membership.nodes import NodeInfo
from ..membership.nodes import NodeMembership
from ..operations.node_settings import QuotaSettings
from ..peers.messages import QuotaCopy
from ..peers.messages import QuotaGrant
from ..peers.messages import QuotaMessage
from ..peers.messages import QuotaRequest
from ..peers.messages import QuotaReturn
from ..routing.quotas import SEPARATED_SHARE
from ..routing.quotas import AccountTokens
from ..routing.quotas import Quota
from ..routing.quotas import QuotaBounds
from ..routing.quotas import QuotaDecision
from ..routing.quotas import QuotaLedger
from ..routing.quotas import Token
from ..routing.quotas import compute_fallback_share
from ..routing.quotas import compute_owner_share
from ..routing.quotas import rank_owners
from ..routing.routes import ClientAccount
from ..routing.routes import RoutingTable

REASON_EXCEEDED = "quota-exceeded"
REASON_UNREACHABLE = "quota-unreachable"
# Wait for one answer, in the first and in the second round of requests to the nodes in rank. A
# round trip takes up to 7 ms between failure domains, and hundreds of milliseconds while the body
# of an upload occupies a slow link. Both rounds together take 0.32 s at most.
ANSWER_TIMEOUTS_S = (0.02, 0.04)
# A node that has not answered twice is asked last for this time.
SILENCE_S = 0.5
# If owner or standby has not heard from the other for this time after a copy of its logs, it
# grants as if the network were partitioned.
SEPARATION_TIMEOUT_S = 0.1
# A request that reached no owner is to be sent again after this time, to another node if possible.
UNREACHABLE_RETRY_AFTER_S = 0.2
TICK_INTERVAL_S = 0.1
# A copy of the logs of an account is followed by the next one when it has been answered, or after
# this time.
COPY_ANSWER_TIMEOUT_S = 0.02
# A process whose timer is this late was paused. The requests that have waited in its socket since
# then have been answered by the standby.
PAUSE_THRESHOLD_S = 1.0
DISCARD_AFTER_PAUSE_S = 0.1
# interval between two log lines about refused requests of one account
LOG_INTERVAL_S = 10.0
_logger = logbook.Logger("quotas")


class _PendingRequest:
    """A request for tokens that waits for an answer, or was answered lately.

    :param waiter: completes with the answer; shared with the request's other numbers.
    """

    __slots__ = ("answered_by", "asked_at", "asked_wall", "waiter")

    def __init__(
        self, waiter: asyncio.Queue[QuotaGrant], asked_at: float, asked_wall: float
    ) -> None:
        self.waiter: asyncio.Queue[QuotaGrant] | None = waiter
        self.asked_at = asked_at
        self.asked_wall = asked_wall
        self.answered_by = ""


class _SentCopy:
    """A copy of an account's logs that has not been answered.

    :param outdated: whether the logs have changed since.
    """

    __slots__ = ("outdated", "sent_at")

    def __init__(self, sent_at: float) -> None:
        self.sent_at = sent_at
        self.outdated = False


class NodeQuotas:
    """The quotas of client accounts at one node.

    :param membership: the nodes of the fleet.
    :param send: sends a message to a datagram address.
    :param settings: window and tolerance of the quotas.
    :param first_start: whether nothing can have run before. A node does not set it, since the
        setting of the same name may still be set when the VM is restarted.
    :param clock: returns monotonic time in seconds.
    :param wall_clock: returns Unix time in seconds.
    """

    def __init__(
        self,
        *,
        membership: NodeMembership,
        send: t.Callable[[str, QuotaMessage], None],
        settings: QuotaSettings,
        first_start: bool = False,
        clock: t.Callable[[], float] = time.monotonic,
        wall_clock: t.Callable[[], float] = time.time,
    ) -> None:
        self._membership = membership
        self._send = send
        self._clock = clock
        self._wall_clock = wall_clock
        self._own_id = membership.own.vm_id
        self._bounds = QuotaBounds(
            window_s=settings.window_s, overage=settings.overage, slack=settings.slack
        )
        self._ledger = QuotaLedger(
            owner=f"{self._own_id}/{int(wall_clock() * 1000)}",
            bounds=self._bounds,
            now=clock(),
            first_start=first_start,
        )
        self._table_version = -1
        self._quotas: dict[str, Quota] = {}
        self._tokens: dict[str, AccountTokens] = {}
        # Numbers continue those of an earlier start, whose grants owners may still hold.
        self._numbers = itertools.count(int(wall_clock() * 1000) << 10)
        self._pending: dict[int, _PendingRequest] = {}
        self._silent_until: dict[str, float] = {}
        # time of the first copy that the other of owner and standby has not answered
        self._unanswered_since: dict[str, float] = {}
        # by account and receiver
        self._sent_copies: dict[tuple[str, str], _SentCopy] = {}
        # versions of an account's logs that the other of owner and standby knows
        self._partner_versions: dict[tuple[str, str], dict[str, int]] = {}
        # node that has granted the last tokens of an account to this one
        self._last_owners: dict[str, str] = {}
        # unused tokens that were reported, by grant
        self._unused: dict[Token, int] = {}
        self._logged_at: dict[str, float] = {}
        self._ticked_at = clock()
        self._discard_until = float("-inf")
        self._ranks: dict[str, list[str]] = {}
        self._ranks_version: tuple[int, int] = (-1, -1)
        self._candidates: dict[str, NodeInfo] = {}
        # results of requests for tokens at this node
        self.result_counts: collections.Counter[str] = collections.Counter()
        # tokens that this node has granted as owner or standby
        self.granted_count = 0

    def apply_routing_table(self, table: RoutingTable) -> None:
        """Apply the quotas of a routing table; held tokens of a changed quota are returned."""
        self._table_version = table.version
        self._quotas = {
            account.name: _build_quota(account, table.version)
            for account in table.accounts
            if account.requests_per_s > 0.0
        }
        self._partner_versions = {
            key: versions
            for key, versions in self._partner_versions.items()
            if key[0] in self._quotas
        }
        for name, tokens in list(self._tokens.items()):
            quota = self._quotas.get(name)
            if quota is not None and _is_same(quota, tokens.quota):
                tokens.quota = quota
                continue
            del self._tokens[name]
            self._report_unused(tokens.drop_all())

    async def take(self, account: ClientAccount | None) -> Token | None:
        """Take a token for one request of an account, ``None`` if the account has no quota.

        :raises NotRunError: if no token is due, or if no owner answers.
        """
        if account is None or account.requests_per_s <= 0.0:
            return None
        tokens = self._get_tokens(account)
        tokens.record_demand(self._clock())
        answer: QuotaGrant | None = None
        joined = False
        answered = False
        while True:
            token = tokens.take(self._clock(), self._wall_clock())
            if token is not None:
                self.result_counts["granted" if answered else "held"] += 1
                return token
            if tokens is not self._tokens.get(account.name):
                # The quota has changed while the request waited.
                tokens = self._get_tokens(account)
                answered = joined = False
                continue
            if answer is not None and answer.tokens:
                # Requests that arrived meanwhile have used the granted tokens.
                answer = None
                answered = False
            if answered:
                break
            if tokens.asking is None:
                answer = await self._ask_once(tokens)
                answered = True
                continue
            # Each request that asks by itself would send as many datagrams, to all owners in turn
            # if the first one is late because of them.
            tokens.waiting_count += 1
            try:
                answer = await asyncio.shield(tokens.asking)
            finally:
                tokens.waiting_count -= 1
            # The first answer may be to a question that did not include this request.
            answered = joined
            joined = True
        if answer is not None and not answer.tokens:
            self.result_counts["refused"] += 1
            self._log_refusal(account, answer)
            raise NotRunError(REASON_EXCEEDED, 429, answer.retry_after_s)
        return self._take_fallback(account, tokens)

    async def _ask_once(self, tokens: AccountTokens) -> QuotaGrant | None:
        """Ask for tokens on behalf of all requests that wait for them."""
        asking = tokens.asking = asyncio.get_running_loop().create_future()
        grant = None
        try:
            grant = await self._ask(tokens)
        finally:
            tokens.asking = None
            asking.set_result(grant)
        return grant

    def _take_fallback(self, account: ClientAccount, tokens: AccountTokens) -> Token:
        """Use the node's own allowance for an account none of whose owners answers.

        :raises NotRunError: if nothing of it is left.
        """
        now = self._clock()
        share = compute_fallback_share(
            account.name, self._own_id, self._list_known_ids(), self._bounds.fallback_tokens
        )
        # A token is in no window together with those of the next use of the allowance.
        if tokens.take_fallback(share, self._bounds.history_s, now, self._wall_clock()):
            self.result_counts["fallback"] += 1
            return Token(account.name, "", next(self._numbers))
        self.result_counts["unreachable"] += 1
        if self._is_log_due(account.name, now):
            _logger.warning(
                "No owner of the quota of account {} answers ({}); its requests are refused.",
                account.name,
                ", ".join(self._rank(account.name)),
            )
        raise NotRunError(REASON_UNREACHABLE, 503, UNREACHABLE_RETRY_AFTER_S)

    def give_back(self, token: Token | None) -> None:
        """Return the token of a request that was offered to no server."""
        if token is None or not token.owner_id:
            return
        self.result_counts["returned"] += 1
        tokens = self._tokens.get(token.account)
        if tokens is not None and tokens.restore(token, self._clock(), self._wall_clock()):
            return
        self._report_unused([(token, 1)])

    def handle(self, message: QuotaMessage) -> None:
        """Handle a datagram of another node."""
        now = self._check_pause()
        self._unanswered_since.pop(message.sender, None)
        if isinstance(message, QuotaRequest):
            if now < self._discard_until:
                return
            self._ledger.merge(message.quota.account, message.logs, now)
            self._answer(message)
        elif isinstance(message, QuotaGrant):
            self._ledger.merge(message.account, message.logs, now)
            self._accept(message)
        elif isinstance(message, QuotaReturn):
            self._ledger.give_back(message.account, message.sender, message.number, message.unused)
        else:
            self._ledger.merge(message.account, message.logs, now)
            self._ledger.record_coverage(message.account, message.covered_s, now)
            key = message.account, message.sender
            self._partner_versions[key] = message.known_versions
            if not message.is_reply:
                self._send_copy(message.account, message.sender, is_reply=True)
                return
            sent = self._sent_copies.pop(key, None)
            if sent is not None and sent.outdated:
                self._send_copy(message.account, message.sender)

    async def run_forever(self) -> None:
        """Notice pauses of the process, and forget what has expired, until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Notice a pause of the process, and forget what has expired."""
        now = self._check_pause()
        wall = self._wall_clock()
        self._ledger.expire(now)
        for tokens in self._tokens.values():
            self._report_unused(tokens.drop_expired(now, wall))
        oldest_at = now - self._bounds.history_s
        for number, pending in list(self._pending.items()):
            if pending.asked_at >= oldest_at:
                break
            del self._pending[number]
        while len(self._unused) > 10_000:
            del self._unused[next(iter(self._unused))]
        for (account, receiver_id), sent in list(self._sent_copies.items()):
            if now - sent.sent_at < COPY_ANSWER_TIMEOUT_S:
                continue
            del self._sent_copies[account, receiver_id]
            if sent.outdated:
                self._send_copy(account, receiver_id)

    def count_granted(self) -> dict[str, int]:
        """Return the tokens granted within the last window, by account with a quota.

        Accounts that this node is not among the owners of are left out.
        """
        now = self._clock()
        return {
            name: self._ledger.count(name, now)
            for name in self._quotas
            if self._own_id in self._rank(name)
        }

    async def _ask(self, tokens: AccountTokens) -> QuotaGrant | None:
        """Ask the owner of an account for tokens, and then the next nodes in rank, in two rounds.

        The second round has a number of its own, because the life of tokens starts when they are
        first asked for. Late answers to the first round are used while their tokens are valid.

        :returns: the answer, whose tokens are held now; ``None`` if nobody answers in time.
        """
        account = tokens.quota.account
        waiter: asyncio.Queue[QuotaGrant] = asyncio.Queue()
        asked: dict[int, _PendingRequest] = {}
        try:
            for timeout_s in ANSWER_TIMEOUTS_S:
                number = next(self._numbers)
                pending = _PendingRequest(waiter, self._clock(), self._wall_clock())
                asked[number] = self._pending[number] = pending
                wanted = tokens.compute_wanted() + tokens.waiting_count
                for owner_id, tries in self._plan(account):
                    if owner_id == self._own_id:
                        grant = self._grant_to_itself(tokens.quota, number, wanted)
                        return self._hold(tokens, pending, grant)
                    for _ in range(tries):
                        self._send_request(owner_id, tokens.quota, number, wanted)
                        grant = await self._wait_for_tokens(tokens, asked, waiter, timeout_s)
                        if grant is not None:
                            return grant
                    self._silent_until[owner_id] = self._clock() + SILENCE_S
            return None
        finally:
            for pending in asked.values():
                pending.waiter = None
            while not waiter.empty():
                grant = waiter.get_nowait()
                if grant.tokens:
                    self._report_unused(
                        [(Token(account, grant.sender, grant.number), grant.tokens)]
                    )

    def _grant_to_itself(self, quota: Quota, number: int, wanted: int) -> QuotaGrant:
        decision = self._decide(quota, self._own_id, number, wanted)
        return QuotaGrant(
            sender=self._own_id,
            account=quota.account,
            number=number,
            tokens=decision.tokens,
            retry_after_s=decision.retry_after_s,
        )

    def _send_request(self, owner_id: str, quota: Quota, number: int, wanted: int) -> None:
        now = self._clock()
        is_informed = self._last_owners.get(quota.account) == owner_id
        request = QuotaRequest(
            sender=self._own_id,
            number=number,
            wanted=wanted,
            quota=quota,
            logs=[] if is_informed else self._ledger.copy_logs(quota.account, now),
            known_versions=self._ledger.list_versions(quota.account, now),
        )
        self._send(self._candidates[owner_id].notice_address, request)

    async def _wait_for_tokens(
        self,
        tokens: AccountTokens,
        asked: dict[int, _PendingRequest],
        waiter: asyncio.Queue[QuotaGrant],
        timeout_s: float,
    ) -> QuotaGrant | None:
        """Return the first answer that refuses tokens or has valid ones, ``None`` in time."""
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    grant = await waiter.get()
                    held = self._hold(tokens, asked[grant.number], grant)
                    if held is not None:
                        return held
                    if tokens is not self._tokens.get(grant.account):
                        return None
        except TimeoutError:
            return None

    def _hold(
        self, tokens: AccountTokens, pending: _PendingRequest, grant: QuotaGrant
    ) -> QuotaGrant | None:
        """Keep granted tokens; return the answer, ``None`` if its tokens have expired."""
        pending.answered_by = grant.sender
        if not grant.tokens:
            return grant
        if tokens is not self._tokens.get(grant.account):
            # The quota has changed while the request waited.
            self._report_unused([(Token(grant.account, grant.sender, grant.number), grant.tokens)])
            return None
        tokens.add(
            grant.sender,
            grant.number,
            grant.tokens,
            asked_at=pending.asked_at,
            asked_wall=pending.asked_wall,
        )
        # Tokens may have expired on the way, or since their node was paused.
        return grant if tokens.has_valid(self._clock(), self._wall_clock()) else None

    def _plan(self, account: str) -> list[tuple[str, int]]:
        """Return the nodes to ask for tokens, and how often each one is asked."""
        now = self._clock()
        answering = []
        silent = []
        for owner_id in self._rank(account):
            if owner_id != self._own_id and self._silent_until.get(owner_id, 0.0) > now:
                silent.append((owner_id, 1))
                continue
            # The answer may be lost, so the first node is asked twice.
            answering.append((owner_id, 1 if answering else 2))
        return answering + silent

    def _answer(self, request: QuotaRequest) -> None:
        sender = self._membership.get(request.sender)
        if sender is None:
            return
        account = request.quota.account
        quota = request.quota
        own_quota = self._quotas.get(account)
        if own_quota is not None and own_quota.table_version >= quota.table_version:
            quota = own_quota
        decision = self._decide(quota, request.sender, request.number, request.wanted)
        grant = QuotaGrant(
            sender=self._own_id,
            account=account,
            number=request.number,
            tokens=decision.tokens,
            retry_after_s=decision.retry_after_s,
            logs=self._ledger.copy_logs(account, self._clock(), request.known_versions),
        )
        self._send(sender.notice_address, grant)

    def _accept(self, grant: QuotaGrant) -> None:
        self._silent_until.pop(grant.sender, None)
        self._last_owners[grant.account] = grant.sender
        pending = self._pending.get(grant.number)
        if pending is not None and pending.waiter is not None and not pending.answered_by:
            pending.answered_by = grant.sender
            pending.waiter.put_nowait(grant)
            return
        if grant.tokens and (pending is None or pending.answered_by != grant.sender):
            # Another node has answered, or nobody waits any more.
            token = Token(grant.account, grant.sender, grant.number)
            if pending is not None and token not in self._unused:
                self._report_unused([(token, grant.tokens)])

    def _decide(self, quota: Quota, node_id: str, number: int, wanted: int) -> QuotaDecision:
        now = self._check_pause()
        account = quota.account
        ranked = self._rank(account)
        partner_id = next((id_ for id_ in ranked if id_ != self._own_id), None)
        share = compute_owner_share(self._membership.count_alive(), self._membership.count())
        if partner_id is not None:
            unanswered_since = self._unanswered_since.get(partner_id, now)
            if now - unanswered_since > SEPARATION_TIMEOUT_S:
                share = min(share, SEPARATED_SHARE)
        if self._own_id not in ranked[:2]:
            share = min(share, SEPARATED_SHARE)
        decision = self._ledger.grant(quota, node_id, number, wanted, share=share, now=now)
        self.granted_count += decision.tokens
        if partner_id is not None and (
            decision.tokens or not self._ledger.is_covered(account, now)
        ):
            self._send_copy(account, partner_id)
        return decision

    def _send_copy(self, account: str, receiver_id: str, *, is_reply: bool = False) -> None:
        receiver = self._membership.get(receiver_id)
        if receiver is None:
            return
        now = self._clock()
        key = account, receiver_id
        if not is_reply:
            sent = self._sent_copies.get(key)
            if sent is not None and now - sent.sent_at < COPY_ANSWER_TIMEOUT_S:
                sent.outdated = True
                return
            self._sent_copies[key] = _SentCopy(now)
            self._unanswered_since.setdefault(receiver_id, now)
        copy = QuotaCopy(
            sender=self._own_id,
            account=account,
            is_reply=is_reply,
            covered_s=self._ledger.get_covered_s(account, now),
            logs=self._ledger.copy_logs(account, now, self._partner_versions.get(key, {})),
            known_versions=self._ledger.list_versions(account, now),
        )
        self._send(receiver.notice_address, copy)

    def _report_unused(self, unused: list[tuple[Token, int]]) -> None:
        """Tell the owners of tokens that were not used and will not be."""
        for token, count in unused:
            total = self._unused[token] = self._unused.get(token, 0) + count
            if token.owner_id == self._own_id:
                self._ledger.give_back(token.account, self._own_id, token.number, total)
                continue
            owner = self._membership.get(token.owner_id)
            if owner is None:
                continue
            message = QuotaReturn(
                sender=self._own_id, account=token.account, number=token.number, unused=total
            )
            self._send(owner.notice_address, message)

    def _check_pause(self) -> float:
        """Notice a pause of the process; return the current monotonic time."""
        now = self._clock()
        if now - self._ticked_at > PAUSE_THRESHOLD_S:
            self._discard_until = now + DISCARD_AFTER_PAUSE_S
            if self._membership.list_peers():
                self._ledger.forget_coverage(now)
        self._ticked_at = now
        return now

    def _get_tokens(self, account: ClientAccount) -> AccountTokens:
        tokens = self._tokens.get(account.name)
        if tokens is None:
            quota = self._quotas.get(account.name)
            if quota is None:
                quota = _build_quota(account, self._table_version)
            tokens = AccountTokens(quota=quota, lifetime_s=self._bounds.lifetime_s)
            self._tokens[account.name] = tokens
        return tokens

    def _rank(self, account: str) -> list[str]:
        """Return the owner, the standby and the further nodes of an account, in order."""
        version = (self._membership.state_changes, self._membership.own.version)
        if version != self._ranks_version:
            self._ranks_version = version
            self._ranks = {}
            self._candidates = {
                info.vm_id: info
                for info in (*self._membership.list_peers(), self._membership.own)
                if info.grants_quotas and not info.leaving
            }
        ranked = self._ranks.get(account)
        if ranked is None:
            ranked = self._ranks[account] = rank_owners(account, self._candidates)
        return ranked

    def _list_known_ids(self) -> list[str]:
        membership = self._membership
        infos = (*membership.list_peers(), *membership.list_failed(), membership.own)
        return [info.vm_id for info in infos if info.grants_quotas]

    def _log_refusal(self, account: ClientAccount, grant: QuotaGrant) -> None:
        if self._is_log_due(account.name, self._clock()):
            _logger.info(
                "Account {} is over its quota of {:g} requests/s and a burst of {:g}, according "
                "to node {}; the next request is due in {:.3f} s.",
                account.name,
                account.requests_per_s,
                account.burst,
                grant.sender,
                grant.retry_after_s,
            )

    def _is_log_due(self, account: str, now: float) -> bool:
        if now - self._logged_at.get(account, float("-inf")) < LOG_INTERVAL_S:
            return False
        self._logged_at[account] = now
        return True


def _build_quota(account: ClientAccount, table_version: int) -> Quota:
    return Quota(
        account=account.name,
        table_version=table_version,
        requests_per_s=account.requests_per_s,
        burst=account.burst,
    )


def _is_same(first: Quota, second: Quota) -> bool:
    return (first.requests_per_s, first.burst) == (second.requests_per_s, second.burst)
