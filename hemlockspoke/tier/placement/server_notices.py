"""What processes of servers have said of themselves in their responses.

A server may say that it leaves, or that it wants no requests for some time. Both hold
for its process, whatever the store or another daemon says of it, and also if its entry
lapses and returns.
"""

import random

# Notices are kept for this long beyond their use, and for at most so many processes. A
# server that leaves ends within some times the drain time.
MEMORY_MS = 600_000.0
MAX_PROCESSES = 4096
# Fraction of the drain time for which a server that says that it leaves is still used
# if its service has no other. The remainder allows for requests on their way.
LEAVING_FRACTION = 0.9
# Daemons come back to a server at different times after a hold: later by a random part
# of it, up to the limit.
SPREAD_FRACTION = 0.2
MAX_SPREAD_MS = 500.0


class _Notice:
    """What one process has said; times are those of the clock, or None."""

    __slots__ = ("hold_until_ms", "kept_until_ms", "usable_until_ms")

    def __init__(self):
        self.usable_until_ms = None
        self.hold_until_ms = None
        self.kept_until_ms = 0.0


class ServerNotices:
    """The notices of processes of servers, by ``ServerEntry.process_key``.

    >>> from hemlockspoke.clock import ManualClock
    >>> notices = ServerNotices(ManualClock(), random.Random(1))
    >>> notices.hold("s1", 1000.0) <= 1200.0, notices.hold_until_ms("s2")
    (True, None)
    """

    __slots__ = ("_by_process", "_clock", "_rng")

    def __init__(self, clock, rng=None):
        self._clock = clock
        self._rng = rng or random.Random()
        self._by_process = {}

    def leave(self, process, drain_ms):
        """Record that a process says that it leaves, at its first such response.

        Return the clock time until which it may be used.
        """
        notice = self._notice(process)
        if notice.usable_until_ms is None:
            now_ms = self._clock.now_ms()
            notice.usable_until_ms = now_ms + LEAVING_FRACTION * drain_ms
            self._keep(notice, notice.usable_until_ms)
        return notice.usable_until_ms

    def hold(self, process, hold_ms):
        """Record that a process wants no requests for a time.

        Return the clock time until which none is sent. An earlier, longer hold stays in
        force.
        """
        notice = self._notice(process)
        until_ms = self._clock.now_ms() + hold_ms + self.spread_ms(hold_ms)
        notice.hold_until_ms = max(notice.hold_until_ms or 0.0, until_ms)
        self._keep(notice, notice.hold_until_ms)
        return notice.hold_until_ms

    def spread_ms(self, duration_ms):
        """Return a random part of a time, by which returns to a server differ."""
        return self._rng.uniform(0.0, min(MAX_SPREAD_MS, SPREAD_FRACTION * duration_ms))

    def usable_until_ms(self, process):
        """Return until when a process that leaves may be used, None for others."""
        notice = self._by_process.get(process)
        return None if notice is None else notice.usable_until_ms

    def hold_until_ms(self, process):
        """Return until when a process gets no requests, or None without a hold."""
        notice = self._by_process.get(process)
        return None if notice is None else notice.hold_until_ms

    def _notice(self, process):
        notice = self._by_process.get(process)
        if notice is None:
            self._forget_old()
            notice = self._by_process[process] = _Notice()
        return notice

    def _keep(self, notice, until_ms):
        notice.kept_until_ms = max(notice.kept_until_ms, until_ms + MEMORY_MS)

    def _forget_old(self):
        """Forget notices that are out of use, and the oldest ones beyond the limit."""
        now_ms = self._clock.now_ms()
        kept = {
            process: notice
            for process, notice in self._by_process.items()
            if notice.kept_until_ms > now_ms
        }
        for process in list(kept)[: max(0, len(kept) + 1 - MAX_PROCESSES)]:
            del kept[process]
        self._by_process = kept
