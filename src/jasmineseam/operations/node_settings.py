"""Settings of a node, the program that runs entry, agent and locator in one process.

The entry proxies the requests of callers, the agent tracks nodes and servers, and the locator
returns the addresses of entries to callers.

:class:`NodeSettings` describes the deployment and is provided by the platform.
:class:`NodeOptions` is the operator's own file, JSON with comments.
"""

from __future__ import annotations

import pathlib
import typing as t

import msgspec

from ..documents import parse_document
from ..documents import read_file
from .settings import LogSettings
from .settings import MetricSettings
from .settings import PositiveCount
from .settings import Seconds

Fraction = t.Annotated[float, msgspec.Meta(gt=0.0, le=1.0)]
Rate = t.Annotated[float, msgspec.Meta(ge=0.0, le=1000.0)]


class NodeVm(msgspec.Struct, kw_only=True, frozen=True):
    """Id, address and failure domain of the node's VM.

    :param address: IP address to bind; the node listens on no other address.
    """

    id: str
    address: str
    failure_domain: str


class NodeListeners(msgspec.Struct, kw_only=True, frozen=True):
    """Addresses that the node listens on, each ``ip:port``.

    :param entry: for requests to services.
    :param readiness: for readiness checks.
    :param locator: for callers that request entry addresses.
    :param peers: for requests from other nodes.
    :param notices: for datagrams from other nodes.
    """

    entry: str
    readiness: str
    locator: str
    peers: str
    notices: str


class RetryBudgetSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Retry budget of a service: limit on the sum of all nodes' extra attempts.

    Extra attempts are retries and hedged requests.

    :param share: maximum ratio of extra attempts to requests in the window.
    :param allowance: number of extra attempts per window that are allowed in addition.
    :param window_s: length of the sliding window, in seconds.
    """

    share: float
    allowance: float
    window_s: float


class WarmupSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Limit on the requests that a cold server gets from all nodes within any second.

    The limit is the service's requests per second during warm-up, times *overage*, plus *slack*.
    """

    overage: float = 1.0
    slack: float = 0.0


class QuotaSettings(msgspec.Struct, kw_only=True, frozen=True):
    """How far all nodes together may exceed the quota of a client account.

    In any window, the requests that run are at most *(requests per second x window + burst) x
    (1 + overage) + slack*.

    :param window_s: length of the sliding window, in seconds.
    """

    window_s: float = 5.0
    overage: float = 0.0
    slack: float = 0.0


class NodeSettings(msgspec.Struct, kw_only=True, frozen=True):
    """Deployment settings of a node.

    :param retries: retry budget of each service.
    :param store_address: ``ip:port`` of the metadata store.
    :param seed_peers: datagram addresses of nodes to contact at start; some may no longer be in
        use.
    :param probes_per_s: maximum probes per second that one server may receive from all nodes.
    :param grace_s: time between the stop signal and the kill, in seconds.
    :param longest_lifetime_s: maximum time that a caller caches a locator response, in seconds.
    :param first_start: whether the whole system starts for the first time.
    :param regions: region of each failure domain; empty if there is only one region.
    :param warmup: limit on the requests to cold servers.
    :param quotas: tolerance of the quotas of client accounts.
    :param evacuation_s: time after which an evacuation is in force at all nodes, in seconds.
    :param configuration_s: time after which a routing table is in force at all nodes, in seconds.
    :param key_revocation_s: time after which a removed key of a client account is not accepted any
        more, in seconds; 0 if the platform sets none.
    :param reconnect_s: time after the end of a cut from the store from which a node is bound by
        the removals of servers, in seconds.
    :param fail_closed: whether a node that could not confirm its routing table for that time
        refuses requests that need a key.
    """

    vm: NodeVm
    listeners: NodeListeners
    store_address: str
    seed_peers: list[str]
    retries: RetryBudgetSettings
    probes_per_s: float
    grace_s: float
    longest_lifetime_s: float
    first_start: bool = False
    regions: dict[str, str] = {}
    warmup: WarmupSettings = WarmupSettings()
    quotas: QuotaSettings = QuotaSettings()
    evacuation_s: float = 5.0
    configuration_s: float = 2.5
    key_revocation_s: float = 0.0
    fail_closed: bool = False
    reconnect_s: float = 3.0


class ProbeOptions(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """Probes for the placement of requests.

    :param per_placement: number of servers that are probed before a request is placed; 0 for none.
    :param wait_s: time that a request waits for their reports at most, in seconds.
    :param by_demand: whether nodes share the probes of a server by demand, with grants. Otherwise
        each node has an equal share.
    """

    per_placement: t.Annotated[int, msgspec.Meta(ge=0, le=100)] = 4
    wait_s: Seconds = 0.025
    by_demand: bool = False


class NodeOptions(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """The operator's options of a node.

    :param lifetime_s: how long a caller may cache a locator response, in seconds.
    :param caller_round_trip_s: network round-trip time between a caller and a node, in seconds;
        it is subtracted from a request's target latency.
    :param transfer_price_ms_per_mb: time that sending a megabyte of requests and responses to
        another failure domain must save, in milliseconds; 0 if only time counts.
    :param log_lines_per_s: maximum number of request log lines per second.
    :param metrics_port: port of the Prometheus metrics endpoint on the VM's address, 0 for none.
    :param fatal_invariants: whether a violated invariant raises an error, in addition to being
        counted and logged; for tests.
    """

    logs: LogSettings = msgspec.field(
        default_factory=lambda: LogSettings(destination="stdout", format="json")
    )
    metrics: MetricSettings = msgspec.field(
        default_factory=lambda: MetricSettings(exporter="prometheus")
    )
    probes: ProbeOptions = msgspec.field(default_factory=ProbeOptions)
    lifetime_s: Seconds = 1.0
    caller_round_trip_s: t.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)] = 0.01
    transfer_price_ms_per_mb: t.Annotated[float, msgspec.Meta(ge=0.0, le=1e6)] = 0.0
    log_lines_per_s: PositiveCount = 200
    metrics_port: t.Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    fatal_invariants: bool = False


def parse_options(text: str, source: str = "options") -> NodeOptions:
    """Parse and validate an options document.

    :raises SettingsError: if the document is invalid; the error lists every fault.

    >>> parse_options('{"lifetime_s": 2.5}  // seconds').lifetime_s
    2.5
    """
    return parse_document(NodeOptions, text, source)


def load_options(path: pathlib.Path) -> NodeOptions:
    """Load an options file.

    :raises SettingsError: if the file can't be read or is invalid; the error lists every fault.
    """
    return parse_options(read_file(path), str(path))
