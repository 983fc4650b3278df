"""Cost of orders against the records in a partition."""

import itertools
import json
import random

from twisted.internet.defer import ensureDeferred, succeed

from hemlockspoke.clock import ManualClock
from hemlockspoke.orders.order_claims import Claim, ClaimRecord, OrderClaims
from hemlockspoke.ports import NullMetrics
from tests.bench.slope_fit import (
    SlopeRow,
    cpu_once_us,
    cpu_us,
    measurements,
    points_over,
)
from tests.fakes.store import FakeStore
from tests.fuzz.order_world import OrderSimulation

RECORDS = (100, 500, 2000)
BATCHES = (1, 10, 40)
RETENTION_MS = 86_400_000


def order_cost(batch):
    """Return the processor time in us of claiming, sending and settling orders.

    The world's store, network and upstream are fakes; its store copies values.
    """
    numbers = itertools.count()

    def run():
        world = OrderSimulation()
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
    # The first digits of the hash select the partition.
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
    """Return claims with some records in partition 0, their store and clock."""
    clock = ManualClock()
    store = FakeStore(succeed)
    claims = OrderClaims(clock, store, random.Random(1), RETENTION_MS, NullMetrics())
    operations = [claim_operation(clock, number) for number in range(records)]
    write_all(claims, operations)
    return claims, store, clock


def claim_operation(clock, number):
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
    return single_call_cpu_us(
        lambda: write_all(claims, [claim_operation(clock, next(numbers))])
    )


def single_call_cpu_us(function):
    """Return the lowest processor time in us of single calls."""
    return cpu_once_us(lambda: None, lambda _: function(), repeats=20)


def value_bytes(records):
    """Return the size in bytes, as JSON, of a partition with some records."""
    _, store, _ = filled_claims(records)
    return len(json.dumps(store.objects["orders/00"].value))


@measurements.register("orders")
def orders():
    """Measure orders and the writes of their claims."""
    return [
        SlopeRow(
            "order: claim, send, outcome",
            "us",
            "order",
            points_over(BATCHES, order_cost),
        ),
        SlopeRow(
            "order: one claim write", "us", "record", points_over(RECORDS, write_cost)
        ),
        SlopeRow(
            "order: size of a partition",
            "B",
            "record",
            points_over(RECORDS, value_bytes),
        ),
    ]
