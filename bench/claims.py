"""Two ways to run a key at most once, side by side: the home's ledger, and a claim in the log.

The claim is made by the caller's side here, as an entry would: append it, then read the stream to
see whether it is the first of its key.
"""

from __future__ import annotations

import asyncio
import json
import pathlib
import time
import typing as t

import aiohttp
from hdrh.histogram import HdrHistogram

from jasmineseam.exceptions import LogUnavailableError
from jasmineseam.standalone.log_client import LogClient

from .cluster import Cluster
from .cluster import Vm
from .cluster import call

ORDERS = 400
PLATFORM_DELAY_S = 0.002
OUTAGE_ORDERS = 20
KILL_WORKERS = 16
KILL_AFTER_S = 1.0
KILL_RUN_S = 2.0
STREAM = "claims"
SERVICE = "stock"
RESULT = pathlib.Path(__file__).parent.parent / "docs" / "bench" / "claims.json"

Send = t.Callable[[str], t.Awaitable[str]]


class Claims:
    """Claims in the log, as one entry would make them."""

    def __init__(self, *, log: LogClient) -> None:
        self._log = log
        self._offset = 0
        self._reading = asyncio.Lock()
        self._first: dict[str, int] = {}

    async def claim(self, key: str) -> bool:
        """Append a claim; returns whether it is the first of its key."""
        own = await self._log.append(STREAM, key)
        async with self._reading:
            while self._offset <= own:
                page = await self._log.read(STREAM, self._offset)
                for index, claimed in enumerate(page.records):
                    self._first.setdefault(claimed, self._offset + index)
                self._offset += len(page.records)
        return self._first[key] == own


async def _post(session: aiohttp.ClientSession, vm: Vm, run_id: str, key: str) -> str:
    headers = {"Host": SERVICE, "Request-Id": run_id}
    if key:
        headers["Idempotency-Key"] = key
    url = f"http://{vm.http_address}/orders"
    try:
        async with session.post(url, headers=headers, data=run_id) as response:
            await response.read()
    except (aiohttp.ClientError, OSError):
        return "unknown"
    return response.headers["Jasmineseam-Outcome"]


def _make_ledger_send(session: aiohttp.ClientSession, home: Vm, vm: Vm) -> Send:
    named = call(home.locator_address, "/v1/entries")["entries"]
    prefixes = {one["address"]: one["key_prefix"] for one in named}

    async def send(run_id: str) -> str:
        return await _post(session, vm, run_id, f"{prefixes[home.http_address]}.{run_id}")

    return send


def _make_claim_send(session: aiohttp.ClientSession, claims: Claims, vm: Vm) -> Send:
    async def send(run_id: str) -> str:
        try:
            if not await claims.claim(run_id):
                return "unknown"
        except LogUnavailableError:
            return "not-run"
        return await _post(session, vm, run_id, "")

    return send


async def _measure(send: Send, name: str) -> dict[str, float]:
    histogram = HdrHistogram(1, 10_000_000, 3)
    for number in range(ORDERS):
        began_at = time.perf_counter()
        await send(f"{name}-{number}")
        histogram.record_value(int((time.perf_counter() - began_at) * 1e6))
    return {
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
    }


async def _run_outage(cluster: Cluster, send: Send, name: str) -> float:
    await asyncio.to_thread(cluster.set_faults, log_down=True)
    outcomes = [await send(f"{name}-out-{number}") for number in range(OUTAGE_ORDERS)]
    await asyncio.to_thread(cluster.set_faults, log_down=False)
    return outcomes.count("answered") / OUTAGE_ORDERS


async def _run_kill(
    cluster: Cluster, first: Send, repeat: Send, other: Send, vm: Vm, name: str
) -> dict[str, int]:
    """Kill the entry in the middle; repeat what was lost, under its key, at the other entry.

    :param repeat: sends an order of the killed entry to the other one.
    :param other: sends new orders to the other entry.
    """
    until = time.monotonic() + KILL_RUN_S
    outcomes: list[str] = []
    alive = True

    async def work(worker: int) -> None:
        number = 0
        while time.monotonic() < until:
            number += 1
            run_id = f"{name}-kill-{worker}-{number}"
            outcome = await first(run_id) if alive else await other(run_id)
            if outcome != "answered":
                outcome = await repeat(run_id)
            outcomes.append(outcome)

    async def kill() -> None:
        nonlocal alive
        await asyncio.sleep(KILL_AFTER_S)
        vm.programs["entry"].kill()
        await asyncio.sleep(0.05)
        alive = False

    await asyncio.gather(kill(), *(work(worker) for worker in range(KILL_WORKERS)))
    return {"orders": len(outcomes), "unknown": outcomes.count("unknown")}


async def _compare(cluster: Cluster) -> dict[str, t.Any]:
    home, other = cluster.vms.values()
    result: dict[str, t.Any] = {}
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        log = LogClient(session=session, base_url=f"http://{cluster.platform}")
        claims = Claims(log=log)
        sends = {
            "no key": lambda run_id: _post(session, home, run_id, ""),
            "ledger, at the home": _make_ledger_send(session, home, home),
            "ledger, one hop": _make_ledger_send(session, home, other),
            "claim in the log": _make_claim_send(session, claims, home),
        }
        for name, send in sends.items():
            result[name] = await _measure(send, name.replace(" ", "-"))
        await asyncio.to_thread(cluster.set_faults, slow_s=PLATFORM_DELAY_S)
        name = f"claim in the log, {PLATFORM_DELAY_S * 1000:.0f} ms away"
        result[name] = await _measure(sends["claim in the log"], "far")
        await asyncio.to_thread(cluster.set_faults, slow_s=0.0)
        for name in ("ledger, at the home", "claim in the log"):
            share = await _run_outage(cluster, sends[name], name.replace(" ", "-"))
            result[name]["answered_in_outage"] = share
        claimed = Claims(log=log)
        result["claim in the log"]["kill"] = await _run_kill(
            cluster,
            _make_claim_send(session, claims, home),
            _make_claim_send(session, claimed, other),
            _make_claim_send(session, claimed, other),
            home,
            "claim",
        )
        cluster.start_program(home, "entry")
        await asyncio.to_thread(cluster.wait_until_named, 2)
        await asyncio.sleep(1.0)
        ledger = _make_ledger_send(session, home, home)
        result["ledger, at the home"]["kill"] = await _run_kill(
            cluster,
            ledger,
            _make_ledger_send(session, home, other),
            _make_ledger_send(session, other, other),
            home,
            "ledger",
        )
    return result


def main() -> None:
    """Run, print and keep the figures."""
    with Cluster(name="claims") as cluster:
        names = [f"stock-{n}" for n in range(4)]
        cluster.start_servers(SERVICE, names, "--mean-s", "0.004")
        vms = [cluster.add_vm(index, 2) for index in range(2)]
        for vm in vms:
            cluster.start_vm(vm)
        cluster.wait_until_named(2)
        cluster.publish(vms[0], {"service": SERVICE, "owner": "bench"})
        result = asyncio.run(_compare(cluster))
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text(json.dumps(result, indent=1) + "\n")
    for name, figures in result.items():
        print(f"{name:32} {figures}")


if __name__ == "__main__":
    main()
