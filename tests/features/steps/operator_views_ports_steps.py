"""Steps on the views of operators at ports that answer with odd bytes, or not."""

import socket
import threading
import time

from behave import given, then, when
from twisted.internet import reactor
from typer.testing import CliRunner

from hemlockspoke.metrics_text import format_sample
from hemlockspoke.ui.application import application
from tests.hosts import STAND_IN_HOST
from tests.reactor_thread import run_in_reactor
from tests.standins.raw_server import RawServer

NAME = "ralo620"
TIMEOUT_MS = 300
# A command may take this long at most: two addresses, and the start of threads.
MAX_COMMAND_S = 5.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"


def answer(body, length=None):
    return HEAD % (len(body) if length is None else length) + body


def account_line(name=NAME, value=12):
    metric = "hemlockspoke_account_admitted_total"
    return format_sample(metric, [("account", name)], value).encode() + b"\n"


ANSWERS = {
    "closes connections": b"",
    "answers without HTTP": b"SSH-2.0-\x1b[2Jserver\r\n",
    "answers with 404": b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
    "answers with JSON": answer(b'{"hemlockspoke": 1}\n'),
    "answers with metrics of others": answer(b'node_cpu{cpu="0"} 1\n'),
    "cuts its body": answer(account_line(), length=5000),
    "cuts its text": answer(account_line()[:-1]),
    "answers with odd bytes": answer(b"\xff\xfe\n"),
    "has too many metrics": answer(b"hemlockspoke_x 1\n" * 50_001),
    "has a negative count": answer(
        account_line(value=-1)
        + b'hemlockspoke_rollout_share{service="s",target_version="v2"} -1\n'
    ),
}


def start_raw(context, head, filler=b""):
    server = run_in_reactor(RawServer, reactor, head, filler)
    context.add_cleanup(run_in_reactor, server.stop)
    return server


@given("a metrics port that serves one account")
def step_port(context):
    context.port = start_raw(context, answer(account_line()))


@given('a metrics port that serves an account with the name "{name}"')
def step_named(context, name):
    name = name.encode().decode("unicode_escape")
    context.port = start_raw(context, answer(account_line(name)))


@given("an address that {behaviour}")
def step_address(context, behaviour):
    if behaviour in ANSWERS:
        context.address = start_raw(context, ANSWERS[behaviour]).address
        return
    if behaviour == "answers without an end":
        head = HEAD % 99_999_999
        context.address = start_raw(context, head, b"x" * 1000).address
        return
    listening = socket.create_server((STAND_IN_HOST, 0))
    context.add_cleanup(listening.close)
    context.address = f"{STAND_IN_HOST}:{listening.getsockname()[1]}"
    if behaviour == "refuses connections":
        listening.close()
    elif behaviour == "sends a byte now and then":
        threading.Thread(target=send_slowly, args=(listening,), daemon=True).start()


def send_slowly(listening):
    """Send each client a header a byte at a time, until it closes."""
    while True:
        try:
            connection, _ = listening.accept()
        except OSError:
            return
        try:
            with connection:
                connection.sendall(b"HTTP/1.1 200 OK\r\nX-Long: ")
                while True:
                    time.sleep(0.05)
                    connection.sendall(b"x")
        except OSError:
            continue


def run(context, command, *addresses):
    arguments = [command, *addresses, "--timeout-ms", str(TIMEOUT_MS)]
    start_s = time.monotonic()
    context.result = CliRunner().invoke(application, arguments)
    assert time.monotonic() - start_s < MAX_COMMAND_S
    assert isinstance(context.result.exception, SystemExit | None), context.result


@when("an operator asks for accounts at the port and the address")
def step_both(context):
    run(context, "accounts", context.port.address, context.address)


@when("an operator asks for {view} at the address alone")
def step_alone(context, view):
    run(context, view, context.address)


@when("an operator asks for accounts at the port")
def step_at_port(context):
    run(context, "accounts", context.port.address)


@when("an operator asks for accounts at the port, twice")
def step_twice(context):
    run(context, "accounts", context.port.address, context.port.address)


@when('an operator asks for accounts at the port and at "{first}" and "{second}"')
def step_malformed(context, first, second):
    run(context, "accounts", context.port.address, first, second)


@then('the command ends with 5, prints the account and a line with "{text}"')
def step_partial(context, text):
    result = context.result
    assert result.exit_code == 5, result.output
    assert NAME in result.stdout and "12" in result.stdout, result.stdout
    lines = result.stderr.splitlines()
    assert lines[0].startswith(f"{context.address}: ") and text in lines[0], lines
    assert lines[1:] == ["partial: 1 of 2 daemons did not answer"], lines


@then('the command ends with 1 and prints a line with "{text}"')
def step_failed(context, text):
    result = context.result
    assert result.exit_code == 1 and not result.stdout, result.output
    (line,) = result.stderr.splitlines()
    assert line.startswith(f"{context.address}: ") and text in line, line


@then("the command ends with 2 and prints 2 lines")
def step_bad_usage(context):
    result = context.result
    assert result.exit_code == 2 and not result.stdout, result.output
    assert len(result.stderr.splitlines()) == 2, result.stderr


@then("the port was not asked")
def step_not_asked(context):
    assert context.port.request_count == 0


@then("the command ends with 0 and prints the account once")
def step_once(context):
    result = context.result
    assert result.exit_code == 0 and not result.stderr, result.output
    assert result.stdout.count(NAME) == 1 and " 12 " in result.stdout, result.stdout
    assert context.port.request_count == 1


@then("it prints no control character")
def step_no_control(context):
    assert "a\\x1b[2J\\u202e" in context.result.stdout, context.result.stdout
    assert context.result.stdout.replace("\n", "").isprintable()
