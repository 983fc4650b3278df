"""Delivers one request to a server of one service, repeating it where allowed."""

from hemlockspoke.tier.attempt import Attempt, Verdict

# A request that its caller no longer needs may end by itself in this time, so that
# its connection is kept; then the connection is closed. A server that is still at
# work half a second after the caller left counts as not told.
LINGER_MS = 300
# A server that takes this many times the usual time has no slots to spare.
SLOW_SERVER = 3.0
# Arrivals of one request at one service, however many refusals are truthful.
MAX_ARRIVALS = 4
# Connections that could not be opened, for one request.
MAX_UNSENT = 3
# An attempt that waits for a connection looks this often for another server.
MOVE_RETRY_MS = 10.0
# Noise of the daemon and of the network over the usual time of a request.
HEDGE_ALLOWANCE_MS = 3.0


class DeliveryResult:
    """What came of a delivery: the attempt that counts, or none.

    ``may_have_run`` tells whether some attempt has run or may have.
    """

    __slots__ = ("attempt", "may_have_run", "reason")

    def __init__(self, attempt, may_have_run, reason=""):
        self.attempt = attempt
        self.may_have_run = may_have_run
        self.reason = reason

    @property
    def answered(self):
        """Return whether there is a server's success."""
        return self.attempt is not None and self.attempt.verdict is Verdict.ANSWER


class Delivery:
    """Attempts at the servers of one service, until one answers.

    A request that is not idempotent is sent again only when it certainly has not
    run. Each arrival beyond the first takes a token of the service's extra load,
    and no more than ``max_attempts`` servers get the request. ``aim_ms`` is the
    time of the clock by which the answer is useful: a hedge is sent early enough
    for it.
    """

    __slots__ = (
        "_aim_ms",
        "_max_attempts",
        "_on_done",
        "_only",
        "_regions",
        "_sent_before",
        "_servers",
        "_tier",
        "_timer",
        "_timing",
        "_unsent",
        "_work",
        "attempts",
        "done",
        "reason",
        "service",
    )

    def __init__(
        self,
        tier,
        service,
        route,
        work,
        timing,
        aim_ms,
        on_done,
        sent_before=False,
        only=None,
    ):
        self._tier = tier
        self._work = work
        self._timing = timing
        self._aim_ms = aim_ms
        self._on_done = on_done
        self._max_attempts = route.max_attempts
        self._regions = route.regions
        # Ids of the servers that the request may be sent to, None for any.
        self._only = only
        # Another daemon may have sent the request to a server of the service.
        self._sent_before = sent_before
        self._servers = set()
        self._timer = None
        self._unsent = 0
        self.service = service
        self.attempts = []
        self.done = False
        self.reason = ""

    def start(self):
        """Send the first attempt."""
        if not self._sent_before:
            self._tier.extra_load.earn(self.service)
        if not self._attempt():
            self._finish(None)

    def may_have_run(self):
        """Return whether the request has run or may run at some server."""
        return any(
            attempt.sent and attempt.verdict not in (Verdict.NOT_RUN, Verdict.UNSENT)
            for attempt in self.attempts
        )

    def in_flight(self):
        """Return the attempts that have not ended."""
        return [attempt for attempt in self.attempts if attempt.in_flight]

    def leave_to_other(self, upstream):
        """Let another daemon send the request to a server.

        From now on no server gets it from here that has not got it yet. Return the
        ids of all servers that may have it then, or None if that would be too many.
        """
        used = {u.server_id for u in self._servers}
        allowed = used | {upstream.server_id}
        if upstream.server_id in used or len(allowed) > self._max_attempts:
            return None
        self._only = used
        return allowed

    def cancel(self):
        """End all attempts at once: the caller has gone."""
        self.done = True
        self._stop_timer()
        for attempt in self.in_flight():
            attempt.cancel()

    def abandon(self):
        """Let attempts end by themselves for a while, then end them.

        At a slow server they are ended at once, which leaves its slots to requests
        that are waited for.
        """
        self.done = True
        self._stop_timer()
        now_ms = self._tier.clock.now_ms()
        for attempt in self.in_flight():
            slow = attempt.upstream.slowness(now_ms) > SLOW_SERVER
            if slow or not attempt.sent:
                attempt.cancel()
                self._refund(attempt)
        if self.in_flight():
            self._tier.clock.call_later(LINGER_MS, self.cancel)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arrivals(self):
        sent = sum(1 for a in self.attempts if a.verdict is not Verdict.UNSENT)
        return sent + int(self._sent_before)

    def _pick(self, spare=False):
        """Return the server for the next attempt, or None.

        A spare attempt is never worth a request to a server that is leaving.
        """
        now_ms = self._tier.clock.now_ms()
        candidates = self._tier.directory.candidates(self.service, self._regions)
        tried = ()
        if self.attempts:
            tried = {a.upstream for a in self.attempts}
            # Those that have the request, or whose answer to it was no success.
            excluded = {a.upstream for a in self.attempts if a.holds_request()}
            candidates = [u for u in candidates if u not in excluded]
        if len(self._servers) >= self._max_attempts:
            candidates = [u for u in candidates if u in self._servers]
        if self._only is not None:
            candidates = [u for u in candidates if u.server_id in self._only]
        if spare:
            candidates = [u for u in candidates if u.leaving_until_ms is None]
        work_ms = self._timing.usual_work_ms
        return min(
            candidates,
            key=lambda u: (u in tried, u.expected_ms(now_ms, work_ms)),
            default=None,
        )

    def _attempt(self, hedge=False):
        """Start an attempt; False if there is no server or no budget for one."""
        arrivals = self._arrivals()
        if arrivals >= MAX_ARRIVALS:
            self.reason = "arrivals used up"
            return False
        upstream = self._pick(spare=hedge)
        if upstream is None:
            self.reason = "no other server" if self.attempts else "no server"
            return False
        extra = arrivals > 0
        load = self._tier.extra_load
        reserve = load.hedge_reserve() if hedge else 0.0
        if extra and not load.take(self.service, reserve):
            self.reason = "extra load used up"
            self._tier.metrics.count("extra_load.denied")
            return False
        if hedge:
            self._tier.metrics.count("hedges")
        attempt = Attempt(
            self._tier, upstream, self._work, self._timing, extra, self._ended
        )
        self.attempts.append(attempt)
        self._servers.add(upstream)
        attempt.start()
        if not self.done:
            self._schedule_hedge(attempt)
        return True

    def _schedule_hedge(self, attempt):
        self._stop_timer()
        if not self._work.idempotent or not attempt.in_flight:
            return
        now_ms = self._tier.clock.now_ms()
        upstream, timing = attempt.upstream, self._timing
        sound_ms = upstream.rtt_ms + timing.slow_work_ms() + HEDGE_ALLOWANCE_MS
        delay_ms = sound_ms * max(1.0, upstream.slowness(now_ms))
        other = self._pick(spare=True)
        if other is not None:
            needed_ms = other.expected_ms(now_ms, timing.slow_work_ms())
            if needed_ms < delay_ms:
                # The other server is faster: ask it when a sound one would be done.
                delay_ms = sound_ms
        self._timer = self._tier.clock.call_later(delay_ms, self._overdue, attempt)

    def _overdue(self, attempt):
        """Send a hedge for an attempt that takes longer than usual."""
        self._timer = None
        if self.done or not attempt.in_flight:
            return
        attempt.mark_overdue()
        if not attempt.sent:
            self._move(attempt)
            return
        other = self._pick(spare=True)
        if other is None:
            self.reason = "no hedge: no other server"
            return
        clock = self._tier.clock
        now_ms = clock.now_ms()
        needed_ms = other.answer_ms(now_ms, self._timing.usual_work_ms)
        if now_ms < self._aim_ms < now_ms + needed_ms:
            # It would come too late for the aim and only add to the load of slow
            # servers. After the aim it still helps a caller who waits.
            left_ms = self._aim_ms - now_ms
            self.reason = f"no hedge: needs {needed_ms:.0f} of {left_ms:.0f} ms"
            self._timer = clock.call_later(
                self._aim_ms - now_ms + 1.0, self._overdue, attempt
            )
            return
        self._attempt(hedge=True)

    def _move(self, attempt):
        """Take an attempt that waits for a connection to a server that has one."""
        other = self._pick()
        if other is None or not other.pool.free():
            clock = self._tier.clock
            self._timer = clock.call_later(MOVE_RETRY_MS, self._overdue, attempt)
            return
        attempt.cancel()
        self._refund(attempt)
        self._attempt()

    def _refund(self, attempt):
        if attempt.extra and attempt.verdict is Verdict.UNSENT:
            self._tier.extra_load.refund(self.service)

    def _ended(self, attempt):
        self._refund(attempt)
        if self.done:
            return
        if attempt.verdict is Verdict.ANSWER:
            self._finish(attempt)
            return
        if attempt.verdict is Verdict.UNSENT:
            self._unsent += 1
        may_repeat = self._work.idempotent or not self.may_have_run()
        if may_repeat and self._unsent < MAX_UNSENT and self._attempt():
            return
        if not self.in_flight():
            self._finish(self._best_failure())

    def _best_failure(self):
        """Return an attempt that a server has answered with its own failure."""
        for attempt in self.attempts:
            if attempt.verdict is Verdict.FAILURE and attempt.marks.proof is not None:
                return attempt
        return None

    def _finish(self, attempt):
        result = DeliveryResult(attempt, self.may_have_run(), self.reason)
        self.abandon()
        self._on_done(self, result)
