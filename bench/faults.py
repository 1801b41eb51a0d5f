"""The faults that a soak draws from its seed, and how each is inflicted and mended."""

from __future__ import annotations

import random
import signal
import time
import typing as t

from .cluster import Cluster
from .cluster import Servers
from .cluster import Vm

RESTART_S = 0.7
LEAVE_S = 3.0
PROGRAMS = ("agent", "entry", "locator")


class FaultContext:
    """What a fault may act upon.

    :param publish: publishes racing changes of the catalogue, that many at once.
    :param busy: targets of faults that go on, shared by all contexts of a run.
    """

    def __init__(
        self,
        *,
        cluster: Cluster,
        chooser: random.Random,
        publish: t.Callable[[int], None],
        busy: set[int],
    ) -> None:
        self._busy = busy
        self._held: set[int] = set()
        self.cluster = cluster
        self.random = chooser
        self.publish = publish
        self.generation = 0

    def pick_vm(self) -> Vm:
        """Draw a VM."""
        return self._pick(lambda: list(self.cluster.vms.values()))

    def pick_servers(self) -> Servers:
        """Draw a process of servers."""
        return self._pick(lambda: list(self.cluster.servers))

    def release(self) -> None:
        """Free the targets of a fault that has ended."""
        self._busy -= self._held
        self._held.clear()

    def _pick(self, list_targets: t.Callable[[], list]) -> t.Any:
        while True:
            free = [one for one in list_targets() if id(one) not in self._busy]
            if free:
                break
            time.sleep(0.1)
        target = self.random.choice(free)
        self._busy.add(id(target))
        self._held.add(id(target))
        return target


def kill_program(context: FaultContext) -> str:
    """Kill one program, and start it again."""
    vm = context.pick_vm()
    program = context.random.choice(PROGRAMS)
    process = vm.programs[program]
    process.kill()
    process.wait()
    time.sleep(RESTART_S)
    context.cluster.start_program(vm, program)
    return f"{vm.vm_id}/{program}"


def kill_vm(context: FaultContext) -> str:
    """Kill a VM, and replace it by another one under the same address."""
    vm = context.pick_vm()
    context.cluster.kill_vm(vm)
    _replace(context, vm)
    return vm.vm_id


def stop_vm(context: FaultContext) -> str:
    """Stop a VM in the planned way, and replace it."""
    vm = context.pick_vm()
    context.cluster.stop_vm(vm)
    _replace(context, vm)
    return vm.vm_id


def stop_program(context: FaultContext) -> str:
    """Stop one program in the planned way, and start it again."""
    vm = context.pick_vm()
    program = context.random.choice(PROGRAMS)
    process = vm.programs[program]
    process.terminate()
    process.wait(30)
    context.cluster.start_program(vm, program)
    return f"{vm.vm_id}/{program}"


def freeze_program(context: FaultContext) -> str:
    """Freeze one program for longer than it is taken to be alive."""
    vm = context.pick_vm()
    program = context.random.choice(PROGRAMS)
    _freeze(vm, [program], context.random.uniform(1.0, 4.0))
    return f"{vm.vm_id}/{program}"


def freeze_vm(context: FaultContext) -> str:
    """Freeze a VM for longer than the seat's lease."""
    vm = context.pick_vm()
    _freeze(vm, list(PROGRAMS), context.random.uniform(2.0, 9.0))
    return vm.vm_id


def cut_vm(context: FaultContext) -> str:
    """Cut a VM off from what the others send; it still reaches them and the platform."""
    vm = context.pick_vm()
    context.cluster.cut_vm(vm, True)
    time.sleep(context.random.uniform(1.0, 5.0))
    context.cluster.cut_vm(vm, False)
    return vm.vm_id


def cut_log(context: FaultContext) -> str:
    """Take the log away for a while."""
    context.cluster.set_faults(log_down=True)
    time.sleep(context.random.uniform(2.0, 6.0))
    context.cluster.set_faults(log_down=False)
    return "log"


def cut_platform(context: FaultContext) -> str:
    """Take log and list away, and kill a VM meanwhile."""
    context.cluster.set_faults(log_down=True, list_down=True)
    detail = kill_vm(context)
    time.sleep(context.random.uniform(1.0, 3.0))
    context.cluster.set_faults(log_down=False, list_down=False)
    return f"log and list, without {detail}"


def slow_platform(context: FaultContext) -> str:
    """Let the platform answer late."""
    context.cluster.set_faults(slow_s=0.8)
    time.sleep(context.random.uniform(2.0, 4.0))
    context.cluster.set_faults(slow_s=0.0)
    return "0.8 s"


def lose_answers(context: FaultContext) -> str:
    """Lose the answers to most appends, while operators publish."""
    context.cluster.set_faults(lose_answers=0.7)
    context.publish(1)
    context.cluster.set_faults(lose_answers=0.0)
    return "70 % of appends"


def race_operators(context: FaultContext) -> str:
    """Let three operators change the same entry at once."""
    context.publish(3)
    return "3 at once"


def drain_server(context: FaultContext) -> str:
    """Stop a server in the planned way: it refuses new work; only its own word tells of it."""
    servers = context.pick_servers()
    name = context.random.choice(list(servers.addresses))
    context.cluster.set_behaviour(servers, servers=[name], draining=True)
    time.sleep(LEAVE_S)
    # its replacement at the same address has another id
    context.generation += 1
    listed = context.cluster.listed.get(name)
    if listed is not None:
        listed["vm_id"] = f"{name.partition('+')[0]}+{context.generation}"
    context.cluster.set_behaviour(servers, servers=[name], draining=False, cold_until_in_s=2.0)
    context.cluster.publish_list()
    return name


def kill_servers(context: FaultContext) -> str:
    """Kill a process of servers, and start it again at the same addresses."""
    servers = context.pick_servers()
    servers.process.kill()
    servers.process.wait()
    time.sleep(RESTART_S)
    names = list(servers.addresses)
    context.cluster.start_servers(servers.service, names, replaced=servers)
    return ", ".join(names)


def spoil_answers(context: FaultContext) -> str:
    """Cut, cross and lose answers of some servers."""
    servers = context.pick_servers()
    spoiled = {"cut": 0.1, "crossed": 0.1, "lost": 0.1}
    context.cluster.set_behaviour(servers, **spoiled)
    time.sleep(2.0)
    context.cluster.set_behaviour(servers, **dict.fromkeys(spoiled, 0.0))
    return ", ".join(servers.addresses)


def slow_servers(context: FaultContext) -> str:
    """Slow some servers down ten times, as noisy neighbours would."""
    servers = context.pick_servers()
    context.cluster.set_behaviour(servers, slow_until_in_s=context.random.uniform(0.3, 1.5))
    return ", ".join(servers.addresses)


def fail_fast(context: FaultContext) -> str:
    """Let a server answer errors at once."""
    servers = context.pick_servers()
    name = context.random.choice(list(servers.addresses))
    context.cluster.set_behaviour(servers, servers=[name], fail_fast=True)
    time.sleep(2.0)
    context.cluster.set_behaviour(servers, servers=[name], fail_fast=False)
    return name


def freeze_servers(context: FaultContext) -> str:
    """Freeze a process of servers."""
    servers = context.pick_servers()
    servers.process.send_signal(signal.SIGSTOP)
    time.sleep(context.random.uniform(0.5, 2.0))
    servers.process.send_signal(signal.SIGCONT)
    return ", ".join(servers.addresses)


FAULTS: list[t.Callable[[FaultContext], str]] = [
    kill_program,
    kill_vm,
    stop_vm,
    stop_program,
    freeze_program,
    freeze_vm,
    cut_vm,
    cut_log,
    cut_platform,
    slow_platform,
    lose_answers,
    race_operators,
    drain_server,
    kill_servers,
    spoil_answers,
    slow_servers,
    fail_fast,
    freeze_servers,
]


def _freeze(vm: Vm, programs: list[str], for_s: float) -> None:
    processes = [vm.programs[program] for program in programs]
    for process in processes:
        process.send_signal(signal.SIGSTOP)
    time.sleep(for_s)
    for process in processes:
        process.send_signal(signal.SIGCONT)


def _replace(context: FaultContext, vm: Vm) -> None:
    context.generation += 1
    seats = vm.settings["vm"]["seats"]
    context.cluster.unlist(vm.vm_id)
    replacement = context.cluster.add_vm(vm.seat, seats, context.generation)
    context.cluster.start_vm(replacement)
