"""Output on how long the event loop stood still, for a test that fails on a busy machine."""

import asyncio
import contextlib
import time

INTERVAL_S = 0.005


@contextlib.asynccontextmanager
async def print_longest_stall():
    """Print the longest stall of the event loop at the end; pytest shows it if the test fails."""
    longest_s = 0.0

    async def watch():
        nonlocal longest_s
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(INTERVAL_S)
            longest_s = max(longest_s, time.monotonic() - started_at - INTERVAL_S)

    task = asyncio.ensure_future(watch())
    try:
        yield
    finally:
        task.cancel()
        print(f"longest stall of the event loop: {longest_s:.3f} s")
