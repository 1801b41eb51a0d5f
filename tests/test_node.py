"""Real nodes on the stand-ins of the users' platform: routing, faults of servers, the store."""

import asyncio
import contextlib
import time

import aiohttp
import msgspec
import pytest

from standins.configuration import build_route
from standins.instance import InstanceBehaviour
from tests.deployment import OPTIONS
from tests.deployment import ROUTES
from tests.deployment import play
from tests.deployment import wait_until


async def start(deployment, *, instances=("i-1", "i-2"), configure=True, **more):
    if configure:
        deployment.configure()
    for name in instances:
        await deployment.add_instance(name)
    return await deployment.add_node("vm-1", **more)


def set_all(deployment, **changes):
    """Give all instances one behaviour, so that a number of faults counts for all together."""
    behaviour = InstanceBehaviour(**changes)
    for instance in deployment.instances.values():
        instance.behaviour = behaviour
    return behaviour


async def open_to(node):
    host, _, port = node.settings.listeners.entry.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def test_a_request_reaches_a_server_as_it_was_sent():
    async def scenario(deployment):
        node = await start(deployment)
        status, headers, body = await deployment.ask(
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
        (instance,) = [one for one in deployment.instances.values() if one.heads]
        (head,) = instance.heads
        assert (head[":method"], head[":path"]) == ("PUT", "/order/7?a=%2F&b")
        assert head["x-a"] == "b"
        assert head["host"] == "fit.example"
        assert head["jasmineseam-expect-instance"] == instance.instance_id
        assert 0 < int(head["jasmineseam-deadline-ms"]) <= 1500
        assert instance.bodies == [b"jacket"]

    play(scenario)


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
def test_a_route_is_found_by_host_and_prefix(path, host, status):
    async def scenario(deployment):
        node = await start(deployment)
        assert (await deployment.ask(node, path, host=host))[0] == status

    play(scenario)


def test_without_a_configuration_a_request_is_refused_as_not_run():
    async def scenario(deployment):
        node = await start(deployment, configure=False, ready=False)
        status, headers, _ = await deployment.ask(node, "/safe/1")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        url = f"http://{node.settings.listeners.readiness}/api/readyz"
        async with deployment.session.get(url) as response:
            assert response.status == 503
        deployment.configure()
        await wait_until(lambda: node.ready, "ready")
        async with deployment.session.get(url) as response:
            assert response.status == 200
        assert (await deployment.ask(node, "/safe/1"))[0] == 200

    play(scenario)


@pytest.mark.parametrize(
    ("fault", "status_safe", "status_order"),
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
def test_a_faulty_answer_is_replaced_only_if_the_request_may_be_repeated(
    fault, status_safe, status_order
):
    async def scenario(deployment):
        node = await start(deployment)
        behaviour = set_all(deployment, fault=fault, faults=1)
        status, _, body = await deployment.ask(node, "/order/1", method="POST", request_id="o-1")
        assert status == status_order
        assert deployment.count_runs("o-1") == 1
        if status == 200:
            assert body.startswith(b"o-1 by ")
            assert len(body) == 32
        behaviour.faults = 1
        status, _, body = await deployment.ask(node, "/safe/1", request_id="s-1")
        assert status == status_safe
        assert body.startswith(b"s-1 by ")
        # nothing that came too much is ever taken for another request's answer
        for number in range(10):
            await asyncio.sleep(0.005)
            status, _, body = await deployment.ask(node, "/safe/2", request_id=f"t-{number}")
            assert (status, body.split()[0].decode()) == (200, f"t-{number}")

    play(scenario)


def test_a_safe_request_is_not_sent_to_more_servers_than_its_route_allows():
    async def scenario(deployment):
        node = await start(deployment, instances=("i-1", "i-2", "i-3", "i-4"))
        set_all(deployment, fault="lost")
        status, _, _ = await deployment.ask(node, "/safe/1", request_id="s-1")
        assert status == 502
        assert deployment.count_runs("s-1") == 2

    play(scenario)


@pytest.mark.parametrize("path", ["/safe/1", "/order/1"])
def test_a_request_that_servers_reject_is_refused_as_not_run(path):
    async def scenario(deployment):
        node = await start(deployment)
        for instance in deployment.instances.values():
            instance.slots = 0
            instance.queue = 0
        status, headers, _ = await deployment.ask(node, path, method="DELETE", request_id="d-1")
        assert status == 503
        assert float(headers["Retry-After"]) > 0
        assert deployment.count_runs("d-1") == 0

    play(scenario)


def test_a_rejected_order_is_run_by_another_server():
    async def scenario(deployment):
        node = await start(deployment)
        deployment.instances["i-1"].slots = deployment.instances["i-1"].queue = 0
        for number in range(6):
            status, _, _ = await deployment.ask(
                node, "/order/1", method="POST", request_id=f"o-{number}"
            )
            assert status == 200
            assert deployment.count_runs(f"o-{number}") == 1

    play(scenario)


@pytest.mark.parametrize(("path", "method"), [("/safe/1", "GET"), ("/order/1", "POST")])
def test_a_request_is_answered_at_its_routes_timeout(path, method):
    async def scenario(deployment):
        routes = [dict(route, timeout="400ms") for route in ROUTES]
        deployment.configure(routes=routes)
        node = await start(deployment, configure=False)
        set_all(deployment, work_s=5.0)
        began_at = time.monotonic()
        status, _, _ = await deployment.ask(node, path, method=method, request_id="t-1")
        assert status == 504
        assert 0.35 < time.monotonic() - began_at < 0.65
        runs = deployment.count_runs("t-1")
        dropped = lambda: sum(len(one.dropped) for one in deployment.instances.values())  # noqa: E731
        await wait_until(lambda: dropped() == runs, "the servers stop the work")

    play(scenario)


def test_a_server_stops_the_work_of_a_caller_that_has_left():
    async def scenario(deployment):
        node = await start(deployment)
        set_all(deployment, work_s=5.0)
        asking = asyncio.ensure_future(deployment.ask(node, "/safe/1", request_id="g-1"))
        await wait_until(lambda: deployment.count_runs("g-1"), "the request runs")
        asking.cancel()
        holders = [one for one in deployment.instances.values() if one.runs["g-1"]]
        await wait_until(lambda: any(one.dropped for one in holders), "the work is dropped", 0.5)

    play(scenario)


def test_requests_are_split_by_weight():
    async def scenario(deployment):
        split = [{"service": "fit", "weight": 75}, {"service": "other", "weight": 25}]
        route = build_route("/split/", backends=split)
        del route["service"]
        deployment.configure(routes=[route])
        await deployment.add_instance("i-1", service="fit")
        await deployment.add_instance("i-2", service="other")
        node = await deployment.add_node("vm-1")
        for _ in range(40):
            assert (await deployment.ask(node, "/split/1"))[0] == 200
        runs = {name: sum(one.runs.values()) for name, one in deployment.instances.items()}
        assert runs == {"i-1": 30, "i-2": 10}

    play(scenario)


def test_a_newer_configuration_comes_into_force_and_stays():
    async def scenario(deployment):
        node = await start(deployment)
        assert (await deployment.ask(node, "/new/1"))[0] == 404
        deployment.configure(version=9, routes=[*ROUTES, build_route("/new/")])
        await wait_until(lambda: node.gateway.table.version == 9, "version 9 in force", 1.0)
        assert (await deployment.ask(node, "/new/1"))[0] == 200
        deployment.configure(version=3)
        deployment.store.put("keyed.op", "config", b"{not json")
        await asyncio.sleep(0.5)
        assert node.gateway.table.version == 9
        deployment.store.forget("keyed.op")
        deployment.configure(version=11)
        await wait_until(lambda: node.gateway.table.version == 11, "version 11 in force", 3.0)

    play(scenario)


def test_a_draining_server_gets_nothing_new():
    async def scenario(deployment):
        node = await start(deployment)
        deployment.enter("i-1", state="draining")
        await wait_until(lambda: node.registry.count() == 1, "one server left", 1.5)
        before = len(deployment.instances["i-1"].heads)
        for _ in range(10):
            assert (await deployment.ask(node, "/safe/1"))[0] == 200
        assert len(deployment.instances["i-1"].heads) == before

    play(scenario)


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
def test_an_entry_that_makes_no_sense_names_no_server(value):
    async def scenario(deployment):
        deployment.store.put("keyed.servers", "i-0", value)
        node = await start(deployment)
        assert node.registry.count() == 2
        deployment.store.put("keyed.servers", "i-9", value)
        deployment.store.put("keyed.servers", "i-1", value)
        await wait_until(lambda: node.registry.count() == 1, "the entry of i-1 is void", 2.0)
        assert (await deployment.ask(node, "/safe/1"))[0] == 200

    play(scenario)


def test_a_reused_address_is_found_out_before_the_request_runs():
    async def scenario(deployment):
        node = await start(deployment, instances=("i-1",))
        old = deployment.instances["i-1"]
        old.instance_id = "i-7"
        status, _, _ = await deployment.ask(node, "/order/1", method="POST", request_id="o-1")
        assert status == 503
        assert deployment.count_runs("o-1") == 0

    play(scenario)


@pytest.mark.parametrize("down", ["busy", "reset", "silent"])
def test_requests_are_served_while_the_store_is_down(down):
    async def scenario(deployment):
        node = await start(deployment)
        deployment.store.behaviour.down = down
        deployment.store.remove("keyed.servers", "i-1")
        for _ in range(8):
            await asyncio.sleep(0.25)
            assert (await deployment.ask(node, "/safe/1"))[0] == 200
        assert node.registry.count() == 2
        deployment.store.behaviour.down = ""
        await asyncio.sleep(0.5)
        deployment.enter("i-1")
        await wait_until(lambda: node.registry.get_list_age_s() < 0.5, "the store is read", 4.0)
        await asyncio.sleep(2.7)
        assert node.registry.count() == 2

    play(scenario)


def test_a_server_that_does_not_return_after_an_outage_is_dropped():
    async def scenario(deployment):
        node = await start(deployment)
        deployment.store.behaviour.down = "busy"
        await wait_until(lambda: node.registry.get_list_age_s() > 1.6, "the list is old")
        deployment.store.remove("keyed.servers", "i-1")
        deployment.store.behaviour.down = ""
        await wait_until(lambda: node.registry.get_list_age_s() < 0.5, "the store is read", 4.0)
        assert node.registry.count() == 2
        await wait_until(lambda: node.registry.count() == 1, "i-1 is dropped", 4.0)

    play(scenario)


def test_a_node_that_starts_in_an_outage_learns_from_its_peers():
    async def scenario(deployment):
        await start(deployment)
        deployment.store.behaviour.down = "busy"
        node = await deployment.add_node("vm-2")
        assert node.gateway.table.version == 1
        assert (await deployment.ask(node, "/safe/1"))[0] == 200

    play(scenario)


def test_nodes_name_each_other_until_one_leaves():
    async def scenario(deployment):
        first = await start(deployment)
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
        # it still serves those who were told of it
        assert (await deployment.ask(second, "/safe/1"))[0] == 200
        await stopping

    play(scenario)


def test_a_planned_stop_finishes_what_runs():
    async def scenario(deployment):
        node = await start(deployment)
        set_all(deployment, work_s=1.0)
        asking = [
            asyncio.ensure_future(deployment.ask(node, "/order/1", method="POST"))
            for _ in range(5)
        ]
        await wait_until(lambda: node.gateway.in_flight == 5, "five requests run")
        began_at = time.monotonic()
        await node.stop_gracefully()
        assert time.monotonic() - began_at < 2.0
        answers = await asyncio.gather(*asking)
        assert [status for status, _, _ in answers] == [200] * 5
        with pytest.raises(aiohttp.ClientConnectorError):
            await deployment.ask(node, "/safe/1")

    play(scenario)


def test_load_reports_reach_the_other_nodes():
    async def scenario(deployment):
        first = await start(deployment, instances=("i-1",))
        second = await deployment.add_node("vm-2")
        await wait_until(lambda: len(second.mesh.vms.list_known()) == 1, "the peer is known")
        set_all(deployment, slowness_pct=420)
        assert (await deployment.ask(first, "/safe/1"))[0] == 200

        def get_slowness():
            found = second.gateway.dispatchers.find_load("i-1")
            report = found and found[1].report
            return report.slowness if report else 0.0

        await wait_until(lambda: get_slowness() == 4.2, "the peer knows", 2.0)

    play(scenario)


def test_probes_of_all_nodes_together_keep_their_limit():
    async def scenario(deployment):
        await start(deployment)
        nodes = [*deployment.nodes, await deployment.add_node("vm-2")]
        until = time.monotonic() + 2.0
        while time.monotonic() < until:
            await asyncio.gather(*(deployment.ask(node, "/safe/1") for node in nodes))
            await asyncio.sleep(0.02)
        # a node that loses sight of the other takes over its servers, but slowly
        nodes[0].mesh.close()
        nodes[1].mesh.close()
        marks = time.monotonic()
        await asyncio.sleep(3.0)
        for instance in deployment.instances.values():
            probes = [at for at in instance.probes_at if at >= marks]
            assert len(probes) / 3.0 <= 60.0

    play(scenario)


def test_a_safe_request_whose_host_turns_slow_is_tried_at_another_server():
    async def scenario(deployment):
        node = await start(deployment)
        for _ in range(20):
            await deployment.ask(node, "/safe/1")
        for instance in deployment.instances.values():
            instance.behaviour = InstanceBehaviour(work_s=0.3)
        asking = asyncio.ensure_future(deployment.ask(node, "/safe/1", request_id="h-1"))
        await wait_until(lambda: deployment.count_runs("h-1"), "the request runs")
        for instance in deployment.instances.values():
            slow = bool(instance.runs["h-1"])
            instance.behaviour = InstanceBehaviour(work_s=0.005, slowness_pct=500 if slow else 100)
        status, _, _ = await asking
        assert status == 200
        assert deployment.count_runs("h-1") == 2
        orders = [
            asyncio.ensure_future(
                deployment.ask(node, "/order/1", method="POST", request_id=f"o-{number}")
            )
            for number in range(4)
        ]
        await asyncio.gather(*orders)
        assert [deployment.count_runs(f"o-{number}") for number in range(4)] == [1] * 4

    play(scenario)


def test_no_connection_outlives_the_end_of_listening():
    """Connections that are accepted at the very end, and send nothing yet, are closed as well."""

    async def scenario(deployment):
        node = await start(deployment)
        host, _, port = node.settings.listeners.entry.rpartition(":")
        opened = []

        async def open_until_refused():
            with contextlib.suppress(OSError):
                while True:
                    opened.append(await asyncio.open_connection(host, int(port)))
                    await asyncio.sleep(0.005)

        openers = [asyncio.ensure_future(open_until_refused()) for _ in range(3)]
        node.settings = msgspec.structs.replace(node.settings, grace_s=3.0)
        await node.stop_gracefully()
        await asyncio.gather(*openers)
        assert opened
        # the process would end now, and take with it what is still open
        assert not node._entry_server.connections
        for reader, writer in opened:
            async with asyncio.timeout(5.0):
                assert await reader.read() == b""
            writer.close()

    play(scenario)


def test_a_configuration_is_found_though_the_store_leaves_waiting_calls_alone():
    async def scenario(deployment):
        node = await start(deployment)
        await wait_until(lambda: deployment.store.waiting == 1, "the node waits for a change")
        deployment.store.behaviour.deaf = True
        deployment.configure(version=5)
        await wait_until(lambda: node.gateway.table.version == 5, "version 5 in force", 1.9)

    play(scenario)


def test_a_request_without_time_for_another_attempt_is_given_up_at_once():
    async def scenario(deployment):
        node = await start(deployment)
        set_all(deployment, work_s=0.2)
        for _ in range(30):
            await deployment.ask(node, "/safe/1")
        set_all(deployment, work_s=0.2, fail=500)
        status, _, _ = await deployment.ask(node, "/safe/1", request_id="n-1", deadline_ms=260)
        assert status == 500
        assert deployment.count_runs("n-1") == 1

    play(scenario)


def test_a_request_that_arrives_as_its_connection_is_closed_is_answered():
    """Its bytes are in the node, but its handler has not begun, when idle ones are closed."""

    async def scenario(deployment):
        node = await start(deployment)
        reader, writer = await open_to(node)
        server = node._entry_server
        await wait_until(lambda: server.connections, "the connection is accepted")
        (connection,) = server.connections
        connection.quiet_since -= 10.0
        head = "GET /safe/1 HTTP/1.1\r\nHost: fit.example\r\nJasmineseam-Request-Id: q-1\r\n\r\n"
        connection.data_received(head.encode())
        server.close_quiet()
        async with asyncio.timeout(5.0):
            answer = await reader.readuntil(b"\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 200")
        writer.close()

    play(scenario)


def find_lines(node, **wanted):
    return [line for line in node.lines if wanted.items() <= line.items()]


def test_a_late_answer_counts_as_a_failure_to_be_explained():
    async def scenario(deployment):
        deployment.configure(routes=[build_route("/late/", **{"target-latency": "1ms"})])
        options = msgspec.structs.replace(OPTIONS, log_lines_per_s=2)
        node = await start(deployment, configure=False, options=options)
        await asyncio.gather(*(deployment.ask(node, "/late/") for _ in range(3)))
        assert len(find_lines(node, outcome="answered")) == 2
        assert all(line["ms"] >= line["target_ms"] for line in find_lines(node, route="r/late/"))

    play(scenario)


@pytest.mark.parametrize(("sent", "status"), [(False, 503), (True, 502)])
def test_a_fault_of_the_node_is_logged_and_answered_truly(sent, status):
    async def scenario(deployment):
        node = await start(deployment)

        def fail(*_args, **_more):
            raise RuntimeError("a fault")

        if sent:
            node.gateway.dispatchers.get("fit").note_latency = fail
        else:
            node.gateway.dispatchers.get("fit").get_usual_s = fail
        got, headers, _ = await deployment.ask(node, "/safe/1", request_id="q-1")
        assert got == status
        assert ("Retry-After" in headers) == (not sent)
        (line,) = find_lines(node, id="q-1")
        assert line["outcome"] == "fault"

    play(scenario)


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
def test_what_a_caller_sends_is_bounded_by_the_configuration(header, body, status):
    async def scenario(deployment):
        deployment.configure(limits=LIMITS)
        node = await start(deployment, configure=False)
        got, _, _ = await deployment.ask(
            node, "/safe/1", method="POST", body=body, **{"X-Long": header}
        )
        assert got == status

    play(scenario)


def test_a_caller_that_is_slow_with_its_head_is_refused():
    async def scenario(deployment):
        deployment.configure(limits=LIMITS)
        node = await start(deployment, configure=False)
        reader, writer = await open_to(node)
        began_at = time.monotonic()
        writer.write(b"GET /safe/1 HTTP/1.1\r\nHost: fit")
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 408")
        # the limit, and the time between two checks
        assert 0.35 < time.monotonic() - began_at < 1.2
        writer.close()

    play(scenario)


def test_an_idle_connection_is_kept_for_as_long_as_callers_use_it_and_closed_later():
    async def scenario(deployment):
        deployment.configure(limits=LIMITS)
        node = await start(deployment, configure=False)
        reader, writer = await open_to(node)
        head = b"GET /safe/1 HTTP/1.1\r\nHost: fit.example\r\nJasmineseam-Request-Id: q-%d\r\n\r\n"
        for number in range(2):
            writer.write(head % number)
            answer = await reader.readuntil(b"\r\n\r\n")
            assert answer.startswith(b"HTTP/1.1 200")
            length = int(answer.lower().partition(b"content-length:")[2].split()[0])
            await reader.readexactly(length)
            ended_at = time.monotonic()
            # callers use a connection again within four fifths of the limit
            await asyncio.sleep(1.2 if number == 0 else 0.0)
        assert await reader.read() == b""
        assert 1.4 < time.monotonic() - ended_at < 2.4
        writer.close()

    play(scenario)


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
def test_a_route_whose_target_no_server_can_meet_is_served_beside_others(delay_s):
    """The node may also be slow itself: its loop stands still before a request is placed."""

    async def scenario(deployment):
        never = build_route("/never/", **{"target-latency": "1ms"})
        deployment.configure(routes=[*ROUTES, never])
        node = await start(deployment, instances=("i-1",), configure=False)
        for _ in range(20):
            await deployment.ask(node, "/safe/1")
        set_all(deployment, work_s=0.1)
        others = asyncio.gather(*(deployment.ask(node, "/safe/1") for _ in range(3)))
        await asyncio.sleep(0.03)
        dispatcher = node.gateway.dispatchers.get("fit")
        get_usual_s = dispatcher.get_usual_s

        def get_usual_slowly(kind):
            time.sleep(delay_s if kind == "r/never/" else 0.0)
            return get_usual_s(kind)

        dispatcher.get_usual_s = get_usual_slowly
        assert (await deployment.ask(node, "/never/1"))[0] == 200
        assert {status for status, _, _ in await others} == {200}

    play(scenario)


@pytest.mark.parametrize("down", ["busy", "reset", "silent"])
def test_a_node_that_the_store_turns_away_follows_its_peers(down):
    async def scenario(deployment):
        first = await start(deployment)
        other_address = await deployment.open_store()
        second = await deployment.add_node("vm-2", store_address=other_address)
        await wait_until(lambda: len(second.mesh.list_live()) == 2, "the nodes know each other")
        deployment.store.behaviour.turned_away = [int(other_address.rpartition(":")[2])]
        deployment.store.behaviour.down = down
        deployment.configure(version=7)
        for node in (first, second):
            await wait_until(lambda node=node: node.gateway.table.version == 7, "version 7", 1.9)
        await deployment.add_instance("i-9")
        deployment.store.remove("keyed.servers", "i-1")
        for node in (first, second):
            await wait_until(lambda node=node: has_servers(node, "i-2", "i-9"), "servers", 1.9)
            assert (await deployment.ask(node, "/safe/1"))[0] == 200

    play(scenario)


def has_servers(node, *names):
    return {listing.server.server_id for listing in node.registry.list_all()} == set(names)


def test_a_server_that_has_just_started_gets_work_only_when_the_others_are_taken():
    async def scenario(deployment):
        deployment.configure()
        cold = await deployment.add_instance("i-cold", cold_s=60.0)
        warm = await deployment.add_instance("i-warm")
        node = await deployment.add_node("vm-1")
        set_all(deployment, work_s=0.02)
        for _ in range(20):
            assert (await deployment.ask(node, "/safe/1"))[0] == 200
        assert sum(warm.runs.values()) >= 19
        await asyncio.gather(*(deployment.ask(node, "/safe/1") for _ in range(8)))
        assert sum(cold.runs.values()) >= 2

    play(scenario)
