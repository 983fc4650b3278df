"""Steps for soaks of the platform's daemons as processes."""

from behave import then, when

from tests.edge_soak import rolling_stops
from tests.edge_soak.run import run


@when("daemons run as processes for {duration_s:d} s with seed {seed:d}")
def step_soak(context, duration_s, seed):
    context.findings = run(seed, duration_s)


@when("two daemons of a failure domain stop shortly after each other, {rounds:d} times")
def step_rolling_stops(context, rounds):
    context.findings = rolling_stops.run(seed=1, rounds=rounds)


@then("the checks of callers and servers report no findings")
def step_no_findings(context):
    assert not context.findings, "\n".join(context.findings)
