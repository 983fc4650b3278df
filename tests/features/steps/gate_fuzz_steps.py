"""Steps that run the stateful fuzzing of the gate."""

from behave import then, when

from tests.fuzz.gate_machine import run_gate_machine


@when("the gate machine runs {examples:d} examples of {steps:d} steps")
def step_run(context, examples, steps):
    run_gate_machine(examples, steps)


@then("the gate machine has found no violation")
def step_no_violation(context):
    """Nothing to check: the run raises on a violation."""
