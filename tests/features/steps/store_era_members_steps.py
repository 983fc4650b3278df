"""Steps on registrations of daemons when the store has come back older."""

import random

from behave import given, then, when

from hemlockspoke.address import Address
from hemlockspoke.clock import ManualClock
from hemlockspoke.tier.edge_settings import EdgeSettings
from hemlockspoke.tier.state.feed import Change
from hemlockspoke.tier.state.members import Membership, WriteResult
from hemlockspoke.tier.state.store_era import StoreEras

HOLD_MS = 1000.0


class StoredRegistrations:
    """Registrations in a store that executes each call at once."""

    def __init__(self):
        self.specs = {}
        self.failing_reads = 0
        # Called before each answer.
        self.on_answer = None

    def read(self, stale, on_read):
        """Read the list."""
        if self.failing_reads:
            self.failing_reads -= 1
            on_read(None)
            return
        self.on_answer()
        on_read([Change(vm, spec, revision=7) for vm, spec in self.specs.items()])

    def write(self, vm, spec, revision, on_written):
        """Write a registration; one that exists is replaced at a revision only."""
        self.on_answer()
        if revision is None and vm in self.specs:
            on_written(WriteResult(False, True, 7, self.specs[vm]))
            return
        self.specs[vm] = spec
        on_written(WriteResult(True, revision=7, spec=spec))


def registration(clock, era):
    return {
        "failure_domain": "a1",
        "peer_address": "10.0.0.1:7",
        "renewed_ms": clock.wall_ms(),
        "registered_ms": clock.wall_ms() - 100_000,
        "store_era": era,
    }


def start_member(context, era, first_start=False):
    context.eras, context.peers = StoreEras(), []
    context.store.on_answer = lambda: context.eras.observe(era)
    settings = EdgeSettings(
        vm="e1",
        failure_domain="a1",
        region="a",
        failure_domains={"a1": "a"},
        caller_address=None,
        ready_address=None,
        peer_address=Address("10.0.0.1", 7),
        store_address=None,
        first_start=first_start,
    )
    context.member = Membership(
        context.clock,
        settings,
        context.store,
        lambda peers: context.peers.append(
            ([peer.vm for peer in peers], context.member.was_registered)
        ),
        random.Random(1),
        context.eras,
    )
    context.member.start()
    context.clock.advance(12_000.0)


@given('a daemon "e1" that is registered, and knows "e2"')
def step_registered(context):
    context.clock, context.store = ManualClock(now_ms=1e6), StoredRegistrations()
    other = {**registration(context.clock, 1), "peer_address": "10.0.0.2:7"}
    context.store.specs["e2"] = other
    start_member(context, 1, first_start=True)
    assert context.peers[-1] == (["e2"], True), context.peers


@then("the store has its registration of era {era:d}")
def step_era(context, era):
    assert context.store.specs["e1"]["store_era"] == era, context.store.specs


@when("the store comes back without registrations")
def step_lost(context):
    context.written = context.store.specs.pop("e1")
    context.store.specs.clear()
    context.peers.clear()
    context.eras.observe(2)


@when("the store comes back without registrations, and fails {count:d} reads")
def step_lost_and_failing(context, count):
    context.store.failing_reads = count
    step_lost(context)


@then('"e1" has written the one of before within {limit_s:d} s')
def step_written_again(context, limit_s):
    context.clock.advance(1000.0 * limit_s)
    spec = context.store.specs["e1"]
    assert spec["registered_ms"] == context.written["registered_ms"]
    assert spec["store_era"] == 2


@then('it counts as registered, and knows "e2", all the time')
def step_counts(context):
    context.clock.advance(40_000.0)
    assert len(context.peers) > 3
    assert all(seen == (["e2"], True) for seen in context.peers), context.peers


@then("it knows no other daemon")
def step_knows_none(context):
    assert context.peers[-1] == ([], True), context.peers[-1]


@given('a daemon "e1" that is registered, and has used start tokens')
def step_used(context):
    context.clock, context.store = ManualClock(now_ms=1e6), StoredRegistrations()
    context.store.specs["e1"] = context.copy = registration(context.clock, 1)
    claims = []
    start_member(context, 1)
    context.member.claim_start(HOLD_MS, claims.append)
    assert len(claims) == 1 and "started_ms" in context.store.specs["e1"]


@when("the store comes back with the registration from before that")
def step_older(context):
    context.written = context.store.specs["e1"]
    context.store.specs["e1"] = context.copy
    context.eras.observe(2)


@then("within {limit_s:d} s the store has the registration that names the start")
def step_names_start(context, limit_s):
    context.clock.advance(1000.0 * limit_s)
    spec = context.store.specs["e1"]
    assert spec["started_ms"] == context.written["started_ms"], spec


@given("a process that finds a registration of era {written:d} in era {current:d}")
def step_finds(context, written, current):
    context.clock, context.store = ManualClock(now_ms=1e6), StoredRegistrations()
    context.store.specs["e1"] = registration(context.clock, written)
    start_member(context, current)


@then("it {answer} use start tokens")
def step_may_use(context, answer):
    claims = []
    context.member.claim_start(HOLD_MS, claims.append)
    assert bool(claims) == (answer == "may")
