"""Check of a configuration before it is published."""

import json

import pytest

from jasmineseam.programs.configuration_report import check_configuration
from jasmineseam.programs.configuration_report import format_report
from jasmineseam.routing.configuration_check import check_table
from jasmineseam.routing.configuration_check import describe_changes
from jasmineseam.routing.routes import ClientAccount
from jasmineseam.routing.routes import Route
from jasmineseam.routing.routes import RoutingTable
from jasmineseam.routing.routes import ServiceInfo
from jasmineseam.routing.routes import WeightedService
from jasmineseam.routing.routes import hash_key


def make_route(name="r", prefix="/", services=("s",), **options):
    parts = [
        part if isinstance(part, WeightedService) else WeightedService(service=part)
        for part in services
    ]
    options = {"idempotent": True, "host": "h.example", **options}
    return Route(name=name, path_prefix=prefix, services=parts, **options)


def make_table(*, routes=None, services=None, accounts=(), version=1):
    return RoutingTable(
        version=version,
        routes=[make_route()] if routes is None else routes,
        services=[ServiceInfo(name="s")] if services is None else services,
        accounts=list(accounts),
    )


def make_account(name="a", keys=("k",), **options):
    return ClientAccount(name=name, key_hashes=[hash_key(key) for key in keys], **options)


@pytest.mark.parametrize(
    ("table", "severity", "text"),
    [
        (make_table(routes=[make_route(services=["x"])]), "error", "service x does not exist"),
        (make_table(routes=[make_route("r1"), make_route("r2")]), "error", "host and the path"),
        (make_table(routes=[make_route("r"), make_route("r", "/a/")]), "error", "exists twice"),
        (make_table(routes=[make_route(timeout_s=0.0)]), "error", "its timeout is 0"),
        (
            make_table(services=[ServiceInfo(name="s"), ServiceInfo(name="idle")]),
            "warning",
            "no route names it",
        ),
        (
            make_table(
                routes=[make_route(services=["s", WeightedService(service="b", weight=0.0)])],
                services=[ServiceInfo(name="s"), ServiceInfo(name="b")],
            ),
            "warning",
            "service b has a weight of 0",
        ),
        (make_table(routes=[make_route(target_s=2.0, timeout_s=1.0)]), "warning", "above its"),
        (make_table(accounts=[make_account(burst=5.0)]), "warning", "burst has no effect"),
        (make_table(accounts=[make_account(keys=())]), "warning", "it has no key"),
        (
            make_table(services=[ServiceInfo(name="s", warmup_requests_per_s=7.0)]),
            "warning",
            "never cold",
        ),
        (
            make_table(
                routes=[make_route(home_regions=["east"])],
                accounts=[make_account(home_regions=["west"])],
            ),
            "warning",
            "home regions",
        ),
    ],
)
def test_fault_is_found(table, severity, text):
    findings = check_table(table)
    assert [finding.severity for finding in findings if text in finding.text] == [severity]


def test_sound_configuration_has_no_findings():
    account = make_account(requests_per_s=5.0, burst=5.0, home_regions=["east", "west"])
    route = make_route(home_regions=["east"], target_s=0.5, timeout_s=2.0, max_attempts=3)
    assert check_table(make_table(routes=[route], accounts=[account])) == []


def test_differences_name_no_key():
    old = make_table(
        routes=[make_route(services=["s"])],
        services=[ServiceInfo(name="s"), ServiceInfo(name="b")],
        accounts=[make_account(keys=["secret-1", "secret-2"]), make_account("gone")],
    )
    new = make_table(
        version=2,
        routes=[make_route(services=["b"]), make_route("new", "/new/")],
        services=[ServiceInfo(name="s"), ServiceInfo(name="b")],
        accounts=[make_account(keys=["secret-2", "secret-3"])],
    )
    text = "\n".join(describe_changes(old, new))
    assert 'route r changed: services [{"service":"s","weight":1.0}] ->' in text
    assert "route new added" in text
    assert "account gone removed" in text
    assert f"key {hash_key('secret-1').hex()[:8]} removed" in text
    assert f"key {hash_key('secret-3').hex()[:8]} added" in text
    assert "secret" not in text


@pytest.mark.parametrize(
    ("change", "exit_code", "text"),
    [
        ({}, 0, "nothing found"),
        ({"target-latency": "9s", "timeout": "1s"}, 1, "warning: route r"),
        ({"service": "missing"}, 2, "error: route r: service missing does not exist"),
        ({"type": 7}, 2, "error: "),
    ],
)
def test_file_is_checked(change, exit_code, text, tmp_path):
    route = {"name": "r", "host": "h", "path-prefix": "/", "type": "safe", "service": "s"}
    configuration = {
        "version": "00000002",
        "routes": [{**route, **change}],
        "services": [{"name": "s"}],
    }
    file = tmp_path / "configuration.json"
    file.write_text("// comment\n" + json.dumps(configuration))
    report = check_configuration(file)
    assert report.exit_code == exit_code
    assert text in format_report(report)
