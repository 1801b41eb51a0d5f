"""Backend servers as the store lists them, with what outages of the store mean for the list."""

from __future__ import annotations

import typing as t

import msgspec

from .servers import Server

OUTAGE_GRACE_S = 2.5
MIN_OUTAGE_S = 1.0


class ServerListing(msgspec.Struct, kw_only=True, frozen=True):
    """A server's own entry in the store.

    :param server: where it is; ``leaving`` if it has said that it drains.
    :param slots: requests that it runs at once.
    :param warmup_s: for how much longer it is slow after its start, in seconds.
    :param started_ms: Unix time of its start; a restart may keep the id.
    :param sequence: grows with each entry since its start.
    """

    server: Server
    slots: int
    warmup_s: float = 0.0
    started_ms: int = 0
    sequence: int = 0


class ServerChange(msgspec.Struct, kw_only=True, frozen=True):
    """One change of the list.

    :param listing: ``None`` if the entry was removed or names no server any more.
    """

    server_id: str
    listing: ServerListing | None = None


class RegisteredServer:
    """A listed server, and since when.

    :param listing: its newest entry.
    :param now: monotonic, in seconds.
    """

    __slots__ = ("gone_at", "listing", "warmup_ends_at")

    def __init__(self, *, listing: ServerListing, now: float) -> None:
        self.listing = listing
        self.warmup_ends_at = now + listing.warmup_s
        self.gone_at: float | None = None

    @property
    def server(self) -> Server:
        """Where the server is."""
        return self.listing.server


class ServerRegistry:
    """The servers of all services.

    An entry that vanishes around an outage of the store may only have expired for want of
    heartbeats, so its server is kept until it has had time to return.

    :param clock: returns seconds, monotonic.
    :param on_change: called when other servers may get new work than before.
    """

    __slots__ = (
        "_by_service",
        "_clock",
        "_dead",
        "_listed",
        "_on_change",
        "_read_at",
        "_returned_at",
        "loaded",
        "position",
    )

    def __init__(self, *, clock, on_change: t.Callable[[], None] = lambda: None) -> None:
        self._clock = clock
        self._on_change = on_change
        self._listed: dict[str, RegisteredServer] = {}
        self._by_service: dict[str, list[RegisteredServer]] = {}
        # servers found to be gone, with the entry that is no longer believed
        self._dead: dict[str, tuple[int, int]] = {}
        self._read_at = clock()
        self._returned_at = float("-inf")
        self.loaded = False
        self.position = -1

    def get_age_s(self) -> float:
        """Return the time since the list was last confirmed, in seconds."""
        return self._clock() - self._read_at

    def mark_confirmed(self, age_s: float = 0.0) -> None:
        """Note that the list was as it is now, *age_s* seconds ago."""
        read_at = self._clock() - age_s
        if read_at <= self._read_at:
            return
        if self.loaded and read_at - self._read_at > MIN_OUTAGE_S:
            self._returned_at = read_at
        self._read_at = read_at

    def replace_listings(self, listings: list[ServerListing], position: int) -> None:
        """Take a complete list.

        :param position: the offset in the store from which changes follow.
        """
        known = {listing.server.server_id for listing in listings}
        for server_id in list(self._listed):
            if server_id not in known:
                self._remove(server_id)
        for listing in listings:
            self._put(listing)
        self.position = position
        self.loaded = True
        self._index()

    def apply_changes(self, changes: list[ServerChange], position: int) -> None:
        """Take the changes that lead up to a position."""
        if position <= self.position:
            return
        changed = False
        for change in changes:
            if change.listing is None:
                changed |= self._remove(change.server_id)
                continue
            changed |= self._put(change.listing)
        self.position = position
        if changed:
            self._index()

    def mark_stale(self, server_id: str) -> None:
        """Stop using a server whose address no longer leads to it, until it is listed anew."""
        listed = self._listed.get(server_id)
        if listed is None:
            return
        self._dead[server_id] = (listed.listing.started_ms, listed.listing.sequence)
        self._index()

    def expire_servers(self) -> None:
        """Drop the servers whose time to return is over."""
        now = self._clock()
        expired = False
        for server_id, listed in list(self._listed.items()):
            if listed.gone_at is None or listed.gone_at > now:
                continue
            del self._listed[server_id]
            expired = True
        if expired:
            self._index()

    def get_server(self, server_id: str) -> RegisteredServer | None:
        """Return a server by its id."""
        return self._listed.get(server_id)

    def list_usable(self, service: str) -> list[RegisteredServer]:
        """Return a service's servers that may get new work."""
        return self._by_service.get(service, [])

    def list_listings(self) -> list[ServerListing]:
        """Return all entries held."""
        return [listed.listing for listed in self._listed.values()]

    def count_usable(self) -> int:
        """Return how many servers may get new work."""
        return sum(len(servers) for servers in self._by_service.values())

    def _put(self, listing: ServerListing) -> bool:
        server_id = listing.server.server_id
        held = self._listed.get(server_id)
        now = self._clock()
        if held is None:
            self._listed[server_id] = RegisteredServer(listing=listing, now=now)
            return True
        age = (held.listing.started_ms, held.listing.sequence)
        if (listing.started_ms, listing.sequence) < age:
            # an older entry that was written late
            return False
        restarted = listing.started_ms != held.listing.started_ms
        moved = listing.server != held.listing.server or held.gone_at is not None
        if restarted:
            self._listed[server_id] = RegisteredServer(listing=listing, now=now)
            return True
        held.listing = listing
        held.gone_at = None
        return moved or server_id in self._dead

    def _remove(self, server_id: str) -> bool:
        listed = self._listed.get(server_id)
        if listed is None:
            return False
        now = self._clock()
        since_return_s = now - self._returned_at
        if since_return_s < OUTAGE_GRACE_S and not listed.server.leaving:
            if listed.gone_at is None:
                listed.gone_at = self._returned_at + OUTAGE_GRACE_S
            return False
        del self._listed[server_id]
        self._dead.pop(server_id, None)
        return True

    def _index(self) -> None:
        by_service: dict[str, list[RegisteredServer]] = {}
        for server_id, listed in self._listed.items():
            if listed.server.leaving:
                continue
            believed = self._dead.get(server_id)
            if believed is not None:
                if (listed.listing.started_ms, listed.listing.sequence) <= believed:
                    continue
                del self._dead[server_id]
            by_service.setdefault(listed.server.service, []).append(listed)
        self._by_service = by_service
        self._on_change()
