"""Idempotency keys, in the form ``<home incarnation>-<issue period>.<id set by the caller>``.

The home of a key is the entry process whose ledger holds it. The home counts issue periods of
:data:`~jasmineseam.requests.ledger.ISSUE_PERIOD_S` seconds since its start; a key contains the
number of the period in which its prefix was issued.
"""

from __future__ import annotations

import re

import msgspec

from ..exceptions import NotRunError

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
IDEMPOTENCY_KEY_PATTERN = re.compile(r"^([0-9a-f]{16})-([0-9]{1,9})\.([\x21-\x7e]{1,128})$")


class IdempotencyKey(msgspec.Struct, kw_only=True, frozen=True):
    """An idempotency key.

    :param home: incarnation of the entry process that issued the prefix of the key.
    :param period: number of the issue period, starting at 0.
    :param own_id: id set by the caller.
    """

    home: str
    period: int
    own_id: str


def build_key_prefix(home: str, period: int) -> str:
    """Return the prefix of a key, which callers extend by a dot and their own id."""
    return f"{home}-{period}"


def parse_idempotency_key(text: str) -> IdempotencyKey:
    """Parse a key.

    :raises NotRunError: if the key is malformed.

    >>> parse_idempotency_key("00000000000000ff-7.order-1").period
    7
    """
    match = IDEMPOTENCY_KEY_PATTERN.match(text)
    if match is None:
        raise NotRunError("idempotency-key-malformed", 400)
    return IdempotencyKey(home=match[1], period=int(match[2]), own_id=match[3])


def format_idempotency_key(key: IdempotencyKey) -> str:
    """Return the header value of a key."""
    return f"{build_key_prefix(key.home, key.period)}.{key.own_id}"
