"""The messages between the system's own processes, and their codec.

A message on the wire is one version byte and a MessagePack map with a ``type`` key.
"""

from __future__ import annotations

import typing as t

import msgspec

from ..catalogue.records import CatalogueSnapshot
from ..catalogue.records import EntryState
from ..exceptions import InvalidMessageError
from ..membership.registry import ServerChange
from ..membership.registry import ServerListing
from ..membership.servers import LeavingReport
from ..membership.servers import Server
from ..membership.vms import EntryProcess
from ..membership.vms import Succession
from ..membership.vms import VmInfo
from ..requests.ledger import LedgerSnapshot
from ..requests.outcome import CallerResponse
from ..routing.routes import RoutingTable

PROTOCOL_VERSION = 1


class Message(msgspec.Struct, kw_only=True, tag_field="type"):
    """Base of all messages."""


class Sync(Message, tag="sync"):
    """A program tells its VM's agent of itself, and asks for what is new.

    :param role: ``entry`` or ``locator``.
    :param position: the catalogue's position that the program holds, -1 for none.
    :param joins: the catalogue's joins that it holds.
    :param servers_version: of the servers that it holds.
    :param entry: what an entry process says of itself.
    :param leaving: servers that it has seen leaving.
    :param observed: ids of servers that answered since the last message.
    :param stopping: whether a planned stop has begun.
    :param left: whether this is the program's last message.
    """

    name: str
    role: str
    incarnation: str
    control_address: str
    position: int = -1
    joins: int = -1
    servers_version: int = -1
    agent_incarnation: str = ""
    entry: EntryProcess | None = None
    leaving: list[LeavingReport] = []
    successors: list[Succession] = []
    observed: list[str] = []
    ejected: list[str] = []
    stopping: bool = False
    left: bool = False


class SyncReply(Message, tag="sync-reply"):
    """The agent's answer: what differs from what the program holds.

    :param ready: whether the agent's state may be served from.
    :param states: the entries that are newer than the program's position.
    :param servers: all servers, ``None`` if unchanged.
    :param probed: load reports that probes brought: server id, in flight, slots, state.
    :param entry_processes: how many entry processes share the limits.
    """

    agent_incarnation: str
    ready: bool
    position: int
    joins: int
    states: list[EntryState]
    servers_version: int
    servers: list[Server] | None
    leaving: list[LeavingReport]
    vms: list[VmInfo]
    successors: list[Succession]
    probed: list[tuple[str, int, int, str]] = []
    entry_processes: int = 1


class Gossip(Message, tag="gossip"):
    """An agent tells another of its VM, and of what spreads from agent to agent."""

    vm: VmInfo
    position: int
    leaving: list[LeavingReport]
    successors: list[Succession]


class SnapshotRequest(Message, tag="snapshot-request"):
    """An agent asks a peer for a newer catalogue."""

    position: int


class SnapshotReply(Message, tag="snapshot-reply"):
    """The peer's catalogue and servers; the catalogue is ``None`` if it is not newer.

    :param ready: whether the peer itself serves from this state.
    """

    ready: bool
    snapshot: CatalogueSnapshot | None
    servers: list[Server]


class ForwardedRequest(Message, tag="forwarded-request"):
    """An entry hands a keyed request to the key's home.

    :param incarnation: the home that must take it; any other refuses.
    :param remaining_s: time to the deadline, in seconds.
    """

    incarnation: str
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    key: str
    remaining_s: float


class ForwardedAnswer(Message, tag="forwarded-answer"):
    """The home's final answer, or the process that decides now."""

    answer: CallerResponse | None
    moved_to: str = ""


class LedgerHandover(Message, tag="ledger-handover"):
    """A stopping home hands its ledgers to a successor."""

    incarnation: str
    ledgers: list[LedgerSnapshot]


class LedgerConfirmation(Message, tag="ledger-confirmation"):
    """The successor holds the ledgers and decides from now on."""

    incarnation: str


class InForceRequest(Message, tag="in-force-request"):
    """The operator's command asks an agent which processes hold an entry's revision."""

    service: str
    revision: int


class ProcessRevision(msgspec.Struct, kw_only=True):
    """Whether one process of a VM holds the asked revision."""

    name: str
    in_force: bool


class InForceReply(Message, tag="in-force-reply"):
    """What the processes of one VM hold."""

    vm_id: str
    position: int
    state: EntryState | None
    processes: list[ProcessRevision]


class NodeGossip(Message, tag="node-gossip"):
    """A node tells a peer of itself and of what it holds; the reply is the same.

    :param peers: addresses of the nodes that it knows.
    :param table_version: of the routing table that it holds, -1 for none.
    :param servers_age_s: time since its list of servers was confirmed, in seconds.
    :param table: in a reply, if the asker's is older.
    :param listings: in a reply, if the asker's list is older.
    :param servers_position: where in the store the list's changes go on.
    """

    vm: VmInfo
    peers: list[str]
    table_version: int = -1
    servers_age_s: float = float("inf")
    table: RoutingTable | None = None
    listings: list[ServerListing] | None = None
    servers_position: int = -1


class TableNotice(Message, tag="table"):
    """A node has found a newer routing table."""

    table: RoutingTable


class ServersNotice(Message, tag="servers"):
    """A node has read the changes of the list of servers.

    :param begin: position that the changes begin at.
    :param end: position after them.
    :param age_s: time since the read began, in seconds.
    """

    begin: int
    end: int
    age_s: float
    changes: list[ServerChange]


class LoadReportItem(msgspec.Struct, array_like=True, frozen=True):
    """One server's load as a node has learnt it.

    :param slowness_pct: time that work takes, in percent of the usual.
    :param age_ms: time since the server said so, in milliseconds.
    """

    server_id: str
    running: int
    waiting: int
    slots: int
    slowness_pct: int
    age_ms: int


class LoadNotice(Message, tag="load", rename={"vm_id": "vm", "reports": "r", "counts": "c"}):
    """What a node has learnt of the servers' load since its last notice.

    :param counts: its own requests at each server whose number has changed.
    """

    vm_id: str
    reports: list[LoadReportItem]
    counts: list[tuple[str, int]]


class DumpRequest(Message, tag="dump-request"):
    """Asks a process for its state."""


class DumpReply(Message, tag="dump-reply"):
    """A process's state as a JSON document."""

    document: str


class RefusedReply(Message, tag="refused"):
    """The message was not acted upon."""

    reason: str


AnyMessage = (
    Sync
    | SyncReply
    | Gossip
    | SnapshotRequest
    | SnapshotReply
    | ForwardedRequest
    | ForwardedAnswer
    | LedgerHandover
    | LedgerConfirmation
    | InForceRequest
    | InForceReply
    | NodeGossip
    | TableNotice
    | ServersNotice
    | LoadNotice
    | DumpRequest
    | DumpReply
    | RefusedReply
)
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)
_VERSION_BYTE = bytes([PROTOCOL_VERSION])


def encode_message(message: Message) -> bytes:
    """Encode a message with its version byte."""
    return _VERSION_BYTE + _encoder.encode(message)


def decode_message(data: bytes) -> t.Any:
    """Decode a message.

    :raises MessageInvalidError: if it has another version or can't be decoded.

    >>> decode_message(encode_message(Refused(reason="busy"))).reason
    'busy'
    """
    if data[:1] != _VERSION_BYTE:
        raise InvalidMessageError(f"version {data[:1].hex() or 'missing'}, not {PROTOCOL_VERSION}")
    try:
        return _decoder.decode(memoryview(data)[1:])
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise InvalidMessageError(str(error)) from error
