"""Steps on daemons whose store has entries that cannot be read."""

from behave import given, then, when

from hemlockspoke.platform.objects import DAEMON_KIND
from tests.features.steps.edge_odd_entries_steps import DEPTHS, ODD_VALUES, nested
from tests.reactor_thread import wait_until
from tests.standins.object_store import RawJson


@given('another daemon "{vm}" in "{domain}" that takes the changes from "{reader}"')
def step_follower(context, vm, domain, reader):
    world = context.world
    world.add_daemon(vm, domain, first_start=False)
    world.wait_ready(vm)
    world.wait_peers(vm, 1)
    feeds = [f.feed for f in world.daemons[vm]._relay._kinds.values()]
    wait_until(lambda: not any(feed.active for feed in feeds))


@when("another writer's server entry has {value} as its service")
def step_odd_entry(context, value):
    world = context.world
    server = world.servers["item-a1"]
    world.put("servers", "odd", server.entry(service=RawJson(ODD_VALUES[value])))


@when("another writer's entries of all kinds are nested 10 to 100000 deep")
def step_nested_entries(context):
    world = context.world
    server = world.servers["item-a1"]
    for depth in DEPTHS:
        for in_objects in (False, True):
            value = RawJson(nested(depth, in_objects))
            name = f"odd-{depth}-{in_objects}"
            world.put("servers", f"{name}-field", server.entry(state=value))
            world.put("servers", f"{name}-whole", value)
            world.put("evacuations", name, {"reason": value})
            world.put("config", name, {"routes": value})
            world.put(DAEMON_KIND, name, {"peer_address": value})


@then('"{first}" and "{second}" know that "{domain}" is out of service once it is')
def step_know_out(context, first, second, domain):
    context.world.put("evacuations", domain, {})
    for vm in (first, second):
        directory = context.world.daemons[vm].directory
        wait_until(lambda directory=directory: domain in directory.domains_out, 1.5)
    context.world.remove("evacuations", domain)


def knows_leaving(context, vm, server_id):
    server = context.world.daemons[vm].directory.servers.get(server_id)
    return server is not None and server.leaving_until_ms is not None


@then('"{first}" and "{second}" know that "{server_id}" is leaving')
def step_know_leaving(context, first, second, server_id):
    for vm in (first, second):
        wait_until(lambda vm=vm: knows_leaving(context, vm, server_id), 1.5)


@then('"{vm}" knows the servers of items, and that "{server_id}" is leaving')
def step_knows_servers(context, vm, server_id):
    world = context.world
    world.wait_ready(vm)
    wait_until(lambda: knows_leaving(context, vm, server_id))
    assert "item-b1" in world.daemons[vm].directory.servers
