"""Admission of requests to one server: limited slots and bounded queues."""

from collections import deque

# Limit of queued sub-queries and orders per service at one server. At usual
# latencies any further ones would pass their deadline in the queue.
MAX_QUEUED_PER_SERVICE = 32


class Gate:
    """Admits requests to one server within the share and the cold-start limit.

    A piece of work has the attributes ``service``, ``deadline_ms`` (monotonic time)
    and ``queue_timer`` and the methods ``start()`` and ``refuse(detail)``. Once
    started it occupies a slot until ``release``. Since a connection may have to be
    opened first, ``may_send`` checks the limit again right before the first byte is
    sent. Queued work is started round-robin by service.

    ``in_use`` counts the occupied slots, ``sent`` those whose request was sent.
    """

    __slots__ = (
        "_clock",
        "_latency_step",
        "_queues",
        "_starting",
        "cold_start",
        "in_use",
        "sent",
        "share",
    )

    def __init__(self, clock, cold_start, latency_step):
        self._clock = clock
        self._latency_step = latency_step
        self._queues = {}
        self._starting = False
        self.cold_start = cold_start
        self.share = None
        self.in_use = 0
        self.sent = 0

    def permitted(self):
        """Return how many requests may be in progress now."""
        if self.share is None:
            return 0
        return self.cold_start.permitted(self.share, self._clock.now_ms())

    def queued(self):
        """Return the number of queued requests."""
        return sum(len(queue) for queue in self._queues.values())

    def submit(self, work, first=False):
        """Start, queue or refuse work; ``first`` queues it at the head."""
        reason = self._refusal(work)
        if reason:
            work.refuse(reason)
            return
        queue = self._queues.setdefault(work.service, deque())
        if first:
            queue.appendleft(work)
        else:
            queue.append(work)
        self.start_queued()
        if work in self._queues.get(work.service, ()):
            delay_ms = work.deadline_ms - self._clock.now_ms()
            work.queue_timer = self._clock.call_later(delay_ms, self._expire, work)

    def remove(self, work):
        """Remove work from its queue; return false if it is not queued."""
        queue = self._queues.get(work.service, ())
        if work not in queue:
            return False
        queue.remove(work)
        if not queue:
            del self._queues[work.service]
        self._cancel_timer(work)
        return True

    def refuse_all(self, detail):
        """Refuse all queued work."""
        queues, self._queues = self._queues, {}
        for queue in queues.values():
            for work in queue:
                self._cancel_timer(work)
                work.refuse(detail)

    def start_queued(self):
        """Start queued work up to the current limit."""
        if self._starting:
            # Called by work that ended as soon as it started; the outer loop
            # starts the next.
            return
        self._starting = True
        try:
            while self._queues and self.in_use < self.permitted():
                self._start(self._next())
        finally:
            self._starting = False

    def may_send(self):
        """Return whether one more request may be sent now."""
        return self.sent < self.permitted()

    def note_sent(self):
        """Count a request whose first byte is about to be sent."""
        self.sent += 1

    def release(self, was_sent):
        """Free the slot of work that has ended; ``was_sent`` if it was sent."""
        self.in_use -= 1
        if was_sent:
            self.sent -= 1

    def _refusal(self, work):
        permitted = self.permitted()
        if permitted == 0:
            return "the share and the cold-start limit permit no request"
        remaining_ms = work.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            return "the deadline has passed"
        if self.in_use < permitted and not self._queues:
            return None
        if len(self._queues.get(work.service, ())) >= MAX_QUEUED_PER_SERVICE:
            return "the queue is full"
        usual_ms = self._latency_step.usual_ms or 0
        if self.queued() * usual_ms / permitted > remaining_ms:
            return "it cannot start before its deadline"
        return None

    def _next(self):
        service = next(iter(self._queues))
        queue = self._queues.pop(service)
        work = queue.popleft()
        if queue:
            # Moved to the end for round-robin order.
            self._queues[service] = queue
        self._cancel_timer(work)
        return work

    def _start(self, work):
        if self._clock.now_ms() >= work.deadline_ms:
            work.refuse("the deadline has passed")
            return
        self.in_use += 1
        work.start()

    def _expire(self, work):
        if self.remove(work):
            work.refuse("no slot became free in time")

    @staticmethod
    def _cancel_timer(work):
        if work.queue_timer is not None:
            work.queue_timer.cancel()
            work.queue_timer = None
