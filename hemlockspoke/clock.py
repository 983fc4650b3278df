"""Clocks and timers, in milliseconds."""

import heapq
import itertools
import time


class ReactorClock:
    """Clock and timers of a running daemon.

    ``now_ms`` is monotonic and is used for durations within the process. ``wall_ms`` is
    the time of day. It is used for times that people or other processes read, for
    sequence numbers that must rise across restarts, and to detect pauses.
    """

    __slots__ = ("_reactor",)

    def __init__(self, reactor):
        self._reactor = reactor

    def now_ms(self):
        """Return monotonic time in ms."""
        return time.monotonic() * 1000.0

    def wall_ms(self):
        """Return the time of day in ms since the epoch."""
        return int(time.time() * 1000)

    def overdue_ms(self):
        """Return for how long the first due call has waited, or 0 if none is due.

        The process has had no time for its timers for at least so long.
        """
        due_s = min(
            (call.getTime() for call in self._reactor.getDelayedCalls()), default=0
        )
        return max(0.0, (self._reactor.seconds() - due_s) * 1000.0) if due_s else 0.0

    def call_later(self, delay_ms, function, *args):
        """Call ``function`` after ``delay_ms``; the result has ``cancel()``."""
        delay_s = max(0.0, delay_ms) / 1000.0
        return Timer(self._reactor.callLater(delay_s, function, *args))

    def call_after_reads(self, delay_ms, function, *args):
        """Like ``call_later``, but read what has arrived before the call.

        The reactor runs due timers before it reads. After a pause of this process a
        timeout would otherwise take the pause for silence of the other side.
        """

        def when_due():
            # What has arrived is read before the timers of the next turn.
            timer.replace(self._reactor.callLater(0, function, *args))

        timer = self.call_later(delay_ms, when_due)
        return timer


class Timer:
    """A pending call of ``ReactorClock`` that may be cancelled at any time."""

    __slots__ = ("_call",)

    def __init__(self, call):
        self._call = call

    def replace(self, call):
        """Continue with another call of the reactor."""
        self._call = call

    def cancel(self):
        """Cancel the call; does nothing when it has run."""
        if self._call.active():
            self._call.cancel()


class ManualClock:
    """Clock for tests that changes only on ``advance`` and ``jump``.

    >>> clock = ManualClock()
    >>> calls = []
    >>> _ = clock.call_later(10, calls.append, "late")
    >>> clock.advance(10)
    >>> calls
    ['late']
    """

    __slots__ = ("_now_ms", "_pending", "_sequence", "wall_offset_ms")

    def __init__(self, now_ms=0.0, wall_offset_ms=1_700_000_000_000):
        self._now_ms = float(now_ms)
        self._pending = []
        self._sequence = itertools.count()
        self.wall_offset_ms = wall_offset_ms

    def now_ms(self):
        """Return virtual time in ms."""
        return self._now_ms

    def wall_ms(self):
        """Return a virtual time of day in ms since the epoch."""
        return int(self._now_ms + self.wall_offset_ms)

    def call_later(self, delay_ms, function, *args):
        """Call ``function`` when the clock has advanced by ``delay_ms``."""
        timer = ManualTimer(function, args)
        due_ms = self._now_ms + max(0.0, delay_ms)
        heapq.heappush(self._pending, (due_ms, next(self._sequence), timer))
        return timer

    call_after_reads = call_later

    def advance(self, delta_ms):
        """Advance the clock and run every call that becomes due, in order."""
        end_ms = self._now_ms + delta_ms
        while self._pending and self._pending[0][0] <= end_ms:
            due_ms, _, timer = heapq.heappop(self._pending)
            self._now_ms = max(self._now_ms, due_ms)
            timer.run()
        self._now_ms = end_ms

    def jump(self, delta_ms):
        """Advance the clock without running calls, as in a process that was paused."""
        self._now_ms += delta_ms


class ManualTimer:
    """A pending call of ``ManualClock``."""

    __slots__ = ("_args", "_cancelled", "_function")

    def __init__(self, function, args):
        self._function = function
        self._args = args
        self._cancelled = False

    def cancel(self):
        """Cancel the call; does nothing when it has run."""
        self._cancelled = True

    def run(self):
        """Run the call unless it has been cancelled."""
        if not self._cancelled:
            self._cancelled = True
            self._function(*self._args)
