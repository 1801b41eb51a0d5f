"""Authentication of requests by the keys of client accounts.

A key is replaced by its digest and the name of its account before the headers of a request reach
any other part of the node. The digest is looked up again whenever the request may be sent, so that
a key that a newer routing table removes is not accepted from then on.
"""

from __future__ import annotations

import collections
import typing as t

from multidict import CIMultiDict

from ..exceptions import NotRunError
from ..requests.headers import strip_hop_by_hop_headers
from ..requests.protocol import HeaderCodec
from ..routing.routes import ClientAccount
from ..routing.routes import RouteIndex
from ..routing.routes import hash_key
from .proxied_request import ProxiedRequest

REASON_NO_KEY = "no-key"
REASON_UNKNOWN_KEY = "unknown-key"


class Authenticator:
    """Decides which client account a request belongs to, and whether it is refused.

    Without client accounts in the routing table, requests and their headers are left as they are.

    :param header_codec: finds keys in headers and names accounts to servers.
    :param get_index: returns the current routes and accounts, ``None`` before the first routing
        table.
    """

    __slots__ = ("_get_index", "_header_codec", "refusal_counts")

    def __init__(
        self, *, header_codec: HeaderCodec, get_index: t.Callable[[], RouteIndex | None]
    ) -> None:
        self._header_codec = header_codec
        self._get_index = get_index
        # refused requests, by reason
        self.refusal_counts: collections.Counter[str] = collections.Counter()

    def authenticate(self, proxied: ProxiedRequest) -> None:
        """Find the account of a request, and remove the key from its headers.

        :raises NotRunError: if the route needs a key and the request has no valid one.
        """
        index = self._get_index()
        if index is None or not index.requires_keys:
            return
        key = self._header_codec.decode_key(proxied.headers)
        proxied.key_hash = b"" if key is None else hash_key(key)
        proxied.authenticated = True
        self._set_account(proxied, index.find_account_by_hash(proxied.key_hash))
        if proxied.account is None and not proxied.route.public:
            self._refuse(REASON_NO_KEY if key is None else REASON_UNKNOWN_KEY)

    def authenticate_relayed(
        self, proxied: ProxiedRequest, account_name: str | None, key_hash: bytes
    ) -> None:
        """Take over the account of a request that another node has authenticated.

        :param account_name: empty if the request has no account, ``None`` if the other node has
            not authenticated it. Its headers are then those of the caller.
        :param key_hash: digest of the request's key, empty if there is none.
        :raises NotRunError: if the key is not valid according to this node's routing table and
            the other node's table is not newer.
        """
        if account_name is None:
            self.authenticate(proxied)
            return
        proxied.authenticated = True
        proxied.key_hash = key_hash
        account = ClientAccount(name=account_name, key_hashes=[]) if account_name else None
        index = self._get_index()
        if index is not None and index.requires_keys:
            account = index.find_account_by_hash(key_hash) or account
        # The name comes from the other node, also if both nodes have an account for the key: its
        # table may be newer. A newer table of this node is applied by the check.
        if account is not None and account.name != account_name:
            account = ClientAccount(name=account_name, key_hashes=[])
        self._set_account(proxied, account)
        self.check(proxied)

    def check(self, proxied: ProxiedRequest) -> None:
        """Check a request against a routing table that is newer than the request.

        Called before each time at which the request may be sent.

        :raises NotRunError: if the route needs a key and the newer table does not hold it.
        """
        index = self._get_index()
        if index is None or index.table.version <= proxied.table_version:
            return
        proxied.table_version = index.table.version
        if not index.requires_keys:
            return
        if not proxied.authenticated:
            # The request arrived before the first routing table that holds accounts.
            self.authenticate(proxied)
            return
        account = index.find_account_by_hash(proxied.key_hash)
        if account is None and not proxied.route.public:
            self._refuse(REASON_UNKNOWN_KEY)
        self._set_account(proxied, account)

    def _set_account(self, proxied: ProxiedRequest, account: ClientAccount | None) -> None:
        proxied.account = account
        proxied.fingerprint = b""
        # Headers that the caller declares as hop-by-hop are removed here, since the name of the
        # account must not be removed as one of them later.
        headers = CIMultiDict(
            strip_hop_by_hop_headers(proxied.headers, self._header_codec.account_headers)
        )
        if account is not None:
            headers.extend(self._header_codec.encode_account(account.name))
        proxied.headers = headers

    def _refuse(self, reason: str) -> t.NoReturn:
        self.refusal_counts[reason] += 1
        raise NotRunError(reason, 401)
