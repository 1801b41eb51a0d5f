"""A long randomised run: real programs under load, faults drawn from a seed, promises checked.

A failure prints the seed, the schedule of faults, and the trace of each offending request.
"""

from __future__ import annotations

import argparse
import asyncio
import concurrent.futures
import random
import sys
import time
import typing as t

import aiohttp
import msgspec
import zmq.asyncio

from jasmineseam.exceptions import PeerError
from jasmineseam.peers.messages import DumpRequest
from jasmineseam.peers.rpc import PeerClients
from standins.callers import Caller

from .cluster import Cluster
from .cluster import Vm
from .faults import FAULTS
from .faults import FaultContext
from .judge import IN_FORCE_S
from .judge import Verdict
from .judge import Watcher
from .judge import find_budget_breaches
from .judge import find_crashes
from .judge import judge_orders

CALLERS = 12
PAUSE_S = 0.04
WATCH_S = 0.5
SETTLE_S = 4.0
PROBES = 12
WINDOW_S = 6.0
LOOKUPS = "fittings"
ORDERS = "stock"
PATHS = ("/sizes/7", "/sizes/8?size=200000", "/sizes/9?chunked=1", "/sizes/10?size=1500000")


class Soak:
    """One run.

    :param faults: how many faults at once, at the most.
    """

    def __init__(self, *, cluster: Cluster, seed: int, vms: int, faults: int = 2) -> None:
        self.cluster = cluster
        self._random = random.Random(seed)
        self._vms = vms
        self._parallel = faults
        self._stop_at = 0.0
        self._revision = 0
        self._busy: set[int] = set()
        self.schedule: list[str] = []
        self.watcher = Watcher()
        self.callers: list[Caller] = []
        self.published: list[str] = []

    def set_up(self) -> None:
        """Start everything and publish both entries."""
        cluster = self.cluster
        cluster.start_servers(LOOKUPS, [f"fit-{n}" for n in range(4)])
        cluster.start_servers(LOOKUPS, [f"fit-{n}" for n in range(4, 8)])
        cluster.start_servers(ORDERS, [f"stock-{n}" for n in range(3)])
        cluster.start_servers(ORDERS, [f"stock-{n}" for n in range(3, 6)])
        vms = [cluster.add_vm(index, self._vms) for index in range(self._vms)]
        for vm in vms:
            cluster.start_vm(vm)
        cluster.wait_until_named(self._vms)
        for service in (LOOKUPS, ORDERS):
            report = cluster.publish(vms[0], self._make_entry(service))
            if report["status"] != "in-force":
                raise RuntimeError(f"first publication failed: {report}")

    async def run(self, seconds: float) -> None:
        """Send load and inflict faults for a while, then let all settle."""
        self._stop_at = time.monotonic() + seconds
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            for number in range(CALLERS):
                caller = Caller(
                    session=session,
                    locators=self._list_locators,
                    failure_domain=f"domain-{number % 3}",
                    seed=number,
                )
                self.callers.append(caller)
            load = [asyncio.create_task(self._call(caller)) for caller in self.callers]
            watch = asyncio.create_task(self._watch())
            await self._inflict_all()
            await asyncio.gather(*load)
            await asyncio.sleep(SETTLE_S)
            watch.cancel()
        await asyncio.to_thread(self._check_in_force)

    def judge(self) -> Verdict:
        """Return the run's figures and failures."""
        tallies = [caller.tally for caller in self.callers]
        verdict = judge_orders(tallies, self.cluster.count_runs())
        verdict.failures.extend(self.watcher.failures)
        journals = self.cluster.read_journals()
        verdict.failures.extend(find_budget_breaches(journals, PROBES, WINDOW_S))
        verdict.failures.extend(find_crashes(self.cluster))
        return verdict

    def _make_entry(self, service: str) -> dict[str, t.Any]:
        self._revision += 1
        return {
            "service": service,
            "owner": f"operator-{self._revision}",
            "measuring": {"probes": PROBES if service == LOOKUPS else 0, "window_s": WINDOW_S},
        }

    def _list_locators(self) -> list[str]:
        return [vm.locator_address for vm in list(self.cluster.vms.values())]

    async def _call(self, caller: Caller) -> None:
        chooser = random.Random(caller.name)
        while time.monotonic() < self._stop_at:
            kind = chooser.random()
            if kind < 0.55:
                await caller.send_lookup(LOOKUPS, chooser.choice(PATHS))
            elif kind < 0.85:
                await caller.send_order(ORDERS)
            else:
                await caller.send_order_twice(ORDERS)
            await asyncio.sleep(PAUSE_S)

    async def _inflict_all(self) -> None:
        lanes = [random.Random(self._random.random()) for _ in range(self._parallel)]
        await asyncio.gather(*(self._inflict(lane, chooser) for lane, chooser in enumerate(lanes)))

    async def _inflict(self, lane: int, chooser: random.Random) -> None:
        context = FaultContext(
            cluster=self.cluster, chooser=chooser, publish=self._publish, busy=self._busy
        )
        context.generation = lane * 1000
        while time.monotonic() < self._stop_at - SETTLE_S:
            await asyncio.sleep(chooser.uniform(0.3, 1.5))
            fault = chooser.choice(FAULTS)
            began_at = time.monotonic()
            try:
                detail = await asyncio.to_thread(fault, context)
            finally:
                context.release()
            left_s = self._stop_at - began_at
            self.schedule.append(f"{left_s:6.1f} s before the end: {fault.__name__} {detail}")

    def _publish(self, count: int) -> None:
        vm = self._pick_running_vm()
        entries = [self._make_entry(LOOKUPS) for _ in range(count)]
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            reports = list(pool.map(lambda entry: self.cluster.publish(vm, entry), entries))
        for report in reports:
            self.published.append(report["status"])

    def _pick_running_vm(self) -> Vm:
        for vm in self.cluster.vms.values():
            agent = vm.programs.get("agent")
            if agent is not None and agent.poll() is None:
                return vm
        return next(iter(self.cluster.vms.values()))

    async def _watch(self) -> None:
        context = zmq.asyncio.Context()
        links = PeerClients(context=context)
        try:
            while True:
                await asyncio.sleep(WATCH_S)
                addresses = set()
                for vm in list(self.cluster.vms.values()):
                    addresses |= {vm.agent_address, vm.entry_address}
                await asyncio.gather(*(self._look(links, one) for one in addresses))
        finally:
            links.close()
            context.destroy(linger=0)

    async def _look(self, links: PeerClients, address: str) -> None:
        try:
            reply = await links.get(address).request(DumpRequest(), 1.0)
        except PeerError:
            return
        self.watcher.note_dump(msgspec.json.decode(reply.document))

    def _check_in_force(self) -> None:
        """After all faults, one more change must be in force everywhere in time."""
        vm = self._pick_running_vm()
        began_at = time.monotonic()
        report = self.cluster.publish(vm, self._make_entry(LOOKUPS))
        took_s = time.monotonic() - began_at
        if report["status"] != "in-force" or took_s > IN_FORCE_S:
            self.watcher.failures.append(
                f"last change not in force after {took_s:.1f} s: {report}"
            )


def run_soak(seed: int, seconds: float, vms: int, faults: int) -> tuple[Verdict, Soak, str]:
    """Run once; returns the verdict, the run, and the programs' logs if it failed."""
    with Cluster(name="soak", seed=seed, relayed=True) as cluster:
        soak = Soak(cluster=cluster, seed=seed, vms=vms, faults=faults)
        soak.set_up()
        asyncio.run(soak.run(seconds))
        verdict = soak.judge()
        logs = cluster.read_logs() if verdict.failures else ""
        return verdict, soak, logs


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=2.0)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--faults", type=int, default=2, help="faults at once")
    parser.add_argument("--logs", action="store_true", help="print the programs' logs on failure")
    options = parser.parse_args()
    verdict, soak, logs = run_soak(options.seed, options.minutes * 60, options.vms, options.faults)
    for line in soak.schedule:
        print(line)
    if options.logs:
        print(logs)
    print(f"seed {options.seed}, published: {soak.published}")
    print(msgspec.json.format(msgspec.json.encode(verdict)).decode())
    share = verdict.unknown / max(1, verdict.requests)
    print(f"unknown outcomes: {share:.4%} of requests")
    sys.exit(1 if verdict.failures else 0)


if __name__ == "__main__":
    main()
