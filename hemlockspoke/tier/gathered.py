"""Parts of a query that this daemon gathers for another one."""

import logging

from hemlockspoke.messages import GatherParts
from hemlockspoke.tier.attempt import Work
from hemlockspoke.tier.delivery import Delivery
from hemlockspoke.tier.journal import describe_sends, printable
from hemlockspoke.tier.merge import greatest_records

logger = logging.getLogger(__name__)


class GatheredParts:
    """Parts that this daemon gathers for another one."""

    __slots__ = (
        "_deliveries",
        "_desk",
        "_failed",
        "_finished",
        "_message",
        "_parts",
        "_peer",
        "_query_id",
        "_resolved",
        "_started_ms",
        "_timers",
        "_top_k",
        "attempt_id",
    )

    def __init__(self, desk, peer, message):
        self._desk = desk
        self._peer = peer
        self._message = message
        self._query_id = message.query_id
        self._top_k = message.top_k
        self._parts = []
        self._started_ms = desk.clock.now_ms()
        self._failed = []
        self._resolved = 0
        self._finished = False
        self._timers = []
        self._deliveries = []
        self.attempt_id = None

    def start(self, tier, route, timing):
        """Send the sub-queries."""
        message = self._message
        now_ms = tier.clock.now_ms()
        headers = [(bytes(name), bytes(value)) for name, value in message.headers]
        self.attempt_id = tier.codec.read_caller(headers).attempt_id
        work = Work(
            message.method,
            message.target,
            headers,
            b"",
            self.attempt_id,
            now_ms + message.remaining_ms,
            True,
        )
        aim_ms = now_ms + message.aim_in_ms
        self._deliveries = [
            Delivery(
                tier,
                service,
                route,
                work,
                timing,
                aim_ms,
                self._delivered,
                sent_before=message.repeat,
                only=frozenset(allowed),
            )
            for service, allowed in message.services
        ]
        first_ms = message.report_in_ms
        call_later = tier.clock.call_later
        self._timers = [
            call_later(first_ms, self._report, False),
            call_later(max(first_ms, message.aim_in_ms), self._at_aim),
            call_later(message.remaining_ms, self._report, True),
        ]
        # An empty report at once tells the asking daemon that this one lives.
        self._report(last=False)
        for delivery in self._deliveries:
            if not self._finished:
                delivery.start()

    def _delivered(self, delivery, result):
        if self._finished:
            return
        self._resolved += 1
        if result.answered:
            took_ms = self._desk.clock.now_ms() - self._started_ms
            self._parts.append((delivery.service, result.attempt, took_ms))
        else:
            self._failed.append([delivery.service, result.may_have_run])
        if self._resolved == len(self._deliveries):
            self._report(last=True)
        elif self._message.repeat:
            self._report(last=False)

    def _at_aim(self):
        """Report what came since the first report; late parts still count later."""
        if not self._finished and (self._parts or self._failed):
            self._report(last=False)

    def _report(self, last):
        if self._finished:
            return
        parts, self._parts = self._parts, []
        failed, self._failed = self._failed, []
        bodies = [attempt.response.body for _, attempt, _ in parts]
        report = GatherParts(
            query_id=self._query_id,
            services=[service for service, _, _ in parts],
            proofs=[attempt.marks.proof for _, attempt, _ in parts],
            took_ms=[round(took_ms) for _, _, took_ms in parts],
            records=greatest_records(bodies, self._top_k),
            failed=failed,
            last=last,
        )
        self._desk.send(self._peer, report)
        if last:
            self._end("reported")
            for delivery in self._deliveries:
                delivery.abandon()

    def cancel(self):
        """Stop: nobody waits for the parts."""
        if not self._finished:
            self._end("cancelled")
            for delivery in self._deliveries:
                delivery.cancel()

    def _end(self, outcome):
        self._finished = True
        sends = describe_sends(self._deliveries)
        if sends:
            logger.info(
                "gathered for a peer",
                extra={
                    "request": printable(self.attempt_id),
                    "for_peer": self._peer,
                    "outcome": outcome,
                    "sends": sends,
                },
            )
        for timer in self._timers:
            timer.cancel()
        self._desk.gathered(self._peer, self._query_id)
