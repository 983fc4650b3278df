"""Steps on what is measured and when the store is called, on virtual clocks."""

from behave import given, then, when

from hemlockspoke.address import Address
from hemlockspoke.clock import ManualClock
from hemlockspoke.tier.feed import Change, Feed, Page
from hemlockspoke.tier.upstreams import ServerEntry, Upstream
from tests.features.steps.edge_decisions_steps import FakePool


@given("a server that has not been measured")
def step_unmeasured(context):
    entry = ServerEntry("s1", "shard", Address("127.0.0.1", 1), "a1")
    context.upstream = Upstream(entry, FakePool(), "a", near=True)
    context.now_ms = 0.0


class BusySource:
    """Objects of which one changes every ``period_ms``; watches see it at once."""

    def __init__(self, clock, period_ms):
        self._clock = clock
        self._period_ms = period_ms
        self.calls = 0

    def revision(self):
        return 1 + int(self._clock.now_ms() / self._period_ms)

    def list_page(self, after, done):
        self.calls += 1
        done(Page([], self.revision()))

    def watch(self, revision, wait_ms, grace_ms, done):
        self.calls += 1
        self._clock.call_later(self._period_ms, self._report, done)

    def _report(self, done):
        revision = self.revision()
        done(Page([Change("o", {}, revision=revision)], revision))


class NewestRevision:
    """A sink that keeps the newest revision."""

    def __init__(self):
        self.revision = 0

    def replace(self, changes, revision):
        self.revision = revision

    def apply(self, changes, since, revision):
        self.revision = revision


@given("a feed of a kind that changes every {period_ms:d} ms")
def step_feed(context, period_ms):
    context.clock = ManualClock()
    context.source = BusySource(context.clock, period_ms)
    context.sink = NewestRevision()
    feed = Feed("kind", context.clock, context.source, context.sink, 2000.0)
    feed.resume()


@when("{delay_ms:d} ms pass on the feed's clock")
def step_pass(context, delay_ms):
    context.clock.advance(float(delay_ms))


@then("the store got at most {limit:d} calls")
def step_calls(context, limit):
    assert context.source.calls <= limit, context.source.calls


@then("the feed knows the last change but those of {lag_ms:d} ms")
def step_newest(context, lag_ms):
    oldest = 1 + int((context.clock.now_ms() - lag_ms) / context.source._period_ms)
    assert context.sink.revision >= oldest
