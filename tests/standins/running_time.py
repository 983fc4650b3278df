"""A reactor whose time leaves out the pauses of its process."""

# The time is kept up to date at this interval.
TICK_S = 0.005
# A turn of the reactor that takes longer than a tick by more than this is a pause.
ALLOWED_DELAY_S = 0.005


class RunningTimeReactor:
    """Passes all calls on to a reactor, except ``seconds``.

    A stand-in that grants its clients some time to notice a change must not count the
    time in which a busy machine runs neither of them.
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self._running_s = 0.0
        self._last_s = reactor.seconds()
        self._timer = None
        self._tick()

    def __getattr__(self, name):
        return getattr(self._reactor, name)

    def seconds(self):
        """Return for how long the process has run, without pauses."""
        elapsed_s = self._reactor.seconds() - self._last_s
        return self._running_s + min(elapsed_s, TICK_S + ALLOWED_DELAY_S)

    def _tick(self):
        self._running_s = self.seconds()
        self._last_s = self._reactor.seconds()
        self._timer = self._reactor.callLater(TICK_S, self._tick)

    def stop_clock(self):
        """Stop the timer that keeps the time."""
        self._timer.cancel()
