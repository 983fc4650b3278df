"""Steps on lists that one daemon relays to another in several frames."""

from behave import given, then, when

from hemlockspoke.clock import ManualClock
from hemlockspoke.messages import MAX_FRAME_BYTES, decode, encode
from hemlockspoke.tier.state.feed import Change
from hemlockspoke.tier.state.followed_kind import FollowedKind
from hemlockspoke.tier.state.relay import Relay
from hemlockspoke.tier.state.store_era import Position


@given("{count:d} servers, and {large_count:d} with entries of {size:d} bytes")
def step_many_servers(context, count, large_count, size):
    specs = {f"s{n:06d}": {"service": "items", "slots": n} for n in range(count)}
    large = {"service": "x" * size}
    specs.update((f"z{n}", large) for n in range(large_count))
    context.changes = [Change(name, spec) for name, spec in specs.items()]


class FollowedPair:
    """A kind of objects at ``e1``, and at ``e2``, which takes them from it."""

    def __init__(self):
        clock = ManualClock()
        self.frames = []
        self.followed, self.relays = {}, {}
        for vm, other in (("e1", "e2"), ("e2", "e1")):
            relay = Relay(clock, vm, self._send, lambda other=other: [other], 4000.0)
            self.followed[vm] = FollowedKind("servers", clock, IgnoringSink())
            relay.follow(self.followed[vm], None)
            self.relays[vm] = relay

    def _send(self, vm, message):
        self.frames.append(encode(message))
        return True

    def publish(self, changes, revision):
        """Let ``e1`` publish a complete list; keep its frames."""
        self.frames.clear()
        position = Position(0, revision)
        self.followed["e1"].replace(changes, position)
        relay = self.relays["e1"]
        relay.publish(self.followed["e1"], changes, 0, position, complete=True)

    def deliver(self, count=None):
        """Deliver the first frames to ``e2``."""
        for frame in self.frames[:count]:
            assert len(frame) <= MAX_FRAME_BYTES, len(frame)
            self.relays["e2"].receive("e1", decode(frame))


class IgnoringSink:
    """Ignores what is known."""

    def replace(self, changes):
        """Ignore a list."""


@when("a daemon reads the list and another one takes it")
def step_take_list(context):
    context.pair = FollowedPair()
    context.pair.publish(context.changes, 5)
    context.pair.deliver()


@then("both know all servers, and no frame was over the limit")
def step_all_known(context):
    first, second = context.pair.followed.values()
    assert len(second.objects) == len(context.changes)
    assert first.objects == second.objects and second.revision == 5


@when("a stream ends within the list, and the next one brings a shorter list")
def step_broken_list(context):
    pair = context.pair
    pair.publish(context.changes, 6)
    assert len(pair.frames) > 2
    pair.deliver(count=2)
    pair.relays["e2"].peer_lost("e1")
    pair.publish(context.changes[:10], 7)
    pair.deliver()


@then("the other daemon knows the servers of the shorter list")
def step_shorter_known(context):
    known = context.pair.followed["e2"]
    assert list(known.objects) == [change.name for change in context.changes[:10]]
    assert known.revision == 7
