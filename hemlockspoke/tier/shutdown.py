"""Decides what a daemon still accepts after SIGTERM, and when its process ends."""

# The load balancer removes a daemon after two failed ready calls, a second apart.
ROTATION_LAG_MS = 2600.0
# Time after which new connections are refused even if requests are still in progress,
# so that all that were accepted can be answered before the process ends.
ACCEPT_MS = 3600.0
# Time before the end of the shutdown time at which every request that is still in
# progress gets its final answer.
ANSWER_RESERVE_MS = 700.0
# Time before the end of the shutdown time at which the process ends, even if a caller
# has not read its answer.
EXIT_RESERVE_MS = 300.0
# Time to send the final answers if they are late, from when they are written.
SEND_RESERVE_MS = 100.0
# A process that got no processor time for a while answers earlier by this many times
# that time, as it may happen again.
DELAY_MARGIN = 2.0
# Limit on the time before the end of the shutdown time at which requests are answered.
MAX_ANSWER_RESERVE_MS = 2000.0
# Limit on the time by which a signal is taken to have been delayed. A time of day that
# jumps forward looks like such a delay.
MAX_SIGNAL_DELAY_MS = 1500.0
# The port is closed at least this long before the final answers.
ACCEPT_RESERVE_MS = 1000.0
# A request is accepted only if this many times its usual longest time remains.
DURATION_MARGIN = 1.5


class ShutdownPlan:
    """The times of one planned stop, as times of the clock in ms.

    A request that cannot be expected to end before ``answer_ms`` is refused at once,
    since another daemon can serve it. What is in progress at ``answer_ms`` is answered
    with what is known then, and the process ends at ``exit_ms`` at the latest. The
    signal may have waited for ``signal_delay_ms`` before ``started_ms``; answers and
    end count from there.

    >>> plan = ShutdownPlan(10_000.0, shutdown_ms=6000.0)
    >>> plan.may_start(13_000.0, 1000.0), plan.may_start(14_000.0, 1000.0)
    (True, False)
    >>> plan.record_answers(15_900.0), plan.exit_ms
    (True, 16000.0)
    >>> plan = ShutdownPlan(10_000.0, 6000.0, signal_delay_ms=400.0)
    >>> plan.answer_ms, plan.exit_ms
    (14900.0, 15300.0)
    >>> plan.record_delay(500.0)
    >>> plan.answer_ms
    14300.0
    """

    __slots__ = (
        "accept_until_ms",
        "answer_ms",
        "close_idle_ms",
        "exit_ms",
        "started_ms",
        "_answers_written",
        "_end_ms",
    )

    def __init__(self, started_ms, shutdown_ms, signal_delay_ms=0.0):
        self.started_ms = started_ms
        self._end_ms = started_ms + shutdown_ms
        self._end_ms -= min(signal_delay_ms, MAX_SIGNAL_DELAY_MS)
        self.answer_ms = max(started_ms, self._end_ms - ANSWER_RESERVE_MS)
        self.exit_ms = max(started_ms, self._end_ms - EXIT_RESERVE_MS)
        self.accept_until_ms = max(
            started_ms,
            min(started_ms + ACCEPT_MS, self.answer_ms - ACCEPT_RESERVE_MS),
        )
        self._answers_written = False
        # Until then the load balancer may still send connections.
        self.close_idle_ms = min(started_ms + ROTATION_LAG_MS, self.accept_until_ms)

    def may_start(self, now_ms, duration_ms):
        """Return whether a request that takes ``duration_ms`` will be answered."""
        return now_ms + DURATION_MARGIN * duration_ms <= self.answer_ms

    def record_delay(self, delay_ms):
        """Record that a check of the stop came late, and answer earlier if needed."""
        reserve_ms = EXIT_RESERVE_MS + DELAY_MARGIN * delay_ms
        reserve_ms = min(reserve_ms, MAX_ANSWER_RESERVE_MS)
        self.answer_ms = min(self.answer_ms, self._end_ms - reserve_ms)

    def record_answers(self, now_ms):
        """Record that the final answers have been written, and leave time to send them.

        A process that got no processor time may write them after ``exit_ms``. Returns
        whether this is the first time.
        """
        if self._answers_written:
            return False
        self._answers_written = True
        self.exit_ms = max(self.exit_ms, now_ms + SEND_RESERVE_MS)
        return True
