"""Sends one request to the servers of one service, with retries and hedges."""

from hemlockspoke.tier.sending.attempt import Attempt, Verdict
from hemlockspoke.tier.sending.request_servers import RequestServers

# A request whose result is no longer needed may finish within this time, which keeps
# its connection usable; then the connection is closed. Servers must learn within half
# a second that the caller has left.
ABANDON_GRACE_MS = 300
# A server that takes this many times the usual time is assumed to be overloaded.
SLOW_SERVER_FACTOR = 3.0
# Limit on the arrivals of one request at the servers of one service, including those
# that the servers refused without running the request.
MAX_ARRIVALS = 4
# Limit on failures to open a connection, for one request.
MAX_UNSENT = 3
# Interval at which an attempt that waits for a connection looks for another server.
CONNECTION_RECHECK_MS = 10.0
# Interval at which a repeat for which there was no extra load is tried again, and how
# often it is: other daemons may lend some meanwhile.
EXTRA_LOAD_RECHECK_MS = 15.0
MAX_EXTRA_LOAD_RECHECKS = 6
# Jitter of the daemon and the network, added to the usual time of a request.
HEDGE_ALLOWANCE_MS = 3.0
NO_EXTRA_LOAD = "extra load used up"


class DeliveryResult:
    """The result of a delivery: the attempt whose response is returned, or None.

    ``may_have_run`` is True if any attempt has run or may have run. ``retry_after_ms``
    is when a server that wants no requests takes them again, or None if none does.
    """

    __slots__ = ("attempt", "may_have_run", "reason", "retry_after_ms")

    def __init__(self, attempt, may_have_run, reason="", retry_after_ms=None):
        self.attempt = attempt
        self.may_have_run = may_have_run
        self.reason = reason
        self.retry_after_ms = retry_after_ms

    @property
    def answered(self):
        """Return whether a server has answered successfully."""
        return self.attempt is not None and self.attempt.verdict is Verdict.ANSWER


class Delivery:
    """Attempts at the servers of one service, until one answers.

    ``on_done(delivery, result)`` gets the ``DeliveryResult`` unless it is cancelled or
    abandoned before. A request that is not idempotent is repeated only if it certainly
    has not run.
    Each arrival after the first spends a token of the service's extra load, and at
    most ``max_servers`` servers get the request. ``aim_ms`` is the clock time by
    which the answer is needed: no hedge is sent that would miss it. ``reason`` says
    why no further attempt was started, for the log. Only servers in ``regions`` get the
    request unless that is empty; by default they are those of the route. ``sample_ids``
    are the ids of servers of a version that is being tried, or None: one of them gets
    the first attempt, and none of them a further one.
    """

    __slots__ = (
        "_aim_ms",
        "_extra_load_rechecks",
        "_on_done",
        "_outgoing",
        "_regions",
        "_route_name",
        "_sample_ids",
        "_sent_before",
        "_servers",
        "_tier",
        "_timer",
        "_timing",
        "_unsent_count",
        "done",
        "reason",
        "service",
    )

    def __init__(
        self,
        tier,
        service,
        route,
        outgoing,
        timing,
        aim_ms,
        on_done,
        sent_before=False,
        allowed_server_ids=None,
        regions=None,
        sample_ids=None,
    ):
        self._tier = tier
        self._outgoing = outgoing
        self._timing = timing
        self._aim_ms = aim_ms
        self._on_done = on_done
        self._regions = route.regions if regions is None else regions
        self._route_name = route.name
        self._sample_ids = sample_ids
        self._servers = RequestServers(route.max_servers, allowed_server_ids)
        # Whether a server of the service may have got the request from another daemon.
        self._sent_before = sent_before
        self._timer = None
        self._unsent_count = 0
        self._extra_load_rechecks = 0
        self.service = service
        self.done = False
        self.reason = ""

    @property
    def attempts(self):
        """Return the attempts, oldest first."""
        return self._servers.attempts

    def start(self):
        """Send the first attempt."""
        if not self._sent_before:
            self._tier.extra_load.earn(self.service)
        if not self._start_attempt():
            self._finish(None)

    def may_have_run(self):
        """Return whether the request has run, may have run or may still run."""
        return any(
            attempt.sent and attempt.verdict not in (Verdict.NOT_RUN, Verdict.UNSENT)
            for attempt in self.attempts
        )

    def in_flight(self):
        """Return the attempts that have not ended."""
        return [attempt for attempt in self.attempts if attempt.in_flight]

    def allow_other_daemon(self, server):
        """Let another daemon send the request to a server.

        Return the ids of all servers that may get it, or None if that is not possible.
        """
        return self._servers.allow_other_daemon(server)

    def cancel(self):
        """Cancel all attempts at once."""
        self.done = True
        self._stop_timer()
        for attempt in self.in_flight():
            attempt.cancel()

    def abandon(self):
        """Let attempts finish for a short time, then cancel them.

        At a slow server they are cancelled at once, which frees its slots for
        requests whose answers are needed.
        """
        self.done = True
        self._stop_timer()
        now_ms = self._tier.clock.now_ms()
        for attempt in self.in_flight():
            server_is_slow = attempt.server.slowness(now_ms) > SLOW_SERVER_FACTOR
            if server_is_slow or not attempt.sent:
                attempt.cancel()
                self._settle(attempt)
        if self.in_flight():
            self._tier.clock.call_later(ABANDON_GRACE_MS, self.cancel)

    def _stop_timer(self):
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arrival_count(self):
        arrivals = sum(
            1 for attempt in self.attempts if attempt.verdict is not Verdict.UNSENT
        )
        return arrivals + int(self._sent_before)

    def _choose_server(self, for_hedge=False):
        """Return the server for the next attempt, or None.

        Servers that have not been tried go first. Hedges are never sent to a server
        that is leaving.
        """
        now_ms = self._tier.clock.now_ms()
        if self._sample_ids is None:
            candidates = self._tier.directory.candidates(
                self.service,
                self._regions,
                # The daemon that limits the servers has chosen their version.
                self._servers.allowed_ids is not None,
            )
        else:
            candidates = self._sample_candidates()
        candidates = self._servers.usable(candidates, for_hedge)
        tried = self._servers.tried
        work_ms = self._timing.usual_work_ms
        return min(
            candidates,
            key=lambda candidate: (
                candidate in tried,
                candidate.expected_ms(now_ms, work_ms),
            ),
            default=None,
        )

    def _sample_candidates(self):
        """Return the servers for a request that samples a version."""
        directory, sample_ids = self._tier.directory, self._sample_ids
        if not self.attempts:
            servers = directory.candidates(self.service, self._regions, planned=True)
            samples = [server for server in servers if server.server_id in sample_ids]
            if samples:
                return samples
        servers = directory.candidates(self.service, self._regions)
        return [server for server in servers if server.server_id not in sample_ids]

    def _start_attempt(self, hedge=False):
        """Start an attempt; return False if no server or limit allows one."""
        arrival_count = self._arrival_count()
        if arrival_count >= MAX_ARRIVALS:
            self.reason = "limit of arrivals reached"
            return False
        server = self._choose_server(for_hedge=hedge)
        if server is None:
            self.reason = "no other server" if self.attempts else "no server"
            excluded = self._tier.directory.describe_exclusions(
                self.service, self._regions, self._servers
            )
            if excluded:
                self.reason += f" ({excluded})"
            return False
        is_extra = arrival_count > 0
        extra_load = self._tier.extra_load
        reserve = extra_load.hedge_reserve(self.service) if hedge else 0.0
        if is_extra and not extra_load.try_spend(self.service, reserve):
            self.reason = NO_EXTRA_LOAD
            self._tier.metrics.count("extra_load.denied")
            return False
        if hedge:
            self._tier.metrics.count("hedges")
        attempt = Attempt(
            self._tier,
            server,
            self._outgoing,
            self._timing,
            is_extra,
            self._on_attempt_end,
            earlier_attempts=self.attempts,
            route_name=self._route_name,
        )
        self._servers.add(attempt)
        attempt.start()
        if not self.done:
            self._schedule_hedge(attempt)
        return True

    def _schedule_hedge(self, attempt):
        self._stop_timer()
        if not self._outgoing.idempotent or not attempt.in_flight:
            return
        now_ms = self._tier.clock.now_ms()
        server, timing = attempt.server, self._timing
        healthy_ms = server.rtt_ms + timing.slow_work_ms() + HEDGE_ALLOWANCE_MS
        delay_ms = healthy_ms * max(1.0, server.slowness(now_ms))
        other = self._choose_server(for_hedge=True)
        if other is not None:
            expected_ms = other.expected_ms(now_ms, timing.slow_work_ms())
            if expected_ms < delay_ms:
                # The other server is faster than this one is expected to be, so the
                # hedge need not wait longer than for a healthy server.
                delay_ms = healthy_ms
        self._timer = self._tier.clock.call_after_reads(
            delay_ms, self._on_overdue, attempt
        )

    def _on_overdue(self, attempt):
        """Send a hedge for an attempt that takes longer than usual.

        An attempt that still waits for a connection is moved to another server instead.
        """
        self._timer = None
        if self.done or not attempt.in_flight:
            return
        attempt.mark_overdue()
        if not attempt.sent:
            self._move_attempt(attempt)
            return
        other = self._choose_server(for_hedge=True)
        if other is None:
            self.reason = "no hedge: no other server"
            return
        clock = self._tier.clock
        now_ms = clock.now_ms()
        expected_ms = other.answer_ms(now_ms, self._timing.usual_work_ms)
        if now_ms < self._aim_ms < now_ms + expected_ms:
            # The hedge would miss the aim and only add load to slow servers. After
            # the aim it can still help a caller that waits.
            remaining_ms = self._aim_ms - now_ms
            self.reason = f"no hedge: needs {expected_ms:.0f} of {remaining_ms:.0f} ms"
            self._timer = clock.call_later(
                self._aim_ms - now_ms + 1.0, self._on_overdue, attempt
            )
            return
        self._start_attempt(hedge=True)

    def _move_attempt(self, attempt):
        """Move an attempt that waits for a connection to a server with a free one."""
        other = self._choose_server()
        if other is None or not other.pool.has_capacity():
            clock = self._tier.clock
            self._timer = clock.call_later(
                CONNECTION_RECHECK_MS, self._on_overdue, attempt
            )
            return
        attempt.cancel()
        self._settle(attempt)
        self._start_attempt()

    def _settle(self, attempt):
        """Give back what an ended attempt has taken if it was not sent.

        That is its token of the extra load, and its server's place among those that
        may get the request.
        """
        if attempt.verdict is not Verdict.UNSENT:
            return
        if attempt.is_extra:
            self._tier.extra_load.refund(self.service)
        self._servers.release_unsent(attempt.server)

    def _on_attempt_end(self, attempt):
        self._settle(attempt)
        if self.done:
            return
        if attempt.verdict is Verdict.ANSWER:
            self._finish(attempt)
            return
        if attempt.verdict is Verdict.UNSENT and not attempt.recalled:
            self._servers.unreachable.add(attempt.server)
            self._unsent_count += 1
        may_repeat = self._outgoing.idempotent or not self.may_have_run()
        if may_repeat and self._unsent_count < MAX_UNSENT and self._start_attempt():
            return
        if self.in_flight():
            return
        if not (may_repeat and self._recheck_extra_load()):
            self._finish(self._best_failure())

    def _recheck_extra_load(self):
        """Try a repeat again soon if only extra load was missing for it."""
        clock = self._tier.clock
        is_last = self._extra_load_rechecks >= MAX_EXTRA_LOAD_RECHECKS
        in_time = clock.now_ms() + EXTRA_LOAD_RECHECK_MS < self._aim_ms
        if self.reason != NO_EXTRA_LOAD or is_last or not in_time:
            return False
        self._extra_load_rechecks += 1
        self._stop_timer()
        self._timer = clock.call_later(EXTRA_LOAD_RECHECK_MS, self._repeat)
        return True

    def _repeat(self):
        self._timer = None
        started = self.done or self._start_attempt()
        if not started and not self._recheck_extra_load():
            self._finish(self._best_failure())

    def _best_failure(self):
        """Return the first attempt whose failure the caller may get, or None.

        It needs a proof. Callers take some statuses for the promise that an order has
        not run, which would not be true of a server that has run it.
        """
        for attempt in self.attempts:
            if (
                attempt.verdict is Verdict.FAILURE
                and attempt.metadata.proof is not None
                and (self._outgoing.idempotent or not attempt.promises_not_run())
            ):
                return attempt
        return None

    def _finish(self, attempt):
        retry_after_ms = None
        if attempt is None:
            retry_after_ms = self._tier.directory.retry_after_ms(
                [self.service], self._regions
            )
        result = DeliveryResult(
            attempt, self.may_have_run(), self.reason, retry_after_ms
        )
        self.abandon()
        self._on_done(self, result)
