"""Steps on the cooperation of daemons on a platform in one process."""

from behave import given, step, then, when
from twisted.internet import reactor
from twisted.internet.task import deferLater

from hemlockspoke.address import Address
from hemlockspoke.platform.objects import decode_server
from tests.features.steps.edge_requests_steps import (
    check_cancelled,
    send_and_disconnect,
)
from tests.platform_world import HOST, QUERY_PATH, free_ports
from tests.reactor_thread import run_in_reactor, wait_until

DAEMON_KIND = "hemlockspoke-daemons"


def shard_servers(context, domain=None):
    return [
        server
        for server in context.world.servers.values()
        if server.service.startswith("shard") and domain in (None, server.domain)
    ]


@given('the daemon "{vm}" runs in "{domain}" connected to "{other}"')
def step_connected_daemon(context, vm, domain, other):
    world = context.world
    world.add_daemon(vm, domain)
    world.wait_ready(vm)
    network = world.daemons[vm]._network
    other_network = world.daemons[other]._network
    # The lists of registered daemons are read every 10 s.
    wait_until(lambda: other in network.connected(), timeout_s=14)
    wait_until(lambda: vm in other_network.connected(), timeout_s=14)
    peers = world.daemons[other]._peers
    wait_until(lambda: vm in peers._peers_by_vm, timeout_s=14)


@step("{delay_ms:d} ms go by")
def step_wait(context, delay_ms):
    run_in_reactor(deferLater, reactor, delay_ms / 1000, lambda: None)


@then('only one of "{vms}" reads the store')
def step_one_reader(context, vms):
    relays = [context.world.daemons[vm]._relay for vm in vms.split(", ")]
    for kind in ("config", "servers", "evacuations"):
        active = [relay for relay in relays if relay._kinds[kind].feed.active]
        assert len(active) == 1, (kind, len(active))


@given('the store rejects calls of "{vm}"')
def step_rejected_calls(context, vm):
    host, _ = context.world.addresses[vm]
    context.world.store.faulty_peer_hosts = {host}
    context.world.store.mode = "busy"


@given('the daemon "{vm}" has stopped')
def step_stop_daemon(context, vm):
    run_in_reactor(context.world.daemons.pop(vm).close)


@given('the servers of "{domain}" are removed')
def step_remove_servers(context, domain):
    daemons = context.world.daemons
    for server in shard_servers(context, domain):
        context.world.remove("servers", server.server_id)
    for server in shard_servers(context, domain):
        name = server.server_id
        for daemon in daemons.values():
            servers = daemon.directory.servers
            wait_until(
                lambda servers=servers, name=name: (
                    name not in servers or servers[name].leaving_until_ms is not None
                )
            )
    # Leaving servers may be used for a quarter of the drain time of 2 s.
    run_in_reactor(deferLater, reactor, 0.6, lambda: None)


@then('the servers of "{domain}" were reached by "{vm}" only')
def step_reached_by(context, domain, vm):
    delegating_servers = context.world.daemons["e1"].directory.servers
    gathering_servers = context.world.daemons[vm].directory.servers
    for server in shard_servers(context, domain):
        assert server.executed_attempts
        assert delegating_servers[server.server_id].pool.opened == 0
        assert gathering_servers[server.server_id].pool.opened > 0


@given('"{vm}" ignores messages from "{other}"')
def step_ignore_messages(context, vm, other):
    delegation = context.world.daemons[vm]._delegation
    context.world.daemons[vm]._network.set_receiver(lambda peer, message: None)
    assert delegation.peer_gather_count() == 0


@given('every shard is "{behaviour}"')
def step_every_shard(context, behaviour):
    for server in shard_servers(context):
        server.behaviour = behaviour


@when('a caller sends a query to "{vm}" and disconnects')
def step_disconnect(context, vm):
    send_and_disconnect(context, vm, "/query/a", shard_servers(context, "b1"), all)


@then("the shards see their requests cancelled")
def step_cancelled(context):
    check_cancelled(shard_servers(context))


@given('the registration of "{vm}" is left over from an earlier process')
def step_left_over(context, vm):
    spec = {"failure_domain": "a1", "peer_address": "127.0.9.9:9", "renewed_ms": 1}
    context.world.put(DAEMON_KIND, vm, spec)


@then('the store holds the current address of "{vm}"')
def step_present(context, vm):
    host, ports = context.world.addresses[vm]
    address = f"{host}:{ports['peer']}"
    store = context.world.store
    wait_until(lambda: store.get(DAEMON_KIND, vm)["peer_address"] == address)


@given('every shard has another server in "{domain}" that only "{vm}" knows')
def step_unshared_server(context, domain, vm):
    world = context.world
    directory = world.daemons[vm].directory
    for number, service in enumerate(world.shards):
        server_id = f"s{number}-{domain}-of-{vm}"
        world.add_server(server_id, service, number, domain, announce=False)
        entry = decode_server(server_id, world.servers[server_id].entry())
        run_in_reactor(directory.set_server, entry)


@given('the reports of "{vm}" are lost')
def step_lost_reports(context, vm):
    network = context.world.daemons[vm]._network
    # The other daemons treat it as silent and send the requests themselves.
    network.send = lambda peer, message: True


@then("no shard has run the query on more than {limit:d} servers")
def step_few_servers(context, limit):
    for service in context.world.shards:
        used = [
            s
            for s in shard_servers(context)
            if s.service == service and s.executed_attempts
        ]
        assert len(used) <= limit, [server.server_id for server in used]


@given('"{vm}" may open no connection to "{server}"')
def step_no_connection(context, vm, server):
    directory = context.world.daemons[vm].directory
    directory.servers[server].pool.limit = 0


@given('every server of shard {shard:d} is "{behaviour}"')
def step_shard_servers(context, shard, behaviour):
    for server in shard_servers(context):
        if server.service == f"shard-{shard}":
            server.behaviour = behaviour


@given('every shard has a third server, in "{domain}"')
def step_third(context, domain):
    world = context.world
    names = [f"s{number}-third" for number in range(len(world.shards))]
    for number, (name, service) in enumerate(zip(names, world.shards, strict=True)):
        world.add_server(name, service, number, domain)
    for daemon in world.daemons.values():
        known = daemon.directory.servers
        wait_until(lambda known=known: all(name in known for name in names))


@given(
    '"{vm}" may send to "{domain}" only after {delay_ms:d} ms, '
    "and then prefers the third servers"
)
def step_delayed_sending(context, vm, domain, delay_ms):
    directory = context.world.daemons[vm].directory
    domain_servers = [
        server
        for server in directory.servers.values()
        if server.entry.failure_domain == domain
    ]
    limits = [server.pool.limit for server in domain_servers]
    send = context.world.daemons[vm]._request_handler.handle

    def restore_limits():
        for server, limit in zip(domain_servers, limits, strict=True):
            server.pool.limit = limit
        for server in directory.servers.values():
            # Overdue requests raise the expected times of the other servers.
            if not server.server_id.endswith("third"):
                server.overdue += 5

    def handle(request):
        for server in domain_servers:
            server.pool.limit = 0
        reactor.callLater(delay_ms / 1000, restore_limits)
        send(request)

    context.world.daemons[vm]._site.handle = handle


class DelayedReactor:
    """Opens connections through the reactor after a delay."""

    def __init__(self, delay_ms):
        self._delay_s = delay_ms / 1000

    def connectTCP(self, *arguments, **options):
        reactor.callLater(self._delay_s, reactor.connectTCP, *arguments, **options)


@given('shard {shard:d} has only the server "{server}"')
def step_only(context, shard, server):
    directory = context.world.daemons["e1"].directory
    for other in shard_servers(context):
        if other.service == f"shard-{shard}" and other.server_id != server:
            context.world.remove("servers", other.server_id)
            known = directory.servers[other.server_id]
            wait_until(lambda known=known: known.leaving_until_ms is not None)
    # Leaving servers may be used for a quarter of the drain time of 2 s.
    run_in_reactor(deferLater, reactor, 0.6, lambda: None)


@given('connections to "{server}" open after {delay_ms:d} ms')
def step_delayed_connections(context, server, delay_ms):
    pool = context.world.daemons["e1"].directory.servers[server].pool
    pool._reactor = DelayedReactor(delay_ms)


@then('"{server}" has received nothing')
def step_received_nothing(context, server):
    assert context.world.servers[server].received_attempts == []


@given("queries need the parts of all shards")
def step_all_parts(context):
    world = context.world
    world.min_coverage = 1.0
    world.configure()
    directory = world.daemons["e1"].directory
    wait_until(lambda: directory.routing.version == world.version)


@given(
    "one in five requests of queries takes {slow_ms:d} ms, the others {usual_ms:d} ms"
)
def step_work_times(context, slow_ms, usual_ms):
    daemon = context.world.daemons["e1"]
    route = daemon.directory.routing.find(HOST, QUERY_PATH)
    timing = daemon._timings.for_route(route)
    for _ in range(20):
        for work_ms in (slow_ms, usual_ms, usual_ms, usual_ms, usual_ms):
            run_in_reactor(timing.record_work_time, work_ms)


@given('nothing listens at the address of "{server_id}"')
def step_not_listening(context, server_id):
    world = context.world
    host = Address.parse(world.servers[server_id].address).host
    address = Address(host, free_ports(host, 1)[0])
    entry = world.servers[server_id].entry(address=str(address))
    world.put("servers", server_id, entry)
    for daemon in world.daemons.values():
        servers = daemon.directory.servers
        wait_until(lambda servers=servers: servers[server_id].entry.address == address)


@given('the server "{server_id}" takes {work_ms:d} ms')
def step_work_time(context, server_id, work_ms):
    context.world.servers[server_id].work_ms = work_ms


class CountingReactor:
    """Opens connections through the reactor and counts them."""

    def __init__(self):
        self.count = 0

    def connectTCP(self, *arguments, **options):
        self.count += 1
        reactor.connectTCP(*arguments, **options)


@given('connections to "{server}" are counted')
def step_counted(context, server):
    context.counting = CountingReactor()
    pool = context.world.daemons["e1"].directory.servers[server].pool
    pool._reactor = context.counting


@then('at most {count:d} connection to "{server}" was tried')
def step_tried(context, count, server):
    assert context.counting.count <= count, context.counting.count
