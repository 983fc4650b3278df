"""Steps on a store that comes back from an older copy."""

import time

from behave import given, then, when

from hemlockspoke.http1.json_calls import JsonReply
from hemlockspoke.platform.store import StoreCalls, stated_era
from hemlockspoke.tier.metrics import MetricsRegistry
from hemlockspoke.tier.state.store_era import StoreEras
from tests.edge_soak.processes import ProcessWorld
from tests.reactor_thread import run_in_reactor

BOUNDS = {"config_apply_ms": 3000, "drain_ms": 2000, "evacuate_ms": 4000}
DOMAINS = ["a1", "b1"]
# Its entry names no server to use, so that its changes have no effect on requests.
OTHER_SERVER = "other"
ODD_ERAS = {
    "nothing": [],
    "5 and 6": [b"5", b"6"],
    "10^30": [b"1" + b"0" * 30],
}


@given("{count:d} daemons as processes in 2 failure domains")
def step_processes(context, count):
    world = context.world = ProcessWorld(shards=1)
    context.add_cleanup(world.stop)
    context.attempts = 0
    for number in range(count):
        world.add_daemon(f"e{number}", DOMAINS[number % 2], bounds=BOUNDS)
    world.wait_ready()


def route(world, name):
    """Return a route to the items under a path of its own."""
    return {**world.configuration()["routes"][1], "name": name, "path_prefix": name}


def configure(context, *paths):
    """Write the next version, with routes to the items at further paths."""
    world = context.world
    routes = world.configuration()["routes"]
    world.configure(routes=[*routes, *(route(world, path) for path in paths)])


def ask(context, vm, path):
    """Return the status of a request to a daemon."""
    context.attempts += 1
    return context.world.request(vm, f"{path}x", f"era{context.attempts}").status


def wait_served(context, path, timeout_s=6.0):
    end_s = time.monotonic() + timeout_s
    for vm in context.world.daemons:
        while ask(context, vm, path) != 200:
            assert time.monotonic() < end_s, f"{vm} does not serve {path}"
            time.sleep(0.05)


def add_route_and_leave(context, duration_s):
    """Write a version with a route, and let the store be away once it is served."""
    world = context.world
    configure(context, "/removed/")
    for sequence in range(5):
        world.put("servers", OTHER_SERVER, {"sequence": sequence})
    wait_served(context, "/removed/")
    context.written_configuration = world.store.get("config", "main")
    world.store.mode = "reset"
    time.sleep(duration_s)


@when(
    "the store is away for {duration_s:d} s and comes back as it was before 6 changes"
)
def step_comes_back(context, duration_s):
    store = context.world.store
    copy = run_in_reactor(store.copy)
    add_route_and_leave(context, duration_s)
    run_in_reactor(store.come_back_from, copy)


@when("the store is away for {duration_s:d} s and comes back with all changes")
def step_comes_back_whole(context, duration_s):
    add_route_and_leave(context, duration_s)


@when("the operator writes the version again and one with another route in its place")
def step_writes_again(context):
    context.world.put("config", "main", context.written_configuration)
    configure(context, "/added/")


@when('the server "{server_id}" writes that it drains')
def step_drains(context, server_id):
    context.world.announce(server_id, "draining")


@when("{count:d} further changes are written before the daemons reach the store again")
def step_further_changes(context, count):
    """Use up revisions that had been given out before."""
    world = context.world
    for sequence in range(count):
        world.put("servers", OTHER_SERVER, {"sequence": 100 + sequence})
    world.store.mode = "up"


@then(
    "after {delay_s:d} s all daemons serve the added route and refuse the removed one"
)
def step_in_force(context, delay_s):
    time.sleep(delay_s)
    statuses = {
        vm: (ask(context, vm, "/added/"), ask(context, vm, "/removed/"))
        for vm in context.world.daemons
    }
    assert set(statuses.values()) == {(200, 404)}, statuses


@then('no request reaches "{server_id}" from then on')
def step_unused(context, server_id):
    received = context.world.servers[server_id].received_attempts
    count = len(received)
    for _ in range(10):
        for vm in context.world.daemons:
            assert ask(context, vm, "/item/") == 200, vm
    assert len(received) == count, f"{len(received) - count} requests of 40"


@when(
    'the server "{server_id}" drains, and the store comes back from before that after '
    "{duration_s:d} s"
)
def step_drain_lost(context, server_id, duration_s):
    world = context.world
    time.sleep(2.0)
    copy = run_in_reactor(world.store.copy)
    world.announce(server_id, "draining")
    # Longer than the drain time, so that no daemon uses the server any more.
    time.sleep(3.5)
    world.store.mode = "reset"
    time.sleep(duration_s)
    run_in_reactor(world.store.come_back_from, copy)
    world.store.mode = "up"


@then('no request reaches "{server_id}" in the next {duration_s:d} s')
def step_unused_for(context, server_id, duration_s):
    received = context.world.servers[server_id].received_attempts
    count, end_s = len(received), time.monotonic() + duration_s
    while time.monotonic() < end_s:
        for vm in context.world.daemons:
            assert ask(context, vm, "/item/") == 200, vm
        time.sleep(0.05)
    assert len(received) == count, f"{len(received) - count} requests"


class HeldCalls:
    """Holds each call, to be answered later."""

    def call(self, method, path, on_reply, timeout_ms, body=None):
        """Hold a call."""
        self.on_reply = on_reply


@given("calls to a store that has stated era {era:d}")
def step_calls(context, era):
    context.eras = StoreEras()
    context.eras.observe(era)
    context.calls = StoreCalls(None, None, "", MetricsRegistry(), context.eras)
    context.calls._calls = HeldCalls()


@when("an answer with status {status:d} states era {era:d}")
def step_answer(context, status, era):
    replies = []
    context.calls.list("servers", None, replies.append)
    headers = [(b"Store-Era", b"%d" % era)]
    context.calls._calls.on_reply(JsonReply(status, {}, headers=headers))
    [context.reply] = replies


@then("the caller learns that there was no answer")
def step_no_answer(context):
    assert context.reply.status is None and context.reply.body is None


@then("the caller gets the answer")
def step_gets_answer(context):
    assert context.reply.status == 200 and context.reply.era == context.eras.newest


@given("the eras of a store that has stated {era:d}")
def step_eras(context, era):
    context.eras = StoreEras()
    context.eras.observe(era)


@then("an answer that states <value> counts for era <era>")
def step_counts_for(context):
    for row in context.table:
        text = row["value"]
        values = ODD_ERAS.get(text, [text.encode()])
        headers = [(b"STORE-era", value) for value in values]
        observed = context.eras.observe(stated_era(headers))
        assert observed == int(row["era"]), (text, observed)
