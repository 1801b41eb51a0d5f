"""Tests of the server registry: order of listings, restarts and outages of the store."""

import pytest

from jasmineseam.membership.registry import Departure
from jasmineseam.membership.registry import ServerChange
from jasmineseam.membership.registry import ServerListing
from jasmineseam.membership.registry import ServerRegistry
from jasmineseam.membership.servers import Server
from jasmineseam.membership.store_position import StorePosition


def make_listing(name="a", *, sequence=1, started_ms=1, leaving=False, address="10.0.0.1:1"):
    server = Server(
        server_id=name, service="fit", address=address, failure_domain="d1", leaving=leaving
    )
    return ServerListing(server=server, slots=4, started_ms=started_ms, sequence=sequence)


def make_change(listing, name="a"):
    return ServerChange(server_id=name, listing=listing)


def at(offset, timeline=1):
    return StorePosition(timeline, offset)


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
    registry.replace_listings([make_listing("b")], at(0))
    for position, listing in enumerate(listings):
        registry.apply_changes([make_change(listing)], at(position), at(position + 1))
    assert list_usable_ids(registry) == [*expected, "b"]


def test_changes_up_to_the_current_position_are_ignored(clock):
    registry = ServerRegistry(clock=clock)
    registry.replace_listings([make_listing()], at(5))
    registry.apply_changes([make_change(None)], at(4), at(5))
    # earlier changes are missing
    registry.apply_changes([make_change(None)], at(6), at(7))
    assert list_usable_ids(registry) == ["a"]


def test_a_stale_server_is_excluded_until_it_publishes_a_newer_listing(clock):
    registry = ServerRegistry(clock=clock)
    registry.replace_listings([make_listing(sequence=4)], at(0))
    registry.mark_stale("a")
    assert list_usable_ids(registry) == []
    registry.apply_changes([make_change(make_listing(sequence=4))], at(0), at(1))
    assert list_usable_ids(registry) == []
    registry.apply_changes([make_change(make_listing(sequence=5))], at(1), at(2))
    assert list_usable_ids(registry) == ["a"]


@pytest.mark.parametrize(
    ("outage_s", "wait_s", "expected"),
    [(0.4, 0.0, []), (5.0, 0.0, ["a"]), (5.0, 2.4, ["a"]), (5.0, 2.6, [])],
)
def test_a_listing_that_expired_in_an_outage_has_a_grace_period(clock, outage_s, wait_s, expected):
    registry = ServerRegistry(clock=clock)
    registry.mark_confirmed()
    registry.replace_listings([make_listing()], at(0))
    clock.now += outage_s
    registry.mark_confirmed()
    registry.apply_changes([make_change(None)], at(0), at(1))
    clock.now += wait_s
    registry.expire_servers()
    assert list_usable_ids(registry) == expected


def test_a_draining_server_has_no_grace_period_after_an_outage(clock):
    registry = ServerRegistry(clock=clock)
    registry.mark_confirmed()
    registry.replace_listings([make_listing(sequence=3, leaving=True)], at(0))
    clock.now += 5.0
    registry.mark_confirmed()
    registry.apply_changes([make_change(None)], at(0), at(1))
    assert list_usable_ids(registry) == []
    assert registry.get_server("a") is None


@pytest.mark.parametrize(
    ("reappearing", "expected"),
    [
        # the listing that was removed, and one before it
        (make_listing(sequence=5), []),
        (make_listing(sequence=4), []),
        (make_listing(sequence=6), ["a"]),
        (make_listing(sequence=1, started_ms=2), ["a"]),
    ],
)
@pytest.mark.parametrize("leaving", [False, True])
def test_a_removed_server_stays_removed_after_a_restore(clock, reappearing, expected, leaving):
    registry = ServerRegistry(clock=clock)
    registry.replace_listings([make_listing(sequence=4)], at(5))
    registry.apply_changes([make_change(make_listing(sequence=5, leaving=leaving))], at(5), at(6))
    registry.apply_changes([make_change(None)], at(6), at(7))
    registry.replace_listings([reappearing], at(2, timeline=2))
    assert list_usable_ids(registry) == expected


def test_a_draining_server_stays_unused_after_a_restore(clock):
    registry = ServerRegistry(clock=clock)
    registry.replace_listings([make_listing(sequence=4)], at(5))
    registry.apply_changes([make_change(make_listing(sequence=5, leaving=True))], at(5), at(6))
    registry.replace_listings([make_listing(sequence=4)], at(2, timeline=2))
    assert list_usable_ids(registry) == []


@pytest.mark.parametrize(("wait_s", "expected"), [(0.0, ["a"]), (2.4, ["a"]), (2.6, [])])
def test_a_server_missing_after_a_restore_has_a_grace_period(clock, wait_s, expected):
    registry = ServerRegistry(clock=clock)
    registry.replace_listings([make_listing()], at(5))
    registry.start_grace_period()
    registry.replace_listings([], at(2, timeline=2))
    clock.now += wait_s
    registry.expire_servers()
    assert list_usable_ids(registry) == expected


def test_reads_of_an_earlier_timeline_change_nothing(clock):
    registry = ServerRegistry(clock=clock)
    registry.replace_listings([make_listing("b")], at(5, timeline=2))
    registry.replace_listings([make_listing("a")], at(90, timeline=1))
    changes = [make_change(make_listing("a"))]
    assert not registry.apply_changes(changes, at(90, timeline=1), at(91, timeline=1))
    assert not registry.apply_changes(changes, at(9, timeline=3), at(10, timeline=3))
    assert list_usable_ids(registry) == ["b"]
    assert registry.position == at(5, timeline=2)


DEPARTURE_CASES = [
    # a listing of the same start does not end the server's own report, a newer start does
    (Departure(server_id="a", started_ms=1), make_listing(sequence=99), []),
    (Departure(server_id="a", started_ms=1), make_listing(started_ms=2), ["a"]),
    # a report on an earlier start
    (Departure(server_id="a", started_ms=0), make_listing(), ["a"]),
    (Departure(server_id="a", started_ms=1, sequence=3), make_listing(sequence=3), []),
    (Departure(server_id="a", started_ms=1, sequence=3), make_listing(sequence=4), ["a"]),
]


@pytest.mark.parametrize(("departure", "listing", "expected"), DEPARTURE_CASES)
@pytest.mark.parametrize("departure_first", [False, True])
def test_a_departed_server_is_used_again_only_with_a_newer_listing(
    clock, departure, listing, expected, departure_first
):
    registry = ServerRegistry(clock=clock)
    if departure_first:
        assert registry.add_departure(departure)
    registry.replace_listings([listing], at(5))
    if not departure_first:
        registry.add_departure(departure)
    assert list_usable_ids(registry) == expected
    assert not registry.add_departure(departure)


def test_departures_expire_once_the_server_is_no_longer_listed(clock):
    registry = ServerRegistry(clock=clock)
    registry.replace_listings([make_listing("a"), make_listing("b")], at(5))
    registry.add_departure(Departure(server_id="a", started_ms=1))
    registry.apply_changes([make_change(None, "b")], at(5), at(6))
    clock.now += 301.0
    registry.expire_servers()
    assert [departure.server_id for departure in registry.list_departures(1000.0)] == ["a"]
    assert list_usable_ids(registry) == []
