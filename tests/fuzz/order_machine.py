"""Stateful fuzzing of orders: at-most-once execution and correct refusals."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hemlockspoke.errors import Outcome
from hemlockspoke.messages import OrderSend
from tests.fuzz.order_world import HOLDER, VMS, OrderSimulation

KEYS = st.sampled_from(["key-1", "key-2"])
WRITE_FAULTS = st.sampled_from(["reply_lost", "not_applied", "applied_late"])
SETTLE_MS = 60_000


class OrderMachine(RuleBasedStateMachine):
    """Callers, retries on other VMs, crashes, lost replies and lost streams."""

    def __init__(self):
        super().__init__()
        self.world = OrderSimulation()

    @rule(vm=st.sampled_from(VMS), key=KEYS)
    def submit(self, vm, key):
        self.world.submit(vm, key, {"coils": 2})

    @rule(vms=st.permutations(VMS), key=KEYS, delta_ms=st.sampled_from([0, 5, 60]))
    def submit_to_two_vms(self, vms, key, delta_ms):
        for vm in vms[:2]:
            self.world.submit(vm, key, {"coils": 2})
            self.world.clock.advance(delta_ms)

    @precondition(lambda self: self.world.envelopes)
    @rule(actions=st.lists(st.sampled_from(["run", "not_sent"]), max_size=4))
    def deliver_all_messages(self, actions):
        """Deliver all messages in transit in order; holders run orders by default."""
        actions = list(actions)
        while self.world.envelopes:
            envelope = self.world.envelopes.pop(0)
            if not isinstance(envelope.message, OrderSend):
                self.world.deliver(envelope)
            elif actions and actions.pop() == "not_sent":
                self.world.answer(envelope, "not_sent")
            else:
                self.world.execute(envelope)

    @rule(vm=st.sampled_from(VMS), key=KEYS)
    def submit_other_body(self, vm, key):
        self.world.submit(vm, key, {"coils": 3})

    @rule(delta_ms=st.sampled_from([1, 5, 60, 200, 600, 1500]))
    def advance(self, delta_ms):
        self.world.clock.advance(delta_ms)

    @rule(delta_ms=st.sampled_from([300, 3000]))
    def pause_all_processes(self, delta_ms):
        self.world.clock.jump(delta_ms)

    @rule(fault=WRITE_FAULTS)
    def fail_next_write(self, fault):
        self.world.store.pending_write_faults.append(fault)

    @rule(down=st.booleans())
    def set_store_availability(self, down):
        self.world.store.down = down

    @rule(vm=st.sampled_from(VMS))
    def restart(self, vm):
        self.world.start(vm)

    def orders_in_transit(self):
        return [e for e in self.world.envelopes if isinstance(e.message, OrderSend)]

    @precondition(lambda self: self.orders_in_transit())
    @rule(data=st.data(), action=st.sampled_from(["run", "not_sent", "not_run"]))
    def holder_handles(self, data, action):
        envelope = data.draw(st.sampled_from(self.orders_in_transit()))
        self.world.envelopes.remove(envelope)
        if action == "run":
            self.world.execute(envelope)
        else:
            self.world.answer(envelope, action)

    @precondition(lambda self: self.orders_in_transit())
    @rule(data=st.data())
    def holder_runs_without_answer(self, data):
        envelope = data.draw(st.sampled_from(self.orders_in_transit()))
        self.world.envelopes.remove(envelope)
        self.world.execute(envelope, "unknown")

    def other_messages_in_transit(self):
        return [e for e in self.world.envelopes if not isinstance(e.message, OrderSend)]

    @precondition(lambda self: self.other_messages_in_transit())
    @rule(data=st.data(), twice=st.booleans())
    def deliver(self, data, twice):
        envelope = data.draw(st.sampled_from(self.other_messages_in_transit()))
        if not twice:
            self.world.envelopes.remove(envelope)
        self.world.deliver(envelope)

    @rule(vm=st.sampled_from(VMS), other=st.sampled_from([*VMS, HOLDER]))
    def lose_stream(self, vm, other):
        world = self.world
        endpoints = {vm, other}
        world.envelopes = [
            e
            for e in world.envelopes
            if {e.source, e.target} != endpoints or isinstance(e.message, OrderSend)
        ]
        world.engines[vm].peer_lost(other)

    @invariant()
    def no_engine_has_failed(self):
        assert not self.world.failures, self.world.failures[0]

    @invariant()
    def each_order_runs_at_most_once(self):
        keys = [key for key, _, _ in self.world.executions]
        assert len(keys) == len(set(keys)), (
            f"an order ran twice: {self.world.executions}"
        )

    @invariant()
    def results_match_executions(self):
        ran = {key for key, _, _ in self.world.executions}
        for caller in self.world.callers:
            if caller.answer is None:
                continue
            if caller.answer.is_ok():
                assert caller.key in ran
                assert caller.answer.ok.result["key"] == caller.key

    @invariant()
    def refused_requests_never_run(self):
        """A request that was refused as not run must not have run its order.

        Only keys with a single request are checked, since a later request with the
        same key may run the order.
        """
        for caller in self.world.callers:
            if caller.answer is None or caller.answer.is_ok():
                continue
            if caller.answer.error.outcome is not Outcome.NOT_RUN:
                continue
            same_key = [c for c in self.world.callers if c.key == caller.key]
            if len(same_key) == 1:
                ran = {key for key, _, _ in self.world.executions}
                assert caller.key not in ran, "refused as not run, but the order ran"

    def teardown(self):
        """After the faults, each caller gets an answer and each attempt is settled."""
        world = self.world
        world.store.down = False
        world.store.pending_write_faults.clear()
        for _ in range(20):
            world.clock.advance(SETTLE_MS / 20)
        for engine in world.engines.values():
            assert engine.in_flight() == 0
            assert engine.unsettled() == 0, "an attempt was not settled"
