"""Steps on replies that arrive while the process of a daemon is paused."""

import json
import socket
import subprocess
import sys
import threading
import time
import urllib.request

from behave import given, then, when
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from hemlockspoke.address import Address
from hemlockspoke.clock import ReactorClock
from hemlockspoke.http1.json_calls import JsonCalls
from tests.features.steps.upstream_http_steps import connect, request
from tests.hosts import STAND_IN_HOST
from tests.reactor_thread import run_in_reactor, wait_until

REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
# A request that has been submitted leaves within this time.
SEND_S = 0.03


def serve_once(listener, delay_ms):
    """Accept a connection in a thread, and reply to what is received after a time."""

    def run():
        connection, _ = listener.accept()
        with connection:
            connection.recv(4096)
            time.sleep(delay_ms / 1000)
            connection.sendall(REPLY)
            time.sleep(1.0)

    threading.Thread(target=run, daemon=True).start()


def pause(duration_ms):
    """Keep the reactor from running; other threads run on."""
    time.sleep(SEND_S)
    run_in_reactor(time.sleep, duration_ms / 1000)


@given(
    "a server that replies after {delay_ms:d} ms, "
    "and calls with a timeout of {timeout_ms:d} ms"
)
def step_server(context, delay_ms, timeout_ms):
    listener = socket.create_server((STAND_IN_HOST, 0))
    context.add_cleanup(listener.close)
    serve_once(listener, delay_ms)
    address = Address(STAND_IN_HOST, listener.getsockname()[1])
    context.calls = JsonCalls(reactor, ReactorClock(reactor), address, 1)
    context.timeout_ms = timeout_ms


@when("a call is sent, and the process pauses for {duration_ms:d} ms")
def step_call(context, duration_ms):
    context.replies = []
    run_in_reactor(
        context.calls.call, "GET", "/", context.replies.append, context.timeout_ms
    )
    pause(duration_ms)


@then("its reply has arrived")
def step_arrived(context):
    wait_until(lambda: context.replies)
    assert context.replies[0].status == 200, context.replies[0].detail


@then("there is no answer within {limit_ms:d} ms after the pause")
def step_silent(context, limit_ms):
    wait_until(lambda: context.replies, timeout_s=limit_ms / 1000)
    assert context.replies[0].status is None, context.replies[0].status


@given(
    "a process with an upstream whose work takes {service_ms:d} ms, "
    "and a connection to it"
)
def step_upstream(context, service_ms):
    config = json.dumps({"servers": [{"name": "up", "service_ms": service_ms}]})
    command = [sys.executable, "-m", "tests.standins.upstream"]
    command += ["--host", STAND_IN_HOST, "--config-json", config]
    process = subprocess.Popen(command, stdout=subprocess.PIPE)
    context.add_cleanup(process.wait)
    context.add_cleanup(process.stdout.close)
    context.add_cleanup(process.terminate)
    ports = json.loads(process.stdout.readline())
    context.admin_address = f"{STAND_IN_HOST}:{ports['admin']}"
    address = f"{STAND_IN_HOST}:{ports['servers']['up']}"
    context.client = connect(context, address, 1)
    # Silence is noticed on connections that have carried a reply.
    assert run_in_reactor(context.client.query, request()).is_ok()


@when(
    "a query is sent on the connection, and the process pauses for {duration_ms:d} ms"
)
def step_query(context, duration_ms):
    context.results = []

    def send():
        deferred = context.client.query(request(1))
        assert isinstance(deferred, Deferred)
        deferred.addCallback(context.results.append)

    run_in_reactor(send)
    pause(duration_ms)


@then("the query has been answered")
def step_answered(context):
    wait_until(lambda: context.results)
    assert context.results[0].is_ok(), context.results[0]


@then("a further query uses the same connection")
def step_same_connection(context):
    assert run_in_reactor(context.client.query, request(2)).is_ok()
    url = f"http://{context.admin_address}/admin/up/counters"
    with urllib.request.urlopen(url, timeout=5) as reply:
        counters = json.load(reply)
    assert counters["connections_opened"] == 1, counters
