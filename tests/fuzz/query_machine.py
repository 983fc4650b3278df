"""Stateful fuzzing of the query engine against an oracle.

Rules may run without time passing between them, so any two faults can fall
together.
"""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from twisted.internet.defer import CancelledError

from hemlockspoke.config.fleet import Fleet
from hemlockspoke.messages import Cancel, SubAnswerBatch, SubQueryBatch, SubStatus
from hemlockspoke.requests import QueryRequest
from tests.fuzz.query_fakes import INDEX, SERVICE, Tier, make_document
from tests.fuzz.query_oracle import Asked, Sent, World, count_extra

SERVERS = ["s00-a", "s00-b", "s01-a", "s01-b", "s02-a", "s02-b"]
VMS = ["vm-1", "vm-2", "vm-3"]
HOLDERS = {s: [VMS[i % 3], VMS[(i + 1) % 3]] for i, s in enumerate(SERVERS)}
RATIO = 0.2
RUNNING, PLACES = 3, 5

KINDS = ["ok", "ok", "partial", "other", "no"]

# With more parts than servers, two parts share their servers and a sub-query.
totals = st.sampled_from([1, 5, 12])
indexes = st.integers(0, 10**6)
servers = st.sampled_from(SERVERS)
vms = st.sampled_from(VMS)


class QueryMachine(RuleBasedStateMachine):
    """Queries, answers and faults in any order."""

    def __init__(self):
        super().__init__()
        document = make_document(
            3,
            extra_load_ratio=RATIO,
            max_concurrent_queries=RUNNING,
            max_queued_queries=PLACES - RUNNING,
        )
        self.tier = Tier(document, holders=HOLDERS)
        self.tier.engine.send = self.send
        self.first_tokens = 0.0
        self.world = World(SERVERS)
        self.sent, self.asked, self.lost_vms = [], {}, set()
        self.failures = []
        self.version = 0

    @property
    def now_ms(self):
        return self.tier.clock.now_ms()

    def send(self, vm, message):
        if vm in self.lost_vms:
            return False
        if isinstance(message, Cancel):
            for sub in self.sent:
                if sub.request_id == message.request_id and sub.vm == vm:
                    sub.cancelled = sub.cancelled or sub.sub_id in message.sub_ids
        else:
            assert isinstance(message, SubQueryBatch)
            self.note_batch(vm, message)
        return True

    def note_batch(self, vm, batch):
        asked = self.asked[batch.query["tag"]]
        assert asked.open(), "a sub-query was sent after the result"
        left_ms = asked.started_ms + asked.deadline_ms - self.now_ms
        assert 0 <= batch.remaining_ms <= left_ms
        for item in batch.items:
            sub = Sent(vm, batch, item)
            assert vm in HOLDERS[sub.server]
            assert self.world.usable(sub.server), "new work for an unusable server"
            self.sent.append(sub)

    def pending(self):
        return [s for s in self.sent if s.ended is None and self.asked[s.tag].open()]

    def report(self, server, holder):
        served, available = self.world.report(self.tier.sequence, holder, server)
        self.tier.report(server, served, holder, available)

    @initialize(tokens=st.sampled_from([0.0, 3.0, 8.0, 20.0]))
    def begin(self, tokens):
        # Few tokens, so that runs of this length exhaust the budget.
        self.first_tokens = self.tier.engine.budget(SERVICE).tokens = tokens
        self.publish(9, SERVERS)
        for server in SERVERS:
            self.report(server, HOLDERS[server][0])

    def publish(self, total, chosen):
        self.version += 1
        self.world.publish(self.version, total, chosen)

    def drop_oldest(self, server):
        served = self.world.serves[server]
        if len(served) > 1:
            del served[min(served)]

    @rule(
        kind=st.sampled_from(["add", "replace", "drop"]),
        total=totals,
        chosen=st.permutations(SERVERS),
        seen=st.booleans(),
    )
    def change_versions(self, kind, total, chosen, seen):
        """A version appears, replaces all others, or vanishes from one server."""
        if kind == "drop":
            self.drop_oldest(chosen[0])
            return
        if kind == "replace":
            for served in self.world.serves.values():
                served.clear()
        self.publish(total, chosen)
        for holder in VMS if seen else []:
            self.report_all(holder)

    def report_all(self, holder):
        for server in SERVERS:
            if holder in HOLDERS[server] and holder not in self.lost_vms:
                self.report(server, holder)

    @rule(holder=vms, server=servers, whole=st.booleans())
    def catalog_catches_up(self, holder, server, whole):
        if whole:
            self.report_all(holder)
        elif holder in HOLDERS[server] and holder not in self.lost_vms:
            self.report(server, holder)

    # One fault of each kind at a time leaves most queries something to do; faults
    # of different kinds still fall together.
    @rule(kind=st.sampled_from(["drain", "out", "lose"]), server=servers, vm=vms)
    def fault_or_recovery(self, kind, server, vm):
        if kind == "drain":
            self.world.draining = set() if self.world.draining else {server}
        elif kind == "out":
            self.world.out = set() if self.world.out else {server}
            self.tier.configuration.set_fleet(Fleet([], self.world.out))
        elif self.lost_vms:
            self.lost_vms.clear()
        else:
            self.lose_holder(vm)

    def lose_holder(self, vm):
        self.lost_vms.add(vm)
        for sub in self.sent:
            if sub.vm == vm and sub.ended is None:
                sub.ended = "lost"
        for reports in self.world.reports.values():
            reports.pop(vm, None)
        self.tier.catalog.forget(vm)
        self.tier.engine.peer_lost(vm)

    def open_queries(self):
        return [asked for asked in self.asked.values() if asked.open()]

    @precondition(lambda self: len(self.open_queries()) <= PLACES)
    @rule(deadline_ms=st.sampled_from([20, 100, 800, 3000]))
    def start(self, deadline_ms):
        tag = f"q{len(self.asked)}"
        asked = self.asked[tag] = Asked(tag, self.now_ms, deadline_ms)
        expected, before = self.world.expected_pin(), len(self.sent)
        request = QueryRequest(SERVICE, INDEX, {"tag": tag}, deadline_ms)
        asked.deferred = self.tier.engine.run(request)
        asked.deferred.addCallback(self.on_result, asked)
        if len(self.sent) > before:
            assert self.sent[before].version == expected

    def on_result(self, result, asked):
        # The deferred would swallow an exception raised here.
        try:
            self.check_result(result, asked)
        except AssertionError as error:
            self.failures.append(error)

    def check_result(self, result, asked):
        assert asked.open(), "a second result"
        asked.results.append(result)
        asked.answered_ms = self.now_ms
        for sub in self.sent:
            if sub.tag == asked.tag and sub.ended is None:
                assert sub.cancelled or sub.vm in self.lost_vms, "not cancelled"
        if result.is_ok():
            self.check_answer(result.ok, asked)
        elif result.error.outcome.value == "not_run":
            reached = [sub for sub in self.sent if sub.tag == asked.tag]
            assert not reached, "a false not_run"

    def check_answer(self, answer, asked):
        assert answer.parts_total == self.world.totals[answer.version]
        parts = [part for _, _, part in answer.rows]
        expected = [[asked.tag, answer.version, part] for part in parts]
        assert answer.rows == expected, "rows of another query or version"
        assert len(set(parts)) == len(parts), "a part merged twice"
        delivered = asked.delivered.get(answer.version, set())
        assert set(parts) == delivered, "rows are not those delivered"
        missing = set(range(answer.parts_total)) - delivered
        assert set(answer.missing_parts) == missing, "untrue coverage"

    @precondition(lambda self: self.pending())
    @rule(picks=st.lists(indexes, min_size=1, max_size=6), faults=st.data())
    def answer(self, picks, faults):
        """Answer some sub-queries of one holder and query in one batch."""
        first = self.pending()[picks[0] % len(self.pending())]
        key = (first.request_id, first.vm)
        same = [s for s in self.pending() if (s.request_id, s.vm) == key]
        chosen = {
            same[pick % len(same)].sub_id: same[pick % len(same)] for pick in picks
        }
        items = [self.make_item(sub, faults) for sub in chosen.values()]
        self.deliver(first.vm, first.request_id, items)

    @precondition(lambda self: self.pending())
    @rule(pick=indexes, but=st.sampled_from([0, 0, 0, 1, 2]))
    def answer_truly(self, pick, but):
        """Answer all sub-queries of one query, except for some stragglers."""
        pending = self.pending()
        tag = pending[pick % len(pending)].tag
        for sub in [sub for sub in pending if sub.tag == tag][but:]:
            if sub.ended is None:
                item = self.make_item(sub)
                self.deliver(sub.vm, sub.request_id, [item])

    def make_item(self, sub, faults=None):
        kind = faults.draw(st.sampled_from(KINDS)) if faults else "ok"
        served = self.world.serves[sub.server].get(sub.version, set())
        parts = [part for part in sub.parts if part in served]
        if sub.server in self.world.draining:
            kind, status = "no", SubStatus.DRAINING
        elif not parts:
            kind, status = "no", SubStatus.VERSION_GONE
        elif kind == "no":
            status = faults.draw(
                st.sampled_from(["refused", "shed", "failed", "unreachable"])
            )
        if kind == "no":
            sub.ended = status
            return [sub.sub_id, status, sub.version, {}]
        sub.ended = "ok"
        if kind == "other":
            return self.rows_item(sub, sub.version + 1, parts)
        if kind == "partial":
            parts = parts[:-1]
        foreign = (sub.parts[-1] + 1) % self.world.totals[sub.version]
        if not sub.cancelled:
            asked = self.asked[sub.tag]
            asked.delivered.setdefault(sub.version, set()).update(parts)
        if foreign not in sub.parts:
            parts = [*parts, foreign]
        return self.rows_item(sub, sub.version, parts)

    def rows_item(self, sub, version, parts):
        rows = {str(part): [[sub.tag, version, part]] for part in parts}
        return [sub.sub_id, "ok", version, rows]

    def deliver(self, vm, request_id, items):
        self.tier.engine.receive(vm, SubAnswerBatch(request_id=request_id, items=items))

    @precondition(lambda self: self.sent)
    @rule(pick=indexes, version=st.integers(-1, 1))
    def answer_again(self, pick, version):
        """A duplicate, or an answer to what is cancelled, lost or finished."""
        ended = [sub for sub in self.sent if sub.ended is not None or sub.cancelled]
        ended = [sub for sub in ended if self.asked[sub.tag].open()] or ended
        if ended:
            sub = ended[pick % len(ended)]
            item = self.rows_item(sub, sub.version + version, sub.parts)
            self.deliver(sub.vm, sub.request_id, [item])

    @precondition(lambda self: self.sent)
    @rule(pick=indexes, other=indexes, vm=vms)
    def answer_crossed(self, pick, other, vm):
        """An answer under another query's id, or from a VM that was not asked."""
        sub = self.sent[pick % len(self.sent)]
        target = self.sent[other % len(self.sent)]
        asked = {(s.request_id, s.sub_id): s.vm for s in self.sent}
        if asked.get((target.request_id, sub.sub_id)) != vm:
            item = self.rows_item(sub, sub.version, sub.parts)
            self.deliver(vm, target.request_id, [item])

    @precondition(lambda self: self.open_queries())
    @rule(pick=indexes)
    def caller_leaves(self, pick):
        waiting = self.open_queries()
        asked = waiting[pick % len(waiting)]
        asked.abandoned = True
        asked.deferred.addErrback(lambda failure: failure.trap(CancelledError))
        asked.deferred.cancel()

    @rule(delta_ms=st.sampled_from([1, 15, 60, 60, 200, 500]))
    def time_passes(self, delta_ms):
        self.tier.clock.advance(delta_ms)

    @invariant()
    def answered_in_time(self):
        assert not self.failures, self.failures
        for asked in self.asked.values():
            limit_ms = asked.started_ms + asked.deadline_ms
            if asked.open():
                assert self.now_ms < limit_ms, "no result at the deadline"
            elif asked.results:
                assert len(asked.results) == 1
                assert asked.answered_ms <= limit_ms

    @invariant()
    def losers_are_cancelled(self):
        for sub in self.pending():
            delivered = self.asked[sub.tag].delivered.get(sub.version, set())
            assert sub.cancelled or not delivered.issuperset(sub.parts), "a loser runs"

    @invariant()
    def extra_load_within_budget(self):
        extras, primaries = count_extra(self.sent)
        assert extras <= self.first_tokens + RATIO * primaries + 1e-6

    def teardown(self):
        self.tier.clock.advance(5000)
        self.answered_in_time()
        self.extra_load_within_budget()
        self.check_all_is_free()

    def check_all_is_free(self):
        assert self.tier.engine.in_flight() == 0
        for server in SERVERS:
            for route in self.tier.router.routes(server):
                assert route.outstanding == 0, "a route leaks outstanding work"
        known = len(self.asked)
        for _ in range(RUNNING):
            self.start(100)
        assert self.tier.engine.in_flight() <= RUNNING
        last = list(self.asked.values())[known:]
        self.tier.clock.advance(100)
        assert all(asked.results for asked in last)
        problems = [asked.results[0] for asked in last if asked.results[0].is_error()]
        names = {result.error.name for result in problems}
        assert names <= {"no-snapshot"}, "a place leaks"
