"""The node as a separate process: settings file, metrics, logs and signals."""

import asyncio
import json
import os
import pathlib
import re
import signal
import sys

import aiohttp
import pytest

from standins.settings import choose_loopback_address
from standins.settings import write_node_settings
from tests.deployment import Deployment
from tests.deployment import run_scenario
from tests.deployment import wait_until

ROOT = pathlib.Path(__file__).resolve().parent.parent


class NodeProcess:
    """A node process with its ports and log lines."""

    def __init__(self, process, host, ports):
        self.process = process
        self.host = host
        self.ports = ports
        self.lines = []

    async def read_log_lines(self):
        while line := await self.process.stdout.readline():
            self.lines.append(json.loads(line))

    def find_log_lines(self, **fields):
        return [line for line in self.lines if fields.items() <= line.items()]


async def start_process(deployment: Deployment, folder: pathlib.Path) -> NodeProcess:
    host = choose_loopback_address()
    settings = folder / "boot.toml"
    ports = write_node_settings(settings, host=host, store_address=deployment.store_address)
    options = folder / "node.json"
    options.write_text(json.dumps({"metrics_port": ports["metrics"], "fatal_invariants": True}))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "deploy" / "node.py"),
        str(options),
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "JASMINESEAM_NODE_FILE": str(settings)},
    )
    node = NodeProcess(process, host, ports)
    node.read_log_task = asyncio.ensure_future(node.read_log_lines())
    return node


async def wait_ready(deployment, node):
    url = f"http://{node.host}:{node.ports['ready']}/api/readyz"
    async with asyncio.timeout(20.0):
        while True:
            try:
                async with deployment.session.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.05)


async def fetch(deployment, node, path="/safe/1", request_id="q-1"):
    url = f"http://{node.host}:{node.ports['entry']}{path}"
    headers = {"Host": "fit.example", "Jasmineseam-Request-Id": request_id}
    async with deployment.session.get(url, headers=headers) as response:
        return response.status


def test_process_serves_reloads_settings_and_stops(tmp_path):
    async def scenario(deployment):
        deployment.write_configuration()
        await deployment.add_instance("i-1")
        node = await start_process(deployment, tmp_path)
        try:
            await wait_ready(deployment, node)
            assert await fetch(deployment, node) == 200
            assert await fetch(deployment, node, "/none/", "q-2") == 404
            settings = tmp_path / "boot.toml"
            text = settings.read_text()
            settings.write_text("[self")
            node.process.send_signal(signal.SIGHUP)
            await wait_until(
                lambda: node.find_log_lines(level="ERROR"), "the invalid settings file is rejected"
            )
            settings.write_text(text.replace("probes-per-s = 60", "probes-per-s = 5"))
            node.process.send_signal(signal.SIGHUP)
            reloaded = "Settings reloaded."
            await wait_until(
                lambda: node.find_log_lines(message=reloaded), "the valid settings file is loaded"
            )
            assert await fetch(deployment, node, request_id="q-3") == 200
            url = f"http://{node.host}:{node.ports['metrics']}/metrics"
            async with deployment.session.get(url) as response:
                page = await response.text()
            assert re.search(r'jasmineseam_requests_total{[^}]*outcome="answered"[^}]*} 2', page)
            assert "jasmineseam_request_duration_seconds_bucket" in page
            node.process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(5.0):
                assert await node.process.wait() == 0
                await node.read_log_task
        finally:
            if node.process.returncode is None:
                node.process.kill()
        (answered,) = node.find_log_lines(id="q-1")
        assert answered["outcome"] == "answered"
        assert answered["table"] == 1
        assert answered["tried"][0].startswith("i-1:200:")
        (missing,) = node.find_log_lines(id="q-2")
        assert (missing["outcome"], missing["status"]) == ("not-run:no-route", 404)
        assert node.find_log_lines(message="Reload requested by SIGHUP.")
        assert node.find_log_lines(message="Planned stop begins.")
        assert node.find_log_lines(message="Stopped.")

    run_scenario(scenario)


@pytest.mark.parametrize("text", ["", "[self]\n", "not toml ["])
def test_invalid_settings_file_ends_process_with_message(tmp_path, text):
    async def scenario():
        settings = tmp_path / "boot.toml"
        settings.write_text(text)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "deploy" / "node.py"),
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "JASMINESEAM_NODE_FILE": str(settings)},
        )
        _, error = await process.communicate()
        assert process.returncode == 2
        assert str(settings).encode() in error

    asyncio.run(scenario())


def test_node_start_does_not_import_command_line_parser():
    async def scenario():
        code = "import sys, jasmineseam.platform.program; print('defopt' in sys.modules)"
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", code, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        assert output == b"False\n"

    asyncio.run(scenario())
