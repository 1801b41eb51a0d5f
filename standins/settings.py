"""The settings file that the platform writes for a node."""

from __future__ import annotations

import itertools
import os
import pathlib
import socket
import typing as t

NODE_PORT_NAMES = ("notices", "entry", "ready", "control", "directory", "metrics")
_SETTINGS_TEMPLATE = """
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
{bounds}
"""
_host_numbers = itertools.count()


def choose_loopback_address() -> str:
    """Return a loopback address that no other process uses, so that its ports stay free until use.

    On 127.0.0.1, outgoing connections of any process could take such a port in the meantime.
    """
    pid = os.getpid()
    return f"127.{16 + pid % 200}.{pid // 200 % 250}.{next(_host_numbers) % 250 + 1}"


def find_free_ports(host: str, count: int) -> list[int]:
    """Return distinct ports that the kernel reports as free on an address."""
    listeners = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def write_node_settings(
    path: pathlib.Path,
    *,
    host: str,
    store_address: str,
    name: str = "vm-1",
    zone: str = "d1",
    grace: str = "2s",
    seeds: t.Iterable[str] = (),
    bounds: t.Iterable[str] = (),
) -> dict[str, int]:
    """Write a settings file with free ports.

    :param store_address: the address of the metadata store.
    :param grace: time between the stop signal and the kill of the node, with its unit.
    :param seeds: peer addresses of the nodes through which the node joins the membership.
    :param bounds: further lines of the table of bounds.
    :returns: the ports by listener name, as in ``NODE_PORT_NAMES``.
    """
    ports = dict(zip(NODE_PORT_NAMES, find_free_ports(host, len(NODE_PORT_NAMES)), strict=True))
    quoted = ", ".join(f'"{seed}"' for seed in seeds)
    text = _SETTINGS_TEMPLATE.format(
        name=name,
        host=host,
        zone=zone,
        store=store_address,
        grace=grace,
        seeds=quoted,
        bounds="\n".join(bounds),
        **ports,
    )
    path.write_text(text, encoding="utf-8")
    return ports
