"""Starts requests of callers at once, lets them wait, or refuses them."""

from hemlockspoke.tier.admission.feasibility import Feasibility
from hemlockspoke.tier.admission.load import PROBE_INTERVAL_MS, LoopLoad, StartRate
from hemlockspoke.tier.admission.queue import Waiting, WaitingQueue
from hemlockspoke.tier.admission.return_times import retry_after_ms
from hemlockspoke.tier.requests.gates import RequestGate
from hemlockspoke.tier.requests.request_handler import account_name
from hemlockspoke.tier.sending.replies import RETRY_AFTER_SHED_MS, ErrorReply

# Waiting requests are started for this time in each turn of the event loop, so that
# answers of servers are read in between.
START_SLICE_MS = 3.0
# So many requests may be in progress however late the event loop is, since its turns
# may be long for other reasons than the work of callers' requests.
MIN_IN_PROGRESS = 12


class AdmissionGate(RequestGate):
    """Refuses what cannot be served, and lets requests wait while the daemon is busy.

    ``feasibility`` finds requests that no server can serve. All state is that of the
    process, so a restarted daemon knows of no load.
    """

    __slots__ = (
        "_clock",
        "_feasibility",
        "_in_progress",
        "_load",
        "_metrics",
        "_queue",
        "_rate",
        "_spread_ms",
        "_waiting",
    )

    def __init__(self, tier, feasibility):
        self._clock = tier.clock
        self._metrics = tier.metrics
        self._spread_ms = tier.directory.notices.spread_ms
        self._feasibility = feasibility
        self._load = LoopLoad(tier.clock, self._on_probe)
        self._queue = WaitingQueue()
        # Started with the first request that waits, until none does.
        self._rate = None
        # Waiting by request.
        self._waiting = {}
        self._in_progress = 0

    @classmethod
    def from_bounds(cls, tier, bounds):
        """Return the gate of a daemon with the ``Bounds`` of its platform."""
        return cls(tier, Feasibility(tier, bounds))

    def admit(self, request, proceed, refuse):
        """Start a request, let it wait for room, or refuse it."""
        reply = self._feasibility.refusal(request)
        if reply is not None:
            self._metrics.count("admission.refused_unservable")
            refuse(reply)
        elif not self._waiting and self._has_room():
            self._start(proceed)
        else:
            self._wait(request, proceed, refuse)

    def _has_room(self):
        """Return whether a request may start now."""
        return self._in_progress < MIN_IN_PROGRESS or not self._load.is_busy()

    def _start(self, proceed):
        self._in_progress += 1
        self._load.start()
        proceed()

    def _wait(self, request, proceed, refuse):
        now_ms = self._clock.now_ms()
        if self._rate is None:
            self._rate = StartRate(now_ms)
        account = account_name(request.account)
        work_ms = request.timing.usual_work_ms
        waiting = Waiting(
            (request, proceed, refuse),
            request.priority,
            account,
            len(request.route.shards) or 1,
            now_ms,
            request.aim_ms - work_ms,
            request.give_up_ms - work_ms,
        )
        wait_ms = self._expected_wait_ms(request.priority, account, now_ms)
        if now_ms <= waiting.aim_start_ms < now_ms + wait_ms:
            # Another daemon may have room, and may answer in time if it is asked soon.
            self._queue.refuse(waiting)
            self._metrics.count("admission.refused_no_time")
            self._refuse(waiting, f"no room in time: {wait_ms:.0f} ms to wait")
            return
        self._waiting[request] = waiting
        self._queue.add(waiting)
        self._load.start()
        self._show_waiting()

    def _expected_wait_ms(self, priority, account, now_ms):
        """Return the expected wait of a new request, or 0 if the rate is not known."""
        rate_per_ms = self._rate.per_ms(now_ms)
        if not rate_per_ms:
            return 0.0
        return self._queue.work_ahead(priority, account) / rate_per_ms

    def withdraw(self, request):
        """Forget a request that waits, as its caller no longer needs an answer."""
        waiting = self._waiting.pop(request, None)
        if waiting is not None:
            self._queue.remove(waiting)
            self._show_waiting()

    def finished(self, request, may_have_run):
        """Note the end of a request that was started."""
        self._in_progress -= 1

    def _on_probe(self):
        """Start or refuse waiting requests; return when to measure again, or None."""
        has_room = False
        if self._waiting:
            self._refuse_expired()
            has_room = self._has_room()
            if has_room:
                self._start_waiting()
            self._show_waiting()
        self._metrics.gauge("admission.loop_delay_ms", round(self._load.delay_ms, 1))
        if not self._waiting:
            self._rate = None
        if self._waiting and has_room:
            # More are started once the events that are due now have been handled.
            return 0.0
        return PROBE_INTERVAL_MS if self._in_progress or self._waiting else None

    def _refuse_expired(self):
        for waiting in self._queue.expire(self._clock.now_ms()):
            del self._waiting[waiting.item[0]]
            self._refuse_late(waiting)

    def _refuse_late(self, waiting):
        self._metrics.count("admission.refused_expired")
        waited_ms = self._clock.now_ms() - waiting.since_ms
        self._refuse(waiting, f"no room in time: waited {waited_ms:.0f} ms")

    def _refuse(self, waiting, reason):
        request, _, refuse = waiting.item
        remaining_ms = request.caller_deadline_ms - self._clock.now_ms()
        after_ms = retry_after_ms(
            RETRY_AFTER_SHED_MS, False, remaining_ms, self._spread_ms
        )
        refuse(ErrorReply.not_run(reason, after_ms))

    def _start_waiting(self):
        """Start requests for a slice of time."""
        now_ms = self._clock.now_ms()
        end_ms = now_ms + START_SLICE_MS
        while now_ms < end_ms and self._has_room():
            waiting = self._queue.take(now_ms)
            if waiting is None:
                break
            del self._waiting[waiting.item[0]]
            if now_ms < waiting.last_start_ms:
                self._start_waited(waiting, now_ms)
            else:
                self._refuse_late(waiting)
            now_ms = self._clock.now_ms()

    def _start_waited(self, waiting, now_ms):
        """Start a request that has waited, if it can still be served."""
        request, proceed, refuse = waiting.item
        waited_ms = now_ms - waiting.since_ms
        self._metrics.timing("admission.waited", waited_ms)
        request.admission = f"waited {waited_ms:.0f} ms for room"
        reply = self._feasibility.refusal(request)
        if reply is None:
            self._rate.record(waiting.work, now_ms)
            self._start(proceed)
        else:
            self._metrics.count("admission.refused_unservable")
            refuse(reply)

    def _show_waiting(self):
        self._metrics.gauge("admission.waiting", len(self._waiting))
