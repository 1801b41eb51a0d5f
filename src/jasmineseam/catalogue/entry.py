"""A catalogue entry: one service with its owner, class of traffic, limits and idempotency."""

from __future__ import annotations

import typing as t

import msgspec

from ..documents import find_faults
from ..exceptions import InvalidEntryError

ServiceName = t.Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,99}$")]
Fraction = t.Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
PositiveFloat = t.Annotated[float, msgspec.Meta(gt=0.0)]
NonNegativeInt = t.Annotated[int, msgspec.Meta(ge=0)]
PositiveInt = t.Annotated[int, msgspec.Meta(ge=1)]
TrafficClass = t.Literal["interactive", "batch"]
NON_IDEMPOTENT_METHODS = frozenset({"POST", "PATCH"})


class ServiceLimits(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Limits of one service, over all entry VMs together unless said otherwise.

    :param rate_per_s: requests admitted per second.
    :param concurrency_per_server: requests that one server runs at once.
    :param queue: requests that one entry process keeps waiting.
    :param body_bytes: largest request body.
    :param buffer_bytes: answers up to this size are held whole before they are sent on.
    :param deadline_ms: longest time a request may take.
    :param extra_attempt_share: retries and hedges per first attempt.
    :param hedge: whether idempotent requests may be hedged.
    """

    rate_per_s: PositiveFloat = 10_000.0
    concurrency_per_server: PositiveInt = 4
    queue: NonNegativeInt = 64
    body_bytes: PositiveInt = 1_048_576
    buffer_bytes: PositiveInt = 1_048_576
    deadline_ms: PositiveInt = 5_000
    extra_attempt_share: Fraction = 0.1
    hedge: bool = True


class RequestRule(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Overrides the idempotency or class of some requests of a service.

    :param method: the HTTP method, or ``*``.
    :param path_prefix: the start of the paths it is for.
    :param idempotent: whether running such a request twice is harmless.
    :param traffic_class: replaces the entry's class of traffic.
    """

    method: t.Annotated[str, msgspec.Meta(pattern=r"^([A-Z]+|\*)$")] = "*"
    path_prefix: t.Annotated[str, msgspec.Meta(pattern=r"^/")] = "/"
    idempotent: bool | None = None
    traffic_class: TrafficClass | None = None


class ProbeLimits(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What measuring may cost the servers of a service, over all entry VMs together.

    :param probes: the most probes that all servers see in any window.
    :param window_s: the window's length in seconds.
    :param slot_ms: the most time of a server's slot that one probe may take.
    :param path: the path that is probed.
    """

    probes: NonNegativeInt = 0
    window_s: PositiveFloat = 10.0
    slot_ms: PositiveFloat = 10.0
    path: t.Annotated[str, msgspec.Meta(pattern=r"^/")] = "/load"


class CatalogueEntry(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One service, as its operators publish it.

    :param service: the name that callers send in the Host header.
    :param owner: who answers for the service.
    :param traffic_class: ``interactive`` or ``batch``.
    :param rules: the first rule that matches a request decides.
    :param leaving: ids of server VMs that must get no new work.

    >>> entry = CatalogueEntry(service="fittings", owner="kalipso")
    >>> entry.is_idempotent("GET", "/sizes"), entry.is_idempotent("POST", "/orders")
    (True, False)
    """

    service: ServiceName
    owner: t.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    traffic_class: TrafficClass = "interactive"
    limits: ServiceLimits = msgspec.field(default_factory=ServiceLimits)
    measuring: ProbeLimits = msgspec.field(default_factory=ProbeLimits)
    rules: list[RequestRule] = []
    leaving: list[str] = []

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tell whether a request may be run more than once."""
        for rule in self.rules:
            if rule.idempotent is None or not _matches(rule, method, path):
                continue
            return rule.idempotent
        return method not in NON_IDEMPOTENT_METHODS

    def find_traffic_class(self, method: str, path: str) -> TrafficClass:
        """Return the class of traffic of a request."""
        for rule in self.rules:
            if rule.traffic_class is None or not _matches(rule, method, path):
                continue
            return rule.traffic_class
        return self.traffic_class


def check_entry(source: str, value: t.Any) -> CatalogueEntry:
    """Convert plain data to an entry.

    :param source: named in the error.
    :raises EntryInvalidError: with every fault.
    """
    try:
        return msgspec.convert(value, CatalogueEntry)
    except (msgspec.ValidationError, ValueError) as error:
        # only now, since looking for every fault costs a hundred times as much
        raise InvalidEntryError(source, find_faults(CatalogueEntry, value)) from error


def _matches(rule: RequestRule, method: str, path: str) -> bool:
    if rule.method not in ("*", method):
        return False
    return path.startswith(rule.path_prefix)
