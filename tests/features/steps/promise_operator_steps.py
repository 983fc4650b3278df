"""Steps of the promises on operators: domains out, drains, configuration."""

import signal
import threading
import time

from behave import given, then, when

from tests.promises import SERVICE, eventually
from tests.soak import Soak

# Sections 1.1 and 10 of the design page state these bounds.
NO_NEW_WORK_S = 3.0
IN_FORCE_S = {"2 s": 2.0, "12 s": 12.0}
WATCHED_S = 2.0
KEY = f"services/{SERVICE}"


def work_of(cluster, servers):
    """Return how much work servers have begun or refused while draining."""
    counters = cluster.upstream_counters()
    names = ("queries", "orders", "work_after_drain")
    return sum(counters[server][name] for server in servers for name in names)


def servers_in(cluster, domain):
    """Return the servers of a failure domain."""
    servers = cluster.layout.all_servers()
    return [server.name for server in servers if server.failure_domain == domain]


def no_new_work(context, servers):
    """Wait until 3 s have passed and check that work then does not grow."""
    remaining_s = context.since_s + NO_NEW_WORK_S - time.monotonic()
    time.sleep(max(0.0, remaining_s))
    before = work_of(context.cluster, servers)
    sent = context.load.sample.total()
    time.sleep(WATCHED_S)
    added = work_of(context.cluster, servers) - before
    assert not added, f"{added} requests after {NO_NEW_WORK_S} s"
    assert context.load.sample.total() > sent, "the load has stopped"


@when("an operator takes promise domain {domain} out")
def step_domain_out(context, domain):
    context.cluster.command("domain", "out", domain, "--why", "promise")
    context.since_s = time.monotonic()
    context.add_cleanup(domain_in, context, domain)


def domain_in(context, domain):
    """Take a failure domain in again."""
    context.cluster.command("domain", "in", domain, "--why", "promise", check=False)


@when("the promise domain {domain} is taken in again")
def step_domain_in(context, domain):
    domain_in(context, domain)


def at_once(functions):
    """Run functions in threads at the same time and return their results."""
    results = [None] * len(functions)

    def run(position):
        results[position] = functions[position]()

    threads = [threading.Thread(target=run, args=(n,)) for n in range(len(functions))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


@when("two operators take promise domain {domain} out at once")
def step_domain_race(context, domain):
    def out(who):
        arguments = ("domain", "out", domain, "--why", "promise", "--who", who)
        return lambda: context.cluster.command(*arguments, check=False)

    context.results = at_once([out("ada"), out("ben")])
    context.since_s = time.monotonic()
    context.add_cleanup(domain_in, context, domain)


@then("one promise operator succeeds and the other is told that nothing was changed")
def step_one_succeeds(context):
    codes = sorted(result.returncode for result in context.results)
    # 1: the domain was out already; 3: the race for the write was lost.
    assert codes in ([0, 1], [0, 3]), [r.stdout + r.stderr for r in context.results]


@then("3 s after the change promise domain {domain} gets no new work")
def step_domain_idle(context, domain):
    no_new_work(context, servers_in(context.cluster, domain))


@then("promise domain {domain} serves again")
def step_domain_serves(context, domain):
    servers = servers_in(context.cluster, domain)
    before = work_of(context.cluster, servers)
    eventually(lambda: work_of(context.cluster, servers) > before)


@when("promise daemon {number:d} reaches neither the store nor a peer for 3 s")
def step_isolated(context, number):
    for position, daemon in enumerate(context.cluster.daemons):
        if position != number:
            daemon.signal(signal.SIGSTOP)
    vm = context.cluster.daemons[number].vm
    context.cluster.set_faults({"kind": "down", "vms": [vm]})
    time.sleep(NO_NEW_WORK_S)


@then("promise daemon {number:d} refuses new work and is not ready")
def step_refuses(context, number):
    daemon = context.cluster.daemons[number]
    before = context.cluster.total("queries")
    reply = daemon.query(SERVICE, "bins", deadline_ms=500)
    assert reply.status == 503, reply.body
    assert reply.body["outcome"] == "not_run", reply.body
    assert context.cluster.total("queries") == before
    assert not daemon.is_ready()


@when("promise server {server} starts to drain")
def step_drain(context, server):
    context.cluster.upstream(server, "config", {"draining": True})
    context.since_s = time.monotonic()
    undo = {"draining": False}
    context.add_cleanup(context.cluster.upstream, server, "config", undo)


@then("3 s after the start of the drain promise server {server} gets no new work")
def step_drained(context, server):
    no_new_work(context, [server])


@then("promise server {server} serves again after its drain")
def step_drain_over(context, server):
    context.cluster.upstream(server, "config", {"draining": False})
    before = work_of(context.cluster, [server])
    eventually(lambda: work_of(context.cluster, [server]) > before)


def in_force(daemon):
    """Return the version of the document in force at a daemon."""
    objects = daemon.operator("/v1/configuration").body["objects"]
    return objects.get(KEY, {}).get("version", 0)


@given("the promise versions in force are watched")
def step_versions_watched(context):
    context.watch = Soak(context.cluster, seed=0)
    thread = threading.Thread(target=context.watch.watch_versions, daemon=True)
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(context.watch.stopped.set)


def apply_document(context, who, deadline_ms, version):
    """Apply a document that differs by its deadline; return the command."""
    path = context.cluster.directory / f"{who}.yaml"
    text = context.cluster.layout.document(default_deadline_ms=deadline_ms)
    path.write_text(text, encoding="utf-8")
    arguments = ["service", "apply", str(path), "--why", "promise", "--who", who]
    arguments += ["--if-version", str(version)]
    return lambda: context.cluster.command(*arguments, check=False)


def next_deadline(context):
    """Return a deadline that no document of this feature has had."""
    context.shared["deadline_ms"] = context.shared.get("deadline_ms", 1000) + 1
    return context.shared["deadline_ms"]


@when("an operator changes the promise document")
def step_document_changed(context):
    context.before = in_force(context.cluster.daemons[0])
    deadline_ms = next_deadline(context)
    result = apply_document(context, "ada", deadline_ms, context.before)()
    context.since_s = time.monotonic()
    assert result.returncode == 0, result.stdout + result.stderr


@when("two operators change the promise document at once")
def step_document_race(context):
    context.before = in_force(context.cluster.daemons[0])
    changes = [
        apply_document(context, who, next_deadline(context), context.before)
        for who in ("ada", "ben")
    ]
    context.results = at_once(changes)
    context.since_s = time.monotonic()


def numbered(cluster, numbers):
    """Return the daemons of a list of numbers such as ``0, 2``."""
    return [cluster.daemons[int(number)] for number in numbers.split(", ")]


@then("within {limit} the promise change is in force on daemons {numbers}")
def step_in_force_on(context, limit, numbers):
    def everywhere():
        daemons = numbered(context.cluster, numbers)
        return min(in_force(daemon) for daemon in daemons) > context.before

    eventually(everywhere)
    elapsed_s = time.monotonic() - context.since_s
    assert elapsed_s < IN_FORCE_S[limit], f"{elapsed_s:.1f} s"


@then("the promise change gets in force on daemon {number:d}")
def step_gets_in_force(context, number):
    daemon = context.cluster.daemons[number]
    eventually(lambda: in_force(daemon) > context.before)


@then("no promise version has gone back")
def step_none_back(context):
    # One more exchange of digests with every peer.
    time.sleep(1)
    context.watch.stopped.set()
    assert not context.watch.failures, context.watch.failures
    versions = {in_force(daemon) for daemon in context.cluster.daemons}
    assert len(versions) == 1, versions
