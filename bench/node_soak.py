"""Soak test of node processes: run them under load, inject random faults and check the rules.

The store, the servers and the callers are stand-ins in processes of their own. The seed determines
the faults, which are injected from outside: signals, proxies between the processes, and what the
store and the servers do. The paths between nodes are not disturbed.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import typing as t

import defopt
import msgspec

from standins.configuration import build_configuration
from standins.configuration import build_route
from standins.path_proxy import PathProxy
from standins.remote import RemoteStandIn
from standins.settings import choose_loopback_address
from standins.soak_processes import KEY_MARK
from standins.soak_processes import Arrival
from standins.soak_processes import RequestRecord

from .node_checks import QUOTA_OVERAGE
from .node_checks import QUOTA_SLACK
from .node_checks import WARMUP_OVERAGE
from .node_checks import WARMUP_SLACK
from .node_checks import Period
from .node_checks import RunFacts
from .node_checks import check_run
from .node_checks import find_log_faults
from .node_demo import ROOT_DIRECTORY
from .node_demo import NodeProcess
from .node_faults import FAULT_SERIES
from .node_faults import WARMUP_S

ZONES = ("d1", "d2", "d3")
SERVERS_PER_ZONE = 2
SERVICES = ("fit", "stock")
WORK_S = 0.02
WARMUP_REQUESTS_PER_S = 2.0
# requests per second and burst; 0 for no quota
QUOTAS = {"north": (0.0, 0.0), "large": (20.0, 20.0), "small": (2.0, 2.0)}
# Accounts with a quota send about twice as much.
CALLERS_PER_ACCOUNT = {"north": 14, "large": 8, "small": 2}
CALLER_PAUSE_S = 0.15
NODE_BOUNDS = (
    f"quota-overage = {QUOTA_OVERAGE}",
    f"quota-slack = {QUOTA_SLACK}",
    f"warmup-overage = {WARMUP_OVERAGE}",
    f"warmup-slack = {WARMUP_SLACK}",
)
COLLECT_INTERVAL_S = 1.0
CHECK_INTERVAL_S = 15.0
# An outage of the store begins at the earliest this time after a write that all nodes must see.
WRITE_SPACING_S = 1.0
SETTLING_TIME_S = 5.0
RECOVERY_TIMEOUT_S = 10.0
STOP_TIMEOUT_S = 20.0
MAX_STARTS_AT_ONCE = 10


class NodeSoak:
    """The processes of one run, and what the operator does.

    :param directory: holds the settings and logs of the nodes.
    :param checkouts: the checkout whose build each node runs.
    """

    def __init__(
        self, *, directory: pathlib.Path, seed: int, checkouts: t.Sequence[pathlib.Path]
    ) -> None:
        self._directory = directory
        self._seed = seed
        self._host = choose_loopback_address()
        self._busy: set[str] = set()
        self._stopped: set[str] = set()
        self._version = 0
        self._key_count = 0
        self._server_states: dict[str, dict[str, t.Any]] = {}
        self._stop_at = 0.0
        self._ended = asyncio.Event()
        self.zones = ZONES
        self.server_groups = (*ZONES, *SERVICES)
        self.nodes = [
            NodeProcess(
                name=f"vm-{index}",
                host=choose_loopback_address(),
                directory=directory,
                zone=ZONES[index % len(ZONES)],
                checkout=checkout,
            )
            for index, checkout in enumerate(checkouts)
        ]
        self.store = RemoteStandIn(kind="store")
        self.servers = RemoteStandIn(kind="servers")
        self.callers = RemoteStandIn(kind="callers")
        # held while the store changes or is down, and while servers restart
        self.store_lock = asyncio.Lock()
        self.server_lock = asyncio.Lock()
        self.caller_paths: dict[str, PathProxy] = {}
        self.store_paths: dict[str, PathProxy] = {}
        self.server_paths: dict[str, PathProxy] = {}
        self.valid_keys: dict[str, list[str]] = {name: [] for name in QUOTAS}
        self.evacuated = dict.fromkeys(ZONES, False)
        self.draining: set[str] = set()
        self.facts = RunFacts(
            quotas={name: quota for name, quota in QUOTAS.items() if quota[0]},
            max_cold_requests=WARMUP_REQUESTS_PER_S * WARMUP_OVERAGE + WARMUP_SLACK,
        )
        self.fault_schedule: list[str] = []
        self.failures: list[str] = []

    async def start(self) -> None:
        """Start the stand-ins, then the nodes."""
        for stand_in in (self.store, self.servers, self.callers):
            await stand_in.start(self._directory / "standins.log")
        store_address = await self.store.call("start", host=self._host)
        for service in SERVICES:
            for zone in ZONES * SERVERS_PER_ZONE:
                name = f"{service}-{zone}-{len(self.server_paths)}"
                address = await self.servers.call(
                    "start",
                    host=self._host,
                    name=name,
                    service=service,
                    zone=zone,
                    work_s=WORK_S,
                    slots=4,
                )
                self.server_paths[name] = await self._open_path(address)
                self._server_states[name] = {"state": "ready", "born": _get_unix_ms()}
        for account in QUOTAS:
            self.valid_keys[account] = [self._make_key(account) for _ in range(2)]
        await self.write_all()
        now = time.monotonic()
        for keys in self.valid_keys.values():
            self.facts.keys.update({key: Period(now) for key in keys})
        seeds: list[str] = []
        for node in self.nodes:
            self.store_paths[node.name] = await self._open_path(store_address)
            node.write_settings(self.store_paths[node.name].address, seeds[:3], NODE_BOUNDS)
            seeds.append(f"{node.host}:{node.ports['control']}")
            self.caller_paths[node.name] = await self._open_path(node.entry_address)
            if node.checkout != ROOT_DIRECTORY:
                self.facts.earlier_nodes.add(node.entry_address)
        for first in range(0, len(self.nodes), MAX_STARTS_AT_ONCE):
            group = self.nodes[first : first + MAX_STARTS_AT_ONCE]
            await asyncio.gather(*(node.start() for node in group))
        await self.callers.call(
            "set_nodes",
            locators=[f"{node.host}:{node.ports['directory']}" for node in self.nodes],
            path_of={
                node.entry_address: self.caller_paths[node.name].address for node in self.nodes
            },
        )
        await self._set_caller_keys()

    async def run(self, duration_s: float) -> None:
        """Send requests and inject faults, then check that all nodes serve again."""
        self._stop_at = time.monotonic() + duration_s
        await self.callers.call(
            "start", seed=self._seed, callers_of=CALLERS_PER_ACCOUNT, pause_s=CALLER_PAUSE_S
        )
        monitoring = asyncio.create_task(self._monitor())
        rng = random.Random(self._seed)
        series = [
            self._inject_faults(faults, random.Random(rng.random())) for faults in FAULT_SERIES
        ]
        try:
            await asyncio.gather(*series)
            await asyncio.sleep(max(SETTLING_TIME_S, self._stop_at - time.monotonic()))
            await self._check_recovery()
            await self.callers.call("stop")
        finally:
            self._ended.set()
            await monitoring
        self.failures += check_run(self.facts, complete=True)

    async def stop(self) -> None:
        """End all processes, then check the logs."""
        await asyncio.gather(*(self._end_node(node) for node in self.nodes))
        for stand_in in (self.callers, self.servers, self.store):
            await stand_in.stop()
        paths = (self.caller_paths, self.store_paths, self.server_paths)
        for path in (path for group in paths for path in group.values()):
            path.stop()
        new = [node for node in self.nodes if node.entry_address not in self.facts.earlier_nodes]
        self.failures += find_log_faults(node.log_path for node in new if node.log_path.exists())

    @contextlib.asynccontextmanager
    async def reserve_node(self, rng: random.Random) -> t.AsyncIterator[NodeProcess]:
        """Reserve a node that no other fault acts on; at most half of the nodes are reserved."""
        while len(self._busy) >= len(self.nodes) / 2:
            await asyncio.sleep(0.1)
        node = rng.choice([node for node in self.nodes if node.name not in self._busy])
        self._busy.add(node.name)
        try:
            yield node
        finally:
            self._busy.discard(node.name)

    async def stop_node(self, node: NodeProcess, signal_number: int) -> None:
        """Send a signal and wait until the process has ended."""
        self._stopped.add(node.name)
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await node.stop(signal_number)

    async def start_node(self, node: NodeProcess) -> None:
        """Start a node again and wait until it is ready."""
        await node.start()
        self._stopped.discard(node.name)

    def list_servers(self, group: str = "") -> list[str]:
        """Return the names of the servers that don't drain, of one domain or service or of all."""
        return [
            name
            for name in self.server_paths
            if name not in self.draining and group in ("", *name.split("-"))
        ]

    async def restart_servers(self, names: list[str], down_s: float) -> None:
        """Kill servers and start them again, cold; they write their records."""
        await self.servers.call("restart_cold", names=names, warmup_s=WARMUP_S, down_s=down_s)
        async with self.change_store():
            for name in names:
                self._server_states[name]["born"] = _get_unix_ms()
            await self._write("keyed.servers", await self._build_server_records(names))

    @contextlib.asynccontextmanager
    async def change_store(self) -> t.AsyncIterator[None]:
        """Write to the store; no outage begins for a while after the changes."""
        async with self.store_lock:
            yield
            await asyncio.sleep(WRITE_SPACING_S)

    async def write_server_state(self, name: str, state: str) -> float:
        """Write whether a server is ready or draining; the lock of the store is held.

        :returns: the time at which the store accepted it.
        """
        self._server_states[name]["state"] = state
        return await self._write("keyed.servers", await self._build_server_records([name]))

    async def write_evacuation(self, zone: str, *, evacuated: bool) -> float:
        """Evacuate a domain or withdraw its evacuation; the lock of the store is held.

        :returns: the time at which the store accepted it.
        """
        self.evacuated[zone] = evacuated
        return await self._write("keyed.op", self._build_evacuations([zone]))

    async def add_key(self, account: str) -> str:
        """Write a configuration with a further key of an account."""
        key = self._make_key(account)
        async with self.change_store():
            self.valid_keys[account].append(key)
            self.facts.keys[key] = Period(await self._write("keyed.op", self._build_table()))
        await self._set_caller_keys()
        return key

    async def remove_key(self, account: str) -> str:
        """Write a configuration without the oldest key of an account; callers still send it."""
        key = self.valid_keys[account].pop(0)
        async with self.change_store():
            period = self.facts.keys[key]
            # A check that runs in the meantime allows for the removal.
            period.end = time.monotonic()
            period.end = await self._write("keyed.op", self._build_table())
        await self._set_caller_keys()
        return key

    async def write_all(self) -> None:
        """Write the whole state, as after a restore; the lock of the store is held."""
        await self._write("keyed.servers", await self._build_server_records(self.server_paths))
        records = {**self._build_table(), **self._build_evacuations(ZONES)}
        await self._write("keyed.op", records)

    async def _write(self, topic: str, records: dict[str, t.Any]) -> float:
        return await self.store.call("write", topic=topic, records=records)

    def _make_key(self, account: str) -> str:
        self._key_count += 1
        return f"{KEY_MARK}-{account}-{self._key_count}"

    def _build_table(self) -> dict[str, t.Any]:
        self._version += 1
        routes = [
            build_route("/look/", "fit"),
            build_route("/order/", "stock", "unsafe"),
            build_route("/open/", "fit", public=True),
        ]
        tenants = [
            {
                "name": name,
                "api-keys": keys,
                "rate-per-s": QUOTAS[name][0],
                "burst": QUOTAS[name][1],
            }
            for name, keys in self.valid_keys.items()
        ]
        document = build_configuration(self._version, routes, SERVICES, tenants=tenants)
        for service in document["services"]:
            service["warmup"] = f"{WARMUP_S:g}s"
            service["warmup-per-s"] = WARMUP_REQUESTS_PER_S
        return {"config": document}

    def _build_evacuations(self, zones: t.Iterable[str]) -> dict[str, t.Any]:
        return {f"evacuate/{zone}": {} if self.evacuated[zone] else None for zone in zones}

    async def _build_server_records(self, names: t.Iterable[str]) -> dict[str, t.Any]:
        addresses = {name: path.address for name, path in self.server_paths.items()}
        records: dict[str, t.Any] = {}
        for name in names:
            records |= await self.servers.call(
                "build_records", names=[name], address_of=addresses, **self._server_states[name]
            )
        return records

    async def _open_path(self, target: str) -> PathProxy:
        path = PathProxy(target=target, host=self._host)
        await path.start()
        return path

    async def _set_caller_keys(self) -> None:
        keys = {}
        for account, valid in self.valid_keys.items():
            known = [key for key in self.facts.keys if key.split("-")[1] == account]
            removed = [key for key in known if key not in valid][-2:]
            # most requests have a valid key; some have a removed one, an unknown one or none
            keys[account] = [*removed, f"{KEY_MARK}-{account}-unknown", "", *valid * 5]
        await self.callers.call("set_keys", keys=keys)

    async def _inject_faults(self, faults: t.Sequence[t.Any], rng: random.Random) -> None:
        while time.monotonic() < self._stop_at - SETTLING_TIME_S and not self.failures:
            await asyncio.sleep(rng.uniform(0.2, 1.5))
            fault = rng.choice(faults)
            began_at = time.monotonic()
            try:
                target = await fault(self, rng)
            except TimeoutError:
                target = "a node neither started nor stopped in time"
                self.failures.append(f"{fault.__name__} at {began_at:.3f}: {target}")
            self.fault_schedule.append(
                f"{began_at:.3f} to {time.monotonic():.3f}: {fault.__name__} {target}"
            )

    async def _monitor(self) -> None:
        """Collect what callers and servers saw, and check it from time to time."""
        checked_at = time.monotonic()
        while not self._ended.is_set():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), COLLECT_INTERVAL_S)
            await self._collect()
            for node in self.nodes:
                if node.process.returncode is not None and node.name not in self._stopped:
                    self.failures.append(f"{node.name} ended with {node.process.returncode}")
            if not self.failures and time.monotonic() - checked_at > CHECK_INTERVAL_S:
                self.failures += await asyncio.to_thread(check_run, self.facts, complete=False)
                checked_at = time.monotonic()

    async def _collect(self) -> None:
        facts = self.facts
        # The callers come first, so that the servers' records of each request are complete.
        records = msgspec.convert(await self.callers.call("take_records"), list[RequestRecord])
        arrivals, runs = await self.servers.call("take_records")
        facts.requests.update({record.request_id: record for record in records})
        facts.arrivals += msgspec.convert(arrivals, list[Arrival])
        facts.runs += msgspec.convert(runs, list[Arrival])

    async def _check_recovery(self) -> None:
        """Check that each node serves requests some seconds after the last fault."""
        ends_at = time.monotonic() + RECOVERY_TIMEOUT_S
        statuses: dict[str, int] = {}
        while time.monotonic() < ends_at:
            statuses = await self.callers.call("send_to_each", account="north")
            if set(statuses.values()) == {200}:
                return
            await asyncio.sleep(0.5)
        self.failures.append(f"not all nodes serve after the faults: {statuses}")

    async def _end_node(self, node: NodeProcess) -> None:
        if node.process is None or node.process.returncode is not None:
            return
        node.process.send_signal(signal.SIGCONT)
        try:
            await self.stop_node(node, signal.SIGTERM)
        except TimeoutError:
            self.failures.append(f"{node.name} did not stop within {STOP_TIMEOUT_S:g} s")
            await node.stop(signal.SIGKILL)


def _get_unix_ms() -> int:
    return time.time_ns() // 1_000_000


async def run_soak(
    directory: pathlib.Path, seed: int, duration_s: float, checkouts: t.Sequence[pathlib.Path]
) -> NodeSoak:
    """Run the soak and return it with its failures."""
    soak = NodeSoak(directory=directory, seed=seed, checkouts=checkouts)
    try:
        await soak.start()
        await soak.run(duration_s)
    finally:
        await soak.stop()
    return soak


def main(
    *, seed: int = 1, minutes: float = 2.0, nodes: int = 6, earlier: pathlib.Path | None = None
) -> None:
    """Run the soak test; exits with 1 and keeps the logs if a check failed.

    :param seed: seed of the faults.
    :param minutes: duration of the load.
    :param nodes: number of nodes.
    :param earlier: checkout of an earlier build, which half of the nodes run.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix="jasmineseam-soak-"))
    builds = [ROOT_DIRECTORY, earlier.resolve() if earlier else ROOT_DIRECTORY]
    checkouts = [builds[index % 2] for index in range(nodes)]
    soak = asyncio.run(run_soak(directory, seed, minutes * 60, checkouts))
    print(*soak.fault_schedule, sep="\n")
    statuses = collections.Counter(record.status for record in soak.facts.requests.values())
    print(f"seed {seed}, {len(soak.facts.runs)} runs, statuses: {dict(statuses)}")
    if not soak.failures:
        shutil.rmtree(directory)
        print("no check failed")
        return
    print(*(f"FAILED: {failure}" for failure in soak.failures), sep="\n")
    print(f"settings and logs: {directory}")
    sys.exit(1)


if __name__ == "__main__":
    defopt.run(main, cli_options="all", short={})
