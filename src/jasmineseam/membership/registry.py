"""Registry of the backend servers listed in the metadata store.

It tolerates outages of the store, and a restore of the store from a backup: a server that has left
or is leaving is not used again because an older state of the list reappears.
"""

from __future__ import annotations

import typing as t

import msgspec
import xxhash

from .servers import Server
from .store_position import UNKNOWN_POSITION
from .store_position import StorePosition

# After an outage of the store, servers whose listing has expired are kept for this time. They
# publish it again within 2 s of the end of the outage.
POST_OUTAGE_GRACE_S = 2.5
MIN_OUTAGE_S = 1.0
# Without a failed read of its own, a node takes a longer time without confirmation for an outage.
# In a shorter outage, no listing expires.
MIN_UNCONFIRMED_S = 3.0
# The grace period of a node that was cut off ends this much before removals bind the node.
GRACE_MARGIN_S = 0.2
# A removed listing, or a report that a server is leaving, is remembered for this time, which is
# longer than the age of any backup of the store.
DEPARTURE_RETENTION_S = 300.0
# A newer listing that ends the warm-up of a server later by more than this is a change; by less,
# it has only taken longer to arrive.
MIN_COLD_AGAIN_S = 0.5


class ServerListing(msgspec.Struct, kw_only=True, frozen=True):
    """Listing that a server publishes in the metadata store.

    :param server: id, service and address of the server; ``leaving`` is set while it is draining.
    :param slots: maximum number of requests that it runs concurrently.
    :param warmup_s: remaining warm-up time, during which the server is slow, in seconds.
    :param started_ms: Unix time of the server's start, in milliseconds; a restarted server may
        keep its id.
    :param sequence: sequence number of the listing since the server's start.
    """

    server: Server
    slots: int
    warmup_s: float = 0.0
    started_ms: int = 0
    sequence: int = 0


class Departure(msgspec.Struct, kw_only=True, frozen=True):
    """A server that is leaving, or whose listing was removed.

    :param started_ms: Unix time of the server's start, in milliseconds.
    :param sequence: sequence number of the removed listing; ``None`` if the server itself has
        reported that it is leaving, so that no listing of this start counts any more.
    """

    server_id: str
    started_ms: int
    sequence: int | None = None

    def covers(self, listing: ServerListing) -> bool:
        """Return whether a listing of the server is not newer than its departure."""
        if self.sequence is None:
            return listing.started_ms <= self.started_ms
        return (listing.started_ms, listing.sequence) <= (self.started_ms, self.sequence)


class ServerChange(msgspec.Struct, kw_only=True, frozen=True):
    """One change of the list of servers.

    :param listing: the new listing, ``None`` if it was removed or is invalid.
    :param removed: the start and the newest sequence number of a removed listing, if known.
    """

    server_id: str
    listing: ServerListing | None = None
    removed: Departure | None = None


class RegisteredServer:
    """A listed server, with the end of its warm-up and the time at which it is removed, if any.

    ``warmup_ends_at`` is the end of the slow start after the server was first listed.
    ``cold_until`` also follows later listings, since a server may become cold again.

    :param listing: the newest listing of the server.
    :param now: current monotonic time, in seconds.
    """

    __slots__ = ("cold_until", "listing", "removal_due_at", "warmup_ends_at")

    def __init__(self, *, listing: ServerListing, now: float) -> None:
        self.listing = listing
        self.warmup_ends_at = now + listing.warmup_s
        self.cold_until = self.warmup_ends_at
        self.removal_due_at: float | None = None

    @property
    def server(self) -> Server:
        """The server described by the newest listing."""
        return self.listing.server


class ServerRegistry:
    """The listed servers of all services.

    A listing that is removed shortly after an outage of the store may have expired only because
    heartbeats failed during the outage. Its server is therefore kept for a grace period, in which
    it can publish its listing again. A node that was cut off from the store can't tell this from
    an outage, so the grace period also ends before it is bound by removals again. Each node judges
    this for itself: a removal is spread at once, and a kept server is not listed to other nodes.

    :param clock: returns monotonic time in seconds.
    :param reconnect_s: time after the end of a cut from the store from which this node is bound
        by removals, in seconds.
    :param on_change: called when the set of servers that may receive new requests can have
        changed.
    """

    __slots__ = (
        "_by_service",
        "_clock",
        "_confirmed_at",
        "_departures",
        "_evacuated_services",
        "_failed_read_at",
        "_grace_ends_at",
        "_kept",
        "_on_change",
        "_reconnect_s",
        "_registered",
        "_stale_versions",
        "evacuated",
        "loaded",
        "position",
    )

    def __init__(
        self,
        *,
        clock,
        on_change: t.Callable[[], None] = lambda: None,
        reconnect_s: float = 3.0,
    ) -> None:
        self._clock = clock
        self._reconnect_s = reconnect_s
        self._on_change = on_change
        self._registered: dict[str, RegisteredServer] = {}
        self._by_service: dict[str, list[RegisteredServer]] = {}
        # start time and sequence number of the newest stale listing, by server id
        self._stale_versions: dict[str, tuple[int, int]] = {}
        # removed listings and leaving servers with the time of their record, by server id
        self._departures: dict[str, tuple[Departure, float]] = {}
        # failure domains whose servers receive no requests
        self.evacuated: frozenset[str] = frozenset()
        # services that have servers in evacuated failure domains only
        self._evacuated_services: set[str] = set()
        self._confirmed_at = clock()
        # start of the last read of the store that failed
        self._failed_read_at = float("-inf")
        self._grace_ends_at = float("-inf")
        # the departures, if known, of servers whose listing was removed and whose grace period is
        # not over
        self._kept: dict[str, Departure | None] = {}
        self.loaded = False
        self.position = UNKNOWN_POSITION

    def get_list_age_s(self) -> float:
        """Return the time since the list was last confirmed to be up to date, in seconds."""
        return self._clock() - self._confirmed_at

    def record_failed_read(self, started_at: float) -> None:
        """Record that a read of the list from the store was not answered in time, or failed.

        :param started_at: monotonic time at which the read began, in seconds.
        """
        self._failed_read_at = max(self._failed_read_at, started_at)

    def mark_confirmed(self, age_s: float = 0.0) -> None:
        """Record that the list was up to date *age_s* seconds ago."""
        confirmed_at = self._clock() - age_s
        if confirmed_at <= self._confirmed_at:
            return
        self._detect_outage(confirmed_at)
        self._confirmed_at = confirmed_at

    def _detect_outage(self, confirmed_at: float) -> None:
        """Begin a grace period if the list was not confirmed for long before a time."""
        gap_s = confirmed_at - self._confirmed_at
        failed = self._failed_read_at > self._confirmed_at
        if not self.loaded or gap_s <= (MIN_OUTAGE_S if failed else MIN_UNCONFIRMED_S):
            return
        self._grace_ends_at = self._clock() + POST_OUTAGE_GRACE_S
        if failed:
            # A cut from the store can have ended as early as that read began.
            bound_at = self._failed_read_at + self._reconnect_s
            self._grace_ends_at = min(self._grace_ends_at, bound_at - GRACE_MARGIN_S)

    def start_grace_period(self) -> None:
        """Keep servers whose listing is removed from now on for a time, after a restore."""
        self._grace_ends_at = self._clock() + POST_OUTAGE_GRACE_S

    def replace_listings(
        self, listings: list[ServerListing], position: StorePosition
    ) -> list[ServerChange]:
        """Replace the list by a complete one, unless the list already includes later changes.

        :param position: position in the store at which the subsequent changes start.
        :returns: the changes that had an effect.
        """
        if position < self.position:
            return []
        self._detect_restore(position)
        listed_ids = {listing.server.server_id for listing in listings}
        changes = [
            ServerChange(server_id=server_id)
            for server_id in self._registered
            if server_id not in listed_ids
        ]
        changes += [
            ServerChange(server_id=listing.server.server_id, listing=listing)
            for listing in listings
        ]
        effective = self.record_changes(changes)
        self.position = position
        if not self.loaded:
            self.loaded = True
            self._rebuild_index()
        return [changes[index] for index in effective]

    def apply_changes(
        self, changes: list[ServerChange], begin: StorePosition, end: StorePosition
    ) -> bool:
        """Apply changes, unless the list already includes them or lacks earlier ones.

        :param begin: position in the store up to which the list must be known.
        :param end: position in the store after the last of the changes.
        :returns: whether the changes were applied.
        """
        if not self.loaded or begin > self.position or end <= self.position:
            return False
        self._detect_restore(end)
        self.record_changes(changes)
        self.position = end
        return True

    def _detect_restore(self, position: StorePosition) -> None:
        """Begin a grace period if the store was restored from a backup, which may lack servers."""
        if self.loaded and position.timeline > self.position.timeline:
            self.start_grace_period()

    def record_changes(self, changes: list[ServerChange]) -> list[int]:
        """Apply changes without a new position.

        :returns: the indexes of the changes that had an effect other than a newer sequence number
            or warm-up time.
        """
        effective = []
        for index, change in enumerate(changes):
            if change.listing is not None:
                changed = self._put_listing(change.listing)
            else:
                changed = self._remove_server(change)
            if changed:
                effective.append(index)
        if effective:
            self._rebuild_index()
        return effective

    def mark_stale(self, server_id: str) -> None:
        """Mark a server's listing as stale, because another server responded at its address.

        The server receives no new requests until it publishes a newer listing.
        """
        registered = self._registered.get(server_id)
        if registered is None:
            return
        self._stale_versions[server_id] = (
            registered.listing.started_ms,
            registered.listing.sequence,
        )
        self._rebuild_index()

    def set_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Set the failure domains whose servers receive no requests."""
        if failure_domains != self.evacuated:
            self.evacuated = failure_domains
            self._rebuild_index()

    def is_evacuated(self, service: str) -> bool:
        """Return whether all servers of a service are in evacuated failure domains."""
        return service in self._evacuated_services

    def add_departure(self, departure: Departure) -> bool:
        """Record that a server is leaving or was removed; return whether this was new.

        The server receives no new requests until it publishes a listing that is newer than its
        departure.
        """
        known = self._departures.get(departure.server_id)
        if known is not None and _get_departure_order(departure) <= _get_departure_order(known[0]):
            return False
        self._departures[departure.server_id] = (departure, self._clock())
        registered = self._registered.get(departure.server_id)
        if registered is not None and departure.covers(registered.listing):
            if departure.sequence is not None:
                del self._registered[departure.server_id]
                self._kept.pop(departure.server_id, None)
            self._rebuild_index()
        return True

    def compute_leaving_hash(self) -> int:
        """Return a hash over the listed servers that have reported their departure themselves."""
        combined = 0
        for server_id, (departure, _) in self._departures.items():
            if departure.sequence is not None or server_id not in self._registered:
                continue
            text = f"{server_id} {departure.started_ms}"
            combined ^= xxhash.xxh3_64_intdigest(text.encode())
        return combined

    def get_departure(self, server_id: str) -> Departure | None:
        """Return the newest departure of a server, ``None`` if there is none.

        A server that is kept departs with the version of its listing that was removed.
        """
        registered = self._registered.get(server_id)
        if registered is not None and server_id in self._kept:
            return _build_departure(registered.listing)
        recorded = self._departures.get(server_id)
        return None if recorded is None else recorded[0]

    def list_departures(self, max_age_s: float = DEPARTURE_RETENTION_S) -> list[Departure]:
        """Return the departures that were recorded within the last *max_age_s* seconds."""
        oldest = self._clock() - max_age_s
        return [
            departure
            for departure, recorded_at in self._departures.values()
            if recorded_at >= oldest
        ]

    def expire_servers(self) -> list[str]:
        """Drop the servers whose listing was removed and whose grace period is over.

        Departures are dropped after :data:`DEPARTURE_RETENTION_S`, unless the server is still
        listed.

        :returns: the ids of the dropped servers.
        """
        now = self._clock()
        expired = []
        for server_id, (_, recorded_at) in list(self._departures.items()):
            if now - recorded_at > DEPARTURE_RETENTION_S and server_id not in self._registered:
                del self._departures[server_id]
        for server_id, removed in list(self._kept.items()):
            registered = self._registered[server_id]
            if registered.removal_due_at > now:
                continue
            self._delete_server(server_id, registered)
            if removed is not None:
                self.add_departure(removed)
            expired.append(server_id)
        if expired:
            self._rebuild_index()
        return expired

    def count_kept(self) -> int:
        """Return the number of servers whose listing was removed but that may still be used."""
        return len(self._kept)

    def get_server(self, server_id: str) -> RegisteredServer | None:
        """Return a server by its id, ``None`` if it is not listed."""
        return self._registered.get(server_id)

    def list_usable(self, service: str) -> list[RegisteredServer]:
        """Return the servers of a service that may receive new requests."""
        return self._by_service.get(service, [])

    def list_listings(self) -> list[ServerListing]:
        """Return the newest listings of all servers that are listed in the store."""
        return [
            registered.listing
            for server_id, registered in self._registered.items()
            if server_id not in self._kept
        ]

    def list_addresses(self) -> set[str]:
        """Return the addresses of all servers, including those that are kept."""
        return {registered.server.address for registered in self._registered.values()}

    def list_ids(self) -> t.KeysView[str]:
        """Return the ids of all servers, including those that are kept."""
        return self._registered.keys()

    def count_usable(self) -> int:
        """Return the number of servers that may receive new requests."""
        return sum(len(servers) for servers in self._by_service.values())

    def _put_listing(self, listing: ServerListing) -> bool:
        server_id = listing.server.server_id
        registered = self._registered.get(server_id)
        now = self._clock()
        if registered is None:
            departed = self._departures.get(server_id)
            if departed is not None and departed[0].covers(listing):
                return False
            self._registered[server_id] = RegisteredServer(listing=listing, now=now)
            return True
        version = (registered.listing.started_ms, registered.listing.sequence)
        if (listing.started_ms, listing.sequence) < version:
            # listings can arrive out of order
            return False
        restarted = listing.started_ms != registered.listing.started_ms
        changed = (
            listing.server != registered.listing.server
            or listing.slots != registered.listing.slots
            or registered.removal_due_at is not None
        )
        self._kept.pop(server_id, None)
        if restarted:
            self._registered[server_id] = RegisteredServer(listing=listing, now=now)
            return True
        # A copy of the same listing that arrives later names a time that has passed in part.
        newer = listing.sequence > registered.listing.sequence
        if newer and now + listing.warmup_s > max(now, registered.cold_until) + MIN_COLD_AGAIN_S:
            registered.cold_until = now + listing.warmup_s
            changed = True
        registered.listing = listing
        registered.removal_due_at = None
        return changed or server_id in self._stale_versions

    def _remove_server(self, change: ServerChange) -> bool:
        server_id = change.server_id
        registered = self._registered.get(server_id)
        if registered is None:
            if change.removed is not None:
                self.add_departure(change.removed)
            return False
        if server_id in self._kept:
            return False
        now = self._clock()
        if now >= self._grace_ends_at:
            self._detect_outage(now)
        if now < self._grace_ends_at and not registered.server.leaving:
            registered.removal_due_at = self._grace_ends_at
            self._kept[server_id] = change.removed
            return True
        self._delete_server(server_id, registered)
        if change.removed is not None:
            self.add_departure(change.removed)
        return True

    def _delete_server(self, server_id: str, registered: RegisteredServer) -> None:
        del self._registered[server_id]
        self._kept.pop(server_id, None)
        self._stale_versions.pop(server_id, None)
        self.add_departure(_build_departure(registered.listing))

    def _rebuild_index(self) -> None:
        by_service: dict[str, list[RegisteredServer]] = {}
        evacuated_services = set()
        for server_id, registered in self._registered.items():
            if registered.server.leaving:
                continue
            departed = self._departures.get(server_id)
            if departed is not None and departed[0].covers(registered.listing):
                continue
            stale_version = self._stale_versions.get(server_id)
            if stale_version is not None:
                if (registered.listing.started_ms, registered.listing.sequence) <= stale_version:
                    continue
                del self._stale_versions[server_id]
            if registered.server.failure_domain in self.evacuated:
                evacuated_services.add(registered.server.service)
                continue
            by_service.setdefault(registered.server.service, []).append(registered)
        self._by_service = by_service
        self._evacuated_services = evacuated_services - by_service.keys()
        self._on_change()


def _build_departure(listing: ServerListing) -> Departure:
    return Departure(
        server_id=listing.server.server_id,
        started_ms=listing.started_ms,
        sequence=listing.sequence,
    )


def _get_departure_order(departure: Departure) -> tuple[int, float]:
    sequence = float("inf") if departure.sequence is None else departure.sequence
    return departure.started_ms, sequence
