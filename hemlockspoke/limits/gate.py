"""Per server at a holder: slots in use and bounded queues of waiting work."""

from collections import deque

# Waiting sub-queries and orders per service at one server. At usual latencies
# later ones would pass their deadline in the queue.
QUEUE_BOUND = 32


class Gate:
    """Admits work for one server within the share and its cold start.

    Work has ``service``, ``deadline_ms``, ``start()`` and ``refuse(detail)``. A
    started work occupies a slot until ``release``. Since a connection may have to
    be opened first, the gate is asked again by ``may_send`` right before the first
    byte leaves. Services take turns when work waits.
    """

    __slots__ = (
        "_clock",
        "_pumping",
        "_queues",
        "_step",
        "cold_start",
        "in_use",
        "sent",
        "share",
    )

    def __init__(self, clock, cold_start, step):
        self._clock = clock
        self._step = step
        self._queues = {}
        self._pumping = False
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
        """Return how much work waits."""
        return sum(len(queue) for queue in self._queues.values())

    def submit(self, work, first=False):
        """Start, queue or refuse work; ``first`` puts it at the head."""
        reason = self._refusal(work)
        if reason:
            work.refuse(reason)
            return
        queue = self._queues.setdefault(work.service, deque())
        if first:
            queue.appendleft(work)
        else:
            queue.append(work)
        self.pump()
        if work in self._queues.get(work.service, ()):
            delay_ms = work.deadline_ms - self._clock.now_ms()
            work.queue_timer = self._clock.call_later(delay_ms, self._expire, work)

    def remove(self, work):
        """Take work out of its queue; false if it does not wait."""
        queue = self._queues.get(work.service, ())
        if work not in queue:
            return False
        queue.remove(work)
        if not queue:
            del self._queues[work.service]
        self._stop_timer(work)
        return True

    def refuse_all(self, detail):
        """Refuse everything that waits."""
        queues, self._queues = self._queues, {}
        for queue in queues.values():
            for work in queue:
                self._stop_timer(work)
                work.refuse(detail)

    def pump(self):
        """Start waiting work while the gate permits it."""
        if self._pumping:
            # Started work has ended at once; the running loop goes on.
            return
        self._pumping = True
        try:
            while self._queues and self.in_use < self.permitted():
                self._start(self._next())
        finally:
            self._pumping = False

    def may_send(self):
        """Tell whether one more request may leave now."""
        return self.sent < self.permitted()

    def note_sent(self):
        """Count a request whose first byte leaves."""
        self.sent += 1

    def release(self, was_sent):
        """Free the slot of work that has ended."""
        self.in_use -= 1
        if was_sent:
            self.sent -= 1

    def _refusal(self, work):
        permitted = self.permitted()
        if permitted == 0:
            return "no slot is permitted"
        remaining_ms = work.deadline_ms - self._clock.now_ms()
        if remaining_ms <= 0:
            return "the deadline has passed"
        if self.in_use < permitted and not self._queues:
            return None
        if len(self._queues.get(work.service, ())) >= QUEUE_BOUND:
            return "the queue is full"
        usual_ms = self._step.usual_ms or 0
        if self.queued() * usual_ms / permitted > remaining_ms:
            return "it cannot start before its deadline"
        return None

    def _next(self):
        service = next(iter(self._queues))
        queue = self._queues.pop(service)
        work = queue.popleft()
        if queue:
            # Back to the end, so that the services take turns.
            self._queues[service] = queue
        self._stop_timer(work)
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
    def _stop_timer(work):
        if work.queue_timer is not None:
            work.queue_timer.cancel()
            work.queue_timer = None
