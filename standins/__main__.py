"""``python -m standins platform | servers``: runs stand-ins until they are killed.

Prints one line of JSON with the addresses once it listens.
"""

from __future__ import annotations

import asyncio
import json
import os

import aiohttp
import defopt
from aiohttp import web

from .plain import answer_at_once
from .plain import make_pass_through
from .platform import Platform
from .relay import RelayGroup
from .server import Oracle
from .server import Profile
from .server import ServerGroup
from .server import StandInServer


async def _listen(handler, host: str, port: int = 0) -> str:
    runner = web.ServerRunner(
        web.Server(handler, handler_cancellation=True, access_log=None), access_log=None
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port, backlog=1024)
    await site.start()
    port = runner.addresses[0][1]
    return f"{host}:{port}"


async def _run_platform(host: str, retention_s: float, seed: int) -> None:
    platform = Platform(retention_s=retention_s, seed=seed)
    address = await _listen(platform.answer, host)
    print(json.dumps({"address": address}), flush=True)
    await asyncio.Event().wait()


async def _run_servers(
    host: str, names: list[str], profile: Profile, seed: int, journal_file: str, ports: list[int]
) -> None:
    servers = []
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
    journal = os.open(journal_file, flags) if journal_file else None
    addresses = {}
    for index, name in enumerate(names):
        server = StandInServer(server_id=name, profile=profile, seed=seed + index, journal=journal)
        servers.append(server)
        port = ports[index] if ports else 0
        addresses[name] = await _listen(server.answer, host, port)
    group = ServerGroup(servers=servers)
    admin = await _listen(group.administer, host)
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(
        lambda: Oracle(servers=servers), local_addr=(host, 0)
    )
    port = transport.get_extra_info("sockname")[1]
    print(
        json.dumps({"servers": addresses, "admin": admin, "oracle": f"{host}:{port}"}), flush=True
    )
    for server in servers:
        server.start_noise(seed)
    await asyncio.Event().wait()


async def _run_plain(host: str, target: str) -> None:
    handler = answer_at_once
    if target:
        session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        handler = make_pass_through(session, target)
    address = await _listen(handler, host)
    print(json.dumps({"address": address}), flush=True)
    await asyncio.Event().wait()


def plain(host: str, *, target: str = "") -> None:
    """Run a server that answers at once, or a bare proxy.

    :param host: the address to bind to.
    :param target: the server behind the proxy, ``ip:port``.
    """
    asyncio.run(_run_plain(host, target))


async def _run_relays(host: str) -> None:
    address = await _listen(RelayGroup().administer, host)
    print(json.dumps({"address": address}), flush=True)
    await asyncio.Event().wait()


def relays(host: str) -> None:
    """Run relays between VMs.

    :param host: the address to administer them.
    """
    asyncio.run(_run_relays(host))


def platform(host: str, *, retention_s: float = 3600.0, seed: int = 1) -> None:
    """Run the platform's log and VM list.

    :param host: the address to bind to.
    :param retention_s: how long the log keeps records.
    :param seed: of the lost answers.
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

    :param host: the address to bind to.
    :param names: the servers' ids.
    :param mean_s: mean service time.
    :param noise_period_s: mean time between slowdowns of one server, 0 for none.
    :param probe_s: slot time that a probe takes.
    :param journal: a file that gets a line for each run.
    :param ports: the servers' ports, in their order; the kernel's choice if left out.
    :param seed: of all that is drawn.
    """
    profile = Profile(mean_s=mean_s, noise_period_s=noise_period_s, probe_s=probe_s)
    asyncio.run(_run_servers(host, names, profile, seed, journal, list(ports)))


if __name__ == "__main__":
    defopt.run([plain, platform, relays, servers], cli_options="has_default", short={})
