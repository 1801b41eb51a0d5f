"""Compatibility test of two builds: their processes run side by side under load.

``python -m bench.mixed CHECKOUT`` runs nodes, then the stand-alone programs, of this build and of
the build in another checkout, which needs a virtual environment (``make test`` creates it). Each
run includes a planned stop and a kill. A message, stored record or log line of one build that the
other one rejects fails the test.
"""

from __future__ import annotations

import asyncio
import collections
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing as t

import aiohttp
import defopt

from standins.callers import Caller

from . import node_demo
from .checks import check_outcomes
from .checks import find_crash_log_lines
from .cluster import Cluster
from .cluster import Vm

PROGRAMS = ("agent", "entry", "locator")
CALLER_COUNT = 12
CALLER_PAUSE_S = 0.03
LOAD_DURATION_S = 10.0
STOP_AT_S = 2.0
KILL_AT_S = 5.0
DUMP_DELAY_S = 0.5
MIN_ANSWERED_FRACTION = 0.9
MAX_EXPLAINED_REQUESTS = 8
STATE_PREFIX = "State: "
# log messages of either build about a rejected message or record
REJECTION_TEXTS = (
    "dropped",
    "Dropping",
    "ignored",
    "Ignoring",
    "invalid record",
    "undecodable",
    "Handler failed",
    " failed.",
    "Crashed",
    "Invariant",
)
ENTRIES = (
    {"service": "fittings", "owner": "kalipso"},
    {
        "service": "stock",
        "owner": "kalipso",
        "rules": [{"method": "POST", "path_prefix": "/search", "idempotent": True}],
    },
)


async def run_nodes(directory: pathlib.Path, checkouts: list[pathlib.Path]) -> list[str]:
    """Run a node of each checkout with one store, under load; returns the failures."""
    demo = node_demo.Demo(directory=directory)
    nodes = [
        node_demo.NodeProcess(
            checkout=checkout, name=node.name, host=node.host, directory=directory
        )
        for checkout, node in zip(checkouts, demo.nodes, strict=True)
    ]
    demo.nodes = []
    try:
        await demo.start()
        seeds: list[str] = []
        for node in nodes:
            node.write_settings(demo.store_address, seeds)
            seeds.append(f"{node.host}:{node.ports['control']}")
            demo.nodes.append(node)
            await node.start()
        ends_at = time.monotonic() + node_demo.LOAD_DURATION_S
        callers = [demo.run_caller(ends_at) for _ in range(node_demo.CALLER_COUNT)]
        await asyncio.gather(demo.inject_faults(time.monotonic()), *callers)
        for node in nodes:
            node.process.send_signal(signal.SIGUSR1)
        await asyncio.sleep(DUMP_DELAY_S)
    finally:
        await demo.stop()
    statuses = collections.Counter(record.status for record in demo.records)
    print(f"  statuses: {dict(statuses)}", flush=True)
    failures = _find_rejections(demo) + _compare_explanations(demo, checkouts)
    if statuses[200] < MIN_ANSWERED_FRACTION * len(demo.records):
        failures.append(f"{statuses[200]} of {len(demo.records)} requests answered")
    runs: collections.Counter[str] = collections.Counter()
    for instance in demo.instances:
        runs.update(instance.run_counts)
    orders = [record.request_id for record in demo.records if record.is_order]
    failures += [f"order {order} ran {runs[order]} times" for order in orders if runs[order] > 1]
    return failures


def _read_log_lines(demo: node_demo.Demo) -> list[tuple[str, dict[str, t.Any]]]:
    lines = []
    for node in demo.nodes:
        for text in node.log_path.read_text(encoding="utf-8", errors="replace").splitlines():
            lines.append((node.name, json.loads(text)))
    return lines


def _find_rejections(demo: node_demo.Demo) -> list[str]:
    """Return the log lines and the dumped counts of rejected messages and records."""
    rejections = []
    for name, line in _read_log_lines(demo):
        message = line.get("message", "")
        if message.startswith(STATE_PREFIX):
            rejections += _list_counts(name, json.loads(message.removeprefix(STATE_PREFIX)))
            continue
        if line.get("level") == "ERROR" or any(text in message for text in REJECTION_TEXTS):
            rejections.append(f"{name}: {message}")
    return rejections


def _list_counts(name: str, state: dict[str, t.Any]) -> list[str]:
    counts = {**state["dropped_messages"], **state["invariant_violations"]}
    return [f"{name}: {reason} {count} times" for reason, count in counts.items() if count]


def _compare_explanations(demo: node_demo.Demo, checkouts: list[pathlib.Path]) -> list[str]:
    """Explain requests from the logs of all nodes by each build; returns the differences."""
    outcomes = [(line["outcome"], line["id"]) for _, line in _read_log_lines(demo) if "id" in line]
    # failed requests first
    outcomes.sort(key=lambda outcome: outcome[0] == "answered")
    paths = [str(node.log_path) for node in demo.nodes]
    failures = []
    for _, request_id in outcomes[:MAX_EXPLAINED_REQUESTS]:
        results = set()
        for checkout in set(checkouts):
            completed = subprocess.run(
                [_find_program(checkout, "ctl"), "explain", request_id, *paths, "--json"],
                capture_output=True,
                text=True,
                check=False,
            )
            explanations = json.loads(completed.stdout or "[]")
            found = tuple((one["source"], one["line"]["outcome"]) for one in explanations)
            results.add((completed.returncode, found))
        if len(results) != 1 or next(iter(results))[0] != 0:
            failures.append(f"{request_id} is explained differently: {results}")
    print(f"  {min(len(outcomes), MAX_EXPLAINED_REQUESTS)} requests explained", flush=True)
    return failures


def _find_program(checkout: pathlib.Path, program: str) -> str:
    return str(checkout / ".venv" / "bin" / f"jasmineseam-{program}")


def _start_programs(cluster: Cluster, vm: Vm, checkouts: dict[str, pathlib.Path]) -> None:
    for program in PROGRAMS:
        cluster.start_program(vm, program, [_find_program(checkouts[program], program)])


async def _run_load(cluster: Cluster, inject_faults: t.Callable[[], None]) -> list[Caller]:
    ends_at = time.monotonic() + LOAD_DURATION_S

    async def send_requests(caller: Caller) -> None:
        while time.monotonic() < ends_at:
            await caller.send_lookup("fittings")
            await caller.send_order("stock")
            await asyncio.sleep(CALLER_PAUSE_S)

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
        callers = [
            Caller(
                session=session,
                get_locator_addresses=lambda: [vm.locator_address for vm in cluster.vms.values()],
                failure_domain=f"domain-{number % 3}",
                seed=number,
            )
            for number in range(CALLER_COUNT)
        ]
        tasks = [send_requests(caller) for caller in callers]
        await asyncio.gather(asyncio.to_thread(inject_faults), *tasks)
    return callers


def run_programs(checkouts: list[dict[str, pathlib.Path]]) -> list[str]:
    """Run agents, entries and locators with one log, under load; returns the failures.

    :param checkouts: for each VM, the checkout of each program.
    """
    failures = []
    with Cluster(name="mixed") as cluster:
        for entry in ENTRIES:
            names = [f"{entry['service']}-{number}" for number in range(4)]
            cluster.start_servers(entry["service"], names)
        vms = [cluster.add_vm(index, len(checkouts)) for index in range(len(checkouts))]
        for vm, builds in zip(vms, checkouts, strict=True):
            _start_programs(cluster, vm, builds)
        cluster.wait_until_entries_listed(len(vms))

        def publish(entry: dict[str, t.Any]) -> None:
            report = cluster.publish(vms[0], entry)
            if report["exit_code"] != 0:
                failures.append(f"publication failed: {report}")

        def inject_faults() -> None:
            time.sleep(STOP_AT_S)
            cluster.stop_vm(vms[1])
            _start_programs(cluster, vms[1], checkouts[1])
            time.sleep(KILL_AT_S - STOP_AT_S)
            cluster.kill_vm(vms[2])
            _start_programs(cluster, vms[2], checkouts[2])
            publish({**ENTRIES[0], "limits": {"queue": 32}})

        for entry in ENTRIES:
            publish(entry)
        callers = asyncio.run(_run_load(cluster, inject_faults))
        cluster.wait_until_entries_listed(len(vms))
        result = check_outcomes([caller.tally for caller in callers], cluster.count_executions())
        failures += result.failures + find_crash_log_lines(cluster)
        for vm in vms:
            for address in (vm.agent_address, vm.entry_address):
                failures += _list_counts(f"{vm.vm_id} {address}", cluster.dump(vm, address))
        for line in cluster.read_logs().splitlines():
            if "undecodable" in line or "ropp" in line or "Traceback" in line:
                failures.append(line)
    answered = f"{result.answered} of {result.requests} requests answered"
    print(f"  {answered}, {result.not_run} not run, {result.unknown} unknown", flush=True)
    if result.answered < MIN_ANSWERED_FRACTION * result.requests:
        failures.append(answered)
    return failures


def check_builds(checkout: pathlib.Path) -> None:
    """Run processes of this build beside those of another; exits with 0 if nothing failed.

    :param checkout: root directory of the other build's checkout, with its virtual environment.
    """
    new, old = node_demo.ROOT_DIRECTORY, checkout.resolve()
    failures = []
    for builds in ([old, old, new], [old, new, new]):
        print(f"nodes, {builds.count(old)} of 3 of the other build", flush=True)
        with tempfile.TemporaryDirectory(prefix="jasmineseam-mixed-") as name:
            failures += asyncio.run(run_nodes(pathlib.Path(name), builds))
    new_vm, old_vm = dict.fromkeys(PROGRAMS, new), dict.fromkeys(PROGRAMS, old)
    new_entry = {"agent": old, "entry": new, "locator": new}
    new_agent = {"agent": new, "entry": old, "locator": old}
    for vms in (
        [old_vm, old_vm, new_vm],
        [old_vm, new_vm, new_vm],
        [new_entry, new_agent, new_vm],
    ):
        count = sum(build == old for vm in vms for build in vm.values())
        print(f"programs, {count} of 9 of the other build", flush=True)
        failures += run_programs(vms)
    for failure in failures:
        print(f"FAILED: {failure}")
    print("the builds are not compatible" if failures else "no message or record was rejected")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    defopt.run(check_builds, cli_options="has_default", short={})
