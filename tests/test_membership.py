"""Tests of the membership of entry VMs and servers with lagging, wrong and missing reports."""

import random

import pytest

from jasmineseam.membership.entry_ranking import rank_entries
from jasmineseam.membership.servers import LEAVING_REPORT_TTL_S
from jasmineseam.membership.servers import LeavingReport
from jasmineseam.membership.servers import Server
from jasmineseam.membership.servers import ServerMembership
from jasmineseam.membership.vms import HEARTBEAT_TIMEOUT_S
from jasmineseam.membership.vms import EntryProcess
from jasmineseam.membership.vms import EntryVmMembership
from jasmineseam.membership.vms import Succession
from jasmineseam.membership.vms import VmInfo


def make_vm(vm_id="vm-0", domain="d0", *, ready=True, leaving=False, in_flight=0):
    entry = EntryProcess(
        incarnation=f"{vm_id}-i",
        http_address=f"{vm_id}:80",
        control_address=f"{vm_id}:81",
        key_prefix=f"{vm_id}-0",
        in_flight=in_flight,
    )
    return VmInfo(
        vm_id=vm_id,
        incarnation="1",
        failure_domain=domain,
        agent_address=f"{vm_id}:82",
        seat=0,
        ready=ready,
        leaving=leaving,
        entries=[entry],
    )


def make_server(server_id="s1", *, leaving=False):
    return Server(
        server_id=server_id,
        service="fittings",
        address="127.0.0.1:1",
        failure_domain="d0",
        leaving=leaving,
    )


@pytest.mark.parametrize(
    ("listed_states", "heartbeat_age_s", "ready", "leaving", "live"),
    [
        ({}, 0.0, True, False, True),
        ({}, HEARTBEAT_TIMEOUT_S + 1, True, False, False),
        ({"vm-0": "live"}, HEARTBEAT_TIMEOUT_S + 1, True, False, True),
        ({"vm-0": "leaving"}, 0.0, True, False, False),
        ({"vm-0": "live"}, 0.0, False, False, False),
        ({"vm-0": "live"}, 0.0, True, True, False),
    ],
)
def test_a_ready_vm_is_live_by_heartbeat_or_list_unless_it_is_leaving(
    clock, listed_states, heartbeat_age_s, ready, leaving, live
):
    vms = EntryVmMembership(clock=clock)
    vms.record_heartbeat(make_vm(ready=ready, leaving=leaving))
    clock.now = heartbeat_age_s
    vms.replace_listed_states(listed_states)
    assert bool(vms.list_live()) is live


def test_successions_are_followed_and_the_first_one_of_a_ledger_is_kept(clock):
    vms = EntryVmMembership(clock=clock)
    assert vms.add_successions([Succession(incarnation="a", successor="b")])
    assert vms.add_successions([Succession(incarnation="b", successor="c")])
    assert not vms.add_successions([Succession(incarnation="a", successor="z")])
    assert vms.find_ledger_owner("a") == "c"


@pytest.mark.parametrize("source", ["answer", "refusal", "list", "catalogue"])
def test_a_report_of_a_single_source_marks_a_server_as_leaving(clock, source):
    servers = ServerMembership(clock=clock)
    servers.replace_servers([make_server(leaving=source == "list"), make_server("s2")])
    if source != "list":
        servers.mark_leaving("s1", source)
    # a lagging list still contains the server as live
    servers.replace_servers([make_server(), make_server("s2")])
    assert [server.server_id for server in servers.list_usable("fittings")] == ["s2"]


def test_a_replacement_is_usable_at_once_and_an_old_report_expires(clock):
    servers = ServerMembership(clock=clock)
    servers.mark_leaving("s1", "answer")
    servers.replace_servers([make_server("s1+1")])
    assert servers.list_usable("fittings")
    clock.now = LEAVING_REPORT_TTL_S + 1
    servers.expire_leaving_reports()
    servers.replace_servers([make_server("s1")])
    assert servers.list_usable("fittings")


def test_a_server_listed_as_live_again_is_usable_despite_older_reports(clock):
    servers = ServerMembership(clock=clock)
    servers.replace_servers([make_server()])
    servers.mark_leaving("s1", "answer")
    clock.now = 10.0
    servers.replace_servers([make_server(leaving=True)])
    clock.now = 30.0
    servers.replace_servers([make_server()])
    assert not servers.mark_leaving("s1", "answer", age_s=30.0)
    assert servers.list_usable("fittings")
    clock.now = 31.0
    assert servers.mark_leaving("s1", "answer")


def test_reports_keep_their_age_when_sent_to_another_vm(clock):
    servers, peer = ServerMembership(clock=clock), ServerMembership(clock=clock)
    servers.mark_leaving("s1", "answer")
    clock.now = 100.0
    report = servers.list_leaving_reports()[0]
    assert report == LeavingReport(server_id="s1", source="answer", age_s=100.0)
    peer.mark_leaving(report.server_id, report.source, report.age_s)
    clock.now = LEAVING_REPORT_TTL_S + 1
    peer.expire_leaving_reports()
    assert not peer.is_leaving("s1")


def test_entries_in_the_failure_domain_of_the_caller_are_ranked_first():
    vms = [make_vm(f"vm-{n}", f"d{n % 3}") for n in range(6)]
    for seed in range(5):
        ranked = rank_entries(vms, "d1", random.Random(seed))
        assert [entry.failure_domain for entry in ranked[:2]] == ["d1", "d1"]
        assert len(ranked) == 6
