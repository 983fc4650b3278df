"""Steps on logs, metrics and the explain command."""

import json
import logging
import os
import tempfile
import time
from pathlib import Path

from behave import given, then, when
from typer.testing import CliRunner

from hemlockspoke.adapters.json_logs import BoundedHandler, LineFormatter, LineLimit
from hemlockspoke.address import Address
from hemlockspoke.ui.application import application
from tests.reactor_thread import run_in_reactor


class ManualSeconds:
    """A clock in seconds that tests set."""

    def __init__(self):
        self.now_s = 100.0

    def __call__(self):
        return self.now_s


def make_handler(context, descriptor):
    context.seconds = ManualSeconds()
    handler = BoundedHandler(descriptor, LineLimit(context.seconds))
    handler.setFormatter(LineFormatter("e1"))
    return handler


def log_to_file(context):
    handle, name = tempfile.mkstemp(suffix=".log")
    context.add_cleanup(os.remove, name)
    context.add_cleanup(os.close, handle)
    context.log_file = Path(name)
    context.handler = make_handler(context, handle)


def emit(context, event, level=logging.INFO):
    fields = {"name": "test", "levelno": level, "msg": event}
    fields["levelname"] = logging.getLevelName(level)
    context.handler.emit(logging.makeLogRecord(fields))


def read_lines(context):
    lines = context.log_file.read_text().splitlines()
    return [json.loads(line) for line in lines]


def count_lines(context, prefix):
    return sum(1 for line in read_lines(context) if line["message"].startswith(prefix))


@when("{first:d} lines of one event and {other:d} of another are logged in a second")
def step_burst(context, first, other):
    log_to_file(context)
    for _ in range(first):
        emit(context, "one")
    for _ in range(other):
        emit(context, "other")


@then("at most {limit:d} lines of the first and all of the other are written")
def step_burst_written(context, limit):
    assert 0 < count_lines(context, "one") <= limit
    assert count_lines(context, "other") == 5


@then("a second later a line counts the {number:d} that were left out")
def step_left_out(context, number):
    context.seconds.now_s += 1.0
    emit(context, "later")
    check_left_out(context, number)


@then("at the end of the process a line counts the {number:d} that were left out")
def step_left_out_at_end(context, number):
    context.handler.close()
    check_left_out(context, number)


def check_left_out(context, number):
    (line,) = [
        entry
        for entry in read_lines(context)
        if entry["message"] == "log lines left out"
    ]
    assert line["events"] == {"one": number}, line


@when("{lines:d} routine lines of {events:d} events are logged before 10 failures")
def step_routine(context, lines, events):
    log_to_file(context)
    for number in range(lines):
        emit(context, f"routine {number % events}")
    for _ in range(10):
        emit(context, "failure", logging.WARNING)


@then("at most {limit:d} routine lines and all 10 failures are written")
def step_failures(context, limit):
    assert count_lines(context, "routine") <= limit
    assert count_lines(context, "failure") == 10


@given("logs go to a pipe that nobody reads")
def step_pipe(context):
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    context.add_cleanup(os.close, read_end)
    context.add_cleanup(os.close, write_end)
    context.handler = make_handler(context, write_end)


@given("logs go to a pipe whose reader has closed it")
def step_closed(context):
    read_end, write_end = os.pipe()
    os.close(read_end)
    os.set_blocking(write_end, False)
    context.add_cleanup(os.close, write_end)
    context.handler = make_handler(context, write_end)


@when("{lines:d} lines are logged")
def step_lines(context, lines):
    start_s = time.monotonic()
    for number in range(lines):
        # The line limit allows some lines in each second, which fill the buffer.
        context.seconds.now_s += 0.05
        emit(context, f"event {number % 50} " + "x" * 200)
    context.took_s = time.monotonic() - start_s


@then("it takes less than {limit_s:d} s and the log buffer holds at most {limit:d} B")
def step_buffer_and_time(context, limit_s, limit):
    assert context.took_s < limit_s
    step_buffer_size(context, limit)


@then("the log buffer holds at most {limit:d} B")
def step_buffer_size(context, limit):
    assert len(context.handler._buffer) <= limit


@given("its logs are recorded")
def step_record_logs(context):
    log_to_file(context)
    context.seconds.now_s = time.monotonic()
    root = logging.getLogger()
    level = root.level
    root.addHandler(context.handler)
    root.setLevel(logging.INFO)
    context.add_cleanup(root.setLevel, level)
    context.add_cleanup(root.removeHandler, context.handler)


def explain(*arguments):
    return CliRunner().invoke(application, ["explain", *arguments])


@then('explaining the request prints "{text}"')
def step_explained(context, text):
    deadline_s = time.monotonic() + 3
    while True:
        result = explain(context.attempt, str(context.log_file))
        if text in result.output:
            return
        # The other daemon logs only after it has received the cancellation.
        assert time.monotonic() < deadline_s, result.output
        time.sleep(0.05)


@then('explaining "{request}" in an empty file exits with {code:d} and prints "{text}"')
def step_empty(context, request, code, text):
    log_to_file(context)
    result = explain(request, str(context.log_file))
    assert result.exit_code == code
    assert text in result.output, result.output


@then(
    'explaining "{request}" in a missing file exits with {code:d} and prints "{text}"'
)
def step_missing(context, request, code, text):
    result = explain(request, "/nonexistent/entry.log")
    assert result.exit_code == code
    assert text in result.output, result.output


@given("a log of {lines:d} lines")
def step_log(context, lines):
    log_to_file(context)
    line = {
        "time": "2026-12-04 10:00:00,000",
        "message": "request",
        "vm": "e1",
        "outcome": "partial",
        "reason": "1 parts missing",
        "sends": ["shard-0 s0-a1 waiting 150 ms", "shard-1 s1-a1 answer 40 ms"],
    }
    with context.log_file.open("w") as handle:
        for number in range(lines):
            handle.write(json.dumps({**line, "request": f"r{number}"}) + "\n")


@then("explaining a request of it takes less than {limit_s:d} s")
def step_fast(context, limit_s):
    start_s = time.monotonic()
    result = explain("r19999", str(context.log_file))
    assert "shard-0 was still waiting for s0-a1" in result.output
    assert time.monotonic() - start_s < limit_s


@when('the metrics of "{vm}" are fetched')
def step_metrics(context, vm):
    host, _ = context.world.addresses[vm]
    address = Address(host, 9464)
    send = context.world._send
    reply = run_in_reactor(send, address, b"GET", b"/metrics", [], b"")
    context.metrics = reply.body.decode()


@then('they contain "{line}"')
def step_contain(context, line):
    assert line in context.metrics.splitlines(), context.metrics
