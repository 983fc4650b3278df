"""How long a daemon has been keeper of an account, as lists of daemons may differ.

The load that it answers: daemons that are added, removed or restarted while others
read the store late or not at all.
"""

from collections import deque

from hemlockspoke.tier.quotas.plan import token_age_ms

# A daemon whose list is older creates no tokens, and one that becomes keeper of an
# account waits for longer. So two never create the same part of a quota, even if one
# of them does not reach the store. The time must outlast outages of the store.
LIST_LEASE_MS = 570_000.0
NEW_KEEPER_WAIT_MS = 600_000.0
# Wall clocks of daemons may differ by this much together with delays of timers. Where
# daemons that become old change the keepers, the next one creates tokens only after
# that, as the one before may have stopped only then.
CLOCK_MARGIN_MS = 15_000.0
MIN_CHANGE_WAIT_MS = 30_000.0
# If parts depend on the wall clock, they are calculated anew at least so often, as that
# clock may be set.
RECHECK_MS = 5000.0
# At the first start of the system no tokens have been spent, and all daemons register
# within a fraction of a second. Those that register later are in the second list.
FIRST_START_WAIT_MS = 2000.0
FIRST_LISTS_MS = 15_000.0
# A list is read every 8 s at least, and each may differ from the one before.
MAX_SCHEDULES = 100


class Tenure:
    """The keeper schedules that this daemon has used within ``NEW_KEEPER_WAIT_MS``.

    Its part of a quota is the least that any of them gives it, now and within the last
    ``change_wait_ms``. So a greater part takes effect once all daemons have the new
    list, or have stopped creating tokens. ``plan_of(domain_count)`` is the
    ``QuotaPlan`` of an account.
    """

    __slots__ = (
        "_blocked_until_ms",
        "_cache",
        "_configured_domain_count",
        "_domain",
        "_first_lists_until_ms",
        "_first_start",
        "_listed_ms",
        "_old_from_ms",
        "_schedules",
        "_vm",
        "_wall_ms",
        "change_wait_ms",
    )

    def __init__(self, settings, wall_ms):
        self._vm = settings.vm
        self._domain = settings.failure_domain
        self._configured_domain_count = len(settings.failure_domains)
        self._first_start = settings.first_start
        self._wall_ms = wall_ms
        # Tokens of the keeper before count until the end of their window.
        bounds = settings.bounds
        age_ms = token_age_ms(bounds.quota_window_ms, bounds.quota_overshoot)
        self.change_wait_ms = max(
            MIN_CHANGE_WAIT_MS, CLOCK_MARGIN_MS + bounds.quota_window_ms + age_ms
        )
        self._first_lists_until_ms = 0.0
        self._blocked_until_ms = 0.0
        self._listed_ms = None
        # Wall-clock time from which this daemon is not recent.
        self._old_from_ms = float("-inf")
        # Pairs of a schedule and the time until which it was in force.
        self._schedules = deque()
        self._cache = {}

    @property
    def current(self):
        """The ``KeeperMap`` in force, or None."""
        if not self._schedules:
            return None
        return self._schedules[-1][0].map_at(self._wall_ms())

    def domain_count(self):
        """Return how many failure domains share the quotas."""
        return self._schedules[-1][0].domain_count() if self._schedules else 1

    def maps_around(self):
        """Return the maps of the newest list that are in force about now."""
        if not self._schedules:
            return []
        wall_ms, wait_ms = self._wall_ms(), self.change_wait_ms
        return self._schedules[-1][0].maps_between(wall_ms - wait_ms, wall_ms + wait_ms)

    def next_change_ms(self):
        """Return in how many ms the newest list changes the keepers, or None."""
        if not self._schedules:
            return None
        wall_ms = self._wall_ms()
        change_ms = self._schedules[-1][0].next_change_ms(wall_ms)
        return None if change_ms is None else change_ms - wall_ms

    def set_schedule(self, schedule, was_registered, old_from_ms, now_ms):
        """Note a list that was read; return whether it differs from the one before.

        ``was_registered`` is whether the list had this daemon, and ``old_from_ms``
        the wall-clock time from which this daemon is not recent.
        """
        if self._listed_ms is None:
            if self._first_start:
                self._blocked_until_ms = now_ms + FIRST_START_WAIT_MS
                self._first_lists_until_ms = now_ms + FIRST_LISTS_MS
        elif now_ms - self._listed_ms > LIST_LEASE_MS:
            # Others may have created this daemon's part in the meantime.
            self._blocked_until_ms = now_ms + NEW_KEEPER_WAIT_MS
        if not was_registered and now_ms >= self._first_lists_until_ms:
            # To others this daemon is no keeper.
            self._blocked_until_ms = now_ms + NEW_KEEPER_WAIT_MS
        self._listed_ms = now_ms
        self._old_from_ms = old_from_ms
        self._cache.clear()
        if self._schedules and self._schedules[-1][0] == schedule:
            return False
        if self._schedules:
            self._schedules[-1] = (self._schedules[-1][0], now_ms)
        self._schedules.append((schedule, None))
        self._remove_old(now_ms)
        return True

    def _remove_old(self, now_ms):
        while len(self._schedules) > 1:
            until_ms = self._schedules[0][1] + NEW_KEEPER_WAIT_MS
            if until_ms > now_ms and len(self._schedules) <= MAX_SCHEDULES:
                return
            self._blocked_until_ms = max(self._blocked_until_ms, until_ms)
            self._schedules.popleft()

    def forget_plans(self):
        """Note that the plans of the accounts have changed."""
        self._cache.clear()

    def part(self, account, plan_of, now_ms):
        """Return the tokens a second that this daemon creates, and its capacity."""
        return self._valid(account, plan_of, now_ms)[1:3]

    def start_tokens(self, account, plan_of, now_ms):
        """Return how many tokens this daemon may begin with after a restart."""
        return self._valid(account, plan_of, now_ms)[3]

    def _valid(self, account, plan_of, now_ms):
        cached = self._cache.get(account)
        if cached is None or now_ms >= cached[0]:
            cached = self._cache[account] = self._calculate(account, plan_of, now_ms)
        return cached

    def _calculate(self, account, plan_of, now_ms):
        """Return until when the part is valid, the part, and the start tokens."""
        if self._listed_ms is None:
            return (now_ms, 0.0, 0.0, 0)
        lease_end_ms = self._listed_ms + LIST_LEASE_MS
        if now_ms >= lease_end_ms:
            return (float("inf"), 0.0, 0.0, 0)
        self._remove_old(now_ms)
        if now_ms < self._blocked_until_ms:
            return (self._blocked_until_ms, 0.0, 0.0, 0)
        wall_ms = self._wall_ms()
        since_ms = wall_ms - self.change_wait_ms
        if since_ms < self._old_from_ms:
            return (now_ms + RECHECK_MS, 0.0, 0.0, 0)
        valid_ms = lease_end_ms
        plans = []
        for schedule, until_ms in self._schedules:
            for from_ms, wait_ms in ((since_ms, self.change_wait_ms), (wall_ms, 0.0)):
                change_ms = schedule.next_change_ms(from_ms)
                if change_ms is not None:
                    left_ms = min(RECHECK_MS, change_ms + wait_ms - wall_ms)
                    valid_ms = min(valid_ms, now_ms + left_ms)
            count = schedule.domain_count()
            if now_ms < self._first_lists_until_ms:
                valid_ms = min(valid_ms, self._first_lists_until_ms)
                count = max(count, self._configured_domain_count)
            if until_ms is not None:
                valid_ms = min(valid_ms, until_ms + NEW_KEEPER_WAIT_MS)
            plan = plan_of(count)
            for keeper_map in schedule.maps_between(since_ms, wall_ms):
                if not keeper_map.creates(
                    self._vm, self._domain, account, plan.creator_count
                ):
                    return (valid_ms, 0.0, 0.0, 0)
            plans.append(plan)
        return (
            valid_ms,
            min(plan.rate_per_s for plan in plans),
            min(plan.capacity for plan in plans),
            min(plan.start_tokens for plan in plans),
        )
