"""Client accounts of one version of the configuration, and their keys."""


class Account:
    """A client account.

    ``priority`` takes precedence over that of a route; it is None if the account has
    none, and 0 is the most urgent. The quota is ``rate_per_s`` requests a second and
    ``burst`` requests at once; a rate of 0 means no limit. ``regions`` is empty if
    servers of any region may serve the account.

    An account does not contain its keys, so that they cannot reach a log with it.
    """

    __slots__ = ("burst", "name", "priority", "rate_per_s", "regions")

    def __init__(self, name, priority=None, rate_per_s=0.0, burst=0.0, regions=()):
        self.name = name
        self.priority = priority
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.regions = frozenset(regions)

    def __repr__(self):
        return f"Account({self.name!r})"


class AccountTable:
    """The accounts of a configuration by name and by key.

    ``accounts`` has pairs of an ``Account`` and its keys as text. If two accounts have
    the same name, the first one counts and the other is left out with its keys. A key
    of two accounts belongs to the first one; a key moves when a configuration lists it
    for the other account only. ``omitted`` maps the name of each account concerned to
    what was left out of it, for the log.

    The table is true if requests need a key. That is so if the configuration has
    accounts, even if all of them are malformed: ``needs_keys`` says it then.

    >>> table = AccountTable([(Account("ralo620"), ["k1"]), (Account("tyrn1"), ["k1"])])
    >>> table.by_key(b"k1"), table.by_key("k2"), table.names()
    (Account('ralo620'), None, ['ralo620', 'tyrn1'])
    >>> bool(table), bool(AccountTable()), bool(AccountTable(needs_keys=True))
    (True, False, True)
    """

    __slots__ = ("_by_key", "_by_name", "_needs_keys", "omitted")

    def __init__(self, accounts=(), needs_keys=False):
        self._by_name = {}
        self._by_key = {}
        self.omitted = {}
        for account, keys in accounts:
            if account.name in self._by_name:
                self.omitted[account.name] = "another account has the same name"
                continue
            self._by_name[account.name] = account
            for key in keys:
                owner = self._by_key.setdefault(key.encode(), account)
                if owner is not account:
                    self.omitted[account.name] = f"a key belongs to {owner.name}"
        self._needs_keys = needs_keys or bool(self._by_name)

    def __bool__(self):
        return self._needs_keys

    def __repr__(self):
        return f"AccountTable({len(self._by_name)} accounts)"

    def by_key(self, key):
        """Return the account with a key in bytes or text, or None."""
        if isinstance(key, str):
            # Lone surrogates, which no key contains, must not raise an exception.
            key = key.encode(errors="surrogatepass")
        return self._by_key.get(key)

    def by_name(self, name):
        """Return the account with a name, or None."""
        return self._by_name.get(name)

    def names(self):
        """Return the names of all accounts, in the order of the configuration."""
        return list(self._by_name)
