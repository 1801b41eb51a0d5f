"""Mesh of nodes: which nodes are live, and what closing stops."""

import asyncio
import threading

import pytest
import zmq.asyncio

from jasmineseam.membership.vms import EntryVmMembership
from jasmineseam.membership.vms import VmInfo
from jasmineseam.peers.messages import RefusedReply
from jasmineseam.peers.notices import NoticeSender
from jasmineseam.peers.rpc import PeerClients
from jasmineseam.programs.mesh import PEER_TIMEOUT_S
from jasmineseam.programs.mesh import PeerMesh


def make_vm_info(vm_id, **more):
    fields = {"incarnation": "1", "failure_domain": "d", "agent_address": vm_id, "ready": True}
    return VmInfo(vm_id=vm_id, **{**fields, **more})


@pytest.mark.parametrize(
    ("heartbeat_age_s", "refreshed", "live"),
    [(0.5, False, True), (1.0, False, False), (1.0, True, True)],
)
def test_node_without_heartbeat_is_not_live(clock, heartbeat_age_s, refreshed, live):
    vms = EntryVmMembership(clock=clock, heartbeat_timeout_s=PEER_TIMEOUT_S)
    vms.record_heartbeat(make_vm_info("a"))
    clock.now += heartbeat_age_s
    if refreshed:
        vms.refresh_heartbeat("a")
        vms.refresh_heartbeat("unknown")
    assert [vm.vm_id for vm in vms.list_live()] == (["a"] if live else [])


def test_leaving_node_is_not_live(clock):
    vms = EntryVmMembership(clock=clock, heartbeat_timeout_s=PEER_TIMEOUT_S)
    vms.record_heartbeat(make_vm_info("a", leaving=True))
    assert vms.list_live() == []


def test_closed_sender_opens_no_socket():
    """A socket that is opened after the close would block the termination of its context."""
    context = zmq.asyncio.Context()
    sender = NoticeSender(context=context)
    sender.send(["127.0.0.1:9"], RefusedReply(reason="busy"))
    sender.close()
    sender.send(["127.0.0.1:9"], RefusedReply(reason="busy"))
    ended = threading.Thread(target=context.term, daemon=True)
    ended.start()
    ended.join(5.0)
    assert not ended.is_alive()


def test_closed_mesh_adds_no_peer():
    async def scenario():
        links = PeerClients(context=zmq.asyncio.Context())
        mesh = PeerMesh(
            peer_clients=links,
            notice_sender=NoticeSender(context=zmq.asyncio.Context()),
            own_address="127.0.0.1:1",
            describe_self=lambda: make_vm_info("own"),
            on_routing_table=lambda table, source: False,
            on_server_list=lambda listings, position, age_s: None,
        )
        mesh.close()
        mesh.add_peer("127.0.0.1:9")
        await asyncio.sleep(0)
        assert not links.addresses
        links.close()

    asyncio.run(scenario())
