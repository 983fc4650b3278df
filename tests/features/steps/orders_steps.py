"""Steps for orders."""

from behave import then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from tests.fuzz.order_machine import OrderMachine


@when("order engines are fuzzed with {runs:d} runs of {steps:d} steps")
def step_fuzz_orders(context, runs, steps):
    bounds = settings(max_examples=runs, stateful_step_count=steps)
    run_state_machine_as_test(OrderMachine, settings=bounds)


@then("no invariant of orders was violated")
def step_no_violation(context):
    """Nothing to check: the state machine raises at the first violation."""
