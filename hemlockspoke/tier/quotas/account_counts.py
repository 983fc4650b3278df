"""Requests of client accounts with a quota at one daemon, counted for the metrics.

Answers the load of one look-up for each request. The number of accounts is that of the
configuration, so only the first ones are told apart.
"""

# Limit on the accounts that the metrics name; the others are one sum.
MAX_NAMED_ACCOUNTS = 200
# Label of that sum. An account with this name is counted in it.
OTHER = "other"
# Limit on the reasons of an account, of which the program has four.
MAX_REASONS = 8


class AccountCounts:
    """Requests of one account: those that got a token, and refusals by reason.

    ``waited`` counts the requests that got theirs after ``wait_ms`` in all.
    """

    __slots__ = ("admitted", "refused", "wait_ms", "waited")

    def __init__(self):
        self.admitted = 0
        self.waited = 0
        self.wait_ms = 0.0
        self.refused = {}

    def admit(self, waited_ms):
        """Count a request that got a token."""
        self.admitted += 1
        if waited_ms > 0.0:
            self.waited += 1
            self.wait_ms += waited_ms

    def refuse(self, reason, count=1):
        """Count refusals."""
        if reason not in self.refused and len(self.refused) >= MAX_REASONS:
            reason = OTHER
        self.refused[reason] = self.refused.get(reason, 0) + count

    def add(self, counts):
        """Add the counts of another account."""
        self.admitted += counts.admitted
        self.waited += counts.waited
        self.wait_ms += counts.wait_ms
        for reason, count in counts.refused.items():
            self.refuse(reason, count)


class CountsByAccount:
    """The counts of the accounts with a quota, by name up to a limit.

    The first ``MAX_NAMED_ACCOUNTS`` of the configuration are named, so that all daemons
    name the same ones.
    """

    __slots__ = ("_accounts", "_by_name", "_other")

    def __init__(self):
        self._accounts = {}
        self._by_name = {}
        self._other = AccountCounts()

    def set_accounts(self, accounts):
        """Set the ``Account`` objects with a quota, by name.

        What was counted for an account that is not named any more is added to the sum
        of the others, as a counter may not fall.
        """
        names = [name for name in accounts if name != OTHER][:MAX_NAMED_ACCOUNTS]
        before, self._by_name = self._by_name, {}
        for name in names:
            self._by_name[name] = before.pop(name, None) or AccountCounts()
        for counts in before.values():
            self._other.add(counts)
        if not accounts:
            self._other = AccountCounts()
        self._accounts = accounts

    def of(self, name):
        """Return the ``AccountCounts`` of an account, or those of the others."""
        return self._by_name.get(name, self._other)

    def samples(self):
        """Return names, labels and values of metrics; none without accounts."""
        samples = []
        for name, counts in self._by_name.items():
            account = self._accounts[name]
            labels = (("account", name),)
            samples.append(("account_quota_rate_per_s", labels, account.rate_per_s))
            samples.append(("account_quota_burst", labels, account.burst))
            samples += _count_samples(labels, counts)
        if len(self._by_name) < len(self._accounts) or _is_used(self._other):
            samples += _count_samples((("account", OTHER),), self._other)
        return samples


def _is_used(counts):
    return bool(counts.admitted or counts.refused)


def _count_samples(labels, counts):
    samples = [
        ("account_admitted_total", labels, counts.admitted),
        ("account_waited_total", labels, counts.waited),
        ("account_wait_ms_total", labels, round(counts.wait_ms, 1)),
    ]
    for reason, count in counts.refused.items():
        samples.append(("account_refused_total", (*labels, ("reason", reason)), count))
    return samples
