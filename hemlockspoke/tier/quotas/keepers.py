"""Who keeps the tokens of an account, as a function of the registered daemons.

The load that it answers: thousands of daemons, which must agree without messages.
"""

from hemlockspoke.rendezvous import rank

# Hubs of a failure domain that are keepers: few, as they keep streams to those of all
# other domains, and enough that the loss of one concerns few accounts.
MIN_KEEPERS = 4
KEEPER_FRACTION = 0.05
RANK_KEY = "accounts"


def domain_keepers(hubs, daemon_count):
    """Return the VMs of a failure domain's keepers, given its hubs.

    >>> len(domain_keepers(["e1", "e2"], 2)), len(domain_keepers(list("abcdef"), 30))
    (2, 4)
    """
    count = max(MIN_KEEPERS, int(KEEPER_FRACTION * daemon_count))
    return rank(RANK_KEY, hubs)[:count]


class KeeperMap:
    """The keepers of each failure domain, as a tuple of VMs by domain."""

    __slots__ = ("_domains_by_rank", "_keepers", "_ranked")

    def __init__(self, keepers_by_domain):
        self._keepers = keepers_by_domain
        # Keepers of a domain by rank for an account, as each request needs them, and
        # the domains by rank for it.
        self._ranked = {}
        self._domains_by_rank = {}

    def __eq__(self, other):
        return isinstance(other, KeeperMap) and self._keepers == other._keepers

    __hash__ = None

    def domains(self):
        """Return the failure domains with registered daemons."""
        return list(self._keepers)

    def keepers(self, domain):
        """Return the VMs of a failure domain's keepers."""
        return self._keepers.get(domain, ())

    def ranked(self, account, domain):
        """Return a failure domain's keepers, the keeper of the account first."""
        key = (account, domain)
        if key not in self._ranked:
            self._ranked[key] = rank(account, self.keepers(domain))
        return self._ranked[key]

    def creates(self, vm, domain, account, creator_count):
        """Return whether a daemon is one of the account's creators of tokens."""
        if vm not in self.keepers(domain) or self.ranked(account, domain)[0] != vm:
            return False
        if account not in self._domains_by_rank:
            self._domains_by_rank[account] = rank(account, self.domains())
        return domain in self._domains_by_rank[account][:creator_count]
