"""Protocol-independent metadata in the heads of proxied requests and of their responses."""

from __future__ import annotations

import typing as t

import msgspec

from ..measuring.load_reports import DetailedLoadReport


class RequestHead(msgspec.Struct, kw_only=True, frozen=True):
    """Metadata that a caller sends with a request.

    :param request_id: id of the request, empty if the caller sent none.
    :param remaining_s: time to the caller's deadline, in seconds; ``None`` if the caller sent no
        deadline.
    """

    request_id: str
    remaining_s: float | None


class ResponseHead(msgspec.Struct, kw_only=True, frozen=True):
    """Metadata that a server sends with a response.

    :param request_id: id of the request that the response belongs to, empty if not sent.
    :param server_id: id of the responding server, empty if not sent.
    :param signed: whether the response carries the signature header of a server and was not
        altered by an intermediary.
    :param not_run: whether the server guarantees that it has not run the request.
    :param misdirected: whether the request reached another server than the intended one.
    :param report: load report of the server, ``None`` if not sent.
    :param leaving: whether the responding server is about to stop.
    :param retry_after_s: time for which the server wants no further requests from this node, in
        seconds.
    :param request_limit_per_s: requests per second that the server accepts from all nodes
        together, ``None`` if it names no limit.
    :param warmup_left_s: time for which the server will be cold, in seconds; ``None`` if the
        response does not name it.
    """

    request_id: str
    server_id: str
    signed: bool
    not_run: bool
    misdirected: bool
    report: DetailedLoadReport | None
    leaving: bool = False
    retry_after_s: float = 0.0
    request_limit_per_s: float | None = None
    warmup_left_s: float | None = None


class HeaderCodec(t.NamedTuple):
    """Functions that decode and encode the metadata headers of a protocol.

    :param decode_request: decodes the headers of a request; raises :exc:`ValueError` if they are
        invalid.
    :param encode_request: returns the headers of a request to a server, given the request id, the
        remaining time in seconds and the id of the server.
    :param decode_response: decodes the status and headers of a response.
    :param headers_set_by_node: lower-case names of the headers that the node sets on requests that
        it forwards to servers.
    :param decode_key: returns the key of a client account from the headers of a request, ``None``
        if there is none.
    :param encode_account: returns the headers of a request to a server that name the client
        account.
    :param account_headers: lower-case names of the headers that hold a caller's key or name a
        client account. If the configuration holds client accounts, they are not forwarded as
        received.
    """

    decode_request: t.Callable[[t.Mapping[str, str]], RequestHead]
    encode_request: t.Callable[[str, float, str], list[tuple[str, str]]]
    decode_response: t.Callable[[int, t.Mapping[str, str]], ResponseHead]
    headers_set_by_node: frozenset[str]
    decode_key: t.Callable[[t.Mapping[str, str]], str | None] = lambda headers: None
    encode_account: t.Callable[[str], list[tuple[str, str]]] = lambda name: []
    account_headers: frozenset[str] = frozenset()


class ServerResponse(t.NamedTuple):
    """A complete response of a server.

    :param headers: a multi-dict of the headers as received.
    :param head: metadata decoded from status and headers.
    """

    status: int
    headers: t.Any
    body: bytes
    head: ResponseHead
