"""Which entry addresses a caller is told to use, and in what order."""

from __future__ import annotations

import random

import msgspec

from .vms import EntryProcess
from .vms import VmInfo

MAX_ENTRY_ADDRESSES = 6


class EntryAddress(msgspec.Struct, kw_only=True):
    """An address for a caller, and the key prefix that has this entry as its home."""

    address: str
    failure_domain: str
    key_prefix: str


def rank_entries(
    live: list[VmInfo], failure_domain: str, chooser: random.Random
) -> list[EntryAddress]:
    """Rank the entries of live VMs: the caller's own failure domain first, the least loaded first.

    :param failure_domain: the caller's, or an empty string.
    :param chooser: breaks ties, so that callers spread.
    """
    ranked: list[tuple[bool, float, EntryAddress]] = []
    for vm in live:
        for entry in vm.entries:
            rank = (vm.failure_domain != failure_domain, _weigh(entry, chooser), _name(vm, entry))
            ranked.append(rank)
    ranked.sort(key=lambda rank: rank[:2])
    return [named for _, _, named in ranked[:MAX_ENTRY_ADDRESSES]]


def _weigh(entry: EntryProcess, chooser: random.Random) -> float:
    # the reported load is old by the time callers use it, so it only tilts a random order
    return chooser.random() * (10 + entry.in_flight)


def _name(vm: VmInfo, entry: EntryProcess) -> EntryAddress:
    return EntryAddress(
        address=entry.http_address,
        failure_domain=vm.failure_domain,
        key_prefix=entry.key_prefix,
    )
