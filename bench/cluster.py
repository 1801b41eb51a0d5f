"""Starts and stops the programs and stand-ins of a whole deployment on loopback addresses."""

from __future__ import annotations

import collections
import contextlib
import json
import os
import pathlib
import select
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing as t
import urllib.request

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 40.0
LIFETIME_S = 1.0
_BIN = pathlib.Path(sys.executable).parent


class Vm:
    """One entry VM: its settings and its running programs."""

    def __init__(
        self, *, vm_id: str, address: str, advertised: str, seat: int, failure_domain: str
    ) -> None:
        self.vm_id = vm_id
        self.address = address
        self.advertised = advertised
        self.seat = seat
        self.failure_domain = failure_domain
        self.settings: dict[str, t.Any] = {}
        self.settings_file = pathlib.Path()
        self.programs: dict[str, subprocess.Popen] = {}

    @property
    def listed_address(self) -> str:
        """The agent's control address as the other VMs use it."""
        return f"{self.advertised}:{self.settings['agent']['control_port']}"

    @property
    def agent_address(self) -> str:
        """The agent's control address."""
        return f"{self.address}:{self.settings['agent']['control_port']}"

    @property
    def locator_address(self) -> str:
        """Where callers ask."""
        return f"{self.address}:{self.settings['locator']['http_port']}"

    @property
    def entry_address(self) -> str:
        """The control address of its entry process."""
        return f"{self.address}:{self.settings['entry']['processes'][0]['control_port']}"

    @property
    def http_address(self) -> str:
        """The address of its entry process for callers."""
        return f"{self.address}:{self.settings['entry']['processes'][0]['http_port']}"


class Servers:
    """One process of backend servers."""

    def __init__(self, *, service: str, process: subprocess.Popen, ready: dict) -> None:
        self.service = service
        self.process = process
        self.addresses: dict[str, str] = ready["servers"]
        self.admin = ready["admin"]
        self.oracle = ready["oracle"]


class Cluster:
    """All processes of one run; a context manager that ends every one of them."""

    def __init__(
        self, *, name: str, retention_s: float = 3600.0, seed: int = 1, relayed: bool = False
    ) -> None:
        self._relayed = relayed
        self._relays = ""
        self._network = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self._directory = tempfile.TemporaryDirectory(prefix=f"jasmineseam-{name}-")
        self.directory = pathlib.Path(self._directory.name)
        self._processes: list[subprocess.Popen] = []
        self._retention_s = retention_s
        self._seed = seed
        self._fatal = True
        self.vms: dict[str, Vm] = {}
        self.servers: list[Servers] = []
        self.listed: dict[str, dict[str, str]] = {}
        self.platform = ""

    def __enter__(self) -> Cluster:
        platform = self.start_standin(
            "platform",
            f"{self._network}.250",
            "--retention-s",
            str(self._retention_s),
            "--seed",
            str(self._seed),
        )
        self.platform = platform["address"]
        if self._relayed:
            self._relays = self.start_standin("relays", f"{self._network}.251")["address"]
        return self

    def __exit__(self, *exc_info: object) -> None:
        for process in self._processes:
            if process.poll() is not None:
                continue
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()
            if process.stdout is not None:
                process.stdout.close()
        self._directory.cleanup()

    @property
    def journal_file(self) -> pathlib.Path:
        """Where all servers write a line for each run."""
        return self.directory / "runs.journal"

    def start_servers(
        self, service: str, names: list[str], *options: str, replaced: Servers | None = None
    ) -> Servers:
        """Start one process of servers and list them.

        :param replaced: a killed one, whose addresses the new one takes.
        """
        host = f"{self._network}.{200 + len(self.servers)}"
        arguments = ["--names", *names, "--journal", str(self.journal_file), *options]
        if replaced is not None:
            host = next(iter(replaced.addresses.values())).partition(":")[0]
            ports = [one.partition(":")[2] for one in replaced.addresses.values()]
            arguments += ["--ports", *ports]
            self.servers.remove(replaced)
        ready = self.start_standin("servers", host, *arguments)
        servers = Servers(service=service, process=self._processes[-1], ready=ready)
        self.servers.append(servers)
        if replaced is not None:
            return servers
        for index, (name, address) in enumerate(servers.addresses.items()):
            self.listed[name] = {
                "vm_id": name,
                "role": "server",
                "address": address,
                "failure_domain": f"domain-{index % 3}",
                "service": service,
            }
        self.publish_list()
        return servers

    def start_plain(self, service: str) -> str:
        """Start and list a server that answers at once; returns its address."""
        address = self.start_standin("plain", f"{self._network}.252")["address"]
        self.listed[service] = {
            "vm_id": service,
            "role": "server",
            "address": address,
            "failure_domain": "domain-0",
            "service": service,
        }
        self.publish_list()
        return address

    def add_vm(self, index: int, seats: int, generation: int = 0, *, listed: bool = True) -> Vm:
        """Prepare a VM: its settings, and its place in the list; nothing is started."""
        suffix = f"-{generation}" if generation else ""
        vm = Vm(
            vm_id=f"vm-{index}{suffix}",
            address=f"{self._network}.{index + 1}",
            advertised=f"{self._network}.{index + 1 + (100 if self._relayed else 0)}",
            seat=index,
            failure_domain=f"domain-{index % 3}",
        )
        previous = self.vms.get(f"seat-{index}")
        ports = previous.settings if previous is not None else self._find_ports(vm.address)
        vm.settings = {
            "vm": {
                "id": vm.vm_id,
                "address": vm.address,
                "advertised_address": vm.advertised,
                "failure_domain": vm.failure_domain,
                "seat": index,
                "seats": seats,
            },
            "platform": {
                "log_url": f"http://{self.platform}",
                "vm_list_url": f"http://{self.platform}/vms",
                "retention_s": self._retention_s,
            },
            "agent": {"control_port": ports["agent"]["control_port"], "peers": []},
            "entry": {"processes": ports["entry"]["processes"], "stop_s": 10.0},
            "locator": {**ports["locator"], "lifetime_s": LIFETIME_S},
            "logs": {"level": "info"},
            "fatal_invariants": self._fatal,
        }
        if self._relayed:
            control = vm.settings["entry"]["processes"][0]["control_port"]
            order = {
                "advertised": vm.advertised,
                "address": vm.address,
                "ports": [vm.settings["agent"]["control_port"], control],
            }
            call(self._relays, "/open", order)
        self.vms[f"seat-{index}"] = vm
        self._write_settings()
        if listed:
            self.list_vm(vm)
        return vm

    def list_vm(self, vm: Vm, state: str = "live") -> None:
        """Put a VM into the platform's list."""
        self.listed[vm.vm_id] = {
            "vm_id": vm.vm_id,
            "role": "entry",
            "address": vm.listed_address,
            "failure_domain": vm.failure_domain,
            "state": state,
        }
        self.publish_list()

    def unlist(self, vm_id: str) -> None:
        """Take a VM out of the platform's list."""
        self.listed.pop(vm_id, None)
        self.publish_list()

    def publish_list(self) -> None:
        """Give the platform its newest list."""
        call(self.platform, "/admin/vms", {"vms": list(self.listed.values())})

    def cut_vm(self, vm: Vm, cut: bool) -> None:
        """Hold back all that the other VMs send to one, or let it go on."""
        call(self._relays, "/cut", {"advertised": vm.advertised, "cut": cut})

    def set_faults(self, **faults: t.Any) -> None:
        """Change what is wrong with the platform."""
        call(self.platform, "/admin/faults", faults)

    def start_vm(self, vm: Vm) -> None:
        """Start all programs of a VM."""
        for program in ("agent", "entry", "locator"):
            self.start_program(vm, program)

    def start_program(self, vm: Vm, program: str, command: list[str] | None = None) -> None:
        """Start one program of a VM; its log goes to a file."""
        arguments = [str(vm.settings_file)]
        if program == "entry":
            arguments.append("entry-0")
        command = command or [str(_BIN / f"jasmineseam-{program}")]
        log = (self.directory / f"{vm.vm_id}-{program}.log").open("ab")
        process = subprocess.Popen([*command, *arguments], stdout=log, stderr=log)
        log.close()
        vm.programs[program] = process
        self._processes.append(process)

    def kill_vm(self, vm: Vm) -> None:
        """Kill all programs of a VM."""
        for process in vm.programs.values():
            process.kill()
        for process in vm.programs.values():
            process.wait()

    def stop_vm(self, vm: Vm) -> None:
        """Stop all programs of a VM in the planned way, and wait for their end."""
        for process in vm.programs.values():
            process.terminate()
        for process in vm.programs.values():
            process.wait(STOP_TIMEOUT_S)

    def wait_until_named(self, count: int) -> None:
        """Wait until every running locator names a number of entries."""

        def is_named() -> bool:
            for vm in self.vms.values():
                locator = vm.programs.get("locator")
                if locator is None or locator.poll() is not None:
                    continue
                answer = call_quietly(vm.locator_address, "/v1/entries")
                if answer is None or len(answer["entries"]) < count:
                    return False
            return True

        wait_until(is_named, f"{count} entries named")

    def run_ctl(self, vm: Vm, *arguments: str) -> tuple[int, str]:
        """Run the operator's command with a VM's settings; returns exit code and output."""
        command, *rest = arguments
        done = subprocess.run(
            [str(_BIN / "jasmineseam-ctl"), command, str(vm.settings_file), *rest],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        return done.returncode, done.stdout or done.stderr

    def publish(self, vm: Vm, entry: dict[str, t.Any], *arguments: str) -> dict[str, t.Any]:
        """Publish a catalogue entry by the operator's command; returns its report."""
        path = self.directory / f"{entry['service']}-{time.monotonic_ns()}.json"
        path.write_text(json.dumps(entry))
        code, output = self.run_ctl(vm, "publish", str(path), "--json", *arguments)
        try:
            report = json.loads(output.strip().splitlines()[-1])
        except (ValueError, IndexError) as error:
            raise RuntimeError(f"publish ended with {code}: {output}") from error
        report["exit_code"] = code
        return report

    def dump(self, vm: Vm, address: str) -> dict[str, t.Any]:
        """Return the state of a process, by the operator's command."""
        code, output = self.run_ctl(vm, "dump", "--address", address)
        return json.loads(output) if code == 0 else {}

    def count_runs(self) -> collections.Counter[str]:
        """Return how often each request was run, by servers that were killed since, too."""
        if not self.journal_file.exists():
            return collections.Counter()
        return collections.Counter(self.journal_file.read_text().split())

    def set_behaviour(self, group: Servers, **changes: t.Any) -> None:
        """Change how servers behave; ``servers=[...]`` names them, or all of the process."""
        if group.process.poll() is None:
            call(group.admin, "/behaviour", changes)

    def read_journals(self) -> dict[str, dict[str, t.Any]]:
        """Return the journals of all servers that still run."""
        journals = {}
        for servers in self.servers:
            if servers.process.poll() is None:
                journals.update(call(servers.admin, "/journal"))
        return journals

    def read_logs(self) -> str:
        """Return the logs of all programs."""
        parts = []
        for path in sorted(self.directory.glob("*.log")):
            parts.append(f"--- {path.name}\n{path.read_text(errors='replace')}")
        return "\n".join(parts)

    def start_standin(self, *arguments: str) -> dict[str, t.Any]:
        """Start a stand-in and return the addresses that it prints."""
        process = subprocess.Popen(
            [sys.executable, "-m", "standins", *arguments],
            stdout=subprocess.PIPE,
            cwd=pathlib.Path(__file__).parent.parent,
        )
        self._processes.append(process)
        ready, _, _ = select.select([process.stdout], [], [], START_TIMEOUT_S)
        if not ready:
            raise TimeoutError(f"stand-in {arguments[0]} did not start")
        return json.loads(process.stdout.readline())

    def _find_ports(self, host: str) -> dict[str, t.Any]:
        sockets = []
        for _ in range(5):
            probe = socket.socket()
            probe.bind((host, 0))
            sockets.append(probe)
        ports = [probe.getsockname()[1] for probe in sockets]
        for probe in sockets:
            probe.close()
        process = {"name": "entry-0", "http_port": ports[1], "control_port": ports[2]}
        return {
            "agent": {"control_port": ports[0]},
            "entry": {"processes": [process]},
            "locator": {"http_port": ports[3], "control_port": ports[4]},
        }

    def _write_settings(self) -> None:
        peers = [vm.listed_address for vm in self.vms.values()]
        for vm in self.vms.values():
            vm.settings["agent"]["peers"] = [one for one in peers if one != vm.listed_address]
            vm.settings_file = self.directory / f"{vm.vm_id}.json"
            # a program that starts meanwhile must not read half a file
            new = vm.settings_file.with_suffix(".new")
            new.write_text(json.dumps(vm.settings, indent=1))
            new.replace(vm.settings_file)


def call(address: str, path: str, body: t.Any = None) -> t.Any:
    """Call a stand-in's or locator's HTTP address; a body makes it a POST."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data)
    with urllib.request.urlopen(request, timeout=10) as response:
        text = response.read()
    return json.loads(text) if text else None


def call_quietly(address: str, path: str) -> t.Any:
    """Call an address; ``None`` if that fails."""
    try:
        return call(address, path)
    except (OSError, ValueError):
        return None


def wait_until(holds: t.Callable[[], bool], what: str, timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait until a condition holds.

    :raises TimeoutError: if it does not in time.
    """
    deadline = time.monotonic() + timeout_s
    while not holds():
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {timeout_s} s: {what}")
        time.sleep(0.05)
