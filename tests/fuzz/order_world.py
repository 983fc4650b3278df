"""Several order engines on a manual clock, with a faulty store and network."""

import copy
import random

from expression import Error, Ok
from twisted.internet.defer import Deferred, succeed

from hemlockspoke.clock import ManualClock
from hemlockspoke.config.document import OrderEndpoint, QueryPolicy, ServiceDocument
from hemlockspoke.errors import StoreError, StoreErrorKind
from hemlockspoke.invariants import Invariants
from hemlockspoke.messages import AttemptAnswer, AttemptQuery, OrderAnswer
from hemlockspoke.orders.order_claims import OrderClaims
from hemlockspoke.orders.orders import OrderEngine
from hemlockspoke.ports import NullMetrics, StoredObject
from hemlockspoke.requests import OrderRequest

VMS = ("vm-a", "vm-b", "vm-c")
HOLDER = "holder"
STORE_DELAY_MS = 2


class FaultyStore:
    """Store whose writes can fail in every way that the platform permits.

    ``pending_write_faults`` are the faults of the next writes, first to last.
    """

    def __init__(self, clock):
        self.clock = clock
        self.objects = {}
        self.version = 0
        self.down = False
        self.pending_write_faults = []

    def get(self, key):
        if self.down:
            return succeed(Error(StoreError(StoreErrorKind.UNAVAILABLE, "down")))
        result = Deferred()
        self.clock.call_later(STORE_DELAY_MS, self._read, key, result)
        return result

    def _read(self, key, result):
        if key not in self.objects:
            result.callback(Error(StoreError(StoreErrorKind.NOT_FOUND)))
            return
        version, value = self.objects[key]
        result.callback(Ok(StoredObject(key, version, copy.deepcopy(value))))

    def put(self, key, value, if_version):
        value = copy.deepcopy(value)
        if self.down:
            return succeed(Error(StoreError(StoreErrorKind.UNAVAILABLE, "down")))
        fault = (
            self.pending_write_faults.pop(0) if self.pending_write_faults else "none"
        )
        result = Deferred()
        unknown_result = Error(StoreError(StoreErrorKind.UNKNOWN, fault))
        if fault == "reply_lost":
            self._write(key, value, if_version)
            self.clock.call_later(50, result.callback, unknown_result)
        elif fault == "not_applied":
            self.clock.call_later(50, result.callback, unknown_result)
        elif fault == "applied_late":
            self.clock.call_later(120, self._write, key, value, if_version)
            self.clock.call_later(50, result.callback, unknown_result)
        else:
            self.clock.call_later(
                STORE_DELAY_MS, self._write, key, value, if_version, result
            )
        return result

    def _write(self, key, value, if_version, result=None):
        version = self.objects.get(key, (0, None))[0]
        if version != if_version:
            answer = Error(StoreError(StoreErrorKind.CONFLICT, version=version))
        else:
            self.version += 1
            self.objects[key] = (self.version, value)
            answer = Ok(self.version)
        if result is not None:
            result.callback(answer)


class FakeRouter:
    """Routes each order to two servers of one holder."""

    def order_servers(self, service, order):
        return [("server-1", HOLDER), ("server-2", HOLDER)]


class FakeConfiguration:
    """Configuration with one service."""

    def document(self, service):
        if service != "ledger":
            return None
        orders = {"reserve": OrderEndpoint("reserve", ["server-1", "server-2"], 500)}
        return ServiceDocument(service, "o", [], QueryPolicy(), {}, orders, {})


class FakeTimings:
    """Timings of the engines, in place of the daemon's settings."""

    answer_margin_ms = 5


class Envelope:
    """Message in transit.

    ``epoch`` is that of the engine process that sent the message or, for an answer of
    the holder, the order that it answers.
    """

    def __init__(self, source, target, epoch, message):
        self.source = source
        self.target = target
        self.epoch = epoch
        self.message = message


class CallerRequest:
    """Request of one caller and the answer to it."""

    def __init__(self, vm, key, body):
        self.vm = vm
        self.key = key
        self.body = body
        self.answer = None
        self.executions_at_answer = None


class OrderSimulation:
    """Order engines, the epochs of their processes, messages and the upstream.

    ``envelopes`` are the messages in transit, ``executions`` the orders that the
    upstream has run as ``(key, VM, request ID)``.
    """

    def __init__(self):
        self.clock = ManualClock()
        self.store = FaultyStore(self.clock)
        self.envelopes = []
        self.executions = []
        self.callers = []
        self.failures = []
        self.epochs = dict.fromkeys(VMS, 0)
        self.engines = {}
        for vm in VMS:
            self.start(vm)

    def start(self, vm):
        """Start a new process on a VM, which replaces the previous process."""
        self.epochs[vm] += 1
        epoch = self.epochs[vm]
        claims = OrderClaims(
            self.clock,
            ProcessStore(self, vm, epoch),
            random.Random(epoch),
            86_400_000,
            NullMetrics(),
        )
        self.engines[vm] = OrderEngine(
            clock=self.clock,
            configuration=FakeConfiguration(),
            router=FakeRouter(),
            claims=claims,
            send=lambda target, message: self.send(vm, epoch, target, message),
            vm=vm,
            incarnation=lambda: epoch,
            metrics=NullMetrics(),
            invariants=Invariants(),
            timings=FakeTimings(),
        )

    def send(self, vm, epoch, target, message):
        """Put a message in transit, unless the sending process was replaced."""
        if epoch == self.epochs[vm]:
            self.envelopes.append(Envelope(vm, target, epoch, message))
        return True

    def submit(self, vm, key, body):
        """Submit an order of a caller to the engine on a VM."""
        caller = CallerRequest(vm, key, body)
        self.callers.append(caller)
        request = OrderRequest("ledger", "reserve", key, body, 500)
        epoch = self.epochs[vm]
        done = self.engines[vm].run(request)
        done.addCallback(self._record_answer, caller, vm, epoch)
        done.addErrback(lambda failure: self.failures.append(failure.getTraceback()))

    def _record_answer(self, result, caller, vm, epoch):
        if epoch == self.epochs[vm]:
            caller.answer = result

    def execute(self, envelope, reply_status="done"):
        """Run the order at the upstream and put the answer in transit."""
        key = envelope.message.idempotency_key
        self.executions.append((key, envelope.source, envelope.message.request_id))
        result = {"run": len(self.executions), "key": key}
        self.answer(envelope, reply_status, result)

    def answer(self, envelope, status, result=None):
        """Put the answer of the holder in transit."""
        message = OrderAnswer(
            request_id=envelope.message.request_id,
            status=status,
            result=result,
            detail="",
        )
        self.envelopes.append(
            Envelope(HOLDER, envelope.source, envelope.epoch, message)
        )

    def deliver(self, envelope):
        """Deliver a message to the engine on its target VM."""
        vm, message = envelope.target, envelope.message
        if isinstance(message, AttemptQuery):
            self.engines[vm].answer_attempt(envelope.source, message)
        elif isinstance(message, AttemptAnswer | OrderAnswer):
            self.engines[vm].receive(envelope.source, message)


class ProcessStore:
    """Store access of one process; replies to a replaced process are dropped."""

    def __init__(self, world, vm, epoch):
        self._world = world
        self._vm = vm
        self._epoch = epoch

    def _drop_if_stopped(self, result):
        forwarded = Deferred()
        result.addCallback(self._forward, forwarded)
        return forwarded

    def _forward(self, result, forwarded):
        if self._epoch == self._world.epochs[self._vm]:
            forwarded.callback(result)

    def get(self, key):
        return self._drop_if_stopped(self._world.store.get(key))

    def put(self, key, value, if_version):
        return self._drop_if_stopped(self._world.store.put(key, value, if_version))
