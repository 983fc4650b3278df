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
    "{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
    "X-Hemlockspoke-Attempt-Id: {attempt}\r\n"
    "X-Hemlockspoke-Deadline-Ms: {budget_ms}\r\nContent-Length: 0\r\n\r\n"
)
ORDER_BUDGET_MS = 10_000
# Time for requests to reach their servers before the daemon is told to stop.
START_S = 0.2


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
    world = context.world = PlatformWorld(shards=1, timeout_ms=ORDER_BUDGET_MS)
    context.add_cleanup(world.stop)
    for server in world.servers.values():
        server.work_ms = work_ms
    text, host, ports = world.settings_text(vm, "a1", first_start=True)
    settings = parse_settings(text)
    context.stopped_s = None

    def end():
        # A daemon may end after its scenario, when the context is that of another.
        if context.daemon is daemon:
            context.stopped_s = time.monotonic()
        for channel in list(daemon._site.channels):
            channel.transport.abortConnection()
        daemon.close()

    daemon = run_in_reactor(build, settings, StoppableReactor(end))
    context.daemon = daemon
    # Closed with the world if the scenario doesn't stop it.
    world.daemons[vm] = daemon
    run_in_reactor(daemon.start)
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


def encode(attempt, method="GET", path="/item/a", budget_ms=1500):
    """Return the bytes of a request."""
    text = REQUEST.format(
        host=HOST, attempt=attempt, method=method, path=path, budget_ms=budget_ms
    )
    return text.encode()


def exchange(connection, attempt):
    """Send a request and return the first bytes of the answer, or an empty one."""
    try:
        connection.sendall(encode(attempt))
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


class TimedRequest:
    """A request in a thread of its own, on a new connection.

    ``status`` is None if the connection ended without an answer. ``ended_s`` is when
    the answer or the end of the connection was seen.
    """

    def __init__(self, address, attempt, method, path, budget_ms=ORDER_BUDGET_MS):
        self.attempt = attempt
        self.status = self.ended_s = None
        self.sent_s = time.monotonic()
        self.connection = socket.create_connection(address, timeout=12)
        self.connection.sendall(encode(attempt, method, path, budget_ms))
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def _read(self):
        with self.connection:
            try:
                head = self.connection.recv(65536)
            except OSError:
                head = b""
        self.ended_s = time.monotonic()
        self.status = int(head.split()[1]) if head else None

    def join(self):
        """Wait until the request has ended."""
        self._thread.join(timeout=12)


@given("an order has been answered")
def step_order_answered(context):
    order = TimedRequest(context.address, "first", "POST", "/order/a")
    order.join()
    assert order.status == 200, order.status


@when(
    'the daemon "{vm}" is told to stop while an order is sent every {interval_ms:d} ms'
)
def step_stop_under_orders(context, vm, interval_ms):
    context.orders = []
    context.told_s = time.monotonic()
    context.daemon.terminate()
    while context.stopped_s is None:
        attempt = f"order{len(context.orders)}"
        try:
            order = TimedRequest(context.address, attempt, "POST", "/order/a")
        except OSError:
            # The port is closed.
            wait_until(lambda: context.stopped_s is not None, timeout_s=8)
            break
        context.orders.append(order)
        time.sleep(interval_ms / 1000)
    for order in context.orders:
        order.join()


@when('an order and a lookup are sent, and the daemon "{vm}" is told to stop')
def step_stop_in_progress(context, vm):
    stop_in_progress(context)


def stop_in_progress(context, busy_ms=0, busy_after_ms=0, terminate=None):
    """Stop the daemon while requests are in progress.

    It is busy with other work for ``busy_ms``, from ``busy_after_ms`` after the signal.
    ``terminate`` sends the signal.
    """
    context.orders = [
        TimedRequest(context.address, "order", "POST", "/order/a"),
        TimedRequest(context.address, "lookup", "GET", "/item/a"),
    ]
    time.sleep(START_S)
    context.told_s = time.monotonic()
    reactor.callFromThread(
        reactor.callLater, busy_after_ms / 1000, time.sleep, busy_ms / 1000
    )
    (terminate or context.daemon.terminate)()
    wait_until(lambda: context.stopped_s is not None, timeout_s=8)
    for order in context.orders:
        order.join()


def received_attempts(context):
    servers = context.world.servers.values()
    return {attempt.decode() for s in servers for attempt in s.received_attempts}


@then("each order that a server got was answered with status {status:d}")
def step_orders_answered(context, status):
    got = received_attempts(context)
    statuses = [order.status for order in context.orders if order.attempt in got]
    assert statuses and set(statuses) == {status}, statuses


@then("at least {count:d} orders were refused, each within {limit_ms:d} ms")
def step_orders_refused(context, count, limit_ms):
    refused = [order for order in context.orders if order.status == 503]
    times_ms = [(order.ended_s - order.sent_s) * 1000 for order in refused]
    assert len(refused) >= count, len(refused)
    assert max(times_ms) <= limit_ms, times_ms


@then("no order that was refused has run")
def step_refused_not_run(context):
    refused = {order.attempt for order in context.orders if order.status == 503}
    assert not refused & received_attempts(context)


@then("both get status {status:d} at least {delay_ms:d} ms after the start of the stop")
def step_in_progress_answered(context, status, delay_ms):
    assert [order.status for order in context.orders] == [status, status]
    for order in context.orders:
        assert (order.ended_s - context.told_s) * 1000 >= delay_ms


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
            connection.sendall(encode(f"q{number}"))
            context.connections.append(connection)
        context.daemon._stop_accepting()

    run_in_reactor(connect_and_close)


@when(
    "{count:d} callers connect and send a request while the stop is held up "
    "from {start_ms:d} to {end_ms:d} ms"
)
def step_connect_while_held_up(context, count, start_ms, end_ms):
    context.told_s = time.monotonic()
    context.daemon.terminate()
    held_up_s = (end_ms - start_ms) / 1000
    reactor.callFromThread(reactor.callLater, start_ms / 1000, time.sleep, held_up_s)
    time.sleep(start_ms / 1000 + START_S)
    context.connections = []
    for number in range(count):
        connection = socket.create_connection(context.address, timeout=5)
        connection.sendall(encode(f"q{number}"))
        context.connections.append(connection)
    wait_until(lambda: context.stopped_s is not None, timeout_s=8)


@then("each of them gets status {status:d}")
def step_all_status(context, status):
    answers = []
    for connection in context.connections:
        with connection:
            try:
                answers.append(connection.recv(65536)[:12])
            except ConnectionResetError:
                answers.append(b"reset")
    assert set(answers) == {b"HTTP/1.1 %d" % status}, answers


@then("all of them get an answer")
def step_all_answered(context):
    for connection in context.connections:
        with connection:
            assert connection.recv(65536).startswith(b"HTTP/1.1 200 ")
