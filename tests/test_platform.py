"""Decoding of the platform's settings, records and headers."""

import contextlib
import json

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from jasmineseam.exceptions import InvalidRecordError
from jasmineseam.exceptions import SettingsError
from jasmineseam.membership.store_position import StorePosition
from jasmineseam.peers.messages import ServersNotice
from jasmineseam.peers.messages import StateReply
from jasmineseam.peers.messages import decode_message
from jasmineseam.peers.messages import encode_message
from jasmineseam.platform.headers import decode_key
from jasmineseam.platform.headers import decode_request_headers
from jasmineseam.platform.headers import decode_response_headers
from jasmineseam.platform.headers import encode_request_headers
from jasmineseam.platform.records import decode_listing
from jasmineseam.platform.records import decode_routing_table
from jasmineseam.platform.records import decode_server_change
from jasmineseam.platform.settings import load_settings
from jasmineseam.platform.settings import parse_settings
from jasmineseam.platform.store_client import KeyedRecord
from jasmineseam.routing.routes import RouteIndex
from standins.configuration import build_configuration
from standins.configuration import build_route

SETTINGS = """
[self]
node-name = "vm-1"
role = "node"
ip = "10.1.0.35"
zone = "z1"
bootstrap = true
new-field = 7
[network]
internal-ports = [7660, 7675]
seeds = ["10.1.0.35:8146"]
[network.listen]
front = "10.1.0.35:8144"
ready = "10.1.0.35:8140"
control = "10.1.0.35:8146"
directory = "10.1.0.35:8143"
[platform.platform]
address = "10.200.1.7:8142"
[terms.bounds]
grace = "6s"
retry-budget-ratio = 0.2
budget-window = "10s"
retry-budget-slack = 62
ttl_max = "5s"
probes-per-s = 60
"""


def test_settings_are_decoded():
    settings = parse_settings(SETTINGS, "test")
    assert settings.vm.id == "vm-1"
    assert settings.first_start
    assert settings.vm.failure_domain == "z1"
    assert settings.listeners.entry == "10.1.0.35:8144"
    assert settings.listeners.notices == "10.1.0.35:7660"
    assert settings.seed_peers == ["10.1.0.35:7660"]
    assert settings.store_address == "10.200.1.7:8142"
    assert (settings.grace_s, settings.longest_lifetime_s) == (6.0, 5.0)
    assert settings.retries.allowance == 62.0


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('zone = "z1"', ""),
        ('ip = "10.1.0.35"', "ip = 7"),
        ('grace = "6s"', 'grace = "6 hours"'),
        ("[self]", "[self"),
        ("internal-ports = [7660, 7675]", "internal-ports = []"),
    ],
)
def test_settings_with_missing_or_invalid_fields_are_rejected(old, new):
    with pytest.raises(SettingsError):
        parse_settings(SETTINGS.replace(old, new), "test")


@pytest.mark.parametrize("environment", [{}, {"JASMINESEAM_NODE_FILE": "/nonexistent"}])
def test_unreadable_settings_file_raises_settings_error(environment):
    with pytest.raises(SettingsError):
        load_settings(environment)


def test_configuration_is_decoded():
    split = build_route("/s/", kind="download", backends=[{"service": "fit", "weight": 9}])
    del split["service"], split["timeout"]
    routes = [build_route("/o/", kind="unsafe", timeout="1.5s"), split]
    value = json.dumps(build_configuration(0x1C, routes)).encode()
    table = decode_routing_table(value)
    assert table.version == 0x1C
    first, second = table.routes
    assert (first.idempotent, first.timeout_s, first.target_s) == (False, 1.5, 0.5)
    assert (second.idempotent, second.timeout_s) == (True, None)
    assert [(part.service, part.weight) for part in second.services] == [("fit", 9.0)]
    assert table.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    "change",
    [
        {"version": "not hex"},
        {"routes": [build_route("/a/", timeout="soon")]},
        {"routes": [{**build_route("/a/"), "path-prefix": "a"}]},
        {"routes": [{**build_route("/a/"), "service": None}]},
        {"services": None},
    ],
)
def test_malformed_configuration_is_rejected_as_a_whole(change):
    value = json.dumps({**build_configuration(1, [build_route("/a/")]), **change}).encode()
    with pytest.raises(InvalidRecordError):
        decode_routing_table(value)
    with pytest.raises(InvalidRecordError):
        decode_routing_table(value[:-5])


SERVER_RECORD = {
    "service": "fit",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmup-left": "1500ms",
    "sequence": 4,
    "born": 17,
}


ACCOUNTS = [
    {
        "name": "a1",
        "api-keys": ["k1", "k2"],
        "priority": 1,
        "rate-per-s": 131,
        "burst": 7.5,
        "allowed-regions": ["north"],
    },
    {"name": "a2", "api-keys": ["k3"]},
]


def build_configuration_with_accounts(accounts):
    configuration = build_configuration(1, [build_route("/")])
    configuration["tenants"] = accounts
    return json.dumps(configuration).encode()


def test_client_accounts_are_decoded_without_their_keys():
    # Nodes send each other the table, so a key in it would leave the node.
    table = decode_routing_table(build_configuration_with_accounts(ACCOUNTS))
    first, second = table.accounts
    assert (first.name, first.priority, first.requests_per_s, first.burst) == ("a1", 1, 131, 7.5)
    assert first.home_regions == ["north"]
    assert (second.name, second.priority, second.requests_per_s) == ("a2", 0, 0)
    index = RouteIndex(table=table)
    assert [index.find_account(key) for key in ("k1", "k2", "k3", "k4")] == [
        first,
        first,
        second,
        None,
    ]
    encoded = msgspec.msgpack.encode(table)
    assert not any(key in encoded for key in (b"k1", b"k2", b"k3"))


@pytest.mark.parametrize(
    "accounts",
    [
        [{"name": "a1", "api-keys": ["secret"]}, {"name": "a2", "api-keys": ["secret"]}],
        [{"name": "a1", "api-keys": ["secret"]}, {"name": "a1", "api-keys": ["k2"]}],
        [{"api-keys": ["secret"]}],
        [{"name": "a1", "api-keys": ["secret"], "rate-per-s": -1}],
        [{"name": "a1", "api-keys": "secret"}],
    ],
    ids=["shared_key", "shared_name", "no_name", "negative_rate", "no_list"],
)
def test_configuration_with_invalid_accounts_is_rejected_without_naming_keys(accounts):
    with pytest.raises(InvalidRecordError) as raised:
        decode_routing_table(build_configuration_with_accounts(accounts))
    assert "secret" not in str(raised.value)


@pytest.mark.parametrize(
    ("headers", "key"),
    [
        ({"Authorization": "Bearer k1"}, "k1"),
        ({"Authorization": "bearer  k1 "}, "k1"),
        ({"Authorization": "Basic k1"}, None),
        ({"Authorization": "Bearer"}, None),
        ({}, None),
    ],
)
def test_key_of_a_request(headers, key):
    assert decode_key(headers) == key


@pytest.mark.parametrize(
    ("text", "warmup_left_s"),
    [("2500", 2.5), ("0", 0.0), (None, None), ("-1", None), ("nan", None), ("1e99", None)],
)
def test_remaining_warmup_of_a_server(text, warmup_left_s):
    headers = {} if text is None else {"Jasmineseam-Warmup-Ms": text}
    assert decode_response_headers(200, headers).warmup_left_s == warmup_left_s


def test_server_record_is_decoded():
    listing = decode_listing(KeyedRecord(key="i-1", value=json.dumps(SERVER_RECORD).encode()))
    assert (listing.server.server_id, listing.server.leaving) == ("i-1", False)
    assert (listing.slots, listing.warmup_s, listing.started_ms) == (4, 1.5, 17)


@pytest.mark.parametrize(
    "change",
    [
        {"service": 7},
        {"address": "somewhere"},
        {"address": None},
        {"slots": 0},
        {"slots": "4"},
        {"state": "asleep"},
        {"sequence": -1},
        {"born": "now"},
        {"warmup-left": 3},
        {"address": "300.0.0.1:80"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:0"},
        {"slots": 2**64},
        {"sequence": 2**63},
        {"born": 1.5},
        {"born": None},
    ],
)
def test_invalid_server_record_removes_the_server_and_reports_the_error(change):
    record = KeyedRecord(key="i-1", value=json.dumps({**SERVER_RECORD, **change}).encode())
    with pytest.raises(InvalidRecordError):
        decode_listing(record)
    decoded, error = decode_server_change(record)
    assert decoded.listing is None
    assert error.key == "i-1"


@pytest.mark.parametrize("depth", [1_000, 100_000])
@pytest.mark.parametrize("start", [b'{"service":', b'{"extra":', b""])
def test_deeply_nested_record_is_invalid(start, depth):
    value = start + b"[" * depth + b"]" * depth + (b"}" if start else b"")
    with pytest.raises(InvalidRecordError):
        decode_listing(KeyedRecord(key="i-1", value=value))
    with pytest.raises(InvalidRecordError):
        decode_routing_table(value)


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(list(SERVER_RECORD.values())),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)


@hypothesis.given(
    record=st.dictionaries(st.sampled_from([*SERVER_RECORD, "other"]), JSON_VALUES)
    | st.builds(
        lambda change: {**SERVER_RECORD, **change},
        st.dictionaries(st.sampled_from(list(SERVER_RECORD)), JSON_VALUES, max_size=2),
    )
)
def test_any_server_record_is_decoded_or_invalid(record):
    change, error = decode_server_change(KeyedRecord(key="i-1", value=json.dumps(record).encode()))
    assert (change.listing is None) == (error is not None)
    if change.listing is not None:
        notice = ServersNotice(
            begin=StorePosition(1, 0), end=StorePosition(1, 1), changes=[change]
        )
        reply = StateReply(servers=notice)
        assert decode_message(encode_message(reply)) == reply


@hypothesis.given(
    value=st.binary(max_size=200)
    | st.builds(
        lambda data, start, end: data[: start % 90] + data[end % 90 :],
        st.just(json.dumps(SERVER_RECORD).encode()),
        st.integers(0, 89),
        st.integers(0, 89),
    )
)
def test_any_bytes_are_decoded_or_invalid(value):
    _, error = decode_server_change(KeyedRecord(key="i-1", value=value))
    assert error is None or error.key == "i-1"
    with contextlib.suppress(InvalidRecordError):
        decode_routing_table(value)


def test_removed_key_removes_the_server_without_an_error():
    decoded, error = decode_server_change(KeyedRecord(key="i-1", value=b""))
    assert (decoded.listing, error) == (None, None)


def test_request_headers():
    head = decode_request_headers(
        {"Jasmineseam-Request-Id": "q", "Jasmineseam-Deadline-Ms": "1500"}
    )
    assert (head.request_id, head.remaining_s) == ("q", 1.5)
    assert decode_request_headers({}).remaining_s is None
    with pytest.raises(ValueError):
        decode_request_headers({"Jasmineseam-Deadline-Ms": "soon"})
    assert dict(encode_request_headers("q", 0.25, "i-1"))["Jasmineseam-Deadline-Ms"] == "250"


@pytest.mark.parametrize(
    ("status", "headers", "signed", "not_run"),
    [
        (200, {"Jasmineseam-Response-Signature": "s"}, True, False),
        (200, {}, False, False),
        (200, {"Jasmineseam-Response-Signature": "s", "Content-Encoding": "gzip"}, False, False),
        (503, {"Jasmineseam-Not-Executed": "1"}, False, True),
        (503, {}, False, False),
        (421, {"Jasmineseam-Instance-Id": "i-2"}, False, True),
    ],
)
def test_response_headers(status, headers, signed, not_run):
    head = decode_response_headers(status, headers)
    assert (head.signed, head.not_run) == (signed, not_run)


@pytest.mark.parametrize(
    ("status", "headers", "leaving", "retry_after_s"),
    [
        (200, {"Server-Leaving": "1"}, True, 0.0),
        (503, {"Server-Leaving": "0", "Retry-After": "1.5"}, False, 1.5),
        (503, {"Retry-After": "Fri, 04 Dec 2026 10:00:00 GMT"}, False, 0.0),
        (503, {"Retry-After": "-1"}, False, 0.0),
        (503, {"Retry-After": "nan"}, False, 0.0),
        (503, {"Retry-After": "1e9"}, False, 0.0),
        (200, {"Retry-After": "1"}, False, 0.0),
    ],
)
def test_leaving_state_and_retry_time(status, headers, leaving, retry_after_s):
    head = decode_response_headers(status, headers)
    assert (head.leaving, head.retry_after_s) == (leaving, retry_after_s)


@pytest.mark.parametrize(
    ("headers", "requests_per_s"),
    [
        ({}, None),
        ({"Server-Limit": "4.1"}, 4.1),
        ({"Server-Limit": "0"}, 0.0),
        ({"Server-Limit": "-1"}, None),
        ({"Server-Limit": "nan"}, None),
        ({"Server-Limit": "inf"}, None),
        ({"Server-Limit": "4,1"}, None),
    ],
)
def test_request_limit_of_a_server(headers, requests_per_s):
    assert decode_response_headers(200, headers).request_limit_per_s == requests_per_s
