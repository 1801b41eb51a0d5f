"""The regions whose servers may receive a request."""

from __future__ import annotations

from .routes import ClientAccount
from .routes import Route


def compute_home_regions(route: Route, account: ClientAccount | None) -> frozenset[str] | None:
    """Return the regions to which a request is restricted, ``None`` for no restriction.

    If both the route and the account name regions, both restrictions apply; the result may then be
    empty, and the request can't be run anywhere.

    :param account: the client account of the request, ``None`` without one.
    """
    regions = None
    for named in (route.home_regions, account.home_regions if account is not None else []):
        if not named:
            continue
        regions = frozenset(named) if regions is None else regions.intersection(named)
    return regions
