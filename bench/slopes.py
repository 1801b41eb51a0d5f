"""Measures the cost of each additional entry, server, peer, change, key and request.

The capacity estimates in docs/CAPACITY.md use these results.
"""

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
from .cluster import send_json_request

ITEM_COUNT = 2_000
IDLE_DURATION_S = 10.0
LOAD_DURATION_S = 8.0
LOAD_REQUESTS_PER_S = 800.0
RESULT_PATH = pathlib.Path(__file__).parent.parent / "docs" / "bench" / "slopes.json"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def _measure_cpu_us(count: int, run: t.Callable[[], object]) -> float:
    started_at = time.process_time()
    run()
    return round((time.process_time() - started_at) / count * 1e6, 3)


def _measure_memory_bytes(count: int, build: t.Callable[[], object]) -> float:
    tracemalloc.start()
    built = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return round(size / count)


def _make_payloads(count: int) -> list[str]:
    payloads = []
    for number in range(count):
        name = f"service-{number}"
        body = msgspec.to_builtins(CatalogueEntry(service=name, owner="owner@example"))
        change = Change(change_id=f"{number:032x}", service=name, base_revision=0, body=body)
        payloads.append(encode_record(change))
    return payloads


def _apply_records(payloads: list[str]) -> Catalogue:
    catalogue = Catalogue()
    for offset, payload in enumerate(payloads):
        catalogue.apply_record(offset, payload)
    return catalogue


def measure_catalogue() -> dict[str, float]:
    """Measure the cost of one catalogue entry and of one change."""
    payloads = _make_payloads(ITEM_COUNT)
    catalogue = _apply_records(payloads)
    parts = split_snapshot("c", catalogue.take_snapshot())
    encoded = [encode_record(part) for part in parts]
    return {
        "change_record_bytes": round(sum(map(len, payloads)) / ITEM_COUNT),
        "change_fold_us": _measure_cpu_us(ITEM_COUNT, lambda: _apply_records(payloads)),
        "entry_memory_bytes": _measure_memory_bytes(ITEM_COUNT, lambda: _apply_records(payloads)),
        "checkpoint_bytes_per_entry": round(sum(map(len, encoded)) / ITEM_COUNT),
        "checkpoint_write_us_per_entry": _measure_cpu_us(
            ITEM_COUNT, lambda: split_snapshot("c", catalogue.take_snapshot())
        ),
        "checkpoint_read_us_per_entry": _measure_cpu_us(
            ITEM_COUNT, lambda: join_checkpoint_parts(parts)
        ),
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
    """Measure the cost of one server in the membership, in a pool and in a server selection."""
    listed = _make_servers(ITEM_COUNT)
    encoded = msgspec.msgpack.encode(listed)

    def build_membership() -> ServerMembership:
        servers = ServerMembership(clock=time.monotonic)
        servers.replace_servers(msgspec.msgpack.decode(encoded, type=list[Server]))
        return servers

    figures = {
        "server_wire_bytes": round(len(encoded) / ITEM_COUNT),
        "server_memory_bytes": _measure_memory_bytes(ITEM_COUNT, build_membership),
        "server_take_us": _measure_cpu_us(ITEM_COUNT, build_membership),
        "backend_memory_bytes": _measure_memory_bytes(
            ITEM_COUNT, lambda: [Backend(server=server, now=0.0) for server in listed]
        ),
    }
    select = make_server_selector(rng=random.Random(1))
    for count in (8, 30):
        backends = [
            Backend(server=server, now=0.0, skip_slow_start=True) for server in listed[:count]
        ]
        for backend in backends:
            backend.start_request(99.99)
        figures[f"choose_among_{count}_us"] = _measure_cpu_us(
            ITEM_COUNT,
            lambda candidates=backends: [
                select(candidates, 100.0, 0.02) for _ in range(ITEM_COUNT)
            ],
        )
    entries = [CatalogueEntry(service=f"service-{n}", owner="o") for n in range(ITEM_COUNT // 6)]
    servers = build_membership()
    figures["pool_memory_bytes"] = _measure_memory_bytes(
        len(entries),
        lambda: [
            ServerPool(entry=entry, servers=servers, clock=time.monotonic) for entry in entries
        ],
    )
    return figures


def measure_peers() -> dict[str, float]:
    """Measure the cost of one peer."""
    entry = EntryProcess(
        incarnation="0" * 16,
        http_address="10.0.0.1:8080",
        control_address="10.0.0.1:7100",
        key_prefix="0" * 18,
    )
    infos = []
    for number in range(ITEM_COUNT):
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

    def record_heartbeats() -> EntryVmMembership:
        vms = EntryVmMembership(clock=time.monotonic)
        for info in infos:
            vms.record_heartbeat(info)
        return vms

    def encode_and_decode() -> None:
        for _ in range(ITEM_COUNT):
            decode_message(encode_message(gossip))

    return {
        "gossip_bytes": len(encoded),
        "gossip_codec_us": _measure_cpu_us(ITEM_COUNT, encode_and_decode),
        "vm_memory_bytes": _measure_memory_bytes(ITEM_COUNT, record_heartbeats),
    }


def measure_ledger() -> dict[str, float]:
    """Measure the cost of one idempotency key in the ledger."""
    keys = [
        IdempotencyKey(home="0" * 16, period=0, own_id=f"order-{n:08}") for n in range(ITEM_COUNT)
    ]

    def fill_ledger() -> Ledger:
        ledger = Ledger(home="0" * 16, clock=time.monotonic)
        for key in keys:
            ledger.claim_key(key, "f" * 32)
            ledger.record_response(key, CallerResponse(status=200, headers=[], body=bytes(200)))
        return ledger

    return {
        "key_us": _measure_cpu_us(ITEM_COUNT, fill_ledger),
        "key_memory_bytes": _measure_memory_bytes(ITEM_COUNT, fill_ledger),
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
    """Measure the cost of the programs and of one request at an entry and at a locator.

    The cost of the programs is measured without requests, with 6 VMs.
    """
    figures: dict[str, float] = {}
    with Cluster(name="slopes") as cluster:
        cluster.start_plain_server("plain")
        vms = [cluster.add_vm(index, 6) for index in range(6)]
        for vm in vms:
            cluster.start_vm(vm)
        cluster.wait_until_entries_listed(6)
        limits = {"concurrency_per_server": 64, "rate_per_s": 1e6}
        cluster.publish(vms[0], {"service": "plain", "owner": "bench", "limits": limits})
        programs = vms[0].programs
        before = {name: _read_cpu_s(process) for name, process in programs.items()}
        time.sleep(IDLE_DURATION_S)
        for name, process in programs.items():
            used_s = _read_cpu_s(process) - before[name]
            figures[f"{name}_idle_core_share"] = round(used_s / IDLE_DURATION_S, 4)
            figures[f"{name}_rss_mb"] = _read_rss_mb(process)
        entry_before = _read_cpu_s(programs["entry"])
        arguments = [
            "--rate",
            str(LOAD_REQUESTS_PER_S),
            "--seconds",
            str(LOAD_DURATION_S),
            "--warm-s",
            "0",
        ]
        arguments += ["--service", "plain", "--entries", vms[0].http_address]
        command = [sys.executable, "-m", "bench.load", *arguments]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
        idle_s = figures["entry_idle_core_share"] * LOAD_DURATION_S
        used_s = _read_cpu_s(programs["entry"]) - entry_before - idle_s
        figures["entry_request_us"] = round(
            used_s / (LOAD_REQUESTS_PER_S * LOAD_DURATION_S) * 1e6, 1
        )
        locator_before = _read_cpu_s(programs["locator"])
        for _ in range(ITEM_COUNT):
            send_json_request(vms[0].locator_address, "/v1/entries")
        used_s = _read_cpu_s(programs["locator"]) - locator_before
        figures["locator_answer_us"] = round(used_s / ITEM_COUNT * 1e6, 1)
    return figures


def main() -> None:
    """Run all measurements, save the results and print them."""
    figures: dict[str, float] = {}
    for measure in (
        measure_catalogue,
        measure_servers,
        measure_peers,
        measure_ledger,
        measure_programs,
    ):
        figures.update(measure())
    RESULT_PATH.parent.mkdir(parents=True, exist_ok=True)
    RESULT_PATH.write_text(json.dumps(figures, indent=1) + "\n")
    for name, value in figures.items():
        print(f"{name:32} {value}")


if __name__ == "__main__":
    main()
