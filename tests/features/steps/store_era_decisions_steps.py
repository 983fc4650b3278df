"""Steps on what daemons keep and take when the store has come back older."""

from behave import given, then, when

from hemlockspoke.address import Address
from hemlockspoke.clock import ManualClock
from hemlockspoke.tier.edge_settings import Bounds
from hemlockspoke.tier.messages import StoreChanges, StoreHeartbeat
from hemlockspoke.tier.placement.eligibility import has_left
from hemlockspoke.tier.placement.servers import ServerEntry, ServerState
from hemlockspoke.tier.state.configurations import Configurations
from hemlockspoke.tier.state.directory import Directory
from hemlockspoke.tier.state.domains_out import DomainsOut
from hemlockspoke.tier.state.feed import Change, Feed, Page
from hemlockspoke.tier.state.followed_kind import FollowedKind, RelayingSink
from hemlockspoke.tier.state.relay import Relay
from hemlockspoke.tier.state.routes import RoutingTable
from hemlockspoke.tier.state.server_list import ServerList
from hemlockspoke.tier.state.store_era import Position, StoreEras

REGIONS = {"a1": "a", "b1": "b"}


class NullSink:
    """Ignores all objects."""

    def replace(self, changes):
        """Ignore a list."""

    def restore(self, changes):
        """Ignore the first list of a new era."""

    def apply(self, change):
        """Ignore a change."""


class IdleFeed:
    """Makes no calls."""

    active = False
    reading = False


@given(
    'a daemon that has the servers "{name}" at revision {revision:d} of era {era:d} '
    "from its reader"
)
def step_following(context, name, revision, era):
    context.clock = ManualClock()
    context.eras = StoreEras()
    context.followed = FollowedKind(
        "servers", context.clock, NullSink(), eras=context.eras
    )
    context.relay = Relay(
        context.clock, "e1", lambda vm, message: True, lambda: ["e0"], 5000.0
    )
    context.relay.follow(context.followed, IdleFeed())
    step_list(context, "reader", name, revision, era)


def receive_changes(context, name, since, revision, era, complete):
    message = StoreChanges(
        kind="servers",
        era=era,
        since=since,
        revision=revision,
        changes=[[name, False, {}]],
        complete=complete,
        age_ms=0,
        more=False,
    )
    context.relay.receive("e0", message)


@when(
    'the {peer} relays the list "{name}" at revision {revision:d} of era {era:d}',
)
@when(
    'a {peer} relays the list "{name}" at revision {revision:d} of era {era:d}',
)
def step_list(context, peer, name, revision, era):
    receive_changes(context, name, 0, revision, era, complete=True)


@then("the newest era that the daemon has seen is {era:d}")
def step_seen(context, era):
    assert context.eras.newest == era


@when(
    'a peer relays the change "{name}" after revision {since:d}, at revision '
    "{revision:d} of era {era:d}"
)
def step_change(context, name, since, revision, era):
    receive_changes(context, name, since, revision, era, complete=False)


@then('the daemon has "{name}" at revision {revision:d} of era {era:d}')
def step_has(context, name, revision, era):
    assert list(context.followed.objects) == [name], context.followed.objects
    assert context.followed.position == Position(era, revision)


@when(
    "{delay_s:d} s later a reader states that it knows revision {revision:d} of era "
    "{era:d}"
)
def step_later_heartbeat(context, delay_s, revision, era):
    context.clock.advance(1000.0 * delay_s)
    step_heartbeat(context, revision, era)


@when("a reader states that it knows revision {revision:d} of era {era:d}")
def step_heartbeat(context, revision, era):
    kinds = [["servers", era, revision, 0, True]]
    context.relay.receive("e0", StoreHeartbeat(kinds=kinds, leaving=False))


@then("the state of the daemon is {age_s:d} s old")
def step_age(context, age_s):
    assert context.followed.age_ms() == 1000.0 * age_s, context.followed.age_ms()


class HeldSource:
    """Holds all calls, to be answered later."""

    def __init__(self):
        self.lists = []
        self.watches = []

    def list_page(self, after, on_page, stale=False):
        """Hold a list."""
        self.lists.append(on_page)

    def watch(self, revision, wait_ms, grace_ms, on_page):
        """Hold a watch."""
        self.watches.append(on_page)


@given("a feed that watches from revision {revision:d} of era {era:d}")
def step_watching(context, revision, era):
    clock = ManualClock()
    context.eras, context.source = StoreEras(), HeldSource()
    context.eras.observe(era)
    context.followed = FollowedKind("servers", clock, NullSink())
    relay = Relay(clock, "e1", lambda vm, message: True, list, 5000.0)
    sink = RelayingSink(context.followed, relay)
    feed = Feed("servers", clock, context.source, sink, 1000.0, eras=context.eras)
    relay.follow(context.followed, feed)
    feed.resume()
    context.source.lists.pop()(Page([], revision, era=era))
    clock.advance(2000.0)
    assert len(context.source.watches) == 1


@when("an answer to another call states era {era:d}")
def step_other_answer(context, era):
    context.eras.observe(era)


@then("the feed lists the store at once")
def step_lists(context):
    assert len(context.source.lists) == 1


@when(
    "the answer to the watch of era {era:d} arrives with a change at revision "
    "{revision:d}"
)
def step_late_answer(context, era, revision):
    change = Change("late", {}, revision=revision)
    context.source.watches.pop()(Page([change], revision, era=era))


@then("the feed has ignored it")
def step_ignored(context):
    assert not context.followed.objects


@when("the list of era {era:d} arrives, up to revision {revision:d}")
def step_new_list(context, era, revision):
    context.source.lists.pop()(Page([], revision, era=era))


@then("the feed knows revision {revision:d} of era {era:d}")
def step_feed_knows(context, revision, era):
    assert context.followed.position == Position(era, revision)


def entry(server_id, process=1, state=ServerState.READY):
    return ServerEntry(
        server_id, "items", Address("127.0.0.1", 1), "a1", state, started_ms=process
    )


OLDER_ENTRIES = [entry(name) for name in ("drained", "again", "gone", "calm", "cold")]


@given('a directory with version {version:d} and the domain "{domain}" out of service')
def step_directory(context, version, domain):
    clock = context.clock = ManualClock()
    directory = Directory(None, clock, "e1", "a1", REGIONS, Bounds())
    context.directory = directory
    context.configurations = Configurations(directory, clock)
    context.domains_out = DomainsOut(directory, clock)
    context.servers = ServerList(directory, clock)
    context.configurations.adopt(RoutingTable(version, [], []))
    context.domains_out.replace([])
    context.domains_out.add(domain)


@given(
    'its servers "drained" that drains, "again" with its second process, "gone" that '
    "has left"
)
def step_servers(context):
    context.servers.replace(OLDER_ENTRIES)
    context.servers.set(entry("drained", state=ServerState.DRAINING))
    context.servers.set(entry("again", process=2))
    context.servers.remove("gone")


@given('its server "{name}" that has turned cold for {duration_s:d} s')
def step_turned_cold(context, name, duration_s):
    changed = entry(name)
    changed.cold_ms = 1000.0 * duration_s
    context.servers.set(changed)


@then('"{name}" is still cold')
def step_still_cold(context, name):
    assert context.directory.servers[name].cold(context.clock.now_ms())


@when('a daemon starts and reads that "{server_id}" drains and "{other_id}" is ready')
def step_first_list(context, server_id, other_id):
    drained = entry(server_id, state=ServerState.DRAINING)
    context.servers.replace([drained, entry(other_id)])


@then('"{server_id}" gets no request, also if there is no other server')
def step_not_usable(context, server_id):
    server = context.directory.servers[server_id]
    assert has_left(context.directory, server, context.clock.now_ms())


@when(
    "the first list of a new era has version {version:d}, no domain out, and older "
    "entries"
)
def step_older_list(context, version):
    context.older_table = RoutingTable(version, [], [])
    context.configurations.restore(context.older_table)
    context.domains_out.restore([])
    context.servers.restore(OLDER_ENTRIES)


@when("the same list is read again in that era")
def step_list_again(context):
    context.configurations.adopt(context.older_table)
    context.domains_out.replace([])
    context.servers.replace(OLDER_ENTRIES)


@then('version {version:d} is in force and "{domain}" is out of service')
def step_kept(context, version, domain):
    assert context.directory.routing.version == version
    assert context.directory.domains_out == {domain}


@then("version {version:d} is in force and no domain is out of service")
def step_not_kept(context, version):
    assert context.directory.routing.version == version
    assert not context.directory.domains_out


def usable(context):
    """Return the ids of the servers that are neither leaving nor gone."""
    servers = context.directory.servers.values()
    return {s.server_id for s in servers if s.leaving_until_ms is None}


@then('"drained" drains, "again" has its second process and "gone" is not used')
def step_servers_kept(context):
    assert usable(context) == {"again", "calm", "cold"}, usable(context)
    assert context.directory.servers["again"].entry.started_ms == 2


@when('the servers write again and the operator takes "{domain}" out and back')
def step_written_again(context, domain):
    context.servers.set(entry("again", process=3))
    context.servers.set(entry("gone"))
    context.domains_out.add(domain)
    context.domains_out.remove(domain)


@then(
    '"again" has its third process, "gone" is used and no domain is out of service',
)
def step_new_words(context):
    assert context.directory.servers["again"].entry.started_ms == 3
    assert usable(context) == {"again", "calm", "cold", "gone"}, usable(context)
    assert not context.directory.domains_out


@when("the operator writes version {version:d}")
def step_lower_version(context, version):
    context.configurations.adopt(RoutingTable(version, [], []))


@when("{duration_s:d} s pass")
def step_pass(context, duration_s):
    context.clock.advance(1000.0 * duration_s)


@then('"drained" and "gone" are used as the store has them')
def step_as_stored(context):
    assert {"drained", "gone"} <= usable(context), usable(context)


@when("version {version:d} is listed")
def step_listed_version(context, version):
    context.configurations.adopt(RoutingTable(version, [], []))


@when("a new era has no servers, and the next one older entries")
def step_two_returns(context):
    context.servers.restore([])
    context.clock.advance(500.0)
    context.servers.restore(OLDER_ENTRIES)


@then('"{server_id}" is not used')
def step_unused_server(context, server_id):
    assert server_id not in usable(context), usable(context)
