"""Client accounts: authentication by keys, and keys that must not leave the node."""

import pytest

from jasmineseam.requests.fingerprint import compute_fingerprint
from standins.configuration import build_route
from tests.deployment import run_scenario
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
    from jasmineseam.peers import datagrams
    from jasmineseam.peers import rpc
    from jasmineseam.peers.messages import encode_message

    def encode(message):
        data = encode_message(message)
        messages.append(data)
        return data

    for module in (datagrams, rpc):
        monkeypatch.setattr(module, "encode_message", encode)
