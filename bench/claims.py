"""Benchmark of two methods of at-most-once execution.

With the first method, the ledger of the entry process that issued an idempotency key (its home)
decides whether a request is executed. With the second, the first claim of the key in the shared
log decides. The benchmark makes the claims itself, as an entry would: it appends a claim, then
reads the stream and sends the request if its claim is the first of the key.
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
from .cluster import send_json_request

LATENCY_ORDER_COUNT = 400
PLATFORM_RESPONSE_DELAY_S = 0.002
OUTAGE_ORDER_COUNT = 20
KILL_TEST_WORKER_COUNT = 16
KILL_AFTER_S = 1.0
KILL_TEST_DURATION_S = 2.0
CLAIM_STREAM = "claims"
SERVICE = "stock"
RESULT_PATH = pathlib.Path(__file__).parent.parent / "docs" / "bench" / "claims.json"

SendOrder = t.Callable[[str], t.Awaitable[str]]


class ClaimTable:
    """Claims of keys by one entry, decided by the order of the claims in the log."""

    def __init__(self, *, log: LogClient) -> None:
        self._log = log
        self._offset = 0
        self._read_lock = asyncio.Lock()
        self._first_offsets: dict[str, int] = {}

    async def claim(self, key: str) -> bool:
        """Append a claim; returns whether it is the first claim of the key.

        :raises LogUnavailableError: if the log is unavailable.
        """
        own_offset = await self._log.append(CLAIM_STREAM, key)
        async with self._read_lock:
            while self._offset <= own_offset:
                page = await self._log.read(CLAIM_STREAM, self._offset)
                for index, claimed_key in enumerate(page.records):
                    self._first_offsets.setdefault(claimed_key, self._offset + index)
                self._offset += len(page.records)
        return self._first_offsets[key] == own_offset


async def _send_order(session: aiohttp.ClientSession, vm: Vm, run_id: str, key: str) -> str:
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


def _make_ledger_sender(session: aiohttp.ClientSession, home: Vm, vm: Vm) -> SendOrder:
    entries = send_json_request(home.locator_address, "/v1/entries")["entries"]
    prefixes = {entry["address"]: entry["key_prefix"] for entry in entries}

    async def send(run_id: str) -> str:
        return await _send_order(session, vm, run_id, f"{prefixes[home.http_address]}.{run_id}")

    return send


def _make_claim_sender(session: aiohttp.ClientSession, claims: ClaimTable, vm: Vm) -> SendOrder:
    async def send(run_id: str) -> str:
        try:
            if not await claims.claim(run_id):
                return "unknown"
        except LogUnavailableError:
            return "not-run"
        return await _send_order(session, vm, run_id, "")

    return send


async def _measure_latency(send: SendOrder, name: str) -> dict[str, float]:
    histogram = HdrHistogram(1, 10_000_000, 3)
    for number in range(LATENCY_ORDER_COUNT):
        started_at = time.perf_counter()
        await send(f"{name}-{number}")
        histogram.record_value(int((time.perf_counter() - started_at) * 1e6))
    return {
        "p50_ms": histogram.get_value_at_percentile(50) / 1000,
        "p99_ms": histogram.get_value_at_percentile(99) / 1000,
    }


async def _measure_outage(cluster: Cluster, send: SendOrder, name: str) -> float:
    await asyncio.to_thread(cluster.set_faults, log_down=True)
    outcomes = [await send(f"{name}-out-{number}") for number in range(OUTAGE_ORDER_COUNT)]
    await asyncio.to_thread(cluster.set_faults, log_down=False)
    return outcomes.count("answered") / OUTAGE_ORDER_COUNT


async def _run_kill_test(
    cluster: Cluster,
    send_to_killed_entry: SendOrder,
    retry_at_other_entry: SendOrder,
    send_to_other_entry: SendOrder,
    vm: Vm,
    name: str,
) -> dict[str, int]:
    """Kill an entry under load and retry its unanswered orders at the other entry.

    :param send_to_killed_entry: sends a new order to the entry that is killed.
    :param retry_at_other_entry: sends an unanswered order again, to the other entry and under the
        same key.
    :param send_to_other_entry: sends a new order to the other entry.
    :param vm: VM whose entry is killed.
    :param name: prefix of the order ids.
    """
    ends_at = time.monotonic() + KILL_TEST_DURATION_S
    outcomes: list[str] = []
    is_entry_alive = True

    async def run_worker(worker: int) -> None:
        number = 0
        while time.monotonic() < ends_at:
            number += 1
            run_id = f"{name}-kill-{worker}-{number}"
            outcome = (
                await send_to_killed_entry(run_id)
                if is_entry_alive
                else await send_to_other_entry(run_id)
            )
            if outcome != "answered":
                outcome = await retry_at_other_entry(run_id)
            outcomes.append(outcome)

    async def kill_entry() -> None:
        nonlocal is_entry_alive
        await asyncio.sleep(KILL_AFTER_S)
        vm.programs["entry"].kill()
        await asyncio.sleep(0.05)
        is_entry_alive = False

    await asyncio.gather(
        kill_entry(), *(run_worker(worker) for worker in range(KILL_TEST_WORKER_COUNT))
    )
    return {"orders": len(outcomes), "unknown": outcomes.count("unknown")}


async def _run_comparison(cluster: Cluster) -> dict[str, t.Any]:
    home, other = cluster.vms.values()
    result: dict[str, t.Any] = {}
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        log = LogClient(session=session, base_url=f"http://{cluster.platform_address}")
        claims = ClaimTable(log=log)
        senders = {
            "no key": lambda run_id: _send_order(session, home, run_id, ""),
            "ledger, at the home": _make_ledger_sender(session, home, home),
            "ledger, one hop": _make_ledger_sender(session, home, other),
            "claim in the log": _make_claim_sender(session, claims, home),
        }
        for name, send in senders.items():
            result[name] = await _measure_latency(send, name.replace(" ", "-"))
        await asyncio.to_thread(cluster.set_faults, slow_s=PLATFORM_RESPONSE_DELAY_S)
        name = f"claim in the log, {PLATFORM_RESPONSE_DELAY_S * 1000:.0f} ms away"
        result[name] = await _measure_latency(senders["claim in the log"], "far")
        await asyncio.to_thread(cluster.set_faults, slow_s=0.0)
        for name in ("ledger, at the home", "claim in the log"):
            fraction = await _measure_outage(cluster, senders[name], name.replace(" ", "-"))
            result[name]["answered_in_outage"] = fraction
        other_claims = ClaimTable(log=log)
        result["claim in the log"]["kill"] = await _run_kill_test(
            cluster,
            _make_claim_sender(session, claims, home),
            _make_claim_sender(session, other_claims, other),
            _make_claim_sender(session, other_claims, other),
            home,
            "claim",
        )
        cluster.start_program(home, "entry")
        await asyncio.to_thread(cluster.wait_until_entries_listed, 2)
        await asyncio.sleep(1.0)
        send_to_home = _make_ledger_sender(session, home, home)
        result["ledger, at the home"]["kill"] = await _run_kill_test(
            cluster,
            send_to_home,
            _make_ledger_sender(session, home, other),
            _make_ledger_sender(session, other, other),
            home,
            "ledger",
        )
    return result


def main() -> None:
    """Run the benchmark, write the results to a file and print them."""
    with Cluster(name="claims") as cluster:
        names = [f"stock-{n}" for n in range(4)]
        cluster.start_servers(SERVICE, names, "--mean-s", "0.004")
        vms = [cluster.add_vm(index, 2) for index in range(2)]
        for vm in vms:
            cluster.start_vm(vm)
        cluster.wait_until_entries_listed(2)
        cluster.publish(vms[0], {"service": SERVICE, "owner": "bench"})
        result = asyncio.run(_run_comparison(cluster))
    RESULT_PATH.parent.mkdir(parents=True, exist_ok=True)
    RESULT_PATH.write_text(json.dumps(result, indent=1) + "\n")
    for name, figures in result.items():
        print(f"{name:32} {figures}")


if __name__ == "__main__":
    main()
