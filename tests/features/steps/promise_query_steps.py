"""Steps of the promises on queries: snapshot, coverage, cold start, own answer."""

import threading
import time

from behave import given, then, when

from tests.bench.load import consistent
from tests.promises import SERVICE, eventually


def query(context, number, **arguments):
    """Send one query through a daemon."""
    return context.cluster.daemons[number].query(SERVICE, "bins", **arguments)


@when("promise server {server} answers from version {version:d}")
def step_answers_from(context, server, version):
    context.cluster.upstream(server, "config", {"answer_version": version})
    undo = {"answer_version": None}
    context.add_cleanup(context.cluster.upstream, server, "config", undo)


@then("{count:d} promise answers hold rows of their own version only")
def step_own_version(context, count):
    for number in range(count):
        daemons = len(context.cluster.daemons)
        reply = query(context, number % daemons, deadline_ms=1000)
        assert reply.status == 200, reply.body
        assert consistent(reply.body), reply.body["snapshot"]


@then("promise answers come from the new version")
def step_new_version(context):
    version = context.shared["version"]

    def newest():
        reply = query(context, 0)
        return reply.status == 200 and reply.body["snapshot"]["version"] == version

    eventually(newest)


@when("both promise replicas of shard {shard:d} are lost for {down_ms:d} ms")
def step_shard_lost(context, shard, down_ms):
    for replica in "ab":
        server = f"bins-{shard:02d}-{replica}"
        context.cluster.upstream(server, "restart", {"down_ms": down_ms})


@then("promise daemon {number:d} reports part {part:d} missing and no other")
def step_part_missing(context, number, part):
    reply = query(context, number, deadline_ms=1500)
    assert reply.status == 200, reply.body
    coverage = reply.body["coverage"]
    assert coverage["missing_parts"] == [part], coverage
    assert coverage["parts_answered"] == coverage["parts_total"] - 1, coverage
    assert not reply.body["complete"]
    assert consistent(reply.body)


@then("promise daemon {number:d} refuses a coverage of 1.0 and says what it has")
def step_coverage_refused(context, number):
    path = f"/v1/services/{SERVICE}/indexes/bins/query"
    body = {"query": {}, "deadline_ms": 1000, "min_coverage_ratio": 1.0}
    reply = context.cluster.daemons[number].call("POST", path, body)
    assert reply.status != 200, reply.body
    assert reply.body["type"].endswith("coverage-too-low"), reply.body


@when("promise servers {servers} restart cold")
def step_restart_cold(context, servers):
    for server in servers.split(", "):
        context.cluster.upstream(server, "restart", {"down_ms": 300})


@when("promise servers {servers} turn cold without a sign")
def step_turn_cold(context, servers):
    for server in servers.split(", "):
        context.cluster.upstream(server, "cold")


@then("promise servers {servers} get warm by work")
def step_get_warm(context, servers):
    for server in servers.split(", "):
        start = context.cluster.upstream(server, "counters")["queries"]
        eventually(
            lambda s=server, n=start: (
                context.cluster.upstream(s, "counters")["queries"] >= n + 10
            )
        )


@given("promise shard {shard:d} takes {service_ms:d} ms, so that its requests queue")
def step_slow_shard(context, shard, service_ms):
    for replica in "ab":
        server = f"bins-{shard:02d}-{replica}"
        context.cluster.upstream(server, "config", {"service_ms": service_ms})
        undo = {"service_ms": 5}
        context.add_cleanup(context.cluster.upstream, server, "config", undo)


@given("all promise servers are stragglers now and then")
def step_stragglers(context):
    for server in context.cluster.layout.servers:
        settings = {"straggler_ratio": 0.2, "straggler_factor": 20}
        context.cluster.upstream(server, "config", settings)
        undo = {"straggler_ratio": 0.0}
        context.add_cleanup(context.cluster.upstream, server, "config", undo)


class Echoes:
    """Callers that each recognise the answer to their own request."""

    def __init__(self, context, threads):
        self.context = context
        self.answers = 0
        self.foreign = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._work, args=(number,), daemon=True)
            for number in range(threads)
        ]

    def start(self):
        """Start calling."""
        for thread in self._threads:
            thread.start()

    def stop(self):
        """Stop calling."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _work(self, number):
        daemons = self.context.cluster.daemons
        count = 0
        while not self._stop.is_set():
            count += 1
            echo = f"{number}/{count}"
            daemon = daemons[count % len(daemons)]
            try:
                reply = daemon.query(SERVICE, "bins", query={"echo": echo})
            except OSError:
                # The daemon has been killed or is frozen: no answer, none wrong.
                time.sleep(0.05)
                continue
            if reply.status == 200:
                self._judge(echo, reply.body)

    def _judge(self, echo, body):
        self.answers += 1
        echoes = {row["echo"] for row in body["rows"]}
        if not consistent(body) or echoes - {echo}:
            self.foreign.append((echo, sorted(echoes)))


@given("{threads:d} promise callers who know their own answers")
def step_callers(context, threads):
    context.echoes = Echoes(context, threads)
    context.add_cleanup(context.echoes.stop)
    context.echoes.start()


@then("every promise caller got the answer to its own request")
def step_own_answers(context):
    context.echoes.stop()
    assert context.echoes.answers, "no answers"
    assert not context.echoes.foreign, context.echoes.foreign[:5]


@then("upstreams have seen promise requests cancelled")
def step_cancelled(context):
    # Shows that answers were late: a cancelled loser of a hedge is one.
    assert context.cluster.total("cancellations"), "no loser was cancelled"
