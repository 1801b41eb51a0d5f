"""Stand-ins for callers: they cache a locator's entry list for its lifetime and verify responses.

A caller sends lookups, which are idempotent GET requests, and orders, which are POST requests with
an idempotency key. A failed lookup is retried at the next entry address. An order is retried with
the same key at the next address while its outcome is unknown. After ``not-run`` it is not retried:
every later attempt with the same key would have the same outcome.
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

MAX_ATTEMPTS = 5
REQUEST_TIMEOUT_S = 6.0
LOCATOR_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05


class OrderRecord(msgspec.Struct, kw_only=True):
    """The outcome of one order as its caller received it.

    :param order_id: the order's id, which the servers write to the journal once per execution.
    :param outcome: ``answered``, ``not-run`` or ``unknown`` once all attempts have ended.
    :param attempt_results: the result of each attempt.
    """

    order_id: str
    outcome: str = "unknown"
    attempt_results: list[str] = []


class Tally(msgspec.Struct, kw_only=True):
    """Results of a caller's requests.

    :param lookups: number of lookups by their final result.
    :param orders: all orders.
    :param crossed_responses: requests that received the response to another request.
    :param latencies_s: durations of successful lookups, including retries, in seconds.
    :param failure_causes: number of failed attempts by cause.
    """

    lookups: collections.Counter[str] = msgspec.field(default_factory=collections.Counter)
    orders: list[OrderRecord] = []
    crossed_responses: list[str] = []
    latencies_s: list[float] = []
    failure_causes: collections.Counter[str] = msgspec.field(default_factory=collections.Counter)


class Caller:
    """A client in one failure domain.

    :param session: the client session for all requests.
    :param get_locator_addresses: returns the current locator addresses in a new list, which the
        caller shuffles in place.
    :param failure_domain: the caller's failure domain.
    :param seed: seed of all random choices; also part of the caller's name.
    """

    def __init__(
        self,
        *,
        session: aiohttp.ClientSession,
        get_locator_addresses: t.Callable[[], list[str]],
        failure_domain: str,
        seed: int,
    ) -> None:
        self._session = session
        self._get_locator_addresses = get_locator_addresses
        self._failure_domain = failure_domain
        self._random = random.Random(seed)
        self._entries: list[dict[str, str]] = []
        self._entries_expire_at = 0.0
        self._request_numbers = itertools.count(1)
        self.name = f"c{seed}"
        self.tally = Tally()

    async def send_lookup(self, service: str, path: str = "/sizes/1") -> bool:
        """Send one idempotent request, with retries; returns whether its own response arrived."""
        started_at = time.monotonic()
        request_number = next(self._request_numbers)
        separator = "&" if "?" in path else "?"
        target = f"{path}{separator}from={self.name}-{request_number}"
        result = "no-entry"
        for attempt in range(MAX_ATTEMPTS):
            entry = await self._choose_entry(attempt)
            if entry is None:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            result = await self._send_attempt("GET", entry["address"], service, target, b"", {})
            if result == "answered":
                self.tally.latencies_s.append(time.monotonic() - started_at)
                break
            await asyncio.sleep(RETRY_DELAY_S)
        self.tally.lookups[result] += 1
        return result == "answered"

    async def send_order(self, service: str, path: str = "/orders") -> OrderRecord:
        """Send one non-idempotent request with a key; retry it while its outcome is unknown."""
        order_id = f"{self.name}-{next(self._request_numbers)}"
        record = OrderRecord(order_id=order_id)
        self.tally.orders.append(record)
        body = f'{{"order": "{order_id}"}}'.encode()
        headers = {"Request-Id": order_id}
        may_have_been_sent = False
        for attempt in range(MAX_ATTEMPTS):
            entry = await self._choose_entry(attempt)
            if entry is None:
                record.attempt_results.append("no-entry")
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            headers.setdefault("Idempotency-Key", f"{entry['key_prefix']}.{order_id}")
            result = await self._send_attempt(
                "POST", entry["address"], service, path, body, headers
            )
            record.attempt_results.append(f"{entry['address']}={result}")
            if result == "not-sent" and not may_have_been_sent:
                # no attempt has sent a byte with this key, so the next attempt can safely use a
                # new key with the prefix of another entry process
                del headers["Idempotency-Key"]
                continue
            may_have_been_sent = True
            record.outcome = result
            if result in ("answered", "not-run"):
                return record
            await asyncio.sleep(RETRY_DELAY_S * 2**attempt)
        record.outcome = "unknown"
        return record

    async def send_order_twice(self, service: str, path: str = "/orders") -> OrderRecord:
        """Send one order twice concurrently, and a third time after both attempts have ended.

        Each repetition goes to a randomly chosen entry, which may be the first one.
        """
        order_id = f"{self.name}-{next(self._request_numbers)}"
        record = OrderRecord(order_id=order_id)
        self.tally.orders.append(record)
        body = f'{{"order": "{order_id}"}}'.encode()
        entry = await self._choose_entry(0)
        if entry is None:
            return record
        headers = {
            "Request-Id": order_id,
            "Idempotency-Key": f"{entry['key_prefix']}.{order_id}",
        }
        other_entries = [self._random.choice(self._entries) for _ in range(2)]
        addresses = [entry["address"], other_entries[0]["address"]]
        results = await asyncio.gather(
            *(
                self._send_attempt("POST", address, service, path, body, headers)
                for address in addresses
            )
        )
        results.append(
            await self._send_attempt(
                "POST", other_entries[1]["address"], service, path, body, headers
            )
        )
        record.attempt_results = [f"{result}" for result in results]
        for outcome in ("answered", "not-run"):
            if outcome in results:
                record.outcome = outcome
        return record

    async def _choose_entry(self, attempt: int) -> dict[str, str] | None:
        if attempt or time.monotonic() >= self._entries_expire_at:
            await self._refresh_entries()
        if not self._entries:
            return None
        nearby_entries = self._entries[: max(1, len(self._entries) // 2)]
        if attempt == 0:
            return self._random.choice(nearby_entries)
        return self._entries[attempt % len(self._entries)]

    async def _refresh_entries(self) -> None:
        locator_addresses = self._get_locator_addresses()
        self._random.shuffle(locator_addresses)
        timeout = aiohttp.ClientTimeout(total=LOCATOR_TIMEOUT_S)
        for address in locator_addresses:
            url = f"http://{address}/v1/entries?failure_domain={self._failure_domain}"
            try:
                async with self._session.get(url, timeout=timeout) as response:
                    if response.status != 200:
                        continue
                    entry_list = await response.json()
            except (aiohttp.ClientError, TimeoutError, OSError):
                continue
            self._entries = entry_list["entries"]
            self._entries_expire_at = time.monotonic() + entry_list["lifetime_s"]
            return

    async def _send_attempt(
        self,
        method: str,
        address: str,
        service: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> str:
        """Send one attempt and add a failure to the tally.

        :returns: the outcome that the entry reports, or ``unnamed`` if it reports none;
            ``not-sent`` if no connection was opened; ``lost`` if no complete response arrived;
            ``status-N`` for a server's response with another status than 200; ``foreign`` for the
            response to another request.
        """
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
        try:
            async with self._session.request(
                method,
                f"http://{address}{path}",
                data=body or None,
                headers={"Host": service, **headers},
                timeout=timeout,
            ) as response:
                response_body = await response.read()
        except aiohttp.ClientConnectorError:
            self.tally.failure_causes["not-sent"] += 1
            return "not-sent"
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.tally.failure_causes[type(error).__name__] += 1
            return "lost"
        outcome = response.headers.get("Jasmineseam-Outcome", "unnamed")
        if outcome != "answered":
            self.tally.failure_causes[msgspec.json.decode(response_body)["title"]] += 1
            return outcome
        if response.status != 200:
            return f"status-{response.status}"
        expected = digest_request(method, path, body)
        if msgspec.json.decode(response_body)["digest"] != expected:
            self.tally.crossed_responses.append(f"{method} {path}")
            return "foreign"
        return outcome
