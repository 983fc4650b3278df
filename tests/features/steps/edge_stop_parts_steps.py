"""Steps on requests of which a stopping daemon has only a part, or has read none."""

import logging
import socket
import time

from behave import given, then, when

from tests.features.steps.edge_stop_steps import encode
from tests.reactor_thread import run_in_reactor, wait_until

# Time between a part of a request and the rest of it, with the order to stop between.
PART_S = 0.15
BODY = b"x" * 1000
# The kernel's buffers hold less than the answers to these requests.
LARGE_BODY = b"x" * 900_000
UNREAD_REQUESTS = 20
UNREAD_S = 2.0


def with_body(attempt):
    """Return the bytes of an order with a body."""
    head = encode(attempt, "POST", "/order/a")
    length = b"Content-Length: %d\r\n" % len(BODY)
    return head.replace(b"Content-Length: 0\r\n", length) + BODY


def parts(name):
    """Return the bytes that are sent before the order to stop, and those after it."""
    first, second, third = (encode(f"part{number}") for number in range(3))
    half = len(first) // 2
    order = with_body("order")
    return {
        "half of a head": (first[:half], first[half:]),
        "half of a body": (order[:-500], order[-500:]),
        "a request and half of the next": (first + second[:half], second[half:]),
        "two requests and half of a third": (
            first + second + third[:half],
            third[half:],
        ),
    }[name]


@when('a caller sends {part}, the daemon "{vm}" is told to stop, and the rest follows')
def step_part(context, part, vm):
    before, after = parts(part)
    context.connection = socket.create_connection(context.address, timeout=5)
    context.add_cleanup(context.connection.close)
    context.connection.sendall(before)
    time.sleep(PART_S)
    context.daemon.terminate()
    time.sleep(PART_S)
    context.connection.sendall(after)


@then("the caller gets {count:d} answers with status {status:d}")
def step_answers(context, count, status):
    received = b""
    try:
        while received.count(b"HTTP/1.1 ") < count:
            data = context.connection.recv(65536)
            if not data:
                break
            received += data
    except OSError as error:
        received += str(error).encode()
    assert received.count(b"HTTP/1.1 %d " % status) == count, received[:200]


@given("a caller whose kept connection has carried a request")
def step_kept(context):
    context.connection = socket.create_connection(context.address, timeout=5)
    context.add_cleanup(context.connection.close)
    context.connection.sendall(encode("first"))
    assert context.connection.recv(65536).startswith(b"HTTP/1.1 200 ")
    site = context.daemon._site
    wait_until(lambda: all(channel.idle() for channel in site.channels))


@when("its next request arrives just before the daemon closes idle connections")
def step_close_idle(context):
    send_before(context, lambda channel: context.daemon._site.close_idle())


@when("its next request arrives just before the idle time of its connection is up")
def step_idle_timeout(context):
    send_before(context, lambda channel: channel._on_idle_timeout())


def send_before(context, close):
    """Send a request, and close its connection before the reactor reads anything."""

    def send_and_close():
        context.connection.sendall(encode("next"))
        time.sleep(0.01)
        for channel in list(context.daemon._site.channels):
            close(channel)

    run_in_reactor(send_and_close)


class RecordList(logging.Handler):
    """Keeps log records."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keep a record."""
        self.records.append(record)


@when('a caller does not read its answers, and the daemon "{vm}" is told to stop')
def step_unread(context, vm):
    logger = logging.getLogger("hemlockspoke.tier.edge_daemon")
    handler = RecordList()
    logger.addHandler(handler)
    context.add_cleanup(logger.removeHandler, handler)
    context.log_records = handler.records
    for server in context.world.servers.values():
        server.body = LARGE_BODY
    context.connection = socket.create_connection(context.address, timeout=5)
    context.add_cleanup(context.connection.close)
    requests = [encode(f"unread{number}") for number in range(UNREAD_REQUESTS)]
    context.connection.sendall(b"".join(requests))
    time.sleep(UNREAD_S)
    context.told_s = time.monotonic()
    context.daemon.terminate()
    wait_until(lambda: context.stopped_s is not None, timeout_s=8)


@then('its last log line counts {count:d} connections in the state "{state}"')
def step_last_line(context, count, state):
    record = [r for r in context.log_records if r.getMessage() == "stopped"][-1]
    assert record.levelno == logging.WARNING
    assert record.connections == {state: count}, record.connections
