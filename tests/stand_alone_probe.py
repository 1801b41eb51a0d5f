"""One probe of the stand-alone prober, without an agent."""

import aiohttp

from jasmineseam.catalogue.entry import check_entry
from jasmineseam.membership.servers import Server
from jasmineseam.programs.server_prober import ServerProber
from jasmineseam.transport.response_protocol import open_connector


def build_prober(session=None):
    """Return a prober that has no log and no servers."""
    return ServerProber(
        seat_number=0,
        seat_count=1,
        holder="a",
        log=None,
        session=session,
        servers=None,
        list_entries=list,
    )


async def send_stand_alone_probe(address):
    """Probe a server; return the recorded results."""
    entry = check_entry("t", {"service": "s", "owner": "t", "measuring": {"probes": 10}})
    async with aiohttp.ClientSession(connector=open_connector()) as session:
        prober = build_prober(session)
        server = Server(server_id="s0", service="s", address=address, failure_domain="d")
        await prober._send_probe(entry, server)
        return prober.probe_results
