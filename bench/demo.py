"""Demonstration of the complete system on loopback addresses.

Callers send requests while one VM is stopped, another VM is killed and a catalogue entry is
published. The output ends with a table of outcomes and latencies.
"""

from __future__ import annotations

import asyncio
import sys
import time
import typing as t

import aiohttp
from hdrh.histogram import HdrHistogram

from standins.callers import Caller

from .checks import RunResult
from .checks import check_outcomes
from .checks import find_crash_log_lines
from .checks import find_probe_budget_violations
from .cluster import Cluster

VM_COUNT = 6
SERVERS_PER_SERVICE = 8
CALLER_COUNT = 16
LOAD_DURATION_S = 14.0
STOP_AT_S = 2.0
KILL_AT_S = 6.0
CALLER_PAUSE_S = 0.02
LATENCY_REQUEST_COUNT = 400
MAX_PROBES_PER_WINDOW = 12
PROBE_WINDOW_S = 6.0
LOOKUP_CATALOGUE_ENTRY = {
    "service": "fittings",
    "owner": "kalipso",
    "measuring": {"probes": MAX_PROBES_PER_WINDOW, "window_s": PROBE_WINDOW_S},
}
ORDER_CATALOGUE_ENTRY = {
    "service": "stock",
    "owner": "kalipso",
    "rules": [{"method": "POST", "path_prefix": "/search", "idempotent": True}],
}


PLAIN_CATALOGUE_ENTRY = {"service": "plain", "owner": "kalipso"}


def _print_progress(text: str) -> None:
    print(f"demo: {text}", flush=True)


def _start_cluster(cluster: Cluster) -> str:
    """Start all processes and publish the catalogue entries.

    Returns the address of the server that responds without delay.
    """
    plain_address = cluster.start_plain_server(PLAIN_CATALOGUE_ENTRY["service"])
    for entry in (LOOKUP_CATALOGUE_ENTRY, ORDER_CATALOGUE_ENTRY):
        service = entry["service"]
        cluster.start_servers(service, [f"{service}-{n}" for n in range(SERVERS_PER_SERVICE)])
    _print_progress(
        f"{2 * SERVERS_PER_SERVICE} servers and the platform stand-in are running; "
        f"starting {VM_COUNT} entry VMs"
    )
    vms = [cluster.add_vm(index, VM_COUNT) for index in range(VM_COUNT)]
    for vm in vms:
        cluster.start_vm(vm)
    cluster.wait_until_entries_listed(VM_COUNT)
    for entry in (LOOKUP_CATALOGUE_ENTRY, ORDER_CATALOGUE_ENTRY, PLAIN_CATALOGUE_ENTRY):
        _publish(cluster, entry)
    return plain_address


def _publish(cluster: Cluster, entry: dict[str, t.Any]) -> None:
    started_at = time.monotonic()
    report = cluster.publish(next(iter(cluster.vms.values())), entry)
    duration_s = time.monotonic() - started_at
    status = f"{report['status']} in every process, revision {report['revision']}"
    _print_progress(f"published {entry['service']}: {status}, {duration_s:.1f} s")
    if report["exit_code"] != 0:
        raise RuntimeError(f"catalogue entry was not published: {report}")


async def _run_load(cluster: Cluster) -> list[Caller]:
    ends_at = time.monotonic() + LOAD_DURATION_S

    async def repeat(caller: Caller) -> None:
        while time.monotonic() < ends_at:
            await caller.send_lookup("fittings")
            await caller.send_order("stock")
            await asyncio.sleep(CALLER_PAUSE_S)

    async def inject_faults() -> None:
        vms = list(cluster.vms.values())
        await asyncio.sleep(STOP_AT_S)
        _print_progress(f"stopping {vms[1].vm_id} with SIGTERM")
        await asyncio.to_thread(cluster.stop_vm, vms[1])
        await asyncio.sleep(max(0.0, ends_at - LOAD_DURATION_S + KILL_AT_S - time.monotonic()))
        _print_progress(f"killing {vms[2].vm_id}")
        await asyncio.to_thread(cluster.kill_vm, vms[2])
        limited_entry = {**LOOKUP_CATALOGUE_ENTRY, "limits": {"queue": 32}}
        for vm in vms[1:3]:
            cluster.remove_from_vm_list(vm.vm_id)
        await asyncio.to_thread(_publish, cluster, limited_entry)

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        callers = []
        for number in range(CALLER_COUNT):
            callers.append(
                Caller(
                    session=session,
                    get_locator_addresses=lambda: [
                        vm.locator_address for vm in cluster.vms.values()
                    ],
                    failure_domain=f"domain-{number % 3}",
                    seed=number,
                )
            )
        await asyncio.gather(inject_faults(), *(repeat(caller) for caller in callers))
    return callers


async def _measure_latency(cluster: Cluster, plain_address: str) -> dict[str, HdrHistogram]:
    """Measure the latency of requests that go directly to a server and through an entry, in turn.

    The server responds without delay.
    """
    vm = next(iter(cluster.vms.values()))
    addresses = {"direct": plain_address, "entry": vm.http_address}
    histograms = {name: HdrHistogram(1, 10_000_000, 3) for name in addresses}
    async with aiohttp.ClientSession() as session:
        for _ in range(LATENCY_REQUEST_COUNT):
            for name, address in addresses.items():
                started_at = time.perf_counter()
                url = f"http://{address}/"
                async with session.get(
                    url, headers={"Host": PLAIN_CATALOGUE_ENTRY["service"]}
                ) as response:
                    await response.read()
                duration_us = int((time.perf_counter() - started_at) * 1e6)
                histograms[name].record_value(duration_us)
    return histograms


def _print_table(rows: list[tuple[str, t.Any]]) -> None:
    for name, value in rows:
        print(f"  {name:46} {value}")


def _build_rows(
    result: RunResult, journals: dict[str, t.Any], histograms: dict[str, HdrHistogram]
) -> list[tuple[str, t.Any]]:
    lookups = [
        journal["requests"] for name, journal in journals.items() if name.startswith("fittings")
    ]
    probes = sum(len(journal["probes_at"]) for journal in journals.values())
    rows = [
        ("requests", result.requests),
        ("answered", result.answered),
        ("not executed", result.not_run),
        ("outcome unknown", result.unknown),
        ("maximum executions of one key", result.max_executions_per_order),
        ("responses that belong to another request", result.mismatched_responses),
        ("requests per lookup server, min and max", f"{min(lookups)} and {max(lookups)}"),
        (f"probes sent, budget {MAX_PROBES_PER_WINDOW} per {PROBE_WINDOW_S:.0f} s", probes),
    ]
    for quantile in (50, 99):
        direct, entry = (
            histograms[name].get_value_at_percentile(quantile) / 1000
            for name in ("direct", "entry")
        )
        text = f"{entry - direct:.2f} ms ({entry:.2f} through the entry, {direct:.2f} direct)"
        rows.append((f"added latency, p{quantile}", text))
    return rows


def main() -> None:
    """Run the demonstration; exits with 0 if no guarantee was violated, otherwise with 1."""
    with Cluster(name="demo") as cluster:
        plain_address = _start_cluster(cluster)
        _print_progress(
            f"{CALLER_COUNT} callers send lookups and orders for {LOAD_DURATION_S:.0f} s"
        )
        callers = asyncio.run(_run_load(cluster))
        histograms = asyncio.run(_measure_latency(cluster, plain_address))
        result = check_outcomes([caller.tally for caller in callers], cluster.count_executions())
        journals = cluster.read_server_journals()
        result.failures.extend(
            find_probe_budget_violations(journals, MAX_PROBES_PER_WINDOW, PROBE_WINDOW_S)
        )
        result.failures.extend(find_crash_log_lines(cluster))
        _print_table(_build_rows(result, journals, histograms))
    for failure in result.failures:
        _print_progress(f"FAILED: {failure}")
    _print_progress("a guarantee was violated" if result.failures else "no guarantee was violated")
    sys.exit(1 if result.failures else 0)


if __name__ == "__main__":
    main()
