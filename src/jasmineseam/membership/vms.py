"""Entry VMs: live if heard from lately or listed live, and not leaving."""

from __future__ import annotations

import msgspec

HEARTBEAT_TIMEOUT_S = 3.0
UNLISTED_VM_RETENTION_S = 30.0
MAX_SUCCESSIONS = 1024
MAX_SUCCESSION_DEPTH = 16


class EntryProcess(msgspec.Struct, kw_only=True):
    """An entry process as the other VMs and the callers need to know it.

    :param incarnation: random for each start of the process.
    :param http_address: ``ip:port`` for callers.
    :param control_address: ``ip:port`` for the system's own processes.
    :param key_prefix: the prefix that it hands out for idempotency keys now.
    :param in_flight: requests that it holds.
    """

    incarnation: str
    http_address: str
    control_address: str
    key_prefix: str
    in_flight: int = 0


class VmInfo(msgspec.Struct, kw_only=True):
    """What an agent says of its own VM.

    :param incarnation: random for each start of the agent.
    :param seat: which share of the measuring budget the VM has.
    :param notice_address: where it takes one-way messages, empty if it takes none.
    :param ready: whether its entries may be named to callers.
    """

    vm_id: str
    incarnation: str
    failure_domain: str
    agent_address: str
    seat: int = 0
    ready: bool = False
    leaving: bool = False
    entries: list[EntryProcess] = []
    notice_address: str = ""


class Succession(msgspec.Struct, kw_only=True, frozen=True):
    """The entry process that took over the ledger of one that has stopped."""

    incarnation: str
    successor: str


class EntryVmMembership:
    """What one VM knows of all entry VMs.

    :param clock: returns seconds, monotonic.
    :param heard_for_s: for how long a VM that was heard counts as live, in seconds.

    >>> vms = EntryVms(clock=lambda: 0.0)
    >>> info = VmInfo(vm_id="a", incarnation="1", failure_domain="d1", agent_address="127.0.0.1:1",
    ...               seat=0, ready=True)
    >>> vms.hear(info)
    True
    >>> [vm.vm_id for vm in vms.list_live()]
    ['a']
    """

    __slots__ = ("_clock", "_heard_at", "_heard_for_s", "_infos", "_listed", "_successors")

    def __init__(self, *, clock, heartbeat_timeout_s: float = HEARTBEAT_TIMEOUT_S) -> None:
        self._clock = clock
        self._heard_for_s = heartbeat_timeout_s
        self._infos: dict[str, VmInfo] = {}
        self._heard_at: dict[str, float] = {}
        self._listed: dict[str, str] = {}
        self._successors: dict[str, str] = {}

    def record_heartbeat(self, info: VmInfo) -> bool:
        """Take a VM's word on itself.

        :returns: whether something that callers or peers need to know has changed.
        """
        held = self._infos.get(info.vm_id)
        self._infos[info.vm_id] = info
        self._heard_at[info.vm_id] = self._clock()
        if held is None:
            return True
        return _strip(held) != _strip(info)

    def refresh_heartbeat(self, vm_id: str) -> None:
        """Note that a known VM was heard, though it said nothing of itself."""
        if vm_id in self._infos:
            self._heard_at[vm_id] = self._clock()

    def replace_listed_states(self, listed: dict[str, str]) -> None:
        """Take the platform's list of entry VMs: their ids and states."""
        self._listed = listed
        for vm_id in list(self._infos):
            if vm_id in listed or self._is_heard(vm_id, UNLISTED_VM_RETENTION_S):
                continue
            del self._infos[vm_id]
            del self._heard_at[vm_id]

    def list_live(self) -> list[VmInfo]:
        """Return the VMs that callers may be sent to."""
        live = []
        for vm_id, info in self._infos.items():
            if info.leaving or not info.ready:
                continue
            listed = self._listed.get(vm_id)
            if listed == "leaving":
                continue
            if not self._is_heard(vm_id, self._heard_for_s) and listed != "live":
                continue
            live.append(info)
        return live

    def list_known(self) -> list[VmInfo]:
        """Return all VMs heard of, leaving ones included."""
        return list(self._infos.values())

    def get_heartbeat_age_s(self, vm_id: str) -> float:
        """Return the time since a VM was heard, in seconds."""
        return self._clock() - self._heard_at.get(vm_id, float("-inf"))

    def add_successions(self, successors: list[Succession]) -> bool:
        """Remember who took over whose ledger; returns whether any was new."""
        changed = False
        for successor in successors:
            if successor.incarnation in self._successors:
                continue
            self._successors[successor.incarnation] = successor.successor
            changed = True
        while len(self._successors) > MAX_SUCCESSIONS:
            del self._successors[next(iter(self._successors))]
        return changed

    def list_successions(self) -> list[Succession]:
        """Return all known successions."""
        pairs = self._successors.items()
        return [Succession(incarnation=old, successor=new) for old, new in pairs]

    def find_ledger_owner(self, incarnation: str) -> str:
        """Return the process that holds a process's ledger now, following all successions."""
        for _ in range(MAX_SUCCESSION_DEPTH):
            successor = self._successors.get(incarnation)
            if successor is None:
                break
            incarnation = successor
        return incarnation

    def _is_heard(self, vm_id: str, within_s: float) -> bool:
        return self.get_heartbeat_age_s(vm_id) <= within_s


def _strip(info: VmInfo) -> tuple:
    entries = tuple((entry.incarnation, entry.key_prefix) for entry in info.entries)
    return info.incarnation, info.ready, info.leaving, entries
