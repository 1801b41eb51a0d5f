"""A program's copy of its agent's state, kept up by one task that asks again and again.

Without the agent the program goes on with the last state it holds, and says how old that is.
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
    """What a program holds of the catalogue, the servers and the VMs.

    :param links: the program's links.
    :param agent_address: the agent's control address.
    :param describe: returns the message to send, without what the mirror itself holds.
    :param on_reply: called after each reply was taken.
    """

    def __init__(
        self,
        *,
        links: PeerClients,
        agent_address: str,
        describe: t.Callable[[], Sync],
        on_reply: t.Callable[[SyncReply], None] = lambda reply: None,
    ) -> None:
        self._links = links
        self._agent_address = agent_address
        self._describe = describe
        self._on_reply = on_reply
        self._wanted = asyncio.Event()
        self._agent_incarnation = ""
        self._joins = -1
        self._agent_servers_version = -1
        self.position = -1
        self.states: dict[str, EntryState] = {}
        self.servers = ServerMembership(clock=time.monotonic)
        self.vms = EntryVmMembership(clock=time.monotonic)
        self.live_vms: list[VmInfo] = []
        self.entry_process_count = 1
        self.ready = False
        self.synced_at = float("-inf")
        self._left = False

    def trigger_sync(self) -> None:
        """Tell the agent at once of something it should spread."""
        self._wanted.set()

    async def sync_forever(self) -> None:
        """Ask the agent again and again, until cancelled."""
        while True:
            try:
                await self.sync()
            except PeerError as error:
                _logger.debug("Agent does not answer: {}", error)
            try:
                async with asyncio.timeout(SYNC_INTERVAL_S):
                    await self._wanted.wait()
            except TimeoutError:
                continue
            self._wanted.clear()

    async def announce_exit(self) -> None:
        """Tell the agent that this program is about to end."""
        self._left = True
        with contextlib.suppress(PeerError):
            await self.sync()

    async def sync(self) -> None:
        """Ask once.

        :raises PeerError: if the agent does not answer.
        """
        message = self._describe()
        message.position = self.position
        message.joins = self._joins
        message.servers_version = self._agent_servers_version
        message.left = self._left
        message.agent_incarnation = self._agent_incarnation
        link = self._links.get(self._agent_address)
        reply = await link.request(message, SYNC_TIMEOUT_S)
        if isinstance(reply, SyncReply):
            self._take(reply)

    def get_age_s(self) -> float:
        """Return the age of the state held, in seconds."""
        return time.monotonic() - self.synced_at

    def describe(self) -> dict[str, t.Any]:
        """Return the state for a dump."""
        return {
            "state_age_s": round(self.get_age_s(), 3) if self.synced_at > 0 else None,
            "ready": self.ready,
            "position": self.position,
            "entries": {name: state.revision for name, state in self.states.items()},
            "leaving": [sign.server_id for sign in self.servers.list_leaving_reports()],
            "live_vms": [vm.vm_id for vm in self.live_vms],
        }

    def _take(self, reply: SyncReply) -> None:
        if self.ready and not reply.ready:
            # a restarted agent that knows nothing yet takes nothing away
            return
        same_agent = reply.agent_incarnation == self._agent_incarnation
        if same_agent and reply.position < self.position:
            return
        for state in reply.states:
            self._take_state(state)
        self.position = reply.position
        self._joins = reply.joins
        self._agent_incarnation = reply.agent_incarnation
        if reply.servers is not None:
            self.servers.replace_servers(reply.servers)
            self._agent_servers_version = reply.servers_version
        self._take_signs(reply.leaving, reply.successors)
        self.live_vms = reply.vms
        self.entry_process_count = reply.entry_processes
        self.ready = reply.ready
        self.synced_at = time.monotonic()
        self._on_reply(reply)

    def _take_state(self, state: EntryState) -> None:
        held = self.states.get(state.service)
        if held is not None and held.revision >= state.revision:
            invariants.check(
                held.revision > state.revision or held.change_id == state.change_id,
                "entry-diverged",
                state.service,
            )
            return
        self.states[state.service] = state

    def _take_signs(self, signs: list[LeavingReport], successors: list[Succession]) -> None:
        for sign in signs:
            self.servers.mark_leaving(sign.server_id, sign.source, sign.age_s)
        self.vms.add_successions(successors)
        for state in self.states.values():
            if state.entry is None:
                continue
            for server_id in state.entry.leaving:
                self.servers.mark_leaving(server_id, "catalogue")
