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
from jasmineseam.programs.mesh import PEER_HEARTBEAT_TIMEOUT_S
from jasmineseam.programs.mesh import PeerMesh


def make_vm_info(vm_id, **more):
    fields = {"incarnation": "1", "failure_domain": "d", "agent_address": vm_id, "ready": True}
    return VmInfo(vm_id=vm_id, **{**fields, **more})


@pytest.mark.parametrize(
    ("heartbeat_age_s", "refreshed", "live"),
    [(0.5, False, True), (1.0, False, False), (1.0, True, True)],
)
def test_node_without_heartbeat_is_not_live(clock, heartbeat_age_s, refreshed, live):
    membership = EntryVmMembership(clock=clock, heartbeat_timeout_s=PEER_HEARTBEAT_TIMEOUT_S)
    membership.record_heartbeat(make_vm_info("a"))
    clock.now += heartbeat_age_s
    if refreshed:
        membership.refresh_heartbeat("a")
        membership.refresh_heartbeat("unknown")
    assert [vm.vm_id for vm in membership.list_live()] == (["a"] if live else [])


def test_leaving_node_is_not_live(clock):
    membership = EntryVmMembership(clock=clock, heartbeat_timeout_s=PEER_HEARTBEAT_TIMEOUT_S)
    membership.record_heartbeat(make_vm_info("a", leaving=True))
    assert membership.list_live() == []


def test_closed_sender_opens_no_socket():
    """A socket that is opened after the close would block the termination of its context."""
    context = zmq.asyncio.Context()
    sender = NoticeSender(context=context)
    sender.send(["127.0.0.1:9"], RefusedReply(reason="busy"))
    sender.close()
    sender.send(["127.0.0.1:9"], RefusedReply(reason="busy"))
    termination_thread = threading.Thread(target=context.term, daemon=True)
    termination_thread.start()
    termination_thread.join(5.0)
    assert not termination_thread.is_alive()


def test_closed_mesh_adds_no_peer():
    async def scenario():
        peer_clients = PeerClients(context=zmq.asyncio.Context())
        mesh = PeerMesh(
            peer_clients=peer_clients,
            notice_sender=NoticeSender(context=zmq.asyncio.Context()),
            own_address="127.0.0.1:1",
            get_own_vm_info=lambda: make_vm_info("own"),
            on_routing_table=lambda table, source: False,
            on_server_list=lambda listings, position, age_s: None,
        )
        mesh.close()
        mesh.add_peer("127.0.0.1:9")
        await asyncio.sleep(0)
        assert not peer_clients.addresses
        peer_clients.close()

    asyncio.run(scenario())
