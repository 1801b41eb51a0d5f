"""Demonstration of three nodes in separate processes with stand-ins of the platform.

Callers send lookups and orders while one node is stopped, one is killed, the routing table changes
and the servers reset connections for a short time. The output is a table of responses and
executions, and the explanation of one failed request from the logs of the nodes.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing as t

import aiohttp
import msgspec
from aiohttp import web

from jasmineseam.operations.explanation import LogLines
from jasmineseam.operations.explanation import collect_log_lines
from jasmineseam.operations.explanation import explain_request
from jasmineseam.operations.explanation import format_explanation
from standins.configuration import build_configuration
from standins.configuration import build_route
from standins.instance import InstanceBehaviour
from standins.instance import StandInInstance
from standins.settings import write_node_settings
from standins.store import StandInStore

ROOT_DIRECTORY = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
NODE_COUNT = 3
INSTANCE_COUNT = 8
CALLER_COUNT = 24
CALLER_PAUSE_S = 0.03
REQUEST_DEADLINE_S = 2.0
TARGET_LATENCY_S = 0.3
LOAD_DURATION_S = 12.0
STOP_AT_S = 2.0
CONFIG_CHANGE_AT_S = 5.0
KILL_AT_S = 6.0
CONNECTION_RESETS_AT_S = 9.0
CONNECTION_RESETS_DURATION_S = 0.2
SERVICE_TIME_S = 0.03
READY_TIMEOUT_S = 20.0
STOP_GRACE_PERIOD_S = 4.0
SERVICE = "fit"
HOSTNAME = "fit.example"


class RequestRecord(msgspec.Struct, kw_only=True):
    """A request and its result.

    :param is_order: whether the request is an order, which must not run more than once.
    :param status: HTTP status, or 0 if there was no complete response.
    :param duration_s: time from sending until the response or failure, in seconds.
    :param is_own_response: whether the response belongs to this request; ``True`` for failures.
    """

    request_id: str
    is_order: bool
    status: int
    duration_s: float
    is_own_response: bool


class NodeProcess:
    """Addresses, process and log file of one node.

    :param zone: the node's failure domain.
    :param checkout: root directory of the checkout whose build the node runs.
    """

    def __init__(
        self,
        *,
        name: str,
        host: str,
        directory: pathlib.Path,
        zone: str = "d1",
        checkout: pathlib.Path = ROOT_DIRECTORY,
    ) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.checkout = checkout
        self.settings_path = directory / f"{name}.toml"
        self.log_path = directory / f"{name}.log"
        self.ports: dict[str, int] = {}
        self.process: asyncio.subprocess.Process | None = None

    @property
    def entry_address(self) -> str:
        """The address for callers."""
        return f"{self.host}:{self.ports['entry']}"

    def write_settings(self, store: str, seeds: list[str], bounds: t.Iterable[str] = ()) -> None:
        """Write the settings file of the node.

        :param store: address of the store.
        :param seeds: control addresses of the nodes that it contacts first.
        :param bounds: further lines of the table of bounds.
        """
        self.ports = write_node_settings(
            self.settings_path,
            host=self.host,
            store_address=store,
            name=self.name,
            zone=self.zone,
            bounds=bounds,
            grace=f"{STOP_GRACE_PERIOD_S:g}s",
            seeds=seeds,
        )

    async def start(self) -> None:
        """Start the process and wait until the node is ready.

        :raises TimeoutError: if it is not ready in time.
        """
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self.checkout / "deploy" / "node.py"),
                stdout=log,
                env={**os.environ, "JASMINESEAM_NODE_FILE": str(self.settings_path)},
            )
        url = f"http://{self.host}:{self.ports['ready']}/api/readyz"
        async with aiohttp.ClientSession() as session, asyncio.timeout(READY_TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.02)

    async def stop(self, signal_number: int) -> float:
        """Send a signal and wait until the process exits; returns the duration in seconds."""
        started_at = time.monotonic()
        self.process.send_signal(signal_number)
        await self.process.wait()
        return time.monotonic() - started_at


class Demo:
    """The stand-ins, the nodes and the records of all requests."""

    def __init__(self, *, directory: pathlib.Path) -> None:
        self.store = StandInStore()
        self.store_address = ""
        self.instances: list[StandInInstance] = []
        self.nodes = [
            NodeProcess(name=f"vm-{index}", host=f"127.0.0.{index + 2}", directory=directory)
            for index in range(NODE_COUNT)
        ]
        self.records: list[RequestRecord] = []
        self._request_numbers = itertools.count(1)
        self._rng = random.Random(1)

    async def start(self) -> None:
        """Start the stand-ins, then the nodes."""
        runner = web.ServerRunner(web.Server(self.store.handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        self.store_address = f"{HOST}:{runner.addresses[0][1]}"
        for index in range(INSTANCE_COUNT):
            instance = StandInInstance(instance_id=f"i-{index}", service=SERVICE)
            instance.behaviour = InstanceBehaviour(work_s=SERVICE_TIME_S)
            await instance.start()
            self.instances.append(instance)
            self.store.put("keyed.servers", instance.instance_id, instance.build_store_record())
        self.write_configuration(1, ["/look/", "/order/"])
        seeds: list[str] = []
        for node in self.nodes:
            node.write_settings(self.store_address, seeds)
            seeds.append(f"{node.host}:{node.ports['control']}")
        await asyncio.gather(*(node.start() for node in self.nodes))

    def write_configuration(self, version: int, prefixes: list[str]) -> None:
        """Write a routing table to the store."""
        routes = []
        for prefix in prefixes:
            kind = "unsafe" if prefix == "/order/" else "safe"
            target = {"target-latency": f"{TARGET_LATENCY_S * 1000:.0f}ms"}
            routes.append(build_route(prefix, SERVICE, kind, **target))
        self.store.put("keyed.op", "config", build_configuration(version, routes, [SERVICE]))

    async def run_caller(self, ends_at: float) -> None:
        """Send requests in sequence until a time on the monotonic clock."""
        async with aiohttp.ClientSession() as session:
            node_addresses: list[str] = []
            resolved_at = float("-inf")
            while time.monotonic() < ends_at:
                if time.monotonic() - resolved_at > 1.0:
                    node_addresses = await self._resolve_nodes(session) or node_addresses
                    resolved_at = time.monotonic()
                if node_addresses:
                    await self._send_request(session, self._rng.choice(node_addresses))
                await asyncio.sleep(CALLER_PAUSE_S)

    async def _resolve_nodes(self, session: aiohttp.ClientSession) -> list[str]:
        for node in self._rng.sample(self.nodes, len(self.nodes)):
            url = f"http://{node.host}:{node.ports['directory']}/api/resolve"
            try:
                async with asyncio.timeout(1.0), session.get(url) as response:
                    if response.status == 200:
                        return (await response.json())["addresses"]
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
        return []

    async def _send_request(self, session: aiohttp.ClientSession, node_address: str) -> None:
        is_order = self._rng.random() < 0.4
        request_id = f"q{next(self._request_numbers)}"
        headers = {
            "Host": HOSTNAME,
            "Jasmineseam-Request-Id": request_id,
            "Jasmineseam-Deadline-Ms": f"{REQUEST_DEADLINE_S * 1000:.0f}",
        }
        method, path = ("POST", "/order/1") if is_order else ("GET", "/look/1")
        started_at = time.monotonic()
        status, body = 0, b""
        try:
            url = f"http://{node_address}{path}"
            async with (
                asyncio.timeout(REQUEST_DEADLINE_S),
                session.request(method, url, headers=headers) as response,
            ):
                status, body = response.status, await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            # without a complete response, the outcome is counted as unknown
            pass
        duration_s = time.monotonic() - started_at
        is_own_response = status != 200 or body.startswith(request_id.encode() + b" ")
        self.records.append(
            RequestRecord(
                request_id=request_id,
                is_order=is_order,
                status=status,
                duration_s=duration_s,
                is_own_response=is_own_response,
            )
        )

    async def inject_faults(self, started_at: float) -> None:
        """Stop a node, change the routing table, kill a node and reset connections of servers."""
        stopped, killed = self.nodes[1], self.nodes[2]
        await _sleep_until(started_at + STOP_AT_S)
        _print_progress(f"stopping {stopped.name} with SIGTERM")
        duration_s = await stopped.stop(signal.SIGTERM)
        await stopped.start()
        _print_progress(f"{stopped.name} stopped after {duration_s:.1f} s and restarted")
        await _sleep_until(started_at + CONFIG_CHANGE_AT_S)
        self.write_configuration(2, ["/look/", "/order/", "/new/"])
        await _sleep_until(started_at + KILL_AT_S)
        _print_progress(f"killing {killed.name}")
        await killed.stop(signal.SIGKILL)
        await killed.start()
        _print_progress(f"{killed.name} restarted")
        await _sleep_until(started_at + CONNECTION_RESETS_AT_S)
        _print_progress(f"all servers reset connections for {CONNECTION_RESETS_DURATION_S:g} s")
        self._set_fault("reset")
        await asyncio.sleep(CONNECTION_RESETS_DURATION_S)
        self._set_fault("")

    def _set_fault(self, fault: str) -> None:
        for instance in self.instances:
            instance.behaviour = InstanceBehaviour(work_s=SERVICE_TIME_S, fault=fault)

    async def stop(self) -> None:
        """Stop all nodes and stand-in instances."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                await node.stop(signal.SIGTERM)
        for instance in self.instances:
            await instance.stop()


def _print_progress(text: str) -> None:
    print(f"demo: {text}", flush=True)


async def _sleep_until(wakes_at: float) -> None:
    await asyncio.sleep(max(0.0, wakes_at - time.monotonic()))


def _find_violations(demo: Demo, execution_counts: collections.Counter[str]) -> list[str]:
    """Return a description of each violated guarantee."""
    violations = []
    for record in demo.records:
        if not record.is_own_response:
            violations.append(f"{record.request_id} received the response of another request")
        if record.is_order and execution_counts[record.request_id] > 1:
            violations.append(
                f"order {record.request_id} was executed "
                f"{execution_counts[record.request_id]} times"
            )
        if record.status == 503 and execution_counts[record.request_id]:
            violations.append(
                f"{record.request_id} was rejected as not executed, but was executed"
            )
    return violations


def _print_table(demo: Demo, execution_counts: collections.Counter[str]) -> None:
    statuses = collections.Counter(record.status for record in demo.records)
    durations_s = [record.duration_s for record in demo.records if record.status == 200]
    executions_per_order = [
        execution_counts[record.request_id] for record in demo.records if record.is_order
    ]
    rows: list[tuple[str, t.Any]] = [
        ("requests", len(demo.records)),
        (
            "answered within the target latency",
            sum(duration_s <= TARGET_LATENCY_S for duration_s in durations_s),
        ),
        (
            "answered after the target latency",
            sum(duration_s > TARGET_LATENCY_S for duration_s in durations_s),
        ),
        ("rejected without execution (503)", statuses[503]),
        (
            "outcome unknown (502, 504, connection lost)",
            statuses[502] + statuses[504] + statuses[0],
        ),
        ("maximum executions of one order", max(executions_per_order)),
    ]
    for name, value in rows:
        print(f"  {name:46} {value}")


def _explain_failed_request(demo: Demo) -> str:
    """Return the explanation of a request that failed with status 502, or an empty string."""
    for record in demo.records:
        if record.status != 502:
            continue
        lines = LogLines()
        for node in demo.nodes:
            with node.log_path.open(encoding="utf-8", errors="replace") as file:
                collect_log_lines(record.request_id, node.log_path.name, file, lines)
        for explanation in explain_request(lines):
            return format_explanation(explanation)
    return ""


async def _run_demo(directory: pathlib.Path) -> bool:
    demo = Demo(directory=directory)
    try:
        await demo.start()
        _print_progress(
            f"{NODE_COUNT} nodes, {INSTANCE_COUNT} servers, "
            f"{CALLER_COUNT} callers for {LOAD_DURATION_S:g} s"
        )
        started_at = time.monotonic()
        callers = [demo.run_caller(started_at + LOAD_DURATION_S) for _ in range(CALLER_COUNT)]
        await asyncio.gather(demo.inject_faults(started_at), *callers)
    finally:
        await demo.stop()
    execution_counts: collections.Counter[str] = collections.Counter()
    for instance in demo.instances:
        execution_counts.update(instance.run_counts)
    violations = _find_violations(demo, execution_counts)
    _print_table(demo, execution_counts)
    explanation = _explain_failed_request(demo)
    _print_progress("output of jasmineseam-ctl explain for one failed request:")
    print(explanation)
    if not explanation:
        violations.append(
            "the logs contain no explanation of a request that failed with status 502"
        )
    for text in violations:
        _print_progress(f"FAILED: {text}")
    _print_progress("a guarantee was violated" if violations else "no guarantee was violated")
    return not violations


def main() -> None:
    """Run the demonstration; exits with 0 if no guarantee was violated, otherwise with 1."""
    with tempfile.TemporaryDirectory(prefix="jasmineseam-demo-") as name:
        succeeded = asyncio.run(_run_demo(pathlib.Path(name)))
    sys.exit(0 if succeeded else 1)


if __name__ == "__main__":
    main()
