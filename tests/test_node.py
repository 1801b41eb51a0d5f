"""Nodes with stand-ins for the platform: routing, faulty servers and store outages."""

import asyncio
import contextlib
import time

import aiohttp
import msgspec
import pytest

from standins.configuration import build_route
from standins.instance import InstanceBehaviour
from tests.deployment import NODE_OPTIONS
from tests.deployment import ROUTES
from tests.deployment import run_scenario
from tests.deployment import wait_until


async def start_node(deployment, *, instances=("i-1", "i-2"), configure=True, **more):
    if configure:
        deployment.write_configuration()
    for name in instances:
        await deployment.add_instance(name)
    return await deployment.add_node("vm-1", **more)


def set_behaviour_of_all(deployment, **changes):
    """Share one behaviour among all instances, so that its fault count applies to their sum."""
    behaviour = InstanceBehaviour(**changes)
    for instance in deployment.instances.values():
        instance.behaviour = behaviour
    return behaviour


async def connect_to(node):
    host, _, port = node.settings.listeners.entry.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def test_request_is_forwarded_unchanged():
    async def scenario(deployment):
        node = await start_node(deployment)
        status, headers, body = await deployment.send_request(
            node,
            "/order/7?a=%2F&b",
            method="PUT",
            body=b"jacket",
            request_id="q-1",
            **{"X-A": "b"},
        )
        assert status == 200
        assert body.startswith(b"q-1 by i-")
        assert headers["Jasmineseam-Request-Id"] == "q-1"
        assert headers["Jasmineseam-Response-Signature"] == "1.2.3"
        (instance,) = [
            instance for instance in deployment.instances.values() if instance.request_headers
        ]
        (head,) = instance.request_headers
        assert (head[":method"], head[":path"]) == ("PUT", "/order/7?a=%2F&b")
        assert head["x-a"] == "b"
        assert head["host"] == "fit.example"
        assert head["jasmineseam-expect-instance"] == instance.instance_id
        assert 0 < int(head["jasmineseam-deadline-ms"]) <= 1500
        assert instance.request_bodies == [b"jacket"]

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("path", "host", "status"),
    [
        ("/safe/1", "fit.example", 200),
        ("/safe/1", "FIT.example", 200),
        ("/safe", "fit.example", 404),
        ("/none/", "fit.example", 404),
        ("/safe/1", "other.example", 404),
    ],
)
def test_route_matches_host_and_path_prefix(path, host, status):
    async def scenario(deployment):
        node = await start_node(deployment)
        assert (await deployment.send_request(node, path, host=host))[0] == status

    run_scenario(scenario)


def test_request_is_rejected_as_not_run_without_configuration():
    async def scenario(deployment):
        node = await start_node(deployment, configure=False, wait_until_ready=False)
        status, headers, _ = await deployment.send_request(node, "/safe/1")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        url = f"http://{node.settings.listeners.readiness}/api/readyz"
        async with deployment.session.get(url) as response:
            assert response.status == 503
        deployment.write_configuration()
        await wait_until(lambda: node.ready, "ready")
        async with deployment.session.get(url) as response:
            assert response.status == 200
        assert (await deployment.send_request(node, "/safe/1"))[0] == 200

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("fault", "status_idempotent", "status_non_idempotent"),
    [
        ("cut", 200, 502),
        ("lost", 200, 502),
        ("garbage", 200, 502),
        ("unsigned", 200, 502),
        ("encoded", 200, 502),
        ("unframed-reset", 200, 502),
        ("unframed", 200, 200),
        ("extra", 200, 200),
        ("late-extra", 200, 200),
    ],
)
def test_faulty_response_is_retried_only_for_idempotent_requests(
    fault, status_idempotent, status_non_idempotent
):
    async def scenario(deployment):
        node = await start_node(deployment)
        behaviour = set_behaviour_of_all(deployment, fault=fault, fault_count=1)
        status, _, body = await deployment.send_request(
            node, "/order/1", method="POST", request_id="o-1"
        )
        assert status == status_non_idempotent
        assert deployment.count_runs("o-1") == 1
        if status == 200:
            assert body.startswith(b"o-1 by ")
            assert len(body) == 32
        behaviour.fault_count = 1
        status, _, body = await deployment.send_request(node, "/safe/1", request_id="s-1")
        assert status == status_idempotent
        assert body.startswith(b"s-1 by ")
        # Surplus bytes of a response must not be used as the response to a later request.
        for number in range(10):
            await asyncio.sleep(0.005)
            status, _, body = await deployment.send_request(
                node, "/safe/2", request_id=f"t-{number}"
            )
            assert (status, body.split()[0].decode()) == (200, f"t-{number}")

    run_scenario(scenario)


def test_retries_do_not_exceed_max_attempts_of_route():
    async def scenario(deployment):
        node = await start_node(deployment, instances=("i-1", "i-2", "i-3", "i-4"))
        set_behaviour_of_all(deployment, fault="lost")
        status, _, _ = await deployment.send_request(node, "/safe/1", request_id="s-1")
        assert status == 502
        assert deployment.count_runs("s-1") == 2

    run_scenario(scenario)


@pytest.mark.parametrize("path", ["/safe/1", "/order/1"])
def test_request_rejected_by_all_servers_is_reported_as_not_run(path):
    async def scenario(deployment):
        node = await start_node(deployment)
        for instance in deployment.instances.values():
            instance.slots = 0
            instance.max_queued = 0
        status, headers, _ = await deployment.send_request(
            node, path, method="DELETE", request_id="d-1"
        )
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert deployment.count_runs("d-1") == 0

    run_scenario(scenario)


def test_rejected_non_idempotent_request_is_run_by_another_server():
    async def scenario(deployment):
        node = await start_node(deployment)
        deployment.instances["i-1"].slots = deployment.instances["i-1"].max_queued = 0
        for number in range(6):
            status, _, _ = await deployment.send_request(
                node, "/order/1", method="POST", request_id=f"o-{number}"
            )
            assert status == 200
            assert deployment.count_runs(f"o-{number}") == 1

    run_scenario(scenario)


@pytest.mark.parametrize(("path", "method"), [("/safe/1", "GET"), ("/order/1", "POST")])
def test_request_times_out_at_route_timeout(path, method):
    async def scenario(deployment):
        routes = [dict(route, timeout="400ms") for route in ROUTES]
        deployment.write_configuration(routes=routes)
        node = await start_node(deployment, configure=False)
        set_behaviour_of_all(deployment, work_s=5.0)
        started_at = time.monotonic()
        status, _, _ = await deployment.send_request(node, path, method=method, request_id="t-1")
        assert status == 504
        assert 0.35 < time.monotonic() - started_at < 0.65
        runs = deployment.count_runs("t-1")
        count_cancelled = lambda: sum(  # noqa: E731
            len(instance.cancelled_requests) for instance in deployment.instances.values()
        )
        await wait_until(lambda: count_cancelled() == runs, "all servers cancel the work")

    run_scenario(scenario)


def test_server_cancels_work_when_caller_disconnects():
    async def scenario(deployment):
        node = await start_node(deployment)
        set_behaviour_of_all(deployment, work_s=5.0)
        request_task = asyncio.ensure_future(
            deployment.send_request(node, "/safe/1", request_id="g-1")
        )
        await wait_until(lambda: deployment.count_runs("g-1"), "the request is running")
        request_task.cancel()
        running_instances = [
            instance for instance in deployment.instances.values() if instance.run_counts["g-1"]
        ]
        await wait_until(
            lambda: any(instance.cancelled_requests for instance in running_instances),
            "the work is cancelled",
            0.5,
        )

    run_scenario(scenario)


def test_requests_are_split_by_backend_weight():
    async def scenario(deployment):
        split = [{"service": "fit", "weight": 75}, {"service": "other", "weight": 25}]
        route = build_route("/split/", backends=split)
        del route["service"]
        deployment.write_configuration(routes=[route])
        await deployment.add_instance("i-1", service="fit")
        await deployment.add_instance("i-2", service="other")
        node = await deployment.add_node("vm-1")
        for _ in range(40):
            assert (await deployment.send_request(node, "/split/1"))[0] == 200
        runs = {
            name: sum(instance.run_counts.values())
            for name, instance in deployment.instances.items()
        }
        assert runs == {"i-1": 30, "i-2": 10}

    run_scenario(scenario)


def test_only_newer_valid_configuration_is_applied():
    async def scenario(deployment):
        node = await start_node(deployment)
        assert (await deployment.send_request(node, "/new/1"))[0] == 404
        deployment.write_configuration(version=9, routes=[*ROUTES, build_route("/new/")])
        await wait_until(
            lambda: node.gateway.routing_table.version == 9, "version 9 is applied", 1.0
        )
        assert (await deployment.send_request(node, "/new/1"))[0] == 200
        deployment.write_configuration(version=3)
        deployment.store.put("keyed.op", "config", b"{not json")
        await asyncio.sleep(0.5)
        assert node.gateway.routing_table.version == 9
        deployment.store.drop_history("keyed.op")
        deployment.write_configuration(version=11)
        await wait_until(
            lambda: node.gateway.routing_table.version == 11, "version 11 is applied", 3.0
        )

    run_scenario(scenario)


def test_draining_server_gets_no_new_requests():
    async def scenario(deployment):
        node = await start_node(deployment)
        deployment.write_instance_record("i-1", state="draining")
        await wait_until(lambda: node.registry.count_usable() == 1, "one server is usable", 1.5)
        before = len(deployment.instances["i-1"].request_headers)
        for _ in range(10):
            assert (await deployment.send_request(node, "/safe/1"))[0] == 200
        assert len(deployment.instances["i-1"].request_headers) == before

    run_scenario(scenario)


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        b'{"service":"fit"}',
        {"service": "fit", "address": 7, "zone": "d1", "slots": 4, "state": "ready"},
        {"service": "fit", "address": "1.2.3.4:5", "zone": "d", "slots": 1, "state": "new"},
    ],
)
def test_invalid_server_record_is_ignored(value):
    async def scenario(deployment):
        deployment.store.put("keyed.servers", "i-0", value)
        node = await start_node(deployment)
        assert node.registry.count_usable() == 2
        deployment.store.put("keyed.servers", "i-9", value)
        deployment.store.put("keyed.servers", "i-1", value)
        await wait_until(
            lambda: node.registry.count_usable() == 1, "the record of i-1 is ignored", 2.0
        )
        assert (await deployment.send_request(node, "/safe/1"))[0] == 200

    run_scenario(scenario)


def test_request_to_reused_address_is_not_run():
    async def scenario(deployment):
        node = await start_node(deployment, instances=("i-1",))
        old = deployment.instances["i-1"]
        old.instance_id = "i-7"
        status, _, _ = await deployment.send_request(
            node, "/order/1", method="POST", request_id="o-1"
        )
        assert status == 503
        assert deployment.count_runs("o-1") == 0

    run_scenario(scenario)


@pytest.mark.parametrize("failure", ["busy", "reset", "silent"])
def test_requests_are_served_during_store_outage(failure):
    async def scenario(deployment):
        node = await start_node(deployment)
        deployment.store.behaviour.failure = failure
        deployment.store.remove("keyed.servers", "i-1")
        for _ in range(8):
            await asyncio.sleep(0.25)
            assert (await deployment.send_request(node, "/safe/1"))[0] == 200
        assert node.registry.count_usable() == 2
        deployment.store.behaviour.failure = ""
        await asyncio.sleep(0.5)
        deployment.write_instance_record("i-1")
        await wait_until(lambda: node.registry.get_list_age_s() < 0.5, "the store is read", 4.0)
        await asyncio.sleep(2.7)
        assert node.registry.count_usable() == 2

    run_scenario(scenario)


def test_server_missing_after_store_outage_is_removed():
    async def scenario(deployment):
        node = await start_node(deployment)
        deployment.store.behaviour.failure = "busy"
        await wait_until(lambda: node.registry.get_list_age_s() > 1.6, "the server list is old")
        deployment.store.remove("keyed.servers", "i-1")
        deployment.store.behaviour.failure = ""
        await wait_until(lambda: node.registry.get_list_age_s() < 0.5, "the store is read", 4.0)
        assert node.registry.count_usable() == 2
        await wait_until(lambda: node.registry.count_usable() == 1, "i-1 is removed", 4.0)

    run_scenario(scenario)


def test_node_started_during_store_outage_gets_state_from_peers():
    async def scenario(deployment):
        await start_node(deployment)
        deployment.store.behaviour.failure = "busy"
        node = await deployment.add_node("vm-2")
        assert node.gateway.routing_table.version == 1
        assert (await deployment.send_request(node, "/safe/1"))[0] == 200

    run_scenario(scenario)


def test_locator_lists_nodes_until_they_leave():
    async def scenario(deployment):
        first = await start_node(deployment)
        second = await deployment.add_node("vm-2")
        url = f"http://{first.settings.listeners.locator}/api/resolve?name=fit.example&zone=d1"

        async def list_entries():
            async with deployment.session.get(url) as response:
                assert response.status == 200
                return set((await response.json())["addresses"])

        entries = {node.settings.listeners.entry for node in (first, second)}
        until = time.monotonic() + 5.0
        while await list_entries() != entries:
            assert time.monotonic() < until
            await asyncio.sleep(0.02)
        stopping = asyncio.ensure_future(second.stop_gracefully())
        await asyncio.sleep(0.3)
        assert await list_entries() == {first.settings.listeners.entry}
        # The leaving node still serves callers that hold its address.
        assert (await deployment.send_request(second, "/safe/1"))[0] == 200
        await stopping

    run_scenario(scenario)


def test_graceful_stop_finishes_running_requests():
    async def scenario(deployment):
        node = await start_node(deployment)
        set_behaviour_of_all(deployment, work_s=1.0)
        request_tasks = [
            asyncio.ensure_future(deployment.send_request(node, "/order/1", method="POST"))
            for _ in range(5)
        ]
        await wait_until(lambda: node.gateway.in_flight == 5, "five requests are running")
        started_at = time.monotonic()
        await node.stop_gracefully()
        assert time.monotonic() - started_at < 2.0
        responses = await asyncio.gather(*request_tasks)
        assert [status for status, _, _ in responses] == [200] * 5
        with pytest.raises(aiohttp.ClientConnectorError):
            await deployment.send_request(node, "/safe/1")

    run_scenario(scenario)


@pytest.mark.parametrize("node_count", [1, 2])
def test_requests_are_placed_by_the_load_of_the_same_moment(node_count):
    """The slow server changes with every request, and every node avoids it at once."""

    async def scenario(deployment):
        await start_node(deployment)
        for number in range(2, node_count + 1):
            await deployment.add_node(f"vm-{number}")
        names = list(deployment.instances)
        for number in range(12):
            slow = names[number % 2]
            for name, instance in deployment.instances.items():
                slowness_pct = 900 if name == slow else 100
                instance.behaviour = InstanceBehaviour(slowness_pct=slowness_pct)
            # longer than the least interval between two probes of a server
            await asyncio.sleep(0.06)
            node = deployment.nodes[number % node_count]
            _, _, body = await deployment.send_request(node, "/order/1", method="POST")
            assert slow not in body.decode()

    run_scenario(scenario)


def test_servers_are_borrowed_only_while_the_subset_is_short():
    async def scenario(deployment):
        deployment.write_configuration()
        for name in ("i-1", "i-2"):
            await deployment.add_instance(name)
        for name in ("j-1", "j-2"):
            await deployment.add_instance(name)
            deployment.write_instance_record(name, zone="d2")
        node = await deployment.add_node("vm-1")
        dispatcher = node.gateway.dispatchers.get("fit")
        assert set(dispatcher.loads) == {"i-1", "i-2"}
        for name in ("i-1", "i-2"):
            deployment.instances[name].behaviour = InstanceBehaviour(work_s=0.2, slowness_pct=5000)
        for _ in range(4):
            status, _, body = await deployment.send_request(node, "/order/1", method="POST")
            assert status == 200
            assert b" by j-" in body
        for name in ("i-1", "i-2"):
            deployment.instances[name].behaviour = InstanceBehaviour()
        await asyncio.sleep(0.1)
        node.gateway.dispatchers.expire_borrowed()
        assert set(dispatcher.loads) > {"i-1", "i-2"}
        await wait_until(
            lambda: set(dispatcher.loads) == {"i-1", "i-2"}, "borrowed servers expire", 5.0
        )

    run_scenario(scenario)


def test_probe_rate_of_all_nodes_stays_within_limit():
    async def scenario(deployment):
        await start_node(deployment)
        nodes = [*deployment.nodes, await deployment.add_node("vm-2")]
        until = time.monotonic() + 2.0
        while time.monotonic() < until:
            await asyncio.gather(*(deployment.send_request(node, "/safe/1") for node in nodes))
            await asyncio.sleep(0.02)
        # A node that no longer reaches the other also probes its servers, at a reduced rate.
        nodes[0].fleet.close()
        nodes[1].fleet.close()
        measured_from = time.monotonic()
        await asyncio.sleep(3.0)
        for instance in deployment.instances.values():
            probes = [at for at in instance.probe_times if at >= measured_from]
            assert len(probes) / 3.0 <= 60.0

    run_scenario(scenario)


def test_idempotent_request_is_hedged_when_its_host_becomes_slow():
    async def scenario(deployment):
        node = await start_node(deployment)
        for _ in range(20):
            await deployment.send_request(node, "/safe/1")
        for instance in deployment.instances.values():
            instance.behaviour = InstanceBehaviour(work_s=0.3)
        request_task = asyncio.ensure_future(
            deployment.send_request(node, "/safe/1", request_id="h-1")
        )
        await wait_until(lambda: deployment.count_runs("h-1"), "the request is running")
        for instance in deployment.instances.values():
            is_slow = bool(instance.run_counts["h-1"])
            instance.behaviour = InstanceBehaviour(
                work_s=0.005, slowness_pct=500 if is_slow else 100
            )
        status, _, _ = await request_task
        assert status == 200
        assert deployment.count_runs("h-1") == 2
        orders = [
            asyncio.ensure_future(
                deployment.send_request(node, "/order/1", method="POST", request_id=f"o-{number}")
            )
            for number in range(4)
        ]
        await asyncio.gather(*orders)
        assert [deployment.count_runs(f"o-{number}") for number in range(4)] == [1] * 4

    run_scenario(scenario)


def test_all_connections_are_closed_after_graceful_stop():
    """Guards against connections that are accepted just before the listener closes.

    They carry no request yet, and must be closed as well.
    """

    async def scenario(deployment):
        node = await start_node(deployment)
        host, _, port = node.settings.listeners.entry.rpartition(":")
        opened = []

        async def open_until_refused():
            with contextlib.suppress(OSError):
                while True:
                    opened.append(await asyncio.open_connection(host, int(port)))
                    await asyncio.sleep(0.005)

        opener_tasks = [asyncio.ensure_future(open_until_refused()) for _ in range(3)]
        node.settings = msgspec.structs.replace(node.settings, grace_s=3.0)
        await node.stop_gracefully()
        await asyncio.gather(*opener_tasks)
        assert opened
        # The process ends at this point, which would cut any open connection.
        assert not node._listeners.caller_server.connections
        for reader, writer in opened:
            async with asyncio.timeout(5.0):
                assert await reader.read() == b""
            writer.close()

    run_scenario(scenario)


def test_configuration_is_applied_when_store_does_not_notify_long_polls():
    async def scenario(deployment):
        node = await start_node(deployment)
        await wait_until(
            lambda: deployment.store.waiting_long_polls == 1, "the node waits in a long poll"
        )
        deployment.store.behaviour.stall_long_polls = True
        deployment.write_configuration(version=5)
        await wait_until(
            lambda: node.gateway.routing_table.version == 5, "version 5 is applied", 1.9
        )

    run_scenario(scenario)


def test_request_is_not_retried_without_time_for_another_attempt():
    async def scenario(deployment):
        node = await start_node(deployment)
        set_behaviour_of_all(deployment, work_s=0.2)
        for _ in range(30):
            await deployment.send_request(node, "/safe/1")
        set_behaviour_of_all(deployment, work_s=0.2, error_status=500)
        status, _, _ = await deployment.send_request(
            node, "/safe/1", request_id="n-1", deadline_ms=260
        )
        assert status == 500
        assert deployment.count_runs("n-1") == 1

    run_scenario(scenario)


def test_request_received_before_idle_close_is_answered():
    """Guards against closing a connection as idle when a request was received on it.

    The bytes have arrived but the handler has not started yet.
    """

    async def scenario(deployment):
        node = await start_node(deployment)
        reader, writer = await connect_to(node)
        server = node._listeners.caller_server
        await wait_until(lambda: server.connections, "the connection is accepted")
        (connection,) = server.connections
        connection.idle_since -= 10.0
        head = "GET /safe/1 HTTP/1.1\r\nHost: fit.example\r\nJasmineseam-Request-Id: q-1\r\n\r\n"
        connection.data_received(head.encode())
        server.close_idle_connections()
        async with asyncio.timeout(5.0):
            response = await reader.readuntil(b"\r\n\r\n")
        assert response.startswith(b"HTTP/1.1 200")
        writer.close()

    run_scenario(scenario)


def find_log_lines(node, **fields):
    return [line for line in node.lines if fields.items() <= line.items()]


def test_late_response_uses_log_rate_of_failures():
    async def scenario(deployment):
        deployment.write_configuration(routes=[build_route("/late/", **{"target-latency": "1ms"})])
        options = msgspec.structs.replace(NODE_OPTIONS, log_lines_per_s=2)
        node = await start_node(deployment, configure=False, options=options)
        await asyncio.gather(*(deployment.send_request(node, "/late/") for _ in range(3)))
        assert len(find_log_lines(node, outcome="answered")) == 2
        assert all(
            line["ms"] >= line["target_ms"] for line in find_log_lines(node, route="r/late/")
        )

    run_scenario(scenario)


@pytest.mark.parametrize(("sent", "status"), [(False, 503), (True, 502)])
def test_internal_error_response_states_whether_request_may_have_run(sent, status):
    async def scenario(deployment):
        node = await start_node(deployment)

        def fail(*_args, **_more):
            raise RuntimeError("a fault")

        if sent:
            node.gateway.dispatchers.get("fit").record_latency = fail
        else:
            node.gateway.dispatchers.get("fit").get_service_time_s = fail
        actual_status, headers, _ = await deployment.send_request(
            node, "/safe/1", request_id="q-1"
        )
        assert actual_status == status
        assert ("Retry-After" in headers) == (not sent)
        (line,) = find_log_lines(node, id="q-1")
        assert line["outcome"] == "fault"

    run_scenario(scenario)


LIMITS = {
    "max-header-bytes": 600,
    "max-body-bytes": 100,
    "header-timeout": "400ms",
    "idle-timeout": "1500ms",
}


@pytest.mark.parametrize(
    ("header", "body", "status"),
    [("x", b"", 200), ("x" * 600, b"", 431), ("x", b"y" * 100, 200), ("x", b"y" * 101, 413)],
)
def test_request_size_limits_come_from_configuration(header, body, status):
    async def scenario(deployment):
        deployment.write_configuration(limits=LIMITS)
        node = await start_node(deployment, configure=False)
        actual_status, _, _ = await deployment.send_request(
            node, "/safe/1", method="POST", body=body, **{"X-Long": header}
        )
        assert actual_status == status

    run_scenario(scenario)


def test_slow_request_head_is_rejected():
    async def scenario(deployment):
        deployment.write_configuration(limits=LIMITS)
        node = await start_node(deployment, configure=False)
        reader, writer = await connect_to(node)
        started_at = time.monotonic()
        writer.write(b"GET /safe/1 HTTP/1.1\r\nHost: fit")
        response = await reader.read()
        assert response.startswith(b"HTTP/1.1 408")
        # The upper bound adds the period of the check to the limit.
        assert 0.35 < time.monotonic() - started_at < 1.2
        writer.close()

    run_scenario(scenario)


def test_idle_connection_is_closed_after_idle_timeout():
    async def scenario(deployment):
        deployment.write_configuration(limits=LIMITS)
        node = await start_node(deployment, configure=False)
        reader, writer = await connect_to(node)
        head = b"GET /safe/1 HTTP/1.1\r\nHost: fit.example\r\nJasmineseam-Request-Id: q-%d\r\n\r\n"
        for number in range(2):
            writer.write(head % number)
            response = await reader.readuntil(b"\r\n\r\n")
            assert response.startswith(b"HTTP/1.1 200")
            length = int(response.lower().partition(b"content-length:")[2].split()[0])
            await reader.readexactly(length)
            ended_at = time.monotonic()
            # Callers reuse a connection within four fifths of the limit.
            await asyncio.sleep(1.2 if number == 0 else 0.0)
        assert await reader.read() == b""
        assert 1.4 < time.monotonic() - ended_at < 2.4
        writer.close()

    run_scenario(scenario)


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
def test_route_with_unreachable_target_is_served_under_load(delay_s):
    """A delay of the event loop before the request is placed must not cause a rejection either."""

    async def scenario(deployment):
        never = build_route("/never/", **{"target-latency": "1ms"})
        deployment.write_configuration(routes=[*ROUTES, never])
        node = await start_node(deployment, instances=("i-1",), configure=False)
        for _ in range(20):
            await deployment.send_request(node, "/safe/1")
        set_behaviour_of_all(deployment, work_s=0.1)
        others = asyncio.gather(*(deployment.send_request(node, "/safe/1") for _ in range(3)))
        await asyncio.sleep(0.03)
        dispatcher = node.gateway.dispatchers.get("fit")
        get_service_time_s = dispatcher.get_service_time_s

        def get_service_time_slowly(kind, target_s=None):
            time.sleep(delay_s if kind == "r/never/" else 0.0)
            return get_service_time_s(kind, target_s)

        dispatcher.get_service_time_s = get_service_time_slowly
        assert (await deployment.send_request(node, "/never/1"))[0] == 200
        assert {status for status, _, _ in await others} == {200}

    run_scenario(scenario)


@pytest.mark.parametrize("failure", ["busy", "reset", "silent"])
def test_node_rejected_by_store_gets_updates_from_peers(failure):
    async def scenario(deployment):
        first = await start_node(deployment)
        second_store_address = await deployment.add_store_listener()
        second = await deployment.add_node("vm-2", store_address=second_store_address)
        await wait_until(
            lambda: len(second.fleet.membership.list_live()) == 2, "both nodes list each other"
        )
        deployment.store.behaviour.failing_ports = [int(second_store_address.rpartition(":")[2])]
        deployment.store.behaviour.failure = failure
        deployment.write_configuration(version=7)
        for node in (first, second):
            await wait_until(
                lambda node=node: node.gateway.routing_table.version == 7, "version 7", 1.9
            )
        await deployment.add_instance("i-9")
        deployment.store.remove("keyed.servers", "i-1")
        for node in (first, second):
            await wait_until(lambda node=node: has_servers(node, "i-2", "i-9"), "servers", 1.9)
            assert (await deployment.send_request(node, "/safe/1"))[0] == 200

    run_scenario(scenario)


def has_servers(node, *names):
    return {listing.server.server_id for listing in node.registry.list_listings()} == set(names)


def test_warming_up_server_gets_requests_only_when_others_are_busy():
    async def scenario(deployment):
        deployment.write_configuration()
        cold = await deployment.add_instance("i-cold", warmup_s=60.0)
        warm = await deployment.add_instance("i-warm")
        node = await deployment.add_node("vm-1")
        set_behaviour_of_all(deployment, work_s=0.02)
        for _ in range(20):
            assert (await deployment.send_request(node, "/safe/1"))[0] == 200
        assert sum(warm.run_counts.values()) >= 19
        await asyncio.gather(*(deployment.send_request(node, "/safe/1") for _ in range(8)))
        assert sum(cold.run_counts.values()) >= 2

    run_scenario(scenario)


def test_unexpected_error_of_a_background_task_does_not_end_the_node():
    async def scenario(deployment):
        node = await start_node(deployment)
        record_changes = node.registry.record_changes
        faults = [RecursionError("a fault")]

        def fail_once(changes):
            if faults:
                raise faults.pop()
            return record_changes(changes)

        node.store_watcher._registry = FaultyRegistry(node.registry, fail_once)
        await deployment.add_instance("i-3")
        await wait_until(lambda: node.registry.count_usable() == 3, "i-3 is usable", 3.0)
        assert not faults
        assert not node.crashed
        assert node.collect_state()["task_restarts"] == {"watch_servers": 1}
        assert (await deployment.send_request(node, "/safe/1"))[0] == 200

    run_scenario(scenario)


class FaultyRegistry:
    """A server registry whose method ``record_changes`` is replaced."""

    def __init__(self, registry, record_changes):
        self._registry = registry
        self.record_changes = record_changes

    def __getattr__(self, name):
        return getattr(self._registry, name)


def test_store_is_closed_after_the_tasks_that_read_it():
    """Guards against a task that fails during a stop, because its session is closed."""

    async def scenario(deployment):
        deployment.write_configuration()
        node = await deployment.add_node("n1", wait_until_ready=False)
        await wait_until(lambda: node.gateway.routing_table is not None, "the table is read")
        close_store, running = node._close_store, []

        async def close():
            running.extend(future for future in node._futures if not future.done())
            await close_store()

        node._close_store = close
        await node.stop()
        assert running == []

    run_scenario(scenario)
