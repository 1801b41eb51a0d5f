"""The settings file that the users' platform gives to a node."""

from __future__ import annotations

import pathlib
import socket
import typing as t

NODE_PORTS = ("notices", "entry", "ready", "control", "directory", "metrics")
_TEMPLATE = """
[self]
node-name = "{name}"
ip = "{host}"
zone = "{zone}"
[network]
internal-ports = [{notices}, {notices}]
seeds = [{seeds}]
[network.listen]
front = "{host}:{entry}"
ready = "{host}:{ready}"
control = "{host}:{control}"
directory = "{host}:{directory}"
[platform.platform]
address = "{store}"
[terms.bounds]
grace = "{grace}"
retry-budget-ratio = 0.2
budget-window = "10s"
retry-budget-slack = 60
ttl_max = "5s"
probes-per-s = 60
"""


def find_ports(host: str, count: int) -> list[int]:
    """Return ports that the kernel has free at an address."""
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def write_node_settings(
    path: pathlib.Path,
    *,
    host: str,
    store: str,
    name: str = "vm-1",
    zone: str = "d1",
    grace: str = "2s",
    seeds: t.Iterable[str] = (),
) -> dict[str, int]:
    """Write a settings file with free ports; returns the ports by what they serve."""
    ports = dict(zip(NODE_PORTS, find_ports(host, len(NODE_PORTS)), strict=True))
    quoted = ", ".join(f'"{seed}"' for seed in seeds)
    text = _TEMPLATE.format(
        name=name, host=host, zone=zone, store=store, grace=grace, seeds=quoted, **ports
    )
    path.write_text(text, encoding="utf-8")
    return ports
