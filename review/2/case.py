"""A node that was cut off from the store goes on using instances that have left."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import TROUBLE  # noqa: E402
from lab import Instance  # noqa: E402
from lab import Lab  # noqa: E402
from lab import main  # noqa: E402

from standins.configuration import build_route  # noqa: E402

SERVICE = "batchlog"
NODES = 2
INSTANCES = 6
WORK_S = (0.03, 0.08)
REQUESTS_PER_S = 40.0
CLIENTS = 30
GRACE_S = 6.0
# of the settings
DRAIN_S = 2.0
STABILITY_S = 3.0
# "core_cut" of one machine, largest length of the site
CUT_S = (3.5, 5.5)
ROUNDS = 6
# times after the end of the cut at which instances leave
LEAVE_AFTER_S = (0.2, 0.5)
# how long an instance that has left still serves
SERVES_ON_S = 6.0
ROUND_REST_S = 9.0


async def run(lab: Lab) -> str:
    """Cut a node off from the store several times; instances leave just after each cut."""
    rng = lab.rng
    record = lab.record
    routes = [
        build_route("/lookup/", SERVICE, "safe"),
        build_route("/seal/", SERVICE, "unsafe"),
    ]
    lab.write_configuration(1, routes, [SERVICE])
    # by request: when its client has sent it
    sent_at: dict[str, float] = {}
    # by instance: when the store has acknowledged that its entry is gone
    left_at: dict[Instance, float] = {}
    calm_since = float("-inf")
    late: list[str] = []

    def check_arrival(instance: Instance, request_id: str) -> None:
        now = record.now()
        is_late = now - left_at.get(instance, now) > DRAIN_S
        if is_late and sent_at[request_id] - calm_since > STABILITY_S:
            late.append(request_id)
            record.write(
                f"DRAIN {request_id} reaches {instance.instance_id} "
                f"{now - left_at[instance]:.3f} s after it has left, "
                f"{now - calm_since:.3f} s after the cut"
            )

    async def add_instance(number: int) -> None:
        instance = await lab.add_instance(
            f"i-{number}", SERVICE, work_s=lambda: rng.uniform(*WORK_S)
        )
        instance.on_arrival = lambda request_id: check_arrival(instance, request_id)

    async def leave(instance: Instance) -> None:
        instance.unlist()
        left_at[instance] = record.now()
        record.write(f"{instance.instance_id} has left the store")
        await asyncio.sleep(SERVES_ON_S)
        instance.stop()
        record.write(f"{instance.instance_id} has ended")

    for number in range(INSTANCES):
        await add_instance(number)
    await lab.start_nodes(NODES)
    # planned work: one of the two nodes is taken away
    node, other = lab.nodes
    other.send_signal(signal.SIGTERM)
    async with asyncio.timeout(GRACE_S):
        await other.process.wait()
    record.write(f"{other.name} has ended")
    await asyncio.sleep(STABILITY_S)

    clients = [lab.add_client() for _ in range(CLIENTS)]
    tasks = set()

    def start(work) -> None:
        task = asyncio.create_task(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def send() -> None:
        method, path = ("GET", "/lookup/1") if rng.random() < 0.7 else ("DELETE", "/seal/1")

        def on_send(request_id: str) -> None:
            sent_at[request_id] = record.now()

        await rng.choice(clients).send(node.front, method, path, on_send=on_send)

    async def send_forever() -> None:
        while True:
            start(send())
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))

    sending = asyncio.create_task(send_forever())
    present = list(lab.instances)
    for _ in range(ROUNDS):
        length_s = rng.uniform(*CUT_S)
        if TROUBLE:
            record.write(f"{node.name} is cut off from the store")
            node.store_path.cut()
        await asyncio.sleep(length_s)
        if TROUBLE:
            node.store_path.restore()
            record.write(f"{node.name} reaches the store again after {length_s:.2f} s")
            calm_since = record.now()
        for after_s in LEAVE_AFTER_S:
            await asyncio.sleep(calm_since + after_s - record.now() if TROUBLE else after_s)
            start(leave(present.pop(0)))
        for _ in LEAVE_AFTER_S:
            await add_instance(len(lab.instances))
            present.append(lab.instances[-1])
        await asyncio.sleep(ROUND_REST_S)
    sending.cancel()
    await asyncio.gather(*tasks)
    record.write(f"requests {len(sent_at)}, of which {len(late)} late")
    if not late:
        return ""
    return f"{len(late)} requests reached instances that had left more than {DRAIN_S:g} s before"


if __name__ == "__main__":
    main(run, FOLDER, int(sys.argv[1]) if len(sys.argv) > 1 else 1)
