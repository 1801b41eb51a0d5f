"""The agent's registry of the programs on its VM, built from their sync messages."""

from __future__ import annotations

from ..membership.vms import EntryProcess
from ..peers.messages import Sync

# maximum age of the last sync of a program that counts as live
LIVE_PROGRAM_TIMEOUT_S = 2.0
# age of the last sync at which a program is removed from the registry
PROGRAM_RETENTION_S = 10.0


class LocalProgram:
    """One program of this VM.

    :param message: the newest sync message of the program.
    :param received_at: when the message was received, in seconds of the registry's clock.
    """

    __slots__ = ("message", "received_at")

    def __init__(self, *, message: Sync, received_at: float) -> None:
        self.message = message
        self.received_at = received_at


class LocalPrograms:
    """All programs of this VM.

    :param clock: returns monotonic seconds.
    """

    __slots__ = ("_clock", "_programs")

    def __init__(self, *, clock) -> None:
        self._clock = clock
        self._programs: dict[str, LocalProgram] = {}

    def record_sync(self, message: Sync) -> bool:
        """Store a program's message.

        :returns: whether the program has started, restarted, begun a planned stop or exited; any
            of these events can change the addresses that callers may use.
        """
        previous = self._programs.get(message.name)
        if message.left:
            self._programs.pop(message.name, None)
            return True
        self._programs[message.name] = LocalProgram(message=message, received_at=self._clock())
        if previous is None:
            return True
        same_incarnation = previous.message.incarnation == message.incarnation
        return not same_incarnation or previous.message.stopping != message.stopping

    def list_retained(self) -> list[LocalProgram]:
        """Remove the programs without a sync for ``PROGRAM_RETENTION_S``; return the others."""
        min_received_at = self._clock() - PROGRAM_RETENTION_S
        for name, program in list(self._programs.items()):
            if program.received_at < min_received_at:
                del self._programs[name]
        return list(self._programs.values())

    def list_entry_processes(self) -> list[EntryProcess]:
        """Return the live entry processes that are not in a planned stop."""
        entries = []
        min_received_at = self._clock() - LIVE_PROGRAM_TIMEOUT_S
        for program in self._programs.values():
            message = program.message
            if message.entry is None or message.stopping or program.received_at < min_received_at:
                continue
            entries.append(message.entry)
        return entries

    def has_stopping_program(self) -> bool:
        """Return whether any live program is in a planned stop."""
        min_received_at = self._clock() - LIVE_PROGRAM_TIMEOUT_S
        for program in self._programs.values():
            if program.message.stopping and program.received_at >= min_received_at:
                return True
        return False
