"""Open-loop load generator: sends requests on a seeded schedule, without waiting for responses.

Latency is measured from the scheduled time of a request. The results are printed as one line of
JSON.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import time

import aiohttp
from hdrh.histogram import HdrHistogram

MAX_LATENCY_US = 60_000_000
REQUEST_TIMEOUT_S = 10.0


class LoadResults:
    """Results of one load generator process; the histograms hold latencies in microseconds."""

    def __init__(self) -> None:
        self.answered_latencies_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.rejected_latencies_us = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.rejections_without_retry_after = 0
        self.failed_requests = 0

    def encode_json(self) -> str:
        """Return the results as JSON."""
        return json.dumps(
            {
                "answered": self.answered_latencies_us.encode().decode(),
                "refused": self.rejected_latencies_us.encode().decode(),
                "refused_without_retry_after": self.rejections_without_retry_after,
                "failed": self.failed_requests,
            }
        )


async def _send_request(
    session: aiohttp.ClientSession,
    options: argparse.Namespace,
    address: str,
    scheduled_at: float,
    results: LoadResults | None,
) -> None:
    try:
        async with session.request(
            options.method,
            f"http://{address}/work",
            headers={"Host": options.service},
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
        ) as response:
            await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        if results is not None:
            results.failed_requests += 1
        return
    if results is None:
        return
    latency_us = max(1, int((time.perf_counter() - scheduled_at) * 1e6))
    if response.status == 200:
        results.answered_latencies_us.record_value(min(latency_us, MAX_LATENCY_US))
    elif response.headers.get("Jasmineseam-Outcome") == "not-run":
        results.rejected_latencies_us.record_value(min(latency_us, MAX_LATENCY_US))
        results.rejections_without_retry_after += "Retry-After" not in response.headers
    else:
        results.failed_requests += 1


async def _run_load(options: argparse.Namespace) -> LoadResults:
    rng = random.Random(options.seed)
    results = LoadResults()
    tasks: set[asyncio.Task] = set()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        started_at = time.perf_counter()
        scheduled_at = started_at
        while scheduled_at < started_at + options.warm_s + options.seconds:
            scheduled_at += rng.expovariate(options.rate)
            delay_s = scheduled_at - time.perf_counter()
            if delay_s > 0.0005:
                await asyncio.sleep(delay_s)
            recorded_results = results if scheduled_at > started_at + options.warm_s else None
            address = rng.choice(options.entries)
            task = asyncio.create_task(
                _send_request(session, options, address, scheduled_at, recorded_results)
            )
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=REQUEST_TIMEOUT_S)
    return results


def main() -> None:
    """Run the load generator from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", nargs="+", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--method", default="GET")
    parser.add_argument("--rate", type=float, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--warm-s", type=float, default=2.0)
    parser.add_argument("--seed", type=int, default=1)
    print(asyncio.run(_run_load(parser.parse_args())).encode_json(), flush=True)


if __name__ == "__main__":
    main()
