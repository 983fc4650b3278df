"""The order in which waiting requests start.

Load: a burst of one kind of request, or of one account, that exceeds what this daemon
can handle. Urgent kinds and small accounts are still served in time.
"""

import heapq
import itertools
import math

# Fraction of the share of all work that is started, which a class gets at least of its
# own work. No account may be served less than a quarter as often as all requests, and
# the rest is for requests that leave while they wait. A less urgent class gets no more
# than this while others wait, so that its share stays below theirs.
MIN_RELATIVE_SHARE = 0.3
# The history of a class counts half after this time. A class that was served before
# waits for some such times at most, which is less than the budgets of 0.8 to 4 s.
HISTORY_HALF_LIFE_MS = 250.0
# Class of requests that can no longer be answered by their aim. They are worth little,
# so they start only if no other request waits.
LATE = math.inf


class Waiting:
    """A waiting request: its place among the others, and until when it is of use.

    ``work`` is its number of sub-requests. After ``aim_start_ms`` it cannot meet its
    aim, after ``last_start_ms`` not even its deadline. Both are clock times.
    """

    __slots__ = (
        "account",
        "aim_start_ms",
        "item",
        "last_start_ms",
        "priority",
        "queued",
        "since_ms",
        "work",
    )

    def __init__(
        self, item, priority, account, work, since_ms, aim_start_ms, last_start_ms
    ):
        self.item = item
        self.priority = priority
        self.account = account
        self.work = work
        self.since_ms = since_ms
        self.aim_start_ms = aim_start_ms
        self.last_start_ms = last_start_ms
        self.queued = False


class _Account:
    """The waiting requests of one account in one class, by deadline."""

    __slots__ = ("count", "heap", "start_tag", "work")

    def __init__(self, start_tag):
        self.start_tag = start_tag
        self.count = 0
        self.work = 0
        # Removed requests stay until they would be taken.
        self.heap = []


class _PriorityClass:
    """Start-time fair queueing over the accounts of one priority.

    An account's tag grows by the work of each request that it starts, and the lowest
    tag is next. An account that begins to wait gets the present tag, so it neither
    saves turns nor pays for those in which it did not wait.
    """

    __slots__ = ("_finish_tags", "_virtual", "accounts", "dropped", "started", "work")

    def __init__(self):
        self.accounts = {}
        self._finish_tags = {}
        self._virtual = 0.0
        # Work that waits, and that has started or left without a start.
        self.work = 0
        self.started = 0.0
        self.dropped = 0.0

    def forget_half(self):
        """Halve the weight of the history."""
        self.started *= 0.5
        self.dropped *= 0.5

    def total(self):
        """Return the work of the class, with that of its history."""
        return self.work + self.started + self.dropped

    def add(self, waiting, order):
        """Add a request; ``order`` decides among equal deadlines."""
        account = self.accounts.get(waiting.account)
        if account is None:
            start_tag = max(self._virtual, self._finish_tags.get(waiting.account, 0.0))
            account = self.accounts[waiting.account] = _Account(start_tag)
        heapq.heappush(account.heap, (waiting.aim_start_ms, order, waiting))
        account.count += 1
        account.work += waiting.work
        self.work += waiting.work

    def remove(self, waiting):
        """Remove a request; an account without requests is forgotten."""
        account = self.accounts[waiting.account]
        account.count -= 1
        account.work -= waiting.work
        self.work -= waiting.work
        self.dropped += waiting.work
        if not account.count:
            del self.accounts[waiting.account]
            self._finish_tags[waiting.account] = account.start_tag

    def next(self):
        """Return the request that starts next."""
        account = min(self.accounts.values(), key=lambda account: account.start_tag)
        heap = account.heap
        while not self._is_here(heap[0][2]):
            heapq.heappop(heap)
        return heap[0][2]

    def _is_here(self, waiting):
        return waiting.queued is self

    def charge(self, waiting):
        """Charge a request that is about to start to its account."""
        account = self.accounts[waiting.account]
        self._virtual = account.start_tag
        account.start_tag += waiting.work
        self.started += waiting.work
        # It leaves by a start, not by a drop.
        self.dropped -= waiting.work


class WaitingQueue:
    """Waiting requests by priority class, account and deadline.

    >>> queue = WaitingQueue()
    >>> for name, priority in (("report", 1), ("search", 0)):
    ...     queue.add(Waiting(name, priority, None, 1, 0.0, 50.0, 90.0))
    >>> queue.take(0.0).item, queue.take(0.0).item, queue.take(0.0)
    ('search', 'report', None)
    """

    __slots__ = ("_classes", "_count", "_halved_ms", "_order", "_times")

    def __init__(self):
        self._classes = {}
        self._count = 0
        self._halved_ms = 0.0
        self._order = itertools.count()
        # The next time of each request at which its use changes.
        self._times = []

    def __len__(self):
        return self._count

    def add(self, waiting):
        """Add a request."""
        self._insert(waiting, waiting.priority)
        time_ms = min(waiting.aim_start_ms, waiting.last_start_ms)
        heapq.heappush(self._times, (time_ms, next(self._order), waiting))

    def _insert(self, waiting, priority):
        priority_class = self._class(priority)
        priority_class.add(waiting, next(self._order))
        waiting.queued = priority_class
        self._count += 1

    def _class(self, priority):
        priority_class = self._classes.get(priority)
        if priority_class is None:
            priority_class = self._classes[priority] = _PriorityClass()
        return priority_class

    def remove(self, waiting):
        """Remove a request, if it still waits."""
        priority_class = waiting.queued
        if not priority_class:
            return
        waiting.queued = False
        self._count -= 1
        priority_class.remove(waiting)

    def take(self, now_ms):
        """Remove and return the request that starts next, or None."""
        if not self._count:
            self._classes.clear()
            return None
        if now_ms - self._halved_ms >= HISTORY_HALF_LIFE_MS:
            self._halved_ms = now_ms
            for priority_class in self._classes.values():
                priority_class.forget_half()
        priority_class = self._classes[self._next_priority()]
        waiting = priority_class.next()
        priority_class.charge(waiting)
        self.remove(waiting)
        return waiting

    def _next_priority(self):
        """Return the most urgent class, or a less urgent one that lags too much."""
        priorities = sorted(
            priority for priority, other in self._classes.items() if other.accounts
        )
        total = sum(other.total() for other in self._classes.values())
        started = sum(other.started for other in self._classes.values())
        least_share = MIN_RELATIVE_SHARE * started / total
        for priority in reversed(priorities[1:]):
            priority_class = self._classes[priority]
            lags = priority_class.started < least_share * priority_class.total()
            if lags and priority is not LATE:
                return priority
        return priorities[0]

    def expire(self, now_ms):
        """Return the requests that are of no use any more, which leave the queue.

        Those that can no longer meet their aim are moved behind all others.
        """
        expired = []
        while self._times and self._times[0][0] <= now_ms:
            _, _, waiting = heapq.heappop(self._times)
            if not waiting.queued:
                continue
            self.remove(waiting)
            if waiting.last_start_ms <= now_ms:
                expired.append(waiting)
                continue
            self._insert(waiting, LATE)
            heapq.heappush(
                self._times, (waiting.last_start_ms, next(self._order), waiting)
            )
        return expired

    def refuse(self, waiting):
        """Count a request that is refused instead of added."""
        self._class(waiting.priority).dropped += waiting.work

    def work_ahead(self, priority, account):
        """Return about how much work starts before a new request."""
        work = 0.0
        for other_priority, priority_class in self._classes.items():
            if other_priority < priority:
                work += priority_class.work
            elif other_priority == priority:
                own = priority_class.accounts.get(account)
                own_work = own.work if own else 0
                turns = own_work * len(priority_class.accounts)
                work += min(priority_class.work, turns)
        return work
