"""Steps on measurements, shares of limits and calls to the store, without sockets."""

from behave import given, then, when

from hemlockspoke.address import Address
from hemlockspoke.clock import ManualClock
from hemlockspoke.tier.limits.apportion import LimitShares
from hemlockspoke.tier.messages import StoreHeartbeat
from hemlockspoke.tier.placement.servers import ServerEntry, TrackedServer
from hemlockspoke.tier.state.feed import Change, Feed, Page
from hemlockspoke.tier.state.followed_kind import FollowedKind
from hemlockspoke.tier.state.relay import Relay
from hemlockspoke.tier.state.store_era import Position
from tests.features.steps.edge_decisions_steps import FakePool, IdleFeed, NullSink


@given("a server that has not been measured")
def step_unmeasured(context):
    entry = ServerEntry("s1", "shard", Address("127.0.0.1", 1), "a1")
    context.server = TrackedServer(entry, FakePool(), "a", same_region=True)
    context.now_ms = 0.0


class BusySource:
    """A source in which an object changes every ``period_ms``.

    A watch ends after one period and reports the newest change.
    """

    def __init__(self, clock, period_ms):
        self._clock = clock
        self._period_ms = period_ms
        self.calls = 0

    def revision(self):
        return 1 + int(self._clock.now_ms() / self._period_ms)

    def list_page(self, after, on_page):
        self.calls += 1
        on_page(Page([], self.revision()))

    def watch(self, revision, wait_ms, grace_ms, on_page):
        self.calls += 1
        self._clock.call_later(self._period_ms, self._report, on_page)

    def _report(self, on_page):
        revision = self.revision()
        on_page(Page([Change("o", {}, revision=revision)], revision))


class RevisionSink:
    """A sink that records the newest revision."""

    def __init__(self):
        self.revision = 0

    def replace(self, changes, position):
        self.revision = position.revision

    def apply(self, changes, since, position):
        self.revision = position.revision


@given("a feed of a kind that changes every {period_ms:d} ms")
def step_feed(context, period_ms):
    context.clock = ManualClock()
    context.source = BusySource(context.clock, period_ms)
    context.sink = RevisionSink()
    feed = Feed("kind", context.clock, context.source, context.sink, 2000.0)
    feed.resume()


@when("{delay_ms:d} ms pass on the feed's clock")
def step_advance(context, delay_ms):
    context.clock.advance(float(delay_ms))


@then("the store got at most {limit:d} calls")
def step_calls(context, limit):
    assert context.source.calls <= limit, context.source.calls


@then("the feed has all changes except those of the last {lag_ms:d} ms")
def step_newest_changes(context, lag_ms):
    min_revision = 1 + int(
        (context.clock.now_ms() - lag_ms) / context.source._period_ms
    )
    assert context.sink.revision >= min_revision


@given(
    "{daemons:d} daemons in each of {domains:d} failure domains of {regions:d} regions"
)
def step_large_fleet(context, daemons, domains, regions):
    region_of = {
        f"{region}{index}": f"{region}"
        for region in range(regions)
        for index in range(domains)
    }
    members = {
        domain: [f"vm-{domain}-{number}" for number in range(daemons)]
        for domain in region_of
    }
    context.region_of = region_of
    context.shares = {}
    for domain, names in members.items():
        for vm in names:
            share = context.shares[vm] = LimitShares(vm, domain, region_of)
            share.set_members(members)
    context.members = members


@then("each daemon near a server that accepts {limit:d} connections may open one")
def step_near(context, limit):
    context.limits = {
        vm: share.connection_limit("s1", "00", limit)
        for vm, share in context.shares.items()
    }
    assert sum(context.limits.values()) <= limit
    assert (
        sum(share.extra_arrivals("s", 100) for share in context.shares.values())
        <= 100 + 1e-9
    )
    for domain in ("00", "01"):
        assert all(context.limits[vm] >= 1 for vm in context.members[domain])


@then("each hub of the other regions may open one")
def step_far_hubs(context):
    any_share = context.shares["vm-00-0"]
    for domain, region in context.region_of.items():
        if region != "0":
            assert any_share.hubs(domain)
            assert all(context.limits[vm] >= 1 for vm in any_share.hubs(domain))


@given("a daemon that gets store changes from a peer")
def step_changes_from_peer(context):
    clock = context.clock = ManualClock()
    followed = FollowedKind("servers", clock, NullSink())
    followed.replace([], Position(0, 20))
    context.feed = IdleFeed()
    relay = Relay(clock, "e1", lambda vm, message: True, lambda: ["e0"], 60_000)
    relay.follow(followed, context.feed)
    heartbeat = StoreHeartbeat(kinds=[["servers", 0, 20, 0, True]], leaving=False)
    relay.receive("e0", heartbeat)
    relay.start()
    clock.advance(500.0)
    assert not context.feed.active


@when("its process does not run for {pause_ms:d} ms")
def step_not_running(context, pause_ms):
    context.clock.jump(float(pause_ms))
    context.clock.advance(0.0)


@when("the peer sends nothing for {silence_ms:d} ms")
def step_silent_peer(context, silence_ms):
    context.clock.advance(float(silence_ms))


@then("it does not read the store itself")
def step_not_reading(context):
    assert not context.feed.active


@then("it reads the store itself")
def step_reading(context):
    assert context.feed.active
