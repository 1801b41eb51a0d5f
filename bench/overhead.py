"""What the entry adds to a request, beside a bare aiohttp proxy, in one run.

Direct, proxy and entry take turns in short rounds, so that the machine's noise meets all alike.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import time

import aiohttp
from hdrh.histogram import HdrHistogram

from .cluster import Cluster

ROUNDS = 12
LATENCY_REQUESTS = 250
CONCURRENCY = 32
LOAD_S = 1.0
TARGET_RATE = 2500
TARGET_RATIO = 1.5
SERVICE = "plain"
RESULT = pathlib.Path(__file__).parent.parent / "docs" / "bench" / "overhead.json"


class Arm:
    """One way to the server, and what was measured on it."""

    def __init__(self, *, name: str, address: str) -> None:
        self.name = name
        self.address = address
        self.histogram = HdrHistogram(1, 10_000_000, 3)
        self.rates: list[float] = []


async def _send(session: aiohttp.ClientSession, arm: Arm) -> None:
    async with session.get(f"http://{arm.address}/small", headers={"Host": SERVICE}) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(f"{arm.name}: status {response.status}")


async def _measure_latency(session: aiohttp.ClientSession, arm: Arm) -> None:
    for _ in range(LATENCY_REQUESTS):
        began_at = time.perf_counter()
        await _send(session, arm)
        arm.histogram.record_value(int((time.perf_counter() - began_at) * 1e6))


async def _measure_rate(session: aiohttp.ClientSession, arm: Arm) -> None:
    until = time.perf_counter() + LOAD_S
    count = 0

    async def repeat() -> None:
        nonlocal count
        while time.perf_counter() < until:
            await _send(session, arm)
            count += 1

    await asyncio.gather(*(repeat() for _ in range(CONCURRENCY)))
    arm.rates.append(count / LOAD_S)


async def _measure(arms: list[Arm]) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for arm in arms:
            for _ in range(LATENCY_REQUESTS):
                await _send(session, arm)
        for _ in range(ROUNDS):
            for arm in arms:
                await _measure_latency(session, arm)
            for arm in arms[1:]:
                await _measure_rate(session, arm)


def _summarize(arms: list[Arm]) -> dict[str, float]:
    _, proxy, entry = arms
    summary: dict[str, float] = {}
    for arm in arms:
        for quantile in (50, 99):
            value = arm.histogram.get_value_at_percentile(quantile)
            summary[f"{arm.name}_p{quantile}_us"] = value
    for quantile in (50, 99):
        base = summary[f"direct_p{quantile}_us"]
        for arm in (proxy, entry):
            added = summary[f"{arm.name}_p{quantile}_us"] - base
            summary[f"{arm.name}_added_p{quantile}_us"] = added
        ratio = summary[f"entry_added_p{quantile}_us"] / summary[f"proxy_added_p{quantile}_us"]
        summary[f"added_ratio_p{quantile}"] = round(ratio, 3)
    for arm in (proxy, entry):
        summary[f"{arm.name}_rate_per_s"] = round(sorted(arm.rates)[len(arm.rates) // 2])
    return summary


def run_overhead() -> dict[str, float]:
    """Measure, and return the figures."""
    with Cluster(name="overhead") as cluster:
        host = cluster.platform.partition(":")[0]
        server = cluster.start_plain(SERVICE)
        proxy = cluster.start_standin("plain", host, "--target", server)["address"]
        vm = cluster.add_vm(0, 1)
        cluster.start_vm(vm)
        cluster.wait_until_named(1)
        limits = {"concurrency_per_server": 64, "rate_per_s": 1e6}
        cluster.publish(vm, {"service": SERVICE, "owner": "bench", "limits": limits})
        arms = [
            Arm(name="direct", address=server),
            Arm(name="proxy", address=proxy),
            Arm(name="entry", address=vm.http_address),
        ]
        asyncio.run(_measure(arms))
        return _summarize(arms)


def main() -> None:
    """Run, print and keep the figures."""
    summary = run_overhead()
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text(json.dumps(summary, indent=1) + "\n")
    for name, value in summary.items():
        print(f"{name:28} {value}")
    print(f"target: rate {TARGET_RATE}/s, added at most {TARGET_RATIO} times the bare proxy's")


if __name__ == "__main__":
    main()
