"""Messages between the processes of the system, and their encoding.

An encoded message is one version byte and a MessagePack map with a ``type`` key.
"""

from __future__ import annotations

import typing as t

import msgspec

from ..catalogue.records import CatalogueSnapshot
from ..catalogue.records import EntryState
from ..exceptions import InvalidMessageError
from ..membership.evacuations import EvacuationState
from ..membership.nodes import NodeInfo
from ..membership.registry import Departure
from ..membership.registry import ServerChange
from ..membership.registry import ServerListing
from ..membership.request_limits import RequestLimit
from ..membership.servers import LeavingReport
from ..membership.servers import Server
from ..membership.store_position import UNKNOWN_POSITION
from ..membership.store_position import StorePosition
from ..membership.vms import EntryProcess
from ..membership.vms import Succession
from ..membership.vms import VmInfo
from ..requests.ledger import LedgerSnapshot
from ..requests.outcome import CallerResponse
from ..routing.quarantine import CrashReport
from ..routing.quotas import LogCopy
from ..routing.quotas import Quota
from ..routing.routes import Route

PROTOCOL_VERSION = 1
# servers in one message about probes, so that it fits into a datagram
MAX_PROBE_SERVERS = 16


class Message(msgspec.Struct, kw_only=True, tag_field="type"):
    """Base class of all messages."""


class Sync(Message, tag="sync"):
    """Reports a program's state to the agent of its VM, and requests the state that it lacks.

    :param role: ``entry`` or ``locator``.
    :param incarnation: random id of this start of the program.
    :param position: position of the program's copy of the catalogue, as the number of records
        applied to it; -1 for no copy.
    :param joins: value of ``joins`` in the agent's last reply, -1 for none.
    :param servers_version: version of the program's server list.
    :param agent_incarnation: incarnation of the agent in its last reply, empty for none.
    :param entry: state of an entry process.
    :param leaving: servers that the program has observed to be leaving.
    :param successors: processes that took over the ledgers of stopped entry processes.
    :param observed: ids of servers that responded since the last message.
    :param ejected: ids of servers that the program has ejected.
    :param stopping: whether a planned stop has begun.
    :param left: whether this is the program's last message before it exits.
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
    """Reply to :class:`Sync` with the agent's state that the program does not hold yet.

    :param agent_incarnation: random id of this start of the agent.
    :param ready: whether the agent has loaded the state that serving requests requires.
    :param position: position of the agent's catalogue.
    :param joins: number of entry states that the agent's catalogue has merged from snapshots and
        checkpoints; after a change of this number, *states* holds all entries.
    :param states: catalogue entries that are newer than the program's position.
    :param servers: all servers, ``None`` if unchanged.
    :param probed: latest probe results, each a server id, requests in flight, slots and state.
    :param entry_processes: number of live entry processes, which share each service's limits.
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
    """Sends an agent's VM state, leaving servers and ledger successors to another agent."""

    vm: VmInfo
    position: int
    leaving: list[LeavingReport]
    successors: list[Succession]


class SnapshotRequest(Message, tag="snapshot-request"):
    """Requests the catalogue from another agent.

    :param position: catalogue position of the requesting agent.
    """

    position: int


class SnapshotReply(Message, tag="snapshot-reply"):
    """Reply to :class:`SnapshotRequest`.

    :param ready: whether the replying agent has loaded the state that serving requests requires.
    :param snapshot: the catalogue, ``None`` if it is not newer than the position in the request.
    """

    ready: bool
    snapshot: CatalogueSnapshot | None
    servers: list[Server]


class ForwardedRequest(Message, tag="forwarded-request"):
    """Forwards a request with an idempotency key to the key's home.

    The home is the entry process that holds the ledger with the key.

    :param incarnation: incarnation of the home; any other process refuses the request.
    :param remaining_s: time until the deadline, in seconds.
    """

    incarnation: str
    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    key: str
    remaining_s: float


class ForwardedResponse(Message, tag="forwarded-answer"):
    """Reply to :class:`ForwardedRequest`.

    :param answer: the final response, ``None`` if another process holds the ledger now.
    :param moved_to: incarnation of the process that holds the ledger now, empty if *answer* is
        set.
    """

    answer: CallerResponse | None
    moved_to: str = ""


class LedgerHandover(Message, tag="ledger-handover"):
    """Transfers the ledgers of a stopping entry process to its successor.

    :param incarnation: incarnation of the stopping process.
    """

    incarnation: str
    ledgers: list[LedgerSnapshot]


class LedgerConfirmation(Message, tag="ledger-confirmation"):
    """Confirms that the successor has taken over the ledgers.

    The successor now decides whether the request of an idempotency key in them may be run.

    :param incarnation: incarnation of the successor.
    """

    incarnation: str


class InForceRequest(Message, tag="in-force-request"):
    """Requests which processes of a VM apply a revision of a catalogue entry, or a newer one."""

    service: str
    revision: int


class ProcessRevisionStatus(msgspec.Struct, kw_only=True):
    """Whether one process of a VM applies the requested revision or a newer one."""

    name: str
    in_force: bool


class InForceReply(Message, tag="in-force-reply"):
    """Reply to :class:`InForceRequest`.

    :param position: catalogue position of the agent.
    :param state: the agent's state of the entry, ``None`` if it holds none.
    """

    vm_id: str
    position: int
    state: EntryState | None
    processes: list[ProcessRevisionStatus]


class StateDigest(msgspec.Struct, array_like=True, frozen=True):
    """Summary of what a node knows, by which another node detects what it lacks.

    :param nodes_hash: hash over the versions of all nodes' states.
    :param table_version: version of the routing table, -1 for none.
    :param servers_position: store position up to which the node knows the server list.
    :param servers_age_ms: time since the list was confirmed by a read of the store, in
        milliseconds; -1 if the node has no list.
    :param notices_hash: hash over the listed servers that have reported their departure, the
        limits that servers name and the crashes of servers under requests.
    :param table_age_ms: time since a read of the store confirmed that there is no newer routing
        table, in milliseconds; the largest value if none did, -1 from nodes of earlier builds.
    :param evacuations_position: store position up to which the node knows the evacuations;
        builds without evacuations send none.
    :param evacuations_hash: hash over the evacuated failure domains, 0 for none.
    """

    nodes_hash: int
    table_version: int
    servers_position: StorePosition
    servers_age_ms: t.Annotated[int, msgspec.Meta(ge=-1, le=2**31)]
    notices_hash: int = 0
    table_age_ms: t.Annotated[int, msgspec.Meta(ge=-1, le=2**31)] = -1
    evacuations_position: StorePosition = UNKNOWN_POSITION
    evacuations_hash: int = 0


class FleetMessage(Message):
    """Base class of the datagrams between nodes; each contains its sender's state.

    :param sender: state of the node that has sent the datagram.
    :param digest: summary of what the sender knows.
    """

    sender: NodeInfo
    digest: StateDigest


class Ping(FleetMessage, tag="ping", rename={"sender": "s", "digest": "d", "number": "n"}):
    """Requests an :class:`Ack`.

    :param number: number of the ping, which the reply repeats.
    """

    number: int


class PingRequest(FleetMessage, tag="ping-request", rename={"sender": "s", "digest": "d"}):
    """Requests that the receiver pings a node that does not answer the sender.

    :param number: number of the sender's own ping.
    :param address: datagram address of the node that does not answer.
    """

    number: int
    address: str


class Ack(FleetMessage, tag="ack", rename={"sender": "s", "digest": "d", "number": "n"}):
    """Answers a :class:`Ping`, directly or on behalf of the node that was pinged.

    :param suspected: whether the receiver is suspected of having failed.
    :param answering_id: VM of the node that was pinged.
    """

    number: int
    answering_id: str
    suspected: bool = False


class NodesRequest(FleetMessage, tag="nodes-request", rename={"sender": "s", "digest": "d"}):
    """Requests the states of nodes that differ between the receiver and the sender.

    :param group_hashes: hashes of the sender's groups of nodes.
    """

    group_hashes: list[int]


class ServersNotice(msgspec.Struct, kw_only=True, frozen=True):
    """Changes of the server list.

    :param begin: store position up to which a receiver must know the list.
    :param end: store position after the changes.
    """

    begin: StorePosition
    end: StorePosition
    changes: list[ServerChange]


class Update(FleetMessage, tag="update", rename={"sender": "s", "digest": "d"}):
    """News that each receiver forwards once to a few other nodes.

    :param nodes: new states of nodes.
    :param suspected: VM ids and versions of nodes that are suspected of having failed.
    :param departures: servers that are leaving, according to their own responses.
    :param request_limits: limits that servers have named, moved or withdrawn.
    :param crashes: crashes of servers under requests.
    :param evacuations: the evacuated failure domains, ``None`` if they have not changed.
    :param warmups: limits of cold servers. They are apart from *request_limits*, since nodes of
        earlier builds would take them for limits without an end and return them as such.
    """

    nodes: list[NodeInfo] = []
    suspected: list[tuple[str, int]] = []
    departures: list[Departure] = []
    servers: ServersNotice | None = None
    request_limits: list[RequestLimit] = []
    crashes: list[CrashReport] = []
    evacuations: EvacuationState | None = None
    warmups: list[RequestLimit] = []


class StateRequest(Message, tag="state-request"):
    """Requests the routing table and the server list, as far as they are newer.

    :param table_version: version of the sender's routing table, -1 for none.
    :param servers_position: store position up to which the sender knows the server list.
    """

    table_version: int
    servers_position: StorePosition


class StateReply(Message, tag="state-reply"):
    """Reply to :class:`StateRequest`.

    :param table: compressed routing table, empty if the sender's is as new.
    :param servers: the changes that the sender lacks, ``None`` if there are none or if *listings*
        is set.
    :param listings: the whole server list, ``None`` if the changes suffice.
    :param servers_position: store position up to which the replying node knows the list.
    :param servers_age_s: time since a read of the store confirmed the list, in seconds.
    :param departures: servers that have left or are leaving.
    :param request_limits: limits that servers name or have withdrawn lately.
    :param crashes: crashes of servers under requests.
    :param evacuations: the evacuated failure domains; ``None`` from builds without evacuations.
    :param warmups: limits of cold servers.
    """

    table: bytes = b""
    servers: ServersNotice | None = None
    listings: list[ServerListing] | None = None
    servers_position: StorePosition = UNKNOWN_POSITION
    servers_age_s: t.Annotated[float, msgspec.Meta(ge=0.0)] = float("inf")
    departures: list[Departure] = []
    request_limits: list[RequestLimit] = []
    crashes: list[CrashReport] = []
    evacuations: EvacuationState | None = None
    warmups: list[RequestLimit] = []


class RelayedRequest(Message, tag="relayed-request"):
    """Requests that the receiver runs a request on servers that the sender can't reach.

    Texts that callers choose are bytes, since they need not be UTF-8.

    :param relay_id: id by which the sender may cancel the request.
    :param route: route of the request, with the number of attempts that are left.
    :param table_version: version of the sender's routing table.
    :param remaining_s: time until the deadline, in seconds.
    :param target_s: time until the target, in seconds; below 0 if it has passed.
    :param elapsed_s: time since the caller's first attempt, in seconds.
    :param counted: whether the sender has counted the request for its retry budget.
    :param excluded_server_ids: servers that already received an attempt of the request.
    :param account: name of the request's client account, empty for none; ``None`` if the sender
        has not authenticated the request, as nodes of earlier builds do not.
    :param key_hash: digest of the request's key, by which the receiver finds out that the key was
        removed. The routing tables that nodes send each other contain the same digests.
    """

    relay_id: str
    service: str
    route: Route
    table_version: int
    request_id: str
    method: str
    path: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    remaining_s: t.Annotated[float, msgspec.Meta(ge=0.0, le=1e6)]
    target_s: float
    elapsed_s: float
    counted: bool
    excluded_server_ids: list[str]
    account: str | None = None
    key_hash: bytes = b""


class RelayedResponse(Message, tag="relayed-response"):
    """Reply to :class:`RelayedRequest`.

    :param status: status of the server's response, or of the response that the caller gets if
        there is none.
    :param reason: why there is no response of a server, empty if there is one.
    :param may_have_run: whether a server may have run the request, if there is no response.
    :param retry_after_s: delay after which a retry can succeed, in seconds.
    :param tried: the attempts, as in the request log.
    :param reached_servers: number of servers that received an attempt.
    """

    status: t.Annotated[int, msgspec.Meta(ge=100, le=999)]
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b""
    reason: str = ""
    may_have_run: bool = False
    retry_after_s: float | None = None
    tried: list[str] = []
    reached_servers: int = 0


class RelayCancellation(Message, tag="relay-cancellation"):
    """Ends a :class:`RelayedRequest` whose response is no longer needed."""

    relay_id: str


class SharedLoad(msgspec.Struct, array_like=True, frozen=True):
    """A load report that a node passes on.

    :param age_ms: time since the report was received from the server, in milliseconds.
    :param slowness: see :class:`DetailedLoadReport`.
    """

    server_id: str
    age_ms: t.Annotated[float, msgspec.Meta(ge=0.0, le=60_000.0)]
    running: t.Annotated[int, msgspec.Meta(ge=0, le=10**6)]
    waiting: t.Annotated[int, msgspec.Meta(ge=0, le=10**6)]
    slots: t.Annotated[int, msgspec.Meta(ge=0, le=10**6)]
    slowness: t.Annotated[float, msgspec.Meta(ge=0.0, le=10**6)]


class ProbeRequest(Message, tag="probe-request"):
    """Requests load reports of servers, or probes of them, for a request that waits.

    It is sent to the node that grants the probes of the service in the sender's failure domain.

    :param sender_id: VM of the node that has sent the datagram.
    :param number: number of the request, which the reply repeats.
    :param server_ids: servers in the order of preference.
    :param count: number of reports that are needed.
    """

    sender_id: str
    number: int
    service: str
    server_ids: t.Annotated[list[str], msgspec.Meta(max_length=MAX_PROBE_SERVERS)]
    count: t.Annotated[int, msgspec.Meta(ge=0, le=MAX_PROBE_SERVERS)]


class ProbeGrant(Message, tag="probe-grant"):
    """Answers a :class:`ProbeRequest`; a second one may follow with reports that were awaited.

    :param server_ids: servers that the receiver may probe once, at once.
    :param loads: reports that the sender knows.
    :param awaited: whether another answer with reports is expected to follow.
    :param shares_reports: whether the sender wants the reports of the granted probes.
    """

    sender_id: str
    number: int
    server_ids: t.Annotated[list[str], msgspec.Meta(max_length=MAX_PROBE_SERVERS)] = []
    loads: t.Annotated[list[SharedLoad], msgspec.Meta(max_length=MAX_PROBE_SERVERS)] = []
    awaited: bool = False
    shares_reports: bool = False


class ProbeReports(Message, tag="probe-reports"):
    """Passes on the reports of granted probes.

    It is sent to the node that granted the probes, which forwards it once to the nodes that grant
    the probes of the service in the other failure domains.

    :param forwarded: whether the sender grants the probes itself.
    """

    sender_id: str
    service: str
    loads: t.Annotated[list[SharedLoad], msgspec.Meta(max_length=MAX_PROBE_SERVERS)]
    forwarded: bool = False


# Short names, since several of these datagrams are sent for each request of a client account.
_QUOTA_FIELDS = {
    "sender": "s",
    "account": "a",
    "number": "n",
    "wanted": "w",
    "quota": "q",
    "tokens": "t",
    "retry_after_s": "r",
    "unused": "u",
    "is_reply": "p",
    "covered_s": "c",
    "logs": "l",
    "known_versions": "k",
}


class QuotaRequest(Message, tag="quota-request", rename=_QUOTA_FIELDS):
    """Datagram that requests tokens of a client account from the account's owner.

    :param sender: VM of the node that requests them.
    :param number: number of the request at its sender, which a repeated request has, too.
    :param wanted: number of tokens.
    :param logs: what owners have granted, as far as the sender knows; empty if the receiver has
        granted the sender's last tokens.
    :param known_versions: version of each owner's log that the sender knows.
    """

    sender: str
    number: int
    wanted: t.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
    quota: Quota
    logs: list[LogCopy] = []
    known_versions: dict[str, int] = {}


class QuotaGrant(Message, tag="quota-grant", rename=_QUOTA_FIELDS):
    """Datagram that answers :class:`QuotaRequest`.

    :param sender: VM of the owner.
    :param tokens: number of granted tokens, 0 if none is due.
    :param retry_after_s: time until a token is due, in seconds.
    :param logs: what owners have granted since the versions that the receiver knows.
    """

    sender: str
    account: str
    number: int
    tokens: t.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
    retry_after_s: t.Annotated[float, msgspec.Meta(ge=0.0, le=1e6)] = 0.0
    logs: list[LogCopy] = []


class QuotaReturn(Message, tag="quota-return", rename=_QUOTA_FIELDS):
    """Datagram that returns tokens that were not used and will not be.

    :param number: number of the request by which they were granted.
    :param unused: number of unused tokens of that grant in all.
    """

    sender: str
    account: str
    number: int
    unused: t.Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]


class QuotaCopy(Message, tag="quota-copy", rename=_QUOTA_FIELDS):
    """Datagram by which the owner of an account and the next node in rank send their logs.

    :param is_reply: whether it answers another one, so that it needs no answer itself.
    :param covered_s: time for which the sender's logs have been complete, in seconds.
    :param logs: what owners have granted since the versions that the receiver knows.
    :param known_versions: version of each owner's log that the sender knows.
    """

    sender: str
    account: str
    is_reply: bool = False
    covered_s: t.Annotated[float, msgspec.Meta(ge=0.0)] = 0.0
    logs: list[LogCopy] = []
    known_versions: dict[str, int] = {}


QuotaMessage = QuotaRequest | QuotaGrant | QuotaReturn | QuotaCopy


class DumpRequest(Message, tag="dump-request"):
    """Requests the state of a process."""


class DumpReply(Message, tag="dump-reply"):
    """Reply to :class:`DumpRequest`: the state as a JSON document."""

    document: str


class RefusedReply(Message, tag="refused"):
    """Reply to a message that was not handled.

    :param reason: cause of the refusal, as an identifier such as ``internal-error`` or a text.
    """

    reason: str


AnyMessage = (
    Sync
    | SyncReply
    | Gossip
    | SnapshotRequest
    | SnapshotReply
    | ForwardedRequest
    | ForwardedResponse
    | LedgerHandover
    | LedgerConfirmation
    | InForceRequest
    | InForceReply
    | Ping
    | PingRequest
    | Ack
    | NodesRequest
    | Update
    | StateRequest
    | StateReply
    | RelayedRequest
    | RelayedResponse
    | RelayCancellation
    | ProbeRequest
    | ProbeGrant
    | ProbeReports
    | QuotaRequest
    | QuotaGrant
    | QuotaReturn
    | QuotaCopy
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

    :raises InvalidMessageError: if the version differs or the message can't be decoded.

    >>> decode_message(encode_message(RefusedReply(reason="busy"))).reason
    'busy'
    """
    if data[:1] != _VERSION_BYTE:
        raise InvalidMessageError(
            f"protocol version is {data[:1].hex() or 'missing'}, expected {PROTOCOL_VERSION}"
        )
    try:
        return _decoder.decode(memoryview(data)[1:])
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        raise InvalidMessageError(str(error)) from error
