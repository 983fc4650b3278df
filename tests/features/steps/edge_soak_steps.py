"""Steps for soaks of the platform's daemons as processes."""

from behave import then, when

from tests.edge_soak.run import run


@when("daemons run as processes for {duration_s:d} s with seed {seed:d}")
def step_soak(context, duration_s, seed):
    context.findings = run(seed, duration_s)


@then("the checks of callers and servers report no findings")
def step_no_findings(context):
    assert not context.findings, "\n".join(context.findings)
