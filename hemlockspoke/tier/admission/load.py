"""How busy this daemon's processor is, from the delay of its event loop.

Load: a slow daemon that gets more work than its processor can handle. Its event loop
then runs timers late, turn after turn. A pause of the process delays one turn only.
"""

import math

# Interval of measurements while requests are in progress. With requests of which the
# shortest target time is about 100 ms, a backlog must be seen within some 10 ms.
PROBE_INTERVAL_MS = 10.0
# A request passes the event loop three times: when it is read, when servers answer and
# when a hedge is due. This delay then leaves time to answer within about 100 ms.
MAX_DELAY_MS = 20.0
# The rate at which waiting work starts is averaged over about this time, in which it
# follows a burst of some seconds.
RATE_WINDOW_MS = 500.0
# Before this time under load the rate is not known well enough to refuse a request.
RATE_KNOWN_MS = 200.0


class LoopLoad:
    """Measures how late a timer of the event loop runs.

    ``on_probe()`` is called after each measurement. It returns after how many ms the
    next one is due, or None to stop. Without measurements the daemon counts as not
    busy.

    >>> from hemlockspoke.clock import ManualClock
    >>> clock = ManualClock()
    >>> load = LoopLoad(clock, lambda: PROBE_INTERVAL_MS)
    >>> load.start()
    >>> clock.jump(900.0)  # The process was paused.
    >>> clock.advance(0.0)
    >>> load.delay_ms, load.is_busy()
    (890.0, False)
    >>> clock.jump(40.0)
    >>> clock.advance(0.0)
    >>> load.delay_ms, load.is_busy()
    (30.0, True)
    """

    __slots__ = ("_clock", "_due_ms", "_earlier_delay_ms", "_on_probe", "delay_ms")

    def __init__(self, clock, on_probe):
        self._clock = clock
        self._on_probe = on_probe
        # When the next measurement is due, or None.
        self._due_ms = None
        self._earlier_delay_ms = 0.0
        self.delay_ms = 0.0

    def start(self):
        """Start to measure, unless that is in progress."""
        if self._due_ms is None:
            self._schedule(PROBE_INTERVAL_MS)

    def _schedule(self, delay_ms):
        self._due_ms = self._clock.now_ms() + delay_ms
        self._clock.call_later(delay_ms, self._probe)

    def _probe(self):
        self._earlier_delay_ms = self.delay_ms
        self.delay_ms = self._clock.now_ms() - self._due_ms
        # Requests would wait for ever if an error ended the measurements.
        delay_ms = PROBE_INTERVAL_MS
        try:
            delay_ms = self._on_probe()
        finally:
            if delay_ms is not None:
                self._schedule(delay_ms)
            else:
                self._due_ms = None
                self.delay_ms = self._earlier_delay_ms = 0.0

    def is_busy(self):
        """Return whether two turns in a row were late, or the present one is."""
        if self.delay_ms <= MAX_DELAY_MS:
            return False
        if self._earlier_delay_ms > MAX_DELAY_MS:
            return True
        due_ms = self._due_ms
        return due_ms is not None and self._clock.now_ms() - due_ms > MAX_DELAY_MS


class StartRate:
    """The rate at which waiting work starts, in units of work per ms.

    >>> rate = StartRate(0.0)
    >>> for time_ms in range(0, 1000, 10):
    ...     rate.record(3.0, float(time_ms))
    >>> round(rate.per_ms(1000.0), 2)
    0.3
    """

    __slots__ = ("_started_ms", "_updated_ms", "_work")

    def __init__(self, now_ms):
        self._started_ms = now_ms
        self._updated_ms = now_ms
        self._work = 0.0

    def record(self, work, now_ms):
        """Record work that has started."""
        self._decay(now_ms)
        self._work += work

    def per_ms(self, now_ms):
        """Return the rate, or None while it is not known."""
        if now_ms - self._started_ms < RATE_KNOWN_MS:
            return None
        self._decay(now_ms)
        known = 1.0 - 2.0 ** ((self._started_ms - now_ms) / RATE_WINDOW_MS)
        # A constant rate of 1 that decays by half in each window sums up to the window
        # over this.
        return self._work * math.log(2.0) / (RATE_WINDOW_MS * known)

    def _decay(self, now_ms):
        self._work *= 0.5 ** ((now_ms - self._updated_ms) / RATE_WINDOW_MS)
        self._updated_ms = now_ms
