"""Requests to other VMs that wait for their answers."""

from twisted.internet.defer import Deferred

from hemlockspoke.messages import OrderAnswer

# Late answers are still recorded within this time after the deadline.
LATE_ANSWER_MS = 30_000


class Reply:
    """Answer of another VM, or the reason why there is none.

    ``status`` is that of the answer, ``timeout`` or ``lost``.
    """

    __slots__ = ("detail", "result", "status")

    def __init__(self, status, result=None, detail=""):
        self.status = status
        self.result = result
        self.detail = detail


class PendingReply:
    """A request that waits for its answer; ``attempt`` is set for orders."""

    __slots__ = ("attempt", "deferred", "timer", "vm")

    def __init__(self, vm, attempt):
        self.vm = vm
        self.attempt = attempt
        self.deferred = Deferred()
        self.timer = None


class PendingReplies:
    """Matches answers to requests by request id and VM.

    The answer to an order that arrives after its timeout goes to
    ``take_late_answer(attempt, message)``.
    """

    __slots__ = ("_clock", "_late", "_metrics", "_pending", "_take_late_answer")

    def __init__(self, clock, metrics, take_late_answer):
        self._clock = clock
        self._metrics = metrics
        self._take_late_answer = take_late_answer
        self._pending = {}
        self._late = {}

    def wait(self, request_id, vm, timeout_ms, attempt=None):
        """Return a deferred of the ``Reply``."""
        pending = PendingReply(vm, attempt)
        self._pending[request_id] = pending
        pending.timer = self._clock.call_later(timeout_ms, self._time_out, request_id)
        return pending.deferred

    def _time_out(self, request_id):
        pending = self._pending.pop(request_id)
        if pending.attempt is not None:
            self._keep_late(request_id, pending)
        pending.deferred.callback(Reply("timeout"))

    def _keep_late(self, request_id, pending):
        self._late[request_id] = pending
        pending.timer = self._clock.call_later(
            LATE_ANSWER_MS, self._late.pop, request_id, None
        )

    def receive(self, vm, message):
        """Take an answer; one that matches no request is counted and dropped."""
        pending = self._pending.get(message.request_id)
        if pending is not None and pending.vm == vm:
            del self._pending[message.request_id]
            pending.timer.cancel()
            detail = getattr(message, "detail", "")
            pending.deferred.callback(Reply(message.status, message.result, detail))
            return
        late = self._late.get(message.request_id)
        if late is not None and late.vm == vm and isinstance(message, OrderAnswer):
            del self._late[message.request_id]
            late.timer.cancel()
            self._take_late_answer(late.attempt, message)
            return
        self._metrics.count("orders.unmatched_answer")

    def peer_lost(self, vm):
        """End the requests on a lost stream.

        The answer to an order may still arrive: a holder whose stream has broken
        sends it on the next one.
        """
        lost = [item for item in self._pending.items() if item[1].vm == vm]
        for request_id, pending in lost:
            del self._pending[request_id]
            pending.timer.cancel()
            if pending.attempt is not None:
                self._keep_late(request_id, pending)
            pending.deferred.callback(Reply("lost"))
