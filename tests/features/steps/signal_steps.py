"""Steps on signals to a process that runs a reactor."""

import os
import subprocess
import sys

from behave import given, then, when

from tests.deploy_file import ROOT


@given("a process that waits for events without end")
def step_process(context):
    context.command = [sys.executable, "-m", "tests.late_signal"]


@when("SIGTERM arrives without an interruption of the wait")
def step_signal(context):
    environment = {**os.environ, "PYTHONPATH": str(ROOT)}
    context.process = subprocess.Popen(context.command, env=environment, cwd=ROOT)
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)


@then("the process stops within {limit_s:d} s")
def step_stops(context, limit_s):
    assert context.process.wait(limit_s) == 0
