"""What the operator's command asks of the platform and of the processes."""

from __future__ import annotations

import asyncio
import typing as t

import aiohttp
import msgspec
import zmq.asyncio

from ..catalogue.records import Change
from ..catalogue.records import EntryState
from ..exceptions import PeerError
from ..exceptions import RecordsTrimmedError
from ..exceptions import VmListUnavailableError
from ..operations.settings import Settings
from ..peers.messages import InForceReply
from ..peers.messages import InForceRequest
from ..peers.messages import SnapshotReply
from ..peers.messages import SnapshotRequest
from ..peers.rpc import PeerClients
from ..standalone.log_client import CATALOGUE_STREAM
from ..standalone.log_client import LogClient
from ..standalone.vm_list_client import VmListClient

REQUEST_TIMEOUT_S = 1.0
NO_POSITION = -1


class CommandReport(msgspec.Struct, kw_only=True):
    """What a command has found out.

    :param status: ``accepted``, ``refused``, ``in-force``, ``not-known`` or the like.
    :param missing: processes that are not known to hold the revision.
    """

    status: str
    service: str = ""
    change_id: str = ""
    revision: int = 0
    beaten_by: str = ""
    detail: str = ""
    missing: list[str] = []


class OperatorClient:
    """One run of the command: the platform's adapters and the links to the processes.

    An asynchronous context manager, which closes all of them.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._context = zmq.asyncio.Context()
        self._links = PeerClients(context=self._context)
        self._session = aiohttp.ClientSession()
        self.log_client = LogClient(session=self._session, base_url=settings.platform.log_url)
        self._vm_list = VmListClient(session=self._session, url=settings.platform.vm_list_url)

    async def __aenter__(self) -> OperatorClient:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._links.close()
        await self._session.close()
        self._context.destroy(linger=0)

    async def request(self, address: str, message: t.Any) -> t.Any:
        """Ask one process; ``None`` if it does not answer."""
        try:
            return await self._links.get(address).request(message, REQUEST_TIMEOUT_S)
        except PeerError:
            return None

    async def list_agents(self) -> dict[str, str]:
        """Return the agents' addresses with the names of their VMs."""
        agents = {self._settings.agent_address: self._settings.vm.id}
        for address in self._settings.agent.peers:
            agents.setdefault(address, address)
        try:
            listed = await self._vm_list.read()
        except VmListUnavailableError:
            return agents
        entry_vms = listed.list_entry_vms()
        if entry_vms:
            # a peer in the settings that is no longer listed has been taken out of service
            agents = {}
        for vm in entry_vms:
            agents[vm.address] = vm.vm_id
        return agents

    async def find_state(self, service: str) -> EntryState | None:
        """Return the newest state of an entry that any agent holds."""
        newest = None
        for reply in await self.request_all(InForceRequest(service=service, revision=0)):
            state = reply.state
            if state is None:
                continue
            if newest is None or state.revision > newest.revision:
                newest = state
        return newest

    async def request_all(self, message: InForceRequest) -> list[InForceReply]:
        """Ask all agents; those that do not answer are left out."""
        agents = await self.list_agents()
        replies = await asyncio.gather(*(self.request(address, message) for address in agents))
        return [reply for reply in replies if isinstance(reply, InForceReply)]

    async def list_pending_processes(self, service: str, revision: int) -> list[str]:
        """Return the processes that are not known to hold a revision."""
        agents = await self.list_agents()
        message = InForceRequest(service=service, revision=revision)
        missing = []
        replies = await asyncio.gather(*(self.request(address, message) for address in agents))
        for name, reply in zip(agents.values(), replies, strict=True):
            if not isinstance(reply, InForceReply):
                missing.append(f"{name}/agent")
                continue
            for process in reply.processes:
                if not process.in_force:
                    missing.append(f"{reply.vm_id}/{process.name}")
        return missing

    async def find_change_outcome(self, change: Change) -> CommandReport | None:
        """Return what became of a change, as the first agent that knows it says."""
        for address in await self.list_agents():
            reply = await self.request(address, SnapshotRequest(position=NO_POSITION))
            if not isinstance(reply, SnapshotReply) or reply.snapshot is None:
                continue
            for outcome in reply.snapshot.outcomes:
                if outcome.change_id != change.change_id:
                    continue
                return CommandReport(
                    status="accepted" if outcome.accepted else "refused",
                    service=change.service,
                    change_id=change.change_id,
                    revision=outcome.revision,
                    beaten_by=outcome.beaten_by,
                    detail=outcome.faults,
                )
        return None

    async def is_log_complete(self) -> bool:
        """Tell whether the log still holds all that the agents have read."""
        furthest = 0
        for address in await self.list_agents():
            reply = await self.request(address, SnapshotRequest(position=NO_POSITION))
            if isinstance(reply, SnapshotReply) and reply.snapshot is not None:
                furthest = max(furthest, reply.snapshot.next_offset)
        try:
            page = await self.log_client.read(CATALOGUE_STREAM, furthest)
        except RecordsTrimmedError:
            return True
        return page.end >= furthest
