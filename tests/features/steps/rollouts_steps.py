"""Steps on rollouts of simulated fleets."""

import re

from behave import given, then, when

from hemlockspoke.tier.messages import RolloutEvidence, RolloutState
from hemlockspoke.tier.rollouts.evidence import MAX_ROWS, Counts, time_bin
from hemlockspoke.tier.rollouts.messages import rollout_of
from hemlockspoke.tier.rollouts.order import Order, Phase
from hemlockspoke.tier.rollouts.rollout import Rollout
from hemlockspoke.tier.rollouts.verdict import judge
from tests.rollout_world import DURATION_MS, SERVICE, Fault, RolloutWorld

FAULTS = {
    "10% fail": Fault(0.1),
    "40% fail": Fault(0.4),
    "100% fail": Fault(1.0),
    "3 times slower": Fault(slow=3.0),
    "8 times slower": Fault(slow=8.0),
    "40% fail after half of time": Fault(0.4, from_fraction=0.5),
    "one route of six fails": Fault(1.0, route="route-2"),
}
SERVERS_BY_RATE = {20: 3, 4: 6, 200: 20}
# Orders are followed for this long, which lets late writes end.
RUN_MS = 16_000.0
# Messages between daemons take up to 40 ms, and a daemon examines orders each 125 ms.
SPREAD_MS = 200.0


@given(
    "fleets of {daemons:d} daemons with {rate:d} requests a second, "
    "seeds {first:d} to {last:d}, {state}"
)
def step_fleets(context, daemons, rate, first, last, state):
    context.worlds = [
        RolloutWorld(
            daemons,
            rate,
            SERVERS_BY_RATE[rate],
            seed=seed,
            trouble=state == "a region in trouble",
        )
        for seed in range(first, last + 1)
    ]


def rows_of(text, is_target):
    """Return rows of servers in regions of their own, from "50 with 1 failure, 47"."""
    rows = {}
    for region, part in zip("abc", text.split(", "), strict=True):
        answers, bad = (int(n) for n in re.findall(r"\d+", f"{part} 0")[:2])
        slow = bad if "slow" in part else 0
        times = {time_bin(30.0): answers - bad, time_bin(300.0): slow}
        key = ("route", region, f"server-{region}-{is_target}", is_target)
        rows[key] = Counts(bad - slow, times)
    return rows


@given("answers of the old version: {text}")
def step_old_answers(context, text):
    context.rows = rows_of(text, False)


@when("servers of the target version answer {text}")
def step_target_answers(context, text):
    context.judgement = judge({**context.rows, **rows_of(text, True)})


@then("the target version is {result}")
def step_judgement(context, result):
    judgement = context.judgement
    expected = {"fit": (False, False), "suspect": (False, True), "bad": (True, True)}
    found = (judgement.is_bad, judgement.is_suspect)
    assert found == expected[result], judgement.reason


@given("a daemon that first sees an order as {state}, at revision {revision:d}")
def step_first_seen(context, state, revision):
    order = Order(
        SERVICE, SERVICE, "v2", DURATION_MS, revision, is_running=state == "running"
    )
    context.rollouts = {SERVICE: Rollout(order, 0.0)}


@when("a message says {phase} of the order at revision {revision:d}")
def step_message(context, phase, revision):
    message = RolloutState(
        service=SERVICE,
        target_version="v2",
        era=0,
        revision=revision,
        phase=phase,
        share=0.0,
        age_ms=0,
        reason="",
    )
    context.found = rollout_of(context.rollouts, message)


@then("the message is {result}")
def step_message_result(context, result):
    expected = context.rollouts[SERVICE] if result == "taken" else None
    assert context.found is expected


@given("the target version has no servers")
def step_no_servers(context):
    for world in context.worlds:
        world.entries = [entry for entry in world.entries if entry.version == "v1"]


@given("the decider is killed between verdict and write")
def step_kill_before_write(context):
    for world in context.worlds:
        world.on_first_write = "kill before"


@given("the decider is killed between write and reply")
def step_kill_after_write(context):
    for world in context.worlds:
        world.on_first_write = "kill after"


@given("a third of the daemons is cut off from 3 s to 8 s")
def step_partition(context):
    for world in context.worlds:
        # The decider is among them.
        cut_off = {world.decider(), *world.vms[: len(world.vms) // 3]}
        world.clock.call_later(3000.0, world.cut_off.update, cut_off)
        world.clock.call_later(8000.0, world.cut_off.clear)


@given("the store is up")
def step_store_up(context):
    assert all(world.store_mode == "up" for world in context.worlds)


@given("the store is {how} from {from_s:d} s to {to_s:d} s")
def step_store_away(context, how, from_s, to_s):
    set_store_mode(context, how, from_s, to_s)


@given("the store answers after 5 s from {from_s:d} s to {to_s:d} s")
def step_store_slow(context, from_s, to_s):
    set_store_mode(context, "slow", from_s, to_s)


def set_store_mode(context, mode, from_s, to_s):
    for world in context.worlds:
        world.clock.call_later(1000.0 * from_s, setattr, world, "store_mode", mode)
        world.clock.call_later(1000.0 * to_s, setattr, world, "store_mode", "up")


@given('writes of "running" take effect after {delay_ms:d} ms')
def step_running_slow(context, delay_ms):
    for world in context.worlds:
        world.running_write_ms = float(delay_ms)


@given('a write of "running" takes effect just before that of the end')
def step_running_before_end(context):
    for world in context.worlds:
        world.running_write_ms = float("inf")


@given("the replies to writes are lost")
def step_lost_replies(context):
    for world in context.worlds:
        world.store_mode = "replies lost"


@given("a daemon that collects starts again at {at_s:d} s")
def step_restart(context, at_s):
    for world in context.worlds:
        vm = world.decider()
        world.clock.call_later(1000.0 * at_s, world.kill, vm)
        world.clock.call_later(1000.0 * at_s + 500.0, world.start_daemon, vm)


@given("the decider does not learn of the order")
def step_without_order(context):
    for world in context.worlds:
        world.without_order = {world.decider()}


@when("orders move the service to a good version")
def step_good(context):
    for world in context.worlds:
        world.run(RUN_MS)


@when("orders move the service to a version that is bad: {fault}")
def step_bad(context, fault):
    for world in context.worlds:
        world.fault = FAULTS[fault]
        world.run(RUN_MS)


@when("each is replaced by an order for the version in use")
def step_replace(context):
    for world in context.worlds:
        assert world.verdict() == "rolled_back"
        revision = world.order.revision + 1
        world.set_order(Order(SERVICE, SERVICE, "v1", DURATION_MS, revision))
        # The servers of the version that was rolled back drain and are removed.
        world.entries = [entry for entry in world.entries if entry.version == "v1"]
        for vm, directory in world.directories.items():
            world.clock.call_later(1000.0, directory.set_servers, world.entries)
            assert vm in world.managers
        world.run(RUN_MS)


@when("each is removed after it has ended")
def step_remove(context):
    for world in context.worlds:
        world.set_order(None)
        world.run(2000.0)


@when("all daemons start again after that")
def step_restart_all(context):
    for world in context.worlds:
        context.count_before = len(world.target_times_ms)
        for vm in world.vms:
            world.kill(vm)
        for vm in world.vms:
            world.start_daemon(vm)
        world.run(6000.0)


@when("daemons get odd messages about the order")
def step_odd_messages(context):
    (world,) = context.worlds
    world.clock.advance(500.0)
    state = {
        "service": SERVICE,
        "target_version": "v2",
        "era": 0,
        "revision": 100,
        "phase": "completed",
        "share": 0.5,
        "age_ms": 0,
        "reason": "",
    }
    row = ["route", "a", "s", True, 1, {}]
    evidence = {
        "service": SERVICE,
        "target_version": "v2",
        "era": 0,
        "revision": 100,
        "process": 1,
        "sequence": 10**12,
        "phase": "sampling",
        "age_ms": 0,
        "sent_target": 1,
        "sent_total": 1,
        "old_in_progress": 0,
        "rows": [],
    }
    odd_states = [
        {"phase": "finished"},
        {"phase": None},
        {"phase": ["completed"]},
        {"share": "all"},
        {"share": float("nan")},
        {"revision": "new"},
        {"era": "new"},
        {"revision": 1},
        {"target_version": "v3"},
        {"service": "other"},
        {"service": ["other"]},
        {"age_ms": "old", "phase": "sampling"},
        {"age_ms": float("inf"), "phase": "sampling"},
        {"age_ms": 10**15, "phase": "sampling"},
        {"age_ms": -5000, "phase": "sampling"},
    ]
    odd_evidence = [
        {"rows": "none"},
        {"rows": [row] * (MAX_ROWS + 1)},
        {"rows": [row[:3]]},
        {"rows": [["route", "a", 7, True, 1, {}]]},
        {"rows": [["route", "a", "s", True, -1, {}]]},
        {"rows": [["route", "a", "s", True, 1, {-1: 1}]]},
        {"rows": [["route", "a", "s", True, 1, {9999: 1}]]},
        {"rows": [["route", "a", "s", True, 1, {"x": 1}]]},
        {"rows": [["route", "a", "s", True, 1, [1]]]},
        {"sent_target": -5},
        {"sent_total": None},
        {"sequence": "last"},
        {"process": None},
        {"phase": ["switching"]},
        {"revision": None},
        {"era": None},
    ]
    decider = world.decider()
    for vm, manager in world.managers.items():
        for odd in odd_states:
            manager.receive(decider, RolloutState(**{**state, **odd}))
        manager.receive("unknown", RolloutState(**state))
        for odd in odd_evidence:
            manager.receive(world.vms[0], RolloutEvidence(**{**evidence, **odd}))
        manager.receive("unknown", RolloutEvidence(**evidence))
        assert vm != "unknown"


@then('all orders end as "{state}" within {limit_s:d} s')
def step_end(context, state, limit_s):
    for world in context.worlds:
        assert world.verdict() == state, (world.verdict(), world.writes)
        assert world.ended_ms <= 1000.0 * limit_s, world.ended_ms


@then('all orders end as "completed" for the replacement')
def step_replacement_end(context):
    for world in context.worlds:
        assert world.verdict() == "completed", world.writes
        assert world.order.target_version == "v1"


@then("the status had the states {states} one after the other")
def step_states(context, states):
    for world in context.worlds:
        assert world.states == states.split(", "), world.states


@then("the decider has counted all answers of the target version")
def step_all_counted(context):
    (world,) = context.worlds
    total = world.managers[world.decider()].versions.rollouts[SERVICE].collected.total()
    answers = sum(counts.answers for key, counts in total.rows.items() if key[3])
    # Answers within the last report are under way.
    assert answers >= 0.9 * total.sent_target > 100, (answers, total.sent_target)


@then("the end took effect within {limit_ms:d} ms of its first write")
def step_end_delay(context, limit_ms):
    for world in context.worlds:
        delay_ms = world.ended_ms - world.writes[0][0]
        assert delay_ms <= limit_ms, delay_ms


@then('all requests after the verdict went to "{kept}"')
def step_kept(context, kept):
    for world in context.worlds:
        # The first write is sent with the verdict, which takes a moment to spread.
        verdict_ms = world.writes[0][0] + SPREAD_MS
        others = world.target_times_ms if kept == "v1" else world.old_times_ms
        late = [time for time in others if time > verdict_ms]
        assert not late, late
        assert world.ended_ms > world.writes[0][0] + 4000.0, world.ended_ms


@then("no request was in progress at, or sent to, an old server after that")
def step_old_left(context):
    for world in context.worlds:
        assert world.old_in_progress_at_end == 0, world.old_in_progress_at_end
        late = [time for time in world.old_times_ms if time > world.ended_ms]
        assert not late, late


@then("the bad version got at most its exposure")
def step_exposure(context):
    for world in context.worlds:
        count = sum(time <= DURATION_MS for time in world.target_times_ms)
        assert count <= world.limit(), (count, world.limit())


@then("no daemon withholds a server")
def step_withholds_none(context):
    for world in context.worlds:
        now_ms = world.clock.now_ms()
        for vm, directory in world.directories.items():
            for server in directory.services[SERVICE]:
                versions = world.managers[vm].versions
                assert not versions.withholds(server, now_ms), server.server_id


@then("the target version gets nothing")
def step_target_nothing(context):
    (world,) = context.worlds
    assert len(world.target_times_ms) == context.count_before


@then("no daemon has a phase or totals of them")
def step_unchanged(context):
    (world,) = context.worlds
    for manager in world.managers.values():
        rollout = manager.versions.rollouts[SERVICE]
        assert rollout.phase(world.clock.now_ms()) is Phase.SAMPLING
        assert not rollout.sampling_share(world.clock.now_ms())
        total = rollout.collected.total()
        assert (total.sent_target, total.sent_total, total.rows) == (0, 0, {})
