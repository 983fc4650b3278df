"""Helpers shared by the step modules of the promise features."""

import signal
import time
import uuid

from tests.bench.load import Load
from tests.cluster import wait_until
from tests.soak import shard_parts

SERVICE = "demo"
# Generous, so that a slow test host gives the same results.
RECOVERY_TIMEOUT_S = 40
# Longer than any single step of a share transfer while the store is reachable.
SHARE_STEP_MAX_S = 1.0


def resume_daemons(cluster):
    """Resume every suspended daemon."""
    for daemon in cluster.daemons:
        if daemon.process.poll() is None:
            daemon.signal(signal.SIGCONT)


def restore_cluster(cluster):
    """Clear all faults and wait until every daemon returns complete answers."""
    cluster.set_faults()
    cluster.set_vm_list()
    resume_daemons(cluster)
    for daemon in cluster.daemons:
        if daemon.process.poll() is not None:
            daemon.start()
    cluster.wait_ready(cluster.daemons, RECOVERY_TIMEOUT_S)
    for daemon in cluster.daemons:
        wait_until(lambda d=daemon: accepts_orders(d), RECOVERY_TIMEOUT_S)
    wait_until(lambda: shares_are_stable(cluster), RECOVERY_TIMEOUT_S)


def shares_are_stable(cluster):
    """Return whether all slots of every server are held and no share changes.

    A share that is being transferred when the store fails stays unused until the
    store is available again. The design permits this and these features do not
    check it.
    """
    initial = slots_by_holder(cluster)
    time.sleep(SHARE_STEP_MAX_S)
    totals = dict.fromkeys(cluster.layout.servers, 0)
    for (_, server), slots in initial.items():
        totals[server] += slots
    limits = {s.name: s.upstream_class.slots for s in cluster.layout.all_servers()}
    return totals == limits and slots_by_holder(cluster) == initial


def slots_by_holder(cluster):
    """Return the slots in force by VM and server."""
    slots = {}
    for daemon in cluster.daemons:
        shares = daemon.operator_get("/v1/state").body["shares"]
        slots |= {(daemon.vm, server): share[0] for server, share in shares.items()}
    return slots


def accepts_orders(daemon):
    """Return whether an order sent through a daemon succeeds.

    An order is not sent to a second server after the first has rejected it, so the
    rejected order also informs the holders that a server is draining.
    """
    reply = daemon.order(SERVICE, "refill", uuid.uuid4().hex, {"tonnes": 1})
    return reply.status == 200


def start_load(context, rate_per_s=20, deadline_ms=2000):
    """Send queries until the scenario ends."""
    context.load = Load(context.cluster, "bins", rate_per_s, deadline_ms=deadline_ms)
    context.load.start()
    context.add_cleanup(context.load.stop)


def repartition(context, after_step):
    """Publish a new index version next to the old one, then withdraw the old one.

    ``after_step`` is called after each of the two steps.
    """
    old = context.shared["version"]
    new = context.shared["version"] = old + 1
    cluster = context.cluster
    shards = cluster.layout.indexes[0].shards
    old_parts, new_parts = (
        shard_parts(shards, 2 - version % 2) for version in (old, new)
    )
    for keep_old in (True, False):
        for name in sorted(cluster.layout.servers):
            if not name.startswith("bins"):
                continue
            shard = int(name.split("-")[1])
            served = {str(new): new_parts[shard]}
            if keep_old:
                served[str(old)] = old_parts[shard]
            cluster.upstream(name, "config", {"indexes": {"bins": served}})
        after_step()


def eventually(condition, timeout_s=RECOVERY_TIMEOUT_S):
    """Wait for a condition with a timeout that suits a slow test host."""
    wait_until(condition, timeout_s)
