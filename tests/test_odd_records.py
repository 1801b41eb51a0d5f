"""Records of other writers in the store: odd values in every topic that a node reads.

Such a record names no instance to use. The node goes on to follow the other records, no task of it
ends, requests are served, and each odd record has one line in the log.
"""

import asyncio
import base64
import json
import struct

import logbook
import pytest

from jasmineseam.exceptions import PlatformError
from jasmineseam.exceptions import StoreUnavailableError
from jasmineseam.membership.store_position import StorePosition
from jasmineseam.platform.store_client import StoreClient
from jasmineseam.platform.store_client import _decode_records
from jasmineseam.standalone import log_client
from jasmineseam.standalone.vm_list_client import VmListClient
from tests.deployment import run_scenario
from tests.deployment import wait_until
from tests.stand_alone_probe import build_prober

DEEP = b"[" * 200_000 + b"]" * 200_000
LARGE = b"9" * 400
SERVER = {
    "service": b'"fit"',
    "address": b'"10.9.9.9:80"',
    "zone": b'"d1"',
    "version": b'"v1"',
    "slots": b"4",
    "state": b'"ready"',
    "warmup-left": b'"0ms"',
    "sequence": b"7",
    "born": b"1",
}
ODD_VALUES = [DEEP, LARGE, b"-1", b"1.5", b"1e400", b"null", b"true", b'""', b"{}", b'"\xff"']
ODD_FIELDS = [
    *((field, value) for field in SERVER if field != "version" for value in ODD_VALUES),
    ("address", b'"10.9.9.9:0"'),
    ("address", b'"10.9.9.9:65536"'),
    ("address", b'"10.9.9.9:99999"'),
    ("address", b'"10.9.9.9:-1"'),
    ("address", b'"10.9.9.9"'),
    ("address", b'"10.9.9.9:80\\n"'),
    ("address", b'"256.1.1.1:80"'),
    ("address", b'"0.0.0.0:80"'),
    ("address", b'"255.255.255.255:80"'),
    ("address", b'"host.example:80"'),
    ("slots", b"0"),
    ("slots", b"9223372036854775807"),
    ("state", b'"gone"'),
    ("sequence", b"18446744073709551616"),
    ("born", b"18446744073709551616"),
    ("warmup-left", b'"' + LARGE + b's"'),
    ("warmup-left", b'"-5s"'),
    ("warmup-left", b'"99999999999s"'),
    ("service", b'"' + b"x" * 100_000 + b'"'),
    ("zone", b'"' + b"x" * 100_000 + b'"'),
    ("zone", b'"\\ud800"'),
]
ODD_DOCUMENTS = [
    b"",
    b"\x00",
    b"\xff\xfe",
    b"null",
    b"[]",
    b"7",
    b"{",
    DEEP,
    b'{"x":' * 100_000,
    b'{"service":"fit"}',
]
ODD_KEYS = ["a\r\nX-Y: 1", "\x00", "\x7f", "x y\t", "é" * 20]


def build_server(**changes):
    """Return a server's record with some of its fields replaced by raw JSON."""
    fields = {**SERVER, **{name.replace("_", "-"): value for name, value in changes.items()}}
    return b"{" + b",".join(b'"%b":%b' % (n.encode(), v) for n, v in fields.items()) + b"}"


def build_odd_servers():
    """Return all odd records of servers, by key."""
    records = {}
    for number, (field, value) in enumerate(ODD_FIELDS):
        records[f"odd-{number}"] = build_server(**{field: value})
    for number, document in enumerate(ODD_DOCUMENTS):
        if document:
            records[f"document-{number}"] = document
    for number, key in enumerate(ODD_KEYS[:-1]):
        records[key] = build_server(address=b'"10.9.8.%d:80"' % number)
    return records


@pytest.fixture(autouse=True)
def log():
    """Collect the log lines of all parts."""
    handler = logbook.TestHandler()
    with handler.applicationbound():
        yield handler


def count_invalid(log):
    return sum("invalid record" in record.message for record in log.records)


async def check_follows(deployment, node):
    """Check that the node follows the store and serves requests."""
    deployment.write_instance_record("i-1", state="draining")
    await wait_until(lambda: node.registry.count_usable() == 1, "i-1 is draining", 2.0)
    deployment.write_instance_record("i-1")
    await wait_until(lambda: node.registry.count_usable() == 2, "i-1 is back", 2.0)
    version = node.gateway.routing_table.version + 1
    deployment.write_configuration(version=version)
    await wait_until(
        lambda: node.gateway.routing_table.version == version, "the table is applied", 2.0
    )
    for path in ("/safe/1", "/order/1", "/pull/1"):
        for _ in range(4):
            assert (await deployment.send_request(node, path))[0] == 200
    assert not node.crashed
    assert node.task_restarts == {}


async def start(deployment, *, before=None, count=1):
    deployment.write_configuration()
    for name in ("i-1", "i-2"):
        await deployment.add_instance(name)
    if before is not None:
        before()
    return [await deployment.add_node(f"vm-{number}") for number in range(count)]


@pytest.mark.parametrize("starts", [False, True])
def test_odd_records_of_servers_are_left_out(starts, log):
    """Guards against a record that ends the task which follows the list, or the process."""

    async def scenario(deployment):
        records = build_odd_servers()

        def write():
            for key, value in records.items():
                deployment.store.put("keyed.servers", key, value)

        (node,) = await start(deployment, before=write if starts else None)
        if not starts:
            for key, value in records.items():
                deployment.store.put("keyed.servers", key, value)
                await asyncio.sleep(0.01)
        await wait_until(lambda: count_invalid(log) >= len(records), "all are logged", 5.0)
        await check_follows(deployment, node)
        assert node.registry.list_ids() == {"i-1", "i-2"}
        assert count_invalid(log) == len(records)

    run_scenario(scenario)


def test_other_nodes_get_a_list_without_odd_records():
    async def scenario(deployment):
        nodes = await start(deployment, count=4)
        await wait_until(
            lambda: all(len(node.fleet.membership.list_live()) == 4 for node in nodes), "all met"
        )
        for key, value in build_odd_servers().items():
            deployment.store.put("keyed.servers", key, value)
        await asyncio.sleep(0.5)
        for node in nodes:
            await check_follows(deployment, node)
            assert node.registry.list_ids() == {"i-1", "i-2"}
            assert not node.datagrams.dropped_by_reason["failed"]

    run_scenario(scenario)


def test_odd_record_of_a_server_that_is_listed_names_no_instance():
    async def scenario(deployment):
        (node,) = await start(deployment)
        for field, value in ODD_FIELDS[:4]:
            deployment.store.put("keyed.servers", "i-2", build_server(**{field: value}))
            await wait_until(lambda: node.registry.count_usable() == 1, "i-2 is left out", 2.0)
            deployment.write_instance_record("i-2")
            await wait_until(lambda: node.registry.count_usable() == 2, "i-2 is back", 2.0)
        await check_follows(deployment, node)

    run_scenario(scenario)


ODD_ADDRESSES = [
    b'"10.9.9.9:99999"',
    b'"10.9.9.9:-1"',
    b'"10.9.9.9:0"',
    b'"10.9.9.9"',
    b'"host.example:80"',
    b'"127.0.0.1:' + LARGE + b'"',
    b'""',
    b"7",
    b"null",
    DEEP,
    b'"' + b"x" * 100_000 + b'"',
]


@pytest.mark.parametrize("starts", [False, True])
def test_odd_records_of_nodes_are_left_out(starts, log):
    """Guards against an address that closes the socket for messages to all nodes."""

    async def scenario(deployment):
        records = {
            f"node-{number}": b'{"vm_id":"x","peer_address":%b}' % address
            for number, address in enumerate(ODD_ADDRESSES)
        }
        records.update((f"document-{number}", value) for number, value in enumerate(ODD_DOCUMENTS))

        def write():
            for key, value in records.items():
                deployment.store.put("keyed.nodes", key, value)

        (node,) = await start(deployment, before=write if starts else None)
        if not starts:
            write()
        # A node alone reads the list every second and tries each address in it.
        await wait_until(lambda: count_invalid(log) > 0, "a line", 5.0)
        await asyncio.sleep(2.5)
        await check_follows(deployment, node)
        assert node.fleet._contacts == set()
        assert count_invalid(log) == len([v for v in records.values() if v])
        second = await deployment.add_node("vm-second")
        await wait_until(
            lambda: all(len(each.fleet.membership.list_live()) == 2 for each in (node, second)),
            "the nodes meet",
        )

    run_scenario(scenario)


@pytest.mark.parametrize("starts", [False, True])
def test_odd_records_beside_the_configuration_are_left_out(starts):
    async def scenario(deployment):
        def write():
            for number, value in enumerate(ODD_DOCUMENTS):
                if value:
                    deployment.store.put("keyed.op", f"other-{number}", value)
            deployment.store.put("keyed.op", "evacuate/nowhere", DEEP)

        (node,) = await start(deployment, before=write if starts else None)
        if not starts:
            write()
        await check_follows(deployment, node)

    run_scenario(scenario)


CONFIGURATION = (
    b'{"version":"00000002","routes":[{"name":"r","host":"fit.example","path-prefix":"/safe/",'
    b'"type":"safe","service":"fit","timeout":%b,"weight":1}],'
    b'"services":[{"name":"fit","max-conns":%b}],"extra":%b}'
)


@pytest.mark.parametrize(
    "document",
    [
        *ODD_DOCUMENTS[1:],
        CONFIGURATION % (b'"' + LARGE + b's"', b"0", b"0"),
        CONFIGURATION % (b'"1s"', LARGE, b"0"),
        CONFIGURATION % (b'"1s"', b"0", DEEP),
        CONFIGURATION % (DEEP, b"0", b"0"),
    ],
)
def test_node_keeps_its_configuration_if_the_newest_one_is_odd(document):
    async def scenario(deployment):
        (node,) = await start(deployment)
        deployment.store.put("keyed.op", "config", document)
        await asyncio.sleep(0.3)
        assert (await deployment.send_request(node, "/safe/1"))[0] == 200
        deployment.write_configuration(version=9)
        await wait_until(lambda: node.gateway.routing_table.version == 9, "version 9", 3.0)
        await check_follows(deployment, node)

    run_scenario(scenario)


def build_log(*contents):
    parts = [struct.pack("!QQ", len(contents), 0)]
    for content in contents:
        parts.append(struct.pack("!I", len(content)) + content)
    return b"".join(parts)


@pytest.mark.parametrize("odd", [b"", b"\x09key", b"\xff", b"\x02\xff\xfevalue", b"\x00value"])
def test_record_without_a_readable_key_does_not_stop_the_log(odd):
    """Guards against a read that fails each time, since the record stays in the log."""
    batch = _decode_records(build_log(b"\x01avalue", odd, b"\x01bvalue"), StorePosition(1, 0))
    assert [record.key for record in batch.records if record.key in ("a", "b")] == ["a", "b"]
    assert len(batch.records) == 3
    assert batch.end == StorePosition(1, 3)


def test_truncated_log_is_still_an_error():
    with pytest.raises(StoreUnavailableError):
        _decode_records(build_log(b"\x01avalue")[:-1], StorePosition(1, 0))


@pytest.mark.parametrize(
    "odd",
    [
        b'{"key":"odd","value":"no base64!"}',
        b'{"key":"odd","value":7}',
        b'{"key":7,"value":""}',
        b'{"value":""}',
        b'{"key":"\xff","value":""}',
        b"null",
    ],
)
def test_item_that_cant_be_read_does_not_stop_the_list(odd):
    """Guards against a whole list that is never read because of one item."""

    async def scenario(deployment):
        client = StoreClient(address=deployment.store_address)
        value = base64.b64encode(b"v").decode()
        items = [json.dumps({"key": key, "value": value}).encode() for key in ("a", "b")]
        page = b'{"items":[%b,%b,%b],"end":3,"more":false}' % (items[0], odd, items[1])

        async def call(*args, **options):
            return type("Response", (), {"body": page, "timeline": 1})

        client._call = call
        batch = await client.read_latest("keyed.servers")
        assert [record.key for record in batch.records if not record.error] == ["a", "b"]
        assert batch.end == StorePosition(1, 3)
        await client.close()

    run_scenario(scenario)


VM = '{"vm_id":"%s","role":"server","address":"10.0.0.1:80","failure_domain":"d","service":"fit"}'
ODD_VMS = [
    b"null",
    b'{"vm_id":"odd"}',
    VM.replace('"server"', '"other"').encode() % b"odd",
    VM.replace(":80", ":99999").encode() % b"odd",
    VM.replace(":80", ":x").encode() % b"odd",
    VM.replace("10.0.0.1:80", "").encode() % b"odd",
    VM.replace('"d"', LARGE.decode()).encode() % b"odd",
]


@pytest.mark.parametrize("odd", ODD_VMS)
def test_odd_entry_of_the_vm_list_is_left_out(odd, log):
    """Guards stand-alone programs against a list that is not read because of one entry."""
    client = VmListClient(session=None, url="")
    vms = [(VM % name).encode() for name in ("a", "b")]
    for _ in range(3):
        vm_list = client._decode_list(b'{"vms":[%b,%b,%b]}' % (vms[0], odd, vms[1]))
        assert [vm.vm_id for vm in vm_list.vms] == ["a", "b"]
    assert sum("invalid entry" in record.message for record in log.records) == 1


@pytest.mark.parametrize("body", [DEEP, b'{"vms":' + DEEP + b"}", b"\xff", b"7"])
def test_odd_response_of_the_vm_list_or_the_log_is_an_error_of_the_platform(body):
    """Guards stand-alone programs against an end of the process by a deeply nested response."""
    with pytest.raises(PlatformError):
        VmListClient(session=None, url="")._decode_list(body)
    with pytest.raises(PlatformError):
        log_client._decode(body, log_client.LogPage)


def test_odd_claim_of_a_seat_is_skipped():
    prober = build_prober()
    for payload in (DEEP, b"\x00", b'{"seat":' + LARGE + b"}"):
        prober._apply_claim(payload.decode())
    assert prober._newest_claim_holder == ""
