"""Steps on registrations of daemons and their list, with a manual clock."""

import random

from behave import given, then, when

from hemlockspoke.clock import ManualClock
from hemlockspoke.tier.edge_settings import EdgeSettings
from hemlockspoke.tier.state.feed import Change
from hemlockspoke.tier.state.members import Membership, WriteResult

REGIONS = {"a1": "a", "a2": "a"}


class FakeRegistrations:
    """Registrations in a store that may be away."""

    def __init__(self, changes):
        self.changes = changes
        self.away = False
        self.reads = 0
        self.writes = []
        self.specs = []
        # Reads and writes to be answered later, if these are set.
        self.held_reads = None
        self.held_writes = None

    def read(self, stale, on_read):
        """Read the list."""
        self.reads += 1
        if self.held_reads is None:
            on_read(None if self.away else list(self.changes))
        else:
            self.held_reads.append((on_read, list(self.changes)))

    def write(self, vm, spec, revision, on_written):
        """Write a registration."""
        self.writes.append((spec["peer_address"], revision))
        self.specs.append(spec)
        result = WriteResult(True, revision=99, spec=spec)
        if self.held_writes is None:
            on_written(result)
        else:
            self.held_writes.append((on_written, result))


def registration(clock, vm, address):
    spec = {
        "failure_domain": "a1",
        "peer_address": address,
        "renewed_ms": clock.wall_ms(),
    }
    return Change(vm, spec, revision=7)


def start_member(context, address, away=False):
    clock = context.clock = ManualClock()
    context.registrations = FakeRegistrations(
        [
            registration(clock, "e1", "10.0.0.1:7"),
            registration(clock, "e2", "10.0.0.2:7"),
        ]
    )
    context.registrations.away = away
    settings = EdgeSettings(
        vm="e1",
        failure_domain="a1",
        region="a",
        failure_domains=REGIONS,
        caller_address=None,
        ready_address=None,
        peer_address=address,
        store_address=None,
    )
    context.peers = []
    context.member = Membership(
        clock,
        settings,
        context.registrations,
        context.peers.append,
        random.Random(1),
    )
    context.member.start()


@given("a daemon that starts again with the same address")
def step_same_address(context):
    start_member(context, "10.0.0.1:7")


@given("a daemon that starts again with another address")
def step_other_address(context):
    start_member(context, "10.0.0.9:7")


@given(
    "a daemon that starts again while the store is away for {duration_ms:d} ms",
)
def step_store_away(context, duration_ms):
    start_member(context, "10.0.0.1:7", away=True)
    context.clock.advance(float(duration_ms))
    assert not context.peers
    context.registrations.away = False


@then("it reads the list of daemons once, and writes nothing")
def step_writes_nothing(context):
    context.clock.advance(5000.0)
    assert context.registrations.reads == 1 and not context.registrations.writes


@then("its registration is written again within {seconds:d} s")
def step_renewed(context, seconds):
    context.clock.advance(1000.0 * seconds)
    assert context.registrations.writes == [("10.0.0.1:7", 7)]


@then("it reads the list of daemons once, and writes its address")
def step_writes_address(context):
    context.clock.advance(5000.0)
    assert context.registrations.reads == 1
    assert context.registrations.writes == [("10.0.0.9:7", 7)]


@then("it knows the other daemons {delay_ms:d} ms after the store is back")
def step_knows_others(context, delay_ms):
    context.clock.advance(float(delay_ms))
    assert [peer.vm for peer in context.peers[-1]] == ["e2"]


def hold_read(context):
    """Wait until a read of the list is in progress, and hold its answer back."""
    context.clock.advance(1000.0)
    context.registrations.held_reads = []
    context.clock.advance(13_000.0)
    assert len(context.registrations.held_reads) == 1


@given("a daemon whose read of the list takes long")
def step_slow_read(context):
    start_member(context, "10.0.0.1:7")
    hold_read(context)


@when("another daemon registers and connects before the list arrives")
def step_connects(context):
    registrations = context.registrations
    registrations.changes.append(registration(context.clock, "e3", "10.0.0.3:7"))
    context.member.read_soon()
    (on_read, changes), registrations.held_reads = registrations.held_reads[0], None
    on_read(changes)


@then("it knows that daemon {delay_ms:d} ms after the list")
def step_knows_new(context, delay_ms):
    context.clock.advance(float(delay_ms))
    assert "e3" in [peer.vm for peer in context.peers[-1]]


@given("it is closed before its first read of the list")
def step_closed_early(context):
    context.member.stop()


@given("it is closed while it reads the list")
def step_closed_reading(context):
    hold_read(context)
    context.member.stop()
    for on_read, changes in context.registrations.held_reads:
        on_read(changes)


@given("it is closed between two reads of the list")
def step_closed_between(context):
    context.clock.advance(1000.0)
    context.member.stop()


@given("it is closed while an unknown daemon connects")
def step_closed_connecting(context):
    context.clock.advance(1000.0)
    context.member.read_soon()
    context.member.stop()
    context.member.read_soon()


@given("it is closed while it renews its registration")
def step_closed_renewing(context):
    context.registrations.held_writes = []
    context.clock.advance(130_000.0)
    context.member.stop()
    assert context.registrations.held_writes
    for on_written, result in context.registrations.held_writes:
        on_written(result)


def start_registered(context, fields):
    """Start a daemon whose registration in the store has these fields as well."""
    start_member(context, "10.0.0.1:7")
    context.registrations.changes[0].spec.update(fields)
    context.claimed = []


@given("a daemon that was registered {age_s:d} s ago and starts again")
def step_registered(context, age_s):
    registered_ms = ManualClock().wall_ms() - 1000 * age_s
    start_registered(context, {"registered_ms": registered_ms})


@given("a daemon whose process used start tokens {age_s:d} s ago and starts again")
def step_used(context, age_s):
    now_ms = ManualClock().wall_ms()
    fields = {"registered_ms": now_ms - 900_000, "started_ms": now_ms - 1000 * age_s}
    start_registered(context, fields)


@given("a daemon whose registration of {age_s:d} s ago was never renewed starts again")
def step_expired(context, age_s):
    old_ms = ManualClock().wall_ms() - 1000 * age_s
    start_registered(context, {"registered_ms": old_ms, "renewed_ms": old_ms})


@when("it asks to use start tokens, and the store answers")
def step_asks(context):
    context.clock.advance(100.0)
    context.member.claim_start(12_000.0, context.claimed.append)


@when("it asks to use start tokens, and the store does not answer")
def step_asks_unanswered(context):
    context.registrations.held_writes = []
    step_asks(context)
    assert len(context.registrations.held_writes) == 1


@then("it may use them, and the store has the time of its start")
def step_may_use(context):
    assert len(context.claimed) == 1
    assert context.registrations.writes == [("10.0.0.1:7", 7)]
    assert context.registrations.specs[0]["started_ms"] == context.clock.wall_ms()


@then("it may not use them")
def step_may_not_use(context):
    context.clock.advance(1000.0)
    assert not context.claimed
    assert context.registrations.held_writes or not context.registrations.writes


@then("it may not use them, and its registration is new")
def step_registered_anew(context):
    context.clock.advance(1000.0)
    assert not context.claimed
    (spec,) = context.registrations.specs
    assert spec["registered_ms"] == spec["renewed_ms"]


@then("renewals keep the time of its registration, {age_s:d} s ago, and of its start")
def step_kept(context, age_s):
    context.clock.advance(300_000.0)
    specs = context.registrations.specs
    assert len(specs) == 3
    registered_ms = ManualClock().wall_ms() - 1000 * age_s
    assert {spec["registered_ms"] for spec in specs} == {registered_ms}
    assert len({spec["started_ms"] for spec in specs}) == 1


@when("its clock is off by {offset_s:d} s, and {count:d} others are registered")
def step_clock_off(context, offset_s, count):
    changes = context.registrations.changes
    for number in range(count):
        vm = f"e{number + 2}"
        changes[1 + number :] = [registration(context.clock, vm, "10.0.0.2:7")]
    context.clock.wall_offset_ms += 1000 * offset_s
    # An earlier process has renewed it with the same clock.
    changes[0].spec["renewed_ms"] = context.clock.wall_ms()
    context.clock.advance(100.0)


@then("the list counts as one that has it")
def step_has_it(context):
    assert context.member.was_registered


@then("the list does not count as one that has it")
def step_has_it_not(context):
    assert not context.member.was_registered


@then("it makes no further call within {seconds:d} s")
def step_no_further_call(context, seconds):
    registrations = context.registrations
    counts = registrations.reads, len(registrations.writes)
    context.clock.advance(1000.0 * seconds)
    assert counts == (registrations.reads, len(registrations.writes))
