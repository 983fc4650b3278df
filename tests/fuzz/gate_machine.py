"""Stateful fuzzing of the real ``Holder`` and ``Gate`` against an oracle."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from hemlockspoke.errors import UpstreamErrorKind
from hemlockspoke.messages import OrderSend, ServerState, SubQueryBatch, SubQueryCancel
from hemlockspoke.requests import Share
from tests.fakes.holder_side import HolderFixture, Observer
from tests.fuzz.gate_oracle import RAMP_SUCCESSES, SUCCESS, Oracle

FAILURES = [
    "shed",
    "draining",
    "version_gone",
    "stalled",
    "timeout",
    "broken",
    "failed",
]
MAX_DEADLINE_MS = 4000
FULL_SHARE = Share(4, 8, 1)
EVENTS_WHILE_CONNECTING = [
    "peer_turns_cold",
    "domain_goes_out",
    "share_shrinks",
    "pause",
    "lose_peer",
]
SHARES = [FULL_SHARE, Share(2, 4, 1), Share(3, 4, 0), Share(1, 1, 1), Share(), None]


class OracleObserver(Observer):
    """Reports upstream events to the oracle before the holder sees them."""

    def __init__(self, oracle, client):
        self.oracle = oracle
        self.client = client

    def sent(self, call):
        self.oracle.note_sent(call, len(self.client.open_calls()))

    def refused(self):
        self.oracle.reset_to_cold()

    def polled(self, status):
        self.oracle.observe_status(status)


class GateMachine(RuleBasedStateMachine):
    """Faults and changes at one server ``s`` that a holder must handle."""

    def __init__(self):
        super().__init__()
        self.fixture = HolderFixture(["s"], RAMP_SUCCESSES)
        self.holder = self.fixture.holder
        self.clock = self.fixture.clock
        self.oracle = Oracle(self.clock)
        self.incarnation_number = 1
        self.peer_sequence = 0
        self.next_id = 0
        self.sub_ids = []
        self.change_share(FULL_SHARE)
        self.client = self.fixture.clients["s"]
        self.client.observer = OracleObserver(self.oracle, self.client)
        self.clock.advance(0)

    def incarnation(self):
        return f"s.{self.incarnation_number}"

    def change_share(self, share):
        if not self.oracle.slots:
            self.oracle.require_proof()
        amounts = share or Share()
        self.oracle.slots = amounts.slots
        self.oracle.cold_start_slots = amounts.cold_start_slots
        self.holder.set_share("s", share)

    # Work

    @initialize(rounds=st.sampled_from([0, 2 * RAMP_SUCCESSES]))
    def warm_up(self, rounds):
        self.answer_rounds(rounds)

    @rule()
    def fill_queues(self):
        """Send more work than there are slots, so that some is queued."""
        self.query(3, "shop", MAX_DEADLINE_MS)
        self.order(100 + self.next_id, MAX_DEADLINE_MS)
        self.query(3, "depot", MAX_DEADLINE_MS)

    @rule(
        count=st.integers(1, 3),
        service=st.sampled_from(["shop", "depot"]),
        remaining_ms=st.sampled_from([40, 400, MAX_DEADLINE_MS]),
    )
    def query(self, count, service, remaining_ms):
        self.next_id += 1
        request_id = f"q{self.next_id}"
        added = [f"{request_id}/{number}" for number in range(count)]
        self.sub_ids += added
        self.oracle.expect_answers(added, remaining_ms)
        batch = SubQueryBatch(
            request_id=request_id,
            service=service,
            index="bins",
            version=1,
            remaining_ms=remaining_ms,
            traceparent=None,
            query={},
            items=[[number, "s", [0]] for number in range(count)],
        )
        self.holder.execute("entry", batch, self.oracle.note_answers)

    @precondition(lambda self: self.sub_ids)
    @rule(data=st.data())
    def cancel(self, data):
        chosen = data.draw(st.sampled_from(self.sub_ids[-4:]))
        self.oracle.cancelled.add(chosen)
        request_id, sub_id = chosen.split("/")
        message = SubQueryCancel(request_id=request_id, sub_ids=[int(sub_id)])
        for call in self.client.open_calls():
            if call.request.request_id == chosen:
                self.oracle.observe_end(call, "cancelled", None)
        self.holder.cancel("entry", message)

    @rule(rounds=st.integers(1, 5))
    def answer_rounds(self, rounds):
        """Answer some rounds of queries, which raises the cold-start limit."""
        for _ in range(rounds):
            self.query(3, "shop", MAX_DEADLINE_MS)
            while self.client.open_calls():
                self.end_call(self.client.open_calls()[0], SUCCESS)

    @rule(number=st.integers(1, 6), remaining_ms=st.sampled_from([40, 2000]))
    def order(self, number, remaining_ms):
        request_id = f"o{number}"
        message_counts = self.oracle.order_message_counts
        message_counts[request_id] = message_counts.get(request_id, 0) + 1
        message = OrderSend(
            request_id=request_id,
            service="shop",
            server="s",
            idempotency_key=request_id,
            remaining_ms=remaining_ms,
            traceparent=None,
            body={},
        )
        self.holder.send_order("entry", message, self.oracle.note_order_answer)

    @rule()
    def lose_peer(self):
        self.oracle.cancelled.update(self.sub_ids)
        for call in self.client.open_calls():
            if call.kind == "query":
                self.oracle.observe_end(call, "cancelled", None)
        self.holder.peer_lost("entry")

    # Upstream

    @precondition(lambda self: self.client.open_calls())
    @rule(data=st.data(), count=st.integers(1, 4))
    def succeed(self, data, count):
        for _ in range(min(count, len(self.client.open_calls()))):
            call = data.draw(st.sampled_from(self.client.open_calls()))
            self.end_call(call, SUCCESS)

    @precondition(lambda self: self.client.open_calls())
    @rule(data=st.data(), outcome=st.sampled_from(FAILURES))
    def fail_call(self, data, outcome):
        self.end_call(data.draw(st.sampled_from(self.client.open_calls())), outcome)

    def end_call(self, call, outcome):
        self.oracle.observe_end(call, outcome, self.incarnation())
        if outcome == SUCCESS:
            call.succeed(self.incarnation())
            return
        replied = outcome in ("shed", "draining", "version_gone")
        incarnation = self.incarnation() if replied else None
        call.fail(UpstreamErrorKind(outcome), incarnation, {} if replied else None)

    @rule(data=st.data(), outcome=st.sampled_from([*FAILURES, "lost connection"]))
    def fail_under_load(self, data, outcome):
        self.fill_queues()
        if outcome == "lost connection":
            self.lose_connection()
        elif self.client.open_calls():
            self.fail_call(data, outcome)
        for call in list(self.client.open_calls())[:2]:
            self.end_call(call, SUCCESS)

    @rule()
    def interrupt_ramp(self):
        """Interrupt the successes with a failure right before the limit rises."""
        self.query(1, "shop", MAX_DEADLINE_MS)
        successes = [SUCCESS] * (RAMP_SUCCESSES - 1)
        for outcome in ["shed", *successes, "failed", *successes]:
            self.query(1, "shop", MAX_DEADLINE_MS)
            if self.client.open_calls():
                self.end_call(self.client.open_calls()[0], outcome)
        self.fill_queues()

    @rule()
    def idle_then_fill(self):
        self.clock.advance(6000)
        self.fill_queues()

    @rule(outcome=st.sampled_from(["stalled", "shed", "timeout"]))
    def fail_orders(self, outcome):
        self.fill_queues()
        for call in list(self.client.open_calls()):
            if call.kind == "order":
                self.end_call(call, outcome)

    @rule(polled=st.booleans())
    def restart_unseen(self, polled):
        self.incarnation_number += 1
        if polled:
            self.report_status("live", 0)

    @rule()
    def crash(self):
        self.incarnation_number += 1
        for call in list(self.client.open_calls()):
            self.end_call(call, "broken")
        self.lose_connection()

    def lose_connection(self):
        self.oracle.require_proof()
        self.client.loss_listener()

    @rule(polled=st.booleans())
    def refuse_connections(self, polled):
        self.client.unreachable = True
        self.query(1, "shop", MAX_DEADLINE_MS)
        if polled:
            self.clock.advance(1000)
        self.client.unreachable = False

    @rule(event=st.sampled_from(EVENTS_WHILE_CONNECTING))
    def change_while_connecting(self, event):
        """Apply a change between the start of a request and its first byte."""
        self.client.delay_sends = True
        self.query(3, "shop", MAX_DEADLINE_MS)
        self.order(7, MAX_DEADLINE_MS)
        getattr(self, event)()
        self.client.delay_sends = False
        self.client.flush()

    def peer_turns_cold(self):
        self.receive_peer_state("cold", False)

    def domain_goes_out(self):
        if not self.oracle.out:
            self.take_out(["fd"])

    def share_shrinks(self):
        self.change_share(Share(1, 1, 1))

    @rule(
        state=st.sampled_from(["live", "live", "draining"]),
        lag=st.integers(0, 2),
    )
    def report_status(self, state, lag):
        reported_incarnation = f"s.{max(1, self.incarnation_number - lag)}"
        self.client.next_status = (reported_incarnation, state, 0, {})
        self.clock.advance(1000)
        self.fill_queues()

    # Shares, configuration and other holders

    @rule(share=st.sampled_from(SHARES))
    def set_share(self, share):
        self.change_share(share)

    @rule()
    def share_returns(self):
        self.change_share(None)
        self.change_share(FULL_SHARE)
        self.fill_queues()

    @precondition(lambda self: not self.oracle.out)
    @rule(domains=st.sampled_from([["fd"], []]))
    def take_out(self, domains):
        self.oracle.out = True
        vms = [] if domains else ["s"]
        self.fixture.configuration.set_fleet(domains, vms)

    @precondition(lambda self: self.oracle.out)
    @rule()
    def bring_back(self):
        self.oracle.out = False
        self.oracle.reset_to_cold()
        self.fixture.configuration.set_fleet()

    @rule(state=st.sampled_from(["cold", "warm"]), repeated=st.booleans())
    def receive_peer_state(self, state, repeated):
        if not repeated:
            self.peer_sequence += 1
        is_new = not repeated
        self.oracle.observe_peer_state(state, self.incarnation(), is_new)
        message = ServerState(
            server="s",
            incarnation=self.incarnation(),
            state=state,
            sequence=self.peer_sequence,
        )
        self.holder.note_server_state("other", message)

    @rule()
    def pause(self):
        self.fixture.pause_detector.pause_ms = 2000

    @rule(duration_ms=st.sampled_from([0, 10, 300, 1000, 6000]))
    def wait(self, duration_ms):
        self.clock.advance(duration_ms)

    # Checks

    @invariant()
    def no_violations(self):
        self.oracle.check_deadlines()
        assert not self.oracle.failures, self.oracle.failures
        assert not self.fixture.invariants.violations, (
            self.fixture.invariants.violations
        )
        in_use = self.holder.in_use("s").slots
        assert in_use >= len(self.client.open_calls()), in_use
        gate = self.holder.gates()["s"]
        assert not gate.queued() or gate.in_use >= gate.permitted()

    def teardown(self):
        self.clock.advance(2 * MAX_DEADLINE_MS)
        self.oracle.check_orders_answered()
        self.no_violations()
        assert self.holder.idle()
        assert self.holder.in_use("s").slots == 0
        self.check_recovery()

    def check_recovery(self):
        """Check that all slots of a healthy server can be used, so that none leaked."""
        self.change_share(FULL_SHARE)
        if self.oracle.out:
            self.bring_back()
        self.fixture.pause_detector.pause_ms = 0
        for state in ("draining", "live"):
            self.client.next_status = (self.incarnation(), state, 0, {})
            self.clock.advance(1000)
        self.answer_rounds(2 * RAMP_SUCCESSES)
        self.query(3, "shop", MAX_DEADLINE_MS)
        self.query(3, "shop", MAX_DEADLINE_MS)
        self.no_violations()
        assert len(self.client.open_calls()) == FULL_SHARE.slots


def run_gate_machine(examples, steps):
    """Run the machine; raises if a sequence of events violates an invariant."""
    run_settings = settings(max_examples=examples, stateful_step_count=steps)
    run_state_machine_as_test(GateMachine, settings=run_settings)
