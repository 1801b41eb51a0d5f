"""Base class of the programs of an entry VM, which share one settings file."""

from __future__ import annotations

from .daemon import Daemon
from .settings import Settings


class VmDaemon(Daemon):
    """Base class of agent, entry and locator when each runs as a separate program.

    :param settings: settings of the VM.
    :param role: name of the program.
    :param control_port: port for requests from other processes.
    """

    abstract = True

    def __init__(self, *, settings: Settings, role: str, control_port: int) -> None:
        super().__init__(
            vm_id=settings.vm.id,
            address=settings.vm.address,
            metric_settings=settings.metrics,
            role=role,
            control_port=control_port,
        )
        self.settings = settings
