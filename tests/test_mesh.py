"""Links between nodes: who is named, and for how long after falling silent."""

import pytest

from jasmineseam.membership.vms import EntryVms
from jasmineseam.membership.vms import VmInfo
from jasmineseam.programs.mesh import HEARD_FOR_S


def make_info(vm_id, **more):
    fields = {"incarnation": "1", "failure_domain": "d", "agent_address": vm_id, "ready": True}
    return VmInfo(vm_id=vm_id, **{**fields, **more})


@pytest.mark.parametrize(
    ("silent_s", "refreshed", "named"),
    [(0.5, False, True), (1.0, False, False), (1.0, True, True)],
)
def test_a_silent_node_is_not_named_any_more(clock, silent_s, refreshed, named):
    vms = EntryVms(clock=clock, heard_for_s=HEARD_FOR_S)
    vms.hear(make_info("a"))
    clock.now += silent_s
    if refreshed:
        vms.refresh("a")
        vms.refresh("unknown")
    assert [vm.vm_id for vm in vms.list_live()] == (["a"] if named else [])


def test_a_leaving_node_is_not_named(clock):
    vms = EntryVms(clock=clock, heard_for_s=HEARD_FOR_S)
    vms.hear(make_info("a", leaving=True))
    assert vms.list_live() == []
