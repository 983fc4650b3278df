"""One request sent to one server, and its outcome."""

import logging
from enum import Enum

from hemlockspoke.http1.connection import Exchange, ExchangeFailure
from hemlockspoke.http1.messages import printable, request_head, request_tail

logger = logging.getLogger(__name__)

HTTP_MISDIRECTED = 421
# Statuses that tell callers that a request has not run and never will: request timeout,
# misdirected request, too many requests, service unavailable.
NOT_RUN_STATUSES = frozenset([408, HTTP_MISDIRECTED, 429, 503])
CANCELLED = "cancelled"


class Verdict(Enum):
    """Outcome of an attempt. After ``UNKNOWN`` the request may or may not have run."""

    # A complete successful response with the server's proof.
    ANSWER = "answer"
    # A failure response of the server, which has run the request.
    FAILURE = "failure"
    # The server states that it did not and will not run the request.
    NOT_RUN = "not_run"
    # No byte was sent.
    UNSENT = "unsent"
    # Sent, but the response is lost, damaged or answers another attempt.
    UNKNOWN = "unknown"


class OutgoingRequest:
    """A caller's request as it is forwarded to servers.

    ``headers`` are those that servers may get, as ``Codec.forwarded_headers`` returns
    them. ``deadline_ms`` is the clock time until which the caller waits.
    """

    __slots__ = (
        "_head",
        "attempt_id",
        "body",
        "deadline_ms",
        "headers",
        "idempotent",
        "method",
        "target",
    )

    def __init__(
        self, method, target, headers, body, attempt_id, deadline_ms, idempotent
    ):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.attempt_id = attempt_id
        self.deadline_ms = deadline_ms
        self.idempotent = idempotent
        self._head = None

    @classmethod
    def from_request(cls, request, idempotent):
        """Build from a caller's ``TierRequest``."""
        http = request.http
        return cls(
            http.method,
            http.target,
            request.headers,
            http.body,
            request.attempt_id,
            request.caller_deadline_ms,
            idempotent,
        )

    @classmethod
    def from_message(cls, message, codec, now_ms, body, idempotent):
        """Build from the message of the daemon that has got the caller's request."""
        headers = [(bytes(name), bytes(value)) for name, value in message.headers]
        return cls(
            message.method,
            message.target,
            headers,
            body,
            codec.parse_caller_headers(headers).attempt_id,
            now_ms + message.remaining_ms,
            idempotent,
        )

    def encode(self, codec, remaining_ms, server_id):
        """Return the bytes for one server; the start of the head is built only once."""
        if self._head is None:
            self._head = request_head(self.method, self.target, self.headers)
        headers = codec.server_headers(remaining_ms, server_id)
        return self._head + request_tail(self.method, headers, self.body)


class Attempt:
    """One attempt at one server; ``on_done(attempt)`` is called at its end.

    ``earlier_attempts`` are those of the same request. All have the same id, so a late
    second copy of the response to one of them would be taken for the response to this
    one. Copies arrive on the connection of the first, so this attempt uses another.
    ``recalled`` is True if it was taken back while it waited for a connection.
    """

    __slots__ = (
        "_clock",
        "_codec",
        "_counted_overdue",
        "_directory",
        "_exchange",
        "_metrics",
        "_on_done",
        "_outgoing",
        "_rollout",
        "_rollouts",
        "_timing",
        "detail",
        "ended_ms",
        "is_extra",
        "metadata",
        "recalled",
        "response",
        "route_name",
        "server",
        "started_ms",
        "verdict",
    )

    def __init__(
        self,
        tier,
        server,
        outgoing,
        timing,
        is_extra,
        on_done,
        earlier_attempts=(),
        route_name="",
    ):
        self._clock = tier.clock
        self._codec = tier.codec
        self._directory = tier.directory
        self._metrics = tier.metrics
        self._outgoing = outgoing
        self._timing = timing
        self._on_done = on_done
        self._counted_overdue = False
        # The Rollout whose order the request counts for, once it is sent.
        self._rollouts = tier.rollouts
        self._rollout = None
        self.route_name = route_name
        self.server = server
        self.is_extra = is_extra
        self.verdict = None
        self.recalled = False
        self.detail = ""
        self.response = None
        self.metadata = None
        self.started_ms = tier.clock.now_ms()
        self.ended_ms = None
        self._exchange = Exchange(
            self._encode,
            self._on_response,
            self._on_exchange_failure,
            at_most_once=not outgoing.idempotent,
            head_only=outgoing.method == b"HEAD",
            is_own=self._is_own,
            avoided=[attempt.connection for attempt in earlier_attempts],
        )

    def start(self):
        """Send the request as soon as a connection is free."""
        self.server.outstanding += 1
        self.server.record_send(self.started_ms)
        if self._rollouts is not None:
            self._rollout = self._rollouts.attempt_started(self)
        self.server.pool.submit(self._exchange)

    @property
    def connection(self):
        """Return the connection that has carried the request, or None."""
        return self._exchange.connection

    @property
    def sent(self):
        """Return whether bytes of the request may have left."""
        return self._exchange.sent_ms is not None

    @property
    def in_flight(self):
        """Return whether the attempt has not ended."""
        return self.verdict is None

    def promises_not_run(self):
        """Return whether callers take the status for "not run", true or not."""
        return self.response is not None and self.response.status in NOT_RUN_STATUSES

    def mark_overdue(self):
        """Count the attempt as overdue at its server until the attempt ends."""
        if self.in_flight and not self._counted_overdue:
            self._counted_overdue = True
            self.server.overdue += 1

    def cancel(self):
        """End the attempt without a result."""
        if self.in_flight:
            sent = self.sent
            self._exchange.cancel()
            self._set_verdict(Verdict.UNKNOWN if sent else Verdict.UNSENT, CANCELLED)
            if sent and self._counted_overdue:
                self._record_unanswered()

    def _record_unanswered(self):
        """Record a cancelled overdue attempt as a failure.

        Its wait counts as the latency if that makes the server appear slower.
        """
        now_ms = self._clock.now_ms()
        server = self.server
        server.record_result(now_ms, failed=True)
        waited_ms = now_ms - self._exchange.sent_ms
        usual_ms = self._timing.usual_work_ms
        if waited_ms > server.answer_ms(now_ms, usual_ms):
            server.record_latency(now_ms, waited_ms, usual_ms)

    def elapsed_ms(self):
        """Return how long the attempt took, or has taken so far."""
        end_ms = self._clock.now_ms() if self.ended_ms is None else self.ended_ms
        return end_ms - self.started_ms

    def _encode(self):
        outgoing = self._outgoing
        remaining_ms = outgoing.deadline_ms - self._clock.now_ms()
        return outgoing.encode(self._codec, remaining_ms, self.server.server_id)

    def _is_own(self, response):
        """Return whether a response belongs to this request.

        A server may send a second copy of an earlier response. Without an id it can
        only be told by its connection, if the server's responses have ids otherwise.
        Servers whose refusals never have one are believed here; for orders the pool
        keeps late copies of such refusals away (``Exchange.may_use``).
        """
        metadata = self.metadata = self._codec.parse_reply_headers(response)
        echoes = self.server.echoes
        if metadata.attempt_id is None:
            self._exchange.unidentified = True
            may_be_copy = self._exchange.reused_connection
            return not (may_be_copy and metadata.not_run in echoes)
        if metadata.attempt_id != self._outgoing.attempt_id:
            return False
        echoes.add(metadata.not_run)
        return True

    def _record_notices(self, metadata, status):
        """Record what the server says of itself in the head of a response."""
        if status == HTTP_MISDIRECTED or not (
            metadata.leaving or metadata.hold_ms or metadata.malformed_hold
        ):
            return
        if metadata.leaving:
            self._metrics.count("servers.leaving_answers")
            self._directory.note_leaving(self.server)
        if metadata.hold_ms:
            self._metrics.count("servers.holds")
            self._directory.note_hold(self.server, metadata.hold_ms)
        elif metadata.malformed_hold:
            self._metrics.count("servers.malformed_holds")

    def _record_partial_notices(self):
        """Record what interim responses say, and one that broke off."""
        partial = self._exchange.partial
        if partial is not None:
            metadata = self._codec.parse_reply_headers(partial)
            self._record_notices(metadata, partial.status)

    def _on_response(self, response):
        self.response = response
        verdict, detail = Verdict.UNKNOWN, "response to another attempt"
        if self._is_own(response):
            verdict, detail = classify(response, self.metadata)
        now_ms = self._clock.now_ms()
        server = self.server
        if response.status == HTTP_MISDIRECTED:
            self._directory.mark_misdirected(server, self.metadata.server_id)
        self._record_notices(self.metadata, response.status)
        self._record_partial_notices()
        if not self.metadata.hold_ms:
            # A server that asks for a pause is neither slow nor failing.
            server.record_result(now_ms, failed=verdict is not Verdict.ANSWER)
        if verdict is Verdict.ANSWER:
            self._record_latency(now_ms)
        self._finish(verdict, detail)

    def _record_latency(self, now_ms):
        server = self.server
        server.update_rtt()
        latency_ms = now_ms - self._exchange.sent_ms
        usual_ms = self._timing.usual_work_ms
        server.record_latency(now_ms, latency_ms, usual_ms)
        self._timing.record_work_time(latency_ms - server.rtt_ms)

    def _on_exchange_failure(self, failure, detail):
        if failure is ExchangeFailure.RECALLED:
            self.recalled = True
            self._finish(Verdict.UNSENT, detail)
            return
        unsent = failure is ExchangeFailure.UNSENT
        if failure is ExchangeFailure.MALFORMED:
            self._metrics.count("servers.malformed")
            logger.warning(
                "malformed response",
                extra={
                    "request": printable(self._outgoing.attempt_id),
                    "server": self.server.server_id,
                    "service": self.server.entry.service,
                    "reason": detail,
                },
            )
        self._record_partial_notices()
        now_ms = self._clock.now_ms()
        self.server.record_result(now_ms, failed=True, weight=0.6 if unsent else 0.3)
        self._finish(Verdict.UNSENT if unsent else Verdict.UNKNOWN, detail)

    def _finish(self, verdict, detail):
        self._set_verdict(verdict, detail)
        self._on_done(self)

    def _set_verdict(self, verdict, detail):
        self.verdict = verdict
        self.detail = detail
        self.ended_ms = self._clock.now_ms()
        self.server.outstanding -= 1
        if self._counted_overdue:
            self.server.overdue -= 1
        if self._rollout is not None:
            self._report_to_rollout(verdict)

    def _report_to_rollout(self, verdict):
        """Report the end to the rollout of the service.

        An answer that was not waited for counts with its time so far, if that is long.
        """
        rollout, self._rollout = self._rollout, None
        work_ms = None
        if self.sent:
            work_ms = self.ended_ms - self._exchange.sent_ms - self.server.rtt_ms
            # A request that was cancelled early says nothing of the server's time.
            is_slow = work_ms > self._timing.slow_work_ms()
            if verdict is not Verdict.ANSWER and not (
                is_slow and self.detail == CANCELLED
            ):
                work_ms = None
        is_failure = verdict is Verdict.FAILURE
        sent = verdict is not Verdict.UNSENT
        self._rollouts.attempt_ended(rollout, self, sent, is_failure, work_ms)


def leaving_servers(attempts):
    """Return ``[server_id, started_ms]`` for servers whose answers say they leave."""
    return [
        [attempt.server.server_id, attempt.server.entry.started_ms]
        for attempt in attempts
        if attempt.metadata.leaving
    ]


def classify(response, metadata):
    """Return the verdict on a response, and a reason unless it is an answer.

    >>> from hemlockspoke.http1.messages import Response
    >>> from hemlockspoke.tier.codec import ReplyMetadata
    >>> classify(Response(200, [], b""), ReplyMetadata())[0]
    <Verdict.UNKNOWN: 'unknown'>
    """
    if metadata.not_run or response.status == HTTP_MISDIRECTED:
        return Verdict.NOT_RUN, f"status {response.status}"
    if response.header(b"content-encoding") is not None:
        return Verdict.UNKNOWN, "encoded body"
    if 200 <= response.status < 300:
        if metadata.proof is None:
            return Verdict.UNKNOWN, "success without proof"
        return Verdict.ANSWER, ""
    return Verdict.FAILURE, f"status {response.status}"
