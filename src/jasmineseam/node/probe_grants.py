"""Messages by which the nodes of a failure domain share the probes of servers by demand.

A node whose equal share of the probes doesn't provide the reports that a request needs asks the
owner of the service in its failure domain with one datagram. The owner answers with the newest
reports that it knows and with probes that the node may send. The node sends the reports of these
probes back if the owner wants them, so that the next node that asks may need no probe. Without an
answer, the node has its equal share.
"""

from __future__ import annotations

import asyncio
import collections
import time
import typing as t

import logbook

from ..measuring.load_reports import DetailedLoadReport
from ..membership.nodes import PROBE_MESSAGE_KINDS
from ..membership.nodes import NodeInfo
from ..membership.nodes import NodeMembership
from ..membership.registry import ServerRegistry
from ..peers.messages import MAX_PROBE_SERVERS
from ..peers.messages import Message
from ..peers.messages import ProbeGrant
from ..peers.messages import ProbeReports
from ..peers.messages import ProbeRequest
from ..peers.messages import SharedLoad
from ..routing.dispatch import Dispatcher
from ..routing.load import ServerLoad
from ..routing.probe_budget import NO_GRANT
from ..routing.probe_budget import REPORT_DELAY_S
from ..routing.probe_budget import ProbeGranter
from ..routing.probe_budget import ProbeShare
from ..routing.probe_budget import choose_owner
from ..routing.probe_budget import compute_share
from ..routing.probe_budget import count_by_domain
from .dispatchers import Dispatchers

# A grant that arrives later is not used, so that the owner's count of probes stays right.
GRANT_LIFETIME_S = 0.1
# After this many requests in a row without an answer, requests don't wait for the owner.
MAX_UNANSWERED = 2
# interval between two log lines about an owner that does not answer, in seconds
SILENCE_LOG_INTERVAL_S = 30.0
# Owners pass reports on to other failure domains if a service has at most this many servers. With
# more, the nodes of a failure domain mostly use its own servers.
MAX_FORWARDED_SERVERS = 16
_logger = logbook.Logger("probes")


class _OwnedService:
    """What this node knows as the owner of a service."""

    __slots__ = ("granter", "waiting")

    def __init__(self, granter: ProbeGranter) -> None:
        self.granter = granter
        # by server, the nodes that wait for its report: VM, number and time of the request
        self.waiting: dict[str, list[tuple[str, int, float]]] = {}

    def forget_waiting(self, now: float) -> None:
        """Forget the nodes whose requests are too old to be answered."""
        self.waiting = {
            server_id: waiting
            for server_id, waiting in self.waiting.items()
            if now - waiting[-1][2] <= REPORT_DELAY_S
        }


class ProbeGrants:
    """Asks owners for probes, and grants the probes of the services that this node owns.

    :param membership: the nodes.
    :param registry: the registered servers.
    :param dispatchers: hold the load reports of this node.
    :param get_limit: returns the maximum probes per second to one server from all nodes.
    :param send: sends a message to a datagram address.
    """

    def __init__(
        self,
        *,
        membership: NodeMembership,
        registry: ServerRegistry,
        dispatchers: Dispatchers,
        get_limit: t.Callable[[], float],
        send: t.Callable[[str, Message], None],
    ) -> None:
        self._membership = membership
        self._registry = registry
        self._dispatchers = dispatchers
        self._get_limit = get_limit
        self._send = send
        self._owned: dict[str, _OwnedService] = {}
        # answers to the requests of this node, by their number
        self._pending: dict[int, asyncio.Queue[ProbeGrant]] = {}
        self._last_number = 0
        # requests in a row that the owner did not answer, by service
        self._unanswered: collections.Counter[str] = collections.Counter()
        self._silence_logged_at = float("-inf")
        # shares by service and failure domain of the server, valid until the next refresh
        self._shares: dict[tuple[str, str], ProbeShare] = {}
        # owners by service and failure domain, valid for one state of the membership
        self._owners: dict[tuple[str, str], NodeInfo | None] = {}
        self._owners_version = (-1, -1)
        # probes granted, reports passed on, and this node's requests, by what became of them
        self.result_counts: collections.Counter[str] = collections.Counter()

    def list_owned(self) -> list[str]:
        """Return the services whose probes this node grants in its failure domain."""
        return sorted(self._owned)

    def forget_shares(self) -> None:
        """Compute the shares anew when they are next needed; called when nodes have changed."""
        self._shares.clear()

    def refresh(self) -> None:
        """Apply changes of nodes and servers; called at regular intervals.

        It is not called for each change of a node, because choosing the owners takes long in a
        large fleet. A node that asks for probes is answered by the state of that moment.
        """
        self.forget_shares()
        now = time.monotonic()
        for dispatcher in self._dispatchers.list_all():
            owned = self._refresh_owned(dispatcher.service)
            if owned is not None:
                owned.forget_waiting(now)

    def get_share(self, service: str, server_domain: str) -> ProbeShare:
        """Return the probes of a server that this node and its failure domain may send.

        :param server_domain: failure domain of the server.
        """
        share = self._shares.get((service, server_domain))
        if share is not None:
            return share
        domain = self._membership.own.failure_domain
        share = compute_share(
            self._get_limit(),
            server_domain=server_domain,
            domain=domain,
            server_counts=count_by_domain(
                registered.server.failure_domain
                for registered in self._registry.list_usable(service)
            ),
            node_counts=self._membership.count_by_domain(),
            # Nodes of earlier builds ask for no grants, and use the whole equal share themselves.
            reachable_count=self._membership.count_reachable(
                domain, message_kinds=PROBE_MESSAGE_KINDS
            ),
        )
        self._shares[service, server_domain] = share
        return share

    def is_silent(self, service: str) -> bool:
        """Return whether the owner has not answered this node's last requests."""
        return self._unanswered[service] >= MAX_UNANSWERED

    async def request(
        self,
        dispatcher: Dispatcher,
        loads: list[ServerLoad],
        count: int,
        probe: t.Callable[[list[ServerLoad]], t.Awaitable[None]],
    ) -> None:
        """Obtain reports of some servers from the owner, or by probes that it grants.

        :param loads: the servers in the order of preference.
        :param count: number of reports that are needed.
        :param probe: probes servers at once, and returns when their reports have arrived.
        """
        service = dispatcher.service
        own = self._membership.own
        owner = self._get_owner(service, own.failure_domain)
        if owner is None:
            return
        server_ids = [load.server_id for load in loads[:MAX_PROBE_SERVERS]]
        self._last_number += 1
        number = self._last_number
        message = ProbeRequest(
            sender_id=own.vm_id,
            number=number,
            service=service,
            server_ids=server_ids,
            count=min(count, len(server_ids)),
        )
        answers = self._pending[number] = asyncio.Queue()
        sent_at = time.monotonic()
        answered = False
        self.result_counts["asked"] += 1
        try:
            self._send_to(owner, message)
            async with asyncio.timeout(GRANT_LIFETIME_S):
                answer = await answers.get()
                answered = True
            self._unanswered[service] = 0
            await self._use_answer(dispatcher, answer, sent_at, owner, probe)
            remaining_s = sent_at + GRANT_LIFETIME_S - time.monotonic()
            if answer.awaited and remaining_s > 0.0:
                async with asyncio.timeout(remaining_s):
                    answer = await answers.get()
                self._record_loads(dispatcher, answer.loads, sent_at)
        except TimeoutError:
            if not answered:
                self._record_silence(service, owner)
        finally:
            del self._pending[number]

    def handle(self, message: Message) -> None:
        """Handle a message of another node."""
        if isinstance(message, ProbeRequest):
            self._answer(message)
        elif isinstance(message, ProbeGrant):
            answers = self._pending.get(message.number)
            if answers is not None:
                answers.put_nowait(message)
        elif isinstance(message, ProbeReports):
            self._handle_reports(message)

    async def _use_answer(
        self,
        dispatcher: Dispatcher,
        answer: ProbeGrant,
        sent_at: float,
        owner: NodeInfo,
        probe: t.Callable[[list[ServerLoad]], t.Awaitable[None]],
    ) -> None:
        self._record_loads(dispatcher, answer.loads, sent_at)
        if not answer.server_ids:
            self.result_counts["reported" if answer.loads else "refused"] += 1
            return
        self.result_counts["probed"] += 1
        loads = [dispatcher.loads.get(server_id) for server_id in answer.server_ids]
        known = [load for load in loads if load is not None]
        probed_at = time.monotonic()
        await probe(known)
        if not answer.shares_reports:
            return
        now = time.monotonic()
        reports = [
            _build_shared_load(load.server_id, load.report, now - load.reported_at)
            for load in known
            if load.report is not None and load.reported_at >= probed_at
        ]
        if reports:
            own_id = self._membership.own.vm_id
            message = ProbeReports(sender_id=own_id, service=dispatcher.service, loads=reports)
            self._send_to(owner, message)

    def _record_loads(
        self, dispatcher: Dispatcher, loads: list[SharedLoad], sent_at: float
    ) -> None:
        """Record reports from an owner; they were as old as they say after *sent_at*."""
        recorded = False
        for shared in loads:
            load = dispatcher.loads.get(shared.server_id)
            if load is None:
                continue
            observed_at = sent_at - shared.age_ms / 1000.0
            recorded |= self._dispatchers.record_report(
                dispatcher, load, _build_report(shared), observed_at
            )
        if recorded:
            dispatcher.place_queued_requests()

    def _answer(self, message: ProbeRequest) -> None:
        """Grant probes to a node, and pass on reports."""
        sender = self._membership.get(message.sender_id)
        if sender is None:
            return
        owned = self._refresh_owned(message.service)
        grant = NO_GRANT
        if owned is not None:
            now = time.monotonic()
            server_ids = [
                server_id
                for server_id in message.server_ids
                if self._find_domain(message.service, server_id) is not None
            ]
            self._record_own_reports(owned, message.service, server_ids)
            grant = owned.granter.grant(
                server_ids,
                message.count,
                lambda server_id: self._get_granted_rate(message.service, server_id),
            )
            self.result_counts["granted"] += len(grant.server_ids)
            self.result_counts["passed_on"] += len(grant.reports)
            for server_id in grant.awaited_ids:
                waiting = owned.waiting.setdefault(server_id, [])
                waiting.append((message.sender_id, message.number, now))
        answer = ProbeGrant(
            sender_id=self._membership.own.vm_id,
            number=message.number,
            server_ids=grant.server_ids,
            loads=[
                _build_shared_load(shared.server_id, shared.report, shared.age_s)
                for shared in grant.reports
            ],
            awaited=bool(grant.awaited_ids),
            shares_reports=grant.shares_reports or bool(grant.awaited_ids),
        )
        self._send_to(sender, answer)

    def _handle_reports(self, message: ProbeReports) -> None:
        """Store reports, and pass them on to the nodes that wait for them."""
        owned = self._owned.get(message.service)
        if owned is None:
            return
        now = time.monotonic()
        dispatcher = self._dispatchers.get(message.service)
        answers: dict[tuple[str, int], list[SharedLoad]] = {}
        for shared in message.loads:
            if self._find_domain(message.service, shared.server_id) is None:
                continue
            owned.granter.record_report(
                shared.server_id, _build_report(shared), now - shared.age_ms / 1000.0
            )
            for sender_id, number, asked_at in owned.waiting.pop(shared.server_id, ()):
                if now - asked_at <= REPORT_DELAY_S:
                    answers.setdefault((sender_id, number), []).append(shared)
        own_id = self._membership.own.vm_id
        if message.sender_id != own_id:
            self._record_loads(dispatcher, message.loads, now)
        for (sender_id, number), loads in answers.items():
            waiting_node = self._membership.get(sender_id)
            if waiting_node is not None:
                grant = ProbeGrant(sender_id=own_id, number=number, loads=loads)
                self._send_to(waiting_node, grant)
        if not message.forwarded:
            self._forward_reports(message)

    def _forward_reports(self, message: ProbeReports) -> None:
        """Pass reports on to the owners in the other failure domains."""
        if len(self._registry.list_usable(message.service)) > MAX_FORWARDED_SERVERS:
            return
        own = self._membership.own
        forwarded = ProbeReports(
            sender_id=own.vm_id, service=message.service, loads=message.loads, forwarded=True
        )
        for domain in self._membership.count_by_domain():
            if domain == own.failure_domain:
                continue
            owner = self._get_owner(message.service, domain)
            if owner is not None:
                self._send_to(owner, forwarded)

    def _refresh_owned(self, service: str) -> _OwnedService | None:
        """Return the state of a service that this node owns, ``None`` for another service."""
        own = self._membership.own
        owner = self._get_owner(service, own.failure_domain)
        if owner is None or owner.vm_id != own.vm_id:
            if self._owned.pop(service, None) is not None:
                _logger.info("This node grants the probes of service {} no more.", service)
            return None
        owned = self._owned.get(service)
        if owned is None:
            owned = self._owned[service] = _OwnedService(ProbeGranter(clock=time.monotonic))
            _logger.info(
                "This node grants the probes of service {} in failure domain {}.",
                service,
                own.failure_domain,
            )
        owned.granter.confirm()
        return owned

    def _record_own_reports(
        self, owned: _OwnedService, service: str, server_ids: list[str]
    ) -> None:
        loads = self._dispatchers.get(service).loads
        for server_id in server_ids:
            load = loads.get(server_id)
            if load is not None and load.report is not None:
                owned.granter.record_report(server_id, load.report, load.reported_at)

    def _find_domain(self, service: str, server_id: str) -> str | None:
        """Return the failure domain of a server, ``None`` if the service has no such server."""
        registered = self._registry.get_server(server_id)
        if registered is None or registered.server.service != service:
            return None
        return registered.server.failure_domain

    def _get_granted_rate(self, service: str, server_id: str) -> float:
        domain = self._find_domain(service, server_id)
        return 0.0 if domain is None else self.get_share(service, domain).granted_per_s

    def _get_owner(self, service: str, domain: str) -> NodeInfo | None:
        version = (self._membership.state_changes, self._membership.own.version)
        if version != self._owners_version:
            self._owners_version = version
            self._owners.clear()
        key = (service, domain)
        if key not in self._owners:
            nodes = {
                info.vm_id: info
                for info in self._membership.list_live()
                if info.failure_domain == domain and info.message_kinds >= PROBE_MESSAGE_KINDS
            }
            owner_id = choose_owner(service, nodes)
            self._owners[key] = None if owner_id is None else nodes[owner_id]
        return self._owners[key]

    def _send_to(self, node: NodeInfo, message: Message) -> None:
        if node.vm_id == self._membership.own.vm_id:
            self.handle(message)
        else:
            self._send(node.notice_address, message)

    def _record_silence(self, service: str, owner: NodeInfo) -> None:
        self.result_counts["unanswered"] += 1
        self._unanswered[service] += 1
        now = time.monotonic()
        if not self.is_silent(service) or now - self._silence_logged_at < SILENCE_LOG_INTERVAL_S:
            return
        self._silence_logged_at = now
        _logger.warning(
            "Node {} does not answer requests for probes of service {}; "
            "this node probes within its equal share.",
            owner.vm_id,
            service,
        )


def _build_shared_load(server_id: str, report: DetailedLoadReport, age_s: float) -> SharedLoad:
    return SharedLoad(
        server_id=server_id,
        age_ms=max(0.0, 1000.0 * age_s),
        running=report.running,
        waiting=report.waiting,
        slots=report.slots,
        slowness=report.slowness,
    )


def _build_report(shared: SharedLoad) -> DetailedLoadReport:
    return DetailedLoadReport(
        running=shared.running,
        waiting=shared.waiting,
        slots=shared.slots,
        slowness=shared.slowness,
    )
