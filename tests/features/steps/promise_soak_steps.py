"""Steps that run a short soak of daemons under random faults."""

from behave import then, when

from tests import soak


@when("the soak runs for {duration_s:d} s with seed {seed:d}")
def step_soak_runs(context, duration_s, seed):
    context.soak_failures = soak.run(seed, duration_s)


@then("the soak reports no violated invariants")
def step_no_violations(context):
    assert not context.soak_failures, context.soak_failures
