"""The cost of one more entry, server, peer, change and request; docs/CAPACITY.md builds on it."""

from __future__ import annotations

import json
import os
import pathlib
import random
import subprocess
import sys
import time
import tracemalloc
import typing as t

import msgspec

from jasmineseam.catalogue.entry import CatalogueEntry
from jasmineseam.catalogue.records import Change
from jasmineseam.catalogue.records import encode_record
from jasmineseam.catalogue.records import join_checkpoint_parts
from jasmineseam.catalogue.records import split_snapshot
from jasmineseam.catalogue.state import Catalogue
from jasmineseam.membership.servers import Server
from jasmineseam.membership.servers import ServerMembership
from jasmineseam.membership.vms import EntryProcess
from jasmineseam.membership.vms import EntryVmMembership
from jasmineseam.membership.vms import VmInfo
from jasmineseam.peers.messages import Gossip
from jasmineseam.peers.messages import decode_message
from jasmineseam.peers.messages import encode_message
from jasmineseam.requests.idempotency_key import IdempotencyKey
from jasmineseam.requests.ledger import Ledger
from jasmineseam.requests.outcome import CallerResponse
from jasmineseam.routing.backends import Backend
from jasmineseam.routing.pool import ServerPool
from jasmineseam.routing.server_selection import make_server_selector

from .cluster import Cluster
from .cluster import call

COUNT = 2_000
IDLE_S = 10.0
LOAD_S = 8.0
LOAD_RATE = 800.0
RESULT = pathlib.Path(__file__).parent.parent / "docs" / "bench" / "slopes.json"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _measure_us(count: int, work: t.Callable[[], object]) -> float:
    began_at = time.process_time()
    work()
    return round((time.process_time() - began_at) / count * 1e6, 3)


def _measure_bytes(count: int, build: t.Callable[[], object]) -> float:
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return round(size / count)


def _make_payloads(count: int) -> list[str]:
    payloads = []
    for number in range(count):
        name = f"service-{number}"
        body = msgspec.to_builtins(CatalogueEntry(service=name, owner="owner@example"))
        change = Change(change_id=f"{number:032x}", service=name, base_revision=0, body=body)
        payloads.append(encode_record(change))
    return payloads


def _fold(payloads: list[str]) -> Catalogue:
    catalogue = Catalogue()
    for offset, payload in enumerate(payloads):
        catalogue.apply_record(offset, payload)
    return catalogue


def measure_catalogue() -> dict[str, float]:
    """Cost of one entry and of one change."""
    payloads = _make_payloads(COUNT)
    catalogue = _fold(payloads)
    parts = split_snapshot("c", catalogue.take_snapshot())
    encoded = [encode_record(part) for part in parts]
    return {
        "change_record_bytes": round(sum(map(len, payloads)) / COUNT),
        "change_fold_us": _measure_us(COUNT, lambda: _fold(payloads)),
        "entry_memory_bytes": _measure_bytes(COUNT, lambda: _fold(payloads)),
        "checkpoint_bytes_per_entry": round(sum(map(len, encoded)) / COUNT),
        "checkpoint_write_us_per_entry": _measure_us(
            COUNT, lambda: split_snapshot("c", catalogue.take_snapshot())
        ),
        "checkpoint_read_us_per_entry": _measure_us(COUNT, lambda: join_checkpoint_parts(parts)),
    }


def _make_servers(count: int) -> list[Server]:
    servers = []
    for number in range(count):
        servers.append(
            Server(
                server_id=f"vm-{number:06}",
                service=f"service-{number % (count // 6)}",
                address=f"10.0.{number // 250}.{number % 250}:8080",
                failure_domain=f"domain-{number % 9}",
            )
        )
    return servers


def measure_servers() -> dict[str, float]:
    """Cost of one known server, of one in use, and of one candidate of a choice."""
    listed = _make_servers(COUNT)
    encoded = msgspec.msgpack.encode(listed)

    def take() -> ServerMembership:
        servers = ServerMembership(clock=time.monotonic)
        servers.replace_servers(msgspec.msgpack.decode(encoded, type=list[Server]))
        return servers

    figures = {
        "server_wire_bytes": round(len(encoded) / COUNT),
        "server_memory_bytes": _measure_bytes(COUNT, take),
        "server_take_us": _measure_us(COUNT, take),
        "backend_memory_bytes": _measure_bytes(
            COUNT, lambda: [Backend(server=one, now=0.0) for one in listed]
        ),
    }
    choose = make_server_selector(rng=random.Random(1))
    for count in (8, 30):
        backends = [Backend(server=one, now=0.0, warm=True) for one in listed[:count]]
        for backend in backends:
            backend.start_request(99.99)
        figures[f"choose_among_{count}_us"] = _measure_us(
            COUNT, lambda chosen=backends: [choose(chosen, 100.0, 0.02) for _ in range(COUNT)]
        )
    entries = [CatalogueEntry(service=f"service-{n}", owner="o") for n in range(COUNT // 6)]
    servers = take()
    figures["pool_memory_bytes"] = _measure_bytes(
        len(entries),
        lambda: [ServerPool(entry=one, servers=servers, clock=time.monotonic) for one in entries],
    )
    return figures


def measure_peers() -> dict[str, float]:
    """Cost of one peer."""
    entry = EntryProcess(
        incarnation="0" * 16,
        http_address="10.0.0.1:8080",
        control_address="10.0.0.1:7100",
        key_prefix="0" * 18,
    )
    infos = []
    for number in range(COUNT):
        infos.append(
            VmInfo(
                vm_id=f"vm-{number}",
                incarnation="0" * 16,
                failure_domain="domain-1",
                agent_address="10.0.0.1:7000",
                seat=number,
                ready=True,
                entries=[entry, entry],
            )
        )
    gossip = Gossip(vm=infos[0], position=1, leaving=[], successors=[])
    encoded = encode_message(gossip)

    def hear() -> EntryVmMembership:
        vms = EntryVmMembership(clock=time.monotonic)
        for info in infos:
            vms.record_heartbeat(info)
        return vms

    def exchange() -> None:
        for _ in range(COUNT):
            decode_message(encode_message(gossip))

    return {
        "gossip_bytes": len(encoded),
        "gossip_codec_us": _measure_us(COUNT, exchange),
        "vm_memory_bytes": _measure_bytes(COUNT, hear),
    }


def measure_ledger() -> dict[str, float]:
    """Cost of one key."""
    keys = [IdempotencyKey(home="0" * 16, period=0, own_id=f"order-{n:08}") for n in range(COUNT)]

    def fill() -> Ledger:
        ledger = Ledger(home="0" * 16, clock=time.monotonic)
        for key in keys:
            ledger.claim_key(key, "f" * 32)
            ledger.record_response(key, CallerResponse(status=200, headers=[], body=bytes(200)))
        return ledger

    return {
        "key_us": _measure_us(COUNT, fill),
        "key_memory_bytes": _measure_bytes(COUNT, fill),
    }


def _read_cpu_s(process: subprocess.Popen) -> float:
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _read_rss_mb(process: subprocess.Popen) -> float:
    for line in pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0


def measure_programs() -> dict[str, float]:
    """Cost of the programs at rest with 6 VMs, and of one request at an entry and a locator."""
    figures: dict[str, float] = {}
    with Cluster(name="slopes") as cluster:
        cluster.start_plain("plain")
        vms = [cluster.add_vm(index, 6) for index in range(6)]
        for vm in vms:
            cluster.start_vm(vm)
        cluster.wait_until_named(6)
        limits = {"concurrency_per_server": 64, "rate_per_s": 1e6}
        cluster.publish(vms[0], {"service": "plain", "owner": "bench", "limits": limits})
        programs = vms[0].programs
        before = {name: _read_cpu_s(process) for name, process in programs.items()}
        time.sleep(IDLE_S)
        for name, process in programs.items():
            used_s = _read_cpu_s(process) - before[name]
            figures[f"{name}_idle_core_share"] = round(used_s / IDLE_S, 4)
            figures[f"{name}_rss_mb"] = _read_rss_mb(process)
        entry_before = _read_cpu_s(programs["entry"])
        arguments = ["--rate", str(LOAD_RATE), "--seconds", str(LOAD_S), "--warm-s", "0"]
        arguments += ["--service", "plain", "--entries", vms[0].http_address]
        command = [sys.executable, "-m", "bench.load", *arguments]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
        idle_s = figures["entry_idle_core_share"] * LOAD_S
        used_s = _read_cpu_s(programs["entry"]) - entry_before - idle_s
        figures["entry_request_us"] = round(used_s / (LOAD_RATE * LOAD_S) * 1e6, 1)
        locator_before = _read_cpu_s(programs["locator"])
        for _ in range(COUNT):
            call(vms[0].locator_address, "/v1/entries")
        used_s = _read_cpu_s(programs["locator"]) - locator_before
        figures["locator_answer_us"] = round(used_s / COUNT * 1e6, 1)
    return figures


def main() -> None:
    """Run, print and keep the figures."""
    figures: dict[str, float] = {}
    for measure in (
        measure_catalogue,
        measure_servers,
        measure_peers,
        measure_ledger,
        measure_programs,
    ):
        figures.update(measure())
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text(json.dumps(figures, indent=1) + "\n")
    for name, value in figures.items():
        print(f"{name:32} {value}")


if __name__ == "__main__":
    main()
