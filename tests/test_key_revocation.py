"""Keys that a new routing table removes: open connections, queued and relayed requests."""

import asyncio

import aiohttp
import pytest
import yarl
from multidict import CIMultiDict

from jasmineseam.exceptions import NotRunError
from jasmineseam.fleet.table_confirmation import MAX_AGE_MS
from jasmineseam.fleet.table_confirmation import MAX_TABLE_AGE_S
from jasmineseam.fleet.table_confirmation import TABLE_READ_LAG_S
from jasmineseam.fleet.table_confirmation import TableConfirmation
from jasmineseam.membership.store_position import StorePosition
from jasmineseam.node.authentication import Authenticator
from jasmineseam.node.proxied_request import ProxiedRequest
from jasmineseam.peers.messages import StateDigest
from jasmineseam.platform.headers import HEADER_CODEC
from jasmineseam.routing.routes import ClientAccount
from jasmineseam.routing.routes import Route
from jasmineseam.routing.routes import RouteIndex
from jasmineseam.routing.routes import RoutingTable
from jasmineseam.routing.routes import WeightedService
from jasmineseam.routing.routes import hash_key
from standins.instance import InstanceBehaviour
from tests.deployment import run_scenario
from tests.deployment import wait_until
from tests.test_accounts import KEY
from tests.test_accounts import OTHER_KEY
from tests.test_accounts import ROUTES
from tests.test_accounts import TENANTS
from tests.test_accounts import authorize
from tests.test_accounts import start_node
from tests.test_relays import RESET
from tests.test_relays import lose_path
from tests.test_relays import start_nodes

ALPHA = ClientAccount(name="alpha", key_hashes=[hash_key(KEY)])
BETA = ClientAccount(name="beta", key_hashes=[hash_key(OTHER_KEY)])
NEEDS_KEY = Route(
    name="r",
    host="h",
    path_prefix="/",
    idempotent=True,
    services=[WeightedService(service="s")],
)
PUBLIC = Route(
    name="p",
    host="h",
    path_prefix="/open/",
    idempotent=True,
    services=[WeightedService(service="s")],
    public=True,
)


class Accounts:
    """An authenticator whose routing table and clock can be set."""

    def __init__(self, *accounts, version=1, fail_closed=False, max_age_s=0.0):
        self.now = 100.0
        self.confirmation = TableConfirmation(clock=lambda: self.now)
        self.confirmation.confirm(0.0)
        self.authenticator = Authenticator(header_codec=HEADER_CODEC, get_index=lambda: self.index)
        self.authenticator.set_freshness(
            self.confirmation, fail_closed=fail_closed, max_age_s=max_age_s
        )
        self.apply(*accounts, version=version)

    def apply(self, *accounts, version):
        table = RoutingTable(version=version, routes=[], services=[], accounts=list(accounts))
        self.index = RouteIndex(table=table)

    def make_request(self, key, *, route=NEEDS_KEY, version=1):
        proxied = ProxiedRequest()
        proxied.route = route
        proxied.method, proxied.path = "GET", "/"
        proxied.table_version = version
        proxied.headers = CIMultiDict({"Host": "h"})
        if key is not None:
            proxied.headers["Authorization"] = f"Bearer {key}"
        return proxied

    def run(self, function, *arguments):
        """Return status and reason of a refusal, ``None`` if there is none."""
        try:
            function(*arguments)
        except NotRunError as error:
            return error.status, error.reason
        return None


def get_account_header(proxied):
    assert "Authorization" not in proxied.headers
    return proxied.headers.get("Jasmineseam-Tenant")


@pytest.mark.parametrize(
    ("accounts", "route", "refusal", "header"),
    [
        ([BETA], NEEDS_KEY, (401, "unknown-key"), None),
        ([ALPHA, BETA], NEEDS_KEY, None, "alpha"),
        ([ClientAccount(name="gamma", key_hashes=[hash_key(KEY)])], NEEDS_KEY, None, "gamma"),
        ([BETA], PUBLIC, None, None),
        ([], NEEDS_KEY, None, "alpha"),
    ],
)
def test_accepted_request_is_checked_against_a_newer_table(accounts, route, refusal, header):
    """Guards against requests that outlive their key in a queue."""
    state = Accounts(ALPHA, BETA)
    proxied = state.make_request(KEY, route=route)
    state.authenticator.authenticate(proxied)
    assert get_account_header(proxied) == "alpha"
    state.apply(*accounts, version=2)
    for _ in range(2):
        assert state.run(state.authenticator.check, proxied) == refusal
    if refusal is None:
        assert get_account_header(proxied) == header


def test_request_from_before_the_first_accounts_is_authenticated_when_sent():
    state = Accounts()
    valid, unknown = state.make_request(KEY), state.make_request("k-unknown")
    for proxied in (valid, unknown):
        state.authenticator.authenticate(proxied)
        assert "Authorization" in proxied.headers
    state.apply(ALPHA, version=2)
    assert state.run(state.authenticator.check, valid) is None
    assert get_account_header(valid) == "alpha"
    assert state.run(state.authenticator.check, unknown) == (401, "unknown-key")
    assert "Authorization" not in unknown.headers


@pytest.mark.parametrize(
    ("own_version", "accounts", "sender_version", "refusal"),
    [
        (1, [ALPHA], 1, None),
        (1, [BETA], 2, None),
        (1, [], 2, None),
        (3, [BETA], 2, (401, "unknown-key")),
        (3, [], 2, None),
    ],
)
def test_relayed_request_is_checked_by_the_newer_table(
    own_version, accounts, sender_version, refusal
):
    state = Accounts(*accounts, version=own_version)
    proxied = state.make_request(None, version=sender_version)
    result = state.run(state.authenticator.authenticate_relayed, proxied, "alpha", hash_key(KEY))
    assert result == refusal
    if refusal is None:
        assert (proxied.account.name, get_account_header(proxied)) == ("alpha", "alpha")


@pytest.mark.parametrize(
    ("key", "sender_version", "refusal"),
    [
        (KEY, 1, None),
        ("k-unknown", 1, (401, "unknown-key")),
        ("k-unknown", 2, (503, "configuration-outdated")),
        (None, 1, (401, "no-key")),
    ],
)
def test_request_relayed_by_an_earlier_build_is_authenticated(key, sender_version, refusal):
    """Nodes of the earlier build know no accounts and relay the caller's headers."""
    state = Accounts(ALPHA)
    proxied = state.make_request(key, version=sender_version)
    proxied.headers["Jasmineseam-Tenant"] = "beta"
    assert state.run(state.authenticator.authenticate_relayed, proxied, None, b"") == refusal
    assert get_account_header(proxied) == (None if refusal else "alpha")


@pytest.mark.parametrize(
    ("fail_closed", "max_age_s", "age_s", "key", "route", "refusal"),
    [
        (False, 5.0, MAX_TABLE_AGE_S - 0.1, "k-unknown", NEEDS_KEY, (401, "unknown-key")),
        (
            False,
            5.0,
            MAX_TABLE_AGE_S + 0.1,
            "k-unknown",
            NEEDS_KEY,
            (503, "configuration-outdated"),
        ),
        (False, 5.0, 1e6, KEY, NEEDS_KEY, None),
        (False, 5.0, 1e6, None, NEEDS_KEY, (401, "no-key")),
        (True, 5.0, 4.9, KEY, NEEDS_KEY, None),
        (True, 5.0, 5.1, KEY, NEEDS_KEY, (503, "configuration-unconfirmed")),
        (True, 5.0, 5.1, KEY, PUBLIC, None),
        (True, 0.0, MAX_TABLE_AGE_S + 0.1, KEY, NEEDS_KEY, (503, "configuration-unconfirmed")),
    ],
)
def test_unconfirmed_table_refuses_with_503(fail_closed, max_age_s, age_s, key, route, refusal):
    state = Accounts(ALPHA, fail_closed=fail_closed, max_age_s=max_age_s)
    state.now += age_s
    proxied = state.make_request(key, route=route)
    assert state.run(state.authenticator.authenticate, proxied) == refusal
    if refusal is None and route is NEEDS_KEY and fail_closed:
        # The request waits in a queue while the table becomes unconfirmed.
        state.now += 1.0
        unconfirmed = (503, "configuration-unconfirmed")
        assert state.run(state.authenticator.check, proxied) == unconfirmed


@pytest.mark.parametrize(
    ("table_version", "servers_age_ms", "table_age_ms", "own_age_s"),
    [
        (7, 0, 400, 0.4),
        (6, 0, 400, 0.4),
        (8, 0, 400, float("inf")),
        (-1, 0, 400, float("inf")),
        (7, 0, MAX_AGE_MS, float("inf")),
        (7, 300, -1, 0.3 + TABLE_READ_LAG_S),
        (7, -1, -1, float("inf")),
    ],
)
def test_digests_confirm_the_table(table_version, servers_age_ms, table_age_ms, own_age_s):
    confirmation = TableConfirmation(clock=lambda: 100.0)
    digest = StateDigest(
        nodes_hash=1,
        table_version=table_version,
        servers_position=StorePosition(1, 1),
        servers_age_ms=servers_age_ms,
        table_age_ms=table_age_ms,
    )
    confirmation.record_digest(digest, 7)
    assert confirmation.get_age_s() == pytest.approx(own_age_s)


def test_table_is_outdated_while_another_node_has_a_newer_one():
    confirmation = TableConfirmation(clock=lambda: 100.0)
    confirmation.confirm(0.0)
    digest = StateDigest(1, 8, StorePosition(1, 1), 0, 0, 0)
    confirmation.record_digest(digest, 7)
    assert not confirmation.is_current()
    confirmation.record_table(8)
    assert confirmation.is_current()


def test_removed_key_is_refused_on_an_open_connection():
    async def scenario(deployment):
        node = await start_node(deployment)
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:

            async def send():
                url = yarl.URL(f"http://{node.settings.listeners.entry}/safe/1")
                headers = {"Host": "fit.example", **authorize(KEY)}
                async with session.get(url, headers=headers) as response:
                    await response.read()
                    return response.status, response.connection

            assert (await send())[0] == 200
            deployment.write_configuration(version=2, routes=ROUTES, tenants=TENANTS[1:])
            await wait_until(lambda: node.gateway.routing_table.version == 2, "version 2", 2.5)
            assert (await send())[0] == 401
            assert len(node._listeners.caller_server.connections) == 1

    run_scenario(scenario)


def test_removed_key_is_refused_in_the_queue():
    async def scenario(deployment):
        routes = [{**route, "target-latency": "1400ms"} for route in ROUTES]
        node = await start_node(deployment, routes=routes)
        (instance,) = deployment.instances.values()
        instance.behaviour = InstanceBehaviour(work_s=0.5)

        def send(key, **headers):
            return asyncio.create_task(
                deployment.send_request(node, "/order/1", **authorize(key), **headers)
            )

        running = [send(OTHER_KEY) for _ in range(4)]
        await asyncio.sleep(0.05)
        queued = [send(KEY, request_id="q-1"), send(OTHER_KEY, request_id="q-2")]
        await wait_until(lambda: node.gateway.count_queued() == 2, "both requests wait")
        deployment.write_configuration(version=2, routes=routes, tenants=TENANTS[1:])
        await wait_until(lambda: node.gateway.routing_table.version == 2, "version 2", 2.5)
        assert node.gateway.count_queued() == 2
        statuses = [(await request)[0] for request in (*running, *queued)]
        assert statuses == [200, 200, 200, 200, 401, 200]
        assert deployment.count_runs("q-1") == 0

    run_scenario(scenario)


def test_removed_key_is_refused_by_the_node_that_relays():
    """The node that the caller reached does not know of the removal yet."""

    async def scenario(deployment):
        async with start_nodes(deployment, routes=ROUTES, tenants=TENANTS) as ((cut,), (other,)):
            await lose_path(deployment, cut, authorize(KEY), **RESET)
            status, _, _ = await deployment.send_request(cut.node, "/order/1", **authorize(KEY))
            assert status == 200
            cut.node.gateway.apply_routing_table = lambda table, **options: False
            deployment.write_configuration(version=2, routes=ROUTES, tenants=TENANTS[1:])
            await wait_until(lambda: other.gateway.routing_table.version == 2, "version 2", 2.5)
            status, _, body = await deployment.send_request(
                cut.node, "/order/1", request_id="q-1", **authorize(KEY)
            )
            assert (status, body) == (401, b"unknown-key\n")
            assert deployment.count_runs("q-1") == 0

    run_scenario(scenario)


@pytest.mark.parametrize("fail_closed", [False, True])
def test_node_that_can_not_confirm_its_table(fail_closed):
    """The settings reach the decision, and the node accepts keys again after the outage."""

    async def scenario(deployment):
        node = await start_node(deployment, fail_closed=fail_closed, key_revocation_s=3.0)

        async def get_status(key, path="/safe/1"):
            status, headers, _ = await deployment.send_request(node, path, **authorize(key))
            assert (status == 503) == ("Retry-After" in headers)
            return status

        confirmation = node.state_sync.table_confirmation
        await wait_until(confirmation.is_current, "the table is confirmed")
        assert (await get_status(KEY), await get_status("k-unknown")) == (200, 401)
        port = int(deployment.store_address.rpartition(":")[2])
        deployment.store.behaviour.failing_ports = [port]
        deployment.store.behaviour.failure = "reset"
        await wait_until(lambda: confirmation.get_age_s() > 3.0, "the table is not confirmed")
        assert await get_status(KEY) == (503 if fail_closed else 200)
        assert await get_status("k-unknown") == 503
        assert await get_status("k-unknown", "/open/1") == 200
        deployment.store.behaviour.failing_ports = []
        await wait_until(confirmation.is_current, "the table is confirmed again")
        assert (await get_status(KEY), await get_status("k-unknown")) == (200, 401)

    run_scenario(scenario)
