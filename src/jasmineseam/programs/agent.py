"""``jasmineseam-agent``: provides the service catalogue and the membership to a VM's programs."""

from __future__ import annotations

import asyncio
import pathlib
import time
import typing as t

import aiohttp

from ..catalogue.entry import CatalogueEntry
from ..catalogue.state import Catalogue
from ..exceptions import PeerError
from ..exceptions import VmListUnavailableError
from ..membership.servers import ServerMembership
from ..membership.vms import EntryVmMembership
from ..membership.vms import VmInfo
from ..operations.daemon import load_settings_or_exit
from ..operations.daemon import run_cli
from ..operations.daemon import run_daemon
from ..operations.metrics import add_counter
from ..operations.metrics import add_gauge
from ..operations.settings import Settings
from ..operations.vm_daemon import VmDaemon
from ..peers.messages import Gossip
from ..peers.messages import InForceReply
from ..peers.messages import InForceRequest
from ..peers.messages import Message
from ..peers.messages import ProcessRevisionStatus
from ..peers.messages import RefusedReply
from ..peers.messages import SnapshotReply
from ..peers.messages import SnapshotRequest
from ..peers.messages import Sync
from ..peers.messages import SyncReply
from ..standalone.log_client import LogClient
from ..standalone.vm_list_client import VmList
from ..standalone.vm_list_client import VmListClient
from ..transport.response_protocol import open_connector
from .catalogue_reader import CatalogueReader
from .local_programs import LocalPrograms
from .server_prober import ServerProber

VM_LIST_POLL_INTERVAL_S = 0.5
GOSSIP_INTERVAL_S = 1.0
GOSSIP_TIMEOUT_S = 1.0
SNAPSHOT_TIMEOUT_S = 2.0
LEAVING_SERVERS_UPDATE_INTERVAL_S = 5.0
PROGRAM_STOP_POLL_INTERVAL_S = 0.1
STOP_REPORT_GRACE_S = 0.5


class Agent(VmDaemon):
    """Reads the catalogue and the VM list, and exchanges membership with other agents by gossip.

    The other programs of the VM poll the resulting state from it with sync messages.

    :param settings: the VM's settings.
    """

    def __init__(self, *, settings: Settings) -> None:
        super().__init__(settings=settings, role="agent", control_port=settings.agent.control_port)
        self.catalogue = Catalogue()
        self.servers = ServerMembership(clock=time.monotonic)
        self.vms = EntryVmMembership(clock=time.monotonic)
        self.programs = LocalPrograms(clock=time.monotonic)
        self._gossip_tasks: dict[str, asyncio.Task] = {}
        self._gossip_triggers: dict[str, asyncio.Event] = {}
        self._vm_list_read_at = float("-inf")
        self._leaving = False
        self._session: aiohttp.ClientSession | None = None

    async def on_start(self) -> None:
        """Open the clients of the log and the VM list, and start all tasks."""
        await super().on_start()
        settings = self.settings
        connector = open_connector(limit=64)
        self._session = aiohttp.ClientSession(connector=connector)
        log = LogClient(session=self._session, base_url=settings.platform.log_url)
        self._vm_list = VmListClient(session=self._session, url=settings.platform.vm_list_url)
        self.catalogue_reader = CatalogueReader(
            catalogue=self.catalogue,
            log=log,
            retention_s=settings.platform.retention_s,
            adopt_peer_state=self._adopt_peer_state,
            get_checkpoint_rank=self._get_checkpoint_rank,
        )
        self.prober = ServerProber(
            seat_number=settings.vm.seat,
            seat_count=settings.vm.seats,
            holder=self.incarnation,
            log=log,
            session=self._session,
            servers=self.servers,
            list_entries=self._list_catalogue_entries,
        )
        for address in settings.agent.peers:
            self._start_gossip(address)
        for task in (
            self.catalogue_reader.read_forever(),
            self.catalogue_reader.write_checkpoints_forever(),
            self.prober.renew_seat_forever(),
            self.prober.probe_forever(),
            self._poll_vm_list(),
            self._update_leaving_servers(),
        ):
            self.add_future(task)
        self._add_metrics()

    @property
    def ready(self) -> bool:
        """Whether the catalogue has been loaded from the log or from a ready peer."""
        return self.catalogue_reader.caught_up

    async def handle_message(self, message: Message) -> Message:
        """Handle messages from the VM's programs, other agents and ``jasmineseam-ctl``."""
        if isinstance(message, Sync):
            return self._handle_sync(message)
        if isinstance(message, Gossip):
            return self._apply_gossip(message)
        if isinstance(message, SnapshotRequest):
            return self._handle_snapshot_request(message)
        if isinstance(message, InForceRequest):
            return self._handle_in_force_request(message)
        return RefusedReply(reason=f"agent takes no {type(message).__name__}")

    async def stop_gracefully(self) -> None:
        """Wait for the VM's stopping programs to exit, then send the VM state to all peers.

        After a grace period, the wait takes at most twice ``entry.stop_s``. If no entry process is
        left then, the VM state that is sent reports that the VM is leaving.
        """
        self.prober.stopped = True
        # programs that are stopped together with this agent report their planned stop to it with
        # a sync within this period
        await asyncio.sleep(STOP_REPORT_GRACE_S)
        deadline = time.monotonic() + self.settings.entry.stop_s * 2
        while self.programs.has_stopping_program() and time.monotonic() < deadline:
            await asyncio.sleep(PROGRAM_STOP_POLL_INTERVAL_S)
        if not self.programs.list_entry_processes():
            self._leaving = True
        await self._send_gossip_to_all()

    async def on_stop(self) -> None:
        """Cancel the gossip tasks and close the HTTP session for the log and the VM list."""
        for task in self._gossip_tasks.values():
            task.cancel()
        if self._session is not None:
            await self._session.close()
        await super().on_stop()

    def collect_state(self) -> dict[str, t.Any]:
        """Return the part of the state dump that describes this agent and the age of its data."""
        now = time.monotonic()
        states = self.catalogue.list_states()
        return {
            "ready": self.ready,
            "position": self.catalogue.position,
            "log_age_s": _round_age(now - self.catalogue_reader.last_read_at),
            "log_losses": self.catalogue_reader.log_loss_count,
            "invalid_records": self.catalogue.invalid_records,
            "entries": {state.service: state.revision for state in states},
            "vm_list_age_s": _round_age(now - self._vm_list_read_at),
            "servers": [server.server_id for server in self.servers.list_all()],
            "leaving": {
                report.server_id: report.source for report in self.servers.list_leaving_reports()
            },
            "vms": {
                vm.vm_id: {
                    "age_s": _round_age(self.vms.get_heartbeat_age_s(vm.vm_id)),
                    "ready": vm.ready,
                    "leaving": vm.leaving,
                }
                for vm in self.vms.list_known()
            },
            "programs": [
                {
                    "name": program.message.name,
                    "position": program.message.position,
                    "age_s": _round_age(now - program.received_at),
                }
                for program in self.programs.list_retained()
            ],
            "seat": {
                "number": self.prober.seat.seat,
                "held": self.prober.seat.is_held(),
                "probes_sent": self.prober.count_sent_probes(),
            },
        }

    def _list_catalogue_entries(self) -> list[CatalogueEntry]:
        states = self.catalogue.list_states()
        return [state.entry for state in states if state.entry is not None]

    def _build_vm_info(self) -> VmInfo:
        vm = self.settings.vm
        entries = [] if self._leaving else self.programs.list_entry_processes()
        return VmInfo(
            vm_id=vm.id,
            incarnation=self.incarnation,
            failure_domain=vm.failure_domain,
            agent_address=self.settings.get_advertised_address(self.settings.agent.control_port),
            seat=vm.seat,
            ready=self.ready and bool(entries),
            leaving=self._leaving,
            entries=entries,
        )

    def _get_checkpoint_rank(self) -> int:
        ids = sorted({vm.vm_id for vm in self.vms.list_live()} | {self.settings.vm.id})
        return ids.index(self.settings.vm.id)

    def _handle_sync(self, message: Sync) -> SyncReply:
        changed = self.programs.record_sync(message)
        for report in message.leaving:
            changed |= self.servers.mark_leaving(report.server_id, report.source, report.age_s)
        changed |= self.vms.add_successions(message.successors)
        self.prober.record_observations(message.observed, message.ejected)
        self.vms.record_heartbeat(self._build_vm_info())
        if changed:
            self._trigger_gossip()
        same_agent = message.agent_incarnation == self.incarnation
        # entries that were merged from a snapshot may have older positions than the program's, so
        # the program receives all entries if the number of merged entries has changed
        send_all = not same_agent or message.joins != self.catalogue.merged_entry_count
        states = self.catalogue.list_states_changed_since(-1 if send_all else message.position)
        servers_unchanged = same_agent and message.servers_version == self.servers.version
        # each reply repeats the latest 10 probe results; an entry process skips those that it has
        # already applied
        probed = [
            (result.server_id, result.in_flight, result.slots, result.state)
            for result in self.prober.probe_results[-10:]
        ]
        return SyncReply(
            agent_incarnation=self.incarnation,
            ready=self.ready,
            position=self.catalogue.position,
            joins=self.catalogue.merged_entry_count,
            states=states,
            servers_version=self.servers.version,
            servers=None if servers_unchanged else self.servers.list_all(),
            leaving=[] if servers_unchanged else self.servers.list_leaving_reports(),
            vms=self.vms.list_live(),
            successors=self.vms.list_successions(),
            probed=probed,
            entry_processes=max(1, sum(len(vm.entries) for vm in self.vms.list_live())),
        )

    def _apply_gossip(self, message: Gossip) -> Gossip:
        changed = False
        for report in message.leaving:
            changed |= self.servers.mark_leaving(report.server_id, report.source, report.age_s)
        changed |= self.vms.add_successions(message.successors)
        self.vms.record_heartbeat(message.vm)
        if changed:
            self._trigger_gossip()
        if message.position > self.catalogue.position and not self.catalogue_reader.log_available:
            self.add_future(self._adopt_peer_state())
        return self._build_gossip()

    def _handle_snapshot_request(self, message: SnapshotRequest) -> SnapshotReply:
        newer = self.catalogue.position > message.position
        return SnapshotReply(
            ready=self.ready,
            snapshot=self.catalogue.take_snapshot() if newer else None,
            servers=self.servers.list_all(),
        )

    def _handle_in_force_request(self, message: InForceRequest) -> InForceReply:
        state = self.catalogue.get_state(message.service)
        agent_in_force = state is not None and state.revision >= message.revision
        processes = [ProcessRevisionStatus(name="agent", in_force=agent_in_force)]
        for program in self.programs.list_retained():
            sync = program.message
            same_state = (
                sync.agent_incarnation == self.incarnation
                and sync.joins == self.catalogue.merged_entry_count
            )
            in_force = agent_in_force and same_state and sync.position >= state.position
            processes.append(ProcessRevisionStatus(name=sync.name, in_force=in_force))
        return InForceReply(
            vm_id=self.settings.vm.id,
            position=self.catalogue.position,
            state=state,
            processes=processes,
        )

    def _build_gossip(self) -> Gossip:
        return Gossip(
            vm=self._build_vm_info(),
            position=self.catalogue.position,
            leaving=self.servers.list_leaving_reports(),
            successors=self.vms.list_successions(),
        )

    def _start_gossip(self, address: str) -> None:
        own_address = self.settings.get_advertised_address(self.settings.agent.control_port)
        if address in (own_address, self.settings.agent_address) or address in self._gossip_tasks:
            return
        self._gossip_triggers[address] = asyncio.Event()
        self._gossip_tasks[address] = asyncio.create_task(self._gossip_with(address))

    async def _gossip_with(self, address: str) -> None:
        trigger = self._gossip_triggers[address]
        while True:
            trigger.clear()
            try:
                await self._send_gossip(address)
            except PeerError as error:
                self.logger.debug(
                    "Gossip with peer {} failed, retrying in the next round: {}", address, error
                )
            try:
                async with asyncio.timeout(GOSSIP_INTERVAL_S):
                    await trigger.wait()
            except TimeoutError:
                continue

    async def _send_gossip(self, address: str) -> None:
        client = self.peer_clients.get(address)
        reply = await client.request(self._build_gossip(), GOSSIP_TIMEOUT_S)
        if isinstance(reply, Gossip):
            self._apply_gossip(reply)

    async def _send_gossip_to_all(self) -> None:
        sends = [self._send_gossip(address) for address in self._gossip_tasks]
        await asyncio.gather(*sends, return_exceptions=True)

    def _trigger_gossip(self) -> None:
        for trigger in self._gossip_triggers.values():
            trigger.set()

    async def _poll_vm_list(self) -> None:
        while True:
            try:
                self._apply_vm_list(await self._vm_list.read())
            except VmListUnavailableError as error:
                self.logger.debug(
                    "VM list could not be read, retrying with the next poll: {}", error
                )
            await asyncio.sleep(VM_LIST_POLL_INTERVAL_S)

    def _apply_vm_list(self, vm_list: VmList) -> None:
        self._vm_list_read_at = time.monotonic()
        version = self.servers.version
        self.servers.replace_servers(vm_list.list_servers())
        if self.servers.version != version:
            self._trigger_gossip()
        entry_vms = vm_list.list_entry_vms()
        self.vms.replace_listed_states({vm.vm_id: vm.state for vm in entry_vms})
        for vm in entry_vms:
            self._start_gossip(vm.address)
        peer_addresses = {vm.address for vm in entry_vms} | set(self.settings.agent.peers)
        for address in set(self._gossip_tasks) - peer_addresses:
            self._gossip_tasks.pop(address).cancel()
            del self._gossip_triggers[address]
        self.peer_clients.close_except(peer_addresses)

    async def _adopt_peer_state(self) -> bool:
        """Adopt the catalogue of each ready peer if it is newer than this agent's catalogue.

        The servers of a ready peer are adopted only if this agent has no server list yet.

        :returns: whether any peer is ready.
        """
        requests = [self._request_snapshot(address) for address in list(self._gossip_tasks)]
        replies = await asyncio.gather(*requests, return_exceptions=True)
        ready = False
        for reply in replies:
            if not isinstance(reply, SnapshotReply) or not reply.ready:
                continue
            ready = True
            if reply.snapshot is not None and self.catalogue.adopt_snapshot(reply.snapshot):
                self.logger.info(
                    "Adopted the catalogue at position {} from a peer.", reply.snapshot.position
                )
            if not self.servers.list_all():
                self.servers.replace_servers(reply.servers)
        return ready

    async def _request_snapshot(self, address: str) -> Message:
        request = SnapshotRequest(position=self.catalogue.position)
        return await self.peer_clients.get(address).request(request, SNAPSHOT_TIMEOUT_S)

    async def _update_leaving_servers(self) -> None:
        while True:
            self.servers.expire_leaving_reports()
            self._mark_leaving_from_catalogue()
            await asyncio.sleep(LEAVING_SERVERS_UPDATE_INTERVAL_S)

    def _mark_leaving_from_catalogue(self) -> None:
        for entry in self._list_catalogue_entries():
            for server_id in entry.leaving:
                self.servers.mark_leaving(server_id, "catalogue")

    def _add_metrics(self) -> None:
        def read_position():
            return [(self.catalogue.position, {})]

        def read_invalid():
            return [(self.catalogue.invalid_records, {})]

        def read_probes():
            return [
                (sent, {"service": name}) for name, sent in self.prober.count_sent_probes().items()
            ]

        add_gauge(self.meter_provider, "catalogue.position", "1", "Records folded.", read_position)
        add_counter(
            self.meter_provider, "catalogue.invalid", "1", "Records refused.", read_invalid
        )
        add_counter(self.meter_provider, "probes.sent", "1", "Probes sent.", read_probes)


def _round_age(age_s: float) -> float | None:
    return None if age_s == float("inf") else round(age_s, 3)


def run_agent(settings_file: pathlib.Path, *, check: bool = False) -> None:
    """Run the agent of an entry VM.

    :param settings_file: the VM's settings, JSON with comments.
    :param check: only check the settings; exit with 0 if they are valid.
    """
    settings = load_settings_or_exit(settings_file)
    if check:
        return
    run_daemon(lambda loaded: Agent(settings=loaded), settings)


def main() -> None:
    """Run the command line."""
    run_cli(run_agent)
