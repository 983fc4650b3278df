"""Decodes the client accounts of a configuration, which it calls tenants.

Keys must not reach a log: messages name an account and the field that is malformed,
never its value.
"""

import logging

from hemlockspoke.messages import fits_in_message
from hemlockspoke.tier.accounts.account import Account, AccountTable

logger = logging.getLogger(__name__)

ACCOUNTS_FIELD = "tenants"
UNREADABLE_NAME = "(no readable name)"
# Limit on names and keys, which are sent as headers.
MAX_TEXT_LENGTH = 1024
# Numbers up to this size are exact as floats.
MAX_NUMBER = 2**53


def relayable_accounts(spec, max_bytes):
    """Return a configuration in which each account can be sent to other daemons.

    Of one that cannot, only its name is kept, so that it counts as malformed there and
    the list does not become empty, which would end the check of keys.
    """
    accounts = spec.get(ACCOUNTS_FIELD) if isinstance(spec, dict) else None
    if not isinstance(accounts, list):
        return spec
    relayable = [
        item if fits_in_message(item, max_bytes) else {"name": readable_name(item)}
        for item in accounts
    ]
    return {**spec, ACCOUNTS_FIELD: relayable}


def decode_accounts(spec):
    """Return the ``AccountTable`` of a configuration; raises ``ValueError``.

    Each account is decoded on its own. A malformed one is logged and left out; requests
    need a key even if all are. Only a configuration without the field, or with an empty
    list, has no accounts. With any other value, also null, the whole configuration is
    malformed, so that the last good one stays in force: neither does a mistake of an
    operator end the check of keys, nor does it refuse every caller.
    """
    items = spec.get(ACCOUNTS_FIELD, [])
    if not isinstance(items, list):
        raise ValueError("the accounts are no list")
    decoded = [_decode_account(item) for item in items]
    table = AccountTable(filter(None, decoded), needs_keys=bool(items))
    for name, reason in table.omitted.items():
        logger.warning("conflicting account", extra={"account": name, "reason": reason})
    return table


def readable_name(item):
    """Return the name of an account for the log."""
    name = item.get("name") if isinstance(item, dict) else None
    return name if _is_header_text(name) else UNREADABLE_NAME


def _decode_account(item):
    """Return an ``Account`` and its keys, or None if it is malformed."""
    values = {}
    for field, read in _READERS.items():
        try:
            values[field] = read(item.get(field) if isinstance(item, dict) else None)
        except ValueError:
            logger.warning(
                "malformed account",
                extra={"account": readable_name(item), "field": field},
            )
            return None
    keys = values.pop("api_keys")
    regions = values.pop("allowed_regions")
    return Account(regions=regions, **values), keys


def _is_header_text(value):
    """Return whether a value is text that a header can contain unchanged.

    >>> _is_header_text("ralo620"), _is_header_text("a\\r\\nb"), _is_header_text(" a")
    (True, False, False)
    """
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        return False
    return value.isprintable() and value == value.strip()


def _text(value):
    if not _is_header_text(value):
        raise ValueError("not a text that a header can contain")
    return value


def _texts(value):
    if not isinstance(value, list):
        raise ValueError("not a list")
    return [_text(item) for item in value]


def _regions(value):
    return [] if value is None else _texts(value)


def _priority(value):
    if value is None:
        return None
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or not 0 <= value <= MAX_NUMBER:
        raise ValueError("not a priority")
    return value


def _quantity(value):
    if value is None:
        return 0.0
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise ValueError("not a number")
    # NaN and infinity are beyond the limits as well.
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError("not a quantity")
    return float(value)


# Functions that return the value of a field, or raise ``ValueError``.
_READERS = {
    "name": _text,
    "api_keys": _texts,
    "priority": _priority,
    "rate_per_s": _quantity,
    "burst": _quantity,
    "allowed_regions": _regions,
}
