"""Selection and order of the addresses of entry processes that are returned to a caller."""

from __future__ import annotations

import random

import msgspec

from .vms import EntryProcess
from .vms import VmInfo

MAX_ADDRESSES_PER_RESPONSE = 6


class EntryAddress(msgspec.Struct, kw_only=True):
    """Address of an entry process.

    :param address: ``ip:port`` for callers.
    :param key_prefix: current prefix of the idempotency keys that the process issues.
    """

    address: str
    failure_domain: str
    key_prefix: str


def rank_entries(
    live_vms: list[VmInfo], failure_domain: str, rng: random.Random
) -> list[EntryAddress]:
    """Return the entry processes for a caller, those in its failure domain first.

    Within a failure domain the order is random, with lightly loaded processes more likely to be
    first, so that callers are spread over the processes. At most
    :data:`MAX_ADDRESSES_PER_RESPONSE` are returned.

    :param live_vms: the VMs whose entry processes are ranked.
    :param failure_domain: failure domain of the caller, empty if unknown.
    :param rng: source of the random order.
    """
    ranked: list[tuple[bool, float, EntryAddress]] = []
    for vm in live_vms:
        for entry in vm.entries:
            rank = (
                vm.failure_domain != failure_domain,
                _draw_sort_key(entry, rng),
                _build_address(vm, entry),
            )
            ranked.append(rank)
    ranked.sort(key=lambda rank: rank[:2])
    return [address for _, _, address in ranked[:MAX_ADDRESSES_PER_RESPONSE]]


def _draw_sort_key(entry: EntryProcess, rng: random.Random) -> float:
    # the reported load is outdated by the time callers use it, so it only biases a random order;
    # the addend 10 keeps small differences in load from determining the order
    return rng.random() * (10 + entry.in_flight)


def _build_address(vm: VmInfo, entry: EntryProcess) -> EntryAddress:
    return EntryAddress(
        address=entry.http_address,
        failure_domain=vm.failure_domain,
        key_prefix=entry.key_prefix,
    )
