"""Keyed requests: run here if this process is the key's home, else handed to the home."""

from __future__ import annotations

import asyncio
import collections
import time
import typing as t

import logbook

from ..exceptions import NotRunError
from ..exceptions import PeerReplyLostError
from ..exceptions import PeerUnreachableError
from ..exceptions import UnknownOutcomeError
from ..membership.vms import EntryProcess
from ..membership.vms import Succession
from ..peers.messages import ForwardedAnswer
from ..peers.messages import ForwardedRequest
from ..peers.messages import LedgerConfirmation
from ..peers.messages import LedgerHandover
from ..peers.messages import Message
from ..peers.messages import RefusedReply
from ..peers.rpc import PeerClients
from ..requests.idempotency_key import IdempotencyKey
from ..requests.idempotency_key import parse_idempotency_key
from ..requests.inbound_request import InboundRequest
from ..requests.ledger import KeyPhase
from ..requests.ledger import Ledger
from ..requests.ledger import LedgerSnapshot
from ..requests.ledger import restore_ledger
from ..requests.outcome import CallerResponse
from ..requests.outcome import build_not_run_response
from ..requests.outcome import build_unknown_outcome_response
from .agent_replica import AgentReplica

HANDOVER_TIMEOUT_S = 3.0
HANDOVER_ATTEMPTS_PER_SUCCESSOR = 3
MAX_HOME_REDIRECTS = 3
MAX_CACHED_ADDRESSES = 2048
_logger = logbook.Logger("ledger")

RequestRunner = t.Callable[[InboundRequest], t.Awaitable[CallerResponse]]


class KeyedRequests:
    """The ledgers that this process decides for, and the way to all others.

    :param incarnation: of this process; its own ledger's home.
    :param links: to the other entry processes.
    :param mirror: tells where they are.
    """

    def __init__(self, *, incarnation: str, links: PeerClients, replica: AgentReplica) -> None:
        self._incarnation = incarnation
        self._links = links
        self._replica = replica
        self.ledger = Ledger(home=incarnation, clock=time.monotonic)
        self._ledgers = {incarnation: self.ledger}
        self._running: dict[IdempotencyKey, asyncio.Task] = {}
        self._addresses: dict[str, str] = {}
        self._handed_over = asyncio.Event()
        self.successor = ""
        self.forwarded_outcomes: collections.Counter[str] = collections.Counter()
        self.run_request: RequestRunner | None = None

    def update_addresses(self) -> None:
        """Keep the control addresses of all entries seen, stopping ones included."""
        for vm in self._replica.live_vms:
            for entry in vm.entries:
                self._addresses[entry.incarnation] = entry.control_address
        while len(self._addresses) > MAX_CACHED_ADDRESSES:
            del self._addresses[next(iter(self._addresses))]

    def count_keys(self) -> int:
        """Return how many keys all ledgers here hold."""
        return sum(ledger.count_keys() for ledger in self._ledgers.values())

    def list_homes(self) -> list[str]:
        """Return the homes whose ledgers are held here."""
        return list(self._ledgers)

    async def run(self, inbound: InboundRequest) -> CallerResponse:
        """Run a keyed request at most once, wherever its home is.

        :raises NotRunError: it was not run.
        :raises UnknownOutcomeError: it may have been run.
        """
        key = parse_idempotency_key(inbound.key)
        ledger = self._ledgers.get(key.home)
        if ledger is None:
            return await self._ask_home(key, inbound)
        if ledger.accepts_claims or key in self._running:
            return await self._run_here(ledger, key, inbound)
        await self._wait_handed_over(inbound)
        return await self._ask_home(key, inbound)

    async def handle_forwarded(
        self, message: ForwardedRequest, inbound: InboundRequest
    ) -> ForwardedAnswer:
        """Answer another entry that was given a key of a home here."""
        if message.incarnation not in self._ledgers:
            return ForwardedAnswer(
                answer=build_unknown_outcome_response(UnknownOutcomeError("home-gone"))
            )
        key = parse_idempotency_key(message.key)
        ledger = self._ledgers.get(key.home)
        if ledger is not None and not ledger.accepts_claims and key not in self._running:
            await self._wait_handed_over(inbound)
            return ForwardedAnswer(answer=None, moved_to=self.successor)
        if ledger is None:
            return ForwardedAnswer(
                answer=build_unknown_outcome_response(UnknownOutcomeError("home-gone"))
            )
        try:
            return ForwardedAnswer(answer=await self._run_here(ledger, key, inbound))
        except NotRunError as error:
            return ForwardedAnswer(answer=build_not_run_response(error))
        except UnknownOutcomeError as error:
            return ForwardedAnswer(answer=build_unknown_outcome_response(error))

    def accept_ledgers(self, message: LedgerHandover) -> Message:
        """Take a stopping home's ledgers; repeating it changes nothing."""
        if not self.ledger.accepts_claims:
            return RefusedReply(reason="stopping")
        for copy in message.ledgers:
            if copy.home in self._ledgers:
                continue
            self._ledgers[copy.home] = restore_ledger(copy, clock=time.monotonic)
        _logger.info("Took over {} ledgers.", len(message.ledgers))
        return LedgerConfirmation(incarnation=self._incarnation)

    async def hand_over_ledgers(self, wait_s: float) -> list[Succession]:
        """Stop deciding, let running keys end, and hand all ledgers to one successor.

        :param wait_s: the longest wait for running keys, in seconds.
        :returns: what the other VMs must learn; empty if nobody has confirmed.
        """
        for ledger in self._ledgers.values():
            ledger.stop_accepting_claims()
        if self._running:
            await asyncio.wait(list(self._running.values()), timeout=wait_s)
        copies = [ledger.take_snapshot() for ledger in self._ledgers.values()]
        try:
            self.successor = await self._send_ledgers(copies)
        finally:
            self._handed_over.set()
        if not self.successor:
            return []
        homes = self._ledgers
        return [Succession(incarnation=home, successor=self.successor) for home in homes]

    async def _send_ledgers(self, copies: list[LedgerSnapshot]) -> str:
        message = LedgerHandover(incarnation=self._incarnation, ledgers=copies)
        for entry in self._list_successors():
            for _ in range(HANDOVER_ATTEMPTS_PER_SUCCESSOR):
                try:
                    link = self._links.get(entry.control_address)
                    reply = await link.request(message, HANDOVER_TIMEOUT_S)
                except PeerUnreachableError:
                    break
                except PeerReplyLostError:
                    # it may have taken them, so nobody else may be asked
                    continue
                if isinstance(reply, LedgerConfirmation):
                    return reply.incarnation
                break
            else:
                _logger.warning("Successor did not confirm; the keys become unknown.")
                return ""
        _logger.warning("No successor found; the keys become unknown.")
        return ""

    def _list_successors(self) -> list[EntryProcess]:
        entries = []
        for vm in self._replica.live_vms:
            for entry in vm.entries:
                if entry.incarnation != self._incarnation:
                    entries.append(entry)
        return entries

    async def _run_here(
        self, ledger: Ledger, key: IdempotencyKey, inbound: InboundRequest
    ) -> CallerResponse:
        running = self._running.get(key)
        if running is None:
            record = ledger.claim_key(key, inbound.compute_fingerprint())
            if record is None:
                running = asyncio.create_task(self._run_claimed(ledger, key, inbound))
                self._running[key] = running
                running.add_done_callback(lambda task: self._note_ended(key, task))
            elif record.phase is KeyPhase.ANSWERED:
                return record.answer
            else:
                raise UnknownOutcomeError("earlier-attempt-unknown")
        try:
            async with asyncio.timeout(max(0.0, inbound.deadline_at - time.monotonic()) + 0.1):
                return await asyncio.shield(running)
        except TimeoutError as error:
            raise UnknownOutcomeError("deadline", 504) from error

    def _note_ended(self, key: IdempotencyKey, task: asyncio.Task) -> None:
        del self._running[key]
        if not task.cancelled():
            # every caller may have left before the end
            task.exception()

    async def _run_claimed(
        self, ledger: Ledger, key: IdempotencyKey, inbound: InboundRequest
    ) -> CallerResponse:
        try:
            answer = await self.run_request(inbound)
        except NotRunError as error:
            ledger.record_response(key, build_not_run_response(error))
            raise
        except BaseException:
            ledger.mark_unknown(key)
            raise
        ledger.record_response(key, answer)
        return answer

    async def _ask_home(self, key: IdempotencyKey, inbound: InboundRequest) -> CallerResponse:
        home = self._replica.vms.find_ledger_owner(key.home)
        if home == key.home and key.home == self._incarnation:
            home = self.successor
        for _ in range(MAX_HOME_REDIRECTS):
            if (
                home in self._ledgers
                and self._ledgers[home].accepts_claims
                and key.home in self._ledgers
            ):
                return await self._run_here(self._ledgers[key.home], key, inbound)
            address = self._addresses.get(home)
            if address is None:
                raise UnknownOutcomeError("home-gone")
            reply = await self._forward(address, home, inbound)
            if reply.answer is not None:
                self.forwarded_outcomes[reply.answer.outcome.value] += 1
                return reply.answer
            home = reply.moved_to
        raise UnknownOutcomeError("home-gone")

    async def _forward(
        self, address: str, incarnation: str, inbound: InboundRequest
    ) -> ForwardedAnswer:
        remaining_s = inbound.deadline_at - time.monotonic()
        message = ForwardedRequest(
            incarnation=incarnation,
            service=inbound.service,
            method=inbound.method,
            path=inbound.path,
            headers=inbound.headers,
            body=inbound.body,
            key=inbound.key,
            remaining_s=remaining_s,
        )
        try:
            reply = await self._links.get(address).request(message, max(0.001, remaining_s))
        except PeerUnreachableError as error:
            raise UnknownOutcomeError("home-unreachable") from error
        except PeerReplyLostError as error:
            raise UnknownOutcomeError("home-answer-lost") from error
        if not isinstance(reply, ForwardedAnswer):
            raise UnknownOutcomeError("home-gone")
        return reply

    async def _wait_handed_over(self, inbound: InboundRequest) -> None:
        remaining_s = max(0.0, inbound.deadline_at - time.monotonic())
        try:
            async with asyncio.timeout(remaining_s):
                await self._handed_over.wait()
        except TimeoutError as error:
            raise UnknownOutcomeError("home-stopping", 504) from error
