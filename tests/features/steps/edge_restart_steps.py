"""Steps on restarts of daemons after servers, domains or routes went out of use."""

import time

from behave import given, then, when

from tests.platform_world import ITEM_PATH
from tests.reactor_thread import run_in_reactor

REQUEST_INTERVAL_S = 0.02
# A change is known to the daemon that reads the store within this time.
KNOWN_S = 0.3


@given('the store turns "{vm}" away')
def step_turned_away(context, vm):
    host, _ = context.world.addresses[vm]
    context.world.store.faulty_peer_hosts = {host}
    context.world.store.mode = "busy"


def change(context, kind, name, spec=None):
    """Write an object, or remove it, at a time that is noted."""
    context.changed_s = time.monotonic()
    if spec is None:
        context.world.remove(kind, name)
    else:
        context.world.put(kind, name, spec)
    time.sleep(KNOWN_S)


@when('the entry of "{server_id}" is gone')
def step_entry_gone(context, server_id):
    change(context, "servers", server_id)


@when('the server "{server_id}" drains')
def step_drains(context, server_id):
    entry = context.world.servers[server_id].entry("draining")
    change(context, "servers", server_id, entry)


@when('the failure domain "{domain}" goes out')
def step_goes_out(context, domain):
    change(context, "evacuations", domain, {})


@when("the route of items is withdrawn")
def step_route_withdrawn(context):
    world = context.world
    world.version += 3
    configuration = world.configuration()
    configuration["routes"] = [
        route for route in configuration["routes"] if route["path_prefix"] != ITEM_PATH
    ]
    change(context, "config", "main", configuration)


def restart(context, vm):
    """Close a daemon and start another one for the same VM."""
    world = context.world
    run_in_reactor(world.daemons.pop(vm).close)
    world.add_daemon(vm, "a1", first_start=False)
    if world.store.faulty_peer_hosts is not None and vm == "e1":
        # The new process of the VM has another host, which is turned away as well.
        world.store.faulty_peer_hosts.add(world.addresses[vm][0])


@when('the daemon "{vm}" starts again')
def step_starts_again(context, vm):
    restart(context, vm)


@when("both daemons start again")
def step_both_start_again(context):
    for vm in ("e1", "e2"):
        restart(context, vm)


@when("the store drops its history")
def step_compacted(context):
    run_in_reactor(context.world.store.compact)


def check_unused(context, vm, server_id, begin_s, end_s):
    """Send requests for a time, of which none may reach a server."""
    server = context.world.servers[server_id]
    time.sleep(max(0.0, begin_s - time.monotonic()))
    number, answered = 0, 0
    while time.monotonic() < end_s:
        number += 1
        attempt = f"{vm}x{number}"
        reply = context.world.request(vm, "/item/a", attempt)
        answered += reply.status is not None
        assert attempt.encode() not in server.received_attempts, attempt
        time.sleep(REQUEST_INTERVAL_S)
    assert number and answered == number, (answered, number)


@then(
    'requests through "{vm}" from {begin_ms:d} ms after the change to {end_ms:d} ms '
    'reach no "{server_id}"'
)
def step_unused(context, vm, begin_ms, end_ms, server_id):
    context.checked_server = server_id
    begin_s = context.changed_s + begin_ms / 1000
    check_unused(context, vm, server_id, begin_s, context.changed_s + end_ms / 1000)


@then('requests through "{vm}" have that outcome as well')
def step_unused_as_well(context, vm):
    begin_s = time.monotonic()
    check_unused(context, vm, context.checked_server, begin_s, begin_s + 1.0)
