"""Routing configurations of nodes in the format of the platform's metadata store."""

from __future__ import annotations

import typing as t

DEFAULT_LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 1_000_000,
    "header-timeout": "3000ms",
    "idle-timeout": "15000ms",
}


def build_route(
    prefix: str, service: str = "fit", kind: str = "safe", **overrides: t.Any
) -> dict[str, t.Any]:
    """Return one route of a configuration.

    :param prefix: the path prefix.
    :param kind: the route's type: ``safe``, ``unsafe`` or ``download``.
    :param overrides: fields that replace the defaults.
    """
    return {
        "name": f"r{prefix}",
        "host": "fit.example",
        "path-prefix": prefix,
        "type": kind,
        "timeout": "1500ms",
        "target-latency": "500ms",
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        **overrides,
    }


def build_configuration(
    version: int,
    routes: list[dict[str, t.Any]],
    services: t.Iterable[str] = ("fit", "other"),
    limits: dict[str, t.Any] = DEFAULT_LIMITS,
    tenants: t.Sequence[dict[str, t.Any]] = (),
) -> dict[str, t.Any]:
    """Return the JSON document of a routing configuration."""
    document = {
        "version": f"{version:08x}",
        "routes": routes,
        "services": [
            {"name": name, "health-path": "/healthz", "max-conns": 260} for name in services
        ],
        "limits": limits,
    }
    if tenants:
        document["tenants"] = list(tenants)
    return document
