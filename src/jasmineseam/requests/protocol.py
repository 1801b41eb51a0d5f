"""What the heads of a proxied request and of its response say, whatever the protocol."""

from __future__ import annotations

import typing as t

import msgspec

from ..measuring.load_reports import ServerReport


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


class HeaderCodec(t.NamedTuple):
    """How the heads of requests and responses are read and written.

    :param decode_request: reads a caller's headers; raises :exc:`ValueError`.
    :param encode_request: headers for a server: request id, seconds left, the server's id.
    :param decode_response: reads a status and a server's headers.
    :param own_headers: lower-case names of the headers that the node sets by itself.
    """

    decode_request: t.Callable[[t.Mapping[str, str]], RequestHead]
    encode_request: t.Callable[[str, float, str], list[tuple[str, str]]]
    decode_response: t.Callable[[int, t.Mapping[str, str]], ResponseHead]
    headers_set_by_node: frozenset[str]


class ServerResponse(t.NamedTuple):
    """A server's whole answer.

    :param headers: a multi-dict, as received.
    """

    status: int
    headers: t.Any
    body: bytes
    head: ResponseHead
