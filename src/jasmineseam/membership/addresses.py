"""Addresses of servers and nodes, which other programs have written."""

from __future__ import annotations

import functools
import ipaddress

MAX_PORT = 65_535


@functools.lru_cache(maxsize=4096)
def parse_address(address: str) -> tuple[str, int]:
    """Return the IPv4 address and the port of ``ip:port``.

    :raises ValueError: if the text is not the address of one host, or the port is out of range.

    >>> parse_address("10.0.0.1:80")
    ('10.0.0.1', 80)
    """
    host, _, port_text = address.rpartition(":")
    if not (port_text.isascii() and port_text.isdigit() and len(port_text) <= 5):
        raise ValueError(f"{address[:40]!r} has no valid port")
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    ip_address = ipaddress.IPv4Address(host)
    if ip_address.is_unspecified or ip_address.is_multicast or int(ip_address) == 0xFFFFFFFF:
        raise ValueError(f"{host} is not the address of one host")
    return host, port
