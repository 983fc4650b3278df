"""Steps on feeds of the store through outages, with a manual clock."""

import random
from collections import Counter

from behave import given, then, when

from hemlockspoke.clock import ManualClock
from hemlockspoke.http1.json_calls import JsonReply
from hemlockspoke.platform.feeds import KindSource
from hemlockspoke.tier.feed import Feed

DOWN = JsonReply(503)
WITHOUT_FIELDS = JsonReply(200, {})
EMPTY_LIST = JsonReply(200, {"items": [], "current_rev": 7})


class FakeStoreCalls:
    """Answers each call with ``reply`` at once, and counts calls by the second."""

    def __init__(self, clock, reply):
        self.clock = clock
        self.reply = reply
        self.calls_by_second = Counter()

    def list(self, kind, after, on_reply, stale=False):
        """Answer a list."""
        self.calls_by_second[int(self.clock.now_ms() // 1000)] += 1
        on_reply(self.reply)

    def watch(self, kind, revision, wait_ms, grace_ms, on_reply):
        """Leave a watch waiting."""


class FakeSink:
    """Records the revisions of complete lists."""

    def __init__(self):
        self.revisions = []

    def replace(self, changes, revision):
        """Record a list."""
        self.revisions.append(revision)


def start_feed(context, reply):
    context.clock = ManualClock()
    context.calls = FakeStoreCalls(context.clock, reply)
    context.sink = FakeSink()
    source = KindSource(context.calls, "config")
    context.feed = Feed(
        "config", context.clock, source, context.sink, 1000, random.Random(1)
    )
    context.feed.resume()


@given("a feed whose store fails every call")
def step_down(context):
    start_feed(context, DOWN)


@given("a feed whose store answers without any field")
def step_without_fields(context):
    start_feed(context, WITHOUT_FIELDS)


@when("{seconds:d} s pass on its clock")
def step_pass(context, seconds):
    for _ in range(seconds):
        context.clock.advance(1000.0)


@then("it has called the store at most {count:d} times in each second")
def step_rate(context, count):
    # The first second has the short delays of the first retries.
    later = {s: n for s, n in context.calls.calls_by_second.items() if s > 0}
    assert len(later) > 3590 and max(later.values()) <= count, later


@then("it counts the store as lost")
def step_lost(context):
    assert context.feed.lost and not context.sink.revisions


@when("the store is back and {seconds:d} s passes")
def step_back(context, seconds):
    context.calls.reply = EMPTY_LIST
    context.clock.advance(1000.0 * seconds)


@then("the feed has read it")
def step_read(context):
    assert context.sink.revisions == [7] and not context.feed.lost
