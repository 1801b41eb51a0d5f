"""The settings file of an entry VM: JSON with comments, validated as a whole before start.

All programs of a VM read the same file; agent, entry and locator each have a section of their own.
"""

from __future__ import annotations

import importlib.util
import pathlib
import typing as t

import msgspec

from ..documents import parse_document
from ..documents import read_file
from ..exceptions import SettingsError
from ..exceptions import ValidationFault

Port = t.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Name = t.Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Ip = t.Annotated[str, msgspec.Meta(pattern=r"^([0-9]{1,3}\.){3}[0-9]{1,3}$|^\[?[0-9a-f:]+\]?$")]
Address = t.Annotated[str, msgspec.Meta(pattern=r"^.+:[0-9]{1,5}$")]
Url = t.Annotated[str, msgspec.Meta(pattern=r"^https?://")]
Seconds = t.Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)]
PositiveCount = t.Annotated[int, msgspec.Meta(ge=1)]
OTLP_PACKAGE = "opentelemetry.exporter.otlp.proto.http"


class VmSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Id, address and failure domain of this VM.

    :param address: IP address to bind; the programs listen on no other address.
    :param advertised_address: IP address at which other entry VMs reach this one, if different.
    :param seat: index of this VM's share of the probe budget, from 0; unique for each VM.
    :param seats: number of entry VMs, which share the probe budget.
    """

    id: Name
    address: Ip
    advertised_address: Ip | None = None
    failure_domain: Name
    seat: t.Annotated[int, msgspec.Meta(ge=0)]
    seats: PositiveCount


class PlatformSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Addresses of the platform's services.

    :param retention_s: how long the platform's log retains records, in seconds.
    """

    log_url: Url
    vm_list_url: Url
    retention_s: Seconds = 3600.0


class AgentSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the agent.

    :param peers: control addresses of the agents of other entry VMs, which are contacted even if
        the platform is unavailable.
    """

    control_port: Port
    peers: list[Address] = []


class EntryProcessSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of one entry process; run one process per core."""

    name: Name
    http_port: Port
    control_port: Port


class EntrySettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the entry processes.

    :param head_bytes: maximum length of the request line, and of each header field, in bytes.
    :param body_timeout_s: maximum time for receiving the head of a request, and again for its
        body, in seconds.
    :param stop_s: maximum time that a planned stop waits for running requests, in seconds.
    """

    processes: t.Annotated[list[EntryProcessSettings], msgspec.Meta(min_length=1)]
    head_bytes: PositiveCount = 8190
    body_timeout_s: Seconds = 10.0
    stop_s: Seconds = 30.0


class LocatorSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Settings of the locator.

    :param lifetime_s: how long a caller may cache a response, in seconds.
    """

    http_port: Port
    control_port: Port
    lifetime_s: Seconds = 5.0


class LogSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Level, destination and format of logs."""

    level: t.Literal["debug", "info", "warning", "error"] = "info"
    destination: t.Literal["stderr", "stdout", "syslog"] = "stderr"
    format: t.Literal["text", "json"] = "text"


class MetricSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Exporter of metrics.

    :param endpoint: URL of the collector, for ``otlp``.
    :param interval_s: time between two exports, in seconds.
    """

    exporter: t.Literal["none", "console", "otlp", "prometheus"] = "none"
    endpoint: Url = "http://127.0.0.1:4318/v1/metrics"
    interval_s: Seconds = 60.0


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The complete settings file.

    :param fatal_invariants: whether a violated invariant raises an error, in addition to being
        counted and logged; for tests.
    """

    vm: VmSettings
    platform: PlatformSettings
    agent: AgentSettings
    entry: EntrySettings
    locator: LocatorSettings
    logs: LogSettings = msgspec.field(default_factory=LogSettings)
    metrics: MetricSettings = msgspec.field(default_factory=MetricSettings)
    fatal_invariants: bool = False

    @property
    def agent_address(self) -> str:
        """Control address of the agent, for the programs of this VM."""
        return f"{self.vm.address}:{self.agent.control_port}"

    def get_advertised_address(self, control_port: int) -> str:
        """Return a control address as other entry VMs reach it."""
        return f"{self.vm.advertised_address or self.vm.address}:{control_port}"


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Parse and validate a settings document.

    :raises SettingsError: if the document is invalid; the error lists every fault.
    """
    settings = parse_document(Settings, text, source)
    faults = _find_conflicts(settings)
    if faults:
        raise SettingsError(source, faults)
    return settings


def load_settings(path: pathlib.Path) -> Settings:
    """Load a settings file.

    :raises SettingsError: if the file can't be read or is invalid; the error lists every fault.
    """
    return parse_settings(read_file(path), str(path))


def _find_conflicts(settings: Settings) -> list[ValidationFault]:
    faults = []
    vm = settings.vm
    if vm.seat >= vm.seats:
        faults.append(ValidationFault("vm.seat", str(vm.seat), f"less than vm.seats, {vm.seats}"))
    if settings.metrics.exporter == "otlp" and not _is_installed(OTLP_PACKAGE):
        faults.append(
            ValidationFault("metrics.exporter", "'otlp'", "jasmineseam[otlp] to be installed")
        )
    used_ports: dict[int, str] = {}
    ports = [
        ("agent.control_port", settings.agent.control_port),
        ("locator.http_port", settings.locator.http_port),
        ("locator.control_port", settings.locator.control_port),
    ]
    names = set()
    for index, process in enumerate(settings.entry.processes):
        path = f"entry.processes[{index}]"
        ports.append((f"{path}.http_port", process.http_port))
        ports.append((f"{path}.control_port", process.control_port))
        if process.name in names:
            faults.append(
                ValidationFault(f"{path}.name", process.name, "a name that no other process has")
            )
        names.add(process.name)
    for path, port in ports:
        if port in used_ports:
            faults.append(
                ValidationFault(path, str(port), f"a port different from {used_ports[port]}")
            )
        used_ports[port] = path
    return faults


def _is_installed(package: str) -> bool:
    try:
        return importlib.util.find_spec(package) is not None
    except ModuleNotFoundError:
        return False
