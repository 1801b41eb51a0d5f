"""Membership of entry VMs.

A VM is live if its last heartbeat is recent or the platform lists it as live, and if it is ready
and not leaving.
"""

from __future__ import annotations

import msgspec

HEARTBEAT_TIMEOUT_S = 3.0
UNLISTED_VM_RETENTION_S = 30.0
MAX_SUCCESSIONS = 1024
MAX_SUCCESSION_DEPTH = 16


class EntryProcess(msgspec.Struct, kw_only=True):
    """An entry process, as published to other VMs and to callers.

    :param incarnation: random id of this start of the process.
    :param http_address: ``ip:port`` for callers.
    :param control_address: ``ip:port`` for other processes of the system.
    :param key_prefix: current prefix of the idempotency keys that it issues.
    :param in_flight: number of requests in flight.
    """

    incarnation: str
    http_address: str
    control_address: str
    key_prefix: str
    in_flight: int = 0


class VmInfo(msgspec.Struct, kw_only=True):
    """State of a VM, as published by its agent.

    :param incarnation: random id of this start of the agent.
    :param agent_address: ``ip:port`` of the agent.
    :param seat: number of the VM's seat, to which one share of the probe budget belongs.
    :param ready: whether callers may send requests to its entry processes.
    :param leaving: whether the VM is shutting down.
    """

    vm_id: str
    incarnation: str
    failure_domain: str
    agent_address: str
    seat: int = 0
    ready: bool = False
    leaving: bool = False
    entries: list[EntryProcess] = []


class Succession(msgspec.Struct, kw_only=True, frozen=True):
    """Handover of a ledger from a stopped entry process to another one.

    :param incarnation: incarnation of the stopped process.
    :param successor: incarnation of the process that took over its ledger.
    """

    incarnation: str
    successor: str


class EntryVmMembership:
    """The entry VMs, from the platform's list and heartbeats received by one VM.

    :param clock: returns monotonic time in seconds.
    :param heartbeat_timeout_s: maximum age of the last heartbeat of a live VM, in seconds.

    >>> vms = EntryVmMembership(clock=lambda: 0.0)
    >>> info = VmInfo(vm_id="a", incarnation="1", failure_domain="d1", agent_address="127.0.0.1:1",
    ...               seat=0, ready=True)
    >>> vms.record_heartbeat(info)
    True
    >>> [vm.vm_id for vm in vms.list_live()]
    ['a']
    """

    __slots__ = (
        "_clock",
        "_heartbeat_at",
        "_heartbeat_timeout_s",
        "_infos",
        "_listed_states",
        "_successors",
    )

    def __init__(self, *, clock, heartbeat_timeout_s: float = HEARTBEAT_TIMEOUT_S) -> None:
        self._clock = clock
        self._heartbeat_timeout_s = heartbeat_timeout_s
        self._infos: dict[str, VmInfo] = {}
        self._heartbeat_at: dict[str, float] = {}
        self._listed_states: dict[str, str] = {}
        self._successors: dict[str, str] = {}

    def record_heartbeat(self, info: VmInfo) -> bool:
        """Store the state that a VM has published, and the time of its heartbeat.

        :returns: whether the VM is new or a property on which callers and peers depend has
            changed: its readiness, its leaving state, an incarnation or a key prefix.
        """
        previous_info = self._infos.get(info.vm_id)
        self._infos[info.vm_id] = info
        self._heartbeat_at[info.vm_id] = self._clock()
        if previous_info is None:
            return True
        return _get_compared_state(previous_info) != _get_compared_state(info)

    def replace_listed_states(self, listed_states: dict[str, str]) -> None:
        """Replace the platform's list of entry VMs.

        :param listed_states: the state of each listed VM, ``live`` or ``leaving``, by VM id.
        """
        self._listed_states = listed_states
        for vm_id in list(self._infos):
            if vm_id in listed_states or self._has_heartbeat_within(
                vm_id, UNLISTED_VM_RETENTION_S
            ):
                continue
            del self._infos[vm_id]
            del self._heartbeat_at[vm_id]

    def list_live(self) -> list[VmInfo]:
        """Return the VMs that callers may send requests to."""
        live = []
        for vm_id, info in self._infos.items():
            if info.leaving or not info.ready:
                continue
            listed_state = self._listed_states.get(vm_id)
            if listed_state == "leaving":
                continue
            if (
                not self._has_heartbeat_within(vm_id, self._heartbeat_timeout_s)
                and listed_state != "live"
            ):
                continue
            live.append(info)
        return live

    def list_known(self) -> list[VmInfo]:
        """Return all known VMs, including leaving ones."""
        return list(self._infos.values())

    def get_heartbeat_age_s(self, vm_id: str) -> float:
        """Return the time since the last heartbeat of a VM, in seconds."""
        return self._clock() - self._heartbeat_at.get(vm_id, float("-inf"))

    def add_successions(self, successions: list[Succession]) -> bool:
        """Store successions; ignore those of a process for which one is already stored.

        :returns: whether any of them was new.
        """
        changed = False
        for succession in successions:
            if succession.incarnation in self._successors:
                continue
            self._successors[succession.incarnation] = succession.successor
            changed = True
        while len(self._successors) > MAX_SUCCESSIONS:
            del self._successors[next(iter(self._successors))]
        return changed

    def list_successions(self) -> list[Succession]:
        """Return all known successions."""
        pairs = self._successors.items()
        return [Succession(incarnation=old, successor=new) for old, new in pairs]

    def find_ledger_owner(self, incarnation: str) -> str:
        """Return the incarnation of the process that now holds the ledger of *incarnation*."""
        for _ in range(MAX_SUCCESSION_DEPTH):
            successor = self._successors.get(incarnation)
            if successor is None:
                break
            incarnation = successor
        return incarnation

    def _has_heartbeat_within(self, vm_id: str, max_age_s: float) -> bool:
        return self.get_heartbeat_age_s(vm_id) <= max_age_s


def _get_compared_state(info: VmInfo) -> tuple:
    entries = tuple((entry.incarnation, entry.key_prefix) for entry in info.entries)
    return info.incarnation, info.ready, info.leaving, entries
