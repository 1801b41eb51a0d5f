"""An open-loop load: requests leave on a seeded schedule, whatever became of the earlier ones.

Latency counts from the scheduled time. Prints one line of JSON with the figures.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import time

import aiohttp
from hdrh.histogram import HdrHistogram

SLOWEST_US = 60_000_000
TIMEOUT_S = 10.0


class Figures:
    """What one load process has measured."""

    def __init__(self) -> None:
        self.answered = HdrHistogram(1, SLOWEST_US, 3)
        self.refused = HdrHistogram(1, SLOWEST_US, 3)
        self.unnamed_retry = 0
        self.failed = 0

    def encode(self) -> str:
        """Return all as JSON."""
        return json.dumps(
            {
                "answered": self.answered.encode().decode(),
                "refused": self.refused.encode().decode(),
                "refused_without_retry_after": self.unnamed_retry,
                "failed": self.failed,
            }
        )


async def _send(
    session: aiohttp.ClientSession,
    options: argparse.Namespace,
    address: str,
    due_at: float,
    figures: Figures | None,
) -> None:
    try:
        async with session.request(
            options.method,
            f"http://{address}/work",
            headers={"Host": options.service},
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        ) as response:
            await response.read()
    except (aiohttp.ClientError, TimeoutError, OSError):
        if figures is not None:
            figures.failed += 1
        return
    if figures is None:
        return
    took_us = max(1, int((time.perf_counter() - due_at) * 1e6))
    if response.status == 200:
        figures.answered.record_value(min(took_us, SLOWEST_US))
    elif response.headers.get("Jasmineseam-Outcome") == "not-run":
        figures.refused.record_value(min(took_us, SLOWEST_US))
        figures.unnamed_retry += "Retry-After" not in response.headers
    else:
        figures.failed += 1


async def _run(options: argparse.Namespace) -> Figures:
    chooser = random.Random(options.seed)
    figures = Figures()
    tasks: set[asyncio.Task] = set()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        began_at = time.perf_counter()
        due_at = began_at
        while due_at < began_at + options.warm_s + options.seconds:
            due_at += chooser.expovariate(options.rate)
            delay_s = due_at - time.perf_counter()
            if delay_s > 0.0005:
                await asyncio.sleep(delay_s)
            counted = figures if due_at > began_at + options.warm_s else None
            address = chooser.choice(options.entries)
            task = asyncio.create_task(_send(session, options, address, due_at, counted))
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        if tasks:
            await asyncio.wait(tasks, timeout=TIMEOUT_S)
    return figures


def main() -> None:
    """Run the load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", nargs="+", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--method", default="GET")
    parser.add_argument("--rate", type=float, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--warm-s", type=float, default=2.0)
    parser.add_argument("--seed", type=int, default=1)
    print(asyncio.run(_run(parser.parse_args())).encode(), flush=True)


if __name__ == "__main__":
    main()
