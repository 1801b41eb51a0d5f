"""The load bench: the product's decisions beside baselines, under the same load, in one run.

Real entries and agents; the servers are stand-ins in one process, so that the oracle can see them.
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
from .cluster import call
from .cluster import wait_until
from .load import SLOWEST_US

ENTRIES = 6
LOADERS = 3
SLOTS = 4
SERVICE = "bench"
RESULTS = pathlib.Path(__file__).parent.parent / "docs" / "bench"
UNLIMITED = {"concurrency_per_server": 64, "queue": 10_000, "deadline_ms": 10_000}
UNBOUND = {**UNLIMITED, "hedge": False, "extra_attempt_share": 0.0}
BOUND = {"concurrency_per_server": SLOTS, "queue": 64, "deadline_ms": 5_000}


class Arm(t.NamedTuple):
    """One policy under test.

    :param choice: a baseline's name, or ``ours`` with options.
    :param limits: of the catalogue entry.
    :param method: of the requests.
    """

    name: str
    choice: str
    limits: dict[str, t.Any]
    method: str = "GET"


class Shape(t.NamedTuple):
    """A workload of the users.

    :param mean_s: mean service time; larger than in life where the machine could not carry it.
    :param probes: probes allowed in any window of 10 s.
    """

    name: str
    servers: int
    mean_s: float
    probes: int = 0
    noise_period_s: float = 5.0


BASE_ARMS = [
    Arm("random", "random", UNBOUND),
    Arm("round robin", "round-robin", UNBOUND),
    Arm("two choices", "two-choices", UNBOUND),
    Arm("fewest in flight", "fewest", UNBOUND),
    Arm("oracle", "oracle", UNBOUND),
]
OUR_ARMS = [
    Arm("ours, idempotent", "ours", BOUND),
    Arm("ours, non-idempotent", "ours", BOUND, "POST"),
]
SHAPES = {
    "fitting": Shape("Kalipso fitting app", 30, 0.06),
    "pattern": Shape("Kalipso catalogue service", 8, 0.02),
    "batch": Shape("Majlis batch log", 30, 0.06),
    "export": Shape("Majlis permit export", 6, 0.02),
}


class Bench:
    """One shape's servers and entry VMs, reused by all arms."""

    def __init__(self, *, cluster: Cluster, shape: Shape) -> None:
        self.cluster = cluster
        self.shape = shape
        self._published: dict[str, t.Any] = {}

    def set_up(self) -> None:
        """Start servers, agents and locators."""
        names = [f"server-{n}" for n in range(self.shape.servers)]
        options = ["--mean-s", str(self.shape.mean_s)]
        options += ["--noise-period-s", str(self.shape.noise_period_s)]
        self.cluster.start_servers(SERVICE, names, *options)
        for index in range(ENTRIES):
            vm = self.cluster.add_vm(index, ENTRIES)
            self.cluster.start_program(vm, "agent")

    def run_arm(self, arm: Arm, load: float, seconds: float, seed: int) -> dict[str, t.Any]:
        """Run one arm at a share of the servers' capacity."""
        vms = list(self.cluster.vms.values())
        entry = {
            "service": SERVICE,
            "owner": "bench",
            "limits": arm.limits,
            "measuring": {"probes": self.shape.probes},
        }
        if entry != self._published:
            self.cluster.publish(vms[0], entry)
            self._published = entry
        os.environ["BENCH_ORACLE"] = self.cluster.servers[0].oracle
        command = [sys.executable, "-m", "bench.entry", arm.choice]
        for vm in vms:
            self.cluster.start_program(vm, "entry", command)
        wait_until(lambda: all(self._is_ready(vm) for vm in vms), "entries ready")
        call(self.cluster.servers[0].admin, "/noise", seed)
        rate = load * self.shape.servers * SLOTS / self.shape.mean_s
        figures = self._load([vm.http_address for vm in vms], arm, rate, seconds, seed)
        first, extra = self._count_attempts()
        for vm in vms:
            vm.programs["entry"].kill()
            vm.programs["entry"].wait()
        return self._summarize(arm, load, rate, seconds, figures, first, extra)

    def _is_ready(self, vm) -> bool:
        # a service that nobody runs is known only once the catalogue has arrived
        url = f"http://{vm.http_address}/"
        request = urllib.request.Request(url, headers={"Host": SERVICE})
        try:
            with urllib.request.urlopen(request, timeout=1):
                return True
        except OSError:
            return False

    def _load(self, entries: list[str], arm: Arm, rate: float, seconds: float, seed: int) -> list:
        loaders = []
        for number in range(LOADERS):
            arguments = ["--rate", str(rate / LOADERS), "--seconds", str(seconds)]
            arguments += ["--service", SERVICE, "--method", arm.method]
            arguments += ["--seed", str(seed * 100 + number), "--entries", *entries]
            command = [sys.executable, "-m", "bench.load", *arguments]
            loaders.append(subprocess.Popen(command, stdout=subprocess.PIPE, text=True))
        return [json.loads(one.communicate(timeout=120)[0]) for one in loaders]

    def _count_attempts(self) -> tuple[int, int]:
        first = extra = 0
        vms = list(self.cluster.vms.values())
        with concurrent.futures.ThreadPoolExecutor(len(vms)) as threads:
            dumps = list(threads.map(lambda vm: self.cluster.dump(vm, vm.entry_address), vms))
        for dump in dumps:
            pool = dump["pools"][SERVICE]
            first += pool["first_attempts"]
            extra += pool["extra_attempts"]
        return first, extra

    def _summarize(
        self,
        arm: Arm,
        load: float,
        rate: float,
        seconds: float,
        figures: list[dict[str, t.Any]],
        first: int,
        extra: int,
    ) -> dict[str, t.Any]:
        answered = _merge([one["answered"] for one in figures])
        refused = _merge([one["refused"] for one in figures])
        capacity = self.shape.servers * SLOTS / self.shape.mean_s
        count = answered.get_total_count()
        return {
            "shape": self.shape.name,
            "servers": self.shape.servers,
            "arm": arm.name,
            "load": load,
            "rate_per_s": round(rate),
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
                one["refused_without_retry_after"] for one in figures
            ),
            "failed": sum(one["failed"] for one in figures),
            "extra_share": round(extra / max(1, first), 3),
        }


def _merge(encoded: list[str]) -> HdrHistogram:
    whole = HdrHistogram(1, SLOWEST_US, 3)
    for text in encoded:
        whole.add(HdrHistogram.decode(text))
    return whole


def run_shape(
    shape: Shape, arms: list[Arm], loads: list[float], seconds: float, seed: int
) -> list[dict[str, t.Any]]:
    """Run all arms of a shape at all loads."""
    rows = []
    with Cluster(name="routing") as cluster:
        bench = Bench(cluster=cluster, shape=shape)
        bench.set_up()
        time.sleep(1.0)
        for load in loads:
            for arm in arms:
                row = bench.run_arm(arm, load, seconds, seed)
                rows.append(row)
                print(_format(row), flush=True)
    return rows


def _format(row: dict[str, t.Any]) -> str:
    return (
        f"{row['servers']:3} servers {row['load']:.0%} {row['arm']:28}"
        f" p50 {row['p50_ms']:7.1f} p99 {row['p99_ms']:7.1f} p99.9 {row['p999_ms']:7.1f} ms"
        f" goodput {row['goodput_share']:.2f} extra {row['extra_share']:.3f}"
        f" refused {row['refused']} (p99 {row['refused_p99_ms']:.1f} ms) failed {row['failed']}"
    )


def main() -> None:
    """Run from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--shapes", nargs="+", default=list(SHAPES))
    parser.add_argument("--loads", nargs="+", type=float, default=[0.5, 0.7, 0.85, 0.95, 1.3])
    parser.add_argument("--arms", nargs="*", default=[], help="METHOD/ours:option=value,...")
    parser.add_argument("--baselines", nargs="*", default=[arm.name for arm in BASE_ARMS])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calm", action="store_true", help="no noisy neighbours")
    parser.add_argument("--save", default="routing", help="name of the raw figures' file")
    options = parser.parse_args()
    arms = [arm for arm in BASE_ARMS if arm.name in options.baselines]
    for text in options.arms:
        method, _, choice = text.partition("/")
        limits = {**BOUND, "concurrency_per_server": 64} if "free" in choice else BOUND
        arms.append(Arm(text, choice.replace("free", ""), limits, method))
    if not options.arms:
        arms += OUR_ARMS
    rows = []
    for name in options.shapes:
        shape = SHAPES[name]
        if options.calm:
            shape = shape._replace(noise_period_s=0.0)
        rows += run_shape(shape, arms, options.loads, options.seconds, options.seed)
    RESULTS.mkdir(parents=True, exist_ok=True)
    (RESULTS / f"{options.save}.json").write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
