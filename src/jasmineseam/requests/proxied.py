"""What the heads of a proxied request and of its response say, whatever the protocol."""

from __future__ import annotations

import msgspec

from ..measuring.reports import ServerReport


class RequestHead(msgspec.Struct, kw_only=True, frozen=True):
    """What a caller says of its request.

    :param request_id: empty if it sent none.
    :param remaining_s: for how long it waits, in seconds, ``None`` if it does not say.
    """

    request_id: str
    remaining_s: float | None


class ResponseHead(msgspec.Struct, kw_only=True, frozen=True):
    """What a server says of its response.

    :param request_id: of the request that it answers, empty if it does not say.
    :param server_id: of the server that answers, empty if it does not say.
    :param signed: whether the response is the service's own.
    :param not_run: whether the server promises that it has not run the request.
    :param misdirected: whether it is another server than the one that was meant.
    :param report: its load.
    """

    request_id: str
    server_id: str
    signed: bool
    not_run: bool
    misdirected: bool
    report: ServerReport | None
