"""A daemon of a stand-alone entry VM, whose programs share one settings file."""

from __future__ import annotations

from .daemon import Daemon
from .settings import Settings


class VmDaemon(Daemon):
    """Base of agent, entry and locator as programs of their own.

    :param settings: of the VM.
    :param role: the program's name.
    :param control_port: where other processes reach this one.
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
