"""Steps on planned stops of a daemon, under callers in threads of their own."""

import socket
import threading
import time

from behave import given, then, when
from twisted.internet import reactor

from hemlockspoke.platform.program import build
from hemlockspoke.platform.settings import parse_settings
from tests.platform_world import HOST, PlatformWorld
from tests.reactor_thread import run_in_reactor, wait_until

CALLERS = 8
REQUEST = (
    "GET /item/a HTTP/1.1\r\nHost: {host}\r\nX-Hemlockspoke-Attempt-Id: {attempt}\r\n"
    "X-Hemlockspoke-Deadline-Ms: 1500\r\n\r\n"
)


class StoppableReactor:
    """The reactor of the test process; a daemon that stops it ends only itself."""

    def __init__(self, on_stop):
        self._on_stop = on_stop

    def __getattr__(self, name):
        return getattr(reactor, name)

    def stop(self):
        """End the daemon, as the end of its process would."""
        self._on_stop()


@given('a platform whose daemon "{vm}" may stop, with servers that take {work_ms:d} ms')
def step_platform(context, vm, work_ms):
    world = context.world = PlatformWorld(shards=1)
    context.add_cleanup(world.stop)
    for server in world.servers.values():
        server.work_ms = work_ms
    text, host, ports = world.settings_text(vm, "a1", first_start=True)
    settings = parse_settings(text)
    context.stopped_s = None

    def end():
        context.stopped_s = time.monotonic()
        for channel in list(context.daemon._site.channels):
            channel.transport.abortConnection()
        context.daemon.close()

    context.daemon = run_in_reactor(build, settings, StoppableReactor(end))
    run_in_reactor(context.daemon.start)
    context.address = (host, ports["frontend"])
    wait_until(context.daemon.directory.ready)


class Callers:
    """Threads that connect, send one request and read its answer, until refused."""

    def __init__(self, address, pause_s):
        self._address = address
        self._pause_s = pause_s
        self.answered_s = []
        self.unanswered = []
        self._threads = [
            threading.Thread(target=self._run, args=(number,), daemon=True)
            for number in range(CALLERS)
        ]

    def start(self):
        """Start the threads."""
        for thread in self._threads:
            thread.start()

    def join(self):
        """Wait until the daemon refuses all connections."""
        for thread in self._threads:
            thread.join(timeout=10)

    def _run(self, number):
        count = 0
        while True:
            count += 1
            try:
                connection = socket.create_connection(self._address, timeout=5)
            except (ConnectionRefusedError, ConnectionResetError):
                # The port is closed, or was while the connection was being opened.
                return
            with connection:
                time.sleep(self._pause_s)
                answer = exchange(connection, f"a{number}x{count}")
            if answer.startswith(b"HTTP/1.1 200 "):
                self.answered_s.append(time.monotonic())
            else:
                self.unanswered.append(answer)


def exchange(connection, attempt):
    """Send a request and return the first bytes of the answer, or an empty one."""
    try:
        connection.sendall(REQUEST.format(host=HOST, attempt=attempt).encode())
        return connection.recv(65536)
    except OSError:
        return b""


@given(
    "callers that connect in a loop and send their request after {pause_ms:d} ms",
)
def step_callers(context, pause_ms):
    context.callers = Callers(context.address, pause_ms / 1000)
    context.callers.start()
    time.sleep(0.3)


@when('the daemon "{vm}" is told to stop')
def step_stop(context, vm):
    context.told_s = time.monotonic()
    context.daemon.terminate()
    wait_until(lambda: context.stopped_s is not None, timeout_s=8)
    context.callers.join()


@then("it stops within {limit_ms:d} ms")
def step_within(context, limit_ms):
    took_ms = (context.stopped_s - context.told_s) * 1000
    assert took_ms <= limit_ms, took_ms


@then("at least {count:d} callers were answered while it was stopping")
def step_answered(context, count):
    answered = [s for s in context.callers.answered_s if s > context.told_s]
    assert len(answered) >= count, len(answered)


@then("no caller that had connected was left without an answer")
def step_none_unanswered(context):
    assert not context.callers.unanswered, context.callers.unanswered


@when(
    "{count:d} callers connect and send a request while the daemon is busy "
    "closing its port"
)
def step_kernel_queue(context, count):
    context.connections = []

    def connect_and_close():
        # The reactor accepts nothing while this runs in its thread.
        for number in range(count):
            connection = socket.create_connection(context.address, timeout=5)
            request = REQUEST.format(host=HOST, attempt=f"q{number}")
            connection.sendall(request.encode())
            context.connections.append(connection)
        context.daemon._stop_accepting()

    run_in_reactor(connect_and_close)


@then("all of them get an answer")
def step_all_answered(context):
    for connection in context.connections:
        with connection:
            assert connection.recv(65536).startswith(b"HTTP/1.1 200 ")
