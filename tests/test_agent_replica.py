"""A program's copy of its agent's state when the agent restarts, lags or is not ready."""

import asyncio

import pytest

from jasmineseam.catalogue.entry import CatalogueEntry
from jasmineseam.catalogue.records import EntryState
from jasmineseam.peers.messages import Sync
from jasmineseam.peers.messages import SyncReply
from jasmineseam.programs.agent_replica import AgentReplica


class FakeAgent:
    """An RPC client of the agent that returns the reply set by the test."""

    def __init__(self):
        self.reply = None

    def get(self, address):
        return self

    async def request(self, message, timeout_s):
        return self.reply


def make_reply(agent, position, revision, *, ready=True):
    state = EntryState(
        service="fittings",
        revision=revision,
        change_id=f"change-{revision}",
        position=position,
        entry=CatalogueEntry(service="fittings", owner="k"),
    )
    return SyncReply(
        agent_incarnation=agent,
        ready=ready,
        position=position,
        joins=0,
        states=[state] if revision else [],
        servers_version=0,
        servers=[],
        leaving=[],
        vms=[],
        successors=[],
    )


@pytest.mark.parametrize(
    ("replies", "revision", "position"),
    [
        ([make_reply("a", 5, 5), make_reply("a", 4, 4)], 5, 5),
        # a restarted agent that has not read the log yet does not clear the state
        ([make_reply("a", 5, 5), make_reply("b", 0, 0, ready=False)], 5, 5),
        # after the log lost records, a restarted agent counts from a lower position
        ([make_reply("a", 50, 5), make_reply("b", 8, 6)], 6, 8),
        ([make_reply("a", 50, 5), make_reply("b", 8, 4)], 5, 8),
    ],
)
def test_revisions_never_decrease(replies, revision, position):
    async def run():
        agent = FakeAgent()
        replica = AgentReplica(
            peer_clients=agent,
            agent_address="127.0.0.1:1",
            build_sync=lambda: Sync(name="e", role="entry", incarnation="i", control_address=""),
        )
        for agent.reply in replies:
            await replica.sync()
        assert replica.states["fittings"].revision == revision
        assert replica.position == position
        assert replica.ready

    asyncio.run(run())
