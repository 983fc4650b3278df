"""Steps that run the stateful fuzzing of shares."""

import logging

from behave import then
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from tests.fuzz.share_machine import ShareMachine


@then("the share machine runs {examples:d} times with {steps:d} steps and no failure")
def step_run(context, examples, steps):
    run_settings = settings(max_examples=examples, stateful_step_count=steps)
    # Pauses and superseded registrations are logged thousands of times.
    logging.disable(logging.ERROR)
    try:
        run_state_machine_as_test(ShareMachine, settings=run_settings)
    finally:
        logging.disable(logging.NOTSET)
