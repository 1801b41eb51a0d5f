"""Faults of the soak test. Each function injects a fault, ends it and returns its target."""

from __future__ import annotations

import random
import signal
import time
import typing as t

from .cluster import Cluster
from .cluster import ServerProcess
from .cluster import Vm

RESTART_DELAY_S = 0.7
DRAINING_TIME_S = 3.0
PROGRAMS = ("agent", "entry", "locator")


class FaultContext:
    """State that the faults of one sequence share.

    :param rng: source of the random numbers of the sequence.
    :param publish: publishes a number of concurrent changes of one catalogue entry.
    :param targets_in_use: ``id()`` of each VM and server process that a running fault acts on;
        shared by the contexts of all sequences, so that no target has two faults at once.

    The attribute ``generation`` numbers the replacements of VMs and servers, whose ids contain it.
    """

    def __init__(
        self,
        *,
        cluster: Cluster,
        rng: random.Random,
        publish: t.Callable[[int], None],
        targets_in_use: set[int],
    ) -> None:
        self._targets_in_use = targets_in_use
        self._own_targets: set[int] = set()
        self.cluster = cluster
        self.rng = rng
        self.publish = publish
        self.generation = 0

    def choose_vm(self) -> Vm:
        """Choose a VM at random and reserve it; waits until one is free."""
        return self._choose_target(lambda: list(self.cluster.vms.values()))

    def choose_server_process(self) -> ServerProcess:
        """Choose a server process at random and reserve it; waits until one is free."""
        return self._choose_target(lambda: list(self.cluster.server_processes))

    def release_targets(self) -> None:
        """Release the targets that the last fault reserved."""
        self._targets_in_use -= self._own_targets
        self._own_targets.clear()

    def _choose_target(self, list_targets: t.Callable[[], list]) -> t.Any:
        while True:
            free = [target for target in list_targets() if id(target) not in self._targets_in_use]
            if free:
                break
            time.sleep(0.1)
        target = self.rng.choice(free)
        self._targets_in_use.add(id(target))
        self._own_targets.add(id(target))
        return target


def kill_program(context: FaultContext) -> str:
    """Kill one program and restart it."""
    vm = context.choose_vm()
    program = context.rng.choice(PROGRAMS)
    process = vm.programs[program]
    process.kill()
    process.wait()
    time.sleep(RESTART_DELAY_S)
    context.cluster.start_program(vm, program)
    return f"{vm.vm_id}/{program}"


def kill_vm(context: FaultContext) -> str:
    """Kill a VM and replace it with another one at the same address."""
    vm = context.choose_vm()
    context.cluster.kill_vm(vm)
    _replace_vm(context, vm)
    return vm.vm_id


def stop_vm(context: FaultContext) -> str:
    """Stop a VM with SIGTERM and replace it."""
    vm = context.choose_vm()
    context.cluster.stop_vm(vm)
    _replace_vm(context, vm)
    return vm.vm_id


def stop_program(context: FaultContext) -> str:
    """Stop one program with SIGTERM and restart it."""
    vm = context.choose_vm()
    program = context.rng.choice(PROGRAMS)
    process = vm.programs[program]
    process.terminate()
    process.wait(30)
    context.cluster.start_program(vm, program)
    return f"{vm.vm_id}/{program}"


def pause_program(context: FaultContext) -> str:
    """Pause one program for longer than its failure detection timeout."""
    vm = context.choose_vm()
    program = context.rng.choice(PROGRAMS)
    _pause_programs(vm, [program], context.rng.uniform(1.0, 4.0))
    return f"{vm.vm_id}/{program}"


def pause_vm(context: FaultContext) -> str:
    """Pause all programs of a VM for longer than the lease of its seat."""
    vm = context.choose_vm()
    _pause_programs(vm, list(PROGRAMS), context.rng.uniform(2.0, 9.0))
    return vm.vm_id


def partition_vm(context: FaultContext) -> str:
    """Stop the delivery of data from other VMs to a VM.

    The VM can still connect to the other VMs and to the platform.
    """
    vm = context.choose_vm()
    context.cluster.set_vm_partitioned(vm, True)
    time.sleep(context.rng.uniform(1.0, 5.0))
    context.cluster.set_vm_partitioned(vm, False)
    return vm.vm_id


def make_log_unavailable(context: FaultContext) -> str:
    """Make the log unavailable for 2 to 6 s."""
    context.cluster.set_faults(log_down=True)
    time.sleep(context.rng.uniform(2.0, 6.0))
    context.cluster.set_faults(log_down=False)
    return "log"


def make_platform_unavailable(context: FaultContext) -> str:
    """Make the log and the VM list unavailable, and kill a VM in the meantime."""
    context.cluster.set_faults(log_down=True, list_down=True)
    detail = kill_vm(context)
    time.sleep(context.rng.uniform(1.0, 3.0))
    context.cluster.set_faults(log_down=False, list_down=False)
    return f"log and VM list, while {detail} is killed"


def slow_down_platform(context: FaultContext) -> str:
    """Delay the responses of the platform by 0.8 s."""
    context.cluster.set_faults(slow_s=0.8)
    time.sleep(context.rng.uniform(2.0, 4.0))
    context.cluster.set_faults(slow_s=0.0)
    return "0.8 s"


def lose_append_responses(context: FaultContext) -> str:
    """Drop 70 % of the responses to appends while an operator publishes a change."""
    context.cluster.set_faults(lose_answers=0.7)
    context.publish(1)
    context.cluster.set_faults(lose_answers=0.0)
    return "70 % of append responses"


def publish_concurrently(context: FaultContext) -> str:
    """Publish three concurrent changes of one entry."""
    context.publish(3)
    return "3 concurrent changes"


def drain_server(context: FaultContext) -> str:
    """Drain a server: it rejects new requests.

    Only the ``Backend-State`` and ``Backend-Refusal`` headers of its responses report that; the
    VM list does not change until the server is replaced.
    """
    server_process = context.choose_server_process()
    name = context.rng.choice(list(server_process.addresses))
    context.cluster.set_behaviour(server_process, servers=[name], draining=True)
    time.sleep(DRAINING_TIME_S)
    # the replacement at the same address has another id
    context.generation += 1
    list_item = context.cluster.vm_list.get(name)
    if list_item is not None:
        list_item["vm_id"] = f"{name.partition('+')[0]}+{context.generation}"
    context.cluster.set_behaviour(
        server_process, servers=[name], draining=False, cold_until_in_s=2.0
    )
    context.cluster.publish_vm_list()
    return name


def kill_server_process(context: FaultContext) -> str:
    """Kill a server process and restart it at the same addresses."""
    server_process = context.choose_server_process()
    server_process.process.kill()
    server_process.process.wait()
    time.sleep(RESTART_DELAY_S)
    names = list(server_process.addresses)
    context.cluster.start_servers(server_process.service, names, replaced=server_process)
    return ", ".join(names)


def corrupt_responses(context: FaultContext) -> str:
    """Truncate, swap and drop responses of the servers of a process, 10 % each.

    A swapped response carries the number of another attempt.
    """
    server_process = context.choose_server_process()
    fractions = {"cut": 0.1, "crossed": 0.1, "lost": 0.1}
    context.cluster.set_behaviour(server_process, **fractions)
    time.sleep(2.0)
    context.cluster.set_behaviour(server_process, **dict.fromkeys(fractions, 0.0))
    return ", ".join(server_process.addresses)


def slow_down_servers(context: FaultContext) -> str:
    """Make the servers of a process ten times slower, as noisy neighbours do."""
    server_process = context.choose_server_process()
    context.cluster.set_behaviour(server_process, slow_until_in_s=context.rng.uniform(0.3, 1.5))
    return ", ".join(server_process.addresses)


def make_server_fail_fast(context: FaultContext) -> str:
    """Make a server respond to all requests with an immediate error for 2 s."""
    server_process = context.choose_server_process()
    name = context.rng.choice(list(server_process.addresses))
    context.cluster.set_behaviour(server_process, servers=[name], fail_fast=True)
    time.sleep(2.0)
    context.cluster.set_behaviour(server_process, servers=[name], fail_fast=False)
    return name


def pause_server_process(context: FaultContext) -> str:
    """Pause a server process for 0.5 to 2 s."""
    server_process = context.choose_server_process()
    server_process.process.send_signal(signal.SIGSTOP)
    time.sleep(context.rng.uniform(0.5, 2.0))
    server_process.process.send_signal(signal.SIGCONT)
    return ", ".join(server_process.addresses)


FAULTS: list[t.Callable[[FaultContext], str]] = [
    kill_program,
    kill_vm,
    stop_vm,
    stop_program,
    pause_program,
    pause_vm,
    partition_vm,
    make_log_unavailable,
    make_platform_unavailable,
    slow_down_platform,
    lose_append_responses,
    publish_concurrently,
    drain_server,
    kill_server_process,
    corrupt_responses,
    slow_down_servers,
    make_server_fail_fast,
    pause_server_process,
]


def _pause_programs(vm: Vm, programs: list[str], duration_s: float) -> None:
    processes = [vm.programs[program] for program in programs]
    for process in processes:
        process.send_signal(signal.SIGSTOP)
    time.sleep(duration_s)
    for process in processes:
        process.send_signal(signal.SIGCONT)


def _replace_vm(context: FaultContext, vm: Vm) -> None:
    context.generation += 1
    seats = vm.settings["vm"]["seats"]
    context.cluster.remove_from_vm_list(vm.vm_id)
    replacement = context.cluster.add_vm(vm.seat, seats, context.generation)
    context.cluster.start_vm(replacement)
