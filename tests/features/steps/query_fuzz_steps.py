"""Steps that run the stateful fuzzing of queries."""

from behave import when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from tests.fuzz.query_machine import QueryMachine


@when("the query machine runs {examples:d} examples of {steps:d} steps")
def step_run(context, examples, steps):
    run_settings = settings(max_examples=examples, stateful_step_count=steps)
    run_state_machine_as_test(QueryMachine, settings=run_settings)
