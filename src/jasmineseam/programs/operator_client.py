"""Sends the requests of ``jasmineseam-ctl`` to the platform's services and to all processes."""

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
from ..transport.response_protocol import open_connector

REQUEST_TIMEOUT_S = 1.0
# less than every position, so that an agent always returns its snapshot
NO_POSITION = -1


class CommandReport(msgspec.Struct, kw_only=True):
    """The result of a command.

    :param status: ``accepted``, ``refused``, ``in-force``, ``valid`` or ``not-known``.
    :param service: the catalogue entry's service.
    :param change_id: the id of the change, with which the command can be repeated.
    :param revision: the entry's revision.
    :param beaten_by: the id of the change that was accepted instead of a refused one.
    :param detail: why a change was refused, or why the status is not known.
    :param missing: processes that do not apply the revision yet or did not reply, as
        ``vm/process``.
    """

    status: str
    service: str = ""
    change_id: str = ""
    revision: int = 0
    beaten_by: str = ""
    detail: str = ""
    missing: list[str] = []


class OperatorClient:
    """Client of the platform's services and RPC client of all processes, for one command.

    An asynchronous context manager; closes all clients on exit.

    :param settings: the settings of an entry VM.
    """

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._context = zmq.asyncio.Context()
        self._peer_clients = PeerClients(context=self._context)
        self._session = aiohttp.ClientSession(connector=open_connector())
        self.log_client = LogClient(session=self._session, base_url=settings.platform.log_url)
        self._vm_list = VmListClient(session=self._session, url=settings.platform.vm_list_url)

    async def __aenter__(self) -> OperatorClient:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._peer_clients.close()
        await self._session.close()
        self._context.destroy(linger=0)

    async def request(self, address: str, message: t.Any) -> t.Any:
        """Send a message to a process; returns its reply, or ``None`` if there is none."""
        try:
            return await self._peer_clients.get(address).request(message, REQUEST_TIMEOUT_S)
        except PeerError:
            return None

    async def list_agents(self) -> dict[str, str]:
        """Return the VM ids of all agents by control address.

        An agent that is only in the settings has its address in place of the VM id.
        """
        agents = {self._settings.agent_address: self._settings.vm.id}
        for address in self._settings.agent.peers:
            agents.setdefault(address, address)
        try:
            vm_list = await self._vm_list.read()
        except VmListUnavailableError:
            return agents
        entry_vms = vm_list.list_entry_vms()
        if entry_vms:
            # a peer of the settings that is not on the VM list has been removed from service
            agents = {}
        for vm in entry_vms:
            agents[vm.address] = vm.vm_id
        return agents

    async def find_newest_state(self, service: str) -> EntryState | None:
        """Return the newest state of an entry among all agents, ``None`` if no agent holds one."""
        newest = None
        for reply in await self.request_all_agents(InForceRequest(service=service, revision=0)):
            state = reply.state
            if state is None:
                continue
            if newest is None or state.revision > newest.revision:
                newest = state
        return newest

    async def request_all_agents(self, message: InForceRequest) -> list[InForceReply]:
        """Send a message to all agents; returns the replies within ``REQUEST_TIMEOUT_S``."""
        agents = await self.list_agents()
        replies = await asyncio.gather(*(self.request(address, message) for address in agents))
        return [reply for reply in replies if isinstance(reply, InForceReply)]

    async def list_pending_processes(self, service: str, revision: int) -> list[str]:
        """Return the processes that do not apply a revision yet or did not reply.

        :returns: names of the form ``vm/process``.
        """
        agents = await self.list_agents()
        message = InForceRequest(service=service, revision=revision)
        pending = []
        replies = await asyncio.gather(*(self.request(address, message) for address in agents))
        for name, reply in zip(agents.values(), replies, strict=True):
            if not isinstance(reply, InForceReply):
                pending.append(f"{name}/agent")
                continue
            for process in reply.processes:
                if not process.in_force:
                    pending.append(f"{reply.vm_id}/{process.name}")
        return pending

    async def find_change_outcome(self, change: Change) -> CommandReport | None:
        """Return the outcome of a change, ``None`` if no agent holds it."""
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
        """Return whether the log has lost none of the records that the agents have read.

        Records that the log has trimmed because of their age do not count as lost.
        """
        max_offset = 0
        for address in await self.list_agents():
            reply = await self.request(address, SnapshotRequest(position=NO_POSITION))
            if isinstance(reply, SnapshotReply) and reply.snapshot is not None:
                max_offset = max(max_offset, reply.snapshot.next_offset)
        try:
            page = await self.log_client.read(CATALOGUE_STREAM, max_offset)
        except RecordsTrimmedError:
            # the log was trimmed beyond this offset, so its latest records are not lost
            return True
        return page.end >= max_offset
