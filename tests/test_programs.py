"""The real programs in separate processes: publications, outages, dumps, sockets, stops."""

import json
import os
import signal
import subprocess
import sys
import threading
import urllib.request

import pytest

from bench.cluster import Cluster
from bench.cluster import wait_until
from bench.soak import run_soak_test

ENTRY = {"service": "fittings", "owner": "kalipso"}
LIMITED = {**ENTRY, "limits": {"queue": 5}}


@pytest.fixture(scope="module")
def cluster():
    """Start two VMs with one service."""
    with Cluster(name="test") as running:
        running.start_servers("fittings", ["fit-0", "fit-1"])
        vms = [running.add_vm(index, 2) for index in range(2)]
        for vm in vms:
            running.start_vm(vm)
        running.wait_until_entries_listed(2)
        assert running.publish(vms[0], ENTRY)["status"] == "in-force"
        yield running


def get_vms(cluster):
    return list(cluster.vms.values())


def test_second_publication_reaches_every_process(cluster):
    vms = get_vms(cluster)
    report = cluster.publish(vms[0], LIMITED)
    assert (report["status"], report["exit_code"]) == ("in-force", 0)
    for vm in vms:
        for address in (vm.agent_address, vm.entry_address):
            assert cluster.dump(vm, address)["entries"]["fittings"] >= report["revision"]


def test_concurrent_publications_report_the_accepted_change(cluster):
    vm = get_vms(cluster)[0]
    revision = json.loads(cluster.run_ctl(vm, "show", "fittings", "--json")[1])["revision"]
    base = ("--base-revision", str(revision))
    reports = []

    def publish():
        reports.append(cluster.publish(vm, ENTRY, *base))

    threads = [threading.Thread(target=publish) for _ in range(3)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    accepted = [one for one in reports if one["exit_code"] == 0]
    refused = [one for one in reports if one["exit_code"] == 1]
    assert (len(accepted), len(refused)) == (1, 2)
    assert {one["beaten_by"] for one in refused} == {accepted[0]["change_id"]}


def test_append_with_lost_response_is_repeated_under_the_same_id(cluster):
    vm = get_vms(cluster)[0]
    before = json.loads(cluster.run_ctl(vm, "show", "fittings", "--json")[1])["revision"]
    cluster.set_faults(lose_answers=1.0)
    try:
        report = cluster.publish(vm, ENTRY)
    finally:
        cluster.set_faults(lose_answers=0.0)
    assert (report["status"], report["revision"]) == ("in-force", before + 1)


def test_platform_outage(cluster):
    vms = get_vms(cluster)
    cluster.set_faults(log_down=True, list_down=True)
    try:
        report = cluster.publish(vms[0], ENTRY, "--timeout-s", "1")
        assert (report["status"], report["exit_code"]) == ("not-known", 3)
        assert call_service(vms[0].http_address)
        # a VM that starts during the outage adopts the state of its peers
        late = cluster.add_vm(2, 3)
        cluster.start_vm(late)
        wait_until(lambda: call_service(late.http_address), "late VM serves")
    finally:
        cluster.set_faults(log_down=False, list_down=False)
    code, _ = cluster.run_ctl(vms[0], "wait", "fittings", "1")
    assert code == 0
    report = cluster.publish(vms[0], ENTRY, "--change-id", report["change_id"])
    assert report["status"] == "in-force"
    cluster.stop_vm(late)
    cluster.remove_from_vm_list(late.vm_id)
    del cluster.vms["seat-2"]


def call_service(address, path="/sizes/1"):
    request = urllib.request.Request(f"http://{address}{path}", headers={"Host": "fittings"})
    try:
        with urllib.request.urlopen(request, timeout=5) as response:
            return response.headers["Jasmineseam-Outcome"] == "answered"
    except OSError:
        return False


def test_program_serves_and_reports_state_age_while_its_agent_is_paused(cluster):
    vm = get_vms(cluster)[0]
    agent = vm.programs["agent"]
    agent.send_signal(signal.SIGSTOP)
    try:
        wait_until(
            lambda: cluster.dump(vm, vm.entry_address).get("state_age_s", 0) > 1.0, "old state"
        )
        assert call_service(vm.http_address)
    finally:
        agent.send_signal(signal.SIGCONT)
    wait_until(lambda: cluster.dump(vm, vm.entry_address)["state_age_s"] < 1.0, "new state")


def test_programs_use_no_io_uring_shared_memory_or_child_processes(cluster):
    checked = 0
    for vm in get_vms(cluster):
        for process in vm.programs.values():
            base = f"/proc/{process.pid}"
            for descriptor in os.listdir(f"{base}/fd"):
                target = os.readlink(f"{base}/fd/{descriptor}")
                assert "io_uring" not in target
                assert "/dev/shm" not in target and "memfd" not in target
            with open(f"{base}/maps") as maps:
                assert "/dev/shm" not in maps.read()
            with open(f"{base}/task/{process.pid}/children") as children:
                assert children.read().split() == []
            checked += 1
    assert checked == 6


def test_programs_listen_only_on_their_own_address(cluster):
    vm = get_vms(cluster)[0]
    inodes = set()
    for process in vm.programs.values():
        for descriptor in os.listdir(f"/proc/{process.pid}/fd"):
            target = os.readlink(f"/proc/{process.pid}/fd/{descriptor}")
            if target.startswith("socket:["):
                inodes.add(target[8:-1])
    own = "".join(f"{int(part):02X}" for part in reversed(vm.address.split(".")))
    listening = []
    with open("/proc/net/tcp") as table:
        for line in table.readlines()[1:]:
            fields = line.split()
            if fields[9] in inodes and fields[3] == "0A":
                listening.append(fields[1].partition(":")[0])
    assert listening and set(listening) == {own}


def test_sigusr1_dumps_to_the_log(cluster):
    vm = get_vms(cluster)[0]
    vm.programs["locator"].send_signal(signal.SIGUSR1)
    log = cluster.directory / f"{vm.vm_id}-locator.log"
    wait_until(lambda: "State: {" in log.read_text(), "dump in the log")


@pytest.mark.parametrize("program", ["agent", "entry", "locator"])
def test_settings_are_checked_without_starting(cluster, program, tmp_path):
    vm = get_vms(cluster)[0]
    wrong = tmp_path / "wrong.json"
    wrong.write_text('{"vm": {"id": 7}}')
    name = ["entry-0"] if program == "entry" else []
    binary = os.path.join(os.path.dirname(sys.executable), f"jasmineseam-{program}")
    for path, code in ((vm.settings_path, 0), (wrong, 2)):
        command = [binary, str(path), *name, "--check"]
        done = subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)
        assert done.returncode == code
    assert "vm.id: got 7" in done.stderr
    assert "platform: got nothing" in done.stderr


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        (["check", "{entry}"], 0, "valid"),
        (["check", "{wrong}"], 1, "limits.queue"),
        (["show", "nobody"], 3, "not-known"),
        (["wait", "fittings", "999", "--timeout-s", "0.3"], 3, "not yet at"),
        (["withdraw", "nobody"], 1, "nothing to withdraw"),
        (["frobnicate"], 2, "invalid choice"),
        (["--help"], 0, "publish"),
    ],
)
def test_operator_command(cluster, tmp_path, arguments, code, text):
    vm = get_vms(cluster)[0]
    entry, wrong = tmp_path / "entry.json", tmp_path / "wrong.json"
    entry.write_text("// comment\n" + json.dumps(ENTRY))
    wrong.write_text(json.dumps({**ENTRY, "limits": {"queue": "long"}}))
    command, *rest = [one.format(entry=entry, wrong=wrong) for one in arguments]
    binary = os.path.join(os.path.dirname(sys.executable), "jasmineseam-ctl")
    settings = [] if command in ("check", "frobnicate", "--help") else [str(vm.settings_path)]
    done = subprocess.run(
        [binary, command, *settings, *rest],
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )
    assert (done.returncode, text in done.stdout + done.stderr) == (code, True), done


def test_second_signal_ends_planned_stop_at_once(cluster):
    vm = cluster.add_vm(3, 4, listed=False)
    del cluster.vms["seat-3"]
    for program in ("agent", "entry"):
        cluster.start_program(vm, program)
    wait_until(lambda: cluster.dump(vm, vm.entry_address).get("ready"), "entry ready")
    entry = vm.programs["entry"]
    entry.terminate()
    wait_until(lambda: cluster.dump(vm, vm.entry_address)["stopping"], "stop begun")
    entry.terminate()
    assert entry.wait(2) == 130
    vm.programs["agent"].kill()


def test_short_soak_with_fixed_seed():
    result, soak_test, logs = run_soak_test(
        seed=7, duration_s=20.0, vm_count=3, max_concurrent_faults=1
    )
    report = "\n".join([*soak_test.fault_schedule, *result.failures, logs[-5000:]])
    assert not result.failures, report
    assert result.requests > 200
    assert result.max_executions_per_order == 1
