"""Stateful fuzzing of the query engine against an oracle.

Rules may run without time passing between them, so any two faults can occur at the
same time.
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
from hemlockspoke.messages import (
    SubAnswerBatch,
    SubQueryBatch,
    SubQueryCancel,
    SubQueryStatus,
)
from hemlockspoke.requests import QueryRequest
from tests.fuzz.query_fakes import INDEX, SERVICE, FakeQueryTier, make_document
from tests.fuzz.query_oracle import CallerQuery, OracleState, SentSubQuery, count_extra

SERVERS = ["s00-a", "s00-b", "s01-a", "s01-b", "s02-a", "s02-b"]
VMS = ["vm-1", "vm-2", "vm-3"]
HOLDERS = {s: [VMS[i % 3], VMS[(i + 1) % 3]] for i, s in enumerate(SERVERS)}
EXTRA_LOAD_RATIO = 0.2
MAX_RUNNING, MAX_OPEN = 3, 5

ANSWER_KINDS = ["ok", "ok", "partial", "other_version", "error"]

# If there are more parts than servers, parts with the same servers share a sub-query.
part_counts = st.sampled_from([1, 5, 12])
positions = st.integers(0, 10**6)
servers = st.sampled_from(SERVERS)
vms = st.sampled_from(VMS)


class QueryMachine(RuleBasedStateMachine):
    """Queries, answers and faults in any order."""

    def __init__(self):
        super().__init__()
        document = make_document(
            3,
            extra_load_ratio=EXTRA_LOAD_RATIO,
            max_concurrent_queries=MAX_RUNNING,
            max_queued_queries=MAX_OPEN - MAX_RUNNING,
        )
        self.tier = FakeQueryTier(document, holders=HOLDERS)
        self.tier.engine.send = self.send
        self.initial_tokens = 0.0
        self.oracle = OracleState(SERVERS)
        self.sent, self.queries, self.lost_vms = [], {}, set()
        self.failures = []
        self.version = 0

    @property
    def now_ms(self):
        return self.tier.clock.now_ms()

    def send(self, vm, message):
        if vm in self.lost_vms:
            return False
        if isinstance(message, SubQueryCancel):
            for sub in self.sent:
                if sub.request_id == message.request_id and sub.vm == vm:
                    sub.cancelled = sub.cancelled or sub.sub_id in message.sub_ids
        else:
            assert isinstance(message, SubQueryBatch)
            self.record_batch(vm, message)
        return True

    def record_batch(self, vm, batch):
        query = self.queries[batch.query["tag"]]
        assert query.is_open(), "a sub-query was sent after the result"
        left_ms = query.started_ms + query.deadline_ms - self.now_ms
        assert 0 <= batch.remaining_ms <= left_ms
        for item in batch.items:
            sub = SentSubQuery(vm, batch, item)
            assert vm in HOLDERS[sub.server]
            assert self.oracle.usable(sub.server), "sub-query for an unusable server"
            self.sent.append(sub)

    def pending(self):
        return [
            s
            for s in self.sent
            if s.end_status is None and self.queries[s.tag].is_open()
        ]

    def report(self, server, holder):
        served, available = self.oracle.report(self.tier.sequence, holder, server)
        self.tier.report(server, served, holder, available)

    @initialize(tokens=st.sampled_from([0.0, 3.0, 8.0, 20.0]))
    def begin(self, tokens):
        # Few tokens, so that a run of this length can exhaust the budget.
        self.initial_tokens = self.tier.engine.budget(SERVICE).tokens = tokens
        self.add_version(9, SERVERS)
        for server in SERVERS:
            self.report(server, HOLDERS[server][0])

    def add_version(self, total, chosen):
        self.version += 1
        self.oracle.add_version(self.version, total, chosen)

    def drop_oldest(self, server):
        served = self.oracle.served_parts[server]
        if len(served) > 1:
            del served[min(served)]

    @rule(
        kind=st.sampled_from(["add", "replace", "drop"]),
        total=part_counts,
        chosen=st.permutations(SERVERS),
        reported=st.booleans(),
    )
    def change_versions(self, kind, total, chosen, reported):
        """Add a version, replace all versions by a new one, or drop one of a server."""
        if kind == "drop":
            self.drop_oldest(chosen[0])
            return
        if kind == "replace":
            for served in self.oracle.served_parts.values():
                served.clear()
        self.add_version(total, chosen)
        for holder in VMS if reported else []:
            self.report_all(holder)

    def report_all(self, holder):
        for server in SERVERS:
            if holder in HOLDERS[server] and holder not in self.lost_vms:
                self.report(server, holder)

    @rule(holder=vms, server=servers, all_servers=st.booleans())
    def update_catalog(self, holder, server, all_servers):
        if all_servers:
            self.report_all(holder)
        elif holder in HOLDERS[server] and holder not in self.lost_vms:
            self.report(server, holder)

    # Only one fault of each kind at a time, so that most queries can still make
    # progress; faults of different kinds can coincide.
    @rule(kind=st.sampled_from(["drain", "out", "lose"]), server=servers, vm=vms)
    def fault_or_recovery(self, kind, server, vm):
        if kind == "drain":
            self.oracle.draining = set() if self.oracle.draining else {server}
        elif kind == "out":
            self.oracle.servers_out = set() if self.oracle.servers_out else {server}
            self.tier.configuration.set_fleet(Fleet([], self.oracle.servers_out))
        elif self.lost_vms:
            self.lost_vms.clear()
        else:
            self.lose_holder(vm)

    def lose_holder(self, vm):
        self.lost_vms.add(vm)
        for sub in self.sent:
            if sub.vm == vm and sub.end_status is None:
                sub.end_status = "lost"
        for reports in self.oracle.reports.values():
            reports.pop(vm, None)
        self.tier.catalog.peer_lost(vm)
        self.tier.engine.peer_lost(vm)

    def open_queries(self):
        return [query for query in self.queries.values() if query.is_open()]

    @precondition(lambda self: len(self.open_queries()) <= MAX_OPEN)
    @rule(deadline_ms=st.sampled_from([20, 100, 800, 3000]))
    def start(self, deadline_ms):
        tag = f"q{len(self.queries)}"
        query = self.queries[tag] = CallerQuery(tag, self.now_ms, deadline_ms)
        expected, before = self.oracle.expected_version(), len(self.sent)
        request = QueryRequest(SERVICE, INDEX, {"tag": tag}, deadline_ms)
        query.deferred = self.tier.engine.run(request)
        query.deferred.addCallback(self.on_result, query)
        if len(self.sent) > before:
            assert self.sent[before].version == expected

    def on_result(self, result, query):
        # The deferred would swallow an exception raised in its callback.
        try:
            self.check_result(result, query)
        except AssertionError as error:
            self.failures.append(error)

    def check_result(self, result, query):
        assert query.is_open(), "a second result"
        query.results.append(result)
        query.answered_ms = self.now_ms
        for sub in self.sent:
            if sub.tag == query.tag and sub.end_status is None:
                assert sub.cancelled or sub.vm in self.lost_vms, "not cancelled"
        if result.is_ok():
            self.check_answer(result.ok, query)
        elif result.error.outcome.value == "not_run":
            reached = [sub for sub in self.sent if sub.tag == query.tag]
            assert not reached, "not_run reported for a query that was sent"

    def check_answer(self, answer, query):
        assert answer.parts_total == self.oracle.parts_totals[answer.version]
        parts = [part for _, _, part in answer.rows]
        expected = [[query.tag, answer.version, part] for part in parts]
        assert answer.rows == expected, "rows of another query or version"
        assert len(set(parts)) == len(parts), "a part merged twice"
        delivered = query.delivered.get(answer.version, set())
        assert set(parts) == delivered, "rows differ from those delivered"
        missing = set(range(answer.parts_total)) - delivered
        assert set(answer.missing_parts) == missing, "wrong missing parts"

    @precondition(lambda self: self.pending())
    @rule(picks=st.lists(positions, min_size=1, max_size=6), faults=st.data())
    def answer(self, picks, faults):
        """Answer some sub-queries of one query and holder in one batch."""
        first = self.pending()[picks[0] % len(self.pending())]
        key = (first.request_id, first.vm)
        same = [s for s in self.pending() if (s.request_id, s.vm) == key]
        chosen = {
            same[pick % len(same)].sub_id: same[pick % len(same)] for pick in picks
        }
        items = [self.make_item(sub, faults) for sub in chosen.values()]
        self.deliver(first.vm, first.request_id, items)

    @precondition(lambda self: self.pending())
    @rule(pick=positions, straggler_count=st.sampled_from([0, 0, 0, 1, 2]))
    def answer_correctly(self, pick, straggler_count):
        """Answer all sub-queries of one query except for some stragglers."""
        pending = self.pending()
        tag = pending[pick % len(pending)].tag
        for sub in [sub for sub in pending if sub.tag == tag][straggler_count:]:
            if sub.end_status is None:
                item = self.make_item(sub)
                self.deliver(sub.vm, sub.request_id, [item])

    def make_item(self, sub, faults=None):
        kind = faults.draw(st.sampled_from(ANSWER_KINDS)) if faults else "ok"
        served = self.oracle.served_parts[sub.server].get(sub.version, set())
        parts = [part for part in sub.parts if part in served]
        if sub.server in self.oracle.draining:
            kind, status = "error", SubQueryStatus.DRAINING
        elif not parts:
            kind, status = "error", SubQueryStatus.VERSION_GONE
        elif kind == "error":
            status = faults.draw(
                st.sampled_from(["refused", "shed", "failed", "unreachable"])
            )
        if kind == "error":
            sub.end_status = status
            return [sub.sub_id, status, sub.version, {}]
        sub.end_status = "ok"
        if kind == "other_version":
            return self.rows_item(sub, sub.version + 1, parts)
        if kind == "partial":
            parts = parts[:-1]
        unrequested_part = (sub.parts[-1] + 1) % self.oracle.parts_totals[sub.version]
        if not sub.cancelled:
            query = self.queries[sub.tag]
            query.delivered.setdefault(sub.version, set()).update(parts)
        if unrequested_part not in sub.parts:
            parts = [*parts, unrequested_part]
        return self.rows_item(sub, sub.version, parts)

    def rows_item(self, sub, version, parts):
        rows = {str(part): [[sub.tag, version, part]] for part in parts}
        return [sub.sub_id, "ok", version, rows]

    def deliver(self, vm, request_id, items):
        self.tier.engine.receive(vm, SubAnswerBatch(request_id=request_id, items=items))

    @precondition(lambda self: self.sent)
    @rule(pick=positions, version=st.integers(-1, 1))
    def answer_again(self, pick, version):
        """Answer a sub-query again that was answered, cancelled or lost."""
        ended = [
            sub for sub in self.sent if sub.end_status is not None or sub.cancelled
        ]
        ended = [sub for sub in ended if self.queries[sub.tag].is_open()] or ended
        if ended:
            sub = ended[pick % len(ended)]
            item = self.rows_item(sub, sub.version + version, sub.parts)
            self.deliver(sub.vm, sub.request_id, [item])

    @precondition(lambda self: self.sent)
    @rule(pick=positions, other=positions, vm=vms)
    def answer_misdirected(self, pick, other, vm):
        """Send an answer with another query's ID or from a VM that was not queried."""
        sub = self.sent[pick % len(self.sent)]
        target = self.sent[other % len(self.sent)]
        vm_by_sub_query = {(s.request_id, s.sub_id): s.vm for s in self.sent}
        if vm_by_sub_query.get((target.request_id, sub.sub_id)) != vm:
            item = self.rows_item(sub, sub.version, sub.parts)
            self.deliver(vm, target.request_id, [item])

    @precondition(lambda self: self.open_queries())
    @rule(pick=positions)
    def cancel_query(self, pick):
        waiting = self.open_queries()
        query = waiting[pick % len(waiting)]
        query.abandoned = True
        query.deferred.addErrback(lambda failure: failure.trap(CancelledError))
        query.deferred.cancel()

    @rule(delta_ms=st.sampled_from([1, 15, 60, 60, 200, 500]))
    def advance_time(self, delta_ms):
        self.tier.clock.advance(delta_ms)

    @invariant()
    def answered_in_time(self):
        assert not self.failures, self.failures
        for query in self.queries.values():
            limit_ms = query.started_ms + query.deadline_ms
            if query.is_open():
                assert self.now_ms < limit_ms, "no result at the deadline"
            elif query.results:
                assert len(query.results) == 1
                assert query.answered_ms <= limit_ms

    @invariant()
    def superseded_sub_queries_are_cancelled(self):
        for sub in self.pending():
            delivered = self.queries[sub.tag].delivered.get(sub.version, set())
            assert sub.cancelled or not delivered.issuperset(sub.parts), (
                "a superseded sub-query was not cancelled"
            )

    @invariant()
    def extra_load_within_budget(self):
        extras, primaries = count_extra(self.sent)
        assert extras <= self.initial_tokens + EXTRA_LOAD_RATIO * primaries + 1e-6

    def teardown(self):
        self.tier.clock.advance(5000)
        self.answered_in_time()
        self.extra_load_within_budget()
        self.check_slots_are_released()

    def check_slots_are_released(self):
        assert self.tier.engine.in_flight() == 0
        for server in SERVERS:
            for route in self.tier.router.routes(server):
                assert route.outstanding == 0, (
                    "a route still counts sub-queries as outstanding"
                )
        known = len(self.queries)
        for _ in range(MAX_RUNNING):
            self.start(100)
        assert self.tier.engine.in_flight() <= MAX_RUNNING
        last = list(self.queries.values())[known:]
        self.tier.clock.advance(100)
        assert all(query.results for query in last)
        problems = [query.results[0] for query in last if query.results[0].is_error()]
        names = {result.error.name for result in problems}
        assert names <= {"no-snapshot"}, "a query slot was not released"
