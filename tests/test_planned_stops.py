"""Planned stops of real programs under load must not lose a request."""

import asyncio
import threading

import aiohttp
import pytest

from bench.checks import check_outcomes
from bench.cluster import Cluster
from bench.cluster import send_json_request
from standins.callers import Caller

CALLER_COUNT = 6


def start(cluster):
    cluster.start_servers("fittings", ["fit-0", "fit-1", "fit-2"])
    vms = [cluster.add_vm(index, 3) for index in range(3)]
    for vm in vms:
        cluster.start_vm(vm)
    cluster.wait_until_entries_listed(3)
    assert cluster.publish(vms[0], {"service": "fittings", "owner": "k"})["exit_code"] == 0
    return vms


def stop_vm(cluster, vms):
    cluster.stop_vm(vms[1])


def stop_two_vms_in_an_outage(cluster, vms):
    cluster.set_faults(log_down=True, list_down=True)
    threads = [threading.Thread(target=cluster.stop_vm, args=(vm,)) for vm in vms[1:]]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    cluster.set_faults(log_down=False, list_down=False)


def stop_each_program_alone(cluster, vms):
    for program in ("agent", "locator", "entry"):
        process = vms[1].programs[program]
        process.terminate()
        assert process.wait(30) == 0
        cluster.start_program(vms[1], program)


def stop_server(cluster, vms):
    server_process = cluster.server_processes[0]
    cluster.set_behaviour(server_process, servers=["fit-1"], draining=True)
    pause = threading.Event()
    pause.wait(2.0)
    before = cluster.read_server_journals()["fit-1"]["requests"]
    pause.wait(1.0)
    after = cluster.read_server_journals()["fit-1"]
    # 2 s after it starts to drain, a server gets no new requests, although the VM list and the
    # catalogue still show it as live
    assert (after["requests"], after["held"]) == (before, 0)


@pytest.mark.parametrize(
    "stop", [stop_vm, stop_two_vms_in_an_outage, stop_each_program_alone, stop_server]
)
def test_planned_stop_loses_no_request(stop):
    with Cluster(name="stops") as cluster:
        vms = start(cluster)

        async def load():
            stopped = asyncio.Event()
            async with aiohttp.ClientSession() as session:
                callers = []
                for number in range(CALLER_COUNT):
                    callers.append(
                        Caller(
                            session=session,
                            get_locator_addresses=lambda: [vm.locator_address for vm in vms],
                            failure_domain=f"domain-{number % 3}",
                            seed=number,
                        )
                    )

                async def repeat(caller):
                    while not stopped.is_set():
                        await caller.send_lookup("fittings")
                        await caller.send_order("fittings")

                tasks = [asyncio.create_task(repeat(caller)) for caller in callers]
                await asyncio.sleep(0.5)
                await asyncio.to_thread(stop, cluster, vms)
                stopped.set()
                await asyncio.gather(*tasks)
            return [caller.tally for caller in callers]

        result = check_outcomes(asyncio.run(load()), cluster.count_executions())
        report = f"{result}\n{cluster.read_logs()[-4000:]}"
        assert not result.failures, report
        assert (result.not_run, result.unknown) == (0, 0), report
        assert result.answered == result.requests > 50, report
        # callers retry failures, but a planned stop must not cause any
        assert result.causes == {}, report


def test_key_of_stopped_home_gets_recorded_response_from_other_vms():
    with Cluster(name="keys") as cluster:
        vms = start(cluster)
        named = send_json_request(vms[1].locator_address, "/v1/entries")["entries"]
        prefixes = {one["address"]: one["key_prefix"] for one in named}
        key = f"{prefixes[vms[1].http_address]}.order-1"

        async def order(vm):
            headers = {"Host": "fittings", "Idempotency-Key": key, "Request-Id": "order-1"}
            url = f"http://{vm.http_address}/orders"
            async with (
                aiohttp.ClientSession() as session,
                session.post(url, headers=headers, data=b"1") as response,
            ):
                return response.headers["Jasmineseam-Outcome"], await response.read()

        first = asyncio.run(order(vms[1]))
        cluster.stop_vm(vms[1])
        for vm in (vms[0], vms[2]):
            assert asyncio.run(order(vm)) == first
        assert first[0] == "answered"
        assert cluster.count_executions()["order-1"] == 1
