"""Demonstrates each guarantee once with stand-ins and three daemons.

Exits with 0 only if every check passes.
"""

import sys
import time
import uuid

from tests.cluster import Cluster, wait_until
from tests.layout import demo_layout

SERVICE = "demo"
# A failure domain that is out must receive no new work after this time.
DOMAIN_OUT_LIMIT_S = 3.0


class Demo:
    """Steps of the demonstration, with printed checks and a count of failed checks."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.failed_checks = 0

    def check(self, description, passed, detail):
        """Print the result of one check and count it if it failed."""
        self.failed_checks += not passed
        print(f"{'ok  ' if passed else 'FAIL'} {description}: {detail}", flush=True)

    def start(self):
        """Start all processes and apply the service document."""
        cluster = self.cluster
        cluster.start_stand_ins(service_ms=5, cold=False)
        document = cluster.directory / "demo.yaml"
        document.write_text(cluster.layout.document(), encoding="utf-8")
        applied = cluster.command(
            "service", "apply", str(document), "--who", "demo", "--why", "first version"
        )
        output_lines = applied.stdout.strip().splitlines()
        self.check("document applied", applied.returncode == 0, output_lines[-2])
        started_s = time.monotonic()
        cluster.start_daemons()
        elapsed_s = time.monotonic() - started_s
        self.check("three daemons ready", True, f"after {elapsed_s:.1f} s")

    def complete_query(self):
        """Send a query that all shards answer."""
        reply = self.cluster.daemons[0].query(SERVICE, "bins")
        self.check("complete query", reply.body.get("complete"), coverage(reply))

    def lost_shard(self):
        """Send a query while both replicas of one shard are down."""
        for replica in "ab":
            server = f"bins-02-{replica}"
            self.cluster.upstream(server, "restart", {"down_ms": 4000})
        reply = self.cluster.daemons[1].query(SERVICE, "bins", deadline_ms=1000)
        body = reply.body
        is_correct = reply.status == 200 and body["coverage"]["missing_parts"] == [2]
        self.check("partial answer with one shard down", is_correct, coverage(reply))
        wait_until(lambda: self._is_complete())
        self.check("shard available again", True, coverage(self._query()))

    def _query(self):
        return self.cluster.daemons[1].query(SERVICE, "bins")

    def _is_complete(self):
        reply = self._query()
        return reply.status == 200 and reply.body["complete"]

    def orders(self):
        """Send an order and repeat it through another VM."""
        key = uuid.uuid4().hex
        body = {"depot": "rue-basset", "tonnes": 2}
        first, second = self.cluster.daemons[:2]
        reply = first.order(SERVICE, "refill", key, body)
        self.check("order", reply.body.get("outcome") == "done", reply.body)
        repeated = second.order(SERVICE, "refill", key, body)
        replayed = repeated.status == 200 and repeated.body["replayed"]
        self.check("same key through another VM", replayed, repeated.body)
        executions = self.cluster.counter_total("orders")
        self.check(
            "the upstreams executed it once",
            executions == 1,
            f"{executions} execution(s)",
        )

    def domain_out_and_in(self):
        """Take a failure domain out and back in while queries are sent."""
        cluster = self.cluster
        cluster.command("domain", "out", "mtl-a", "--why", "demo")
        time.sleep(DOMAIN_OUT_LIMIT_S)
        initial_count = self._domain_queries("mtl-a")
        complete_count = sum(self._is_complete() for _ in range(20))
        self.check(
            "queries while mtl-a is out",
            complete_count == 20,
            f"{complete_count} of 20",
        )
        added = self._domain_queries("mtl-a") - initial_count
        self.check("no new work in mtl-a", added == 0, f"{added} sub-queries")
        cluster.command("domain", "in", "mtl-a", "--why", "demo")
        wait_until(self._domain_receives_work(initial_count), limit_s=15)
        self.check("mtl-a receives work again", True, "it received sub-queries")
        audit = cluster.command("audit", "--json")
        self.check("audit log", "mtl-a" in audit.stdout, "lists mtl-a")

    def _domain_receives_work(self, initial_count):
        def receives_work():
            self._query()
            return self._domain_queries("mtl-a") > initial_count

        return receives_work

    def _domain_queries(self, domain):
        counters = self.cluster.upstream_counters()
        servers = self.cluster.layout.all_servers()
        names = [server.name for server in servers if server.failure_domain == domain]
        return sum(counters[name]["queries"] for name in names)

    def violations(self):
        """Check the violations counted by the upstreams and the daemons."""
        upstream_violations = self.cluster.counter_total("violations")
        self.check(
            "violations counted by upstreams",
            upstream_violations == 0,
            upstream_violations,
        )
        for daemon in self.cluster.daemons:
            state = daemon.operator_get("/v1/state").body
            daemon_violations = state["violations"]
            self.check(
                f"invariants in {daemon.vm}", not daemon_violations, daemon_violations
            )

    def shutdown(self):
        """Shut one daemon down gracefully."""
        status = self.cluster.daemons[2].terminate()
        self.check("graceful shutdown", status == 0, f"exit status {status}")


def coverage(reply):
    """Describe the coverage of an answer."""
    if reply.status != 200:
        return f"{reply.status} {reply.body}"
    counts = reply.body["coverage"]
    text = f"{counts['parts_answered']} of {counts['parts_total']} parts"
    return f"{text}, missing {counts['missing_parts']}"


def main():
    """Run the demonstration."""
    with Cluster(demo_layout) as cluster:
        demo = Demo(cluster)
        demo.start()
        demo.complete_query()
        demo.lost_shard()
        demo.orders()
        demo.domain_out_and_in()
        demo.violations()
        demo.shutdown()
    print(
        "every check passed"
        if not demo.failed_checks
        else f"{demo.failed_checks} check(s) failed"
    )
    return 1 if demo.failed_checks else 0


if __name__ == "__main__":
    sys.exit(main())
