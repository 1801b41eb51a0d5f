"""``jasmineseam-ctl``: the operator's command.

Exit codes: 0 done, 1 refused, 2 usage, 3 not known yet.
"""

from __future__ import annotations

import asyncio
import enum
import pathlib
import secrets
import sys
import time
import typing as t

import aiohttp
import defopt
import jsonc
import msgspec
import zmq.asyncio

from ..catalogue.entry import CatalogueEntry
from ..catalogue.entry import check_entry
from ..catalogue.records import Change
from ..catalogue.records import EntryState
from ..catalogue.records import encode_record
from ..exceptions import EntryInvalidError
from ..exceptions import LogUnavailableError
from ..exceptions import PeerError
from ..exceptions import RecordsTrimmedError
from ..exceptions import VmListUnavailableError
from ..operations.daemon import load_or_exit
from ..operations.settings import Settings
from ..peers.links import PeerLinks
from ..peers.messages import DumpReply
from ..peers.messages import DumpRequest
from ..peers.messages import InForceReply
from ..peers.messages import InForceRequest
from ..peers.messages import SnapshotReply
from ..peers.messages import SnapshotRequest
from ..platform.log import CATALOGUE_STREAM
from ..platform.log import LogClient
from ..platform.vmlist import VmListClient

ASK_TIMEOUT_S = 1.0
POLL_S = 0.2
ANY_POSITION = -1


class Exit(enum.IntEnum):
    """Exit codes."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NOT_KNOWN = 3


class Report(msgspec.Struct, kw_only=True):
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


class Operator:
    """One run of the command: the platform's adapters and the links to the processes."""

    def __init__(self, *, settings: Settings) -> None:
        self._settings = settings
        self._context = zmq.asyncio.Context()
        self._links = PeerLinks(context=self._context)
        self._session = aiohttp.ClientSession()
        self.log = LogClient(session=self._session, base_url=settings.platform.log_url)
        self._vm_list = VmListClient(session=self._session, url=settings.platform.vm_list_url)

    async def close(self) -> None:
        """Close all connections."""
        self._links.close()
        await self._session.close()
        self._context.destroy(linger=0)

    async def ask(self, address: str, message: t.Any) -> t.Any:
        """Ask one process; ``None`` if it does not answer."""
        try:
            return await self._links.get(address).request(message, ASK_TIMEOUT_S)
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
        for reply in await self.ask_all(InForceRequest(service=service, revision=0)):
            state = reply.state
            if state is None:
                continue
            if newest is None or state.revision > newest.revision:
                newest = state
        return newest

    async def ask_all(self, message: InForceRequest) -> list[InForceReply]:
        """Ask all agents; those that do not answer are left out."""
        agents = await self.list_agents()
        replies = await asyncio.gather(*(self.ask(address, message) for address in agents))
        return [reply for reply in replies if isinstance(reply, InForceReply)]

    async def list_missing(self, service: str, revision: int) -> list[str]:
        """Return the processes that are not known to hold a revision."""
        agents = await self.list_agents()
        message = InForceRequest(service=service, revision=revision)
        missing = []
        replies = await asyncio.gather(*(self.ask(address, message) for address in agents))
        for name, reply in zip(agents.values(), replies, strict=True):
            if not isinstance(reply, InForceReply):
                missing.append(f"{name}/agent")
                continue
            for process in reply.processes:
                if not process.in_force:
                    missing.append(f"{reply.vm_id}/{process.name}")
        return missing

    async def find_outcome(self, change: Change) -> Report | None:
        """Return what became of a change, as the first agent that knows it says."""
        for address in await self.list_agents():
            reply = await self.ask(address, SnapshotRequest(position=ANY_POSITION))
            if not isinstance(reply, SnapshotReply) or reply.snapshot is None:
                continue
            for outcome in reply.snapshot.outcomes:
                if outcome.change_id != change.change_id:
                    continue
                return Report(
                    status="accepted" if outcome.accepted else "refused",
                    service=change.service,
                    change_id=change.change_id,
                    revision=outcome.revision,
                    beaten_by=outcome.beaten_by,
                    detail=outcome.faults,
                )
        return None

    async def is_log_whole(self) -> bool:
        """Tell whether the log still holds all that the agents have read."""
        furthest = 0
        for address in await self.list_agents():
            reply = await self.ask(address, SnapshotRequest(position=ANY_POSITION))
            if isinstance(reply, SnapshotReply) and reply.snapshot is not None:
                furthest = max(furthest, reply.snapshot.next_offset)
        try:
            page = await self.log.read(CATALOGUE_STREAM, furthest)
        except RecordsTrimmedError:
            return True
        return page.end >= furthest


async def _publish(operator: Operator, change: Change, timeout_s: float) -> Report:
    """Append a change, again under the same id if an answer was lost, and learn its outcome."""
    deadline = time.monotonic() + timeout_s
    detail = "no agent has read the change yet"
    appended = False
    while time.monotonic() < deadline:
        try:
            if not appended and not await operator.is_log_whole():
                detail = "the log has lost records and is being refilled"
                await asyncio.sleep(POLL_S)
                continue
            if not appended:
                await operator.log.append(CATALOGUE_STREAM, encode_record(change))
                appended = True
        except LogUnavailableError as error:
            detail = f"the log does not answer: {error}"
        report = await operator.find_outcome(change)
        if report is not None:
            return report
        await asyncio.sleep(POLL_S)
    return Report(
        status="not-known", service=change.service, change_id=change.change_id, detail=detail
    )


async def _wait(operator: Operator, service: str, revision: int, timeout_s: float) -> Report:
    deadline = time.monotonic() + timeout_s
    while True:
        missing = await operator.list_missing(service, revision)
        if not missing:
            return Report(status="in-force", service=service, revision=revision)
        if time.monotonic() >= deadline:
            return Report(status="not-known", service=service, revision=revision, missing=missing)
        await asyncio.sleep(POLL_S)


async def _change(
    settings: Settings,
    service: str,
    body: dict[str, t.Any] | None,
    base_revision: int | None,
    change_id: str,
    timeout_s: float,
) -> Report:
    operator = Operator(settings=settings)
    try:
        if base_revision is None:
            state = await operator.find_state(service)
            base_revision = state.revision if state else 0
        change = Change(
            change_id=change_id or secrets.token_hex(16),
            service=service,
            base_revision=base_revision,
            body=body,
        )
        report = await _publish(operator, change, timeout_s)
        if report.status != "accepted":
            return report
        in_force = await _wait(operator, service, report.revision, timeout_s)
        report.status = "in-force" if in_force.status == "in-force" else "accepted"
        report.missing = in_force.missing
        return report
    finally:
        await operator.close()


def _read_entry(path: pathlib.Path) -> CatalogueEntry:
    try:
        return check_entry(str(path), jsonc.loads(path.read_text(encoding="utf-8")))
    except EntryInvalidError as error:
        for fault in error.faults:
            print(f"{error.source}: {fault}", file=sys.stderr)
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
    sys.exit(Exit.REFUSED)


def _finish(report: Report, as_json: bool) -> t.NoReturn:
    if as_json:
        print(msgspec.json.encode(report).decode())
    else:
        parts = [report.status, report.service, f"revision {report.revision}"]
        if report.beaten_by:
            parts.append(f"beaten by {report.beaten_by}")
        if report.detail:
            parts.append(report.detail)
        if report.missing:
            parts.append("not yet at " + ", ".join(report.missing))
        if report.change_id:
            parts.append(f"change {report.change_id}")
        print("; ".join(parts))
    sys.exit(_find_exit(report))


def _find_exit(report: Report) -> Exit:
    if report.status == "refused":
        return Exit.REFUSED
    if report.status == "not-known" or report.missing:
        return Exit.NOT_KNOWN
    return Exit.DONE


def check(entry_file: pathlib.Path, *, json: bool = False) -> None:
    """Check a catalogue entry without publishing it.

    :param entry_file: the entry, JSON with comments.
    :param json: print the result as JSON.
    """
    entry = _read_entry(entry_file)
    _finish(Report(status="valid", service=entry.service), json)


def publish(
    settings_file: pathlib.Path,
    entry_file: pathlib.Path,
    *,
    base_revision: int | None = None,
    change_id: str = "",
    timeout_s: float = 12.0,
    json: bool = False,
) -> None:
    """Publish a catalogue entry, and wait until it is in force everywhere.

    :param settings_file: an entry VM's settings.
    :param entry_file: the entry, JSON with comments.
    :param base_revision: the revision that this change is based on; the newest known if left out.
    :param change_id: to repeat a publication whose outcome was not known.
    :param timeout_s: how long to wait, in seconds.
    :param json: print the result as JSON.
    """
    settings = load_or_exit(settings_file)
    entry = _read_entry(entry_file)
    body = msgspec.to_builtins(entry)
    report = asyncio.run(
        _change(settings, entry.service, body, base_revision, change_id, timeout_s)
    )
    _finish(report, json)


def withdraw(
    settings_file: pathlib.Path,
    service: str,
    *,
    base_revision: int | None = None,
    change_id: str = "",
    timeout_s: float = 12.0,
    json: bool = False,
) -> None:
    """Withdraw a catalogue entry, and wait until that is in force everywhere.

    :param settings_file: an entry VM's settings.
    :param service: the entry's name.
    :param base_revision: the revision that this change is based on; the newest known if left out.
    :param change_id: to repeat a withdrawal whose outcome was not known.
    :param timeout_s: how long to wait, in seconds.
    :param json: print the result as JSON.
    """
    settings = load_or_exit(settings_file)
    report = asyncio.run(_change(settings, service, None, base_revision, change_id, timeout_s))
    _finish(report, json)


def show(settings_file: pathlib.Path, service: str, *, json: bool = False) -> None:
    """Show the newest state of an entry that any agent holds.

    :param settings_file: an entry VM's settings.
    :param service: the entry's name.
    :param json: print it as one line of JSON.
    """
    settings = load_or_exit(settings_file)

    async def ask() -> EntryState | None:
        operator = Operator(settings=settings)
        try:
            return await operator.find_state(service)
        finally:
            await operator.close()

    state = asyncio.run(ask())
    if state is None:
        _finish(Report(status="not-known", service=service, detail="no agent holds it"), json)
    text = msgspec.json.encode(state)
    print(text.decode() if json else msgspec.json.format(text).decode())


def wait(
    settings_file: pathlib.Path,
    service: str,
    revision: int,
    *,
    timeout_s: float = 12.0,
    json: bool = False,
) -> None:
    """Wait until a revision of an entry is in force at every process.

    :param settings_file: an entry VM's settings.
    :param service: the entry's name.
    :param revision: the revision to wait for.
    :param timeout_s: how long to wait, in seconds.
    :param json: print the result as JSON.
    """
    settings = load_or_exit(settings_file)

    async def ask() -> Report:
        operator = Operator(settings=settings)
        try:
            return await _wait(operator, service, revision, timeout_s)
        finally:
            await operator.close()

    _finish(asyncio.run(ask()), json)


def dump(settings_file: pathlib.Path, address: str = "") -> None:
    """Print the state of a process as JSON.

    :param settings_file: an entry VM's settings.
    :param address: the process's control address, ``ip:port``; the VM's agent if left out.
    """
    settings = load_or_exit(settings_file)

    async def ask() -> t.Any:
        operator = Operator(settings=settings)
        try:
            return await operator.ask(address or settings.agent_address, DumpRequest())
        finally:
            await operator.close()

    reply = asyncio.run(ask())
    if not isinstance(reply, DumpReply):
        _finish(Report(status="not-known", detail="the process does not answer"), False)
    print(msgspec.json.format(reply.document))


def main() -> None:
    """Run the program's command line."""
    commands = [check, publish, withdraw, show, wait, dump]
    defopt.run(commands, cli_options="has_default", short={})
