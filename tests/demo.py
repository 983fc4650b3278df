"""Demonstration: stand-ins and three daemons, each promise shown once.

Exits with 0 only if every step held.
"""

import sys
import time
import uuid

from tests.cluster import Cluster, wait_until
from tests.layout import demo_layout

SERVICE = "demo"
# New work in a failure domain that is out must end within this time.
DOMAIN_OUT_LIMIT_S = 3.0


class Demo:
    """Steps that print what happened and count what did not hold."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.failed = 0

    def check(self, what, holds, seen):
        """Print one step with its verdict."""
        self.failed += not holds
        print(f"{'ok  ' if holds else 'FAIL'} {what}: {seen}", flush=True)

    def start(self):
        """Start everything and put the document in force."""
        cluster = self.cluster
        cluster.start_stand_ins(service_ms=5, cold=False)
        document = cluster.directory / "demo.yaml"
        document.write_text(cluster.layout.document(), encoding="utf-8")
        applied = cluster.command(
            "service", "apply", str(document), "--who", "demo", "--why", "first version"
        )
        lines = applied.stdout.strip().splitlines()
        self.check("document applied", applied.returncode == 0, lines[-2])
        started_s = time.monotonic()
        cluster.start_daemons()
        elapsed_s = time.monotonic() - started_s
        self.check("three daemons ready", True, f"after {elapsed_s:.1f} s")

    def complete_query(self):
        """A query with all shards answered."""
        reply = self.cluster.daemons[0].query(SERVICE, "bins")
        self.check("complete query", reply.body.get("complete"), coverage(reply))

    def lost_shard(self):
        """A query with both replicas of one shard lost."""
        for replica in "ab":
            server = f"bins-02-{replica}"
            self.cluster.upstream(server, "restart", {"down_ms": 4000})
        reply = self.cluster.daemons[1].query(SERVICE, "bins", deadline_ms=1000)
        body = reply.body
        truthful = reply.status == 200 and body["coverage"]["missing_parts"] == [2]
        self.check("one shard lost, partial answer", truthful, coverage(reply))
        wait_until(lambda: self._is_complete())
        self.check("shard back", True, coverage(self._query()))

    def _query(self):
        return self.cluster.daemons[1].query(SERVICE, "bins")

    def _is_complete(self):
        reply = self._query()
        return reply.status == 200 and reply.body["complete"]

    def orders(self):
        """An order, and the same order again through another VM."""
        key = uuid.uuid4().hex
        body = {"depot": "rue-basset", "tonnes": 2}
        first, second = self.cluster.daemons[:2]
        reply = first.order(SERVICE, "refill", key, body)
        self.check("order", reply.body.get("outcome") == "done", reply.body)
        again = second.order(SERVICE, "refill", key, body)
        replayed = again.status == 200 and again.body["replayed"]
        self.check("same key through another VM", replayed, again.body)
        runs = self.cluster.total("orders")
        self.check("the upstreams ran it once", runs == 1, f"{runs} run(s)")

    def domain_out_and_back(self):
        """A failure domain taken out and back, under queries."""
        cluster = self.cluster
        cluster.command("domain", "out", "mtl-a", "--why", "demo")
        time.sleep(DOMAIN_OUT_LIMIT_S)
        before = self._domain_queries("mtl-a")
        complete = sum(self._is_complete() for _ in range(20))
        self.check("queries while mtl-a is out", complete == 20, f"{complete} of 20")
        added = self._domain_queries("mtl-a") - before
        self.check("no new work in mtl-a", added == 0, f"{added} sub-queries")
        cluster.command("domain", "in", "mtl-a", "--why", "demo")
        wait_until(self._domain_serves(before), limit_s=15)
        self.check("mtl-a serves again", True, "new sub-queries arrive there")
        audit = cluster.command("audit", "--json")
        self.check("audit trail", "mtl-a" in audit.stdout, "holds both changes")

    def _domain_serves(self, before):
        def serves():
            self._query()
            return self._domain_queries("mtl-a") > before

        return serves

    def _domain_queries(self, domain):
        counters = self.cluster.upstream_counters()
        servers = self.cluster.layout.all_servers()
        names = [server.name for server in servers if server.failure_domain == domain]
        return sum(counters[name]["queries"] for name in names)

    def violations(self):
        """What the upstreams and the daemons have counted against us."""
        seen = self.cluster.total("violations")
        self.check("violations counted by upstreams", seen == 0, seen)
        for daemon in self.cluster.daemons:
            state = daemon.operator("/v1/state").body
            found = state["violations"]
            self.check(f"invariants in {daemon.vm}", not found, found)

    def shutdown(self):
        """A graceful stop of one daemon."""
        status = self.cluster.daemons[2].terminate()
        self.check("graceful shutdown", status == 0, f"exit status {status}")


def coverage(reply):
    """Describe the coverage of an answer."""
    if reply.status != 200:
        return f"{reply.status} {reply.body}"
    found = reply.body["coverage"]
    text = f"{found['parts_answered']} of {found['parts_total']} parts"
    return f"{text}, missing {found['missing_parts']}"


def main():
    """Run the demonstration."""
    with Cluster(demo_layout) as cluster:
        demo = Demo(cluster)
        demo.start()
        demo.complete_query()
        demo.lost_shard()
        demo.orders()
        demo.domain_out_and_back()
        demo.violations()
        demo.shutdown()
    print("every step held" if not demo.failed else f"{demo.failed} step(s) failed")
    return 1 if demo.failed else 0


if __name__ == "__main__":
    sys.exit(main())
