"""Start and stop the programs and stand-ins of a deployment on loopback addresses."""

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
LOCATOR_RESPONSE_LIFETIME_S = 1.0
_BIN = pathlib.Path(sys.executable).parent


class Vm:
    """Settings and running programs of one entry VM.

    :param address: IP address that the programs of the VM bind.
    :param advertised_address: IP address at which the other VMs reach it; it differs from
        ``address`` if connections go through a relay.
    """

    def __init__(
        self, *, vm_id: str, address: str, advertised_address: str, seat: int, failure_domain: str
    ) -> None:
        self.vm_id = vm_id
        self.address = address
        self.advertised_address = advertised_address
        self.seat = seat
        self.failure_domain = failure_domain
        self.settings: dict[str, t.Any] = {}
        self.settings_path = pathlib.Path()
        self.programs: dict[str, subprocess.Popen] = {}

    @property
    def advertised_agent_address(self) -> str:
        """The control address of the agent at which other VMs reach it."""
        return f"{self.advertised_address}:{self.settings['agent']['control_port']}"

    @property
    def agent_address(self) -> str:
        """The control address of the agent."""
        return f"{self.address}:{self.settings['agent']['control_port']}"

    @property
    def locator_address(self) -> str:
        """The HTTP address of the locator."""
        return f"{self.address}:{self.settings['locator']['http_port']}"

    @property
    def entry_address(self) -> str:
        """The control address of the entry process."""
        return f"{self.address}:{self.settings['entry']['processes'][0]['control_port']}"

    @property
    def http_address(self) -> str:
        """The HTTP address of the entry process."""
        return f"{self.address}:{self.settings['entry']['processes'][0]['http_port']}"


class ServerProcess:
    """A process that runs one or more stand-in backend servers.

    :param endpoints: addresses that the process printed when it started.
    """

    def __init__(self, *, service: str, process: subprocess.Popen, endpoints: dict) -> None:
        self.service = service
        self.process = process
        self.addresses: dict[str, str] = endpoints["servers"]
        self.admin_address = endpoints["admin"]
        self.oracle_address = endpoints["oracle"]


class Cluster:
    """All processes of one run. As a context manager, it kills them on exit.

    :param name: part of the name of the temporary directory.
    :param retention_s: time for which the log of the platform keeps records, in seconds.
    :param seed: seed of the platform stand-in.
    :param use_relays: whether connections between VMs go through relays, which
        :meth:`set_vm_partitioned` needs.
    """

    def __init__(
        self, *, name: str, retention_s: float = 3600.0, seed: int = 1, use_relays: bool = False
    ) -> None:
        self._use_relays = use_relays
        self._relays_address = ""
        self._network = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self._temporary_directory = tempfile.TemporaryDirectory(prefix=f"jasmineseam-{name}-")
        self.directory = pathlib.Path(self._temporary_directory.name)
        self._processes: list[subprocess.Popen] = []
        self._retention_s = retention_s
        self._seed = seed
        self._fatal_invariants = True
        self.vms: dict[str, Vm] = {}
        self.server_processes: list[ServerProcess] = []
        self.vm_list: dict[str, dict[str, str]] = {}
        self.platform_address = ""

    def __enter__(self) -> Cluster:
        platform = self.start_standin(
            "platform",
            f"{self._network}.250",
            "--retention-s",
            str(self._retention_s),
            "--seed",
            str(self._seed),
        )
        self.platform_address = platform["address"]
        if self._use_relays:
            self._relays_address = self.start_standin("relays", f"{self._network}.251")["address"]
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
        self._temporary_directory.cleanup()

    @property
    def execution_journal_path(self) -> pathlib.Path:
        """The file to which the servers append the id of each request that they execute."""
        return self.directory / "runs.journal"

    def start_servers(
        self, service: str, names: list[str], *options: str, replaced: ServerProcess | None = None
    ) -> ServerProcess:
        """Start a process of servers and add its servers to the VM list.

        :param options: further command line options of the stand-in.
        :param replaced: killed process whose addresses the new process binds; its servers are
            still in the VM list.
        """
        host = f"{self._network}.{200 + len(self.server_processes)}"
        arguments = ["--names", *names, "--journal", str(self.execution_journal_path), *options]
        if replaced is not None:
            host = next(iter(replaced.addresses.values())).partition(":")[0]
            ports = [address.partition(":")[2] for address in replaced.addresses.values()]
            arguments += ["--ports", *ports]
            self.server_processes.remove(replaced)
        endpoints = self.start_standin("servers", host, *arguments)
        server_process = ServerProcess(
            service=service, process=self._processes[-1], endpoints=endpoints
        )
        self.server_processes.append(server_process)
        if replaced is not None:
            return server_process
        for index, (name, address) in enumerate(server_process.addresses.items()):
            self.vm_list[name] = {
                "vm_id": name,
                "role": "server",
                "address": address,
                "failure_domain": f"domain-{index % 3}",
                "service": service,
            }
        self.publish_vm_list()
        return server_process

    def start_plain_server(self, service: str) -> str:
        """Start a server that responds without delay and add it to the VM list.

        Returns the address of the server.
        """
        address = self.start_standin("plain", f"{self._network}.252")["address"]
        self.vm_list[service] = {
            "vm_id": service,
            "role": "server",
            "address": address,
            "failure_domain": "domain-0",
            "service": service,
        }
        self.publish_vm_list()
        return address

    def add_vm(self, index: int, seats: int, generation: int = 0, *, listed: bool = True) -> Vm:
        """Write the settings of a VM without starting its programs.

        :param index: seat of the VM; replaces the VM in that seat and keeps its ports.
        :param seats: number of seats of the deployment.
        :param generation: distinguishes the id of a replacement from earlier VMs in the seat.
        :param listed: whether to add the VM to the VM list.
        """
        suffix = f"-{generation}" if generation else ""
        vm = Vm(
            vm_id=f"vm-{index}{suffix}",
            address=f"{self._network}.{index + 1}",
            advertised_address=f"{self._network}.{index + 1 + (100 if self._use_relays else 0)}",
            seat=index,
            failure_domain=f"domain-{index % 3}",
        )
        previous = self.vms.get(f"seat-{index}")
        ports = previous.settings if previous is not None else self._find_free_ports(vm.address)
        vm.settings = {
            "vm": {
                "id": vm.vm_id,
                "address": vm.address,
                "advertised_address": vm.advertised_address,
                "failure_domain": vm.failure_domain,
                "seat": index,
                "seats": seats,
            },
            "platform": {
                "log_url": f"http://{self.platform_address}",
                "vm_list_url": f"http://{self.platform_address}/vms",
                "retention_s": self._retention_s,
            },
            "agent": {"control_port": ports["agent"]["control_port"], "peers": []},
            "entry": {"processes": ports["entry"]["processes"], "stop_s": 10.0},
            "locator": {**ports["locator"], "lifetime_s": LOCATOR_RESPONSE_LIFETIME_S},
            "logs": {"level": "info"},
            "fatal_invariants": self._fatal_invariants,
        }
        if self._use_relays:
            control = vm.settings["entry"]["processes"][0]["control_port"]
            relay = {
                "advertised": vm.advertised_address,
                "address": vm.address,
                "ports": [vm.settings["agent"]["control_port"], control],
            }
            send_json_request(self._relays_address, "/open", relay)
        self.vms[f"seat-{index}"] = vm
        self._write_settings()
        if listed:
            self.add_to_vm_list(vm)
        return vm

    def add_to_vm_list(self, vm: Vm, state: str = "live") -> None:
        """Add a VM to the VM list of the platform, or update its state there."""
        self.vm_list[vm.vm_id] = {
            "vm_id": vm.vm_id,
            "role": "entry",
            "address": vm.advertised_agent_address,
            "failure_domain": vm.failure_domain,
            "state": state,
        }
        self.publish_vm_list()

    def remove_from_vm_list(self, vm_id: str) -> None:
        """Remove a VM from the VM list of the platform."""
        self.vm_list.pop(vm_id, None)
        self.publish_vm_list()

    def publish_vm_list(self) -> None:
        """Send the current VM list to the platform stand-in."""
        send_json_request(
            self.platform_address, "/admin/vms", {"vms": list(self.vm_list.values())}
        )

    def set_vm_partitioned(self, vm: Vm, partitioned: bool) -> None:
        """Stop or resume the delivery of data from the other VMs to a VM."""
        send_json_request(
            self._relays_address, "/cut", {"advertised": vm.advertised_address, "cut": partitioned}
        )

    def set_faults(self, **faults: t.Any) -> None:
        """Set the faults that the platform stand-in injects."""
        send_json_request(self.platform_address, "/admin/faults", faults)

    def start_vm(self, vm: Vm) -> None:
        """Start all programs of a VM."""
        for program in ("agent", "entry", "locator"):
            self.start_program(vm, program)

    def start_program(self, vm: Vm, program: str, command: list[str] | None = None) -> None:
        """Start one program of a VM; its output goes to a file.

        :param command: replaces the installed command of the program.
        """
        arguments = [str(vm.settings_path)]
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
        """Stop all programs of a VM with SIGTERM and wait until they exit."""
        for process in vm.programs.values():
            process.terminate()
        for process in vm.programs.values():
            process.wait(STOP_TIMEOUT_S)

    def wait_until_entries_listed(self, count: int) -> None:
        """Wait until every running locator returns at least a number of entries.

        :raises TimeoutError: if a locator still returns fewer after ``START_TIMEOUT_S``.
        """

        def are_entries_listed() -> bool:
            for vm in self.vms.values():
                locator = vm.programs.get("locator")
                if locator is None or locator.poll() is not None:
                    continue
                response = try_json_request(vm.locator_address, "/v1/entries")
                if response is None or len(response["entries"]) < count:
                    return False
            return True

        wait_until(are_entries_listed, f"every running locator returns at least {count} entries")

    def run_ctl(self, vm: Vm, *arguments: str) -> tuple[int, str]:
        """Run ``jasmineseam-ctl`` with the settings of a VM; returns exit code and output."""
        command, *rest = arguments
        completed = subprocess.run(
            [str(_BIN / "jasmineseam-ctl"), command, str(vm.settings_path), *rest],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        return completed.returncode, completed.stdout or completed.stderr

    def publish(self, vm: Vm, entry: dict[str, t.Any], *arguments: str) -> dict[str, t.Any]:
        """Publish a catalogue entry with ``jasmineseam-ctl``; returns its report.

        The exit code is added to the report.
        """
        path = self.directory / f"{entry['service']}-{time.monotonic_ns()}.json"
        path.write_text(json.dumps(entry))
        code, output = self.run_ctl(vm, "publish", str(path), "--json", *arguments)
        try:
            report = json.loads(output.strip().splitlines()[-1])
        except (ValueError, IndexError) as error:
            raise RuntimeError(
                f"publish exited with code {code} and no JSON report: {output}"
            ) from error
        report["exit_code"] = code
        return report

    def dump(self, vm: Vm, address: str) -> dict[str, t.Any]:
        """Return the state of a process from ``jasmineseam-ctl dump``; empty if that fails."""
        code, output = self.run_ctl(vm, "dump", "--address", address)
        return json.loads(output) if code == 0 else {}

    def count_executions(self) -> collections.Counter[str]:
        """Return the number of executions by request id.

        Executions by servers that have been killed in the meantime are included.
        """
        if not self.execution_journal_path.exists():
            return collections.Counter()
        return collections.Counter(self.execution_journal_path.read_text().split())

    def set_behaviour(self, server_process: ServerProcess, **changes: t.Any) -> None:
        """Change the simulated behaviour of the servers of a process, if it still runs.

        :param changes: new values of attributes of the stand-in's behaviour; ``servers=[...]``
            limits the change to some servers of the process.
        """
        if server_process.process.poll() is None:
            send_json_request(server_process.admin_address, "/behaviour", changes)

    def read_server_journals(self) -> dict[str, dict[str, t.Any]]:
        """Return the journals of all running servers, by server id.

        A journal holds the number of requests and the times of the probes that a server received.
        """
        journals = {}
        for server_process in self.server_processes:
            if server_process.process.poll() is None:
                journals.update(send_json_request(server_process.admin_address, "/journal"))
        return journals

    def read_logs(self) -> str:
        """Return the logs of all programs."""
        parts = []
        for path in sorted(self.directory.glob("*.log")):
            parts.append(f"--- {path.name}\n{path.read_text(errors='replace')}")
        return "\n".join(parts)

    def start_standin(self, *arguments: str) -> dict[str, t.Any]:
        """Start a stand-in and return the addresses that it prints.

        :raises TimeoutError: if it prints no addresses within ``START_TIMEOUT_S``.
        """
        process = subprocess.Popen(
            [sys.executable, "-m", "standins", *arguments],
            stdout=subprocess.PIPE,
            cwd=pathlib.Path(__file__).parent.parent,
        )
        self._processes.append(process)
        ready, _, _ = select.select([process.stdout], [], [], START_TIMEOUT_S)
        if not ready:
            raise TimeoutError(f"stand-in {arguments[0]} did not print its addresses in time")
        return json.loads(process.stdout.readline())

    def _find_free_ports(self, host: str) -> dict[str, t.Any]:
        sockets = []
        for _ in range(5):
            bound_socket = socket.socket()
            bound_socket.bind((host, 0))
            sockets.append(bound_socket)
        ports = [bound_socket.getsockname()[1] for bound_socket in sockets]
        for bound_socket in sockets:
            bound_socket.close()
        process = {"name": "entry-0", "http_port": ports[1], "control_port": ports[2]}
        return {
            "agent": {"control_port": ports[0]},
            "entry": {"processes": [process]},
            "locator": {"http_port": ports[3], "control_port": ports[4]},
        }

    def _write_settings(self) -> None:
        addresses = [vm.advertised_agent_address for vm in self.vms.values()]
        for vm in self.vms.values():
            vm.settings["agent"]["peers"] = [
                address for address in addresses if address != vm.advertised_agent_address
            ]
            vm.settings_path = self.directory / f"{vm.vm_id}.json"
            # renamed when complete, so that a program that starts now does not read a partial file
            new_path = vm.settings_path.with_suffix(".new")
            new_path.write_text(json.dumps(vm.settings, indent=1))
            new_path.replace(vm.settings_path)


def send_json_request(address: str, path: str, body: t.Any = None) -> t.Any:
    """Send a request to a stand-in or locator and return the decoded JSON response.

    :param body: if not ``None``, sent as JSON with POST instead of GET.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data)
    with urllib.request.urlopen(request, timeout=10) as response:
        text = response.read()
    return json.loads(text) if text else None


def try_json_request(address: str, path: str) -> t.Any:
    """Send a GET request and return the decoded JSON response, or ``None`` on failure."""
    try:
        return send_json_request(address, path)
    except (OSError, ValueError):
        return None


def wait_until(
    condition: t.Callable[[], bool], description: str, timeout_s: float = START_TIMEOUT_S
) -> None:
    """Wait until a condition holds.

    :param description: names the condition in the error.
    :raises TimeoutError: if it does not hold within ``timeout_s`` seconds.
    """
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"condition not met within {timeout_s} s: {description}")
        time.sleep(0.05)
