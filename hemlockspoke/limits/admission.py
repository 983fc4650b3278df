"""Admission of queries: bounded concurrency and a bounded queue per service."""

from collections import deque
from enum import Enum


class Admitted(Enum):
    """What became of a query that asked for admission."""

    NOW = "now"
    QUEUED = "queued"
    REJECTED = "rejected"


class Admission:
    """Concurrency limit and queue of one service.

    ``enter`` is given the callable that starts the query when its turn comes.
    Each admitted query calls ``leave`` once, a queued one that gives up calls
    ``abandon``.
    """

    __slots__ = ("_starting", "active", "queue")

    def __init__(self):
        self.active = 0
        self.queue = deque()
        self._starting = False

    def enter(self, policy, start):
        """Admit a query, queue it or reject it under the service's policy."""
        if self.active < policy.max_concurrent_queries and not self.queue:
            self.active += 1
            return Admitted.NOW
        if len(self.queue) >= policy.max_queued_queries:
            return Admitted.REJECTED
        self.queue.append(start)
        return Admitted.QUEUED

    def abandon(self, start):
        """Remove a query that has given up waiting."""
        self.queue.remove(start)

    def leave(self, policy):
        """Free one place and start queued queries while places are free.

        A started query may end at once and call ``leave`` again; the running loop
        then goes on, so a long queue does not nest calls.
        """
        self.active -= 1
        if self._starting:
            return
        self._starting = True
        try:
            while self.queue and self.active < policy.max_concurrent_queries:
                self.active += 1
                self.queue.popleft()()
        finally:
            self._starting = False
