"""A SIGHUP that arrives while a node starts ends the node."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import TROUBLE  # noqa: E402
from lab import Lab  # noqa: E402
from lab import main  # noqa: E402

from standins.configuration import build_route  # noqa: E402

SERVICE = "fit"
NODES = 4
ROUNDS = 5
# time from the start of a process to the SIGHUP, drawn anew each time
HUP_AFTER_S = (0.0, 0.6)
# the platform restarts a process that has ended after a short delay
RESTART_DELAY_S = 0.5
GRACE_S = 6.0
# "on a tenth of the machines in use (two at least) processes end by themselves three times"
MACHINES = 2
ENDS = 3


async def run(lab: Lab) -> str:
    """Stop and start the nodes one after the other, with a change of the settings after each."""
    lab.write_configuration(1, [build_route("/read/", SERVICE)], [SERVICE])
    await lab.add_instance("i-1", SERVICE)
    await lab.start_nodes(NODES)
    ends = dict.fromkeys((node.name for node in lab.nodes), 0)
    for _ in range(ROUNDS):
        # one of four machines at a time gets SIGHUP
        for node in lab.nodes:
            node.send_signal(signal.SIGTERM)
            async with asyncio.timeout(GRACE_S):
                await node.process.wait()
            await asyncio.sleep(RESTART_DELAY_S)
            await node.start()
            if TROUBLE:
                await asyncio.sleep(lab.rng.uniform(*HUP_AFTER_S))
                node.write_settings(bootstrap=False)
                node.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.5)
            status = node.process.returncode
            if status is not None:
                ends[node.name] += 1
                lab.record.write(f"{node.name} ended by itself with status {status}")
                await asyncio.sleep(RESTART_DELAY_S)
                await node.start()
            await node.wait_ready()
            answer = await lab.add_client().send(node.front, "GET", "/read/1")
            lab.record.write(f"{node.name} serves: {answer is not None and answer.status}")
    lab.record.write(f"ends by machine: {ends}")
    if sum(count >= ENDS for count in ends.values()) < MACHINES:
        return ""
    return f"processes ended by themselves: {ends}"


if __name__ == "__main__":
    main(run, FOLDER, int(sys.argv[1]) if len(sys.argv) > 1 else 1)
