"""Faults of the node soak. Each function injects a fault, ends it and returns its target."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import time
import typing as t

from standins.path_proxy import PathProxy

from .node_checks import Period

if t.TYPE_CHECKING:
    from .node_soak import NodeSoak

# A path that is restored delivers what it has held up within this time.
LATE_DELIVERY_S = 0.5
WARMUP_S = 3.0
PATH_MODES = ("reset", "hang", "silent", "lost-requests", "lost-responses", "slow")
RESPONSE_FAULTS = ("cut", "reset", "lost", "mute", "extra", "late-extra", "unsigned", "garbage")


async def kill_node(soak: NodeSoak, rng: random.Random) -> str:
    """Kill a node and start it again."""
    async with soak.reserve_node(rng) as node:
        await soak.stop_node(node, signal.SIGKILL)
        await asyncio.sleep(rng.uniform(0.1, 2.0))
        await soak.start_node(node)
    return node.name


async def stop_node(soak: NodeSoak, rng: random.Random) -> str:
    """Stop a node with SIGTERM and start it again."""
    async with soak.reserve_node(rng) as node:
        await soak.stop_node(node, signal.SIGTERM)
        await soak.start_node(node)
    return node.name


async def pause_node(soak: NodeSoak, rng: random.Random) -> str:
    """Pause a node for up to 6 s."""
    async with soak.reserve_node(rng) as node:
        node.process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(rng.uniform(0.3, 6.0))
        finally:
            node.process.send_signal(signal.SIGCONT)
    return node.name


async def pause_node_during_stop(soak: NodeSoak, rng: random.Random) -> str:
    """Pause a node in the middle of a planned stop, and start it again."""
    async with soak.reserve_node(rng) as node:
        stopping = asyncio.create_task(soak.stop_node(node, signal.SIGTERM))
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        with contextlib.suppress(ProcessLookupError):
            node.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(0.3, 3.0))
            node.process.send_signal(signal.SIGCONT)
        await stopping
        await soak.start_node(node)
    return node.name


async def disturb_caller_path(soak: NodeSoak, rng: random.Random) -> str:
    """Disturb the path between callers and a node."""
    async with soak.reserve_node(rng) as node:
        mode = await _disturb([soak.caller_paths[node.name]], rng)
    return f"{node.name} {mode}"


async def disturb_store_paths(soak: NodeSoak, rng: random.Random) -> str:
    """Disturb the paths between the store and up to half of the nodes."""
    names = rng.sample(sorted(soak.store_paths), rng.randint(1, len(soak.nodes) // 2))
    mode = await _disturb([soak.store_paths[name] for name in names], rng)
    return f"{', '.join(names)} {mode}"


async def disturb_server_path(soak: NodeSoak, rng: random.Random) -> str:
    """Disturb the path between all nodes and a server."""
    name = rng.choice(sorted(soak.server_paths))
    path = soak.server_paths[name]
    mode = await _disturb([path], rng)
    now = time.monotonic()
    soak.facts.late_deliveries.setdefault(name, []).append(Period(now, now + LATE_DELIVERY_S))
    return f"{name} {mode}"


async def corrupt_responses(soak: NodeSoak, rng: random.Random) -> str:
    """Make a server respond wrongly to some requests."""
    name = rng.choice(sorted(soak.server_paths))
    fault = rng.choice(RESPONSE_FAULTS)
    count = rng.randint(1, 10)
    await soak.servers.call("set_behaviour", names=[name], fault=fault, fault_count=count)
    await asyncio.sleep(2.0)
    await soak.servers.call("set_behaviour", names=[name], fault="", fault_count=-1)
    return f"{name} {fault} x {count}"


async def restart_server(soak: NodeSoak, rng: random.Random) -> str:
    """Kill a server and start it again; it is cold."""
    async with soak.server_lock:
        name = rng.choice(soak.list_servers())
        await soak.restart_servers([name], rng.uniform(0.0, 1.0))
    return name


async def restart_group(soak: NodeSoak, rng: random.Random) -> str:
    """Kill all servers of a failure domain or of a service and start them again."""
    async with soak.server_lock:
        group = rng.choice(soak.server_groups)
        await soak.restart_servers(soak.list_servers(group), rng.uniform(0.0, 1.0))
    return group


async def drain_server(soak: NodeSoak, rng: random.Random) -> str:
    """List a server as draining, then restart it."""
    async with soak.server_lock:
        name = rng.choice(soak.list_servers())
        soak.draining.add(name)
    async with soak.change_store():
        period = Period(await soak.write_server_state(name, "draining"))
        soak.facts.drains.setdefault(name, []).append(period)
    await asyncio.sleep(rng.uniform(3.5, 6.0))
    async with soak.server_lock:
        soak.draining.discard(name)
        async with soak.change_store():
            period.end = time.monotonic()
            await soak.write_server_state(name, "ready")
        await soak.restart_servers([name], 0.1)
    return name


async def make_store_unavailable(soak: NodeSoak, rng: random.Random) -> str:
    """Make all calls of the store fail."""
    failure = rng.choice(("busy", "reset", "silent"))
    async with soak.store_lock:
        await soak.store.call("set_behaviour", failure=failure)
        await asyncio.sleep(rng.uniform(0.5, 4.0))
        await soak.store.call("set_behaviour", failure="")
    return failure


async def slow_down_store(soak: NodeSoak, rng: random.Random) -> str:
    """Delay all responses of the store, and lose those to the next writes."""
    delay_s = rng.uniform(0.05, 0.4)
    await soak.store.call("set_behaviour", response_delay_s=delay_s, unanswered_writes=2)
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    await soak.store.call("set_behaviour", response_delay_s=0.0, unanswered_writes=0)
    return f"{delay_s:.2f} s"


async def drop_history(soak: NodeSoak, rng: random.Random) -> str:
    """Make the records of a topic unreadable by offset."""
    topic = rng.choice(("keyed.op", "keyed.servers"))
    await soak.store.call("drop_history", topic=topic)
    return topic


async def restore_store(soak: NodeSoak, rng: random.Random) -> str:
    """Restore the store from a backup; then the operator and the servers write their state."""
    async with soak.store_lock:
        await soak.store.call("take_backup")
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    async with soak.change_store():
        await soak.store.call("restore_backup")
        await asyncio.sleep(rng.uniform(0.3, 1.5))
        await soak.write_all()
    return "to the state of some seconds before"


async def change_keys(soak: NodeSoak, rng: random.Random) -> str:
    """Add a key to an account, or remove its oldest key."""
    account = rng.choice(sorted(soak.valid_keys))
    keys = soak.valid_keys[account]
    if len(keys) > 1 and rng.random() < 0.6:
        return f"{account} removes {await soak.remove_key(account)}"
    return f"{account} adds {await soak.add_key(account)}"


async def evacuate_domain(soak: NodeSoak, rng: random.Random) -> str:
    """Evacuate a failure domain and withdraw the evacuation after a while."""
    zone = rng.choice([zone for zone in soak.zones if not soak.evacuated[zone]])
    async with soak.change_store():
        period = Period(await soak.write_evacuation(zone, evacuated=True))
        soak.facts.evacuations.setdefault(zone, []).append(period)
    await asyncio.sleep(rng.uniform(5.0, 8.0))
    if rng.random() < 0.5:
        async with soak.server_lock:
            await soak.restart_servers(soak.list_servers(zone), 0.1)
    async with soak.change_store():
        period.end = time.monotonic()
        await soak.write_evacuation(zone, evacuated=False)
    return zone


Fault = t.Callable[["NodeSoak", random.Random], t.Awaitable[str]]
# The faults of each tuple follow one another, those of different tuples overlap.
FAULT_SERIES: tuple[tuple[Fault, ...], ...] = (
    (kill_node, stop_node, pause_node, pause_node_during_stop, disturb_caller_path),
    (
        disturb_store_paths,
        disturb_server_path,
        corrupt_responses,
        restart_server,
        restart_group,
        restart_group,
        make_store_unavailable,
        slow_down_store,
        drop_history,
        restore_store,
    ),
    (change_keys, change_keys, evacuate_domain, drain_server),
)


async def _disturb(paths: list[PathProxy], rng: random.Random) -> str:
    mode = rng.choice(PATH_MODES)
    for path in paths:
        if mode in ("reset", "hang"):
            path.cut(connecting=mode, established="break" if mode == "reset" else "hang")
        elif mode == "slow":
            path.delay_s = 0.2
        else:
            path.hold(sending=mode != "lost-responses", receiving=mode != "lost-requests")
    await asyncio.sleep(rng.uniform(0.3, 5.0))
    for path in paths:
        path.delay_s = 0.0
        if mode in ("reset", "hang"):
            await path.restore()
        else:
            path.release()
    return mode
