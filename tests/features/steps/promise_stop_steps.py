"""Steps on callers that connect while a daemon of the cluster stops."""

import json
import socket
import threading
import time

from behave import then, when

from tests.cluster import CALLER_PORT

CALLERS = 40
START_S = 0.5


class ConnectingCallers:
    """Threads that connect, send one query and read its answer, until refused.

    ``unanswered`` has the time of each connection that ended without an answer.
    """

    def __init__(self, daemon, path):
        self._daemon = daemon
        self._path = path
        self.answered_count = 0
        self.unanswered_s = []
        self._threads = [
            threading.Thread(target=self._run, daemon=True) for _ in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def join(self):
        """Wait until the daemon refuses all connections."""
        for thread in self._threads:
            thread.join(timeout=20)

    def _run(self):
        body = json.dumps({"query": {}, "deadline_ms": 2000}).encode()
        head = f"POST {self._path} HTTP/1.1\r\nHost: a\r\nContent-Length: {len(body)}"
        data = head.encode() + b"\r\nContent-Type: application/json\r\n\r\n" + body
        while True:
            try:
                address = (self._daemon.host, CALLER_PORT)
                connection = socket.create_connection(address, timeout=5)
            except OSError:
                return
            with connection:
                try:
                    connection.sendall(data)
                    answer = connection.recv(65536)
                except OSError:
                    answer = b""
            if answer.startswith(b"HTTP/1.1 "):
                self.answered_count += 1
            else:
                self.unanswered_s.append(time.monotonic())


@when("callers connect in a loop while cluster daemon {number:d} is terminated")
def step_connect_in_loop(context, number):
    daemon = context.cluster.daemons[number]
    layout = context.cluster.layout
    path = f"/v1/services/{layout.service}/indexes/{layout.indexes[0].name}/query"
    context.callers = ConnectingCallers(daemon, path)
    time.sleep(START_S)
    context.told_s = time.monotonic()
    context.exit_status = daemon.terminate(limit_s=60)
    context.callers.join()


@then("no caller that had connected was left without an answer of the cluster")
def step_all_answered(context):
    callers = context.callers
    late_s = [round(when - context.told_s, 3) for when in callers.unanswered_s]
    assert callers.answered_count >= 30, callers.answered_count
    assert not late_s, (callers.answered_count, late_s)
