"""A small deployment in one loop: stand-in store and instances, and real nodes."""

import asyncio
import contextlib
import itertools
import json
import os
import time

import aiohttp
import yarl
from aiohttp import web

from jasmineseam.operations.node_settings import NodeListeners
from jasmineseam.operations.node_settings import NodeOptions
from jasmineseam.operations.node_settings import NodeSettings
from jasmineseam.operations.node_settings import NodeVm
from jasmineseam.operations.node_settings import RetryBudgetSettings
from jasmineseam.operations.output import LineOutput
from jasmineseam.operations.settings import MetricSettings
from jasmineseam.platform.program import make_node
from standins.configuration import build_configuration
from standins.configuration import build_route
from standins.instance import StandInInstance
from standins.settings import find_ports
from standins.store import StandInStore

HOST = "127.0.0.1"
OPTIONS = NodeOptions(metrics=MetricSettings(exporter="none"), fatal_invariants=True)
_ids = itertools.count(1)
_hosts = itertools.count()


def find_host():
    """Return a loopback address that no other process uses, for its ports stay free between.

    Outgoing connections take their ports from the usual loopback address.
    """
    pid = os.getpid()
    return f"127.{16 + pid % 200}.{pid // 200 % 250}.{next(_hosts) % 250 + 1}"


class KeptOutput(LineOutput):
    """Writes a node's lines, and keeps them decoded."""

    def __init__(self):
        super().__init__(descriptor=2)
        self.lines = []

    def write(self, line):
        self.lines.append(json.loads(line))
        super().write(line)


ROUTES = [
    build_route("/safe/"),
    build_route("/order/", kind="unsafe"),
    build_route("/pull/", kind="download"),
]


async def wait_until(condition, what, within_s=10.0):
    """Wait until a condition holds."""
    until = time.monotonic() + within_s
    while not condition():
        assert time.monotonic() < until, f"not within {within_s} s: {what}"
        await asyncio.sleep(0.01)


class Deployment:
    """Stand-ins, and nodes that speak with them."""

    def __init__(self):
        self.store = StandInStore()
        self.store_address = ""
        self.instances = {}
        self.nodes = []
        self.settings = {}
        self._stack = contextlib.AsyncExitStack()
        self.session = None

    async def __aenter__(self):
        self.store_address = await self.open_store()
        # a request that is never answered fails its test
        timeout = aiohttp.ClientTimeout(total=10.0)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self._stack.push_async_callback(self.session.close)
        return self

    async def __aexit__(self, *error):
        for node in self.nodes:
            await node.stop()
        for instance in self.instances.values():
            await instance.stop()
        await self._stack.aclose()

    async def open_store(self):
        """Let the store listen on one more port; returns its address."""
        server = web.Server(self.store.answer, handler_cancellation=True, access_log=None)
        runner = web.ServerRunner(server, shutdown_timeout=0.05)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, HOST, 0).start()
        return f"{HOST}:{runner.addresses[0][1]}"

    def configure(self, version=1, routes=None, **more):
        """Write a configuration."""
        routes = ROUTES if routes is None else routes
        self.store.put("keyed.op", "config", build_configuration(version, routes, **more))

    async def add_instance(self, name, service="fit", **more):
        """Start an instance and enter it in the store."""
        instance = StandInInstance(instance_id=name, service=service, **more)
        await instance.start()
        self.instances[name] = instance
        self.enter(name)
        return instance

    def enter(self, name, **more):
        """Write an instance's entry."""
        self.store.put("keyed.servers", name, self.instances[name].describe(**more))

    def build_settings(self, name, domain="d1", **more):
        """Return the settings of a node."""
        host = find_host()
        entry, readiness, locator, peers, notices = find_ports(host, 5)
        fields = {
            "vm": NodeVm(id=name, address=host, failure_domain=domain),
            "listeners": NodeListeners(
                entry=f"{host}:{entry}",
                readiness=f"{host}:{readiness}",
                locator=f"{host}:{locator}",
                peers=f"{host}:{peers}",
                notices=f"{host}:{notices}",
            ),
            "store_address": self.store_address,
            "seed_peers": [node.settings.listeners.peers for node in self.nodes][:3],
            "retries": RetryBudgetSettings(share=0.2, allowance=60.0, window_s=10.0),
            "probes_per_s": 60.0,
            "grace_s": 2.0,
            "longest_lifetime_s": 5.0,
        }
        return NodeSettings(**{**fields, **more})

    async def add_node(self, name, *, ready=True, options=OPTIONS, **more):
        """Start a node, and wait until it is ready."""
        settings = self.build_settings(name, **more)
        output = KeptOutput()
        node = make_node(settings, options, output)
        node.lines = output.lines
        await node.start()
        self.nodes.append(node)
        if ready:
            await wait_until(lambda: node.ready and self.knows_servers(node), f"{name} is ready")
        return node

    def knows_servers(self, node):
        """Tell whether a node holds all instances."""
        return node.registry.count_usable() >= len(self.instances)

    async def ask(self, node, path, *, method="GET", body=None, host="fit.example", **headers):
        """Send one request to a node; returns status, headers and body."""
        request_id = headers.pop("request_id", f"q{next(_ids)}")
        sent = {"Host": host, "Jasmineseam-Request-Id": request_id}
        sent["Jasmineseam-Deadline-Ms"] = str(headers.pop("deadline_ms", 2000))
        sent.update(headers)
        url = yarl.URL(f"http://{node.settings.listeners.entry}{path}", encoded=True)
        async with self.session.request(method, url, data=body, headers=sent) as response:
            return response.status, response.headers, await response.read()

    def count_runs(self, request_id):
        """Return how often instances have run a request."""
        return sum(instance.runs[request_id] for instance in self.instances.values())


def play(scenario):
    """Run a scenario with a new deployment."""

    async def run():
        async with Deployment() as deployment:
            await scenario(deployment)

    asyncio.run(run())
