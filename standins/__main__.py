"""``python -m standins plain | platform | relays | servers``: runs stand-ins until killed.

Prints one line of JSON with the listening addresses once all of them accept connections.
"""

from __future__ import annotations

import asyncio
import json
import os

import aiohttp
import defopt
from aiohttp import web

from .baselines import make_proxy_handler
from .baselines import respond_immediately
from .platform import StandInPlatform
from .relay import RelayGroup
from .server import Oracle
from .server import ServerGroup
from .server import ServerProfile
from .server import StandInServer


async def _start_http_server(handler, host: str, port: int = 0) -> str:
    runner = web.ServerRunner(
        web.Server(handler, handler_cancellation=True, access_log=None), access_log=None
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=1024)
    await site.start()
    port = runner.addresses[0][1]
    return f"{host}:{port}"


async def _run_platform(host: str, retention_s: float, seed: int) -> None:
    platform = StandInPlatform(retention_s=retention_s, seed=seed)
    address = await _start_http_server(platform.handle, host)
    print(json.dumps({"address": address}), flush=True)
    await asyncio.Event().wait()


async def _run_servers(
    host: str,
    names: list[str],
    profile: ServerProfile,
    seed: int,
    journal_file: str,
    ports: list[int],
) -> None:
    servers = []
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
    journal_fd = os.open(journal_file, flags) if journal_file else None
    addresses = {}
    for index, name in enumerate(names):
        server = StandInServer(
            server_id=name, profile=profile, seed=seed + index, journal_fd=journal_fd
        )
        servers.append(server)
        port = ports[index] if ports else 0
        addresses[name] = await _start_http_server(server.handle, host, port)
    group = ServerGroup(servers=servers)
    admin = await _start_http_server(group.handle_admin_request, host)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Oracle(servers=servers), local_addr=(host, 0)
    )
    port = transport.get_extra_info("sockname")[1]
    print(
        json.dumps({"servers": addresses, "admin": admin, "oracle": f"{host}:{port}"}), flush=True
    )
    for server in servers:
        server.restart_slowdowns(seed)
    await asyncio.Event().wait()


async def _run_baseline(host: str, target: str) -> None:
    handler = respond_immediately
    if target:
        session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        handler = make_proxy_handler(session, target)
    address = await _start_http_server(handler, host)
    print(json.dumps({"address": address}), flush=True)
    await asyncio.Event().wait()


def plain(host: str, *, target: str = "") -> None:
    """Run a server that responds immediately, or a minimal proxy if a target is given.

    :param host: the IP address to listen on.
    :param target: the server behind the proxy, ``ip:port``.
    """
    asyncio.run(_run_baseline(host, target))


async def _run_relays(host: str) -> None:
    address = await _start_http_server(RelayGroup().handle_admin_request, host)
    print(json.dumps({"address": address}), flush=True)
    await asyncio.Event().wait()


def relays(host: str) -> None:
    """Run TCP relays between VMs.

    :param host: the IP address of the admin endpoint.
    """
    asyncio.run(_run_relays(host))


def platform(host: str, *, retention_s: float = 3600.0, seed: int = 1) -> None:
    """Run the platform's log and VM list.

    :param host: the IP address to listen on.
    :param retention_s: how long the log keeps records, in seconds.
    :param seed: seed of the random selection of lost responses.
    """
    asyncio.run(_run_platform(host, retention_s, seed))


def servers(
    host: str,
    names: list[str],
    *,
    mean_s: float = 0.01,
    noise_period_s: float = 0.0,
    probe_s: float = 0.006,
    journal: str = "",
    ports: list[int] = (),
    seed: int = 1,
) -> None:
    """Run backend servers.

    :param host: the IP address to listen on.
    :param names: the servers' ids.
    :param mean_s: mean service time, in seconds.
    :param noise_period_s: mean time between slowdowns of one server, in seconds; 0 for none.
    :param probe_s: time that a probe occupies a slot, in seconds.
    :param journal: path of the journal, to which the servers append one line with the request id
        for each executed request; empty for no journal.
    :param ports: the servers' ports, in the order of the names; the kernel chooses if omitted.
    :param seed: seed of all random values.
    """
    profile = ServerProfile(mean_service_s=mean_s, noise_period_s=noise_period_s, probe_s=probe_s)
    asyncio.run(_run_servers(host, names, profile, seed, journal, list(ports)))


if __name__ == "__main__":
    defopt.run([plain, platform, relays, servers], cli_options="has_default", short={})
