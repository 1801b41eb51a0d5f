"""Fakes of an entry's collaborators: an agent replica filled by the test, and scripted servers."""

import asyncio
import contextlib
import secrets

import aiohttp
import zmq.asyncio
from aiohttp import web

from jasmineseam.catalogue.entry import check_entry
from jasmineseam.catalogue.records import EntryState
from jasmineseam.membership.servers import Server
from jasmineseam.membership.servers import ServerMembership
from jasmineseam.membership.vms import EntryProcess
from jasmineseam.membership.vms import EntryVmMembership
from jasmineseam.membership.vms import VmInfo
from jasmineseam.peers.rpc import PeerClients
from jasmineseam.programs.attempt_sender import AttemptSender
from jasmineseam.programs.attempt_sender import open_session
from jasmineseam.programs.entry_proxy import EntryProxy
from jasmineseam.programs.keyed_requests import KeyedRequests


class FakeAgentReplica:
    """An entry's replica of its agent's state, filled by the test."""

    def __init__(self, *, clock):
        self.states = {}
        self.servers = ServerMembership(clock=clock)
        self.vms = EntryVmMembership(clock=clock)
        self.live_vms = []
        self.entry_process_count = 1
        self.ready = True

    def publish(self, **entry):
        body = {"service": "fittings", "owner": "test", **entry}
        state = EntryState(
            service=body["service"],
            revision=1,
            change_id="c",
            position=1,
            entry=check_entry("test", body),
        )
        self.states[state.service] = state


class EntryUnderTest:
    """An entry's whole request path in this process, with real sockets and scripted servers.

    :param handlers: request handlers; each one runs as a server of its own.
    :param body_timeout_s: timeout of reading a request body, in seconds.
    :param head_bytes: maximum size of the request line and of each header field, in bytes.
    :param entry: fields of the service's catalogue entry.
    """

    def __init__(self, *handlers, body_timeout_s=5.0, head_bytes=8190, **entry):
        self.handlers = handlers
        self.entry = entry
        self.body_timeout_s = body_timeout_s
        self.head_bytes = head_bytes
        self.incarnation = secrets.token_hex(8)
        self.stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        clock = asyncio.get_running_loop().time
        self.replica = FakeAgentReplica(clock=clock)
        self.replica.publish(**self.entry)
        servers = []
        for number, handler in enumerate(self.handlers):
            address = await start_http_server(self.stack, handler)
            name = f"s{number}"
            servers.append(
                Server(server_id=name, service="fittings", address=address, failure_domain="d")
            )
        self.replica.servers.replace_servers(servers)
        context = zmq.asyncio.Context()
        self.stack.callback(context.destroy, linger=0)
        self.peer_clients = PeerClients(context=context)
        self.stack.callback(self.peer_clients.close)
        session = open_session()
        self.stack.push_async_callback(session.close)
        self.leaving_reports = []
        self.sender = AttemptSender(session=session, on_server_leaving=self.record_leaving_server)
        self.keyed_requests = KeyedRequests(
            incarnation=self.incarnation, peer_clients=self.peer_clients, replica=self.replica
        )
        self.proxy = EntryProxy(
            replica=self.replica,
            sender=self.sender,
            keyed_requests=self.keyed_requests,
            body_timeout_s=self.body_timeout_s,
        )
        self.keyed_requests.run_request = self.proxy.run_keyed_request
        self.address = await start_http_server(
            self.stack,
            self.proxy.handle,
            max_field_size=self.head_bytes,
            max_line_size=self.head_bytes,
            keepalive_timeout=self.body_timeout_s,
            auto_decompress=False,
        )
        self.session = aiohttp.ClientSession()
        self.stack.push_async_callback(self.session.close)
        return self

    async def __aexit__(self, *exc_info):
        await self.stack.aclose()

    def record_leaving_server(self, server_id, source):
        self.leaving_reports.append((server_id, source))
        self.replica.servers.mark_leaving(server_id, source)

    def make_key(self, own_id):
        return f"{self.keyed_requests.ledger.key_prefix}.{own_id}"

    async def send(self, method="GET", path="/x", *, key="", headers=None, **options):
        headers = {"Host": "fittings", **(headers or {})}
        if key:
            headers["Idempotency-Key"] = key
        url = f"http://{self.address}{path}"
        async with self.session.request(method, url, headers=headers, **options) as response:
            body = await response.read()
        return ReceivedResponse(response, body)

    def set_peer_entry(self, incarnation, control_address):
        """Make a VM with a single entry process the only live VM.

        :param incarnation: incarnation of the entry process.
        :param control_address: control address of the entry process.
        """
        process = EntryProcess(
            incarnation=incarnation,
            http_address="127.0.0.1:1",
            control_address=control_address,
            key_prefix=f"{incarnation}-0",
        )
        vm = VmInfo(
            vm_id="peer",
            incarnation="1",
            failure_domain="d",
            agent_address="127.0.0.1:1",
            seat=1,
            ready=True,
            entries=[process],
        )
        self.replica.live_vms = [vm]
        self.keyed_requests.update_control_addresses()


class ReceivedResponse:
    """A response as the caller received it."""

    def __init__(self, response, body):
        self.status = response.status
        self.headers = response.headers
        self.outcome = response.headers.get("Jasmineseam-Outcome")
        self.body = body


async def start_http_server(stack, handler, **options):
    """Serve a handler on a port that the kernel chooses; returns the address."""
    server = web.Server(handler, handler_cancellation=True, access_log=None, **options)
    runner = web.ServerRunner(server, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return f"127.0.0.1:{runner.addresses[0][1]}"
