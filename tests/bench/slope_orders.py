"""Cost of orders against the records in a partition."""

import itertools
import json
import random

from twisted.internet.defer import ensureDeferred, succeed

from hemlockspoke.clock import ManualClock
from hemlockspoke.orders.order_claims import Claim, ClaimRecord, OrderClaims
from hemlockspoke.ports import NullMetrics
from tests.bench.slope_fit import Measured, cpu_once_us, cpu_us, measurements, over
from tests.fakes.store import FakeStore
from tests.fuzz.order_world import OrderWorld

RECORDS = (100, 500, 2000)
BATCHES = (1, 10, 40)
RETENTION_MS = 86_400_000


def order_cost(batch):
    """Return the processor time in us of some orders through claim and outcome.

    The world's store, network and upstream are fakes; its store copies values.
    """
    numbers = itertools.count()

    def run():
        world = OrderWorld()
        for _ in range(batch):
            world.submit("vm-a", f"key-{next(numbers)}", {"amount": 1})
        world.clock.advance(20)
        for envelope in list(world.envelopes):
            world.envelopes.remove(envelope)
            world.execute(envelope)
        for envelope in list(world.envelopes):
            world.deliver(envelope)
        world.clock.advance(20)
        assert all(caller.answer.is_ok() for caller in world.callers)

    return cpu_us(run)


def record(number, clock):
    """Return a claim record of partition 0."""
    # The partition is chosen by the beginning of the hash.
    return ClaimRecord(
        f"00{number:030x}",
        "ledger",
        "b" * 16,
        f"a-{number}",
        "vm-a",
        1,
        clock.wall_ms(),
    )


def filled_claims(records):
    """Return claims on a store whose one partition has some records."""
    clock = ManualClock()
    store = FakeStore(succeed)
    claims = OrderClaims(clock, store, random.Random(1), RETENTION_MS, NullMetrics())
    filling = [claims_operation(clock, number) for number in range(records)]
    write_all(claims, filling)
    return claims, store, clock


def claims_operation(clock, number):
    """Return an operation that claims one key."""
    return Claim(record(number, clock))


def write_all(claims, operations):
    """Apply operations in one write."""
    results = []
    ensureDeferred(claims.write("orders/00", operations)).addCallback(results.append)
    assert results[0].is_ok(), str(results[0].error)


def write_cost(records):
    """Return the processor time in us of one write to a filled partition."""
    claims, _, clock = filled_claims(records)
    numbers = itertools.count(records)
    # Few calls, so that the partition hardly grows.
    return cpu_us_of_few(
        lambda: write_all(claims, [claims_operation(clock, next(numbers))])
    )


def cpu_us_of_few(function):
    """Return the lowest processor time in us of single calls."""
    return cpu_once_us(lambda: None, lambda _: function(), repeats=20)


def value_bytes(records):
    """Return the size of a partition with some records."""
    _, store, _ = filled_claims(records)
    return len(json.dumps(store.objects["orders/00"].value))


@measurements.register("orders")
def orders():
    """Measure orders and the writes of their claims."""
    return [
        Measured(
            "order: claim, send, outcome", "us", "order", over(BATCHES, order_cost)
        ),
        Measured("order: one claim write", "us", "record", over(RECORDS, write_cost)),
        Measured(
            "order: size of a partition", "B", "record", over(RECORDS, value_bytes)
        ),
    ]
