"""Membership of entry VMs and servers, when sources lag, are wrong, or fall silent."""

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
    ("listed", "silent_s", "ready", "leaving", "live"),
    [
        ({}, 0.0, True, False, True),
        ({}, HEARTBEAT_TIMEOUT_S + 1, True, False, False),
        ({"vm-0": "live"}, HEARTBEAT_TIMEOUT_S + 1, True, False, True),
        ({"vm-0": "leaving"}, 0.0, True, False, False),
        ({"vm-0": "live"}, 0.0, False, False, False),
        ({"vm-0": "live"}, 0.0, True, True, False),
    ],
)
def test_live_is_heard_or_listed_and_not_leaving(clock, listed, silent_s, ready, leaving, live):
    vms = EntryVmMembership(clock=clock)
    vms.record_heartbeat(make_vm(ready=ready, leaving=leaving))
    clock.now = silent_s
    vms.replace_listed_states(listed)
    assert bool(vms.list_live()) is live


def test_successions_are_followed_and_the_first_word_counts(clock):
    vms = EntryVmMembership(clock=clock)
    assert vms.add_successions([Succession(incarnation="a", successor="b")])
    assert vms.add_successions([Succession(incarnation="b", successor="c")])
    assert not vms.add_successions([Succession(incarnation="a", successor="z")])
    assert vms.find_ledger_owner("a") == "c"


@pytest.mark.parametrize("source", ["answer", "refusal", "list", "catalogue"])
def test_each_source_alone_is_believed(clock, source):
    servers = ServerMembership(clock=clock)
    servers.replace_servers([make_server(leaving=source == "list"), make_server("s2")])
    if source != "list":
        servers.mark_leaving("s1", source)
    # the list goes on saying that the server is live
    servers.replace_servers([make_server(), make_server("s2")])
    assert [one.server_id for one in servers.list_usable("fittings")] == ["s2"]


def test_a_replacement_is_used_at_once_and_an_old_sign_is_forgotten(clock):
    servers = ServerMembership(clock=clock)
    servers.mark_leaving("s1", "answer")
    servers.replace_servers([make_server("s1+1")])
    assert servers.list_usable("fittings")
    clock.now = LEAVING_REPORT_TTL_S + 1
    servers.expire_leaving_reports()
    servers.replace_servers([make_server("s1")])
    assert servers.list_usable("fittings")


def test_a_server_that_the_list_shows_back_is_used_again_despite_older_signs(clock):
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


def test_signs_cross_vms_with_their_age(clock):
    servers, peer = ServerMembership(clock=clock), ServerMembership(clock=clock)
    servers.mark_leaving("s1", "answer")
    clock.now = 100.0
    sign = servers.list_leaving_reports()[0]
    assert sign == LeavingReport(server_id="s1", source="answer", age_s=100.0)
    peer.mark_leaving(sign.server_id, sign.source, sign.age_s)
    clock.now = LEAVING_REPORT_TTL_S + 1
    peer.expire_leaving_reports()
    assert not peer.is_leaving("s1")


def test_callers_get_their_own_failure_domain_first():
    vms = [make_vm(f"vm-{n}", f"d{n % 3}") for n in range(6)]
    for seed in range(5):
        ranked = rank_entries(vms, "d1", random.Random(seed))
        assert [one.failure_domain for one in ranked[:2]] == ["d1", "d1"]
        assert len(ranked) == 6
