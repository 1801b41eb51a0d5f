"""Soak test: run the programs under load, inject random faults and check the guarantees.

The seed determines the faults. The output has the seed, the schedule of faults, and the attempts
of each request that violates a guarantee.
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

from .checks import MAX_PUBLICATION_TIME_S
from .checks import RunResult
from .checks import StateMonitor
from .checks import check_outcomes
from .checks import find_crash_log_lines
from .checks import find_probe_budget_violations
from .cluster import Cluster
from .cluster import Vm
from .faults import FAULTS
from .faults import FaultContext

CALLER_COUNT = 12
CALLER_PAUSE_S = 0.04
STATE_CHECK_INTERVAL_S = 0.5
SETTLING_TIME_S = 4.0
MAX_PROBES_PER_WINDOW = 12
PROBE_WINDOW_S = 6.0
LOOKUP_SERVICE = "fittings"
ORDER_SERVICE = "stock"
LOOKUP_PATHS = ("/sizes/7", "/sizes/8?size=200000", "/sizes/9?chunked=1", "/sizes/10?size=1500000")


class SoakTest:
    """One run of the soak test.

    :param seed: seed of the fault sequences.
    :param vm_count: number of entry VMs.
    :param max_concurrent_faults: number of fault sequences that run concurrently.
    """

    def __init__(
        self, *, cluster: Cluster, seed: int, vm_count: int, max_concurrent_faults: int = 2
    ) -> None:
        self.cluster = cluster
        self._rng = random.Random(seed)
        self._vm_count = vm_count
        self._max_concurrent_faults = max_concurrent_faults
        self._stop_at = 0.0
        self._created_entry_count = 0
        self._targets_in_use: set[int] = set()
        self.fault_schedule: list[str] = []
        self.state_monitor = StateMonitor()
        self.callers: list[Caller] = []
        self.publication_statuses: list[str] = []

    def set_up(self) -> None:
        """Start all processes and publish the catalogue entries of both services."""
        cluster = self.cluster
        cluster.start_servers(LOOKUP_SERVICE, [f"fit-{n}" for n in range(4)])
        cluster.start_servers(LOOKUP_SERVICE, [f"fit-{n}" for n in range(4, 8)])
        cluster.start_servers(ORDER_SERVICE, [f"stock-{n}" for n in range(3)])
        cluster.start_servers(ORDER_SERVICE, [f"stock-{n}" for n in range(3, 6)])
        vms = [cluster.add_vm(index, self._vm_count) for index in range(self._vm_count)]
        for vm in vms:
            cluster.start_vm(vm)
        cluster.wait_until_entries_listed(self._vm_count)
        for service in (LOOKUP_SERVICE, ORDER_SERVICE):
            report = cluster.publish(vms[0], self._make_entry(service))
            if report["status"] != "in-force":
                raise RuntimeError(f"setup failed, catalogue entry not in force: {report}")

    async def run(self, duration_s: float) -> None:
        """Send requests and inject faults, then measure how long one publication takes.

        The publication starts after all faults have ended.

        :param duration_s: duration of the load, in seconds.
        """
        self._stop_at = time.monotonic() + duration_s
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            for number in range(CALLER_COUNT):
                caller = Caller(
                    session=session,
                    get_locator_addresses=self._list_locator_addresses,
                    failure_domain=f"domain-{number % 3}",
                    seed=number,
                )
                self.callers.append(caller)
            load = [asyncio.create_task(self._run_caller(caller)) for caller in self.callers]
            monitor = asyncio.create_task(self._monitor_processes())
            await self._inject_faults()
            await asyncio.gather(*load)
            await asyncio.sleep(SETTLING_TIME_S)
            monitor.cancel()
        await asyncio.to_thread(self._check_publication_time)

    def check_results(self) -> RunResult:
        """Return the counts of the run and the violations."""
        tallies = [caller.tally for caller in self.callers]
        result = check_outcomes(tallies, self.cluster.count_executions())
        result.failures.extend(self.state_monitor.failures)
        journals = self.cluster.read_server_journals()
        result.failures.extend(
            find_probe_budget_violations(journals, MAX_PROBES_PER_WINDOW, PROBE_WINDOW_S)
        )
        result.failures.extend(find_crash_log_lines(self.cluster))
        return result

    def _make_entry(self, service: str) -> dict[str, t.Any]:
        self._created_entry_count += 1
        return {
            "service": service,
            "owner": f"operator-{self._created_entry_count}",
            "measuring": {
                "probes": MAX_PROBES_PER_WINDOW if service == LOOKUP_SERVICE else 0,
                "window_s": PROBE_WINDOW_S,
            },
        }

    def _list_locator_addresses(self) -> list[str]:
        return [vm.locator_address for vm in list(self.cluster.vms.values())]

    async def _run_caller(self, caller: Caller) -> None:
        rng = random.Random(caller.name)
        while time.monotonic() < self._stop_at:
            choice = rng.random()
            if choice < 0.55:
                await caller.send_lookup(LOOKUP_SERVICE, rng.choice(LOOKUP_PATHS))
            elif choice < 0.85:
                await caller.send_order(ORDER_SERVICE)
            else:
                await caller.send_order_twice(ORDER_SERVICE)
            await asyncio.sleep(CALLER_PAUSE_S)

    async def _inject_faults(self) -> None:
        rngs = [random.Random(self._rng.random()) for _ in range(self._max_concurrent_faults)]
        await asyncio.gather(
            *(self._inject_fault_sequence(number, rng) for number, rng in enumerate(rngs))
        )

    async def _inject_fault_sequence(self, number: int, rng: random.Random) -> None:
        context = FaultContext(
            cluster=self.cluster,
            rng=rng,
            publish=self._publish,
            targets_in_use=self._targets_in_use,
        )
        context.generation = number * 1000
        while time.monotonic() < self._stop_at - SETTLING_TIME_S:
            await asyncio.sleep(rng.uniform(0.3, 1.5))
            fault = rng.choice(FAULTS)
            began_at = time.monotonic()
            try:
                target = await asyncio.to_thread(fault, context)
            finally:
                context.release_targets()
            remaining_s = self._stop_at - began_at
            self.fault_schedule.append(
                f"{remaining_s:6.1f} s before the end: {fault.__name__} {target}"
            )

    def _publish(self, count: int) -> None:
        vm = self._find_running_vm()
        entries = [self._make_entry(LOOKUP_SERVICE) for _ in range(count)]
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            reports = list(pool.map(lambda entry: self.cluster.publish(vm, entry), entries))
        for report in reports:
            self.publication_statuses.append(report["status"])

    def _find_running_vm(self) -> Vm:
        """Return a VM whose agent is running, or the first VM if there is none."""
        for vm in self.cluster.vms.values():
            agent = vm.programs.get("agent")
            if agent is not None and agent.poll() is None:
                return vm
        return next(iter(self.cluster.vms.values()))

    async def _monitor_processes(self) -> None:
        context = zmq.asyncio.Context()
        peers = PeerClients(context=context)
        try:
            while True:
                await asyncio.sleep(STATE_CHECK_INTERVAL_S)
                addresses = set()
                for vm in list(self.cluster.vms.values()):
                    addresses |= {vm.agent_address, vm.entry_address}
                await asyncio.gather(
                    *(self._check_process(peers, address) for address in addresses)
                )
        finally:
            peers.close()
            context.destroy(linger=0)

    async def _check_process(self, peers: PeerClients, address: str) -> None:
        try:
            reply = await peers.get(address).request(DumpRequest(), 1.0)
        except PeerError:
            return
        self.state_monitor.check_dump(msgspec.json.decode(reply.document))

    def _check_publication_time(self) -> None:
        """Check that a change published after all faults is in force everywhere in time."""
        vm = self._find_running_vm()
        began_at = time.monotonic()
        report = self.cluster.publish(vm, self._make_entry(LOOKUP_SERVICE))
        duration_s = time.monotonic() - began_at
        if report["status"] != "in-force" or duration_s > MAX_PUBLICATION_TIME_S:
            self.state_monitor.failures.append(
                f"change published after all faults was not in force within the time limit, "
                f"publication took {duration_s:.1f} s: {report}"
            )


def run_soak_test(
    seed: int, duration_s: float, vm_count: int, max_concurrent_faults: int
) -> tuple[RunResult, SoakTest, str]:
    """Run the soak test; returns the result, the test, and the logs if a check failed.

    :param duration_s: duration of the load, in seconds.
    """
    with Cluster(name="soak", seed=seed, use_relays=True) as cluster:
        soak_test = SoakTest(
            cluster=cluster,
            seed=seed,
            vm_count=vm_count,
            max_concurrent_faults=max_concurrent_faults,
        )
        soak_test.set_up()
        asyncio.run(soak_test.run(duration_s))
        result = soak_test.check_results()
        logs = cluster.read_logs() if result.failures else ""
        return result, soak_test, logs


def main() -> None:
    """Run the soak test with the command line options; exits with 1 if a check failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=2.0)
    parser.add_argument("--vms", type=int, default=6)
    parser.add_argument("--faults", type=int, default=2, help="number of concurrent faults")
    parser.add_argument(
        "--logs", action="store_true", help="print the logs of the programs on failure"
    )
    options = parser.parse_args()
    result, soak_test, logs = run_soak_test(
        options.seed, options.minutes * 60, options.vms, options.faults
    )
    for line in soak_test.fault_schedule:
        print(line)
    if options.logs:
        print(logs)
    print(f"seed {options.seed}, published: {soak_test.publication_statuses}")
    print(msgspec.json.format(msgspec.json.encode(result)).decode())
    unknown_fraction = result.unknown / max(1, result.requests)
    print(f"unknown outcomes: {unknown_fraction:.4%} of requests")
    sys.exit(1 if result.failures else 0)


if __name__ == "__main__":
    main()
