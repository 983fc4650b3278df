"""Detects that the process was paused, for instance because its VM was frozen."""


class PauseDetector:
    """Detects a pause as a gap between two consecutive checks of the clocks.

    ``check`` runs on a timer, and other components call it right before they send a
    request: work prepared before a pause must not be sent after it, since the share
    that it uses may have been reassigned in the meantime.

    >>> from hemlockspoke.clock import ManualClock
    >>> clock = ManualClock()
    >>> detector = PauseDetector(clock, pause_limit_ms=1000)
    >>> clock.jump(1500)
    >>> detector.check()
    1500.0
    >>> detector.check()
    0
    """

    __slots__ = (
        "_clock",
        "_last_ms",
        "_last_wall_ms",
        "_limit_ms",
        "_listeners",
        "_timer",
    )

    # Timer ticks per limit; with fewer, a delayed tick could look like a pause.
    TICKS_PER_LIMIT = 4

    def __init__(self, clock, pause_limit_ms):
        self._clock = clock
        self._limit_ms = pause_limit_ms
        self._listeners = []
        self._timer = None
        self._last_ms = clock.now_ms()
        self._last_wall_ms = clock.wall_ms()

    def start(self):
        """Start the timer for checks."""
        self._measure_gap()
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
        """Return the length in ms of a pause since the last check, or 0."""
        gap_ms = self._measure_gap()
        if gap_ms <= self._limit_ms:
            return 0
        for listener in list(self._listeners):
            listener(gap_ms)
        return gap_ms

    def _measure_gap(self):
        """Return the time in ms since the last check and record the current time.

        Both clocks are compared: the monotonic clock of a guest may stop while the
        whole VM is frozen, and then only the time of day shows the gap.
        """
        now_ms, wall_ms = self._clock.now_ms(), self._clock.wall_ms()
        gap_ms = max(now_ms - self._last_ms, wall_ms - self._last_wall_ms)
        self._last_ms, self._last_wall_ms = now_ms, wall_ms
        return gap_ms

    def _schedule(self):
        delay_ms = self._limit_ms / self.TICKS_PER_LIMIT
        self._timer = self._clock.call_later(delay_ms, self._tick)

    def _tick(self):
        self._schedule()
        self.check()
