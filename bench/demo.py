"""The demonstration: the whole system on loopback, a planned stop, a kill, and a table."""

from __future__ import annotations

import asyncio
import sys
import time
import typing as t

import aiohttp
from hdrh.histogram import HdrHistogram

from standins.callers import Caller

from .cluster import Cluster
from .judge import Verdict
from .judge import find_budget_breaches
from .judge import find_crashes
from .judge import judge_orders

VMS = 6
SERVERS = 8
CALLERS = 16
LOAD_S = 14.0
STOP_AT_S = 2.0
KILL_AT_S = 6.0
PAUSE_S = 0.02
LATENCY_REQUESTS = 400
PROBES = 12
WINDOW_S = 6.0
LOOKUPS = {
    "service": "fittings",
    "owner": "kalipso",
    "measuring": {"probes": PROBES, "window_s": WINDOW_S},
}
ORDERS = {
    "service": "stock",
    "owner": "kalipso",
    "rules": [{"method": "POST", "path_prefix": "/search", "idempotent": True}],
}


PLAIN = {"service": "plain", "owner": "kalipso"}


def _say(text: str) -> None:
    print(f"demo: {text}", flush=True)


def _start(cluster: Cluster) -> str:
    """Start everything and publish; returns the address of the server that answers at once."""
    plain = cluster.start_plain(PLAIN["service"])
    for entry in (LOOKUPS, ORDERS):
        service = entry["service"]
        cluster.start_servers(service, [f"{service}-{n}" for n in range(SERVERS)])
    _say(f"{2 * SERVERS} servers and the platform's stand-in run; {VMS} entry VMs start")
    vms = [cluster.add_vm(index, VMS) for index in range(VMS)]
    for vm in vms:
        cluster.start_vm(vm)
    cluster.wait_until_named(VMS)
    for entry in (LOOKUPS, ORDERS, PLAIN):
        _publish(cluster, entry)
    return plain


def _publish(cluster: Cluster, entry: dict[str, t.Any]) -> None:
    began_at = time.monotonic()
    report = cluster.publish(next(iter(cluster.vms.values())), entry)
    took_s = time.monotonic() - began_at
    status = f"{report['status']} at every process, revision {report['revision']}"
    _say(f"published {entry['service']}: {status}, {took_s:.1f} s")
    if report["exit_code"] != 0:
        raise RuntimeError(f"publication failed: {report}")


async def _load(cluster: Cluster) -> list[Caller]:
    until = time.monotonic() + LOAD_S

    async def repeat(caller: Caller) -> None:
        while time.monotonic() < until:
            await caller.send_lookup("fittings")
            await caller.send_order("stock")
            await asyncio.sleep(PAUSE_S)

    async def disturb() -> None:
        vms = list(cluster.vms.values())
        await asyncio.sleep(STOP_AT_S)
        _say(f"{vms[1].vm_id} is stopped in the planned way")
        await asyncio.to_thread(cluster.stop_vm, vms[1])
        await asyncio.sleep(max(0.0, until - LOAD_S + KILL_AT_S - time.monotonic()))
        _say(f"{vms[2].vm_id} is killed")
        await asyncio.to_thread(cluster.kill_vm, vms[2])
        limited = {**LOOKUPS, "limits": {"queue": 32}}
        for vm in vms[1:3]:
            cluster.unlist(vm.vm_id)
        await asyncio.to_thread(_publish, cluster, limited)

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        callers = []
        for number in range(CALLERS):
            callers.append(
                Caller(
                    session=session,
                    locators=lambda: [vm.locator_address for vm in cluster.vms.values()],
                    failure_domain=f"domain-{number % 3}",
                    seed=number,
                )
            )
        await asyncio.gather(disturb(), *(repeat(caller) for caller in callers))
    return callers


async def _measure_added(cluster: Cluster, plain: str) -> dict[str, HdrHistogram]:
    """Send requests to a server that answers at once, directly and through an entry, in turns."""
    vm = next(iter(cluster.vms.values()))
    addresses = {"direct": plain, "entry": vm.http_address}
    histograms = {name: HdrHistogram(1, 10_000_000, 3) for name in addresses}
    async with aiohttp.ClientSession() as session:
        for _ in range(LATENCY_REQUESTS):
            for name, address in addresses.items():
                began_at = time.perf_counter()
                url = f"http://{address}/"
                async with session.get(url, headers={"Host": PLAIN["service"]}) as response:
                    await response.read()
                took_us = int((time.perf_counter() - began_at) * 1e6)
                histograms[name].record_value(took_us)
    return histograms


def _print_table(rows: list[tuple[str, t.Any]]) -> None:
    for name, value in rows:
        print(f"  {name:46} {value}")


def _list_rows(
    verdict: Verdict, journals: dict[str, t.Any], histograms: dict[str, HdrHistogram]
) -> list[tuple[str, t.Any]]:
    lookups = [one["requests"] for name, one in journals.items() if name.startswith("fittings")]
    probes = sum(len(one["probes_at"]) for one in journals.values())
    rows = [
        ("requests", verdict.requests),
        ("answered", verdict.answered),
        ("not run", verdict.not_run),
        ("unknown", verdict.unknown),
        ("most runs of one key", verdict.most_runs),
        ("answers that were not the caller's own", verdict.foreign),
        ("requests per lookup server, least and most", f"{min(lookups)} and {max(lookups)}"),
        (f"probes sent, budget {PROBES} in any {WINDOW_S:.0f} s", probes),
    ]
    for quantile in (50, 99):
        direct, entry = (
            histograms[name].get_value_at_percentile(quantile) / 1000
            for name in ("direct", "entry")
        )
        text = f"{entry - direct:.2f} ms ({entry:.2f} against {direct:.2f} direct)"
        rows.append((f"added latency, p{quantile}", text))
    return rows


def main() -> None:
    """Run the demonstration; ends with 0 only if no promise was broken."""
    with Cluster(name="demo") as cluster:
        plain = _start(cluster)
        _say(f"{CALLERS} callers send lookups and orders for {LOAD_S:.0f} s")
        callers = asyncio.run(_load(cluster))
        histograms = asyncio.run(_measure_added(cluster, plain))
        verdict = judge_orders([one.tally for one in callers], cluster.count_runs())
        journals = cluster.read_journals()
        verdict.failures.extend(find_budget_breaches(journals, PROBES, WINDOW_S))
        verdict.failures.extend(find_crashes(cluster))
        _print_table(_list_rows(verdict, journals, histograms))
    for failure in verdict.failures:
        _say(f"FAILED: {failure}")
    _say("a promise was broken" if verdict.failures else "no promise was broken")
    sys.exit(1 if verdict.failures else 0)


if __name__ == "__main__":
    main()
