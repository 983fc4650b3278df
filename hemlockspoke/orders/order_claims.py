"""Claims of idempotency keys, with group commit per key partition.

A claim is a record in the store object ``orders/<partition>``. All operations queued
for a partition are combined into one conditional write, so the write rate does not
grow with the order rate. Operations are retried after a conflict or a lost reply.
They are idempotent: each detects its own earlier effect by the attempt ID in the
record.
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
# The store accepts values of up to 1 MB. Claims may not fill the last 100 kB, which
# are reserved for outcomes of existing claims.
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
    """Return a hash that identifies an idempotency key within its service."""
    text = json.dumps([service, idempotency_key])
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def body_hash(order, body):
    """Return a hash of an order's name and body.

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
    """Stored state of one idempotency key."""

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
        field_names = [field for field in self.__slots__ if field != "key_hash"]
        return {field: getattr(self, field) for field in field_names}


class ClaimOutcome:
    """Result of a claim: the current record and whether the claim was granted."""

    __slots__ = ("granted", "record")

    def __init__(self, granted, record):
        self.granted = granted
        self.record = record


class Claim:
    """Operation that claims a key for one attempt.

    ``supersedes`` is the ID of an attempt whose VM has confirmed that the order was not
    sent and never will be.
    """

    __slots__ = ("done", "record", "supersedes", "uncertain")
    # The caller waits for the claim, so it fails at once if the store is unavailable.
    must_persist = False

    def __init__(self, record, supersedes=None):
        self.record = record
        self.supersedes = supersedes
        # Set if a write with this claim may have succeeded although its reply was lost.
        self.uncertain = False
        self.done = Deferred()

    @property
    def key_hash(self):
        """Return the hashed key that the operation applies to."""
        return self.record.key_hash

    def apply(self, records):
        """Add the record if the claim is granted; return the ``ClaimOutcome``."""
        current = records.get(self.key_hash)
        if current is None or self._may_replace(current):
            # A copy, because a later operation of the batch may modify it.
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


class RecordOutcome:
    """Operation that records the outcome of an attempt."""

    __slots__ = ("attempt", "done", "key_hash", "result", "state", "uncertain")
    # An outcome stays queued until the store is available.
    must_persist = True

    def __init__(self, key_hash, attempt, state, result=None):
        self.key_hash = key_hash
        self.attempt = attempt
        self.state = state
        self.result = result
        self.uncertain = False
        self.done = Deferred()

    def apply(self, records):
        """Update the record and return True if it still belongs to the attempt."""
        current = records.get(self.key_hash)
        if current is None or current.attempt != self.attempt:
            return False
        current.state = self.state
        current.result = self.result
        return True


class Partition:
    """Group commit of the operations on one partition."""

    __slots__ = ("_claims", "_committing", "_delay_ms", "_key", "_queue", "_timer")

    def __init__(self, claims, key):
        self._claims = claims
        self._key = key
        self._queue = deque()
        self._committing = False
        self._timer = None
        self._delay_ms = RETRY_MIN_MS

    def add(self, operation):
        """Queue an operation and start a commit unless one is running."""
        self._queue.append(operation)
        if not self._committing and (self._timer is None or not operation.must_persist):
            self.commit()

    def pending(self):
        """Return the number of operations that have no result yet."""
        return len(self._queue)

    def commit(self):
        """Start a commit of all queued operations, unless one is running."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._committing or not self._queue:
            return
        self._committing = True
        ensureDeferred(self._commit()).addErrback(self._commit_failed)

    async def _commit(self):
        batch = list(self._queue)
        result = await self._claims.write(self._key, batch)
        self._committing = False
        if result.is_ok():
            self._delay_ms = RETRY_MIN_MS
            self._finish_batch(batch, result.ok)
        elif result.error.kind is StoreErrorKind.CONFLICT:
            self._commit_later()
        else:
            self._reject_claims(batch, result.error)

    def _finish_batch(self, batch, outcomes):
        for _ in batch:
            self._queue.popleft()
        for operation, outcome in zip(batch, outcomes, strict=True):
            operation.done.callback(Ok(outcome))
        self.commit()

    def _reject_claims(self, batch, error):
        rejected = [operation for operation in batch if not operation.must_persist]
        self._queue = deque(item for item in self._queue if item not in rejected)
        self._commit_later()
        for operation in rejected:
            kind = StoreErrorKind.UNKNOWN if operation.uncertain else error.kind
            operation.done.callback(Error(StoreError(kind, error.detail)))

    def _commit_later(self):
        if self._queue:
            delay_ms = self._delay_ms * (0.5 + self._claims.rng.random())
            self._delay_ms = min(RETRY_MAX_MS, self._delay_ms * 2)
            self._timer = self._claims.clock.call_later(delay_ms, self.commit)

    def _commit_failed(self, failure):
        self._committing = False
        logger.error("claim commit failed", extra={"reason": failure.getTraceback()})
        error = StoreError(StoreErrorKind.UNKNOWN, "commit failed")
        self._reject_claims(list(self._queue), error)


class OrderClaims:
    """Claims and outcomes of orders in the store of the platform."""

    __slots__ = ("_metrics", "_partitions", "_retention_ms", "_store", "clock", "rng")

    def __init__(self, clock, store, rng, retention_ms, metrics):
        self.clock = clock
        self.rng = rng
        self._store = store
        self._retention_ms = retention_ms
        self._metrics = metrics
        self._partitions = {}

    def claim(self, record, supersedes=None):
        """Claim a key; return a deferred of ``Result[ClaimOutcome, StoreError]``.

        After an error of kind ``UNKNOWN``, the claim may or may not be in the store.
        """
        return self._add(Claim(record, supersedes))

    def finish(self, hashed_key, attempt, state, result=None):
        """Record an outcome; return a deferred that fires when it is stored.

        A result of more than ``MAX_RESULT_BYTES`` is replaced by a note. The deferred
        does not fire while the store is unavailable.
        """
        if len(json.dumps(result)) > MAX_RESULT_BYTES:
            result = {"omitted": f"result of over {MAX_RESULT_BYTES} bytes"}
        return self._add(RecordOutcome(hashed_key, attempt, state, result))

    def pending(self):
        """Return the number of operations that have no result yet."""
        return sum(partition.pending() for partition in self._partitions.values())

    def _add(self, operation):
        key = partition_key(operation.key_hash)
        if key not in self._partitions:
            self._partitions[key] = Partition(self, key)
        self._partitions[key].add(operation)
        return operation.done

    async def write(self, key, operations):
        """Apply operations in one conditional write; return a ``Result`` of a list."""
        read = await self._store.get(key)
        if read.is_ok():
            version, value = read.ok.version, read.ok.value
        elif read.error.kind is StoreErrorKind.NOT_FOUND:
            version, value = 0, {"records": {}}
        else:
            return Error(StoreError(StoreErrorKind.UNAVAILABLE, read.error.detail))
        records = self._unexpired_records(value)
        before = {hashed: record.to_value() for hashed, record in records.items()}
        outcomes = [operation.apply(records) for operation in operations]
        after = {hashed: record.to_value() for hashed, record in records.items()}
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
            # When they are applied again, the operations detect whether this write
            # has succeeded.
            for operation in operations:
                operation.uncertain = True
            return Error(StoreError(StoreErrorKind.CONFLICT, result.error.detail))
        return result

    def _unexpired_records(self, value):
        """Return the records by hashed key, without those past the retention time."""
        oldest_ms = self.clock.wall_ms() - self._retention_ms
        records = {}
        for hashed, stored in value["records"].items():
            if stored["when_ms"] >= oldest_ms:
                records[hashed] = ClaimRecord.from_value(hashed, stored)
        return records

    async def _put(self, key, version, value):
        self._metrics.count("orders.partition_write")
        return await self._store.put(key, value, version)
