"""The list of servers: order of entries, restarts, outages of the store."""

import pytest

from jasmineseam.membership.registry import ServerChange
from jasmineseam.membership.registry import ServerListing
from jasmineseam.membership.registry import ServerRegistry
from jasmineseam.membership.servers import Server


def list_server(name="a", *, sequence=1, started_ms=1, leaving=False, address="10.0.0.1:1"):
    server = Server(
        server_id=name, service="fit", address=address, failure_domain="d1", leaving=leaving
    )
    return ServerListing(server=server, slots=4, started_ms=started_ms, sequence=sequence)


def change(listing, name="a"):
    return ServerChange(server_id=name, listing=listing)


def list_names(registry):
    return sorted(listed.server.server_id for listed in registry.list_usable("fit"))


HISTORIES = [
    # an entry written before the drain arrives after it
    ([list_server(sequence=2, leaving=True), list_server(sequence=1)], []),
    ([list_server(sequence=2, leaving=True), list_server(sequence=3)], ["a"]),
    # a restart under the same id counts anew
    ([list_server(sequence=9, leaving=True), list_server(sequence=1, started_ms=2)], ["a"]),
    # an entry of the time before the restart
    ([list_server(started_ms=2, leaving=True), list_server(sequence=99)], []),
    ([list_server(), None], []),
    ([list_server(sequence=5), None, list_server(sequence=6)], ["a"]),
]


@pytest.mark.parametrize(("entries", "expected"), HISTORIES)
def test_the_newest_word_of_the_newest_start_counts(clock, entries, expected):
    registry = ServerRegistry(clock=clock)
    registry.replace_listings([list_server("b")], 0)
    for position, entry in enumerate(entries):
        registry.apply_changes([change(entry)], position + 1)
    assert list_names(registry) == [*expected, "b"]


def test_changes_that_were_taken_before_are_not_taken_again(clock):
    registry = ServerRegistry(clock=clock)
    registry.replace_listings([list_server()], 5)
    registry.apply_changes([change(None)], 5)
    assert list_names(registry) == ["a"]


def test_a_server_whose_address_leads_elsewhere_is_left_out_until_it_says_more(clock):
    registry = ServerRegistry(clock=clock)
    registry.replace_listings([list_server(sequence=4)], 0)
    registry.mark_stale("a")
    assert list_names(registry) == []
    registry.apply_changes([change(list_server(sequence=4))], 1)
    assert list_names(registry) == []
    registry.apply_changes([change(list_server(sequence=5))], 2)
    assert list_names(registry) == ["a"]


@pytest.mark.parametrize(
    ("outage_s", "wait_s", "expected"),
    [(0.4, 0.0, []), (5.0, 0.0, ["a"]), (5.0, 2.4, ["a"]), (5.0, 2.6, [])],
)
def test_an_entry_that_expired_in_an_outage_has_time_to_return(clock, outage_s, wait_s, expected):
    registry = ServerRegistry(clock=clock)
    registry.mark_confirmed()
    registry.replace_listings([list_server()], 0)
    clock.now += outage_s
    registry.mark_confirmed()
    registry.apply_changes([change(None)], 1)
    clock.now += wait_s
    registry.expire_servers()
    assert list_names(registry) == expected


def test_a_server_that_drains_does_not_return_by_an_outage(clock):
    registry = ServerRegistry(clock=clock)
    registry.mark_confirmed()
    registry.replace_listings([list_server(sequence=3, leaving=True)], 0)
    clock.now += 5.0
    registry.mark_confirmed()
    registry.apply_changes([change(None)], 1)
    assert list_names(registry) == []
    assert registry.get_server("a") is None
