"""The programs of one VM, as their agent knows them from their own messages."""

from __future__ import annotations

from ..membership.vms import EntryProcess
from ..peers.messages import Sync

ENTRY_TIMEOUT_S = 2.0
PROGRAM_TIMEOUT_S = 10.0


class LocalProgram:
    """One program of this VM.

    :param message: its newest message.
    :param heard_at: when that came, in seconds.
    """

    __slots__ = ("heard_at", "message")

    def __init__(self, *, message: Sync, heard_at: float) -> None:
        self.message = message
        self.heard_at = heard_at


class LocalPrograms:
    """All programs of this VM.

    :param clock: returns seconds, monotonic.
    """

    __slots__ = ("_clock", "_programs")

    def __init__(self, *, clock) -> None:
        self._clock = clock
        self._programs: dict[str, LocalProgram] = {}

    def record_sync(self, message: Sync) -> bool:
        """Take a program's message; returns whether callers need to know of a change."""
        held = self._programs.get(message.name)
        if message.left:
            self._programs.pop(message.name, None)
            return True
        self._programs[message.name] = LocalProgram(message=message, heard_at=self._clock())
        if held is None:
            return True
        same_start = held.message.incarnation == message.incarnation
        return not same_start or held.message.stopping != message.stopping

    def list_active(self) -> list[LocalProgram]:
        """Return the programs heard from in the last seconds, and forget the others."""
        oldest = self._clock() - PROGRAM_TIMEOUT_S
        for name, program in list(self._programs.items()):
            if program.heard_at < oldest:
                del self._programs[name]
        return list(self._programs.values())

    def list_entry_processes(self) -> list[EntryProcess]:
        """Return the entry processes that callers may be sent to."""
        entries = []
        oldest = self._clock() - ENTRY_TIMEOUT_S
        for program in self._programs.values():
            message = program.message
            if message.entry is None or message.stopping or program.heard_at < oldest:
                continue
            entries.append(message.entry)
        return entries

    def has_stopping_program(self) -> bool:
        """Tell whether some program is in a planned stop and has not left yet."""
        oldest = self._clock() - ENTRY_TIMEOUT_S
        for program in self._programs.values():
            if program.message.stopping and program.heard_at >= oldest:
                return True
        return False
