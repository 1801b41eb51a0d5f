"""Membership of nodes: versions, suspicion and its refutation."""

import msgspec
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from jasmineseam.membership.nodes import FORGET_AFTER_S
from jasmineseam.membership.nodes import SUSPICION_TIMEOUT_S
from jasmineseam.membership.nodes import NodeInfo
from jasmineseam.membership.nodes import NodeMembership
from jasmineseam.membership.nodes import combine_digests
from tests.conftest import FakeClock


def make_info(vm_id, version=1, **more):
    fields = {"failure_domain": "d1", "entry_address": f"{vm_id}:1", "ready": True}
    addresses = {"notice_address": f"{vm_id}:2", "peer_address": f"{vm_id}:3"}
    return NodeInfo(vm_id=vm_id, version=version, **{**fields, **addresses, **more})


def make_membership(clock, *infos):
    membership = NodeMembership(own=make_info("own"), clock=clock)
    for info in infos:
        membership.apply(info)
    return membership


def list_live_ids(membership):
    return sorted(info.vm_id for info in membership.list_live())


@pytest.mark.parametrize(
    ("changes", "live"),
    [({}, ["a", "own"]), ({"leaving": True}, ["own"]), ({"ready": False}, ["own"])],
)
def test_only_ready_nodes_that_stay_are_live(clock, changes, live):
    membership = make_membership(clock, make_info("a", **changes))
    assert list_live_ids(membership) == live


@pytest.mark.parametrize(
    ("refutation", "live"),
    [
        (None, False),
        # an old state does not end a suspicion, a newer one does
        (make_info("a", 1), False),
        (make_info("a", 2), True),
    ],
)
def test_suspected_node_fails_unless_it_refutes_the_suspicion(clock, refutation, live):
    membership = make_membership(clock, make_info("a"))
    assert membership.suspect("a", 1)
    assert not membership.suspect("a", 1)
    assert list_live_ids(membership) == ["own"]
    if refutation is not None:
        membership.apply(refutation)
    clock.now += SUSPICION_TIMEOUT_S
    assert [info.vm_id for info in membership.expire()] == ([] if live else ["a"])
    assert ("a" in list_live_ids(membership)) == live


def test_message_of_a_failed_node_itself_ends_the_failure(clock):
    membership = make_membership(clock, make_info("a"))
    membership.suspect("a", 1)
    clock.now += SUSPICION_TIMEOUT_S
    membership.expire()
    assert membership.is_suspected(make_info("a"))
    # the same state from another node proves nothing
    membership.apply(make_info("a"))
    assert list_live_ids(membership) == ["own"]
    membership.record_contact(make_info("a"))
    assert list_live_ids(membership) == ["a", "own"]


def test_field_that_a_forwarding_node_dropped_is_restored(clock):
    """Guards against a node that counts as an earlier build because one passed its state on."""
    membership = make_membership(clock, make_info("a", message_kinds=0))
    membership.record_contact(make_info("a", message_kinds=1))
    assert membership.get("a").message_kinds == 1
    assert membership.count_reachable("d1", message_kinds=1) == 1


def test_suspicion_of_the_own_node_raises_its_version(clock):
    membership = make_membership(clock)
    assert not membership.suspect("own", 0)
    assert membership.suspect("own", 1)
    assert membership.own.version == 2


def test_state_from_before_the_own_restart_raises_the_version(clock):
    membership = make_membership(clock)
    assert not membership.apply(membership.own)
    assert membership.apply(make_info("own", 7, ready=False))
    assert (membership.own.version, membership.own.ready) == (8, True)


def test_failed_nodes_are_counted_for_a_while_and_then_forgotten(clock):
    membership = make_membership(clock, make_info("a"), make_info("b", failure_domain="d2"))
    assert (membership.count(), membership.count("d1"), membership.count("d3")) == (3, 2, 1)
    membership.suspect("b", 1)
    clock.now += SUSPICION_TIMEOUT_S
    membership.expire()
    assert membership.count() == 3
    clock.now += 31.0
    assert membership.count() == 2
    clock.now += FORGET_AFTER_S
    membership.expire()
    assert membership.get("b") is None


def test_differing_groups_contain_all_differences(clock):
    infos = [make_info(f"n{number}") for number in range(60)]
    first = make_membership(clock, *infos)
    second = make_membership(clock, *infos[:50], make_info("n3", 2))
    assert combine_digests(first.compute_digests()) != combine_digests(second.compute_digests())
    first.suspect("n7", 1)
    for source, target in ((first, second), (second, first)):
        nodes, suspected = source.list_differing(target.compute_digests())
        for info in nodes:
            target.apply(info)
        for vm_id, version in suspected:
            target.suspect(vm_id, version)
    assert first.compute_digests() == second.compute_digests()
    assert first.list_differing(second.compute_digests()) == ([], [])
    assert "n7" not in list_live_ids(second)


NAMES = st.sampled_from(["own", "a", "b", "c"])


class MembershipMachine(RuleBasedStateMachine):
    """Applies messages in any order and checks that no state goes back."""

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.membership = make_membership(self.clock)
        self.versions = {}
        self.failed_at = {}

    @rule(name=NAMES, version=st.integers(0, 6), ready=st.booleans(), leaving=st.booleans())
    def apply(self, name, version, ready, leaving):
        self.membership.apply(make_info(name, version, ready=ready, leaving=leaving))

    @rule(name=NAMES, version=st.integers(0, 6))
    def record_contact(self, name, version):
        if name != "own":
            self.membership.record_contact(make_info(name, version))

    @rule(name=NAMES, version=st.integers(0, 6))
    def suspect(self, name, version):
        self.membership.suspect(name, version)

    @rule(seconds=st.sampled_from([0.5, 1.5, 40.0, 130.0]))
    def wait(self, seconds):
        self.clock.now += seconds
        for info in self.membership.expire():
            self.failed_at[info.vm_id] = self.clock.now

    @rule()
    def distrust(self):
        self.membership.distrust()

    @rule(ready=st.booleans())
    def change_own_state(self, ready):
        self.membership.update_own(ready=ready)

    @invariant()
    def versions_never_decrease_while_a_node_is_known(self):
        for name in ("own", "a", "b", "c"):
            info = self.membership.get(name)
            if info is None:
                self.versions.pop(name, None)
                continue
            assert info.version >= self.versions.get(name, -1)
            self.versions[name] = info.version

    @invariant()
    def live_nodes_are_ready_and_not_leaving(self):
        for info in self.membership.list_live():
            assert info.ready
            assert not info.leaving
        assert self.membership.count() >= 1

    @invariant()
    def counts_are_those_of_the_nodes_that_have_not_failed_long_ago(self):
        expected = {self.membership.own.vm_id} | {
            vm_id
            for vm_id, status in self.membership.list_statuses().items()
            if not self.membership.get(vm_id).leaving
            and (status != "failed" or self.clock.now - self.failed_at[vm_id] < 30.0)
        }
        assert self.membership.count() == len(expected)
        assert self.membership.count_by_domain() == {"d1": len(expected)}

    @invariant()
    def own_node_is_never_a_peer(self):
        assert all(info.vm_id != "own" for info in self.membership.list_peers())

    @invariant()
    def digests_equal_those_of_the_listed_nodes(self):
        copy = NodeMembership(own=self.membership.own, clock=self.clock)
        statuses = self.membership.list_statuses()
        distrusted = {info.vm_id for info in self.membership.list_distrusted()}
        for info in self.membership.list_peers():
            if statuses[info.vm_id] == "alive" and info.vm_id not in distrusted:
                copy.apply(msgspec.structs.replace(info))
        assert copy.compute_digests() == self.membership.compute_digests()


TestMembership = MembershipMachine.TestCase
