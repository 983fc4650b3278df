"""A query that one server of each shard answers in part."""

import math

from hemlockspoke.tier.attempt import Work
from hemlockspoke.tier.delivery import Delivery
from hemlockspoke.tier.merge import greatest_records
from hemlockspoke.tier.replies import Refusal

# After the aim an answer is worth little; callers of a late one rather wait this
# part of the aim for the missing parts.
LATE_PATIENCE = 0.5


class Gather:
    """One query over the shards of one version of the configuration.

    The answer is sent when every shard has answered, or at the aim if enough have,
    or later as soon as enough have. It names the parts that it holds.
    """

    __slots__ = (
        "_aim_timer",
        "_deadline_timer",
        "_deliveries",
        "_failed",
        "_finished",
        "_needed",
        "_on_answer",
        "_parts",
        "_request",
        "_ran",
        "_tier",
    )

    def __init__(self, tier, request, on_answer):
        self._tier = tier
        self._request = request
        self._on_answer = on_answer
        self._deliveries = []
        self._parts = []
        self._failed = 0
        self._ran = False
        self._finished = False
        self._aim_timer = None
        self._deadline_timer = None
        shards = len(request.route.shards)
        # The tolerance keeps 0.9 of 10 shards from becoming 10 by rounding.
        self._needed = max(1, math.ceil(request.route.min_coverage * shards - 1e-9))

    def start(self):
        """Send a sub-query to each shard, and watch the time."""
        tier, request = self._tier, self._request
        http = request.http
        work = Work(
            http.method,
            http.target,
            http.headers,
            http.body,
            request.attempt_id,
            request.caller_deadline_ms,
            True,
        )
        clock = tier.clock
        now_ms = clock.now_ms()
        self._deadline_timer = clock.call_later(
            request.give_up_ms - now_ms, self._timed_out
        )
        if request.aim_ms > now_ms:
            self._aim_timer = clock.call_later(request.aim_ms - now_ms, self._at_aim)
        self._deliveries = [
            Delivery(
                tier,
                service,
                request.route,
                work,
                request.timing,
                request.aim_ms,
                self._delivered,
            )
            for service in request.route.shards
        ]
        for delivery in self._deliveries:
            if not self._finished:
                delivery.start()

    def deliveries(self):
        """Return the deliveries, for the log."""
        return self._deliveries

    def cancel(self):
        """Stop everything: the caller has gone."""
        self._finished = True
        self._stop_timers()
        for delivery in self._deliveries:
            delivery.cancel()

    def _stop_timers(self):
        for timer in (self._aim_timer, self._deadline_timer):
            if timer is not None:
                timer.cancel()

    def _delivered(self, delivery, result):
        if self._finished:
            return
        self._ran = self._ran or result.may_have_run
        if result.answered:
            self._parts.append(result.attempt)
        else:
            self._failed += 1
        shards = len(self._deliveries)
        if len(self._parts) + self._failed == shards:
            self._settle()
        elif shards - self._failed < self._needed:
            self._refuse("too few shards can answer")
        elif self._enough() and self._late():
            self._settle()

    def _enough(self):
        return len(self._parts) >= self._needed

    def _late(self):
        """Return whether the time for missing parts is over."""
        request = self._request
        patience_ms = LATE_PATIENCE * request.route.target_ms
        return self._tier.clock.now_ms() > request.aim_ms + patience_ms

    def _at_aim(self):
        if self._finished:
            return
        if self._enough():
            self._settle()
            return
        patience_ms = LATE_PATIENCE * self._request.route.target_ms
        self._aim_timer = self._tier.clock.call_later(patience_ms, self._after_aim)

    def _after_aim(self):
        if not self._finished and self._enough():
            self._settle()

    def _timed_out(self):
        if self._finished:
            return
        self._settle("no answer in time")

    def _settle(self, reason="too few parts"):
        """Answer with the parts that are in, or give up."""
        if not self._enough():
            self._refuse(reason)
            return
        self._end()
        missing = len(self._deliveries) - len(self._parts)
        proofs = [attempt.marks.proof for attempt in self._parts]
        headers = self._tier.codec.gathered_headers(proofs, missing)
        body = greatest_records(
            [attempt.response.body for attempt in self._parts],
            self._request.route.top_k,
        )
        outcome = "partial" if missing else "answered"
        self._on_answer(200, headers, body, outcome, f"{missing} parts missing")

    def _refuse(self, reason):
        ran = self._ran or any(d.may_have_run() for d in self._deliveries)
        self._end(keep=False)
        if not ran:
            Refusal.not_run("no shard could be reached").send(self._on_answer)
        elif reason == "no answer in time":
            Refusal.timeout(reason).send(self._on_answer)
        else:
            Refusal.lost(reason).send(self._on_answer)

    def _end(self, keep=True):
        self._finished = True
        self._stop_timers()
        for delivery in self._deliveries:
            if not delivery.done:
                if keep:
                    delivery.abandon()
                else:
                    delivery.cancel()
