"""Client accounts: authentication by keys, and keys that must not leave the node."""

import asyncio
import contextlib
import json
import re
import time

import logbook
import pytest
from prometheus_client import generate_latest

from jasmineseam.operations.node_settings import NodeOptions
from jasmineseam.operations.settings import MetricSettings
from jasmineseam.peers import datagrams
from jasmineseam.peers import rpc
from jasmineseam.peers.messages import StateDigest
from jasmineseam.peers.messages import decode_message
from jasmineseam.peers.messages import encode_message
from jasmineseam.requests.fingerprint import compute_fingerprint
from standins.configuration import build_route
from tests.deployment import run_scenario
from tests.deployment import wait_until
from tests.test_relays import RESET
from tests.test_relays import lose_path
from tests.test_relays import start_nodes

KEY = "k-alpha-5e1c"
OTHER_KEY = "k-beta-77aa"
TENANTS = [
    {"name": "alpha", "api-keys": [KEY]},
    {"name": "beta", "api-keys": [OTHER_KEY]},
]
ROUTES = [
    build_route("/safe/"),
    build_route("/order/", kind="unsafe"),
    {**build_route("/open/"), "public": True},
]


def authorize(key):
    return {"Authorization": f"Bearer {key}"}


def get_sent_headers(deployment, request_id):
    """Return the headers of a request as its server received them."""
    (headers,) = [
        headers
        for instance in deployment.instances.values()
        for headers in instance.request_headers
        if headers.get("jasmineseam-request-id") == request_id
    ]
    return headers


async def start_node(deployment, *, tenants=TENANTS, routes=ROUTES, **settings):
    deployment.write_configuration(routes=routes, tenants=tenants)
    await deployment.add_instance("i-1")
    return await deployment.add_node("vm-1", **settings)


@pytest.mark.parametrize(
    ("path", "headers", "status", "account"),
    [
        ("/safe/1", authorize(KEY), 200, "alpha"),
        ("/safe/1", {"authorization": f"bearer {OTHER_KEY}"}, 200, "beta"),
        ("/safe/1", {"AUTHORIZATION": f"BEARER  {KEY} "}, 200, "alpha"),
        ("/safe/1", {**authorize(KEY), "jasmineseam-TENANT": "beta"}, 200, "alpha"),
        (
            "/safe/1",
            {**authorize(KEY), "Connection": "Jasmineseam-Tenant, close"},
            200,
            "alpha",
        ),
        ("/safe/1", {}, 401, None),
        ("/safe/1", {"Jasmineseam-Tenant": "alpha"}, 401, None),
        ("/safe/1", authorize("k-unknown"), 401, None),
        ("/safe/1", {"Authorization": KEY}, 401, None),
        ("/safe/1", {"Authorization": f"Basic {KEY}"}, 401, None),
        ("/open/1", {}, 200, None),
        ("/open/1", {"Jasmineseam-Tenant": "alpha"}, 200, None),
        ("/open/1", authorize("k-unknown"), 200, None),
        ("/open/1", authorize(KEY), 200, "alpha"),
        ("/none/1", {}, 404, None),
    ],
)
def test_server_gets_the_account_and_never_the_key(path, headers, status, account):
    async def scenario(deployment):
        node = await start_node(deployment)
        answer = await deployment.send_request(node, path, request_id="q-1", **headers)
        assert answer[0] == status
        if status != 200:
            assert deployment.count_runs("q-1") == 0
            return
        sent = get_sent_headers(deployment, "q-1")
        assert sent.get("jasmineseam-tenant") == account
        assert "authorization" not in sent

    run_scenario(scenario)


def test_without_accounts_headers_are_forwarded_as_received():
    async def scenario(deployment):
        node = await start_node(deployment, tenants=())
        headers = {**authorize(KEY), "Jasmineseam-Tenant": "alpha"}
        status, _, _ = await deployment.send_request(node, "/safe/1", request_id="q-1", **headers)
        sent = get_sent_headers(deployment, "q-1")
        assert status == 200
        assert sent["authorization"] == f"Bearer {KEY}"
        assert sent["jasmineseam-tenant"] == "alpha"

    run_scenario(scenario)


def test_node_without_configuration_refuses_keys_with_503():
    async def scenario(deployment):
        node = await deployment.add_node("vm-1", wait_until_ready=False)
        status, headers, _ = await deployment.send_request(node, "/safe/1", **authorize(KEY))
        assert status == 503
        assert float(headers["Retry-After"]) > 0.0

    run_scenario(scenario)


def test_fingerprint_depends_on_the_account():
    arguments = ("GET", "/a", {"Host": "h"}, b"body")
    plain = compute_fingerprint(*arguments)
    assert compute_fingerprint(*arguments, account="") == plain
    named = {compute_fingerprint(*arguments, account=name) for name in ("alpha", "beta")}
    assert len(named | {plain}) == 3


def test_relayed_request_names_the_account_and_not_the_key(monkeypatch):
    """Guards against keys in messages between nodes, and requests relayed without account."""
    messages = []

    async def scenario(deployment):
        async with start_nodes(deployment, routes=ROUTES, tenants=TENANTS) as ((cut,), _):
            await lose_path(deployment, cut, authorize(KEY), **RESET)
            status, _, _ = await deployment.send_request(
                cut.node, "/order/1", request_id="q-1", **authorize(KEY)
            )
            assert status == 200
            assert cut.node.relay_client.outcome_counts["200"] >= 1
            sent = get_sent_headers(deployment, "q-1")
            assert sent["jasmineseam-tenant"] == "alpha"
            assert "authorization" not in sent

    record_messages(monkeypatch, messages)
    run_scenario(scenario)
    assert any(b"relayed-request" in data for data in messages)
    assert not any(KEY.encode() in data for data in messages)


def record_messages(monkeypatch, messages):
    """Record the encoded messages that nodes send and receive."""

    def encode(message):
        data = encode_message(message)
        messages.append(data)
        return data

    for module in (datagrams, rpc):
        monkeypatch.setattr(module, "encode_message", encode)


# Messages of nodes of commit f908b59, encoded there.
OLD_PING = (
    "0184a474797065a470696e67a673656e6465729aa4766d2d3107a26431aa31302e302e302e313a31aa31302e302e302e"
    "313a32aa31302e302e302e313a33c3c2c390a6646967657374950501920104ccfa09a16e03"
)
OLD_RELAYED_REQUEST = (
    "018fa474797065af72656c617965642d72657175657374a872656c61795f6964a8766d2d312f312d31a7736572766963"
    "65a173a5726f75746589a46e616d65a172a4686f7374a168ab706174685f707265666978a12faa6964656d706f74656e"
    "74c3a873657276696365739182a773657276696365a173a6776569676874cb3ff0000000000000ac6d61785f61747465"
    "6d70747301a87072696f7269747900a974696d656f75745f73c0a87461726765745f73c0ad7461626c655f7665727369"
    "6f6e01aa726571756573745f6964a3712d31a66d6574686f64a3474554a470617468c4022f61a7686561646572739292"
    "c404486f7374c4016892c40d417574686f72697a6174696f6ec409426561726572206b31a4626f6479c400ab72656d61"
    "696e696e675f73cb3ff0000000000000a87461726765745f73cb3fe0000000000000a9656c61707365645f73cb000000"
    "0000000000a7636f756e746564c3b36578636c756465645f7365727665725f69647390"
)


def test_messages_of_the_earlier_build_are_understood():
    ping = decode_message(bytes.fromhex(OLD_PING))
    assert (ping.digest.servers_age_ms, ping.digest.table_age_ms) == (250, -1)
    request = decode_message(bytes.fromhex(OLD_RELAYED_REQUEST))
    assert (request.request_id, request.account, request.key_hash) == ("q-1", None, b"")
    # The fields that this build adds come last, where nodes of the earlier build ignore them.
    assert decode_message(encode_message(ping)) == ping
    assert StateDigest.__struct_fields__[:5] == (
        "nodes_hash",
        "table_version",
        "servers_position",
        "servers_age_ms",
        "notices_hash",
    )


async def send_raw(node, *parts, pause_s=0.0):
    """Send bytes over one connection and return all that the node sends until it is silent."""
    host, _, port = node.settings.listeners.entry.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b""
    try:
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause_s)
        with contextlib.suppress(TimeoutError, ConnectionError):
            async with asyncio.timeout(1.0):
                while chunk := await reader.read(65536):
                    received += chunk
    finally:
        writer.close()
    return received


def build_head(method, path, *headers):
    lines = [f"{method} {path} HTTP/1.1", "Host: fit.example", *headers, "", ""]
    return "\r\n".join(lines).encode()


def list_statuses(received):
    return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d{3}) ", received)]


BEARER = f"Authorization: Bearer {KEY}"


@pytest.mark.parametrize(
    ("headers", "status"),
    [
        ([BEARER], 200),
        ([f"aUTHORIZATION: bEARER {KEY}"], 200),
        ([BEARER, BEARER], 401),
        ([BEARER, f"Authorization: Bearer {OTHER_KEY}"], 401),
        ([f"Authorization: Basic {KEY}", BEARER], 401),
        ([BEARER, "Jasmineseam-Tenant: beta", "jasmineseam-tenant: gamma"], 200),
        ([f"Proxy-Authorization: Bearer {KEY}"], 401),
    ],
)
def test_headers_given_twice_or_in_odd_case(headers, status):
    async def scenario(deployment):
        node = await start_node(deployment)
        received = await send_raw(node, build_head("GET", "/safe/1", *headers))
        assert list_statuses(received) == [status]
        (instance,) = deployment.instances.values()
        sent = [head for head in instance.request_headers if head.get("host") == "fit.example"]
        assert len(sent) == int(status == 200)
        for head in sent:
            assert head["jasmineseam-tenant"] == "alpha"
            assert KEY not in str(head)

    run_scenario(scenario)


def test_pipelined_requests_are_authenticated_one_by_one():
    """Guards against a key that counts for later requests of its connection."""

    async def scenario(deployment):
        node = await start_node(deployment)
        keyed = build_head("GET", "/safe/1", BEARER)
        bare = build_head("GET", "/safe/2")
        wrong = build_head("GET", "/safe/3", "Authorization: Bearer k-unknown")
        received = await send_raw(node, keyed + bare + wrong + keyed)
        assert list_statuses(received) == [200, 401, 401, 200]
        received = await send_raw(node, keyed, bare, keyed, pause_s=0.1)
        assert list_statuses(received) == [200, 401, 200]

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("method", "headers", "body"),
    [
        ("HEAD", [], b""),
        ("POST", ["Content-Length: 900000"], b""),
        ("POST", ["Content-Length: 900000"], b"x" * 1000),
        ("POST", ["Content-Length: 900000", "Expect: 100-continue"], b""),
        ("POST", ["Transfer-Encoding: chunked"], b"5\r\nGET /\r\n"),
    ],
)
def test_401_does_not_wait_for_the_body(method, headers, body):
    async def scenario(deployment):
        node = await start_node(deployment)
        started_at = time.monotonic()
        host, _, port = node.settings.listeners.entry.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(build_head(method, "/safe/1", *headers) + body)
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
        assert head.startswith(b"HTTP/1.1 401 ")
        assert time.monotonic() - started_at < 0.5
        writer.close()

    run_scenario(scenario)


def test_refused_body_is_not_taken_for_a_request():
    """The rest of a body that the node has not read may look like a request with a valid key."""

    async def scenario(deployment):
        node = await start_node(deployment)
        inner = build_head("GET", "/safe/1", BEARER)
        outer = build_head("POST", "/safe/2", f"Content-Length: {len(inner)}")
        received = await send_raw(node, outer, inner, pause_s=0.1)
        assert list_statuses(received) == [401]
        received = await send_raw(node, outer + inner + inner)
        assert list_statuses(received) in ([401], [401, 200])
        (instance,) = deployment.instances.values()
        runs = [head for head in instance.request_headers if head.get("host") == "fit.example"]
        assert len(runs) <= 1

    run_scenario(scenario)


def test_key_appears_in_no_output(monkeypatch, capfd, caplog):
    """Searches log lines, dumps, metrics, responses and messages between nodes."""
    messages = []
    outputs = []
    bad_keys = ("k-unknown-9f3b", "k-broken-4d21")

    async def scenario(deployment):
        options = NodeOptions(metrics=MetricSettings(exporter="prometheus"), fatal_invariants=True)
        deployment.write_configuration(routes=ROUTES, tenants=TENANTS)
        await deployment.add_instance("i-1")
        nodes = [await deployment.add_node(f"vm-{n}", options=options) for n in range(2)]
        (instance,) = deployment.instances.values()
        for key in (KEY, *bad_keys):
            for path in ("/safe/1", "/order/1", "/open/1", "/none/1"):
                answer = await deployment.send_request(nodes[0], path, **authorize(key))
                outputs.append(repr(answer))
        # headers that the HTTP parser rejects
        for line in (f"{BEARER}\x00", f"Authorization : Bearer {bad_keys[1]}", f"{BEARER}\x07x"):
            outputs.append(repr(await send_raw(nodes[0], build_head("GET", "/safe/1", line))))
        deployment.write_configuration(version=2, routes=ROUTES, tenants=TENANTS[1:])
        await wait_until(
            lambda: all(node.gateway.routing_table.version == 2 for node in nodes), "version 2"
        )
        answer = await deployment.send_request(nodes[0], "/safe/1", **authorize(KEY))
        assert answer[0] == 401
        # A configuration in which two accounts share a key stays out of force as a whole.
        twins = [{"name": name, "api-keys": [KEY]} for name in ("one", "two")]
        deployment.write_configuration(version=3, routes=ROUTES, tenants=twins)
        await asyncio.sleep(1.2)
        assert all(node.gateway.routing_table.version == 2 for node in nodes)
        # An internal error logs a traceback.
        nodes[0].gateway.attempts.run = None
        answer = await deployment.send_request(nodes[0], "/safe/1", **authorize(OTHER_KEY))
        assert answer[0] == 503
        outputs.extend([repr(answer), *(node.dump_state() for node in nodes)])
        outputs.extend(json.dumps(line) for node in nodes for line in node.lines)
        outputs.append(generate_latest().decode())
        sent = [
            {**head, "authorization": ""}
            for head in instance.request_headers
            if head.get("host") == "fit.example"
        ]
        outputs.append(repr(sent))
        assert not any("authorization" in head for head in instance.request_headers)

    record_messages(monkeypatch, messages)
    with logbook.TestHandler().applicationbound() as handler:
        run_scenario(scenario)
    captured = capfd.readouterr()
    outputs.extend([captured.out, captured.err, caplog.text, *handler.formatted_records])
    text = "\n".join(outputs)
    assert "unknown-key" in text
    assert "alpha" in text
    assert "share a key" in text
    for key in (KEY, OTHER_KEY, *bad_keys):
        assert key not in text
        assert not any(key.encode() in data for data in messages)
    assert messages
