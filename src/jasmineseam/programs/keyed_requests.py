"""Runs requests with an idempotency key at most once.

The home of a key is the entry process that issued the key's prefix. The ledger of the home
records the keys whose requests have been run. This process runs a request if it holds the key's
ledger, otherwise it forwards the request to the home or to the home's successor.
"""

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
from ..peers.messages import ForwardedRequest
from ..peers.messages import ForwardedResponse
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
from ..transport.response_heads import REASON_INVALID
from ..transport.response_heads import is_forwardable
from .agent_replica import AgentReplica

HANDOVER_ATTEMPT_TIMEOUT_S = 3.0
HANDOVER_ATTEMPTS_PER_SUCCESSOR = 3
MAX_HOME_REDIRECTS = 3
MAX_CACHED_CONTROL_ADDRESSES = 2048
_logger = logbook.Logger("ledger")

RequestRunner = t.Callable[[InboundRequest], t.Awaitable[CallerResponse]]


class KeyedRequests:
    """Runs keyed requests whose ledger this process holds, and forwards all others to their home.

    :param incarnation: random id of this start of the process, which identifies it as the home of
        its own ledger.
    :param peer_clients: RPC clients for the other entry processes.
    :param replica: provides the addresses and the successors of the other entry processes.
    """

    def __init__(
        self, *, incarnation: str, peer_clients: PeerClients, replica: AgentReplica
    ) -> None:
        self._incarnation = incarnation
        self._peer_clients = peer_clients
        self._replica = replica
        self.ledger = Ledger(home=incarnation, clock=time.monotonic)
        self._ledgers = {incarnation: self.ledger}
        self._running_tasks: dict[IdempotencyKey, asyncio.Task] = {}
        self._control_addresses: dict[str, str] = {}
        self._handover_done = asyncio.Event()
        self.successor = ""
        self.forwarded_outcome_counts: collections.Counter[str] = collections.Counter()
        self.run_request: RequestRunner | None = None

    def update_control_addresses(self) -> None:
        """Cache the control addresses of all listed entry processes.

        The address of a process that is no longer listed stays cached, because a stopping process
        still accepts forwarded requests.
        """
        for vm in self._replica.live_vms:
            for process in vm.entries:
                self._control_addresses[process.incarnation] = process.control_address
        while len(self._control_addresses) > MAX_CACHED_CONTROL_ADDRESSES:
            del self._control_addresses[next(iter(self._control_addresses))]

    def count_keys(self) -> int:
        """Return the number of keys in all ledgers that this process holds."""
        return sum(ledger.count_keys() for ledger in self._ledgers.values())

    def list_homes(self) -> list[str]:
        """Return the incarnations of the homes whose ledgers this process holds."""
        return list(self._ledgers)

    async def run(self, inbound: InboundRequest) -> CallerResponse:
        """Run a keyed request at most once, in this process or at the key's home.

        :raises NotRunError: if the request was not run.
        :raises UnknownOutcomeError: if the request may have been run.
        """
        response = await self._run_here_or_at_home(inbound)
        # The home may be of an earlier build, as may be the process that recorded the response.
        if not is_forwardable(response.status, response.headers):
            raise UnknownOutcomeError(REASON_INVALID)
        return response

    async def _run_here_or_at_home(self, inbound: InboundRequest) -> CallerResponse:
        key = parse_idempotency_key(inbound.key)
        ledger = self._ledgers.get(key.home)
        if ledger is None:
            return await self._run_at_home(key, inbound)
        if ledger.accepts_claims or key in self._running_tasks:
            return await self._run_locally(ledger, key, inbound)
        await self._wait_for_handover(inbound)
        return await self._run_at_home(key, inbound)

    async def handle_forwarded(
        self, message: ForwardedRequest, inbound: InboundRequest
    ) -> ForwardedResponse:
        """Run a request that another entry process forwarded to this process as the key's home.

        :returns: the response, or the successor if this process has handed the ledger over.
        """
        if message.incarnation not in self._ledgers:
            return ForwardedResponse(
                answer=build_unknown_outcome_response(UnknownOutcomeError("home-gone"))
            )
        key = parse_idempotency_key(message.key)
        ledger = self._ledgers.get(key.home)
        if ledger is not None and not ledger.accepts_claims and key not in self._running_tasks:
            await self._wait_for_handover(inbound)
            return ForwardedResponse(answer=None, moved_to=self.successor)
        if ledger is None:
            return ForwardedResponse(
                answer=build_unknown_outcome_response(UnknownOutcomeError("home-gone"))
            )
        try:
            return ForwardedResponse(answer=await self._run_locally(ledger, key, inbound))
        except NotRunError as error:
            return ForwardedResponse(answer=build_not_run_response(error))
        except UnknownOutcomeError as error:
            return ForwardedResponse(answer=build_unknown_outcome_response(error))

    def accept_ledgers(self, message: LedgerHandover) -> Message:
        """Restore the ledgers of a stopping entry process.

        A ledger that this process already holds is skipped, so a repeated handover has no effect.
        """
        if not self.ledger.accepts_claims:
            return RefusedReply(reason="stopping")
        for snapshot in message.ledgers:
            if snapshot.home in self._ledgers:
                continue
            self._ledgers[snapshot.home] = restore_ledger(snapshot, clock=time.monotonic)
        _logger.info("Took over {} ledgers from a stopping entry process.", len(message.ledgers))
        return LedgerConfirmation(incarnation=self._incarnation)

    async def hand_over_ledgers(self, max_wait_s: float) -> list[Succession]:
        """Stop accepting claims, wait for running requests, and hand all ledgers to one successor.

        :param max_wait_s: the longest wait for running requests, in seconds.
        :returns: the successions to send to the other VMs; empty if no successor confirmed.
        """
        for ledger in self._ledgers.values():
            ledger.stop_accepting_claims()
        if self._running_tasks:
            await asyncio.wait(list(self._running_tasks.values()), timeout=max_wait_s)
        snapshots = [ledger.take_snapshot() for ledger in self._ledgers.values()]
        try:
            self.successor = await self._send_ledgers(snapshots)
        finally:
            self._handover_done.set()
        if not self.successor:
            return []
        homes = self._ledgers
        return [Succession(incarnation=home, successor=self.successor) for home in homes]

    async def _send_ledgers(self, snapshots: list[LedgerSnapshot]) -> str:
        message = LedgerHandover(incarnation=self._incarnation, ledgers=snapshots)
        for process in self._list_successor_candidates():
            for _ in range(HANDOVER_ATTEMPTS_PER_SUCCESSOR):
                try:
                    client = self._peer_clients.get(process.control_address)
                    reply = await client.request(message, HANDOVER_ATTEMPT_TIMEOUT_S)
                except PeerUnreachableError:
                    break
                except PeerReplyLostError:
                    # the successor may have accepted the ledgers, so no other process is tried
                    continue
                if isinstance(reply, LedgerConfirmation):
                    return reply.incarnation
                break
            else:
                _logger.warning(
                    "Successor did not confirm the ledgers; later requests with their keys get an "
                    "unknown outcome."
                )
                return ""
        _logger.warning(
            "No successor accepted the ledgers; later requests with their keys get an "
            "unknown outcome."
        )
        return ""

    def _list_successor_candidates(self) -> list[EntryProcess]:
        candidates = []
        for vm in self._replica.live_vms:
            for process in vm.entries:
                if process.incarnation != self._incarnation:
                    candidates.append(process)
        return candidates

    async def _run_locally(
        self, ledger: Ledger, key: IdempotencyKey, inbound: InboundRequest
    ) -> CallerResponse:
        task = self._running_tasks.get(key)
        if task is None:
            record = ledger.claim_key(key, inbound.compute_fingerprint())
            if record is None:
                task = asyncio.create_task(self._run_claimed_request(ledger, key, inbound))
                self._running_tasks[key] = task
                task.add_done_callback(lambda done: self._on_run_finished(key, done))
            elif record.phase is KeyPhase.ANSWERED:
                return record.answer
            else:
                raise UnknownOutcomeError("earlier-attempt-unknown")
        try:
            async with asyncio.timeout(max(0.0, inbound.deadline_at - time.monotonic()) + 0.1):
                return await asyncio.shield(task)
        except TimeoutError as error:
            raise UnknownOutcomeError("deadline", 504) from error

    def _on_run_finished(self, key: IdempotencyKey, task: asyncio.Task) -> None:
        del self._running_tasks[key]
        if not task.cancelled():
            # retrieves the exception, because asyncio logs it as an error otherwise; all callers
            # may have disconnected before the task finished
            task.exception()

    async def _run_claimed_request(
        self, ledger: Ledger, key: IdempotencyKey, inbound: InboundRequest
    ) -> CallerResponse:
        try:
            response = await self.run_request(inbound)
        except NotRunError as error:
            ledger.record_response(key, build_not_run_response(error))
            raise
        except BaseException:
            ledger.mark_unknown(key)
            raise
        ledger.record_response(key, response)
        return response

    async def _run_at_home(self, key: IdempotencyKey, inbound: InboundRequest) -> CallerResponse:
        owner = self._replica.vms.find_ledger_owner(key.home)
        if owner == key.home and key.home == self._incarnation:
            owner = self.successor
        for _ in range(MAX_HOME_REDIRECTS):
            if (
                owner in self._ledgers
                and self._ledgers[owner].accepts_claims
                and key.home in self._ledgers
            ):
                return await self._run_locally(self._ledgers[key.home], key, inbound)
            address = self._control_addresses.get(owner)
            if address is None:
                raise UnknownOutcomeError("home-gone")
            reply = await self._send_to_home(address, owner, inbound)
            if reply.answer is not None:
                self.forwarded_outcome_counts[reply.answer.outcome.value] += 1
                return reply.answer
            owner = reply.moved_to
        raise UnknownOutcomeError("home-gone")

    async def _send_to_home(
        self, address: str, incarnation: str, inbound: InboundRequest
    ) -> ForwardedResponse:
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
            reply = await self._peer_clients.get(address).request(message, max(0.001, remaining_s))
        except PeerUnreachableError as error:
            raise UnknownOutcomeError("home-unreachable") from error
        except PeerReplyLostError as error:
            raise UnknownOutcomeError("home-answer-lost") from error
        if not isinstance(reply, ForwardedResponse):
            raise UnknownOutcomeError("home-gone")
        return reply

    async def _wait_for_handover(self, inbound: InboundRequest) -> None:
        remaining_s = max(0.0, inbound.deadline_at - time.monotonic())
        try:
            async with asyncio.timeout(remaining_s):
                await self._handover_done.wait()
        except TimeoutError as error:
            raise UnknownOutcomeError("home-stopping", 504) from error
