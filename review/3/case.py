"""A planned stop cuts off requests that instances leave unanswered, before their deadline."""

import asyncio
import collections
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import TROUBLE  # noqa: E402
from lab import Lab  # noqa: E402
from lab import Node  # noqa: E402
from lab import main  # noqa: E402

from standins.configuration import build_route  # noqa: E402

SERVICE = "permits"
NODES = 3
INSTANCES = 8
SLOTS = 2
MAX_QUEUED = 2
WORK_S = (0.8, 1.6)
REQUESTS_PER_S = 18.0
CLIENTS = 60
LENGTH_S = 80.0
# of the clients, as for permit-bundle of arang-batch-grown
DEADLINE_S = 9.4
# A connection that ends this much before the deadline has not reached it.
DEADLINE_MARGIN_S = 0.1
GRACE_S = 6.0
# time for which clients use an answer of the directory; some of them three times as long
DIRECTORY_TTL_S = 1.0
PATIENT_PART = 0.25
STOPS = 7
BETWEEN_STOPS_S = 4.0
RESTART_DELAY_S = 0.5


class Request:
    """A request as its client sees it; times are those of the record."""

    __slots__ = ("ended_at", "node", "request_id", "sent_at")

    def __init__(self, node: Node, sent_at: float) -> None:
        self.node = node
        self.sent_at = sent_at
        self.ended_at = sent_at
        self.request_id = ""

    def set_id(self, request_id: str) -> None:
        """Record the id of the request."""
        self.request_id = request_id


async def run(lab: Lab) -> str:
    """Stop and start the nodes in turn while clients send requests."""
    rng = lab.rng
    # as permit-bundle of arang-batch-grown: a download without a timeout of its route
    route = build_route(
        "/permits/", SERVICE, "download", **{"timeout": None, "target-latency": "1400ms"}
    )
    lab.write_configuration(1, [route], [SERVICE])
    # by request: the number of instances that it has reached
    arrivals: collections.Counter[str] = collections.Counter()
    for number in range(INSTANCES):
        instance = await lab.add_instance(
            f"i-{number}",
            SERVICE,
            slots=SLOTS,
            max_queued=MAX_QUEUED,
            silent=True,
            load_header=False,
            work_s=lambda: rng.uniform(*WORK_S),
        )
        instance.on_arrival = lambda request_id: arrivals.update([request_id])
    await lab.start_nodes(NODES)
    await asyncio.sleep(4.0)
    clients = [lab.add_client() for _ in range(CLIENTS)]
    # time since which the directory no longer names a node
    unlisted_at: dict[Node, float] = {}
    requests: list[Request] = []
    stops: list[tuple[Node, float]] = []
    tasks = set()

    async def send() -> None:
        ttl_s = DIRECTORY_TTL_S * (3.0 if rng.random() < PATIENT_PART else 1.0)
        now = lab.record.now()
        known = [node for node in lab.nodes if now - unlisted_at.get(node, now) < ttl_s]
        request = Request(rng.choice(known), now)
        requests.append(request)
        await rng.choice(clients).send(
            request.node.front,
            "GET",
            f"/permits/{rng.randrange(1000)}",
            deadline_s=DEADLINE_S,
            on_send=request.set_id,
        )
        request.ended_at = lab.record.now()

    async def stop_in_turn() -> None:
        for number in range(STOPS):
            await asyncio.sleep(BETWEEN_STOPS_S)
            node = lab.nodes[number % NODES]
            node.send_signal(signal.SIGTERM)
            stops.append((node, lab.record.now()))
            unlisted_at[node] = lab.record.now()
            async with asyncio.timeout(GRACE_S):
                await node.process.wait()
            lab.record.write(f"{node.name} has ended")
            await asyncio.sleep(RESTART_DELAY_S)
            await node.start()
            await node.wait_ready()
            del unlisted_at[node]

    stopping = asyncio.create_task(stop_in_turn()) if TROUBLE else None
    began = lab.record.now()
    while lab.record.now() - began < LENGTH_S:
        task = asyncio.create_task(send())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)
    if stopping is not None:
        await stopping
    return judge(lab, requests, arrivals, stops)


def judge(
    lab: Lab,
    requests: list[Request],
    arrivals: collections.Counter[str],
    stops: list[tuple[Node, float]],
) -> str:
    """Return how the rule was broken, empty if it held.

    Counted are only requests that each instance which they reached has ignored, so that none was
    at work on them or has broken off.
    """
    record = lab.record
    ignored = collections.Counter(
        request_id for instance in lab.instances for request_id in instance.ignored
    )
    record.write(f"requests {len(requests)} of which ignored {len(ignored)}")
    lost = 0
    for request in requests:
        request_id = request.request_id
        if record.answers[request_id] or not 0 < arrivals[request_id] == ignored[request_id]:
            continue
        lasted_s = request.ended_at - request.sent_at
        if lasted_s >= DEADLINE_S - DEADLINE_MARGIN_S:
            continue
        for node, stopped_at in stops:
            if request.node is node and 0.0 < request.ended_at - stopped_at < GRACE_S + 1.0:
                lost += 1
                record.write(
                    f"LOST {request_id}: sent at {request.sent_at:.2f}, "
                    f"{request.sent_at - stopped_at:+.2f} s after the SIGTERM of {node.name}; its "
                    f"connection was closed without an answer after {lasted_s:.2f} s"
                )
    return f"{lost} requests were cut off without an answer" if lost else ""


if __name__ == "__main__":
    main(run, FOLDER, int(sys.argv[1]) if len(sys.argv) > 1 else 1)
