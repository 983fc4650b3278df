"""The keeper of one account: creates, lends and grants tokens.

The load that it answers: daemons of its failure domain that ask for tokens at once, and
keepers of other domains that need more than they create.
"""

import math
from collections import deque

from hemlockspoke.tier.quotas.bucket import TokenBucket
from hemlockspoke.tier.quotas.demand import DemandEstimate
from hemlockspoke.tier.quotas.expiring_tokens import ExpiringTokens
from hemlockspoke.tier.quotas.lenders import Lenders

# Questions of daemons that wait for tokens of other keepers. Each daemon has a few, so
# a domain of 400 daemons reaches it only if daemons repeat them without end.
MAX_WAITING = 2000
MAX_COUNT = 1000
# A question waits at most this long, a little more than a round trip between regions.
MAX_WAIT_MS = 50.0
# A keeper asks ahead of demand when it has less than the first, up to the second. If
# there is any demand to speak of, it wants a stock that serves the requests that come
# before another region answers: two tokens, but at most half of its bucket.
LOW_STOCK_MS = 100.0
FULL_STOCK_MS = 150.0
MIN_DEMAND_PER_S = 0.05
MIN_STOCK_TOKENS = 2.0
MIN_STOCK_FRACTION = 0.5
# What a keeper does not lend: its own demand of this time, but at most this fraction;
# and half as much again if no request of the borrower waits.
RESERVE_MS = 100.0
RESERVE_FRACTION = 0.5
AHEAD_RESERVE_FACTOR = 1.5
# Least and greatest time that a refused caller is told to wait.
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 5000.0
# Time after which a daemon or keeper may ask one again that has no tokens.
MIN_EMPTY_MS = 5.0
MAX_EMPTY_MS = 1000.0


class _Question:
    """A question of a daemon that waits, with the tokens set aside for it."""

    __slots__ = ("ask_id", "count", "expires_ms", "taken", "vm")

    def __init__(self, vm, ask_id, count, taken, expires_ms):
        self.vm = vm
        self.ask_id = ask_id
        self.count = count
        self.taken = taken
        self.expires_ms = expires_ms


class AccountKeeper:
    """Tokens of one account at a keeper.

    ``outbox`` sends: ``grant(vm, account, ask_id, count, left, empty_ms,
    retry_after_ms, lend)`` and ``ask_lender(vm, account, ask_id, count,
    urgent)``; ``lender_groups(account)`` lists the lenders that can be reached.
    """

    __slots__ = (
        "_borrowed",
        "_bucket",
        "_demand",
        "_lenders",
        "_next_ask_id",
        "_outbox",
        "_plan",
        "_rng",
        "_waiting",
        "name",
    )

    def __init__(self, name, plan, part, tokens, outbox, rng, now_ms):
        self.name = name
        self._plan = plan
        self._outbox = outbox
        self._rng = rng
        rate_per_s, capacity = part
        self._bucket = TokenBucket(capacity, rate_per_s, tokens, now_ms)
        self._borrowed = ExpiringTokens()
        self._demand = DemandEstimate()
        self._lenders = Lenders()
        self._waiting = deque()
        self._next_ask_id = 0

    def set_part(self, plan, part, now_ms):
        """Set the plan of the account and this keeper's part of it."""
        if plan is not self._plan:
            self._plan = plan
            # Lent under a quota that may have been higher.
            self._borrowed.clear()
        rate_per_s, capacity = part
        self._bucket.set_limits(capacity, rate_per_s, now_ms)

    def fill(self, now_ms):
        """Fill the bucket, of which nothing has been spent."""
        self._bucket.fill(now_ms)

    def add_start_tokens(self, count, now_ms):
        """Add tokens with which a restarted keeper begins."""
        self._bucket.add(count, now_ms)
        self._serve(now_ms)

    def request(self, vm, ask_id, count, now_ms):
        """Answer a daemon of this failure domain, now or when lenders have answered."""
        count = min(count, MAX_COUNT)
        self._demand.record(count, now_ms)
        taken = 0
        if not self._waiting:
            taken = self._take(count, now_ms)
        question = _Question(vm, ask_id, count, taken, now_ms + MAX_WAIT_MS)
        if taken == count or len(self._waiting) >= MAX_WAITING:
            self._answer(question, now_ms)
        else:
            self._waiting.append(question)
        self._ask_lenders(now_ms)
        self._refuse_if_none_comes(now_ms)

    def lend(self, vm, ask_id, count, urgent, now_ms):
        """Answer a keeper of another failure domain at once."""
        available = allowed = 0
        if not self._waiting:
            available = self._lendable(now_ms)
            allowed = available if urgent else min(available, self._spare(now_ms))
        until_ms = now_ms + self._plan.lent_ms
        taken = self._bucket.lend(min(count, allowed), now_ms, until_ms)
        empty_ms = 0.0 if taken == count else self._empty_ms(now_ms)
        self._outbox.grant(
            vm, self.name, ask_id, taken, available - taken, empty_ms, 0.0, True
        )

    def lent(self, vm, ask_id, count, left, empty_ms, now_ms):
        """Add the tokens that a lender has given; return how many count."""
        answer = self._lenders.answered(vm, ask_id, count, left, empty_ms, now_ms)
        if answer is None:
            return 0
        count, asked_ms = answer
        # The tokens were created after they had been asked for.
        expires_ms = asked_ms + self._plan.lent_ms
        usable = count if now_ms < expires_ms else 0
        added = self._bucket.add(usable, now_ms)
        self._borrowed.add(usable - added, expires_ms)
        self._serve(now_ms)
        return usable

    def lender_lost(self, vm, now_ms):
        """Go on without a lender whose stream is lost."""
        self._lenders.lost(vm)
        self._serve(now_ms)

    def check_waiting(self, now_ms):
        """Answer the questions that have waited for long enough."""
        self._lenders.expire(now_ms)
        while self._waiting and self._waiting[0].expires_ms <= now_ms:
            self._answer(self._waiting.popleft(), now_ms)
        self._serve(now_ms)

    def next_check_ms(self):
        """Return when ``check_waiting`` is due, or None."""
        return self._waiting[0].expires_ms if self._waiting else None

    def _take(self, count, now_ms):
        """Take tokens, borrowed ones first, as they expire."""
        borrowed = len(self._borrowed.take(count, now_ms))
        return borrowed + self._bucket.take(count - borrowed, now_ms)

    def _lendable(self, now_ms):
        level = self._bucket.level(now_ms)
        reserve = self._demand.per_s(now_ms) * RESERVE_MS / 1000.0
        return max(0, math.floor(level - min(reserve, RESERVE_FRACTION * level)))

    def _spare(self, now_ms):
        """Return how many tokens this keeper does not need for its next requests."""
        demand_per_s = self._demand.per_s(now_ms)
        reserve = AHEAD_RESERVE_FACTOR * demand_per_s * FULL_STOCK_MS / 1000.0
        # Keepers that lent below that would ask each other in turn.
        reserve = max(self._min_stock(demand_per_s), reserve)
        return max(0, math.floor(self._bucket.level(now_ms) - reserve))

    def _serve(self, now_ms):
        while self._waiting:
            question = self._waiting[0]
            question.taken += self._take(question.count - question.taken, now_ms)
            if question.taken < question.count:
                break
            self._answer(self._waiting.popleft(), now_ms)
        self._ask_lenders(now_ms)
        self._refuse_if_none_comes(now_ms)

    def _refuse_if_none_comes(self, now_ms):
        if self._waiting and not self._lenders.expected():
            waiting, self._waiting = self._waiting, deque()
            for question in waiting:
                self._answer(question, now_ms)

    def _ask_lenders(self, now_ms):
        """Ask for what waiting questions lack, and for what will be needed soon."""
        self._lenders.expire(now_ms)
        missing = sum(item.count - item.taken for item in self._waiting)
        stock = self._bucket.level(now_ms) + self._borrowed.count(now_ms)
        stock += self._lenders.expected() - missing
        self._ask_for(math.ceil(-stock), now_ms, urgent=True)
        demand_per_s = self._demand.per_s(now_ms)
        low, full = (demand_per_s * ms / 1000.0 for ms in (LOW_STOCK_MS, FULL_STOCK_MS))
        min_stock = self._min_stock(demand_per_s)
        low, full = max(min_stock, low), max(min_stock, full)
        if 0.0 <= stock < low:
            self._ask_for(math.ceil(full - stock), now_ms, urgent=False)

    def _min_stock(self, demand_per_s):
        """Return how many tokens this keeper wants to have for its next requests."""
        if demand_per_s < MIN_DEMAND_PER_S:
            return 0.0
        return max(1.0, min(MIN_STOCK_TOKENS, MIN_STOCK_FRACTION * self._plan.capacity))

    def _ask_for(self, missing, now_ms, urgent):
        if missing < 1:
            return
        groups = self._outbox.lender_groups(self.name)
        plan = self._plan
        for vm, count in self._lenders.choose(
            groups,
            min(missing, MAX_COUNT),
            plan.rate_per_s,
            plan.capacity,
            now_ms,
            urgent,
        ):
            self._next_ask_id += 1
            self._lenders.asked(vm, self._next_ask_id, count, now_ms)
            self._outbox.ask_lender(vm, self.name, self._next_ask_id, count, urgent)

    def _empty_ms(self, now_ms):
        next_ms = self._bucket.next_token_ms(now_ms)
        if next_ms is None:
            return MAX_EMPTY_MS
        return min(MAX_EMPTY_MS, max(MIN_EMPTY_MS, next_ms))

    def _answer(self, question, now_ms):
        missing = question.count - question.taken
        empty_ms = self._empty_ms(now_ms) if missing else 0.0
        retry_after_ms = self._retry_after_ms(now_ms) if missing else 0.0
        self._outbox.grant(
            question.vm,
            self.name,
            question.ask_id,
            question.taken,
            0,
            empty_ms,
            retry_after_ms,
            False,
        )

    def _retry_after_ms(self, now_ms):
        """Return when a refused caller finds a token, spread over all of them."""
        rate_per_s = self._plan.rate_per_s
        if rate_per_s <= 0.0:
            return MAX_RETRY_AFTER_MS
        refused_per_s = max(0.0, self._demand.per_s(now_ms) - rate_per_s)
        longest_ms = 1000.0 * (1.0 + refused_per_s) / rate_per_s
        retry_after_ms = self._rng.uniform(0.5, 1.0) * longest_ms
        return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, retry_after_ms))
