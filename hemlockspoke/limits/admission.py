"""Admission of queries: bounded concurrency and a bounded queue per service."""

from collections import deque
from enum import Enum


class AdmissionResult(Enum):
    """Result of a query's request for admission."""

    NOW = "now"
    QUEUED = "queued"
    REJECTED = "rejected"


class Admission:
    """Concurrency limit and queue of one service.

    ``admit`` takes the callable that starts a queued query once it is admitted.
    ``release`` must be called once for each admitted query, ``cancel`` for a queued
    query that is cancelled or times out.
    """

    __slots__ = ("_starting", "active", "queue")

    def __init__(self):
        self.active = 0
        self.queue = deque()
        self._starting = False

    def admit(self, policy, start):
        """Admit a query, queue it or reject it under the service's policy."""
        if self.active < policy.max_concurrent_queries and not self.queue:
            self.active += 1
            return AdmissionResult.NOW
        if len(self.queue) >= policy.max_queued_queries:
            return AdmissionResult.REJECTED
        self.queue.append(start)
        return AdmissionResult.QUEUED

    def cancel(self, start):
        """Remove a query from the queue."""
        self.queue.remove(start)

    def release(self, policy):
        """End one query and start queued ones up to the concurrency limit.

        A started query may end at once and call ``release`` again. The outer loop
        then starts the next query, so a long queue causes no deep recursion.
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
