"""Steps on orders."""

from behave import then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from tests.fuzz.order_machine import OrderMachine


@when("order engines are fuzzed with {runs:d} runs of {steps:d} steps")
def step_fuzz_orders(context, runs, steps):
    bounds = settings(max_examples=runs, stateful_step_count=steps)
    run_state_machine_as_test(OrderMachine, settings=bounds)


@then("no order rule was broken")
def step_no_order_rule_broken(context):
    """The machine raises on the first broken rule."""
