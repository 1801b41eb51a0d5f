"""Stand-ins for callers: they ask a locator, keep the answer for its lifetime, and check answers.

A lookup is repeated at the next address when it failed. An order is repeated with the same key at
the next address while its outcome is unknown; ``not-run`` is final for its key.
"""

from __future__ import annotations

import asyncio
import collections
import itertools
import random
import time
import typing as t

import aiohttp
import msgspec

from .server import digest_request

TRIES = 5
REQUEST_TIMEOUT_S = 6.0
LOCATOR_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.05


class OrderRecord(msgspec.Struct, kw_only=True):
    """What the caller was told of one order.

    :param trace: what each sending brought.
    """

    run_id: str
    outcome: str = "unknown"
    trace: list[str] = []


class Tally(msgspec.Struct, kw_only=True):
    """What came of many requests."""

    lookups: collections.Counter[str] = msgspec.field(default_factory=collections.Counter)
    orders: list[OrderRecord] = []
    foreign: list[str] = []
    latencies_s: list[float] = []
    causes: collections.Counter[str] = msgspec.field(default_factory=collections.Counter)


class Caller:
    """A client of one failure domain."""

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        locators: t.Callable[[], list[str]],
        failure_domain: str,
        seed: int,
    ) -> None:
        self._session = session
        self._locators = locators
        self._failure_domain = failure_domain
        self._random = random.Random(seed)
        self._entries: list[dict[str, str]] = []
        self._fresh_until = 0.0
        self._numbers = itertools.count(1)
        self.name = f"c{seed}"
        self.tally = Tally()

    async def look_up(self, service: str, path: str = "/sizes/1") -> bool:
        """Send one idempotent request; returns whether its own answer came."""
        began_at = time.monotonic()
        number = next(self._numbers)
        separator = "&" if "?" in path else "?"
        target = f"{path}{separator}from={self.name}-{number}"
        result = "no-entry"
        for attempt in range(TRIES):
            entry = await self._choose(attempt)
            if entry is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            result = await self._send("GET", entry["address"], service, target, b"", {})
            if result == "answered":
                self.tally.latencies_s.append(time.monotonic() - began_at)
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        self.tally.lookups[result] += 1
        return result == "answered"

    async def order(self, service: str, path: str = "/orders") -> OrderRecord:
        """Send one non-idempotent request under a key, until its outcome is known."""
        run_id = f"{self.name}-{next(self._numbers)}"
        record = OrderRecord(run_id=run_id)
        self.tally.orders.append(record)
        body = f'{{"order": "{run_id}"}}'.encode()
        headers = {"Request-Id": run_id}
        sent = False
        for attempt in range(TRIES):
            entry = await self._choose(attempt)
            if entry is None:
                record.trace.append("no-entry")
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            headers.setdefault("Idempotency-Key", f"{entry['key_prefix']}.{run_id}")
            result = await self._send("POST", entry["address"], service, path, body, headers)
            record.trace.append(f"{entry['address']}={result}")
            if result == "not-sent" and not sent:
                # no byte of this key has left, so another home's key may take its place
                del headers["Idempotency-Key"]
                continue
            sent = True
            record.outcome = result
            if result in ("answered", "not-run"):
                return record
            await asyncio.sleep(RETRY_PAUSE_S * 2**attempt)
        record.outcome = "unknown"
        return record

    async def order_twice(self, service: str, path: str = "/orders") -> OrderRecord:
        """Send one order at two entries at once, and once more when both have ended."""
        run_id = f"{self.name}-{next(self._numbers)}"
        record = OrderRecord(run_id=run_id)
        self.tally.orders.append(record)
        body = f'{{"order": "{run_id}"}}'.encode()
        entry = await self._choose(0)
        if entry is None:
            return record
        headers = {
            "Request-Id": run_id,
            "Idempotency-Key": f"{entry['key_prefix']}.{run_id}",
        }
        others = [self._random.choice(self._entries) for _ in range(2)]
        addresses = [entry["address"], others[0]["address"]]
        results = await asyncio.gather(
            *(self._send("POST", one, service, path, body, headers) for one in addresses)
        )
        results.append(
            await self._send("POST", others[1]["address"], service, path, body, headers)
        )
        record.trace = [f"{result}" for result in results]
        for outcome in ("answered", "not-run"):
            if outcome in results:
                record.outcome = outcome
        return record

    async def _choose(self, attempt: int) -> dict[str, str] | None:
        if attempt or time.monotonic() >= self._fresh_until:
            await self._ask_locator()
        if not self._entries:
            return None
        near = self._entries[: max(1, len(self._entries) // 2)]
        if attempt == 0:
            return self._random.choice(near)
        return self._entries[attempt % len(self._entries)]

    async def _ask_locator(self) -> None:
        locators = self._locators()
        self._random.shuffle(locators)
        timeout = aiohttp.ClientTimeout(total=LOCATOR_TIMEOUT_S)
        for address in locators:
            url = f"http://{address}/v1/entries?failure_domain={self._failure_domain}"
            try:
                async with self._session.get(url, timeout=timeout) as response:
                    if response.status != 200:
                        continue
                    answer = await response.json()
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
            self._entries = answer["entries"]
            self._fresh_until = time.monotonic() + answer["lifetime_s"]
            return

    async def _send(
        self,
        method: str,
        address: str,
        service: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> str:
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=body or None,
                headers={"Host": service, **headers},
                timeout=timeout,
            ) as response:
                text = await response.read()
        except aiohttp.ClientConnectorError:
            self.tally.causes["not-sent"] += 1
            return "not-sent"
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.tally.causes[type(error).__name__] += 1
            return "lost"
        outcome = response.headers.get("Jasmineseam-Outcome", "unnamed")
        if outcome != "answered":
            self.tally.causes[msgspec.json.decode(text)["title"]] += 1
            return outcome
        if response.status != 200:
            return f"status-{response.status}"
        expected = digest_request(method, path, body)
        if msgspec.json.decode(text)["digest"] != expected:
            self.tally.foreign.append(f"{method} {path}")
            return "foreign"
        return outcome
