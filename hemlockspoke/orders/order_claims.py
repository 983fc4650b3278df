"""Claims of idempotency keys, with group commit per key partition.

A claim is a record in ``orders/<partition>`` of the store. All operations that
wait for a partition go into one conditional write, so the writes per second do not
grow with the orders. Operations are applied again after a conflict or a lost
reply; each finds its own earlier effect by the attempt in the record, so applying
one twice changes nothing.
"""

import hashlib
import json
import logging
import uuid
from collections import deque

import xxhash
from expression import Error, Ok
from twisted.internet.defer import Deferred, ensureDeferred

from hemlockspoke.errors import StoreError, StoreErrorKind

logger = logging.getLogger(__name__)

PARTITIONS = 64
# The store takes values of at most 1 MB; the difference is kept for outcomes.
MAX_PARTITION_BYTES = 1_000_000
MAX_CLAIMED_BYTES = 900_000
MAX_RESULT_BYTES = 8_192
RETRY_MIN_MS = 5
RETRY_MAX_MS = 1_000

CLAIMED = "claimed"
DONE = "done"
NOT_SENT = "not_sent"
UNKNOWN = "unknown"


def key_hash(service, idempotency_key):
    """Return the identity of an idempotency key within its service."""
    text = json.dumps([service, idempotency_key])
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def body_hash(order, body):
    """Return the identity of an order and its body.

    >>> body_hash("refill", {"a": 1, "b": 2}) == body_hash("refill", {"b": 2, "a": 1})
    True
    """
    text = json.dumps([order, body], sort_keys=True)
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def partition_key(hashed_key):
    """Return the store key of the partition that holds a hashed key."""
    partition = xxhash.xxh32_intdigest(hashed_key.encode()) % PARTITIONS
    return f"orders/{partition:02d}"


class ClaimRecord:
    """What the store knows of one idempotency key."""

    __slots__ = (
        "attempt",
        "body_hash",
        "incarnation",
        "key_hash",
        "result",
        "service",
        "state",
        "vm",
        "when_ms",
    )

    def __init__(
        self,
        key_hash,
        service,
        body_hash,
        attempt,
        vm,
        incarnation,
        when_ms,
        state=CLAIMED,
        result=None,
    ):
        self.key_hash = key_hash
        self.service = service
        self.body_hash = body_hash
        self.attempt = attempt
        self.vm = vm
        self.incarnation = incarnation
        self.when_ms = when_ms
        self.state = state
        self.result = result

    @classmethod
    def from_value(cls, key_hash, value):
        """Build from the stored form."""
        return cls(key_hash, **value)

    def to_value(self):
        """Return the stored form."""
        names = [name for name in self.__slots__ if name != "key_hash"]
        return {name: getattr(self, name) for name in names}


class ClaimOutcome:
    """Answer to a claim: the record in force and whether it is the asker's."""

    __slots__ = ("granted", "record")

    def __init__(self, granted, record):
        self.granted = granted
        self.record = record


class Claim:
    """Operation that claims a key for one attempt.

    ``supersedes`` names an attempt whose VM has confirmed that it has not sent and
    never will.
    """

    __slots__ = ("done", "record", "supersedes", "uncertain")
    # The caller waits for a claim; with the store down it is refused at once.
    must_persist = False

    def __init__(self, record, supersedes=None):
        self.record = record
        self.supersedes = supersedes
        # A write with this claim may have taken effect although its reply was lost.
        self.uncertain = False
        self.done = Deferred()

    @property
    def key_hash(self):
        """Return the hashed key that the operation is about."""
        return self.record.key_hash

    def apply(self, records):
        """Return the outcome; add the record if the claim is granted."""
        current = records.get(self.key_hash)
        if current is None or self._may_replace(current):
            # A copy, since a later operation of the batch may change it.
            copy = ClaimRecord.from_value(self.key_hash, self.record.to_value())
            records[self.key_hash] = copy
            return ClaimOutcome(True, self.record)
        granted = current.attempt == self.record.attempt and current.state == CLAIMED
        return ClaimOutcome(granted, current)

    def _may_replace(self, current):
        if current.body_hash != self.record.body_hash:
            return False
        if current.state == NOT_SENT:
            return True
        return current.state == CLAIMED and current.attempt == self.supersedes


class Finish:
    """Operation that records the outcome of an attempt."""

    __slots__ = ("attempt", "done", "key_hash", "result", "state", "uncertain")
    # An outcome is kept and written as soon as the store allows.
    must_persist = True

    def __init__(self, key_hash, attempt, state, result=None):
        self.key_hash = key_hash
        self.attempt = attempt
        self.state = state
        self.result = result
        self.uncertain = False
        self.done = Deferred()

    def apply(self, records):
        """Change the record if it still belongs to the attempt."""
        current = records.get(self.key_hash)
        if current is None or current.attempt != self.attempt:
            return False
        current.state = self.state
        current.result = self.result
        return True


class Partition:
    """Group commit of the operations on one partition."""

    __slots__ = ("_busy", "_claims", "_delay_ms", "_key", "_queue", "_timer")

    def __init__(self, claims, key):
        self._claims = claims
        self._key = key
        self._queue = deque()
        self._busy = False
        self._timer = None
        self._delay_ms = RETRY_MIN_MS

    def add(self, operation):
        """Queue an operation and start a commit unless one is running."""
        self._queue.append(operation)
        if not self._busy and (self._timer is None or not operation.must_persist):
            self.commit()

    def pending(self):
        """Return how many operations have no result yet."""
        return len(self._queue)

    def commit(self):
        """Start a commit of everything that is queued."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._busy or not self._queue:
            return
        self._busy = True
        ensureDeferred(self._commit()).addErrback(self._failed)

    async def _commit(self):
        batch = list(self._queue)
        result = await self._claims.write(self._key, batch)
        self._busy = False
        if result.is_ok():
            self._delay_ms = RETRY_MIN_MS
            self._finish_batch(batch, result.ok)
        elif result.error.kind is StoreErrorKind.CONFLICT:
            self._commit_later()
        else:
            self._refuse_claims(batch, result.error)

    def _finish_batch(self, batch, outcomes):
        for _ in batch:
            self._queue.popleft()
        for operation, outcome in zip(batch, outcomes, strict=True):
            operation.done.callback(Ok(outcome))
        self.commit()

    def _refuse_claims(self, batch, error):
        refused = [operation for operation in batch if not operation.must_persist]
        self._queue = deque(item for item in self._queue if item not in refused)
        self._commit_later()
        for operation in refused:
            kind = StoreErrorKind.UNKNOWN if operation.uncertain else error.kind
            operation.done.callback(Error(StoreError(kind, error.detail)))

    def _commit_later(self):
        if self._queue:
            delay_ms = self._delay_ms * (0.5 + self._claims.rng.random())
            self._delay_ms = min(RETRY_MAX_MS, self._delay_ms * 2)
            self._timer = self._claims.clock.call_later(delay_ms, self.commit)

    def _failed(self, failure):
        self._busy = False
        logger.error("claim commit failed", extra={"reason": failure.getTraceback()})
        detail = StoreError(StoreErrorKind.UNKNOWN, "commit failed")
        self._refuse_claims(list(self._queue), detail)


class OrderClaims:
    """Claims and outcomes of orders in the platform's store."""

    __slots__ = ("_metrics", "_partitions", "_retention_ms", "_store", "clock", "rng")

    def __init__(self, clock, store, rng, retention_ms, metrics):
        self.clock = clock
        self.rng = rng
        self._store = store
        self._retention_ms = retention_ms
        self._metrics = metrics
        self._partitions = {}

    def claim(self, record, supersedes=None):
        """Claim a key; a deferred of ``Result[ClaimOutcome, StoreError]``.

        After an error of kind ``UNKNOWN`` the claim may be in the store.
        """
        return self._add(Claim(record, supersedes))

    def finish(self, hashed_key, attempt, state, result=None):
        """Record an outcome; fires when it is in the store, which may be late."""
        if len(json.dumps(result)) > MAX_RESULT_BYTES:
            result = {"omitted": f"result of over {MAX_RESULT_BYTES} bytes"}
        return self._add(Finish(hashed_key, attempt, state, result))

    def pending(self):
        """Return how many operations have no result yet."""
        return sum(partition.pending() for partition in self._partitions.values())

    def _add(self, operation):
        key = partition_key(operation.key_hash)
        if key not in self._partitions:
            self._partitions[key] = Partition(self, key)
        self._partitions[key].add(operation)
        return operation.done

    async def write(self, key, operations):
        """Apply operations in one conditional write; return their outcomes."""
        read = await self._store.get(key)
        if read.is_ok():
            version, value = read.ok.version, read.ok.value
        elif read.error.kind is StoreErrorKind.NOT_FOUND:
            version, value = 0, {"records": {}}
        else:
            return Error(StoreError(StoreErrorKind.UNAVAILABLE, read.error.detail))
        records = self._live_records(value)
        before = {name: record.to_value() for name, record in records.items()}
        outcomes = [operation.apply(records) for operation in operations]
        after = {name: record.to_value() for name, record in records.items()}
        if after == before:
            return Ok(outcomes)
        claiming = any(not operation.must_persist for operation in operations)
        limit_bytes = MAX_CLAIMED_BYTES if claiming else MAX_PARTITION_BYTES
        value = {"writer": uuid.uuid4().hex, "records": after}
        if len(json.dumps(value)) > limit_bytes:
            self._metrics.count("orders.partition_full")
            return Error(StoreError(StoreErrorKind.UNAVAILABLE, "partition is full"))
        result = await self._put(key, version, value)
        if result.is_ok():
            return Ok(outcomes)
        if result.error.kind is StoreErrorKind.UNKNOWN:
            # Applied again, each operation finds whether it has taken effect.
            for operation in operations:
                operation.uncertain = True
            return Error(StoreError(StoreErrorKind.CONFLICT, result.error.detail))
        return result

    def _live_records(self, value):
        oldest_ms = self.clock.wall_ms() - self._retention_ms
        records = {}
        for name, item in value["records"].items():
            if item["when_ms"] >= oldest_ms:
                records[name] = ClaimRecord.from_value(name, item)
        return records

    async def _put(self, key, version, value):
        self._metrics.count("orders.partition_write")
        return await self._store.put(key, value, version)
