"""Check of a configuration before it is published: errors, dead entries, contradictory limits.

A configuration that decodes may still not do what its operator means. The findings say where.
"""

from __future__ import annotations

import itertools
import typing as t

import msgspec

from .routes import ClientAccount
from .routes import Route
from .routes import RoutingTable

# Characters of a key's digest by which a key is named; the key itself is never shown.
KEY_NAME_LENGTH = 8


class Finding(msgspec.Struct, kw_only=True, frozen=True):
    """One finding in a configuration.

    :param severity: ``error`` or ``warning``.
    :param entry: the route, service or client account, for example ``route lookup``.
    """

    severity: t.Literal["error", "warning"]
    entry: str
    text: str


def check_table(table: RoutingTable) -> list[Finding]:
    """Return all findings in a configuration, errors first."""
    findings = [
        *_check_unique(table),
        *_check_services(table),
        *itertools.chain.from_iterable(_check_route(route, table) for route in table.routes),
        *itertools.chain.from_iterable(_check_account(account) for account in table.accounts),
    ]
    return sorted(findings, key=lambda finding: finding.severity != "error")


def describe_changes(old: RoutingTable, new: RoutingTable) -> list[str]:
    """Return the differences of a configuration from an earlier one, a line each."""
    changes = []
    if new.version <= old.version:
        changes.append(f"version {new.version} is not newer than {old.version}")
    if new.limits != old.limits:
        changes.append("limits of callers changed" + _describe_fields(old.limits, new.limits))
    changes += _describe_entries("route", old.routes, new.routes)
    changes += _describe_entries("service", old.services, new.services)
    changes += _describe_entries("account", old.accounts, new.accounts)
    return changes


def _check_unique(table: RoutingTable) -> t.Iterator[Finding]:
    for kind, entries in (("route", table.routes), ("service", table.services)):
        names = set()
        for entry in entries:
            if entry.name in names:
                yield _error(f"{kind} {entry.name}", "exists twice")
            names.add(entry.name)
    matched: dict[tuple[str, str], str] = {}
    for route in table.routes:
        first = matched.setdefault((route.host.lower(), route.path_prefix), route.name)
        if first is not route.name:
            text = f"has the host and the path prefix of route {first}, which it hides"
            yield _error(f"route {route.name}", text)


def _check_services(table: RoutingTable) -> t.Iterator[Finding]:
    used = {part.service for route in table.routes for part in route.services}
    for service in table.services:
        entry = f"service {service.name}"
        if service.name not in used:
            yield _warning(entry, "no route names it")
        if service.warmup_requests_per_s > 0.0 and service.warmup_s <= 0.0:
            yield _warning(entry, "limits requests to cold servers, which are never cold")


def _check_route(route: Route, table: RoutingTable) -> t.Iterator[Finding]:
    entry = f"route {route.name}"
    known = {service.name for service in table.services}
    for part in route.services:
        if part.service not in known:
            yield _error(entry, f"service {part.service} does not exist")
    weights = [part.weight for part in route.services]
    if any(weights):
        for part in route.services:
            if not part.weight:
                yield _warning(entry, f"service {part.service} has a weight of 0")
    elif len(weights) > 1:
        yield _warning(entry, "all weights are 0, so its services get equal shares")
    if None not in (route.target_s, route.timeout_s) and route.target_s > route.timeout_s:
        text = f"its target of {route.target_s:g} s is above its timeout of {route.timeout_s:g} s"
        yield _warning(entry, text)
    if route.timeout_s is not None and route.timeout_s <= 0.0:
        yield _error(entry, "its timeout is 0, so every request fails")
    if not route.idempotent and route.max_attempts > 1:
        text = f"{route.max_attempts} attempts are used only if servers reject the request"
        yield _warning(entry, text)
    if route.public or not route.home_regions or not table.accounts:
        return
    homes = set(route.home_regions)
    if all(
        account.home_regions and not homes & set(account.home_regions)
        for account in table.accounts
    ):
        yield _warning(entry, "no client account may use a server in its home regions")


def _check_account(account: ClientAccount) -> t.Iterator[Finding]:
    entry = f"account {account.name}"
    if not account.key_hashes:
        yield _warning(entry, "it has no key, so no request belongs to it")
    if account.burst > 0.0 and account.requests_per_s <= 0.0:
        yield _warning(entry, "its burst has no effect, since it has no rate")
    if 0.0 < account.requests_per_s + account.burst < 1.0:
        yield _warning(entry, "its quota allows no request in a second, not even a burst of one")


def _describe_entries(kind: str, old: t.Sequence[t.Any], new: t.Sequence[t.Any]) -> list[str]:
    before = {entry.name: entry for entry in old}
    after = {entry.name: entry for entry in new}
    lines = [f"{kind} {name} removed" for name in before if name not in after]
    for name, entry in after.items():
        if name not in before:
            lines.append(f"{kind} {name} added")
            continue
        if entry != before[name]:
            lines.append(f"{kind} {name} changed" + _describe_fields(before[name], entry))
    return lines


def _describe_fields(old: msgspec.Struct, new: msgspec.Struct) -> str:
    parts = []
    for field in type(new).__struct_fields__:
        before, after = getattr(old, field), getattr(new, field)
        if before == after:
            continue
        if field == "key_hashes":
            parts += _describe_keys(before, after)
            continue
        parts.append(f"{field} {_format(before)} -> {_format(after)}")
    return ": " + ", ".join(parts)


def _describe_keys(old: list[bytes], new: list[bytes]) -> list[str]:
    removed = [f"key {_name_key(key)} removed" for key in old if key not in new]
    return removed + [f"key {_name_key(key)} added" for key in new if key not in old]


def _name_key(key_hash: bytes) -> str:
    return key_hash.hex()[:KEY_NAME_LENGTH]


def _format(value: t.Any) -> str:
    return msgspec.json.encode(value).decode()


def _error(entry: str, text: str) -> Finding:
    return Finding(severity="error", entry=entry, text=text)


def _warning(entry: str, text: str) -> Finding:
    return Finding(severity="warning", entry=entry, text=text)
