"""Steps of the promise features for queries.

They check snapshots, coverage, cold starts and the matching of answers to requests.
"""

import threading
import time

from behave import given, then, when

from tests.bench.load import is_consistent_answer
from tests.promises import SERVICE, eventually


def query(context, number, **arguments):
    """Send one query through a daemon."""
    return context.cluster.daemons[number].query(SERVICE, "bins", **arguments)


@when("cluster server {server} answers from index version {version:d}")
def step_answer_version(context, server, version):
    context.cluster.upstream(server, "config", {"answer_version": version})
    defaults = {"answer_version": None}
    context.add_cleanup(context.cluster.upstream, server, "config", defaults)


@then("{count:d} answers of the cluster contain only rows of their own index version")
def step_rows_of_own_version(context, count):
    for number in range(count):
        daemons = len(context.cluster.daemons)
        reply = query(context, number % daemons, deadline_ms=1000)
        assert reply.status == 200, reply.body
        assert is_consistent_answer(reply.body), reply.body["snapshot"]


@then("answers of the cluster come from the new index version")
def step_answers_of_new_version(context):
    version = context.shared["version"]

    def is_new_version():
        reply = query(context, 0)
        return reply.status == 200 and reply.body["snapshot"]["version"] == version

    eventually(is_new_version)


@when("both replicas of cluster shard {shard:d} are down for {down_ms:d} ms")
def step_shard_down(context, shard, down_ms):
    for replica in "ab":
        server = f"bins-{shard:02d}-{replica}"
        context.cluster.upstream(server, "restart", {"down_ms": down_ms})


@then("cluster daemon {number:d} reports part {part:d} missing and no other")
def step_part_missing(context, number, part):
    reply = query(context, number, deadline_ms=1500)
    assert reply.status == 200, reply.body
    coverage = reply.body["coverage"]
    assert coverage["missing_parts"] == [part], coverage
    assert coverage["parts_answered"] == coverage["parts_total"] - 1, coverage
    assert not reply.body["complete"]
    assert is_consistent_answer(reply.body)


@then("cluster daemon {number:d} rejects a query that requires a coverage of 1.0")
def step_coverage_rejected(context, number):
    path = f"/v1/services/{SERVICE}/indexes/bins/query"
    body = {"query": {}, "deadline_ms": 1000, "min_coverage_ratio": 1.0}
    reply = context.cluster.daemons[number].call("POST", path, body)
    assert reply.status != 200, reply.body
    assert reply.body["type"].endswith("coverage-too-low"), reply.body


@when("cluster servers {servers} restart cold")
def step_restart_cold(context, servers):
    for server in servers.split(", "):
        context.cluster.upstream(server, "restart", {"down_ms": 300})


@when("cluster servers {servers} turn cold and keep their connections")
def step_turn_cold(context, servers):
    for server in servers.split(", "):
        context.cluster.upstream(server, "cold")


@then("cluster servers {servers} warm up by processing queries")
def step_warm_up(context, servers):
    for server in servers.split(", "):
        initial_count = context.cluster.upstream(server, "counters")["queries"]
        eventually(
            lambda s=server, n=initial_count: (
                context.cluster.upstream(s, "counters")["queries"] >= n + 10
            )
        )


@given(
    "cluster shard {shard:d} takes {service_ms:d} ms per request so that requests queue"
)
def step_slow_shard(context, shard, service_ms):
    for replica in "ab":
        server = f"bins-{shard:02d}-{replica}"
        context.cluster.upstream(server, "config", {"service_ms": service_ms})
        defaults = {"service_ms": 5}
        context.add_cleanup(context.cluster.upstream, server, "config", defaults)


@given("all servers of the cluster are intermittently slow")
def step_stragglers(context):
    for server in context.cluster.layout.servers:
        settings = {"straggler_ratio": 0.2, "straggler_factor": 20}
        context.cluster.upstream(server, "config", settings)
        defaults = {"straggler_ratio": 0.0}
        context.add_cleanup(context.cluster.upstream, server, "config", defaults)


class EchoCallers:
    """Callers that check that each answer echoes the token of their request."""

    def __init__(self, context, threads):
        self.context = context
        self.answers = 0
        self.mismatches = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_queries, args=(number,), daemon=True)
            for number in range(threads)
        ]

    def start(self):
        """Start sending queries."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop sending queries and wait for the threads."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _send_queries(self, number):
        daemons = self.context.cluster.daemons
        count = 0
        while not self._stop.is_set():
            count += 1
            echo = f"{number}/{count}"
            daemon = daemons[count % len(daemons)]
            try:
                reply = daemon.query(SERVICE, "bins", query={"echo": echo})
            except OSError:
                # A killed or suspended daemon returns no answer that could be wrong.
                time.sleep(0.05)
                continue
            if reply.status == 200:
                self._check(echo, reply.body)

    def _check(self, echo, body):
        self.answers += 1
        echoes = {row["echo"] for row in body["rows"]}
        if not is_consistent_answer(body) or echoes - {echo}:
            self.mismatches.append((echo, sorted(echoes)))


@given("{threads:d} callers of the cluster check that answers echo their requests")
def step_start_echo_callers(context, threads):
    context.echo_callers = EchoCallers(context, threads)
    context.add_cleanup(context.echo_callers.stop)
    context.echo_callers.start()


@then("every caller of the cluster received only answers to its own requests")
def step_answers_match_requests(context):
    context.echo_callers.stop()
    assert context.echo_callers.answers, "no caller received an answer"
    assert not context.echo_callers.mismatches, context.echo_callers.mismatches[:5]


@then("the cluster's upstreams have received cancellations")
def step_cancellations_received(context):
    # A cancelled hedged request shows that an answer was late.
    assert context.cluster.counter_total("cancellations"), (
        "no hedged request was cancelled"
    )
