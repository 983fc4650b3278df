"""Steps on what callers of ``hemlockspoked`` see when it stops."""

import http.client
import json
import signal
import socket
import threading
import time
import uuid

from behave import given, then, when

from tests.cluster import CALLER_PORT, Cluster, wait_until
from tests.layout import demo_layout
from tests.promises import SERVICE, accepts_orders, restore_cluster

QUERY_PATH = f"/v1/services/{SERVICE}/indexes/bins/query"
ORDER_PATH = f"/v1/services/{SERVICE}/orders/refill"
# Longer than any stop here, so that only the stop ends a request.
DEADLINE_MS = 9000
LONG_ANSWER_ROWS = 12_000


def encode_query(body=None):
    """Return the bytes of a query on a connection that is kept."""
    data = json.dumps(body or {"query": {}, "deadline_ms": DEADLINE_MS}).encode()
    head = f"POST {QUERY_PATH} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(data)}"
    return head.encode() + b"\r\nContent-Type: application/json\r\n\r\n" + data


def connect(context, receive_buffer_bytes=None):
    """Open a connection to the daemon."""
    connection = socket.socket()
    if receive_buffer_bytes is not None:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    connection.settimeout(10)
    connection.connect((context.daemon.host, CALLER_PORT))
    context.add_cleanup(connection.close)
    return connection


def read_answer(connection):
    """Return status, headers and body of an answer, or None if it was cut off."""
    try:
        response = http.client.HTTPResponse(connection)
        response.begin()
        return response.status, dict(response.getheaders()), json.loads(response.read())
    except (OSError, http.client.HTTPException):
        return None


class Call:
    """One request on a thread; ``answer`` is None if there is none."""

    def __init__(self, daemon, path, body, headers):
        self._daemon = daemon
        self._arguments = (path, body, headers)
        self.answer = None
        self.ended = False
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        path, body, headers = self._arguments
        try:
            self.answer = self._daemon.call("POST", path, body, headers, timeout_s=15)
        except OSError:
            self.answer = None
        self.ended = True

    def join(self):
        """Wait for the answer or the end of the connection."""
        self._thread.join(timeout=20)
        return self.answer


def start_order(context):
    """Send an order on a thread."""
    context.order_key = uuid.uuid4().hex
    headers = {"Idempotency-Key": context.order_key, "Deadline-Ms": str(DEADLINE_MS)}
    context.order = Call(context.daemon, ORDER_PATH, {"tonnes": 2}, headers)


def start_requests(context):
    """Send an order and a query on threads and wait until servers work on both."""
    cluster = context.cluster
    orders = cluster.counter_total("orders")
    queries = cluster.counter_total("queries")
    start_order(context)
    body = {"query": {}, "deadline_ms": DEADLINE_MS}
    context.query = Call(context.daemon, QUERY_PATH, body, {})
    wait_until(lambda: context.order.ended or cluster.counter_total("orders") > orders)
    wait_until(
        lambda: context.query.ended or cluster.counter_total("queries") > queries
    )
    for call in (context.order, context.query):
        assert not call.ended, call.answer and call.answer.body


def tell_to_stop(context):
    """Send SIGTERM and note its time."""
    context.told_s = time.monotonic()
    context.daemon.signal(signal.SIGTERM)


def configure_servers(context, **settings):
    """Change settings of all servers."""
    for server in context.cluster.layout.servers:
        context.cluster.upstream(server, "config", settings)


@given(
    "a cluster of {count:d} daemons with a drain lag of {lag_ms:d} ms "
    "and a drain limit of {limit_ms:d} ms"
)
def step_stopping_cluster(context, count, lag_ms, limit_ms):
    if "cluster" not in context.shared:
        timings = {
            "drain_lag_ms": lag_ms,
            "drain_limit_ms": limit_ms,
            "stall_ms": 2 * DEADLINE_MS,
        }
        cluster = Cluster(demo_layout, count, timings=timings)
        context.add_cleanup(cluster.stop, layer="feature")
        cluster.start_stand_ins(service_ms=5)
        cluster.put_document(max_deadline_ms=DEADLINE_MS, min_coverage_ratio=1.0)
        cluster.start_daemons()
        wait_until(lambda: accepts_orders(cluster.daemons[0]))
        context.shared["cluster"] = cluster
    context.cluster = context.shared["cluster"]
    context.daemon = context.cluster.daemons[0]
    context.told_s = None
    context.add_cleanup(wait_for_exit, context)
    if context.daemon.process.poll() is not None:
        restore_cluster(context.cluster)


def wait_for_exit(context):
    """Wait until a daemon that was told to stop has exited."""
    if context.told_s is not None:
        context.daemon.process.wait(20)


@given("cluster servers take {work_ms:d} ms")
def step_servers_take(context, work_ms):
    configure_servers(context, service_ms=work_ms)
    context.add_cleanup(configure_servers, context, service_ms=5)


@given("the cluster's store hangs on writes")
def step_store_hangs(context):
    context.cluster.set_faults({"kind": "down", "mode": "hang", "operations": ["put"]})
    context.add_cleanup(context.cluster.set_faults)


@when(
    "{count:d} callers connect and query while the daemon is suspended "
    "as it closes its port"
)
def step_connect_while_suspended(context, count):
    tell_to_stop(context)
    time.sleep(0.3)
    context.daemon.signal(signal.SIGSTOP)
    context.connections = [connect(context) for _ in range(count)]
    for connection in context.connections:
        connection.sendall(encode_query())
    time.sleep(0.4)
    context.daemon.signal(signal.SIGCONT)


@then("each of these callers gets an answer")
def step_each_answered(context):
    answers = [read_answer(connection) for connection in context.connections]
    lost_count = sum(answer is None for answer in answers)
    assert not lost_count, f"{lost_count} of {len(answers)} without an answer"


@when("an order and a query are in progress as the daemon is terminated")
def step_requests_in_progress(context):
    start_requests(context)
    tell_to_stop(context)


@when("an order and a query are in progress as the daemon is terminated twice")
def step_requests_in_progress_twice(context):
    start_requests(context)
    tell_to_stop(context)
    time.sleep(0.3)
    context.daemon.signal(signal.SIGTERM)


@when("an order waits for its claim as the daemon is terminated")
def step_order_waits(context):
    start_order(context)
    time.sleep(0.3)
    tell_to_stop(context)


@then("the daemon exits with status zero within {limit_ms:d} ms")
def step_exits(context, limit_ms):
    status = context.daemon.process.wait(20)
    elapsed_ms = (time.monotonic() - context.told_s) * 1000
    assert status == 0, status
    assert elapsed_ms <= limit_ms, elapsed_ms


def check_answer(call, status, outcome):
    """Check status and outcome of a call's problem document."""
    answer = call.join()
    assert answer is not None, "the connection ended without an answer"
    assert answer.status == status, (answer.status, answer.body)
    assert answer.body["outcome"] == outcome, answer.body


def execution_count(context):
    """Return how often servers have got the order."""
    counters = context.cluster.upstream_counters().values()
    return sum(server["order_keys"].get(context.order_key, 0) for server in counters)


@then(
    'the order gets status {status:d} with outcome "{outcome}" and has run at most once'
)
def step_order_answer(context, status, outcome):
    check_answer(context.order, status, outcome)
    assert execution_count(context) <= 1, execution_count(context)


@then('the order gets status {status:d} with outcome "{outcome}" and has not run')
def step_order_not_run(context, status, outcome):
    check_answer(context.order, status, outcome)
    assert execution_count(context) == 0, execution_count(context)


@then('the query gets status {status:d} with outcome "{outcome}"')
def step_query_answer(context, status, outcome):
    check_answer(context.query, status, outcome)


@when("a caller sends half of a query and the daemon is terminated")
def step_half_query(context):
    context.connection = connect(context)
    data = encode_query()
    context.connection.sendall(data[: len(data) - 10])
    time.sleep(0.2)
    tell_to_stop(context)


@when(
    "a caller connects as the daemon closes its port and sends a query "
    "{delay_ms:d} ms later"
)
def step_connects_late(context, delay_ms):
    tell_to_stop(context)
    time.sleep(0.45)
    context.connection = connect(context)
    time.sleep(delay_ms / 1000)
    context.connection.sendall(encode_query())


@then('the caller gets status {status:d} with outcome "{outcome}"')
def step_caller_answer(context, status, outcome):
    answer = read_answer(context.connection)
    assert answer is not None, "the connection ended without an answer"
    assert answer[0] == status, answer
    assert answer[2]["outcome"] == outcome, answer


@then("the caller gets an answer with status {first:d} or {second:d}")
def step_caller_any_answer(context, first, second):
    answer = read_answer(context.connection)
    assert answer is not None, "the connection ended without an answer"
    assert answer[0] in (first, second), answer


@when("a caller reads a long answer slowly while the daemon is terminated")
def step_slow_reader(context):
    configure_servers(context, rows_per_part=LONG_ANSWER_ROWS)
    context.add_cleanup(configure_servers, context, rows_per_part=3)
    context.connection = connect(context, receive_buffer_bytes=4096)
    context.connection.sendall(encode_query())
    assert context.connection.recv(1, socket.MSG_PEEK)
    tell_to_stop(context)
    time.sleep(1.2)


@then("the caller has read the whole answer")
def step_whole_answer(context):
    answer = read_answer(context.connection)
    assert answer is not None, "the answer was cut off"
    assert answer[0] == 200, answer[0]


@given("a caller whose kept connection to the daemon has carried a request")
def step_kept_connection(context):
    context.connection = connect(context)
    # An unknown path is answered at once, however slow the servers are.
    context.connection.sendall(b"GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n")
    assert read_answer(context.connection)[0] == 404


@then("the kept connection is closed within {limit_ms:d} ms, before the process ends")
def step_kept_closed(context, limit_ms):
    context.connection.settimeout(limit_ms / 1000)
    assert context.connection.recv(1) == b""
    assert context.daemon.process.poll() is None, "the process has ended"


@when("its next request arrives while the daemon is suspended as it closes its port")
def step_request_while_suspended(context):
    tell_to_stop(context)
    time.sleep(0.3)
    context.daemon.signal(signal.SIGSTOP)
    context.connection.sendall(encode_query())
    time.sleep(0.6)
    context.daemon.signal(signal.SIGCONT)


@when("a caller sends a query and {delay_ms:d} ms later the daemon is terminated")
def step_query_then_stop(context, delay_ms):
    context.connection = connect(context)
    context.connection.sendall(encode_query())
    time.sleep(delay_ms / 1000)
    tell_to_stop(context)


@then("the caller's answer closes its connection")
def step_answer_closes(context):
    answer = read_answer(context.connection)
    assert answer is not None, "the connection ended without an answer"
    headers = {name.lower(): value for name, value in answer[1].items()}
    assert answer[0] == 200, answer
    assert headers.get("connection") == "close", headers
