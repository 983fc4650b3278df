"""The quotas of the configuration in force, and this daemon's parts of them.

The load that it answers: configurations that raise, lower or remove quotas, which
daemons apply at different times.
"""

from hemlockspoke.tier.quotas.plan import QuotaPlan, token_age_ms

# Start tokens are used within this time after the start was written to the store, or
# not at all.
START_USE_MS = 2000.0


class _Hold:
    """The greatest part that a daemon may have until a time."""

    __slots__ = ("part", "until_ms")

    def __init__(self, part, until_ms):
        self.part = part
        self.until_ms = until_ms


class QuotaTable:
    """Accounts with a quota, their plans, and the parts that the tenure allows.

    If a configuration increases one part of a plan and decreases another one, or
    divides it among another number of keepers, daemons with the old and the new one
    could together exceed both. The increase then waits until all have applied it and
    the window of the old one is over. A quota that only rises takes effect at once.
    """

    __slots__ = ("_accounts", "_bounds", "_holds", "_plans", "_removed_ms", "tenure")

    def __init__(self, bounds, tenure):
        self._bounds = bounds
        self.tenure = tenure
        # None until the first configuration.
        self._accounts = None
        self._plans = {}
        self._holds = {}
        # When a quota was removed, until its tokens count in no window any more.
        self._removed_ms = {}

    def names(self):
        """Return the names of the accounts with a quota."""
        return list(self._accounts or ())

    def has(self, name):
        """Return whether an account has a quota."""
        return self._accounts is not None and name in self._accounts

    def hold_ms(self):
        """Return for how long a configuration may differ between daemons, with its
        window."""
        bounds = self._bounds
        return bounds.config_apply_ms + bounds.quota_window_ms + self._age_ms()

    def _age_ms(self):
        bounds = self._bounds
        return token_age_ms(bounds.quota_window_ms, bounds.quota_overshoot)

    def start_hold_ms(self):
        """Return the least time between two uses of start tokens by one VM.

        A use may follow its time in the store by ``START_USE_MS``, and loans of the
        process before count for up to a token's age.
        """
        return self.hold_ms() + START_USE_MS + self._age_ms()

    def plan(self, name, domain_count=None):
        """Return the plan of an account for a number of failure domains."""
        if domain_count is None:
            domain_count = self.tenure.domain_count()
        key = (name, domain_count)
        if key not in self._plans:
            account = self._accounts[name]
            self._plans[key] = QuotaPlan.from_config(
                account, domain_count, self._bounds
            )
        return self._plans[key]

    def part(self, name, now_ms):
        """Return the tokens a second that this daemon creates, and its capacity."""
        rate_per_s, capacity = self.tenure.part(
            name, lambda count: self.plan(name, count), now_ms
        )
        hold = self._holds.get(name)
        if hold is not None:
            if now_ms < hold.until_ms:
                return min(rate_per_s, hold.part[0]), min(capacity, hold.part[1])
            del self._holds[name]
        return rate_per_s, capacity

    def start_tokens(self, name, now_ms):
        """Return how many tokens this daemon may begin with after a restart."""
        if name in self._holds:
            return 0
        return self.tenure.start_tokens(
            name, lambda count: self.plan(name, count), now_ms
        )

    def set_accounts(self, accounts, starts_full, now_ms):
        """Set the accounts by name; return the names whose buckets may start full.

        Those of the first configuration may only with ``starts_full``, as an earlier
        process may have spent their tokens.
        """
        first = self._accounts is None
        previous = self._accounts or {}
        before = {
            name: (self.plan(name), self.part(name, now_ms))
            for name in previous
            if name in accounts
        }
        horizon_ms = now_ms - self.hold_ms()
        self._removed_ms = {
            name: removed_ms
            for name, removed_ms in self._removed_ms.items()
            if removed_ms > horizon_ms
        }
        full = {
            name
            for name in accounts
            if name not in previous and name not in self._removed_ms
        }
        if first and not starts_full:
            full = set()
        for name in previous:
            if name not in accounts:
                self._removed_ms[name] = now_ms
                self._holds.pop(name, None)
        self._accounts = dict(accounts)
        self._plans.clear()
        self.tenure.forget_plans()
        for name, (plan, part) in before.items():
            if not plan.grows_to(self.plan(name)):
                self._holds[name] = _Hold(part, now_ms + self.hold_ms())
        return full
