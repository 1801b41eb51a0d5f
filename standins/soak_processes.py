"""``python -m standins.soak_processes store | servers | callers``: a stand-in of the node soak.

Times are on the monotonic clock, which all processes of a machine share.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import sys
import time
import typing as t

import aiohttp
import msgspec
from aiohttp import web

from .instance import InstanceBehaviour
from .instance import StandInInstance
from .remote import serve_calls
from .store import StandInStore

HOSTNAME = "fit.example"
REQUEST_DEADLINE_S = 1.5
RESOLVE_TIMEOUT_S = 1.0
RESPONSE_BYTES = 3000
# No other text in a request or a log contains it.
KEY_MARK = "soakkey"
FORGED_ACCOUNT = "forged"


class Arrival(msgspec.Struct, array_like=True):
    """A request that reached a server, or one that it ran.

    :param cold: whether the server was cold.
    :param account: the client account that the request named, empty for none.
    :param has_key: whether any header contained a key.
    """

    at: float
    request_id: str
    server_id: str
    zone: str
    cold: bool
    account: str
    has_key: bool


class RequestRecord(msgspec.Struct, array_like=True):
    """A request of a caller and its result.

    :param kind: the first part of the path: ``look``, ``order`` or ``open``.
    :param account: name of the account that holds or held the key.
    :param node: the entry address.
    :param status: HTTP status, 0 if there was no complete response.
    :param is_own_response: whether a response of a server belongs to the request and is complete.
    """

    request_id: str
    kind: str
    account: str
    key: str
    node: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    is_own_response: bool = True


class RemoteStore:
    """The metadata store, with an interface for the operator."""

    def __init__(self) -> None:
        self.store = StandInStore()

    async def start(self, *, host: str) -> str:
        """Start to listen; returns the address."""
        runner = web.ServerRunner(web.Server(self.store.handle, access_log=None))
        await runner.setup()
        await web.TCPSite(runner, host, 0).start()
        return f"{host}:{runner.addresses[0][1]}"

    def write(self, *, topic: str, records: dict[str, t.Any]) -> float:
        """Append records, which remove their key if ``None``; returns the time of acceptance."""
        for key, value in records.items():
            if value is None:
                self.store.remove(topic, key)
            else:
                self.store.put(topic, key, value)
        return time.monotonic()

    def set_behaviour(self, **fields: t.Any) -> None:
        """Change the store's behaviour."""
        self.store.behaviour = msgspec.structs.replace(self.store.behaviour, **fields)

    def take_backup(self) -> None:
        """Remember all records."""
        self.store.take_backup()

    def restore_backup(self) -> None:
        """Lose all records since the backup."""
        self.store.restore_backup()

    def drop_history(self, *, topic: str) -> None:
        """Make all records of a topic unreadable by offset."""
        self.store.drop_history(topic)


class RemoteServers:
    """Backend servers that record each request."""

    def __init__(self) -> None:
        self._instances: dict[str, StandInInstance] = {}
        self._zones: dict[str, str] = {}
        self._arrivals: list[Arrival] = []
        self._runs: list[Arrival] = []

    async def start(
        self, *, host: str, name: str, service: str, zone: str, work_s: float, slots: int
    ) -> str:
        """Start a server; returns its address."""
        instance = StandInInstance(
            instance_id=name, service=service, response_bytes=RESPONSE_BYTES, slots=slots
        )
        instance.behaviour = InstanceBehaviour(work_s=work_s)
        instance.on_arrival = lambda headers: self._record(self._arrivals, name, headers)
        instance.on_run = lambda headers: self._record(self._runs, name, headers)
        await instance.start(host)
        self._instances[name] = instance
        self._zones[name] = zone
        return instance.address

    def set_behaviour(self, *, names: list[str], **fields: t.Any) -> None:
        """Change the behaviour of servers."""
        for name in names:
            instance = self._instances[name]
            instance.behaviour = msgspec.structs.replace(instance.behaviour, **fields)

    async def restart_cold(self, *, names: list[str], warmup_s: float, down_s: float) -> None:
        """Stop servers as in a crash, and start them at the same addresses."""
        instances = [self._instances[name] for name in names]
        for instance in instances:
            await instance.stop()
        await asyncio.sleep(down_s)
        for instance in instances:
            instance.warmup_ends_at = time.monotonic() + warmup_s
            host, _, port = instance.address.rpartition(":")
            await instance.start(host, int(port))

    def build_records(
        self, *, names: list[str], address_of: dict[str, str], **fields: t.Any
    ) -> dict[str, t.Any]:
        """Return the store records of servers, with the addresses at which nodes reach them."""
        return {
            name: {
                **self._instances[name].build_store_record(zone=self._zones[name], **fields),
                "address": address_of[name],
            }
            for name in names
        }

    def take_records(self) -> tuple[list[Arrival], list[Arrival]]:
        """Return the arrivals and the runs since the last call."""
        taken = (self._arrivals, self._runs)
        self._arrivals, self._runs = [], []
        for instance in self._instances.values():
            instance.request_headers.clear()
            instance.request_bodies.clear()
        return taken

    def _record(self, records: list[Arrival], name: str, headers: dict[str, str]) -> None:
        records.append(
            Arrival(
                at=time.monotonic(),
                request_id=headers.get("jasmineseam-request-id", ""),
                server_id=name,
                zone=self._zones[name],
                cold=self._instances[name].is_cold(),
                account=headers.get("jasmineseam-tenant", ""),
                has_key=any(KEY_MARK in value for value in headers.values()),
            )
        )


class RemoteCallers:
    """Clients of all accounts; each keeps its connection until the process behind it has ended."""

    def __init__(self) -> None:
        self._records: list[RequestRecord] = []
        self._keys: dict[str, list[str]] = {}
        self._locators: list[str] = []
        self._path_of: dict[str, str] = {}
        self._numbers = itertools.count(1)
        self._tasks: list[asyncio.Task] = []
        self._stopping = False

    def set_nodes(self, *, locators: list[str], path_of: dict[str, str]) -> None:
        """Set the locator addresses, and the address through which callers reach each entry."""
        self._locators, self._path_of = locators, path_of

    def set_keys(self, *, keys: dict[str, list[str]]) -> None:
        """Set the keys that each account's callers choose from."""
        self._keys = keys

    def start(self, *, seed: int, callers_of: dict[str, int], pause_s: float) -> None:
        """Start the callers.

        :param callers_of: number of callers of each account.
        :param pause_s: mean pause between the requests of a caller, in seconds.
        """
        accounts = [name for name, count in callers_of.items() for _ in range(count)]
        for number, account in enumerate(accounts):
            rng = random.Random(f"{seed}-{number}")
            self._tasks.append(asyncio.create_task(self._run_caller(account, rng, pause_s)))

    async def stop(self) -> None:
        """Let all callers end their requests."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    def take_records(self) -> list[RequestRecord]:
        """Return the requests that ended since the last call."""
        taken, self._records = self._records, []
        return taken

    async def send_to_each(self, *, account: str) -> dict[str, int]:
        """Send a request directly to each node; returns the status by entry address."""
        statuses = {}
        async with aiohttp.ClientSession() as session:
            for node in self._path_of:
                record = await self._send(session, node, "look", account, {node: node})
                statuses[node] = record.status
        return statuses

    async def _run_caller(self, account: str, rng: random.Random, pause_s: float) -> None:
        node = ""
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=1)) as session:
            while not self._stopping:
                await asyncio.sleep(rng.uniform(0.0, 2.0 * pause_s))
                node = node or await self._choose_node(session, rng)
                if not node:
                    continue
                kind = rng.choices(("look", "order", "open"), (0.7, 0.25, 0.05))[0]
                record = await self._send(session, node, kind, account, self._path_of, rng)
                if record.status in (0, 503):
                    # as callers do, the next request goes to another node
                    node = ""

    async def _choose_node(self, session: aiohttp.ClientSession, rng: random.Random) -> str:
        for locator in rng.sample(self._locators, len(self._locators)):
            try:
                async with (
                    asyncio.timeout(RESOLVE_TIMEOUT_S),
                    session.get(f"http://{locator}/api/resolve") as response,
                ):
                    if response.status == 200:
                        return rng.choice((await response.json())["addresses"])
            except (aiohttp.ClientError, OSError, TimeoutError):
                continue
        return ""

    async def _send(
        self,
        session: aiohttp.ClientSession,
        node: str,
        kind: str,
        account: str,
        path_of: dict[str, str],
        rng: random.Random | None = None,
    ) -> RequestRecord:
        keys = self._keys[account]
        key = rng.choice(keys) if rng else keys[-1]
        if kind == "open":
            account = key = ""
        record = RequestRecord(
            f"soak-{next(self._numbers)}", kind, account, key, node, time.monotonic()
        )
        headers = {
            "Host": HOSTNAME,
            "Jasmineseam-Request-Id": record.request_id,
            "Jasmineseam-Deadline-Ms": f"{1000 * REQUEST_DEADLINE_S:.0f}",
            "Jasmineseam-Tenant": FORGED_ACCOUNT,
        }
        if key:
            headers["Authorization"] = f"Bearer {key}"
        method, body = ("POST", b"1" * 200) if kind == "order" else ("GET", None)
        content = b""
        try:
            url = f"http://{path_of[node]}/{kind}/1"
            async with (
                asyncio.timeout(2.0 * REQUEST_DEADLINE_S),
                session.request(method, url, headers=headers, data=body) as response,
            ):
                content = await response.read()
                record.status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            # without a complete response the outcome is unknown
            pass
        if record.status == 200:
            is_own = content.startswith(f"{record.request_id} by ".encode())
            record.is_own_response = is_own and len(content) == RESPONSE_BYTES
        record.ended_at = time.monotonic()
        self._records.append(record)
        return record


if __name__ == "__main__":
    kinds = {"store": RemoteStore, "servers": RemoteServers, "callers": RemoteCallers}

    async def _serve() -> None:
        await serve_calls(kinds[sys.argv[1]]())

    asyncio.run(_serve())
