"""The settings file of an entry VM: JSON with comments, checked as a whole before start.

All programs of one VM read the same file; each takes its own part.
"""

from __future__ import annotations

import importlib.util
import pathlib
import typing as t

import msgspec

from ..documents import parse_document
from ..documents import read_file
from ..exceptions import Fault
from ..exceptions import SettingsError

Port = t.Annotated[int, msgspec.Meta(ge=1, le=65535)]
Name = t.Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
Ip = t.Annotated[str, msgspec.Meta(pattern=r"^([0-9]{1,3}\.){3}[0-9]{1,3}$|^\[?[0-9a-f:]+\]?$")]
Address = t.Annotated[str, msgspec.Meta(pattern=r"^.+:[0-9]{1,5}$")]
Url = t.Annotated[str, msgspec.Meta(pattern=r"^https?://")]
Seconds = t.Annotated[float, msgspec.Meta(gt=0.0, le=86_400.0)]
PositiveCount = t.Annotated[int, msgspec.Meta(ge=1)]
OTLP_PACKAGE = "opentelemetry.exporter.otlp.proto.http"


class VmSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Where and what this VM is.

    :param address: the only IP that the programs bind to.
    :param advertised_address: the IP by which other entry VMs reach this one, if it differs.
    :param seat: which share of the measuring budget is this VM's; no two VMs share one.
    :param seats: how many entry VMs there are.
    """

    id: Name
    address: Ip
    advertised_address: Ip | None = None
    failure_domain: Name
    seat: t.Annotated[int, msgspec.Meta(ge=0)]
    seats: PositiveCount


class PlatformSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Where the platform's services are.

    :param retention_s: for how long the log keeps records.
    """

    log_url: Url
    vm_list_url: Url
    retention_s: Seconds = 3600.0


class AgentSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The agent's part.

    :param peers: agents of the other entry VMs, to be found while the platform is away.
    """

    control_port: Port
    peers: list[Address] = []


class EntryProcessSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One entry process; start one for each core."""

    name: Name
    http_port: Port
    control_port: Port


class EntrySettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The entries' part.

    :param head_bytes: the longest request line or header field.
    :param body_timeout_s: the longest that a caller may take over head or body.
    :param stop_s: the longest that a planned stop waits for running requests.
    """

    processes: t.Annotated[list[EntryProcessSettings], msgspec.Meta(min_length=1)]
    head_bytes: PositiveCount = 8190
    body_timeout_s: Seconds = 10.0
    stop_s: Seconds = 30.0


class LocatorSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The locator's part.

    :param lifetime_s: how long a caller may keep an answer.
    """

    http_port: Port
    control_port: Port
    lifetime_s: Seconds = 5.0


class LogSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Where logs go and what they hold."""

    level: t.Literal["debug", "info", "warning", "error"] = "info"
    destination: t.Literal["stderr", "stdout", "syslog"] = "stderr"
    format: t.Literal["text", "json"] = "text"


class MetricSettings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Where metrics go.

    :param endpoint: for ``otlp``, where the collector answers.
    """

    exporter: t.Literal["none", "console", "otlp", "prometheus"] = "none"
    endpoint: Url = "http://127.0.0.1:4318/v1/metrics"
    interval_s: Seconds = 60.0


class Settings(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """A whole settings file.

    :param fatal_invariants: end a request with an error when an invariant breaks; for tests.
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
        """The agent's control address for the programs of this VM."""
        return f"{self.vm.address}:{self.agent.control_port}"

    def get_advertised_address(self, control_port: int) -> str:
        """Return a control address as the other entry VMs use it."""
        return f"{self.vm.advertised_address or self.vm.address}:{control_port}"


def parse_settings(text: str, source: str = "settings") -> Settings:
    """Parse and check a settings document.

    :raises SettingsError: with every fault.
    """
    settings = parse_document(Settings, text, source)
    faults = _find_conflicts(settings)
    if faults:
        raise SettingsError(source, faults)
    return settings


def load_settings(path: pathlib.Path) -> Settings:
    """Read a settings file.

    :raises SettingsError: if it can't be read, or with every fault in it.
    """
    return parse_settings(read_file(path), str(path))


def _find_conflicts(settings: Settings) -> list[Fault]:
    faults = []
    vm = settings.vm
    if vm.seat >= vm.seats:
        faults.append(Fault("vm.seat", str(vm.seat), f"less than vm.seats, {vm.seats}"))
    if settings.metrics.exporter == "otlp" and not _is_installed(OTLP_PACKAGE):
        faults.append(Fault("metrics.exporter", "'otlp'", "jasmineseam[otlp] to be installed"))
    used: dict[int, str] = {}
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
            faults.append(Fault(f"{path}.name", process.name, "a name not used before"))
        names.add(process.name)
    for path, port in ports:
        if port in used:
            faults.append(Fault(path, str(port), f"a port other than that of {used[port]}"))
        used[port] = path
    return faults


def _is_installed(package: str) -> bool:
    try:
        return importlib.util.find_spec(package) is not None
    except ModuleNotFoundError:
        return False
