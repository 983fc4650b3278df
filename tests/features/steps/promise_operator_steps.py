"""Steps of the promise features for failure domains, drains and configuration."""

import signal
import threading
import time

from behave import given, then, when

from tests.promises import SERVICE, eventually
from tests.soak import Soak

# Sections 1.1 and 10 of the design page state these bounds.
NO_NEW_WORK_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = {"2 s": 2.0, "12 s": 12.0}
OBSERVATION_S = 2.0
DOCUMENT_KEY = f"services/{SERVICE}"


def request_count(cluster, servers):
    """Return how many requests servers have started or rejected while draining."""
    counters = cluster.upstream_counters()
    names = ("queries", "orders", "work_after_drain")
    return sum(counters[server][name] for server in servers for name in names)


def servers_in(cluster, domain):
    """Return the servers of a failure domain."""
    servers = cluster.layout.all_servers()
    return [server.name for server in servers if server.failure_domain == domain]


def check_no_new_work(context, servers):
    """Wait until 3 s have passed and check that servers then receive no requests."""
    remaining_s = context.change_time_s + NO_NEW_WORK_LIMIT_S - time.monotonic()
    time.sleep(max(0.0, remaining_s))
    initial_count = request_count(context.cluster, servers)
    sent_count = context.load.sample.total()
    time.sleep(OBSERVATION_S)
    added = request_count(context.cluster, servers) - initial_count
    assert not added, f"{added} requests after {NO_NEW_WORK_LIMIT_S} s"
    assert context.load.sample.total() > sent_count, "the load generator has stopped"


@when("an operator takes cluster domain {domain} out")
def step_domain_out(context, domain):
    context.cluster.command("domain", "out", domain, "--why", "promise")
    context.change_time_s = time.monotonic()
    context.add_cleanup(take_domain_in, context, domain)


def take_domain_in(context, domain):
    """Take a failure domain back in."""
    context.cluster.command("domain", "in", domain, "--why", "promise", check=False)


@when("cluster domain {domain} is taken back in")
def step_domain_in(context, domain):
    take_domain_in(context, domain)


def run_concurrently(functions):
    """Run functions concurrently in threads and return their results."""
    results = [None] * len(functions)

    def run(position):
        results[position] = functions[position]()

    threads = [threading.Thread(target=run, args=(n,)) for n in range(len(functions))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


@when("two operators take cluster domain {domain} out concurrently")
def step_domain_race(context, domain):
    def take_out(who):
        arguments = ("domain", "out", domain, "--why", "promise", "--who", who)
        return lambda: context.cluster.command(*arguments, check=False)

    context.results = run_concurrently([take_out("ada"), take_out("ben")])
    context.change_time_s = time.monotonic()
    context.add_cleanup(take_domain_in, context, domain)


@then("one operator of the cluster succeeds and the other is rejected without a change")
def step_one_succeeds(context):
    codes = sorted(result.returncode for result in context.results)
    # 1: the domain was already out; 3: another write came first.
    assert codes in ([0, 1], [0, 3]), [r.stdout + r.stderr for r in context.results]


@then("3 s after the change cluster domain {domain} receives no new work")
def step_domain_receives_no_work(context, domain):
    check_no_new_work(context, servers_in(context.cluster, domain))


@then("cluster domain {domain} receives work again")
def step_domain_receives_work(context, domain):
    servers = servers_in(context.cluster, domain)
    before = request_count(context.cluster, servers)
    eventually(lambda: request_count(context.cluster, servers) > before)


@when("cluster daemon {number:d} reaches neither the store nor a peer for 3 s")
def step_daemon_isolated(context, number):
    for position, daemon in enumerate(context.cluster.daemons):
        if position != number:
            daemon.signal(signal.SIGSTOP)
    vm = context.cluster.daemons[number].vm
    context.cluster.set_faults({"kind": "down", "vms": [vm]})
    time.sleep(NO_NEW_WORK_LIMIT_S)


@then("cluster daemon {number:d} rejects new work and is not ready")
def step_daemon_rejects_work(context, number):
    daemon = context.cluster.daemons[number]
    before = context.cluster.counter_total("queries")
    reply = daemon.query(SERVICE, "bins", deadline_ms=500)
    assert reply.status == 503, reply.body
    assert reply.body["outcome"] == "not_run", reply.body
    assert context.cluster.counter_total("queries") == before
    assert not daemon.is_ready()


@when("cluster server {server} starts to drain")
def step_start_drain(context, server):
    context.cluster.upstream(server, "config", {"draining": True})
    context.change_time_s = time.monotonic()
    defaults = {"draining": False}
    context.add_cleanup(context.cluster.upstream, server, "config", defaults)


@then("3 s after the start of the drain cluster server {server} receives no new work")
def step_server_receives_no_work(context, server):
    check_no_new_work(context, [server])


@then("cluster server {server} receives work again after its drain")
def step_server_receives_work(context, server):
    context.cluster.upstream(server, "config", {"draining": False})
    before = request_count(context.cluster, [server])
    eventually(lambda: request_count(context.cluster, [server]) > before)


def version_in_force(daemon):
    """Return the version of the document in force at a daemon."""
    objects = daemon.operator_get("/v1/configuration").body["objects"]
    return objects.get(DOCUMENT_KEY, {}).get("version", 0)


@given("the document versions in force in the cluster are monitored")
def step_monitor_versions(context):
    context.version_monitor = Soak(context.cluster, seed=0)
    thread = threading.Thread(
        target=context.version_monitor.watch_versions, daemon=True
    )
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(context.version_monitor.stopped.set)


def document_change(context, who, deadline_ms, version):
    """Return a function that applies a document with another default deadline."""
    path = context.cluster.directory / f"{who}.yaml"
    text = context.cluster.layout.document(default_deadline_ms=deadline_ms)
    path.write_text(text, encoding="utf-8")
    arguments = ["service", "apply", str(path), "--why", "promise", "--who", who]
    arguments += ["--if-version", str(version)]
    return lambda: context.cluster.command(*arguments, check=False)


def next_deadline_ms(context):
    """Return a deadline that no document of this feature has used."""
    context.shared["deadline_ms"] = context.shared.get("deadline_ms", 1000) + 1
    return context.shared["deadline_ms"]


@when("an operator changes the cluster's document")
def step_document_changed(context):
    context.previous_version = version_in_force(context.cluster.daemons[0])
    deadline_ms = next_deadline_ms(context)
    result = document_change(context, "ada", deadline_ms, context.previous_version)()
    context.change_time_s = time.monotonic()
    assert result.returncode == 0, result.stdout + result.stderr


@when("two operators change the cluster's document concurrently")
def step_document_race(context):
    context.previous_version = version_in_force(context.cluster.daemons[0])
    changes = [
        document_change(
            context, who, next_deadline_ms(context), context.previous_version
        )
        for who in ("ada", "ben")
    ]
    context.results = run_concurrently(changes)
    context.change_time_s = time.monotonic()


def daemons_by_number(cluster, numbers):
    """Return the daemons of a list of numbers such as ``0, 2``."""
    return [cluster.daemons[int(number)] for number in numbers.split(", ")]


@then("within {limit} the document change is in force on cluster daemons {numbers}")
def step_in_force_on(context, limit, numbers):
    def is_in_force_everywhere():
        daemons = daemons_by_number(context.cluster, numbers)
        return (
            min(version_in_force(daemon) for daemon in daemons)
            > context.previous_version
        )

    eventually(is_in_force_everywhere)
    elapsed_s = time.monotonic() - context.change_time_s
    assert elapsed_s < IN_FORCE_LIMIT_S[limit], f"{elapsed_s:.1f} s"


@then("the document change comes into force on cluster daemon {number:d}")
def step_comes_into_force(context, number):
    daemon = context.cluster.daemons[number]
    eventually(lambda: version_in_force(daemon) > context.previous_version)


@then("no document version in force in the cluster has decreased")
def step_versions_do_not_decrease(context):
    # Allows one more digest exchange with every peer.
    time.sleep(1)
    context.version_monitor.stopped.set()
    assert not context.version_monitor.failures, context.version_monitor.failures
    versions = {version_in_force(daemon) for daemon in context.cluster.daemons}
    assert len(versions) == 1, versions
