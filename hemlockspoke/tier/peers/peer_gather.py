"""Gathers parts of a query on behalf of another daemon."""

import logging

from hemlockspoke.http1.messages import printable
from hemlockspoke.tier.messages import GatherReport
from hemlockspoke.tier.sending.attempt import OutgoingRequest, leaving_servers
from hemlockspoke.tier.sending.attempt_log import describe_attempts
from hemlockspoke.tier.sending.delivery import Delivery
from hemlockspoke.tier.sending.merge import greatest_records
from hemlockspoke.tier.state.routes import common_regions

logger = logging.getLogger(__name__)

# Results after the aim wait for this time, so that several share a report.
LATE_REPORT_DELAY_MS = 3.0


class PeerGather:
    """Parts of one query that this daemon gathers on behalf of ``peer``.

    ``message`` is the ``GatherRequest``. Results go to the peer as ``GatherReport``
    messages: an empty one at once, one when the peer needs the first answers, one at
    the aim if there are new results, further ones soon after each later result, and the
    last one when all results are known or the time is over. For hedges each result is
    reported at once.

    After the aim the peer still waits for a result only if it lacks the minimum
    coverage, so one slow server must not hold back the results of others.
    """

    __slots__ = (
        "_aim_passed",
        "_answers",
        "_delegation",
        "_deliveries",
        "_failed",
        "_finished",
        "_late_report",
        "_message",
        "_peer",
        "_query_id",
        "_resolved_count",
        "_started_ms",
        "_timers",
        "_top_k",
        "attempt_id",
    )

    def __init__(self, delegation, peer, message):
        self._delegation = delegation
        self._peer = peer
        self._message = message
        self._query_id = message.query_id
        self._top_k = message.top_k
        self._answers = []
        self._started_ms = delegation.clock.now_ms()
        self._failed = []
        self._resolved_count = 0
        self._finished = False
        self._aim_passed = False
        self._late_report = None
        self._timers = []
        self._deliveries = []
        self.attempt_id = None

    def start(self, tier, route, timing):
        """Send the request to the servers, and an empty report to the peer."""
        message = self._message
        now_ms = tier.clock.now_ms()
        outgoing = OutgoingRequest.from_message(message, tier.codec, now_ms, b"", True)
        self.attempt_id = outgoing.attempt_id
        aim_ms = now_ms + message.aim_in_ms
        # The daemons may have different versions of the route, or of a server's entry.
        regions = common_regions(route.regions, frozenset(message.regions))
        self._deliveries = [
            Delivery(
                tier,
                service,
                route,
                outgoing,
                timing,
                aim_ms,
                self._on_delivery,
                sent_before=message.repeat,
                allowed_server_ids=frozenset(() if regions is None else allowed),
                regions=regions,
            )
            for service, allowed in message.services
        ]
        first_report_ms = message.report_in_ms
        call_later = tier.clock.call_later
        self._timers = [
            call_later(first_report_ms, self._report, False),
            call_later(max(first_report_ms, message.aim_in_ms), self._on_aim),
            call_later(message.remaining_ms, self._report, True),
        ]
        # The empty report shows the peer that this daemon is not silent.
        self._report(last=False)
        for delivery in self._deliveries:
            if not self._finished:
                delivery.start()

    def _on_delivery(self, delivery, result):
        if self._finished:
            return
        self._resolved_count += 1
        if result.answered:
            took_ms = self._delegation.clock.now_ms() - self._started_ms
            self._answers.append((delivery.service, result.attempt, took_ms))
        else:
            self._failed.append([delivery.service, result.may_have_run])
        if self._resolved_count == len(self._deliveries):
            self._report(last=True)
        elif self._message.repeat:
            self._report(last=False)
        elif self._aim_passed and self._late_report is None:
            self._late_report = self._delegation.clock.call_after_reads(
                LATE_REPORT_DELAY_MS, self._report, False
            )

    def _on_aim(self):
        """Report the results since the last report."""
        self._aim_passed = True
        if not self._finished and (self._answers or self._failed):
            self._report(last=False)

    def _report(self, last):
        if self._late_report is not None:
            self._late_report.cancel()
            self._late_report = None
        if self._finished:
            return
        answers, self._answers = self._answers, []
        failed, self._failed = self._failed, []
        bodies = [attempt.response.body for _, attempt, _ in answers]
        report = GatherReport(
            query_id=self._query_id,
            services=[service for service, _, _ in answers],
            proofs=[attempt.metadata.proof for _, attempt, _ in answers],
            took_ms=[round(took_ms) for _, _, took_ms in answers],
            records=greatest_records(bodies, self._top_k),
            failed=failed,
            waiting_server_ids=[
                attempt.server.server_id
                for delivery in self._deliveries
                for attempt in delivery.in_flight()
                if attempt.sent
            ],
            leaving=leaving_servers(attempt for _, attempt, _ in answers),
            last=last,
        )
        self._delegation.send(self._peer, report)
        if last:
            self._finish("reported")
            for delivery in self._deliveries:
                delivery.abandon()

    def cancel(self):
        """Cancel the work, as the peer no longer needs the parts or is lost."""
        if not self._finished:
            self._finish("cancelled")
            for delivery in self._deliveries:
                delivery.cancel()

    def _finish(self, outcome):
        self._finished = True
        sends = describe_attempts(self._deliveries)
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
        for timer in (*self._timers, self._late_report):
            if timer is not None:
                timer.cancel()
        self._delegation.remove_gather(self._peer, self._query_id)
