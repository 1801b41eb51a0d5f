"""Measures the latency that an entry adds to a request, compared with a minimal aiohttp proxy.

Direct requests and requests through the proxy and the entry alternate in short rounds, so that
varying load of the machine affects all three equally.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import time

import aiohttp
from hdrh.histogram import HdrHistogram

from .cluster import Cluster

ROUND_COUNT = 12
LATENCY_REQUESTS_PER_ROUND = 250
CONCURRENCY = 32
RATE_MEASUREMENT_DURATION_S = 1.0
TARGET_REQUESTS_PER_S = 2500
TARGET_ADDED_LATENCY_RATIO = 1.5
SERVICE = "plain"
RESULT_PATH = pathlib.Path(__file__).parent.parent / "docs" / "bench" / "overhead.json"


class RequestPath:
    """One path to the server and its measurements."""

    def __init__(self, *, name: str, address: str) -> None:
        self.name = name
        self.address = address
        self.histogram = HdrHistogram(1, 10_000_000, 3)
        self.request_rates_per_s: list[float] = []


async def _send_request(session: aiohttp.ClientSession, path: RequestPath) -> None:
    async with session.get(f"http://{path.address}/small", headers={"Host": SERVICE}) as response:
        await response.read()
        if response.status != 200:
            raise RuntimeError(f"{path.name}: response status {response.status}, expected 200")


async def _measure_latency(session: aiohttp.ClientSession, path: RequestPath) -> None:
    for _ in range(LATENCY_REQUESTS_PER_ROUND):
        started_at = time.perf_counter()
        await _send_request(session, path)
        path.histogram.record_value(int((time.perf_counter() - started_at) * 1e6))


async def _measure_rate(session: aiohttp.ClientSession, path: RequestPath) -> None:
    ends_at = time.perf_counter() + RATE_MEASUREMENT_DURATION_S
    count = 0

    async def send_repeatedly() -> None:
        nonlocal count
        while time.perf_counter() < ends_at:
            await _send_request(session, path)
            count += 1

    await asyncio.gather(*(send_repeatedly() for _ in range(CONCURRENCY)))
    path.request_rates_per_s.append(count / RATE_MEASUREMENT_DURATION_S)


async def _measure_paths(paths: list[RequestPath]) -> None:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        for path in paths:
            for _ in range(LATENCY_REQUESTS_PER_ROUND):
                await _send_request(session, path)
        for _ in range(ROUND_COUNT):
            for path in paths:
                await _measure_latency(session, path)
            for path in paths[1:]:
                await _measure_rate(session, path)


def _summarize(paths: list[RequestPath]) -> dict[str, float]:
    _, proxy, entry = paths
    summary: dict[str, float] = {}
    for path in paths:
        for percentile in (50, 99):
            value = path.histogram.get_value_at_percentile(percentile)
            summary[f"{path.name}_p{percentile}_us"] = value
    for percentile in (50, 99):
        base = summary[f"direct_p{percentile}_us"]
        for path in (proxy, entry):
            added = summary[f"{path.name}_p{percentile}_us"] - base
            summary[f"{path.name}_added_p{percentile}_us"] = added
        ratio = summary[f"entry_added_p{percentile}_us"] / summary[f"proxy_added_p{percentile}_us"]
        summary[f"added_ratio_p{percentile}"] = round(ratio, 3)
    for path in (proxy, entry):
        summary[f"{path.name}_rate_per_s"] = round(
            sorted(path.request_rates_per_s)[len(path.request_rates_per_s) // 2]
        )
    return summary


def measure_overhead() -> dict[str, float]:
    """Measure all paths and return a summary.

    The latency is measured on all paths, the throughput only through the proxy and the entry.
    """
    with Cluster(name="overhead") as cluster:
        host = cluster.platform_address.partition(":")[0]
        server = cluster.start_plain_server(SERVICE)
        proxy = cluster.start_standin("plain", host, "--target", server)["address"]
        vm = cluster.add_vm(0, 1)
        cluster.start_vm(vm)
        cluster.wait_until_entries_listed(1)
        limits = {"concurrency_per_server": 64, "rate_per_s": 1e6}
        cluster.publish(vm, {"service": SERVICE, "owner": "bench", "limits": limits})
        paths = [
            RequestPath(name="direct", address=server),
            RequestPath(name="proxy", address=proxy),
            RequestPath(name="entry", address=vm.http_address),
        ]
        asyncio.run(_measure_paths(paths))
        return _summarize(paths)


def main() -> None:
    """Measure the overhead, save the summary and print it."""
    summary = measure_overhead()
    RESULT_PATH.parent.mkdir(parents=True, exist_ok=True)
    RESULT_PATH.write_text(json.dumps(summary, indent=1) + "\n")
    for name, value in summary.items():
        print(f"{name:28} {value}")
    print(
        f"target: at least {TARGET_REQUESTS_PER_S} requests/s, added latency at most"
        f" {TARGET_ADDED_LATENCY_RATIO} times that of the proxy"
    )


if __name__ == "__main__":
    main()
