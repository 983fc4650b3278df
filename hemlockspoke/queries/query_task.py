"""One query: pin, fan out, hedge, retry, merge and coverage."""

from expression import Error, Ok
from twisted.internet.defer import Deferred

from hemlockspoke.messages import SubStatus
from hemlockspoke.queries.dispatch import TOKEN_WAIT_MS, Dispatch
from hemlockspoke.queries.fanout import HOLDER_LOST, GroupState, Merge
from hemlockspoke.queries.hedging import Progress
from hemlockspoke.queries.query_problems import (
    coverage_too_low,
    no_snapshot,
    overloaded,
)
from hemlockspoke.requests import QueryAnswer
from hemlockspoke.task import Task, handles

# Wait before routes that were all refused are tried again. A share that is being
# handed over is back within tens of ms.
FIRST_ROUND_WAIT_MS = 25.0
MAX_ROUND_WAIT_MS = 200.0
MAX_ROUNDS = 6
# A query waits this long for parts that have had a server until just now. While a
# share moves to another holder, nobody may use the server for a moment.
WHOLE_PLAN_WAIT_MS = 250.0
PIN_AGAIN_MS = 25.0
# A restart on a newer version needs more than this part of the query's time.
RESTART_TIME_RATIO = 0.5
ITEM_FIELDS = 4


class Start:
    """The query has been admitted."""

    __slots__ = ()


class Tick:
    """The next hedge or retry may be due."""

    __slots__ = ()


class Deadline:
    """The answer must be given now."""

    __slots__ = ()


class Abandon:
    """The caller has gone away."""

    __slots__ = ()


class Answers:
    """Items of a ``SubAnswerBatch`` from the holder on a VM."""

    __slots__ = ("items", "vm")

    def __init__(self, vm, items):
        self.vm = vm
        self.items = items


class HolderLost:
    """Nothing that was sent to a VM will be answered."""

    __slots__ = ("vm",)

    def __init__(self, vm):
        self.vm = vm


class Query(Task):
    """Owner of the state of one query, from admission to its one result."""

    __slots__ = (
        "_begun_ms",
        "_deadline_timer",
        "_dispatch",
        "_end_ms",
        "_engine",
        "_finished",
        "_groups_open",
        "_hedging",
        "_merge",
        "_plan",
        "_progress",
        "_restarted",
        "_started_ms",
        "_tick_at_ms",
        "_tick_timer",
        "_waiting",
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
        self._merge = None
        self._waiting = []
        self._groups_open = 0
        self._restarted = False
        self._finished = False
        self._tick_timer = None
        self._tick_at_ms = None

    def open(self, deadline_ms):
        """Start the time of the query and return the deferred of its result."""
        clock = self._engine.clock
        time_ms = deadline_ms - self._engine.timings.answer_margin_ms
        self._started_ms = clock.now_ms()
        self._end_ms = self._started_ms + time_ms
        self._deadline_timer = clock.call_later(time_ms, self.tell, Deadline())
        self.deferred = Deferred(lambda _: self.tell(Abandon()))
        return self.deferred

    def start(self):
        """Start an admitted query."""
        self._engine.started(self)
        self.tell(Start())

    def elapsed_ms(self):
        """Return the time since the caller's request."""
        return self._engine.clock.now_ms() - self._started_ms

    def _awaits_whole_plan(self, plan):
        """Tell whether missing parts are likely to get a server in a moment."""
        recently = self._engine.recently_whole(self.request, plan)
        time_ms = self._end_ms - self._started_ms
        limit_ms = min(WHOLE_PLAN_WAIT_MS, time_ms / 2)
        return recently and self.elapsed_ms() < limit_ms

    @handles(Start)
    def _on_start(self, _):
        if self._finished:
            return
        engine, request = self._engine, self.request
        plan = engine.router.pin(request.service, request.index)
        if self._awaits_whole_plan(plan):
            engine.clock.call_later(PIN_AGAIN_MS, self.tell, Start())
            return
        if plan is None:
            self._finish(Error(no_snapshot(request)))
            return
        self._hedging = engine.hedging(
            request.service, request.index, self.policy.hedge_policy
        )
        self._dispatch = Dispatch(engine, self, self._end_ms)
        self._begin(plan)
        self._settle()

    @handles(Answers)
    def _on_answers(self, message):
        if self._finished or self._dispatch is None:
            return
        retry = []
        for item in message.items:
            self._take_answer(message.vm, item, retry)
        self._dispatch.send(retry)
        self._settle()

    @handles(HolderLost)
    def _on_holder_lost(self, message):
        if self._finished or self._dispatch is None:
            return
        retry = []
        for sub in list(self._dispatch.subs.values()):
            if sub.route.holder == message.vm:
                self._dispatch.lose(sub, HOLDER_LOST, retry)
        self._dispatch.send(retry)
        self._settle()

    @handles(Tick)
    def _on_tick(self, _):
        if self._finished:
            return
        self._tick_timer = self._tick_at_ms = None
        now_ms = self._engine.clock.now_ms()
        self._dispatch.send(self._due_retries(now_ms))
        self._hedge_due(now_ms)
        self._settle()

    @handles(Deadline)
    def _on_deadline(self, _):
        if self._finished:
            return
        if self._plan is None:
            self._finish(Error(overloaded("no place became free in time")))
        else:
            self._finish(self._result())

    @handles(Abandon)
    def _on_abandon(self, _):
        if not self._finished:
            self._finish(None)

    def _begin(self, plan):
        self._plan = plan
        self._merge = Merge()
        self._waiting = []
        groups = [GroupState(group) for group in plan.groups]
        self._groups_open = len(groups)
        self._dispatch.begin(plan, self._merge)
        self._dispatch.send(groups)
        self._progress = Progress(len(self._dispatch.subs))
        self._begun_ms = self._engine.clock.now_ms()

    def _take_answer(self, vm, item, retry):
        if not _well_formed(item):
            self._engine.metrics.count("query.bad_answers")
            return
        sub_id, status, version, parts = item
        sub = self._dispatch.subs.get(sub_id)
        if sub is None or sub.route.holder != vm:
            self._engine.metrics.count("query.late_answers")
            return
        if status != SubStatus.OK or not isinstance(parts, dict):
            self._dispatch.lose(sub, status, retry)
        elif version != self._plan.version:
            self._engine.metrics.count("query.other_version")
            self._dispatch.lose(sub, SubStatus.VERSION_GONE, retry)
        else:
            self._merge_answer(sub, parts, retry)

    def _merge_answer(self, sub, parts, retry):
        self._dispatch.remove(sub)
        self._dispatch.earn(sub)
        self._progress.note_answer(self._engine.clock.now_ms() - self._begun_ms)
        if not sub.hedged:
            self._hedging.observe(self._engine.clock.now_ms() - sub.sent_ms)
        whole = self._merge.take(sub.parts, parts)
        losers = []
        for group in sub.groups:
            group.end(sub, reached=True)
            if group.closed:
                continue
            losers += group.running
            if whole or not self._merge.missing_of(group.group):
                group.closed = True
                self._groups_open -= 1
            elif not group.running:
                retry.append(group)
        if losers:
            losers = {sub.sub_id: sub for sub in losers if not sub.needed()}
            self._dispatch.cancel(losers.values())

    def _settle(self):
        if self._finished:
            return
        stuck, self._dispatch.stuck = self._dispatch.stuck, []
        if any(group.version_gone for group in stuck) and self._restart():
            return
        for group in stuck:
            self._wait_or_close(group)
        if self._groups_open == 0:
            self._finish(self._result())
        else:
            self._schedule_tick()

    def _restart(self):
        left_ms = self._end_ms - self._engine.clock.now_ms()
        needed_ms = RESTART_TIME_RATIO * (self._end_ms - self._started_ms)
        if self._restarted or left_ms <= needed_ms:
            return False
        plan = self._engine.router.pin(self.request.service, self.request.index)
        if plan is None or plan.version <= self._plan.version:
            return False
        self._restarted = True
        self._begin(plan)
        self._settle()
        return True

    def _wait_or_close(self, group):
        if group.retry_at_ms is None:
            if group.rounds >= MAX_ROUNDS or not self._worth_waiting(group):
                group.closed = True
                self._groups_open -= 1
                return
            wait_ms = min(MAX_ROUND_WAIT_MS, FIRST_ROUND_WAIT_MS * 2**group.rounds)
            group.retry_at_ms = self._engine.clock.now_ms() + wait_ms
            group.forget_tries()
        self._waiting.append(group)

    def _worth_waiting(self, group):
        # The catalog may learn of the successor of a vanished version a little
        # later; the query can then restart.
        if group.version_gone and not self._restarted:
            return True
        return any(server not in group.excluded for server in group.group.servers())

    def _due_retries(self, now_ms):
        due = [group for group in self._waiting if group.retry_at_ms <= now_ms]
        if due:
            self._waiting = [g for g in self._waiting if g.retry_at_ms > now_ms]
        for group in due:
            group.retry_at_ms = None
        return due

    def _hedge_due(self, now_ms):
        delay_ms = self._hedging.delay_ms(self._progress)
        if delay_ms is None:
            return
        unhedged = self._dispatch.unhedged
        due = []
        while unhedged and unhedged[0].sent_ms + delay_ms <= now_ms:
            sub = unhedged.popleft()
            if sub.sub_id in self._dispatch.subs:
                due.append(sub)
        if due:
            unhedged.extendleft(reversed(self._hedge(due)))

    def _hedge(self, subs):
        """Hedge sub-queries; return those for which there was no token."""
        groups = []
        for sub in subs:
            if not sub.hedged:
                sub.hedged = True
                self._hedging.overdue()
            groups += [g for g in sub.groups if not g.closed and len(g.running) == 1]
        denied = self._dispatch.hedge(groups)
        return [sub for sub in subs if any(group in denied for group in sub.groups)]

    def _schedule_tick(self):
        now_ms = self._engine.clock.now_ms()
        due = [group.retry_at_ms for group in self._waiting]
        delay_ms = self._hedging.delay_ms(self._progress)
        unhedged = self._dispatch.unhedged
        if unhedged and delay_ms is not None:
            hedge_ms = unhedged[0].sent_ms + delay_ms
            due.append(hedge_ms if hedge_ms > now_ms else now_ms + TOKEN_WAIT_MS)
        at_ms = min(due, default=self._end_ms)
        if at_ms >= self._end_ms:
            return
        if self._tick_at_ms is not None:
            if self._tick_at_ms <= at_ms:
                return
            self._tick_timer.cancel()
        self._tick_at_ms = at_ms
        self._tick_timer = self._engine.clock.call_later(
            at_ms - now_ms, self.tell, Tick()
        )

    def _result(self):
        total = self._plan.parts_total
        missing = self._merge.missing(total)
        answer = QueryAnswer(
            self.request.index,
            self._plan.version,
            total,
            missing,
            self._merge.rows(),
            hedged=self._dispatch.hedged,
            retried=self._dispatch.retried,
            restarted=self._restarted,
            elapsed_ms=self.elapsed_ms(),
        )
        wanted = self.request.min_coverage_ratio
        if wanted is None:
            wanted = self.policy.min_coverage_ratio
        if total - len(missing) < wanted * total:
            return Error(coverage_too_low(answer, wanted))
        return Ok(answer)

    def _finish(self, result):
        holds = not self._finished
        if not self._engine.invariants.check("query.one_result", holds):
            return
        self._finished = True
        self._deadline_timer.cancel()
        if self._tick_timer is not None:
            self._tick_timer.cancel()
        if self._dispatch is not None:
            self._dispatch.cancel(list(self._dispatch.subs.values()))
            # Breaks the reference cycle, which only the collector could free.
            self._dispatch = None
        self._engine.finished(self, result)


def _well_formed(item):
    # Peers check frames by their number of fields only.
    if type(item) is not list or len(item) != ITEM_FIELDS:
        return False
    return type(item[0]) is int and type(item[1]) is str
