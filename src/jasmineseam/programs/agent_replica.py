"""A program's copy of its agent's state, updated by polling the agent.

While the agent is unavailable, the program uses the last state that it received. The age of this
state is part of the state dump and the metrics.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
import typing as t

import logbook

from .. import invariants
from ..catalogue.records import EntryState
from ..exceptions import PeerError
from ..membership.servers import LeavingReport
from ..membership.servers import ServerMembership
from ..membership.vms import EntryVmMembership
from ..membership.vms import Succession
from ..membership.vms import VmInfo
from ..peers.messages import Sync
from ..peers.messages import SyncReply
from ..peers.rpc import PeerClients

SYNC_INTERVAL_S = 0.1
SYNC_TIMEOUT_S = 1.0
_logger = logbook.Logger("mirror")


class AgentReplica:
    """A program's copy of the catalogue, the servers and the entry VMs.

    :param peer_clients: the program's RPC clients.
    :param agent_address: the agent's control address.
    :param build_sync: returns the sync message to send; the replica sets the position and the
        versions of the state that it holds.
    :param on_reply: called after each reply that was applied.
    """

    def __init__(
        self,
        *,
        peer_clients: PeerClients,
        agent_address: str,
        build_sync: t.Callable[[], Sync],
        on_reply: t.Callable[[SyncReply], None] = lambda reply: None,
    ) -> None:
        self._peer_clients = peer_clients
        self._agent_address = agent_address
        self._build_sync = build_sync
        self._on_reply = on_reply
        self._sync_requested = asyncio.Event()
        self._agent_incarnation = ""
        # merged entry count of the agent's catalogue, the field joins of the sync messages
        self._agent_merged_entry_count = -1
        self._agent_servers_version = -1
        self.position = -1
        self.states: dict[str, EntryState] = {}
        self.servers = ServerMembership(clock=time.monotonic)
        self.vms = EntryVmMembership(clock=time.monotonic)
        self.live_vms: list[VmInfo] = []
        self.entry_process_count = 1
        self.ready = False
        self.synced_at = float("-inf")
        self._exiting = False

    def trigger_sync(self) -> None:
        """Send the next sync at once, so that the agent sends a change to its peers at once."""
        self._sync_requested.set()

    async def sync_forever(self) -> None:
        """Poll the agent until cancelled."""
        while True:
            try:
                await self.sync()
            except PeerError as error:
                _logger.debug("Sync with the agent failed, retrying with the next poll: {}", error)
            try:
                async with asyncio.timeout(SYNC_INTERVAL_S):
                    await self._sync_requested.wait()
            except TimeoutError:
                continue
            self._sync_requested.clear()

    async def report_exit(self) -> None:
        """Report to the agent that this program is about to exit."""
        self._exiting = True
        with contextlib.suppress(PeerError):
            await self.sync()

    async def sync(self) -> None:
        """Send one sync to the agent and apply the reply.

        :raises PeerError: if the agent is unreachable or sends no valid reply in time.
        """
        message = self._build_sync()
        message.position = self.position
        message.joins = self._agent_merged_entry_count
        message.servers_version = self._agent_servers_version
        message.left = self._exiting
        message.agent_incarnation = self._agent_incarnation
        client = self._peer_clients.get(self._agent_address)
        reply = await client.request(message, SYNC_TIMEOUT_S)
        if isinstance(reply, SyncReply):
            self._apply_reply(reply)

    def get_age_s(self) -> float:
        """Return the time since the last reply was applied, in seconds."""
        return time.monotonic() - self.synced_at

    def collect_state(self) -> dict[str, t.Any]:
        """Return the part of the state dump that describes this replica."""
        return {
            "state_age_s": round(self.get_age_s(), 3) if self.synced_at > 0 else None,
            "ready": self.ready,
            "position": self.position,
            "entries": {name: state.revision for name, state in self.states.items()},
            "leaving": [report.server_id for report in self.servers.list_leaving_reports()],
            "live_vms": [vm.vm_id for vm in self.live_vms],
        }

    def _apply_reply(self, reply: SyncReply) -> None:
        if self.ready and not reply.ready:
            # an agent that has just restarted and holds no state yet must not clear this copy
            return
        same_agent = reply.agent_incarnation == self._agent_incarnation
        if same_agent and reply.position < self.position:
            return
        for state in reply.states:
            self._apply_state(state)
        self.position = reply.position
        self._agent_merged_entry_count = reply.joins
        self._agent_incarnation = reply.agent_incarnation
        if reply.servers is not None:
            self.servers.replace_servers(reply.servers)
            self._agent_servers_version = reply.servers_version
        self._apply_membership_reports(reply.leaving, reply.successors)
        self.live_vms = reply.vms
        self.entry_process_count = reply.entry_processes
        self.ready = reply.ready
        self.synced_at = time.monotonic()
        self._on_reply(reply)

    def _apply_state(self, state: EntryState) -> None:
        current = self.states.get(state.service)
        if current is not None and current.revision >= state.revision:
            invariants.check(
                current.revision > state.revision or current.change_id == state.change_id,
                "entry-diverged",
                state.service,
            )
            return
        self.states[state.service] = state

    def _apply_membership_reports(
        self, reports: list[LeavingReport], successions: list[Succession]
    ) -> None:
        for report in reports:
            self.servers.mark_leaving(report.server_id, report.source, report.age_s)
        self.vms.add_successions(successions)
        for state in self.states.values():
            if state.entry is None:
                continue
            for server_id in state.entry.leaving:
                self.servers.mark_leaving(server_id, "catalogue")
