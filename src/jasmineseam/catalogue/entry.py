"""Catalogue entries: the owner, traffic class, limits and request rules of a service."""

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
    """Limits of one service, across all entry VMs unless stated otherwise.

    :param rate_per_s: maximum rate of admitted requests, per second.
    :param concurrency_per_server: maximum number of concurrent requests per server.
    :param queue: maximum number of queued requests per entry process.
    :param body_bytes: maximum size of a request body, in bytes.
    :param buffer_bytes: maximum size of a response that is buffered before it is forwarded, in
        bytes; larger responses are streamed.
    :param deadline_ms: maximum duration of a request, in milliseconds.
    :param extra_attempt_share: maximum ratio of retries and hedges to first attempts.
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
    """Overrides the idempotency or traffic class of the matching requests of a service.

    :param method: HTTP method to match, ``*`` for any.
    :param path_prefix: prefix of the paths to match.
    :param idempotent: whether a matching request may be run more than once, ``None`` for no
        override.
    :param traffic_class: traffic class of a matching request, ``None`` for no override.
    """

    method: t.Annotated[str, msgspec.Meta(pattern=r"^([A-Z]+|\*)$")] = "*"
    path_prefix: t.Annotated[str, msgspec.Meta(pattern=r"^/")] = "/"
    idempotent: bool | None = None
    traffic_class: TrafficClass | None = None


class ProbeLimits(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Limits of the load that probes put on the servers of a service, across all entry VMs.

    :param probes: maximum number of probes to all servers in any window of *window_s* seconds.
    :param window_s: length of the window, in seconds.
    :param slot_ms: maximum time for which a probe may occupy a slot of a server, in milliseconds;
        a server has one slot for each request that it can run concurrently.
    :param path: path of the probe requests.
    """

    probes: NonNegativeInt = 0
    window_s: PositiveFloat = 10.0
    slot_ms: PositiveFloat = 10.0
    path: t.Annotated[str, msgspec.Meta(pattern=r"^/")] = "/load"


class CatalogueEntry(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """Definition of a service, as published by its operators.

    :param service: name of the service, which callers send in the ``Host`` header.
    :param owner: name of the party responsible for the service.
    :param traffic_class: ``interactive`` or ``batch``.
    :param measuring: limits of the probes.
    :param rules: overrides for matching requests; for each property, the first matching rule that
        overrides it applies.
    :param leaving: ids of server VMs that must receive no new requests.

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
        """Return whether a request may be run more than once."""
        for rule in self.rules:
            if rule.idempotent is None or not _matches(rule, method, path):
                continue
            return rule.idempotent
        return method not in NON_IDEMPOTENT_METHODS

    def find_traffic_class(self, method: str, path: str) -> TrafficClass:
        """Return the traffic class of a request."""
        for rule in self.rules:
            if rule.traffic_class is None or not _matches(rule, method, path):
                continue
            return rule.traffic_class
        return self.traffic_class


def check_entry(source: str, value: t.Any) -> CatalogueEntry:
    """Validate plain data and convert it to a catalogue entry.

    :param source: origin of the data, used in error messages.
    :raises InvalidEntryError: if the data is invalid; lists all faults.
    """
    try:
        return msgspec.convert(value, CatalogueEntry)
    except (msgspec.ValidationError, ValueError) as error:
        # faults are searched only after a failure because the search costs 100 times as much as
        # the conversion
        raise InvalidEntryError(source, find_faults(CatalogueEntry, value)) from error


def _matches(rule: RequestRule, method: str, path: str) -> bool:
    if rule.method not in ("*", method):
        return False
    return path.startswith(rule.path_prefix)
