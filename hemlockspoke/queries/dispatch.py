"""Sends the sub-queries of one query and tracks the unanswered ones."""

from collections import deque

from hemlockspoke.messages import SubQueryBatch, SubQueryCancel, SubQueryStatus
from hemlockspoke.queries.fanout import SubQuery, choose_hedge_route, choose_route

# Interval between checks for a token while the extra-load budget is exhausted.
TOKEN_POLL_MS = 10.0
# Statuses of sub-queries that were certainly not sent to a server.
UNREACHED_STATUSES = frozenset({SubQueryStatus.REFUSED, SubQueryStatus.UNREACHABLE})


class Dispatch:
    """Routes, sends and cancels the sub-queries of one query.

    It also charges hedges and retries to the extra-load budget of the service. Groups
    are ``GroupState`` objects; those for which there was no route or no token are added
    to ``unsent_groups``, which the query empties. ``unanswered`` maps sub-query ids to
    sub-queries, and ``unhedged`` queues those that may still be hedged. ``end_ms`` is
    the clock time at which the query must be answered.
    """

    __slots__ = (
        "_budget",
        "_denied_groups",
        "_engine",
        "_last_sub_id",
        "_query",
        "_salt",
        "credits_primaries",
        "end_ms",
        "hedged",
        "merged_rows",
        "plan",
        "retried",
        "unanswered",
        "unhedged",
        "unsent_groups",
    )

    def __init__(self, engine, query, end_ms):
        self._engine = engine
        self._query = query
        self._budget = engine.budget(query.request.service)
        self._salt = engine.rng.getrandbits(16)
        self._denied_groups = []
        self._last_sub_id = 0
        self.end_ms = end_ms
        self.plan = None
        self.merged_rows = None
        self.unanswered = {}
        self.unhedged = deque()
        self.unsent_groups = []
        self.hedged = 0
        self.retried = 0
        self.credits_primaries = True

    def use_plan(self, plan, merged_rows):
        """Switch to a plan; cancel the sub-queries sent for an earlier plan."""
        self.cancel(list(self.unanswered.values()))
        self.unhedged.clear()
        # A restarted query sends its primary sub-queries twice but credits the budget
        # only for the first set.
        self.credits_primaries = self.plan is None
        self.plan = plan
        self.merged_rows = merged_rows

    def send(self, groups):
        """Send the missing parts of groups, each group on its best route."""
        self._send(groups, choose_route, self._budget.consume_for_retry)

    def hedge(self, groups):
        """Send the missing parts of groups to a second replica.

        Return the groups for which the budget had no token.
        """
        self._denied_groups = []
        self._send(groups, choose_hedge_route, self._budget.consume_for_hedge)
        return self._denied_groups

    def fail(self, sub, status, retry):
        """Handle a failed sub-query; append the groups to retry to ``retry``."""
        self.remove(sub)
        reached = status not in UNREACHED_STATUSES
        if reached:
            self.credit(sub)
        elif sub.holds_token:
            self._budget.refund()
        for group in sub.groups:
            group.note_ended(sub, reached)
            if group.closed:
                continue
            group.note_failure(sub.route.server, status)
            if not group.pending:
                retry.append(group)
            elif not reached and group.pending[0].hedged:
                # The hedge reached no upstream, so the primary may be hedged again.
                self.unhedged.appendleft(group.pending[0])

    def credit(self, sub):
        """Credit the budget for a primary sub-query that reached an upstream."""
        if self.credits_primaries and not sub.holds_token:
            self._budget.credit(self._query.policy.extra_load_ratio)

    def remove(self, sub):
        """Remove a sub-query that has ended."""
        del self.unanswered[sub.sub_id]
        sub.route.count_ended()

    def cancel(self, subs):
        """Cancel sub-queries whose answers are no longer needed."""
        by_holder = {}
        for sub in subs:
            self.remove(sub)
            for group in sub.groups:
                group.note_ended(sub, reached=True)
            by_holder.setdefault(sub.route.holder, []).append(sub.sub_id)
        for holder, sub_ids in by_holder.items():
            cancel = SubQueryCancel(request_id=self._query.request_id, sub_ids=sub_ids)
            self._engine.send(holder, cancel)

    def _send(self, groups, choose, consume_token):
        # A batch that cannot be sent fails at once; its groups try their next route.
        while groups:
            assigned = {}
            for group in groups:
                self._assign(group, assigned, choose, consume_token)
            groups = self._transmit(assigned.values(), choose is choose_hedge_route)

    def _assign(self, group, assigned, choose, consume_token):
        routes_of = (
            self._usable_routes if group.send_count else self._engine.router.routes
        )
        route = choose(group, routes_of, self._salt)
        if route is None:
            self._defer(group)
            return
        sub = assigned.get(route) or SubQuery(route)
        if group.possibly_reached and not sub.holds_token:
            sub.holds_token = consume_token()
            if not sub.holds_token:
                self._denied_groups.append(group)
                self._defer(group, self._engine.clock.now_ms() + TOKEN_POLL_MS)
                return
        if not sub.groups:
            assigned[route] = sub
            route.count_sent()
        parts = group.part_group.parts
        sub.add(
            group,
            self.merged_rows.missing_parts_of(group.part_group)
            if group.send_count
            else parts,
        )
        group.note_sent(sub)

    def _usable_routes(self, server):
        router = self._engine.router
        usable = router.usable(self._query.request.service, server)
        return router.routes(server) if usable else ()

    def _defer(self, group, retry_at_ms=None):
        # A group with a pending sub-query does not wait; it only stays without a hedge.
        if not group.pending:
            group.retry_at_ms = retry_at_ms
            self.unsent_groups.append(group)

    def _transmit(self, subs, hedge):
        now_ms = self._engine.clock.now_ms()
        by_holder = {}
        for sub in subs:
            self._last_sub_id += 1
            sub.sub_id = self._last_sub_id
            sub.sent_ms = now_ms
            self.unanswered[sub.sub_id] = sub
            by_holder.setdefault(sub.route.holder, []).append(sub)
        unsent = []
        for holder, batch in by_holder.items():
            if self._engine.send(holder, self._build_batch(batch, now_ms)):
                self._count_sent(batch, hedge)
                continue
            for sub in batch:
                self.fail(sub, SubQueryStatus.REFUSED, unsent)
        return unsent

    def _build_batch(self, subs, now_ms):
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

    def _count_sent(self, subs, hedge):
        if hedge:
            self.hedged += len(subs)
            return
        self.retried += sum(1 for sub in subs if sub.groups[0].send_count > 1)
        self.unhedged.extend(subs)
