"""Routing benchmark: compares the product's server selection with baselines under the same load.

Entries and agents are the real programs. The servers are stand-ins that run in one process, so
that the oracle can read the state of all of them.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import time
import typing as t
import urllib.request

from hdrh.histogram import HdrHistogram

from .cluster import Cluster
from .cluster import send_json_request
from .cluster import wait_until
from .load import MAX_LATENCY_US

ENTRY_VM_COUNT = 6
LOAD_PROCESS_COUNT = 3
SLOTS_PER_SERVER = 4
SERVICE = "bench"
RESULTS_DIRECTORY = pathlib.Path(__file__).parent.parent / "docs" / "bench"
HIGH_LIMITS = {"concurrency_per_server": 64, "queue": 10_000, "deadline_ms": 10_000}
BASELINE_LIMITS = {**HIGH_LIMITS, "hedge": False, "extra_attempt_share": 0.0}
PRODUCT_LIMITS = {"concurrency_per_server": SLOTS_PER_SERVER, "queue": 64, "deadline_ms": 5_000}


class Arm(t.NamedTuple):
    """One configuration under test.

    :param name: name in the results.
    :param selector_name: name of a baseline, or ``ours`` with options; see ``bench.entry``.
    :param limits: limits in the catalogue entry.
    :param method: HTTP method of the requests.
    """

    name: str
    selector_name: str
    limits: dict[str, t.Any]
    method: str = "GET"


class Workload(t.NamedTuple):
    """A workload of a client account.

    :param name: name in the results.
    :param server_count: number of servers.
    :param mean_service_time_s: mean service time, in seconds. It is longer than in production for
        workloads whose production request rate exceeds the capacity of the test machine.
    :param probes_per_window: number of probes allowed in any window of 10 s.
    :param noise_period_s: mean time between slowdowns of a server by a noisy neighbour, in
        seconds; 0 for none.
    """

    name: str
    server_count: int
    mean_service_time_s: float
    probes_per_window: int = 0
    noise_period_s: float = 5.0


BASELINE_ARMS = [
    Arm("random", "random", BASELINE_LIMITS),
    Arm("round robin", "round-robin", BASELINE_LIMITS),
    Arm("two choices", "two-choices", BASELINE_LIMITS),
    Arm("fewest in flight", "fewest", BASELINE_LIMITS),
    Arm("oracle", "oracle", BASELINE_LIMITS),
]
PRODUCT_ARMS = [
    Arm("ours, idempotent", "ours", PRODUCT_LIMITS),
    Arm("ours, non-idempotent", "ours", PRODUCT_LIMITS, "POST"),
]
WORKLOADS = {
    "fitting": Workload("Kalipso fitting app", 30, 0.06),
    "pattern": Workload("Kalipso catalogue service", 8, 0.02),
    "batch": Workload("Majlis batch log", 30, 0.06),
    "export": Workload("Majlis permit export", 6, 0.02),
}


class RoutingBenchmark:
    """Servers and entry VMs for one workload, shared by all arms."""

    def __init__(self, *, cluster: Cluster, workload: Workload) -> None:
        self.cluster = cluster
        self.workload = workload
        self._published_entry: dict[str, t.Any] = {}

    def start_servers_and_agents(self) -> None:
        """Start the servers, and an agent on each VM."""
        names = [f"server-{n}" for n in range(self.workload.server_count)]
        options = ["--mean-s", str(self.workload.mean_service_time_s)]
        options += ["--noise-period-s", str(self.workload.noise_period_s)]
        self.cluster.start_servers(SERVICE, names, *options)
        for index in range(ENTRY_VM_COUNT):
            vm = self.cluster.add_vm(index, ENTRY_VM_COUNT)
            self.cluster.start_program(vm, "agent")

    def run_arm(
        self, arm: Arm, load_fraction: float, seconds: float, seed: int
    ) -> dict[str, t.Any]:
        """Run one arm and return its row of the results.

        :param load_fraction: request rate as a fraction of the capacity of the servers.
        :param seconds: duration of the measurement.
        """
        vms = list(self.cluster.vms.values())
        entry = {
            "service": SERVICE,
            "owner": "bench",
            "limits": arm.limits,
            "measuring": {"probes": self.workload.probes_per_window},
        }
        if entry != self._published_entry:
            self.cluster.publish(vms[0], entry)
            self._published_entry = entry
        os.environ["BENCH_ORACLE"] = self.cluster.server_processes[0].oracle_address
        command = [sys.executable, "-m", "bench.entry", arm.selector_name]
        for vm in vms:
            self.cluster.start_program(vm, "entry", command)
        wait_until(lambda: all(self._is_ready(vm) for vm in vms), "entry processes ready")
        send_json_request(self.cluster.server_processes[0].admin_address, "/noise", seed)
        request_rate_per_s = (
            load_fraction
            * self.workload.server_count
            * SLOTS_PER_SERVER
            / self.workload.mean_service_time_s
        )
        results = self._run_load(
            [vm.http_address for vm in vms], arm, request_rate_per_s, seconds, seed
        )
        first_attempts, extra_attempts = self._count_attempts()
        for vm in vms:
            vm.programs["entry"].kill()
            vm.programs["entry"].wait()
        return self._summarize(
            arm,
            load_fraction,
            request_rate_per_s,
            seconds,
            results,
            first_attempts,
            extra_attempts,
        )

    def _is_ready(self, vm) -> bool:
        # requests fail until the entry process has received the service's catalogue entry
        url = f"http://{vm.http_address}/"
        request = urllib.request.Request(url, headers={"Host": SERVICE})
        try:
            with urllib.request.urlopen(request, timeout=1):
                return True
        except OSError:
            return False

    def _run_load(
        self, entries: list[str], arm: Arm, request_rate_per_s: float, seconds: float, seed: int
    ) -> list:
        processes = []
        for number in range(LOAD_PROCESS_COUNT):
            arguments = [
                "--rate",
                str(request_rate_per_s / LOAD_PROCESS_COUNT),
                "--seconds",
                str(seconds),
            ]
            arguments += ["--service", SERVICE, "--method", arm.method]
            arguments += ["--seed", str(seed * 100 + number), "--entries", *entries]
            command = [sys.executable, "-m", "bench.load", *arguments]
            processes.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))
        return [json.loads(process.communicate(timeout=120)[0]) for process in processes]

    def _count_attempts(self) -> tuple[int, int]:
        first_attempts = extra_attempts = 0
        vms = list(self.cluster.vms.values())
        with concurrent.futures.ThreadPoolExecutor(len(vms)) as threads:
            dumps = list(threads.map(lambda vm: self.cluster.dump(vm, vm.entry_address), vms))
        for dump in dumps:
            pool = dump["pools"][SERVICE]
            first_attempts += pool["first_attempts"]
            extra_attempts += pool["extra_attempts"]
        return first_attempts, extra_attempts

    def _summarize(
        self,
        arm: Arm,
        load_fraction: float,
        request_rate_per_s: float,
        seconds: float,
        results: list[dict[str, t.Any]],
        first_attempts: int,
        extra_attempts: int,
    ) -> dict[str, t.Any]:
        answered = _merge_histograms([result["answered"] for result in results])
        refused = _merge_histograms([result["refused"] for result in results])
        capacity = (
            self.workload.server_count * SLOTS_PER_SERVER / self.workload.mean_service_time_s
        )
        count = answered.get_total_count()
        return {
            "shape": self.workload.name,
            "servers": self.workload.server_count,
            "arm": arm.name,
            "load": load_fraction,
            "rate_per_s": round(request_rate_per_s),
            "answered": count,
            "goodput_share": round(count / seconds / capacity, 3),
            "p50_ms": answered.get_value_at_percentile(50) / 1000,
            "p90_ms": answered.get_value_at_percentile(90) / 1000,
            "p99_ms": answered.get_value_at_percentile(99) / 1000,
            "p999_ms": answered.get_value_at_percentile(99.9) / 1000,
            "refused": refused.get_total_count(),
            "refused_p50_ms": refused.get_value_at_percentile(50) / 1000,
            "refused_p99_ms": refused.get_value_at_percentile(99) / 1000,
            "refused_without_retry_after": sum(
                result["refused_without_retry_after"] for result in results
            ),
            "failed": sum(result["failed"] for result in results),
            "extra_share": round(extra_attempts / max(1, first_attempts), 3),
        }


def _merge_histograms(encoded: list[str]) -> HdrHistogram:
    merged = HdrHistogram(1, MAX_LATENCY_US, 3)
    for text in encoded:
        merged.add(HdrHistogram.decode(text))
    return merged


def run_workload(
    workload: Workload, arms: list[Arm], loads: list[float], seconds: float, seed: int
) -> list[dict[str, t.Any]]:
    """Run all arms of a workload at all loads.

    :param loads: request rates as fractions of the capacity of the servers.
    :param seconds: duration of each measurement.
    """
    rows = []
    with Cluster(name="routing") as cluster:
        benchmark = RoutingBenchmark(cluster=cluster, workload=workload)
        benchmark.start_servers_and_agents()
        time.sleep(1.0)
        for load_fraction in loads:
            for arm in arms:
                row = benchmark.run_arm(arm, load_fraction, seconds, seed)
                rows.append(row)
                print(_format_row(row), flush=True)
    return rows


def _format_row(row: dict[str, t.Any]) -> str:
    return (
        f"{row['servers']:3} servers {row['load']:.0%} {row['arm']:28}"
        f" p50 {row['p50_ms']:7.1f} p99 {row['p99_ms']:7.1f} p99.9 {row['p999_ms']:7.1f} ms"
        f" goodput {row['goodput_share']:.2f} extra {row['extra_share']:.3f}"
        f" refused {row['refused']} (p99 {row['refused_p99_ms']:.1f} ms) failed {row['failed']}"
    )


def main() -> None:
    """Run the benchmark from the command line and save the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shapes", nargs="+", default=list(WORKLOADS))
    parser.add_argument("--loads", nargs="+", type=float, default=[0.5, 0.7, 0.85, 0.95, 1.3])
    parser.add_argument(
        "--arms",
        nargs="*",
        default=[],
        help="METHOD/ours:option=value,...; with free in it, up to 64 requests per server",
    )
    parser.add_argument("--baselines", nargs="*", default=[arm.name for arm in BASELINE_ARMS])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calm", action="store_true", help="run without noisy neighbours")
    parser.add_argument(
        "--save", default="routing", help="name of the results file, without .json"
    )
    options = parser.parse_args()
    arms = [arm for arm in BASELINE_ARMS if arm.name in options.baselines]
    for text in options.arms:
        method, _, selector_name = text.partition("/")
        # "free" anywhere in the name raises the concurrency limit from 4 slots to 64 requests
        limits = (
            {**PRODUCT_LIMITS, "concurrency_per_server": 64}
            if "free" in selector_name
            else PRODUCT_LIMITS
        )
        arms.append(Arm(text, selector_name.replace("free", ""), limits, method))
    if not options.arms:
        arms += PRODUCT_ARMS
    rows = []
    for name in options.shapes:
        workload = WORKLOADS[name]
        if options.calm:
            workload = workload._replace(noise_period_s=0.0)
        rows += run_workload(workload, arms, options.loads, options.seconds, options.seed)
    RESULTS_DIRECTORY.mkdir(parents=True, exist_ok=True)
    (RESULTS_DIRECTORY / f"{options.save}.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
