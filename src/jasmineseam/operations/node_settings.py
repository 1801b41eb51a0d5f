"""Settings of a node, the program that hosts entry, agent and locator in one process.

The first part, :class:`NodeSettings`, describes the VM and comes from whoever deploys the node.
The second, :class:`NodeOptions`, is the operator's own file, JSON with comments.
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
    """Where and what the node's VM is.

    :param address: the only IP that the node binds to.
    """

    id: str
    address: str
    failure_domain: str


class NodeListeners(msgspec.Struct, kw_only=True, frozen=True):
    """Addresses that the node listens on, each ``ip:port``.

    :param entry: for requests to services.
    :param readiness: for readiness checks.
    :param locator: for callers that ask which entry to use.
    :param peers: for the other nodes' requests.
    :param notices: for the other nodes' one-way messages.
    """

    entry: str
    readiness: str
    locator: str
    peers: str
    notices: str


class RetryBudgetSettings(msgspec.Struct, kw_only=True, frozen=True):
    """The bound on extra attempts at a service, summed over all nodes.

    :param share: extra attempts for each request of the window.
    :param allowance: extra attempts in a window beyond that share.
    :param window_s: the sliding window's length in seconds.
    """

    share: float
    allowance: float
    window_s: float


class NodeSettings(msgspec.Struct, kw_only=True, frozen=True):
    """What a node needs to know of its deployment.

    :param store_address: ``ip:port`` of the metadata store.
    :param seed_peers: peers' addresses to begin with; they may be out of date.
    :param probes_per_s: the most probes a second that one server may get from all nodes.
    :param grace_s: seconds between a request to stop and the kill that follows.
    :param longest_lifetime_s: the longest that a caller keeps a locator's answer, in seconds.
    """

    vm: NodeVm
    listeners: NodeListeners
    store_address: str
    seed_peers: list[str]
    retries: RetryBudgetSettings
    probes_per_s: float
    grace_s: float
    longest_lifetime_s: float


class ProbeOptions(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """How servers are probed.

    :param interval_s: time between two probes of a server by the node that is its prober.
    :param idle_interval_s: the same for a service that gets no requests.
    """

    interval_s: Seconds = 0.05
    idle_interval_s: Seconds = 1.0


class NodeOptions(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, frozen=True):
    """The operator's own settings of a node.

    :param lifetime_s: how long a caller may keep a locator's answer, in seconds.
    :param caller_round_trip_s: time from a caller to a node and back, in seconds; it is taken off
        the time in which a request should be answered.
    :param log_lines_per_s: lines that a process writes at most, averaged over a second.
    :param metrics_port: port of the metrics page on the VM's address; 0 for none.
    :param fatal_invariants: end a request with an error when an invariant breaks; for tests.
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
    log_lines_per_s: PositiveCount = 200
    metrics_port: t.Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    fatal_invariants: bool = False


def parse_options(text: str, source: str = "options") -> NodeOptions:
    """Parse and check an options document.

    :raises SettingsError: with every fault.

    >>> parse_options('{"lifetime_s": 2.5}  // seconds').lifetime_s
    2.5
    """
    return parse_document(NodeOptions, text, source)


def load_options(path: pathlib.Path) -> NodeOptions:
    """Read an options file.

    :raises SettingsError: if it can't be read, or with every fault in it.
    """
    return parse_options(read_file(path), str(path))
