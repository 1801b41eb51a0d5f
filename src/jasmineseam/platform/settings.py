"""The platform's TOML settings file, whose path is in an environment variable."""

from __future__ import annotations

import os
import pathlib
import re
import tomllib
import typing as t

import msgspec

from ..documents import read_file
from ..exceptions import SettingsError
from ..exceptions import ValidationFault
from ..operations.node_settings import NodeListeners
from ..operations.node_settings import NodeSettings
from ..operations.node_settings import NodeVm
from ..operations.node_settings import QuotaSettings
from ..operations.node_settings import RetryBudgetSettings
from ..operations.node_settings import WarmupSettings

SETTINGS_FILE_VARIABLE = "JASMINESEAM_NODE_FILE"
_DURATION_PATTERN = re.compile(r"^([0-9]+(?:\.[0-9]+)?)(ms|s)$")
# A longer duration is an error.
MAX_DURATION_S = 1e9
_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0}


class _Self(msgspec.Struct, rename={"name": "node-name"}):
    name: str
    ip: str
    zone: str
    # whether the whole system starts for the first time, not only this process
    bootstrap: bool = False


class _Listen(msgspec.Struct):
    # for callers' requests to services
    front: str
    # for readiness checks
    ready: str
    # for requests from other nodes only
    control: str
    # for locator requests
    directory: str


class _Network(msgspec.Struct, rename={"own_ports": "internal-ports"}):
    listen: _Listen
    # first and last port of the range that is reserved for traffic between nodes
    own_ports: tuple[int, int]
    seeds: list[str] = []
    # region of each failure domain
    zones: dict[str, str] = {}


class _Store(msgspec.Struct):
    address: str


class _Platform(msgspec.Struct):
    # the metadata store's table in the file is [platform.platform]
    platform: _Store


class _Bounds(
    msgspec.Struct,
    rename={
        "ratio": "retry-budget-ratio",
        "slack": "retry-budget-slack",
        "window": "budget-window",
        "probes_per_s": "probes-per-s",
        "warmup_overage": "warmup-overage",
        "warmup_slack": "warmup-slack",
        "quota_window": "quota-window",
        "quota_overage": "quota-overage",
        "quota_slack": "quota-slack",
        "configuration": "config-apply",
        "fail_closed": "fail-closed",
        # time without a disruption after which a node is bound by the platform's rules
        "reconnect": "stability",
    },
):
    grace: str
    ttl_max: str
    ratio: float = 0.0
    slack: float = 0.0
    window: str = "10s"
    probes_per_s: float = 0.0
    warmup_overage: float = 1.0
    warmup_slack: float = 0.0
    quota_window: str = "5s"
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    evacuate: str = "5s"
    configuration: str = "2.5s"
    revoke: str = "0ms"
    fail_closed: bool = False
    reconnect: str = "3s"


class _Terms(msgspec.Struct):
    bounds: _Bounds


class _SettingsFile(msgspec.Struct, rename={"own": "self"}):
    own: _Self
    network: _Network
    platform: _Platform
    terms: _Terms


def parse_duration(text: str) -> float:
    """Parse a duration and return it in seconds.

    :param text: a number with its unit, ``ms`` or ``s``.
    :raises ValueError: if the text is not such a duration.

    >>> parse_duration("1500ms"), parse_duration("2.5s")
    (1.5, 2.5)
    """
    match = _DURATION_PATTERN.fullmatch(text)
    if match is None:
        raise ValueError(f"{text[:40]!r} is not a duration in ms or s")
    duration_s = float(match[1]) * _SECONDS_PER_UNIT[match[2]]
    if duration_s > MAX_DURATION_S:
        raise ValueError(f"{text[:40]!r} is longer than {MAX_DURATION_S:g} s")
    return duration_s


def parse_settings(text: str, source: str) -> NodeSettings:
    """Parse a settings file; unknown fields are ignored.

    :param source: name of the file, for error messages.
    :raises SettingsError: if the text is not TOML, or a required field is missing or invalid.
    """
    try:
        file = msgspec.convert(tomllib.loads(text), _SettingsFile)
        return _convert_settings(file)
    except (ValueError, msgspec.ValidationError) as error:
        fault = ValidationFault("document", str(error), "a valid node settings file")
        raise SettingsError(source, [fault]) from error


def load_settings(environment: t.Mapping[str, str] = os.environ) -> NodeSettings:
    """Load the settings file.

    :param environment: environment variables; :data:`SETTINGS_FILE_VARIABLE` holds the path of
        the file.
    :raises SettingsError: if the variable is not set, or the file can't be read or is invalid.
    """
    path = environment.get(SETTINGS_FILE_VARIABLE, "")
    if not path:
        raise SettingsError(
            SETTINGS_FILE_VARIABLE,
            [ValidationFault("variable", "nothing", "the path of the settings file")],
        )
    return parse_settings(read_file(pathlib.Path(path)), path)


def _convert_settings(file: _SettingsFile) -> NodeSettings:
    bounds = file.terms.bounds
    listen = file.network.listen
    return NodeSettings(
        vm=NodeVm(id=file.own.name, address=file.own.ip, failure_domain=file.own.zone),
        listeners=NodeListeners(
            entry=listen.front,
            readiness=listen.ready,
            locator=listen.directory,
            peers=listen.control,
            notices=f"{file.own.ip}:{file.network.own_ports[0]}",
        ),
        store_address=file.platform.platform.address,
        # A seed is the address for requests of other nodes; ports are the same on all VMs.
        seed_peers=[
            f"{seed.rpartition(':')[0]}:{file.network.own_ports[0]}" for seed in file.network.seeds
        ],
        retries=RetryBudgetSettings(
            share=bounds.ratio,
            allowance=bounds.slack,
            window_s=parse_duration(bounds.window),
        ),
        probes_per_s=bounds.probes_per_s,
        grace_s=parse_duration(bounds.grace),
        longest_lifetime_s=parse_duration(bounds.ttl_max),
        first_start=file.own.bootstrap,
        regions=file.network.zones,
        warmup=WarmupSettings(overage=bounds.warmup_overage, slack=bounds.warmup_slack),
        quotas=QuotaSettings(
            window_s=parse_duration(bounds.quota_window),
            overage=bounds.quota_overage,
            slack=bounds.quota_slack,
        ),
        evacuation_s=parse_duration(bounds.evacuate),
        configuration_s=parse_duration(bounds.configuration),
        key_revocation_s=parse_duration(bounds.revoke),
        fail_closed=bounds.fail_closed,
        reconnect_s=parse_duration(bounds.reconnect),
    )
