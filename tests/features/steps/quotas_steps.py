"""Steps on quotas of client accounts over fleets of daemons."""

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from hemlockspoke.tier.accounts.account import Account
from hemlockspoke.tier.edge_settings import Bounds
from hemlockspoke.tier.messages import TokenGrant, TokenRequest
from hemlockspoke.tier.quotas.bucket import TokenBucket
from hemlockspoke.tier.quotas.keeper_schedule import KeeperSchedule
from hemlockspoke.tier.quotas.plan import QuotaPlan
from hemlockspoke.tier.quotas.quota_table import QuotaTable
from tests.bench.quotas import QuotaLoad
from tests.fakes.quota_fleet import QuotaFleet, quota_limit
from tests.fuzz.quota_machine import run_quota_machine

WINDOW_MS = 5000.0
NAME = "ralo"


@when("the quota machine runs {examples:d} examples of {steps:d} steps")
def step_run(context, examples, steps):
    run_quota_machine(examples, steps)


@then("the quota machine has found no violation")
def step_no_violation(context):
    """Nothing to check: the run raises on a violation."""


@then("for any quota, slack and number of failure domains the plan is within the limit")
def step_any_plan(context):
    @for_all(
        st.floats(0.1, 10_000.0),
        st.floats(0.0, 20_000.0),
        st.integers(1, 12),
        st.sampled_from([0.0, 0.1, 0.5]),
        st.sampled_from([0.0, 1.0, 20.0, 100.0]),
    )
    def check(rate_per_s, burst, domain_count, overshoot, slack):
        plan = QuotaPlan.from_quota(
            rate_per_s, burst, domain_count, WINDOW_MS, overshoot, slack
        )
        window_s = WINDOW_MS / 1000.0
        limit = (rate_per_s * window_s + burst) * (1.0 + overshoot) + slack
        assert plan.window_total() <= limit * (1.0 + 1e-9), plan.window_total()
        if limit >= 1.0:
            assert plan.capacity >= 1.0 - 1e-9, plan.capacity

    check()


@then("with the slack of the platform no account is granted less than its quota")
def step_platform_plan(context):
    for domain_count in (1, 3, 6):
        for rate_per_s in (0.1, 1.0, 30.0, 10_000.0):
            for burst in (0.0, 1.0, rate_per_s):
                plan = QuotaPlan.from_quota(
                    rate_per_s, burst, domain_count, WINDOW_MS, 0.1, 20.0
                )
                assert plan.creator_count == domain_count
                assert plan.total_rate_per_s == rate_per_s
                assert plan.creator_count * plan.capacity >= burst + domain_count


@when("{count:d} daemons serve accounts for {duration_s:d} s, {situation}")
def step_load(context, count, duration_s, situation):
    context.row = QuotaLoad(count, situation, duration_ms=duration_s * 1000.0).run()


@then("at least {served:f} of the requests within the quota are served")
def step_served(context, served):
    assert context.row["served"] >= served, context.row


@then("no window is over its limit")
def step_window(context):
    assert context.row["window"] <= 1.0, context.row


@then("for any order of takes, loans and waits no bucket has more than its capacity")
def step_bucket(context):
    actions = st.tuples(
        st.sampled_from(["take", "lend", "add", "wait"]), st.integers(0, 6)
    )

    @for_all(st.lists(actions, max_size=30))
    def check(actions):
        bucket, now_ms, lent = TokenBucket(5.0, 100.0, 5.0, 0.0), 0.0, []
        for action, number in actions:
            if action == "wait":
                now_ms += 20.0 * number
            elif action == "lend":
                count = bucket.lend(number, now_ms, now_ms + 100.0)
                lent.append((now_ms + 100.0, count))
            elif action == "take":
                bucket.take(number, now_ms)
            else:
                bucket.add(number, now_ms)
            on_way = sum(count for until_ms, count in lent if until_ms > now_ms)
            assert bucket.level(now_ms) + on_way <= 5.0 + 1e-9

    check()


def start_fleet(context, count, rate_per_s):
    fleet = context.fleet = QuotaFleet.of_size(count)
    context.account = Account(NAME, rate_per_s=rate_per_s, burst=rate_per_s)
    fleet.read_lists()
    fleet.configure([context.account])
    fleet.clock.advance(16_000.0)
    fleet.read_lists()


@given("a fleet of {count:d} daemons and an account with {rate:d} requests a second")
def step_fleet(context, count, rate):
    start_fleet(context, count, rate)


@given("a fleet of {count:d} daemons and an account without a quota")
def step_free_fleet(context, count):
    start_fleet(context, count, 0)


def keeper_and_other(context):
    """Return the account's keeper in a failure domain and another daemon there."""
    fleet = context.fleet
    vms = fleet.members["a1"]
    keeper_map = fleet.daemons[vms[0]].manager._table.tenure.current
    keeper = keeper_map.ranked(NAME, "a1")[0]
    return keeper, next(vm for vm in vms if vm != keeper)


@when("a daemon is paused for 6 s while a grant is on its way")
def step_paused(context):
    fleet = context.fleet
    _, vm = keeper_and_other(context)
    context.vm = vm
    fleet.daemons[vm].request(context.account)
    # The keeper has sent its grant. A paused process reads it before its timers run.
    fleet.clock.advance(0.3)
    fleet.clock.jump(6000.0)
    queue = fleet.daemons[vm].manager._queues[NAME]
    context.granted = []
    queue._observer = Recorder(queue._observer, context.granted)
    fleet.clock.advance(0.0)


class Recorder:
    """Passes calls on to an observer and notes the grants in time."""

    def __init__(self, observer, granted):
        self._observer = observer
        self._granted = granted

    def __getattr__(self, name):
        return getattr(self._observer, name)

    def granted(self, count):
        self._granted.append(count)


@then("the grant serves no request")
def step_unused(context):
    queue = context.fleet.daemons[context.vm].manager._queues[NAME]
    assert context.granted == []
    assert queue._held.count(context.fleet.clock.now_ms()) == 0


@when("a lender's tokens come 6 s late")
def step_late_lender(context):
    fleet = context.fleet
    keeper, _ = keeper_and_other(context)
    for _ in range(30):
        fleet.daemons[keeper].request(context.account)
    context.lent = fleet.metrics.counters["quota.tokens_lent"]
    # Lenders of other regions have answered.
    fleet.clock.advance(22.0)
    context.borrowed = fleet.metrics.counters["quota.tokens_borrowed"]
    fleet.clock.jump(6000.0)
    fleet.clock.advance(0.0)


@then("its keeper has borrowed none")
def step_none_borrowed(context):
    counters = context.fleet.metrics.counters
    assert counters["quota.tokens_lent"] > context.lent
    assert counters["quota.tokens_borrowed"] == context.borrowed


def parts(fleet):
    """Return the tokens a second that each daemon creates."""
    now_ms = fleet.clock.now_ms()
    return {
        vm: daemon.manager._table.part(NAME, now_ms)[0]
        for vm, daemon in fleet.daemons.items()
    }


@when("a new version divides the quota among half as many keepers")
def step_divided(context):
    fleet = context.fleet
    fleet.bounds.quota_slack = 0.0
    for burst in (20.0, 3.0):
        context.before = parts(fleet)
        fleet.configure([Account(NAME, rate_per_s=80.0, burst=burst)])
        if burst > 3.0:
            fleet.clock.advance(20_000.0)
            fleet.read_lists()
            assert sum(rate > 0 for rate in parts(fleet).values()) == 6


@then("daemons with either version create at most the quota together")
def step_both_versions(context):
    fleet = context.fleet
    after = parts(fleet)
    assert sum(max(rate, context.before[vm]) for vm, rate in after.items()) <= 80.01
    fleet.clock.advance(20_000.0)
    fleet.read_lists()
    after = parts(fleet)
    assert sum(rate > 0 for rate in after.values()) == 3
    assert abs(sum(after.values()) - 80.0) < 1.0, after


@then("without overshoot a hold lasts for a window and 250 ms after the last change")
def step_hold(context):
    bounds = Bounds(quota_overshoot=0.0)
    table = QuotaTable(bounds, tenure=None)
    assert table.hold_ms() == bounds.config_apply_ms + WINDOW_MS + 250.0


@when("{count:d} requests at one daemon proceed, and none of them is run by a server")
def step_returned(context, count):
    fleet = context.fleet
    _, vm = keeper_and_other(context)
    manager = fleet.daemons[vm].manager
    context.refused = 0

    def end(request, admitted, waited_ms):
        context.refused += not admitted
        if admitted:
            fleet.clock.call_later(10.0, manager.gate.finished, request, False)

    for _ in range(count):
        fleet.daemons[vm].request(context.account, end)
        fleet.clock.advance(11.0)


@then("none of them is refused")
def step_none_refused(context):
    assert context.refused == 0, context.refused


@when("a daemon joins that has never been registered")
def step_joins(context):
    fleet = context.fleet
    context.before = keeper_and_other(context)[0]
    members = {domain: list(vms) for domain, vms in fleet.members.items()}
    # The name decides whether it is the keeper.
    for number in range(1000):
        vm = f"a1-new-{number}"
        fleet.members = {**members, "a1": [*members["a1"], vm]}
        registered = {name: dict.fromkeys(vms) for name, vms in fleet.members.items()}
        keeper_map = KeeperSchedule(registered, 0.0).map_at(0.0)
        if keeper_map.ranked(NAME, "a1")[0] == vm:
            break
    context.daemon = fleet.add(vm, "a1")
    context.daemon.read_list(was_registered=False)
    fleet.configure([context.account], [vm])
    fleet.read_lists()


@then("it creates no tokens for 630 s, and the earlier keeper does for 600 s")
def step_waits(context):
    fleet, clock, rate_per_s = context.fleet, context.fleet.clock, 10 / 6
    started_ms = clock.now_ms()
    while clock.now_ms() < started_ms + 700_000.0:
        elapsed_ms = clock.now_ms() - started_ms
        rates_per_s = parts(fleet)
        new, before = rates_per_s[context.daemon.vm], rates_per_s[context.before]
        # Changes of keepers are at multiples of 5 s.
        if not 630_000.0 <= elapsed_ms < 635_000.0:
            assert abs(new - rate_per_s * (elapsed_ms >= 630_000.0)) < 1e-9, new
        if not 600_000.0 <= elapsed_ms < 605_000.0:
            assert abs(before - rate_per_s * (elapsed_ms < 600_000.0)) < 1e-9, before
        clock.advance(5000.0)
        fleet.read_lists()


@when("the keeper of a failure domain ends")
def step_keeper_ends(context):
    keeper, context.vm = keeper_and_other(context)
    context.fleet.stop(keeper)


@then("requests of its failure domain still get tokens")
def step_still_served(context):
    fleet = context.fleet
    admitted = []
    for _ in range(20):
        fleet.daemons[context.vm].request(
            context.account, lambda _, is_admitted, __: admitted.append(is_admitted)
        )
        fleet.clock.advance(200.0)
    assert admitted == [True] * 20, admitted


@when("12 daemons start and half of them are not in the first list")
def step_first_list(context):
    fleet = context.fleet = QuotaFleet.of_size(12)
    context.account = Account(NAME, rate_per_s=60.0, burst=60.0)
    members = fleet.members
    fleet.configure([context.account])
    fleet.members = {domain: vms[:1] for domain, vms in members.items()}
    for vms in fleet.members.values():
        fleet.daemons[vms[0]].read_list()
    fleet.members = members


@then("they create the whole quota after 16 s, and no more before")
def step_whole_quota(context):
    fleet = context.fleet
    fleet.clock.advance(10_000.0)
    fleet.read_lists()
    assert sum(parts(fleet).values()) <= 60.0 + 1e-6
    fleet.clock.advance(6000.0)
    fleet.read_lists()
    assert abs(sum(parts(fleet).values()) - 60.0) < 1e-6, parts(fleet)


@when("{count:d} requests pass the gates")
def step_pass(context, count):
    context.results = []
    for number in range(count):
        daemon = list(context.fleet.daemons.values())[number % 12]
        daemon.request(context.account, lambda *result: context.results.append(result))


@then("all proceed without a message, and no daemon needs a stream")
def step_no_messages(context):
    assert all(admitted for _, admitted, _ in context.results)
    assert len(context.results) == 100
    fleet = context.fleet
    assert fleet.messages == 0
    assert not any(daemon.manager.stream_vms() for daemon in fleet.daemons.values())


@then("malformed token messages change nothing")
def step_malformed(context):
    fleet = context.fleet
    keeper, other = keeper_and_other(context)
    manager = fleet.daemons[keeper].manager
    before = fleet.messages
    odd_values = (None, True, -1, 1.5, float("nan"), "1", [], {}, b"x")
    for odd in odd_values:
        for field in ("account", "ask_id", "count"):
            fields = {"ask_id": 1, "account": NAME, "count": 1, field: odd}
            manager.receive(other, TokenRequest(lend=False, urgent=False, **fields))
            manager.receive(other, TokenRequest(lend=True, urgent=True, **fields))
        for field in TokenGrant.__slots__:
            if field == "lend":
                continue
            fields = dict.fromkeys(TokenGrant.__slots__, 1)
            fields.update({"account": NAME, "lend": True, field: odd})
            manager.receive(other, TokenGrant(**fields))
    assert fleet.messages == before
    # A number beyond all reason is granted in part, and unknown answers have no effect.
    manager.receive(
        other,
        TokenRequest(ask_id=2, account=NAME, count=10**15, lend=False, urgent=False),
    )
    fleet.clock.advance(1000.0)
    limit = quota_limit(context.account, fleet.bounds)
    assert fleet.excess(NAME, lambda _: limit) <= 0
