"""Sends the sub-queries of one query and keeps those that are unanswered."""

from collections import deque

from hemlockspoke.messages import Cancel, SubQueryBatch, SubStatus
from hemlockspoke.queries.fanout import SubQuery, choose_hedge_route, choose_route

# Wait for a token of the extra-load budget before the next look.
TOKEN_WAIT_MS = 10.0
NOT_REACHED = frozenset({SubStatus.REFUSED, SubStatus.UNREACHABLE})


class Dispatch:
    """Routes, sends, charges and cancels the sub-queries of one query.

    Groups that found no route or no token are left in ``stuck`` for the owner.
    """

    __slots__ = (
        "_budget",
        "_denied",
        "_engine",
        "_last_sub_id",
        "_query",
        "_salt",
        "earns",
        "end_ms",
        "hedged",
        "merge",
        "plan",
        "retried",
        "stuck",
        "subs",
        "unhedged",
    )

    def __init__(self, engine, query, end_ms):
        self._engine = engine
        self._query = query
        self._budget = engine.budget(query.request.service)
        self._salt = engine.rng.getrandbits(16)
        self._denied = []
        self._last_sub_id = 0
        self.end_ms = end_ms
        self.plan = None
        self.merge = None
        self.subs = {}
        self.unhedged = deque()
        self.stuck = []
        self.hedged = 0
        self.retried = 0
        self.earns = True

    def begin(self, plan, merge):
        """Turn to a version; what is under way for another is cancelled."""
        self.cancel(list(self.subs.values()))
        self.unhedged.clear()
        # A restarted query sends its primaries twice but earns once.
        self.earns = self.plan is None
        self.plan = plan
        self.merge = merge

    def send(self, groups):
        """Send the open parts of groups, each on its best route."""
        self._send(groups, choose_route, self._budget.take_for_retry)

    def hedge(self, groups):
        """Send the open parts of groups to a second replica.

        Returns the groups for which the budget had no token.
        """
        self._denied = []
        self._send(groups, choose_hedge_route, self._budget.take_for_hedge)
        return self._denied

    def lose(self, sub, status, retry):
        """Take a sub-query that has failed; groups to retry go into ``retry``."""
        self.remove(sub)
        reached = status not in NOT_REACHED
        if reached:
            self.earn(sub)
        elif sub.paid:
            self._budget.refund()
        for group in sub.groups:
            group.end(sub, reached)
            if group.closed:
                continue
            group.note_failure(sub.route.server, status)
            if not group.running:
                retry.append(group)
            elif not reached and group.running[0].hedged:
                # Its hedge has reached no upstream, so another one may.
                self.unhedged.appendleft(group.running[0])

    def earn(self, sub):
        """Add what a sub-query that reached an upstream earns."""
        if self.earns and not sub.paid:
            self._budget.earn(self._query.policy.extra_load_ratio)

    def remove(self, sub):
        """Forget a sub-query that has ended."""
        del self.subs[sub.sub_id]
        sub.route.end()

    def cancel(self, subs):
        """Cancel sub-queries whose answers are no longer needed."""
        by_holder = {}
        for sub in subs:
            self.remove(sub)
            for group in sub.groups:
                group.end(sub, reached=True)
            by_holder.setdefault(sub.route.holder, []).append(sub.sub_id)
        for holder, sub_ids in by_holder.items():
            cancel = Cancel(request_id=self._query.request_id, sub_ids=sub_ids)
            self._engine.send(holder, cancel)

    def _send(self, groups, choose, pay):
        # A batch that cannot be sent is known at once, so its groups move on.
        while groups:
            assigned = {}
            for group in groups:
                self._assign(group, assigned, choose, pay)
            groups = self._transmit(assigned.values(), choose is choose_hedge_route)

    def _assign(self, group, assigned, choose, pay):
        routes_of = self._routes_now if group.sends else self._engine.router.routes
        route = choose(group, routes_of, self._salt)
        if route is None:
            self._leave_stuck(group)
            return
        sub = assigned.get(route) or SubQuery(route)
        if group.charged and not sub.paid:
            sub.paid = pay()
            if not sub.paid:
                self._denied.append(group)
                self._leave_stuck(group, self._engine.clock.now_ms() + TOKEN_WAIT_MS)
                return
        if not sub.groups:
            assigned[route] = sub
            route.begin()
        parts = group.group.parts
        sub.add(group, self.merge.missing_of(group.group) if group.sends else parts)
        group.begin(sub)

    def _routes_now(self, server):
        router = self._engine.router
        usable = router.usable(self._query.request.service, server)
        return router.routes(server) if usable else ()

    def _leave_stuck(self, group, retry_at_ms=None):
        # A group with a sub-query under way only goes without its hedge.
        if not group.running:
            group.retry_at_ms = retry_at_ms
            self.stuck.append(group)

    def _transmit(self, subs, hedge):
        now_ms = self._engine.clock.now_ms()
        by_holder = {}
        for sub in subs:
            self._last_sub_id += 1
            sub.sub_id = self._last_sub_id
            sub.sent_ms = now_ms
            self.subs[sub.sub_id] = sub
            by_holder.setdefault(sub.route.holder, []).append(sub)
        unsent = []
        for holder, batch in by_holder.items():
            if self._engine.send(holder, self._batch(batch, now_ms)):
                self._note_sent(batch, hedge)
                continue
            for sub in batch:
                self.lose(sub, SubStatus.REFUSED, unsent)
        return unsent

    def _batch(self, subs, now_ms):
        request = self._query.request
        return SubQueryBatch(
            request_id=self._query.request_id,
            service=request.service,
            index=request.index,
            version=self.plan.version,
            remaining_ms=self.end_ms - now_ms,
            traceparent=request.traceparent,
            query=request.query,
            items=[[sub.sub_id, sub.route.server, sub.parts] for sub in subs],
        )

    def _note_sent(self, subs, hedge):
        if hedge:
            self.hedged += len(subs)
            return
        self.retried += sum(1 for sub in subs if sub.groups[0].sends > 1)
        self.unhedged.extend(subs)
