"""Steps on rollouts, with real daemons, servers and a store."""

import itertools
import time

from behave import given, then, when

from hemlockspoke.tier.rollouts.order import FINAL_PHASES
from tests.platform_world import ITEM_PATH, QUERY_PATH, PlatformWorld
from tests.reactor_thread import run_in_reactor, wait_until

BOUNDS = {"exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000}
PATHS = {"items": ITEM_PATH, "shard-0": QUERY_PATH}
DOMAINS = ("a1", "b1")
_attempts = itertools.count(1)


def servers_of(context, version):
    return [
        server
        for name, server in context.world.servers.items()
        if server.service == context.service
        and name.startswith("new") == (version == "v2")
    ]


def received(context, version):
    return [s for server in servers_of(context, version) for s in server.received_s]


def end_of_order(context):
    """Return the state of the order, once it has ended."""
    status = context.world.store.status("rollouts", context.service)
    return status and status["state"] in FINAL_PHASES and status["state"]


@given("three daemons with bounds for rollouts")
def step_daemons(context):
    context.world = PlatformWorld()
    context.add_cleanup(context.world.stop)
    for vm, domain in (("e1", "a1"), ("e2", "a1"), ("e3", "b1")):
        context.world.add_daemon(vm, domain, bounds=BOUNDS)
    context.world.wait_ready()
    for vm in context.world.daemons:
        context.world.wait_peers(vm, 2)


@given('servers of the version "{version}" of {service} that answer as "{behaviour}"')
def step_servers(context, version, service, behaviour):
    context.service = service
    for domain in DOMAINS:
        name = f"new-{domain}"
        context.world.add_server(name, service, 0, domain, announce=False)
        server = context.world.servers[name]
        server.behaviour = behaviour
        context.world.put("servers", name, server.entry(version=version))


@given('the store loses the reply to the write of "{state}"')
def step_lose_reply(context, state):
    context.world.store.lost_status_replies.append(state)


@given("the store takes {delay_s:d} s for each write of a status")
def step_slow_writes(context, delay_s):
    context.world.store.status_delay_s = delay_s


@given("odd orders for items and other services")
def step_odd_orders(context):
    order = {"service": "items", "target_version": "v2", "duration_s": 8}
    for name, spec in {
        "items": {**order, "duration_s": "soon"},
        "other": order,
        "none": None,
        "list": [order],
        "negative": {**order, "service": "negative", "duration_s": -1},
        "odd-version": {**order, "service": "odd-version", "target_version": 2},
    }.items():
        context.world.put("rollouts", name, spec)


@when('an order moves {service} to "{version}" within {duration_s:d} s')
def step_order(context, service, version, duration_s):
    spec = {"service": service, "target_version": version, "duration_s": duration_s}
    context.world.put("rollouts", service, spec)


@when("callers send {rate:d} requests a second for {duration_s:d} s")
def step_requests(context, rate, duration_s):
    context.replies, context.ended_s = [], None
    end_s = time.monotonic() + duration_s
    vms = itertools.cycle(context.world.daemons)
    while time.monotonic() < end_s:
        start_s = time.monotonic()
        reply = context.world.request(
            next(vms), PATHS[context.service], f"try-{next(_attempts)}"
        )
        context.replies.append(reply)
        if context.ended_s is None and run_in_reactor(end_of_order, context):
            context.ended_s = time.monotonic()
            if end_of_order(context) == "completed":
                stop_old_servers(context)
        time.sleep(max(0.0, 1.0 / rate - (time.monotonic() - start_s)))


def stop_old_servers(context):
    context.old_counts = [len(s.received_s) for s in servers_of(context, "v1")]
    for name, server in list(context.world.servers.items()):
        if server in servers_of(context, "v1"):
            context.world.remove("servers", name)
            run_in_reactor(server.stop)


@then('the status of the order is "{state}" for "{version}"')
def step_status(context, state, version):
    wait_until(lambda: end_of_order(context))
    status = context.world.store.status("rollouts", context.service)
    assert status == {"state": state, "target_version": version}, status


@then('the servers of "{version}" have got at most their exposure')
def step_exposure(context, version):
    limit = BOUNDS["exposure_share"] * len(context.replies) + BOUNDS["exposure_slack"]
    count = len(received(context, version))
    assert 0 < count <= limit, (count, limit)


@then('the servers of "{version}" get no request any more')
def step_no_more(context, version):
    late = [s for s in received(context, version) if s > context.ended_s + 0.5]
    assert not late, late


@then('the servers of "{version}" got nothing in the {part_s:d} s before that')
def step_none_before(context, version, part_s):
    late = [s for s in received(context, version) if s > context.ended_s - part_s]
    assert not late, (late, context.ended_s)


@then('the servers of "{version}" got nothing after the status was "completed"')
def step_old_left(context, version):
    counts = [len(server.received_s) for server in servers_of(context, version)]
    assert counts == context.old_counts, (counts, context.old_counts)
    assert all(
        end is not None
        for server in servers_of(context, version)
        for _, end in server.work_s.values()
    )


@then('the daemons may send requests to the servers of "{version}"')
def step_may_send(context, version):
    for daemon in context.world.daemons.values():
        servers = run_in_reactor(daemon.directory.candidates, context.service)
        versions = [server.entry.version for server in servers]
        assert versions.count(version) == len(DOMAINS), versions


@then('the status of the order had the states "{states}" one after the other')
def step_states(context, states):
    store = context.world.store
    events = [event for event in store._events if event.kind == "rollouts"]
    statuses = [event.item.status for event in events]
    found = [status and status["state"] for status in statuses]
    assert found == [None, *states.split(", ")], found
    assert {status["target_version"] for status in statuses[1:]} == {"v2"}, statuses


@then("all queries were answered in full")
def step_all_complete(context):
    missing = [
        reply.headers.get("x-hemlockspoke-parts-missing") for reply in context.replies
    ]
    assert set(missing) <= {None, b"0"}, missing


@then("all requests were answered by a server")
def step_all_answered(context):
    statuses = [reply.status for reply in context.replies]
    others = [status for status in statuses if status != 200]
    assert not others, others
