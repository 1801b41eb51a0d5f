"""Authentication of requests by the keys of client accounts.

A key is replaced by its digest and the name of its account before the headers of a request reach
any other part of the node. The digest is looked up again whenever the request may be sent, so that
a key that a newer routing table removes is not accepted from then on.
"""

from __future__ import annotations

import collections
import time
import typing as t

import logbook
from multidict import CIMultiDict

from ..exceptions import NotRunError
from ..fleet.table_confirmation import TableConfirmation
from ..requests.headers import strip_hop_by_hop_headers
from ..requests.protocol import HeaderCodec
from ..routing.routes import ClientAccount
from ..routing.routes import RouteIndex
from ..routing.routes import hash_key
from .proxied_request import ProxiedRequest

REASON_NO_KEY = "no-key"
REASON_UNKNOWN_KEY = "unknown-key"
# An unknown key may be one that only a newer routing table holds.
REASON_OUTDATED = "configuration-outdated"
REASON_UNCONFIRMED = "configuration-unconfirmed"
# Retry-After time if this node can't confirm its routing table. A read of the store, or the next
# message of another node, usually confirms it within this time.
UNCONFIRMED_RETRY_AFTER_S = 1.0
LOG_INTERVAL_S = 10.0
_logger = logbook.Logger("accounts")


class Authenticator:
    """Decides which client account a request belongs to, and whether it is refused.

    Without client accounts in the routing table, requests and their headers are left as they are.

    :param header_codec: finds keys in headers and names accounts to servers.
    :param get_index: returns the current routes and accounts, ``None`` before the first routing
        table.
    """

    __slots__ = (
        "_confirmation",
        "_fail_closed",
        "_get_index",
        "_header_codec",
        "_logged_at",
        "_max_age_s",
        "refusal_counts",
    )

    def __init__(
        self, *, header_codec: HeaderCodec, get_index: t.Callable[[], RouteIndex | None]
    ) -> None:
        self._header_codec = header_codec
        self._get_index = get_index
        self._confirmation: TableConfirmation | None = None
        self._fail_closed = False
        self._max_age_s = 0.0
        # time of the last log line for each reason
        self._logged_at: dict[str, float] = {}
        # refused requests, by reason
        self.refusal_counts: collections.Counter[str] = collections.Counter()

    def set_freshness(
        self, confirmation: TableConfirmation, *, fail_closed: bool, max_age_s: float
    ) -> None:
        """Set how this node knows that its routing table is current.

        :param fail_closed: whether requests that need a key are refused if the table was not
            confirmed for *max_age_s*.
        :param max_age_s: 0 for as long as the table counts as current, in seconds.
        """
        self._confirmation = confirmation
        self._fail_closed = fail_closed
        self._max_age_s = max_age_s

    def get_table_age_s(self) -> float:
        """Return the time since this node's routing table was confirmed, in seconds."""
        return float("inf") if self._confirmation is None else self._confirmation.get_age_s()

    def log_removed_keys(self, old: RouteIndex | None, new: RouteIndex) -> None:
        """Log how many keys of which accounts a new routing table removes."""
        if old is None:
            return
        for account in old.table.accounts:
            removed = sum(new.find_account_by_hash(key) is None for key in account.key_hashes)
            if removed:
                _logger.info(
                    "Routing table {:08x} removes {} of {} keys of client account {}.",
                    new.table.version,
                    removed,
                    len(account.key_hashes),
                    account.name,
                )

    def authenticate(self, proxied: ProxiedRequest) -> None:
        """Find the account of a request, and remove the key from its headers.

        :raises NotRunError: if the route needs a key and the request has no valid one.
        """
        index = self._get_index()
        if index is None or not index.requires_keys:
            return
        relayed_by_newer = proxied.table_version > index.table.version
        key = self._header_codec.decode_key(proxied.headers)
        proxied.key_hash = b"" if key is None else hash_key(key)
        proxied.authenticated = True
        self._set_account(proxied, index.find_account_by_hash(proxied.key_hash))
        if proxied.route.public:
            return
        if key is None:
            self._refuse(proxied, REASON_NO_KEY)
        self._check_freshness(proxied)
        if proxied.account is None:
            self._refuse_unknown_key(proxied, outdated=relayed_by_newer)

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

        :raises NotRunError: if the route needs a key and the newer table does not hold it, or this
            node refuses all such requests because its table is not confirmed.
        """
        if proxied.account is not None and not proxied.route.public:
            self._check_freshness(proxied)
        index = self._get_index()
        if index is None:
            return
        # A complete table may replace a provisional one of the same version, which lacks accounts.
        must_authenticate = index.requires_keys and not proxied.authenticated
        if index.table.version <= proxied.table_version and not must_authenticate:
            return
        if must_authenticate:
            # The request arrived before the first routing table that holds accounts.
            self.authenticate(proxied)
        elif index.requires_keys:
            account = index.find_account_by_hash(proxied.key_hash)
            if account is None and not proxied.route.public:
                self._refuse_unknown_key(proxied)
            self._set_account(proxied, account)
        proxied.table_version = max(proxied.table_version, index.table.version)

    def _check_freshness(self, proxied: ProxiedRequest) -> None:
        if not self._fail_closed:
            return
        confirmation = self._confirmation
        if self._max_age_s > 0.0:
            confirmed = confirmation.get_age_s() <= self._max_age_s
        else:
            confirmed = confirmation.is_current()
        if not confirmed:
            self._refuse(proxied, REASON_UNCONFIRMED)

    def _refuse_unknown_key(
        self, proxied: ProxiedRequest, *, outdated: bool = False
    ) -> t.NoReturn:
        confirmation = self._confirmation
        if confirmation is not None and not confirmation.is_current():
            outdated = True
        self._refuse(proxied, REASON_OUTDATED if outdated else REASON_UNKNOWN_KEY)

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

    def _refuse(self, proxied: ProxiedRequest, reason: str) -> t.NoReturn:
        self.refusal_counts[reason] += 1
        if reason in (REASON_NO_KEY, REASON_UNKNOWN_KEY):
            raise NotRunError(reason, 401)
        now = time.monotonic()
        if now - self._logged_at.get(reason, float("-inf")) >= LOG_INTERVAL_S:
            self._logged_at[reason] = now
            _logger.warning(
                "Refusing request {} with 503 ({}): routing table {:08x} was not confirmed for "
                "{:.1f} s; {} requests refused so far.",
                proxied.head.request_id,
                reason,
                self._get_index().table.version,
                self.get_table_age_s(),
                self.refusal_counts[reason],
            )
        raise NotRunError(reason, 503, UNCONFIRMED_RETRY_AFTER_S)
