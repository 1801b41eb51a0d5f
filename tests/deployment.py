"""A small deployment in one event loop: a stand-in store, stand-in instances and real nodes."""

import asyncio
import contextlib
import itertools
import json
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
from standins.settings import choose_loopback_address
from standins.settings import find_free_ports
from standins.store import StandInStore

HOST = "127.0.0.1"
NODE_OPTIONS = NodeOptions(metrics=MetricSettings(exporter="none"), fatal_invariants=True)
_request_numbers = itertools.count(1)


class RecordingOutput(LineOutput):
    """Writes a node's log lines to standard error and records them decoded."""

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


async def wait_until(condition, description, timeout_s=10.0):
    """Wait until a condition holds, and fail with its description after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, f"not within {timeout_s} s: {description}"
        await asyncio.sleep(0.01)


class Deployment:
    """Stand-ins, and the nodes that use them."""

    def __init__(self):
        self.store = StandInStore()
        self.store_address = ""
        self.instances = {}
        self.nodes = []
        self.settings = {}
        self._stack = contextlib.AsyncExitStack()
        self.session = None

    async def __aenter__(self):
        self.store_address = await self.add_store_listener()
        # without this timeout, a request without a response would block its test forever
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

    async def add_store_listener(self):
        """Make the store available on an additional port; returns the address."""
        server = web.Server(self.store.handle, handler_cancellation=True, access_log=None)
        runner = web.ServerRunner(server, shutdown_timeout=0.05)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, HOST, 0).start()
        return f"{HOST}:{runner.addresses[0][1]}"

    def write_configuration(self, version=1, routes=None, **overrides):
        """Write a routing configuration to the store."""
        routes = ROUTES if routes is None else routes
        self.store.put("keyed.op", "config", build_configuration(version, routes, **overrides))

    async def add_instance(self, name, service="fit", **overrides):
        """Start an instance and write its record to the store."""
        instance = StandInInstance(instance_id=name, service=service, **overrides)
        await instance.start()
        self.instances[name] = instance
        self.write_instance_record(name)
        return instance

    def write_instance_record(self, name, **overrides):
        """Write an instance's record to the store."""
        self.store.put("keyed.servers", name, self.instances[name].build_store_record(**overrides))

    def build_settings(self, name, domain="d1", **overrides):
        """Return the settings of a new node with free ports."""
        host = choose_loopback_address()
        entry, readiness, locator, peers, notices = find_free_ports(host, 5)
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
            "seed_peers": [node.settings.listeners.notices for node in self.nodes][:3],
            "retries": RetryBudgetSettings(share=0.2, allowance=60.0, window_s=10.0),
            "probes_per_s": 60.0,
            "grace_s": 2.0,
            "longest_lifetime_s": 5.0,
        }
        return NodeSettings(**{**fields, **overrides})

    async def add_node(self, name, *, wait_until_ready=True, options=NODE_OPTIONS, **overrides):
        """Start a node and, by default, wait until it is ready and lists all instances."""
        settings = self.build_settings(name, **overrides)
        output = RecordingOutput()
        node = make_node(settings, options, output)
        node.lines = output.lines
        await node.start()
        self.nodes.append(node)
        if wait_until_ready:
            await wait_until(lambda: node.ready and self.has_all_servers(node), f"{name} is ready")
        return node

    def has_all_servers(self, node):
        """Return whether a node has as many usable servers as there are instances."""
        return node.registry.count_usable() >= len(self.instances)

    async def send_request(
        self, node, path, *, method="GET", body=None, host="fit.example", **headers
    ):
        """Send one request to a node; returns status, headers and body.

        :param headers: additional headers; ``request_id`` and ``deadline_ms`` override the default
            id and deadline.
        """
        request_id = headers.pop("request_id", f"q{next(_request_numbers)}")
        request_headers = {"Host": host, "Jasmineseam-Request-Id": request_id}
        request_headers["Jasmineseam-Deadline-Ms"] = str(headers.pop("deadline_ms", 2000))
        request_headers.update(headers)
        url = yarl.URL(f"http://{node.settings.listeners.entry}{path}", encoded=True)
        async with self.session.request(
            method, url, data=body, headers=request_headers
        ) as response:
            return response.status, response.headers, await response.read()

    def count_runs(self, request_id):
        """Return how many times the instances ran a request."""
        return sum(instance.run_counts[request_id] for instance in self.instances.values())


def run_scenario(scenario):
    """Run a scenario, a coroutine function, with a new deployment."""

    async def run():
        async with Deployment() as deployment:
            await scenario(deployment)

    asyncio.run(run())
