"""Requests to other VMs that are waiting for an answer."""

from twisted.internet.defer import Deferred

from hemlockspoke.messages import OrderAnswer

# How long a late answer to an order is accepted after its timeout or stream loss.
LATE_ANSWER_MS = 30_000


class Reply:
    """Answer of another VM, or the reason why there is none.

    ``status`` is the status in the answer, ``timeout``, or ``lost`` if the stream was
    lost.
    """

    __slots__ = ("detail", "result", "status")

    def __init__(self, status, result=None, detail=""):
        self.status = status
        self.result = result
        self.detail = detail


class PendingReply:
    """Request that is waiting for its answer; ``attempt`` is set for orders."""

    __slots__ = ("attempt", "deferred", "timer", "vm")

    def __init__(self, vm, attempt):
        self.vm = vm
        self.attempt = attempt
        self.deferred = Deferred()
        self.timer = None


class PendingReplies:
    """Matches answers to requests by request ID and VM.

    An answer to an order that arrives after its timeout or after the loss of its
    stream is passed to ``on_late_answer(attempt, message)``.
    """

    __slots__ = ("_clock", "_late_orders", "_metrics", "_on_late_answer", "_pending")

    def __init__(self, clock, metrics, on_late_answer):
        self._clock = clock
        self._metrics = metrics
        self._on_late_answer = on_late_answer
        self._pending = {}
        self._late_orders = {}

    def wait(self, request_id, vm, timeout_ms, attempt=None):
        """Return a deferred of the ``Reply`` to a request that was sent."""
        pending = PendingReply(vm, attempt)
        self._pending[request_id] = pending
        pending.timer = self._clock.call_later(timeout_ms, self._time_out, request_id)
        return pending.deferred

    def _time_out(self, request_id):
        pending = self._pending.pop(request_id)
        pending.timer.cancel()
        if pending.attempt is not None:
            self._expect_late_answer(request_id, pending)
        pending.deferred.callback(Reply("timeout"))

    def time_out_all(self):
        """End all requests as if the time for their answers had passed."""
        for request_id in list(self._pending):
            if request_id in self._pending:
                self._time_out(request_id)

    def _expect_late_answer(self, request_id, pending):
        self._late_orders[request_id] = pending
        pending.timer = self._clock.call_later(
            LATE_ANSWER_MS, self._late_orders.pop, request_id, None
        )

    def receive(self, vm, message):
        """Handle an answer; one that matches no request is counted and ignored."""
        pending = self._pending.get(message.request_id)
        if pending is not None and pending.vm == vm:
            del self._pending[message.request_id]
            pending.timer.cancel()
            detail = getattr(message, "detail", "")
            pending.deferred.callback(Reply(message.status, message.result, detail))
            return
        late_order = self._late_orders.get(message.request_id)
        if (
            late_order is not None
            and late_order.vm == vm
            and isinstance(message, OrderAnswer)
        ):
            del self._late_orders[message.request_id]
            late_order.timer.cancel()
            self._on_late_answer(late_order.attempt, message)
            return
        self._metrics.count("orders.unmatched_answer")

    def peer_lost(self, vm):
        """End all requests on a lost stream with the status ``lost``.

        The answer to an order may still arrive: the holder sends it after the stream
        was opened again.
        """
        lost = [item for item in self._pending.items() if item[1].vm == vm]
        for request_id, pending in lost:
            del self._pending[request_id]
            pending.timer.cancel()
            if pending.attempt is not None:
                self._expect_late_answer(request_id, pending)
            pending.deferred.callback(Reply("lost"))
