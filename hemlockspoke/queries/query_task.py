"""One query: version selection, fan-out, hedges, retries, merge and coverage."""

from expression import Error, Ok
from twisted.internet.defer import Deferred

from hemlockspoke.messages import SubQueryStatus
from hemlockspoke.queries.dispatch import TOKEN_POLL_MS, Dispatch
from hemlockspoke.queries.fanout import HOLDER_LOST, GroupState, MergedRows
from hemlockspoke.queries.hedging import QueryProgress
from hemlockspoke.queries.query_problems import (
    coverage_too_low,
    no_snapshot,
    overloaded,
)
from hemlockspoke.requests import QueryAnswer
from hemlockspoke.task import Task, handles

# Wait before the routes of a group are tried again after all of them have failed. A
# share that is handed over is available again within tens of ms.
FIRST_ROUND_WAIT_MS = 25.0
MAX_ROUND_WAIT_MS = 200.0
MAX_ROUNDS = 6
# Maximum wait for recently served parts: no holder may use a share while it moves.
COMPLETE_PLAN_WAIT_MS = 250.0
REPIN_INTERVAL_MS = 25.0
# A query restarts on a newer version while over this fraction of its time is left.
RESTART_TIME_RATIO = 0.5
ITEM_FIELDS = 4


class Start:
    """The query has been admitted, or its version is to be selected again."""

    __slots__ = ()


class Tick:
    """The next hedge or retry may be due."""

    __slots__ = ()


class DeadlinePassed:
    """The query must be answered now."""

    __slots__ = ()


class Cancelled:
    """The caller has cancelled the query."""

    __slots__ = ()


class Answers:
    """Items of a ``SubAnswerBatch`` from the holder on a VM."""

    __slots__ = ("items", "vm")

    def __init__(self, vm, items):
        self.vm = vm
        self.items = items


class HolderLost:
    """The stream to a VM was lost; sub-queries sent to it stay unanswered."""

    __slots__ = ("vm",)

    def __init__(self, vm):
        self.vm = vm


class Query(Task):
    """State of one query, from admission to its single result."""

    __slots__ = (
        "_deadline_timer",
        "_dispatch",
        "_end_ms",
        "_engine",
        "_finished",
        "_hedging",
        "_merged_rows",
        "_open_groups",
        "_plan",
        "_plan_started_ms",
        "_progress",
        "_restarted",
        "_retry_groups",
        "_started_ms",
        "_tick_at_ms",
        "_tick_timer",
        "deferred",
        "policy",
        "request",
        "request_id",
    )

    def __init__(self, engine, request_id, request, policy):
        super().__init__()
        self._engine = engine
        self.request_id = request_id
        self.request = request
        self.policy = policy
        self._plan = None
        self._dispatch = None
        self._hedging = None
        self._progress = None
        self._merged_rows = None
        self._retry_groups = []
        self._open_groups = 0
        self._restarted = False
        self._finished = False
        self._tick_timer = None
        self._tick_at_ms = None

    def open(self, deadline_ms):
        """Start the deadline timer and return the deferred of the result."""
        clock = self._engine.clock
        allowed_ms = deadline_ms - self._engine.timings.answer_margin_ms
        self._started_ms = clock.now_ms()
        self._end_ms = self._started_ms + allowed_ms
        self._deadline_timer = clock.call_later(
            allowed_ms, self.deliver, DeadlinePassed()
        )
        self.deferred = Deferred(lambda _: self.deliver(Cancelled()))
        return self.deferred

    def start(self):
        """Start an admitted query."""
        self._engine.started(self)
        self.deliver(Start())

    def elapsed_ms(self):
        """Return the time since the caller's request."""
        return self._engine.clock.now_ms() - self._started_ms

    def _waits_for_complete_plan(self, plan):
        """Return whether missing parts are likely to get a server soon."""
        was_complete = self._engine.recently_complete(self.request, plan)
        allowed_ms = self._end_ms - self._started_ms
        limit_ms = min(COMPLETE_PLAN_WAIT_MS, allowed_ms / 2)
        return was_complete and self.elapsed_ms() < limit_ms

    @handles(Start)
    def _on_start(self, _):
        if self._finished:
            return
        engine, request = self._engine, self.request
        plan = engine.router.pin(request.service, request.index)
        if self._waits_for_complete_plan(plan):
            engine.clock.call_later(REPIN_INTERVAL_MS, self.deliver, Start())
            return
        if plan is None:
            self._finish(Error(no_snapshot(request)))
            return
        self._hedging = engine.hedging(
            request.service, request.index, self.policy.hedge_policy
        )
        self._dispatch = Dispatch(engine, self, self._end_ms)
        self._start_plan(plan)
        self._finish_or_schedule()

    @handles(Answers)
    def _on_answers(self, message):
        if self._finished or self._dispatch is None:
            return
        retry = []
        for item in message.items:
            self._handle_answer(message.vm, item, retry)
        self._dispatch.send(retry)
        self._finish_or_schedule()

    @handles(HolderLost)
    def _on_holder_lost(self, message):
        if self._finished or self._dispatch is None:
            return
        retry = []
        for sub in list(self._dispatch.unanswered.values()):
            if sub.route.holder == message.vm:
                self._dispatch.fail(sub, HOLDER_LOST, retry)
        self._dispatch.send(retry)
        self._finish_or_schedule()

    @handles(Tick)
    def _on_tick(self, _):
        if self._finished:
            return
        self._tick_timer = self._tick_at_ms = None
        now_ms = self._engine.clock.now_ms()
        self._dispatch.send(self._due_retries(now_ms))
        self._hedge_overdue(now_ms)
        self._finish_or_schedule()

    @handles(DeadlinePassed)
    def _on_deadline(self, _):
        if self._finished:
            return
        if self._plan is None:
            self._finish(Error(overloaded("the query could not start in time")))
        else:
            self._finish(self._build_result())

    @handles(Cancelled)
    def _on_cancelled(self, _):
        if not self._finished:
            self._finish(None)

    def _start_plan(self, plan):
        self._plan = plan
        self._merged_rows = MergedRows()
        self._retry_groups = []
        groups = [GroupState(group) for group in plan.groups]
        self._open_groups = len(groups)
        self._dispatch.use_plan(plan, self._merged_rows)
        self._dispatch.send(groups)
        self._progress = QueryProgress(len(self._dispatch.unanswered))
        self._plan_started_ms = self._engine.clock.now_ms()

    def _handle_answer(self, vm, item, retry):
        if not _well_formed(item):
            self._engine.metrics.count("query.bad_answers")
            return
        sub_id, status, version, parts = item
        sub = self._dispatch.unanswered.get(sub_id)
        if sub is None or sub.route.holder != vm:
            self._engine.metrics.count("query.late_answers")
            return
        if status != SubQueryStatus.OK or not isinstance(parts, dict):
            self._dispatch.fail(sub, status, retry)
        elif version != self._plan.version:
            self._engine.metrics.count("query.other_version")
            self._dispatch.fail(sub, SubQueryStatus.VERSION_GONE, retry)
        else:
            self._merge_answer(sub, parts, retry)

    def _merge_answer(self, sub, parts, retry):
        self._dispatch.remove(sub)
        self._dispatch.credit(sub)
        self._progress.note_answer(self._engine.clock.now_ms() - self._plan_started_ms)
        if not sub.hedged:
            self._hedging.observe(self._engine.clock.now_ms() - sub.sent_ms)
        complete = self._merged_rows.add_answer(sub.parts, parts)
        redundant = []
        for group in sub.groups:
            group.note_ended(sub, reached=True)
            if group.closed:
                continue
            redundant += group.pending
            if complete or not self._merged_rows.missing_parts_of(group.part_group):
                group.closed = True
                self._open_groups -= 1
            elif not group.pending:
                retry.append(group)
        if redundant:
            redundant = {sub.sub_id: sub for sub in redundant if not sub.needed()}
            self._dispatch.cancel(redundant.values())

    def _finish_or_schedule(self):
        if self._finished:
            return
        unsent_groups, self._dispatch.unsent_groups = self._dispatch.unsent_groups, []
        if any(group.version_gone for group in unsent_groups) and self._restart():
            return
        for group in unsent_groups:
            self._wait_or_close(group)
        if self._open_groups == 0:
            self._finish(self._build_result())
        else:
            self._schedule_tick()

    def _restart(self):
        remaining_ms = self._end_ms - self._engine.clock.now_ms()
        needed_ms = RESTART_TIME_RATIO * (self._end_ms - self._started_ms)
        if self._restarted or remaining_ms <= needed_ms:
            return False
        plan = self._engine.router.pin(self.request.service, self.request.index)
        if plan is None or plan.version <= self._plan.version:
            return False
        self._restarted = True
        self._start_plan(plan)
        self._finish_or_schedule()
        return True

    def _wait_or_close(self, group):
        if group.retry_at_ms is None:
            if group.rounds >= MAX_ROUNDS or not self._may_succeed_later(group):
                group.closed = True
                self._open_groups -= 1
                return
            wait_ms = min(MAX_ROUND_WAIT_MS, FIRST_ROUND_WAIT_MS * 2**group.rounds)
            group.retry_at_ms = self._engine.clock.now_ms() + wait_ms
            group.start_retry_round()
        self._retry_groups.append(group)

    def _may_succeed_later(self, group):
        # The query can restart once the catalog has the removed version's successor.
        if group.version_gone and not self._restarted:
            return True
        return any(
            server not in group.excluded_servers
            for server in group.part_group.servers()
        )

    def _due_retries(self, now_ms):
        due = [group for group in self._retry_groups if group.retry_at_ms <= now_ms]
        if due:
            self._retry_groups = [
                g for g in self._retry_groups if g.retry_at_ms > now_ms
            ]
        for group in due:
            group.retry_at_ms = None
        return due

    def _hedge_overdue(self, now_ms):
        delay_ms = self._hedging.delay_ms(self._progress)
        if delay_ms is None:
            return
        unhedged = self._dispatch.unhedged
        due = []
        while unhedged and unhedged[0].sent_ms + delay_ms <= now_ms:
            sub = unhedged.popleft()
            if sub.sub_id in self._dispatch.unanswered:
                due.append(sub)
        if due:
            unhedged.extendleft(reversed(self._hedge(due)))

    def _hedge(self, subs):
        """Hedge sub-queries; return those for which the budget had no token."""
        groups = []
        for sub in subs:
            if not sub.hedged:
                sub.hedged = True
                self._hedging.observe_overdue()
            groups += [g for g in sub.groups if not g.closed and len(g.pending) == 1]
        denied = self._dispatch.hedge(groups)
        return [sub for sub in subs if any(group in denied for group in sub.groups)]

    def _schedule_tick(self):
        now_ms = self._engine.clock.now_ms()
        due = [group.retry_at_ms for group in self._retry_groups]
        delay_ms = self._hedging.delay_ms(self._progress)
        unhedged = self._dispatch.unhedged
        if unhedged and delay_ms is not None:
            hedge_ms = unhedged[0].sent_ms + delay_ms
            due.append(hedge_ms if hedge_ms > now_ms else now_ms + TOKEN_POLL_MS)
        at_ms = min(due, default=self._end_ms)
        if at_ms >= self._end_ms:
            return
        if self._tick_at_ms is not None:
            if self._tick_at_ms <= at_ms:
                return
            self._tick_timer.cancel()
        self._tick_at_ms = at_ms
        self._tick_timer = self._engine.clock.call_later(
            at_ms - now_ms, self.deliver, Tick()
        )

    def _build_result(self):
        total = self._plan.parts_total
        missing = self._merged_rows.missing_parts(total)
        answer = QueryAnswer(
            self.request.index,
            self._plan.version,
            total,
            missing,
            self._merged_rows.rows(),
            hedged=self._dispatch.hedged,
            retried=self._dispatch.retried,
            restarted=self._restarted,
            elapsed_ms=self.elapsed_ms(),
        )
        min_ratio = self.request.min_coverage_ratio
        if min_ratio is None:
            min_ratio = self.policy.min_coverage_ratio
        if total - len(missing) < min_ratio * total:
            return Error(coverage_too_low(answer, min_ratio))
        return Ok(answer)

    def _finish(self, result):
        first_result = not self._finished
        if not self._engine.invariants.check("query.one_result", first_result):
            return
        self._finished = True
        self._deadline_timer.cancel()
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        if self._dispatch is not None:
            self._dispatch.cancel(list(self._dispatch.unanswered.values()))
            # Breaks a reference cycle, which only the garbage collector could free.
            self._dispatch = None
        self._engine.finished(self, result)


def _well_formed(item):
    # Frames are only checked for their number of fields when they are decoded.
    if type(item) is not list or len(item) != ITEM_FIELDS:
        return False
    return type(item[0]) is int and type(item[1]) is str
