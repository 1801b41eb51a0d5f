"""Tests of the server registry: order of listings, restarts and outages of the store."""

import pytest

from jasmineseam.membership.registry import ServerChange
from jasmineseam.membership.registry import ServerListing
from jasmineseam.membership.registry import ServerRegistry
from jasmineseam.membership.servers import Server


def make_listing(name="a", *, sequence=1, started_ms=1, leaving=False, address="10.0.0.1:1"):
    server = Server(
        server_id=name, service="fit", address=address, failure_domain="d1", leaving=leaving
    )
    return ServerListing(server=server, slots=4, started_ms=started_ms, sequence=sequence)


def make_change(listing, name="a"):
    return ServerChange(server_id=name, listing=listing)


def list_usable_ids(registry):
    return sorted(registered.server.server_id for registered in registry.list_usable("fit"))


LISTING_SEQUENCES = [
    # a listing written before the drain arrives after the draining one
    ([make_listing(sequence=2, leaving=True), make_listing(sequence=1)], []),
    ([make_listing(sequence=2, leaving=True), make_listing(sequence=3)], ["a"]),
    # a restarted server keeps its id and restarts its sequence
    ([make_listing(sequence=9, leaving=True), make_listing(sequence=1, started_ms=2)], ["a"]),
    # a listing written before the restart arrives after it
    ([make_listing(started_ms=2, leaving=True), make_listing(sequence=99)], []),
    ([make_listing(), None], []),
    ([make_listing(sequence=5), None, make_listing(sequence=6)], ["a"]),
]


@pytest.mark.parametrize(("listings", "expected"), LISTING_SEQUENCES)
def test_the_newest_listing_of_the_newest_start_is_used(clock, listings, expected):
    registry = ServerRegistry(clock=clock)
    registry.replace_listings([make_listing("b")], 0)
    for position, listing in enumerate(listings):
        registry.apply_changes([make_change(listing)], position + 1)
    assert list_usable_ids(registry) == [*expected, "b"]


def test_changes_up_to_the_current_position_are_ignored(clock):
    registry = ServerRegistry(clock=clock)
    registry.replace_listings([make_listing()], 5)
    registry.apply_changes([make_change(None)], 5)
    assert list_usable_ids(registry) == ["a"]


def test_a_stale_server_is_excluded_until_it_publishes_a_newer_listing(clock):
    registry = ServerRegistry(clock=clock)
    registry.replace_listings([make_listing(sequence=4)], 0)
    registry.mark_stale("a")
    assert list_usable_ids(registry) == []
    registry.apply_changes([make_change(make_listing(sequence=4))], 1)
    assert list_usable_ids(registry) == []
    registry.apply_changes([make_change(make_listing(sequence=5))], 2)
    assert list_usable_ids(registry) == ["a"]


@pytest.mark.parametrize(
    ("outage_s", "wait_s", "expected"),
    [(0.4, 0.0, []), (5.0, 0.0, ["a"]), (5.0, 2.4, ["a"]), (5.0, 2.6, [])],
)
def test_a_listing_that_expired_in_an_outage_has_a_grace_period(clock, outage_s, wait_s, expected):
    registry = ServerRegistry(clock=clock)
    registry.mark_confirmed()
    registry.replace_listings([make_listing()], 0)
    clock.now += outage_s
    registry.mark_confirmed()
    registry.apply_changes([make_change(None)], 1)
    clock.now += wait_s
    registry.expire_servers()
    assert list_usable_ids(registry) == expected


def test_a_draining_server_has_no_grace_period_after_an_outage(clock):
    registry = ServerRegistry(clock=clock)
    registry.mark_confirmed()
    registry.replace_listings([make_listing(sequence=3, leaving=True)], 0)
    clock.now += 5.0
    registry.mark_confirmed()
    registry.apply_changes([make_change(None)], 1)
    assert list_usable_ids(registry) == []
    assert registry.get_server("a") is None
