"""Detects that the process was paused."""


class Pause:
    """Finds gaps in the time that the process has seen.

    The check is made on a timer and, by callers, right before a send: work
    prepared before a pause must not be sent after it, since the share it counts
    against may have been replaced meanwhile.

    >>> from hemlockspoke.clock import ManualClock
    >>> clock = ManualClock()
    >>> pause = Pause(clock, pause_limit_ms=1000)
    >>> clock.jump(1500)
    >>> pause.check()
    1500.0
    >>> pause.check()
    0
    """

    __slots__ = (
        "_clock",
        "_limit_ms",
        "_listeners",
        "_seen_ms",
        "_seen_wall_ms",
        "_timer",
    )

    # Ticks per limit; fewer would let a tick's own delay look like a pause.
    TICKS_PER_LIMIT = 4

    def __init__(self, clock, pause_limit_ms):
        self._clock = clock
        self._limit_ms = pause_limit_ms
        self._listeners = []
        self._timer = None
        self._seen_ms = clock.now_ms()
        self._seen_wall_ms = clock.wall_ms()

    def start(self):
        """Begin to check on a timer."""
        self._see()
        self._schedule()

    def stop(self):
        """Stop the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def subscribe(self, listener):
        """Call ``listener(length_ms)`` for each pause found."""
        self._listeners.append(listener)

    def check(self):
        """Return the length in ms of a pause just found, else 0."""
        gap_ms = self._see()
        if gap_ms <= self._limit_ms:
            return 0
        for listener in list(self._listeners):
            listener(gap_ms)
        return gap_ms

    def _see(self):
        """Return the time since the last look and look now.

        Both clocks count: a guest's monotonic clock may stand still while the
        whole VM is frozen, and only the time of day then shows the gap.
        """
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        gap_ms = max(now_ms - self._seen_ms, wall_ms - self._seen_wall_ms)
        self._seen_ms, self._seen_wall_ms = now_ms, wall_ms
        return gap_ms

    def _schedule(self):
        delay_ms = self._limit_ms / self.TICKS_PER_LIMIT
        self._timer = self._clock.call_later(delay_ms, self._tick)

    def _tick(self):
        self._schedule()
        self.check()
