"""Output of ``jasmineseam-ctl explain`` for failed requests, from the logs of running nodes."""

import asyncio
import json
import sys

import pytest

from standins.configuration import build_route
from standins.instance import InstanceBehaviour
from tests.deployment import run_scenario
from tests.deployment import wait_until

ROUTES = [
    build_route("/safe/", **{"target-latency": "100ms"}),
    build_route("/order/", kind="unsafe"),
]


async def fail_by_late_response(deployment, node):
    deployment.instances["i-1"].behaviour = InstanceBehaviour(work_s=0.3)
    status, _, _ = await deployment.send_request(node, "/safe/1", request_id="lost-7")
    assert status == 200


async def fail_by_overload(deployment, node):
    deployment.instances["i-1"].behaviour = InstanceBehaviour(work_s=0.6)
    requests = [deployment.send_request(node, "/safe/1") for _ in range(16)]
    others = asyncio.ensure_future(asyncio.gather(*requests))
    instance = deployment.instances["i-1"]
    await wait_until(lambda: instance.running == instance.slots, "all slots are taken")
    status, headers, _ = await deployment.send_request(node, "/safe/1", request_id="lost-7")
    assert status == 503
    assert float(headers["Retry-After"]) > 0
    await others


async def fail_by_broken_connection(deployment, node):
    deployment.instances["i-1"].behaviour = InstanceBehaviour(fault="reset")
    status, _, _ = await deployment.send_request(node, "/order/1", request_id="lost-7")
    assert status == 502


async def fail_by_server_limit(deployment, node):
    limited = InstanceBehaviour(request_limit_per_s=0.0)
    deployment.instances["i-1"].behaviour = limited
    await deployment.send_request(node, "/safe/1")
    status, headers, _ = await deployment.send_request(node, "/safe/2", request_id="lost-7")
    assert status == 503
    assert float(headers["Retry-After"]) > 5.0


async def fail_by_quarantine(deployment, node):
    for number in range(2, 4):
        await deployment.add_instance(f"i-{number}")
    await wait_until(lambda: deployment.has_all_servers(node), "all servers are known")
    for instance in deployment.instances.values():
        instance.behaviour = InstanceBehaviour(crash_path="/order/1")
    quarantine = node.gateway.attempts.quarantine
    for count in range(1, 4):
        await deployment.send_request(node, "/order/1", method="POST")
        await wait_until(
            lambda count=count: quarantine.crash_count == count, "the crash is reported"
        )
    status, _, _ = await deployment.send_request(
        node, "/order/1", method="POST", request_id="lost-7"
    )
    assert status == 503


async def run_explain(*arguments):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        "from jasmineseam.programs.ctl import main; main()",
        "explain",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


@pytest.mark.parametrize(
    ("fail", "cause"),
    [
        (fail_by_late_response, "late: server i-1 took 3"),
        (fail_by_overload, "no server had a free slot in time to meet the target latency"),
        (
            fail_by_broken_connection,
            "the server's connection broke after the request had been sent (i-1)",
        ),
        (fail_by_server_limit, "the servers name limits on requests, which were reached"),
        (fail_by_quarantine, "servers crashed while they ran the same request"),
    ],
)
def test_explanation_of_a_failed_request_states_its_cause(tmp_path, fail, cause):
    async def scenario(deployment):
        deployment.write_configuration(routes=ROUTES)
        await deployment.add_instance("i-1")
        nodes = [await deployment.add_node(name) for name in ("vm-1", "vm-2")]
        await fail(deployment, nodes[0])
        files = []
        for node in nodes:
            path = tmp_path / f"{node.settings.vm.id}.log"
            path.write_text("".join(json.dumps(line) + "\n" for line in node.lines))
            files.append(str(path))
        code, text, errors = await run_explain("lost-7", *files)
        assert (code, errors) == (0, "")
        assert text.startswith("lost-7 at vm-1.log: ")
        assert f"cause: {cause}" in text
        code, text, _ = await run_explain("lost-7", *files, "--json")
        (explanation,) = json.loads(text)
        assert explanation["cause"].startswith(cause)
        assert explanation["line"]["table"] == 1

    run_scenario(scenario)


def test_request_without_a_log_line_lists_the_starts_of_nodes(tmp_path):
    async def scenario():
        start = {"time": "2026-01-02T03:04:05", "level": "INFO", "part": "node"}
        log = tmp_path / "vm-1.log"
        log.write_text(json.dumps({**start, "message": "Started as 7 on h:1."}) + "\ncut off {\n")
        code, text, errors = await run_explain("gone", str(log))
        assert (code, text) == (3, "")
        assert "1 lines are no log lines" in errors
        assert "2026-01-02T03:04:05 vm-1.log" in errors
        assert (await run_explain("gone", str(tmp_path / "none")))[0] == 1

    asyncio.run(scenario())
