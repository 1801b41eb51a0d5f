"""Requests that arrive at any moment of a planned stop: none that was passed on is left alone.

A request of which no server knows may end with its connection, unless its process has had it for
longer than ``SLACK_S``.
"""

import asyncio
import time

import pytest

from bench.cluster import Cluster
from bench.cluster import send_json_request
from tests.deployment import run_scenario
from tests.test_relays import RESET
from tests.test_relays import lose_path
from tests.test_relays import start_nodes
from tests.test_stop_answers import GRACE_S
from tests.test_stop_answers import start_node
from tests.test_stop_answers import stop

# fractions of the grace period; listening ends at 0.45, and what is left is ended at 0.91
MOMENTS = [0.02, 0.2, 0.4, 0.44, 0.46, 0.6, 0.8, 0.88, 0.9, 0.905, 0.91, 0.915, 0.92, 0.93, 0.935]
SLACK_S = 0.25
HEAD = (
    "{method} {path} HTTP/1.1\r\nHost: {host}\r\nJasmineseam-Request-Id: {request_id}\r\n"
    "Request-Id: {request_id}\r\nJasmineseam-Deadline-Ms: 9000\r\n{key}"
    "Content-Length: {length}\r\n\r\n"
)
HOST = "fit.example"


def build_request(request_id, method="POST", path="/order/1", body=b"", host=HOST, key_prefix=""):
    head = HEAD.format(
        method=method,
        path=path,
        host=host,
        request_id=request_id,
        key=f"Idempotency-Key: {key_prefix}.{request_id}\r\n" if key_prefix else "",
        length=len(body),
    )
    return head.encode() + body


class LateCaller:
    """A caller with one connection, which sends parts of its requests at given times.

    :param ids: the ids of its requests.
    """

    def __init__(self, *ids):
        self.ids = ids
        self.sent_at = None
        self.ended_at = None
        self.received = b""

    async def send(self, address, parts, opened_at, last_at):
        """Open the connection, and send all parts but the last one; send that later."""
        host, _, port = address.rpartition(":")
        await asyncio.sleep(opened_at - time.monotonic())
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return
        reading = asyncio.ensure_future(self._read(reader))
        try:
            for part in parts[:-1]:
                writer.write(part)
                await writer.drain()
            await asyncio.sleep(last_at - time.monotonic())
            if not reading.done():
                writer.write(parts[-1])
                await writer.drain()
                self.sent_at = time.monotonic()
        except OSError:
            pass
        await reading
        writer.transport.abort()

    async def _read(self, reader):
        try:
            while data := await reader.read(65_536):
                self.received += data
        except OSError:
            pass
        self.ended_at = time.monotonic()

    def find_lost(self, was_run):
        """Return the ids of requests that were left without a response."""
        answers = self.count_answers()
        lost = []
        for request_id in self.ids[answers:]:
            held_s = 0.0 if self.sent_at is None else self.ended_at - self.sent_at
            if was_run(request_id) or held_s > SLACK_S:
                lost.append(f"{request_id} run={was_run(request_id)} held={held_s:.2f}")
        return lost

    def count_answers(self):
        """Return the number of complete responses."""
        count = 0
        rest = self.received
        while b"\r\n\r\n" in rest:
            head, _, rest = rest.partition(b"\r\n\r\n")
            (length,) = [
                int(line.split(b":")[1])
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"content-length:")
            ]
            if len(rest) < length:
                break
            rest = rest[length:]
            count += 1
        return count


def plan_new(number, **options):
    """Return one request on a new connection."""
    return LateCaller(f"new{number}"), [build_request(f"new{number}", **options)], 0.0


def plan_kept(number, **options):
    """Return one request on a connection that is open when the stop begins."""
    return LateCaller(f"kept{number}"), [b"", build_request(f"kept{number}", **options)], None


def plan_split_head(number, **options):
    """Return a head that arrives in two parts, the first one before the stop."""
    request = build_request(f"split{number}", **options)
    return LateCaller(f"split{number}"), [request[:40], request[40:]], None


def plan_upload(number, **options):
    """Return a body whose last byte arrives late."""
    request = build_request(f"up{number}", body=b"x" * 200_000, **options)
    return LateCaller(f"up{number}"), [request[:-1], request[-1:]], None


def plan_upload_in_grace(number, **options):
    """Return a body that begins in the grace period."""
    request = build_request(f"mid{number}", body=b"x" * 200_000, **options)
    return LateCaller(f"mid{number}"), [request[:-1], request[-1:]], 0.3


def plan_pipelined(number, **options):
    """Return three requests at once on a connection that is open when the stop begins."""
    ids = [f"pipe{number}-{index}" for index in range(3)]
    requests = b"".join(build_request(request_id, **options) for request_id in ids)
    return LateCaller(*ids), [b"", requests], None


PLANS = [
    plan_new,
    plan_kept,
    plan_split_head,
    plan_upload,
    plan_upload_in_grace,
    plan_pipelined,
]


def start_callers(address, plan, stop_at, grace_s, *, moments=MOMENTS, **options):
    """Start a caller for each moment; return the callers and their tasks."""
    callers = []
    tasks = []
    for number, moment in enumerate(moments):
        caller, parts, opened = plan(number, **options)
        last_at = stop_at + moment * grace_s
        if opened is None:
            opened_at = stop_at - 0.2
        else:
            opened_at = last_at if len(parts) == 1 else stop_at + opened * grace_s
        callers.append(caller)
        tasks.append(asyncio.ensure_future(caller.send(address, parts, opened_at, last_at)))
    return callers, tasks


def end_process(node):
    """Close the connections that are left, as the end of the process does."""
    for connection in list(node._listeners.caller_server.connections):
        if connection.transport is not None:
            connection.transport.abort()


def find_lost(callers, was_run):
    return [lost for caller in callers for lost in caller.find_lost(was_run)]


@pytest.mark.parametrize("behaviour", [{"work_s": 0.2}, {"fault": "mute"}], ids=["slow", "mute"])
@pytest.mark.parametrize("method", ["POST", "GET"])
@pytest.mark.parametrize("plan", PLANS)
def test_node_leaves_no_late_request_without_a_response(plan, method, behaviour):
    async def scenario(deployment):
        node, instance = await start_node(deployment, slots=50, max_queued=50, **behaviour)
        stop_at = time.monotonic() + 0.4
        path = "/order/1" if method == "POST" else "/safe/1"
        callers, tasks = start_callers(
            node.settings.listeners.entry, plan, stop_at, GRACE_S, method=method, path=path
        )
        await asyncio.sleep(stop_at - time.monotonic())
        await stop(node)
        end_process(node)
        await asyncio.gather(*tasks)
        lost = find_lost(callers, lambda request_id: instance.run_counts[request_id] > 0)
        assert lost == []
        assert sum(caller.count_answers() for caller in callers) > 0

    run_scenario(scenario)


@pytest.mark.parametrize("stopping", ["relaying", "cut"])
@pytest.mark.parametrize("work_s", [0.2, 30.0])
def test_node_leaves_no_relayed_request_without_a_response(stopping, work_s):
    """Either the node that relays or the one that is cut off from the servers is stopped."""

    async def scenario(deployment):
        async with start_nodes(deployment, count=3) as ((cut,), others):
            await lose_path(deployment, cut, **RESET)
            for instance in deployment.instances.values():
                instance.behaviour.work_s = work_s
            node = others[0] if stopping == "relaying" else cut.node
            stop_at = time.monotonic() + 0.4
            callers = []
            tasks = []
            for plan in (plan_kept, plan_new, plan_upload):
                added = start_callers(
                    cut.node.settings.listeners.entry,
                    plan,
                    stop_at,
                    node.settings.grace_s,
                    path="/order/1",
                )
                callers += added[0]
                tasks += added[1]
            await asyncio.sleep(stop_at - time.monotonic())
            async with asyncio.timeout(node.settings.grace_s):
                await node.stop_gracefully()
                await node._listeners.close()
            end_process(node)
            if stopping == "relaying":
                await asyncio.sleep(2.0)
                await cut.node.stop_gracefully()
                end_process(cut.node)
            async with asyncio.timeout(5.0):
                await asyncio.gather(*tasks)
            lost = find_lost(callers, lambda request_id: deployment.count_runs(request_id) > 0)
            assert lost == []
            assert sum(caller.count_answers() for caller in callers) > 0

    run_scenario(scenario)


# seconds after SIGTERM; the entry closes its listener after 2 s, and ends 1.5 s after the last of
# its requests
ENTRY_MOMENTS = [0.1, 1.9, 1.95, 2.0, 2.05, 2.1, 2.4, 3.0, 3.5, 4.0, 4.5, 5.0, 5.3, 5.5, 5.6]


@pytest.mark.parametrize("keyed", [False, True])
def test_entry_leaves_no_late_request_without_a_response(keyed):
    with Cluster(name="late-requests") as cluster:
        cluster.start_servers("fittings", ["fit-0", "fit-1"], "--mean-s", "0.2")
        vm = cluster.add_vm(0, 1)
        cluster.start_vm(vm)
        cluster.wait_until_entries_listed(1)
        assert cluster.publish(vm, {"service": "fittings", "owner": "k"})["exit_code"] == 0
        named = send_json_request(vm.locator_address, "/v1/entries")["entries"]
        prefix = named[0]["key_prefix"]

        async def load():
            stop_at = time.monotonic() + 0.5
            callers = []
            tasks = []
            for plan in PLANS:
                added = start_callers(
                    vm.http_address,
                    plan,
                    stop_at,
                    1.0,
                    moments=ENTRY_MOMENTS,
                    host="fittings",
                    key_prefix=prefix if keyed else "",
                )
                callers += added[0]
                tasks += added[1]
            await asyncio.sleep(stop_at - time.monotonic())
            process = vm.programs["entry"]
            process.terminate()
            assert await asyncio.to_thread(process.wait, 30) == 0
            await asyncio.gather(*tasks)
            return callers

        callers = asyncio.run(load())
        runs = cluster.count_executions()
        lost = find_lost(callers, lambda request_id: runs[request_id] > 0)
        assert lost == [], cluster.read_logs()[-3000:]
        assert sum(caller.count_answers() for caller in callers) > 50
