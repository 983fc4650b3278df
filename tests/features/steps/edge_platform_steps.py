"""Steps on the store of a platform in one process, with faults of the store."""

import json
import time

from behave import given, then, when
from twisted.internet import reactor
from twisted.internet.task import deferLater

from tests.reactor_thread import run_in_reactor, wait_until

ITEMS = ("item-a1", "item-b1")


def directory(context, vm="e1"):
    return context.world.daemons[vm].directory


def wait_for_server(context, server, condition):
    known = directory(context).servers
    wait_until(lambda: condition(known.get(server)))


@given('the server "{server}" announces that it is leaving')
def step_leaving(context, server):
    world = context.world
    world.put("servers", server, world.servers[server].entry(state="draining"))
    # For another 500 ms, a quarter of the drain time, it serves if no other server can.
    wait_for_server(context, server, lambda known: known.leaving_until_ms is not None)


@given("the entries of both servers of items expire")
def step_expire_entries(context):
    for server in ITEMS:
        context.world.remove("servers", server)
        wait_for_server(
            context, server, lambda known: known.leaving_until_ms is not None
        )


@given("the entries of both servers of items return")
def step_return_entries(context):
    for server in ITEMS:
        entry = context.world.servers[server].entry()
        context.world.put("servers", server, entry)


@when("{delay_ms:d} ms have passed")
def step_wait(context, delay_ms):
    run_in_reactor(deferLater, reactor, delay_ms / 1000, lambda: None)


@given('the failure domain "{name}" is out')
def step_domain_out(context, name):
    context.world.put("evacuations", name, {})
    wait_until(lambda: name in directory(context).domains_out)


@when('the failure domain "{name}" is back')
def step_domain_back(context, name):
    context.world.remove("evacuations", name)
    wait_until(lambda: name not in directory(context).domains_out)


@given('the store is "{mode}"')
def step_mode(context, mode):
    context.world.store.mode = mode
    # The pending watches end within this time; the next ones get the new mode.
    time.sleep(0.1)


@when('the store is "{mode}" again')
def step_mode_again(context, mode):
    context.world.store.mode = mode


@when("the configuration gives requests {timeout_ms:d} ms")
@given("the configuration changes without a notification")
def step_change_configuration(context, timeout_ms=300):
    context.world.route_fields["timeout_ms"] = timeout_ms
    context.world.configure()


@given("the store discards its history after a change without a notification")
def step_discard_history(context):
    context.world.store.mode = "silent"
    step_change_configuration(context)
    run_in_reactor(context.world.store.compact)
    context.world.store.mode = "up"


@given("an older version of the configuration is written")
def step_older(context):
    older = {**context.world.configuration(), "version": context.world.version - 1}
    context.world.put("config", "main", older)


@then('"{vm}" adopts it within {limit_ms:d} ms')
def step_adopts(context, vm, limit_ms):
    version = context.world.version
    wait_until(
        lambda: directory(context, vm).routing.version == version,
        timeout_s=limit_ms / 1000,
    )


@then('"{vm}" has the newest version in force')
def step_newest(context, vm):
    assert directory(context, vm).routing.version == context.world.version


@given("the entry of a server is {entry}")
def step_entry(context, entry):
    world = context.world
    spec = json.loads(entry)
    world.put("servers", "item-a1", spec)
    world.put("servers", "stranger", spec)
    # A later entry shows that the malformed ones have been read.
    world.put("servers", "item-b1", world.servers["item-b1"].entry(sequence=2, slots=3))
    wait_for_server(context, "item-b1", lambda known: known.entry.slots == 3)
    assert "stranger" not in directory(context).servers


@given("it restarts with the same id")
def step_restart_server(context):
    server = context.world.servers["item-a1"]
    old_server = directory(context).servers["item-a1"]
    server.behaviour = "serve"
    context.world.put("servers", "item-a1", server.entry(born=2_000))
    wait_for_server(context, "item-a1", lambda known: known is not old_server)


@when('the daemon "{vm}" starts in "{domain}"')
def step_starts(context, vm, domain):
    context.world.add_daemon(vm, domain)


@then('the ready check of "{vm}" gets {status:d}')
def step_ready(context, vm, status):
    assert context.world.ready_status(vm) == status


@then('"{server}" has run something')
def step_has_run(context, server):
    assert context.world.servers[server].executed_attempts


@given("every server of items takes {work_ms:d} ms")
def step_slow(context, work_ms):
    for server in ITEMS:
        context.world.servers[server].work_ms = work_ms


@when('"{vm}" gets a stop signal while a caller waits for an item')
def step_stop(context, vm):
    daemon = context.world.daemons[vm]
    daemon._reactor = RecordingReactor(daemon._reactor)
    stop_call = deferLater(reactor, 0.1, daemon.terminate)
    stop_call.addErrback(lambda failure: failure.printTraceback())
    context.attempt = "stopping"
    context.reply = context.world.request(vm, "/item/a", "stopping")


class RecordingReactor:
    """The reactor, but with a ``stop`` that is only recorded."""

    def __init__(self, real):
        self._real = real
        self.stopped = False

    def stop(self):
        self.stopped = True

    def __getattr__(self, name):
        return getattr(self._real, name)
