"""Decoding of the records in the platform's metadata store."""

from __future__ import annotations

import typing as t

import msgspec

from ..exceptions import InvalidRecordError
from ..membership.addresses import parse_address
from ..membership.evacuations import EvacuationState
from ..membership.registry import ServerChange
from ..membership.registry import ServerListing
from ..membership.servers import Server
from ..membership.store_position import StorePosition
from ..routing.routes import CallerLimits
from ..routing.routes import ClientAccount
from ..routing.routes import Route
from ..routing.routes import RoutingTable
from ..routing.routes import ServiceInfo
from ..routing.routes import WeightedService
from ..routing.routes import hash_key
from .settings import parse_duration
from .store_client import KeyedRecord

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
# followed by the name of a failure domain
EVACUATION_KEY_PREFIX = "evacuate/"
SERVERS_TOPIC = "keyed.servers"
NODES_TOPIC = "keyed.nodes"

# A server with a longer warm-up or more slots is an error of whoever has written the record.
MAX_WARMUP_S = 3600.0
MAX_SLOTS = 1_000_000
MAX_NAME_CHARS = 255
# Numbers are sent to other nodes as 64-bit integers.
MAX_COUNT = 2**63 - 1
Name = t.Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]
Count = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
PositiveCount = t.Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]
Rate = t.Annotated[float, msgspec.Meta(ge=0.0, le=1e9)]


class _WeightedBackend(msgspec.Struct):
    service: str
    weight: t.Annotated[float, msgspec.Meta(ge=0.0)]


class _Route(
    msgspec.Struct,
    rename={
        "kind": "type",
        "prefix": "path-prefix",
        "target": "target-latency",
        "max_attempts": "max-attempts",
        # weighted services that share the route's requests
        "parts": "backends",
        "home_regions": "allowed-regions",
    },
):
    name: str
    host: str
    prefix: t.Annotated[str, msgspec.Meta(pattern=r"^/(.*/)?$")]
    kind: str
    timeout: str | None = None
    target: str | None = None
    priority: Count = 0
    max_attempts: PositiveCount = 1
    service: str | None = None
    parts: list[_WeightedBackend] = []
    public: bool = False
    home_regions: list[str] = []


class _Service(
    msgspec.Struct,
    rename={
        "health_path": "health-path",
        "max_conns": "max-conns",
        "warmup_requests_per_s": "warmup-per-s",
    },
):
    name: str
    health_path: str = "/"
    # maximum connections to one server, summed over all callers; 0 for no limit
    max_conns: Count = 0
    warmup: str = "0ms"
    warmup_requests_per_s: Rate = 0.0


# The platform's name for a client account is a tenant.
class _Tenant(
    msgspec.Struct,
    rename={
        "keys": "api-keys",
        "requests_per_s": "rate-per-s",
        "home_regions": "allowed-regions",
    },
):
    name: t.Annotated[str, msgspec.Meta(min_length=1)]
    keys: list[t.Annotated[str, msgspec.Meta(min_length=1)]] = []
    # 0 for no quota
    requests_per_s: Rate = 0.0
    burst: Rate = 0.0
    priority: Count = 0
    home_regions: list[str] = []


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: PositiveCount = 16_384
    max_body_bytes: PositiveCount = 67_108_864
    header_timeout: str = "10s"
    idle_timeout: str = "60s"


class _Configuration(msgspec.Struct):
    # hexadecimal; the platform writes eight digits
    version: t.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F]{1,16}$")]
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _ServerRecord(msgspec.Struct, rename={"warmup_left": "warmup-left"}):
    service: Name
    address: Name
    zone: Name
    slots: t.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    state: t.Literal["ready", "draining"]
    sequence: Count
    # start of the server, Unix time in milliseconds
    born: Count = 0
    # remaining warm-up time, during which the server is slow
    warmup_left: str = "0ms"


def decode_routing_table(value: bytes) -> RoutingTable:
    """Decode the operator's configuration of routes, services and limits.

    :raises InvalidRecordError: if any part is invalid; the configuration is rejected as a whole.
    """
    try:
        configuration = msgspec.json.decode(value, type=_Configuration)
        limits = configuration.limits
        return RoutingTable(
            version=int(configuration.version, 16),
            routes=[_convert_route(route) for route in configuration.routes],
            services=[
                ServiceInfo(
                    name=service.name,
                    health_path=service.health_path,
                    max_connections=service.max_conns,
                    warmup_s=parse_duration(service.warmup),
                    warmup_requests_per_s=service.warmup_requests_per_s,
                )
                for service in configuration.services
            ],
            limits=CallerLimits(
                header_bytes=limits.max_header_bytes,
                body_bytes=limits.max_body_bytes,
                header_timeout_s=parse_duration(limits.header_timeout),
                idle_timeout_s=parse_duration(limits.idle_timeout),
            ),
            accounts=_convert_tenants(configuration.tenants),
        )
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidRecordError(CONFIGURATION_KEY, str(error)) from error


def decode_evacuations(
    records: list[KeyedRecord], end: StorePosition, known: t.Mapping[str, StorePosition]
) -> EvacuationState:
    """Apply records of evacuations to the evacuated failure domains before them.

    Any value evacuates the domain; its content has no meaning yet, and an evacuation must not be
    missed because of it.

    :param end: store position after the records.
    :param known: the evacuated domains before the records, empty for a complete read.
    """
    failure_domains = dict(known)
    withdrawn = {}
    for record in records:
        failure_domain = record.key.removeprefix(EVACUATION_KEY_PREFIX)
        if failure_domain in ("", record.key):
            continue
        if record.value:
            failure_domains.setdefault(failure_domain, end)
            withdrawn.pop(failure_domain, None)
            continue
        failure_domains.pop(failure_domain, None)
        withdrawn[failure_domain] = end
    return EvacuationState(position=end, failure_domains=failure_domains, withdrawn=withdrawn)


def decode_listing(record: KeyedRecord) -> ServerListing:
    """Decode a backend server's record.

    :raises InvalidRecordError: if the record is malformed.
    """
    try:
        if record.error:
            raise ValueError(record.error)
        # Requests to a server name its id in a header.
        if not record.key.isprintable() or not record.key.strip():
            raise ValueError("the key is empty or has unprintable characters")
        content = msgspec.json.decode(record.value, type=_ServerRecord)
        warmup_s = parse_duration(content.warmup_left)
        if warmup_s > MAX_WARMUP_S:
            raise ValueError(f"warm-up of {warmup_s:g} s")
        parse_address(content.address)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise InvalidRecordError(record.key, str(error)) from error
    server = Server(
        server_id=record.key,
        service=content.service,
        address=content.address,
        failure_domain=content.zone,
        leaving=content.state == "draining",
    )
    return ServerListing(
        server=server,
        slots=content.slots,
        warmup_s=warmup_s,
        started_ms=content.born,
        sequence=content.sequence,
    )


def decode_server_change(record: KeyedRecord) -> tuple[ServerChange, InvalidRecordError | None]:
    """Decode one change of the server list; return it with the error if the record is invalid.

    An invalid record removes the server, as if its key had been removed.
    """
    if not record.value and not record.error:
        return ServerChange(server_id=record.key), None
    try:
        return ServerChange(server_id=record.key, listing=decode_listing(record)), None
    except InvalidRecordError as error:
        return ServerChange(server_id=record.key), error


def _convert_tenants(tenants: list[_Tenant]) -> list[ClientAccount]:
    """Convert the client accounts; a key or a name that two of them share is an error."""
    accounts = []
    names = set()
    holders: dict[bytes, str] = {}
    for tenant in tenants:
        if tenant.name in names:
            raise ValueError(f"client account {tenant.name!r} exists twice")
        names.add(tenant.name)
        key_hashes = [hash_key(key) for key in tenant.keys]
        for key_hash in key_hashes:
            holder = holders.setdefault(key_hash, tenant.name)
            if holder != tenant.name:
                # The key itself must not appear in the error message.
                raise ValueError(f"client accounts {holder!r} and {tenant.name!r} share a key")
        accounts.append(
            ClientAccount(
                name=tenant.name,
                key_hashes=key_hashes,
                requests_per_s=tenant.requests_per_s,
                burst=tenant.burst,
                priority=tenant.priority,
                home_regions=tenant.home_regions,
            )
        )
    return accounts


def _convert_route(route: _Route) -> Route:
    services = [WeightedService(service=part.service, weight=part.weight) for part in route.parts]
    if not services:
        if route.service is None:
            raise ValueError(f"route {route.name!r} has neither a service nor backends")
        services = [WeightedService(service=route.service)]
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.prefix,
        # a download is a safe request with a large response, so it is idempotent too
        idempotent=route.kind in ("safe", "download"),
        services=services,
        max_attempts=route.max_attempts,
        priority=route.priority,
        timeout_s=None if route.timeout is None else parse_duration(route.timeout),
        target_s=None if route.target is None else parse_duration(route.target),
        public=route.public,
        home_regions=route.home_regions,
        large_bodies=route.kind == "upload",
    )
