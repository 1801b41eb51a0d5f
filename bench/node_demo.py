"""The demonstration: three nodes as processes on stand-ins of the users' platform.

Callers send lookups and orders while a node is stopped in the planned way, one is killed, the
routing table changes, and the servers break connections for a moment. It ends with a table of what
callers got and servers ran, and with the story of one failed request, told from the nodes' logs.
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

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
NODES = 3
INSTANCES = 8
CALLERS = 24
PAUSE_S = 0.03
DEADLINE_S = 2.0
TARGET_S = 0.3
LOAD_S = 12.0
STOP_AT_S = 2.0
CHANGE_AT_S = 5.0
KILL_AT_S = 6.0
BREAK_AT_S = 9.0
BREAK_FOR_S = 0.2
WORK_S = 0.03
READY_TIMEOUT_S = 20.0
GRACE_S = 4.0
SERVICE = "fit"
HOSTNAME = "fit.example"


class Sent(msgspec.Struct, kw_only=True):
    """One request, and what its caller got.

    :param status: 0 if the connection ended without an answer.
    """

    request_id: str
    order: bool
    status: int
    took_s: float
    own: bool


class NodeProcess:
    """One node: its addresses, its process and its log file."""

    def __init__(self, *, name: str, host: str, folder: pathlib.Path) -> None:
        self.name = name
        self.host = host
        self.settings_file = folder / f"{name}.toml"
        self.log_file = folder / f"{name}.log"
        self.ports: dict[str, int] = {}
        self.process: asyncio.subprocess.Process | None = None

    def configure(self, store: str, seeds: list[str]) -> None:
        """Write its settings file."""
        self.ports = write_node_settings(
            self.settings_file,
            host=self.host,
            store_address=store,
            name=self.name,
            grace=f"{GRACE_S:g}s",
            seeds=seeds,
        )

    async def start(self) -> None:
        """Start the process, and wait until it is ready."""
        with self.log_file.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "deploy" / "node.py"),
                stdout=log,
                env={**os.environ, "JASMINESEAM_NODE_FILE": str(self.settings_file)},
            )
        url = f"http://{self.host}:{self.ports['ready']}/api/readyz"
        async with aiohttp.ClientSession() as session, asyncio.timeout(READY_TIMEOUT_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as response:
                        if response.status == 200:
                            return
                await asyncio.sleep(0.02)

    async def end(self, number: int) -> float:
        """Send a signal, and wait for the end; returns how long that took, in seconds."""
        began_at = time.monotonic()
        self.process.send_signal(number)
        await self.process.wait()
        return time.monotonic() - began_at


class Demo:
    """The stand-ins, the nodes, and what callers got."""

    def __init__(self, *, folder: pathlib.Path) -> None:
        self.store = StandInStore()
        self.store_address = ""
        self.instances: list[StandInInstance] = []
        self.nodes = [
            NodeProcess(name=f"vm-{index}", host=f"127.0.0.{index + 2}", folder=folder)
            for index in range(NODES)
        ]
        self.sent: list[Sent] = []
        self._ids = itertools.count(1)
        self._chooser = random.Random(1)

    async def start(self) -> None:
        """Start the stand-ins, then the nodes."""
        runner = web.ServerRunner(web.Server(self.store.handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, HOST, 0).start()
        self.store_address = f"{HOST}:{runner.addresses[0][1]}"
        for index in range(INSTANCES):
            instance = StandInInstance(instance_id=f"i-{index}", service=SERVICE)
            instance.behaviour = InstanceBehaviour(work_s=WORK_S)
            await instance.start()
            self.instances.append(instance)
            self.store.put("keyed.servers", instance.instance_id, instance.build_store_record())
        self.configure(1, ["/look/", "/order/"])
        seeds: list[str] = []
        for node in self.nodes:
            node.configure(self.store_address, seeds)
            seeds.append(f"{node.host}:{node.ports['control']}")
        await asyncio.gather(*(node.start() for node in self.nodes))

    def configure(self, version: int, prefixes: list[str]) -> None:
        """Write a routing table."""
        routes = []
        for prefix in prefixes:
            kind = "unsafe" if prefix == "/order/" else "safe"
            target = {"target-latency": f"{TARGET_S * 1000:.0f}ms"}
            routes.append(build_route(prefix, SERVICE, kind, **target))
        self.store.put("keyed.op", "config", build_configuration(version, routes, [SERVICE]))

    async def call_until(self, until: float) -> None:
        """Send requests one after the other, as one caller."""
        async with aiohttp.ClientSession() as session:
            entries: list[str] = []
            resolved_at = float("-inf")
            while time.monotonic() < until:
                if time.monotonic() - resolved_at > 1.0:
                    entries = await self._resolve(session) or entries
                    resolved_at = time.monotonic()
                if entries:
                    await self._send(session, self._chooser.choice(entries))
                await asyncio.sleep(PAUSE_S)

    async def _resolve(self, session: aiohttp.ClientSession) -> list[str]:
        for node in self._chooser.sample(self.nodes, len(self.nodes)):
            url = f"http://{node.host}:{node.ports['directory']}/api/resolve"
            try:
                async with asyncio.timeout(1.0), session.get(url) as response:
                    if response.status == 200:
                        return (await response.json())["addresses"]
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
        return []

    async def _send(self, session: aiohttp.ClientSession, entry: str) -> None:
        order = self._chooser.random() < 0.4
        request_id = f"q{next(self._ids)}"
        headers = {
            "Host": HOSTNAME,
            "Jasmineseam-Request-Id": request_id,
            "Jasmineseam-Deadline-Ms": f"{DEADLINE_S * 1000:.0f}",
        }
        method, path = ("POST", "/order/1") if order else ("GET", "/look/1")
        began_at = time.monotonic()
        status, body = 0, b""
        try:
            url = f"http://{entry}{path}"
            async with (
                asyncio.timeout(DEADLINE_S),
                session.request(method, url, headers=headers) as response,
            ):
                status, body = response.status, await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            # no whole answer: counted as unknown
            pass
        took_s = time.monotonic() - began_at
        own = status != 200 or body.startswith(request_id.encode() + b" ")
        self.sent.append(
            Sent(request_id=request_id, order=order, status=status, took_s=took_s, own=own)
        )

    async def disturb(self, began_at: float) -> None:
        """Stop a node, change the table, kill a node, let the servers break connections."""
        stopped, killed = self.nodes[1], self.nodes[2]
        await _sleep_until(began_at + STOP_AT_S)
        _say(f"{stopped.name} is stopped in the planned way")
        took_s = await stopped.end(signal.SIGTERM)
        await stopped.start()
        _say(f"{stopped.name} left after {took_s:.1f} s, and is back")
        await _sleep_until(began_at + CHANGE_AT_S)
        self.configure(2, ["/look/", "/order/", "/new/"])
        await _sleep_until(began_at + KILL_AT_S)
        _say(f"{killed.name} is killed")
        await killed.end(signal.SIGKILL)
        await killed.start()
        _say(f"{killed.name} is back")
        await _sleep_until(began_at + BREAK_AT_S)
        _say(f"all servers break connections for {BREAK_FOR_S:g} s")
        self._set_fault("reset")
        await asyncio.sleep(BREAK_FOR_S)
        self._set_fault("")

    def _set_fault(self, fault: str) -> None:
        for instance in self.instances:
            instance.behaviour = InstanceBehaviour(work_s=WORK_S, fault=fault)

    async def stop(self) -> None:
        """End all processes and stand-ins."""
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                await node.end(signal.SIGTERM)
        for instance in self.instances:
            await instance.stop()


def _say(text: str) -> None:
    print(f"demo: {text}", flush=True)


async def _sleep_until(moment: float) -> None:
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


def _find_broken(demo: Demo, runs: collections.Counter[str]) -> list[str]:
    """Return a sentence for each broken promise."""
    broken = []
    for one in demo.sent:
        if not one.own:
            broken.append(f"{one.request_id} got another request's answer")
        if one.order and runs[one.request_id] > 1:
            broken.append(f"order {one.request_id} ran {runs[one.request_id]} times")
        if one.status == 503 and runs[one.request_id]:
            broken.append(f"{one.request_id} was refused as not run, but ran")
    return broken


def _print_table(demo: Demo, runs: collections.Counter[str]) -> None:
    statuses = collections.Counter(one.status for one in demo.sent)
    answered = [one.took_s for one in demo.sent if one.status == 200]
    orders = [runs[one.request_id] for one in demo.sent if one.order]
    rows: list[tuple[str, t.Any]] = [
        ("requests", len(demo.sent)),
        ("answered in time", sum(took_s <= TARGET_S for took_s in answered)),
        ("answered late", sum(took_s > TARGET_S for took_s in answered)),
        ("refused as not run (503)", statuses[503]),
        (
            "outcome unknown (502, 504, connection lost)",
            statuses[502] + statuses[504] + statuses[0],
        ),
        ("most runs of one order", max(orders)),
    ]
    for name, value in rows:
        print(f"  {name:46} {value}")


def _explain_one(demo: Demo) -> str:
    """Return the story of a request that a broken connection has failed, if there is one."""
    for one in demo.sent:
        if one.status != 502:
            continue
        lines = LogLines()
        for node in demo.nodes:
            with node.log_file.open(encoding="utf-8", errors="replace") as file:
                collect_log_lines(one.request_id, node.log_file.name, file, lines)
        for story in explain_request(lines):
            return format_explanation(story)
    return ""


async def _run(folder: pathlib.Path) -> bool:
    demo = Demo(folder=folder)
    try:
        await demo.start()
        _say(f"{NODES} nodes serve {INSTANCES} servers; {CALLERS} callers for {LOAD_S:g} s")
        began_at = time.monotonic()
        callers = [demo.call_until(began_at + LOAD_S) for _ in range(CALLERS)]
        await asyncio.gather(demo.disturb(began_at), *callers)
    finally:
        await demo.stop()
    runs: collections.Counter[str] = collections.Counter()
    for instance in demo.instances:
        runs.update(instance.run_counts)
    broken = _find_broken(demo, runs)
    _print_table(demo, runs)
    story = _explain_one(demo)
    _say("one failed request, as jasmineseam-ctl explain tells it:")
    print(story)
    if not story:
        broken.append("no failed request could be explained")
    for text in broken:
        _say(f"FAILED: {text}")
    _say("a promise was broken" if broken else "no promise was broken")
    return not broken


def main() -> None:
    """Run the demonstration; ends with 0 only if no promise was broken."""
    with tempfile.TemporaryDirectory(prefix="jasmineseam-demo-") as name:
        kept = asyncio.run(_run(pathlib.Path(name)))
    sys.exit(0 if kept else 1)


if __name__ == "__main__":
    main()
