"""Steps for soaks of the platform's daemons as processes."""

import itertools
import json
import signal

from behave import given, then, when

from tests.edge_soak import accounts, returns, rolling_stops, rollouts
from tests.edge_soak.processes import STOP_GRACE_S, ProcessWorld
from tests.edge_soak.run import run
from tests.reactor_thread import wait_until


@when("daemons run as processes for {duration_s:d} s with seed {seed:d}")
def step_soak(context, duration_s, seed):
    context.findings = run(seed, duration_s)


@when(
    "daemons run as processes for {duration_s:d} s with {part} and seed {seed:d}",
)
def step_soak_with_part(context, duration_s, part, seed):
    context.findings = run(seed, duration_s, part_names=[part])


@then("each seed always gives the same {part}, and another seed gives others")
def step_same_schedule(context, part):
    domains = {"e0": "a1", "e1": "b1", "e2": "a1", "e3": "b1"}
    draw = {
        "changes of accounts": lambda seed: accounts.draw_schedule(seed, 60, domains),
        "rollouts": lambda seed: rollouts.draw_schedule(seed, 60),
        "returns of the store": lambda seed: returns.draw_schedule(seed, 60),
    }[part]
    schedules = [draw(seed) for seed in range(20)]
    assert schedules == [draw(seed) for seed in range(20)]
    assert all(first != second for first, second in itertools.pairwise(schedules))
    assert all(schedules)


@when("two daemons of a failure domain stop shortly after each other, {rounds:d} times")
def step_rolling_stops(context, rounds):
    context.findings = rolling_stops.run(seed=1, rounds=rounds)


@then("the checks of callers and servers report no findings")
def step_no_findings(context):
    assert not context.findings, "\n".join(context.findings)


@given('daemons "{vms}" as processes with streams to each other')
def step_processes(context, vms):
    world = context.world = ProcessWorld(shards=1)
    context.add_cleanup(world.stop)
    for vm in vms.split(","):
        world.add_daemon(vm)
    world.wait_ready()
    peers = len(world.daemons) - 1
    for daemon in world.daemons.values():
        wait_until(lambda d=daemon: count_events(d, "peer connected") >= peers)


def events(daemon):
    """Return the events of a daemon's log."""
    lines = daemon.log.read_text().splitlines()
    return [json.loads(line)["message"] for line in lines]


def count_events(daemon, event):
    return events(daemon).count(event)


@when('the process of "{vm}" is told to stop')
def step_stop_process(context, vm):
    context.daemon = context.world.daemons[vm]
    context.daemon.signal(signal.SIGTERM)
    context.exit_code = context.daemon.process.wait(STOP_GRACE_S)


@then('it ends with {code:d} and its last log line is "{event}"')
def step_ended(context, code, event):
    assert context.exit_code == code, context.exit_code
    assert events(context.daemon)[-1] == event, events(context.daemon)[-5:]
