"""One request sent to one server, and what is known of it afterwards."""

from enum import Enum

from hemlockspoke.http1.connection import Exchange, Loss
from hemlockspoke.http1.messages import request_head, request_tail

HTTP_MISDIRECTED = 421


class Verdict(Enum):
    """What came of an attempt; only the first three tell whether it has run."""

    # The server's complete success, with its proof.
    ANSWER = "answer"
    # The server's own failure: it has run.
    FAILURE = "failure"
    # The server says that it did not run the request, and will not.
    NOT_RUN = "not_run"
    # No byte was sent.
    UNSENT = "unsent"
    # Sent, but the response is lost, damaged or belongs to another request.
    UNKNOWN = "unknown"


class Work:
    """What is sent to a server for one request of a caller.

    ``deadline_ms`` is the time of the clock until which the caller waits.
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
            http.headers,
            http.body,
            request.attempt_id,
            request.caller_deadline_ms,
            idempotent,
        )

    def encode(self, codec, remaining_ms, server_id):
        """Return the bytes for one server; a query is encoded for many in turn."""
        if self._head is None:
            forwarded = codec.forwarded_headers(self.headers)
            self._head = request_head(self.method, self.target, forwarded)
        headers = codec.server_headers(remaining_ms, server_id)
        return self._head + request_tail(self.method, headers, self.body)


class Attempt:
    """One attempt at one upstream; ``on_done(attempt)`` is called at its end."""

    __slots__ = (
        "_clock",
        "_codec",
        "_directory",
        "_exchange",
        "_on_done",
        "_overdue",
        "_timing",
        "_work",
        "detail",
        "ended_ms",
        "extra",
        "marks",
        "response",
        "started_ms",
        "upstream",
        "verdict",
    )

    def __init__(self, tier, upstream, work, timing, extra, on_done):
        self._clock = tier.clock
        self._codec = tier.codec
        self._directory = tier.directory
        self._work = work
        self._timing = timing
        self._on_done = on_done
        self._overdue = False
        self.upstream = upstream
        self.extra = extra
        self.verdict = None
        self.detail = ""
        self.response = None
        self.marks = None
        self.started_ms = tier.clock.now_ms()
        self.ended_ms = None
        self._exchange = Exchange(
            self._encode,
            self._responded,
            self._lost,
            fresh_only=not work.idempotent,
            head_only=work.method == b"HEAD",
        )

    def start(self):
        """Send the request as soon as a connection is free."""
        self.upstream.outstanding += 1
        self.upstream.note_send(self.started_ms)
        self.upstream.pool.submit(self._exchange)

    @property
    def sent(self):
        """Return whether bytes of the request may have left."""
        return self._exchange.sent_ms is not None

    @property
    def in_flight(self):
        """Return whether the attempt has not ended."""
        return self.verdict is None

    def holds_request(self):
        """Return whether the server has the request, or has failed it."""
        return self.verdict in (None, Verdict.UNKNOWN, Verdict.FAILURE)

    def mark_overdue(self):
        """Count the attempt against its server until it ends."""
        if self.in_flight and not self._overdue:
            self._overdue = True
            self.upstream.overdue += 1

    def cancel(self):
        """End the attempt without a result."""
        if self.in_flight:
            sent = self.sent
            self._exchange.cancel()
            self._settle(Verdict.UNKNOWN if sent else Verdict.UNSENT, "cancelled")
            if sent and self._overdue:
                self._note_unanswered()

    def _note_unanswered(self):
        """Count an attempt that nobody waited for any longer."""
        now_ms = self._clock.now_ms()
        upstream = self.upstream
        upstream.note_result(now_ms, failed=True)
        waited_ms = now_ms - self._exchange.sent_ms
        usual_ms = self._timing.usual_work_ms
        if waited_ms > upstream.answer_ms(now_ms, usual_ms):
            upstream.note_latency(now_ms, waited_ms, usual_ms)

    def elapsed_ms(self):
        """Return how long the attempt took or has taken."""
        end_ms = self._clock.now_ms() if self.ended_ms is None else self.ended_ms
        return end_ms - self.started_ms

    def _encode(self):
        work = self._work
        remaining_ms = work.deadline_ms - self._clock.now_ms()
        return work.encode(self._codec, remaining_ms, self.upstream.server_id)

    def _responded(self, response):
        self.response = response
        self.marks = self._codec.read_reply(response)
        verdict, detail = classify(response, self.marks, self._work.attempt_id)
        now_ms = self._clock.now_ms()
        upstream = self.upstream
        if response.status == HTTP_MISDIRECTED:
            self._directory.misdirected(upstream, self.marks.server_id)
        upstream.note_result(now_ms, failed=verdict is not Verdict.ANSWER)
        if verdict is Verdict.ANSWER:
            self._note_latency(now_ms)
        self._finish(verdict, detail)

    def _note_latency(self, now_ms):
        upstream = self.upstream
        upstream.note_handshake()
        latency_ms = now_ms - self._exchange.sent_ms
        usual_ms = self._timing.usual_work_ms
        upstream.note_latency(now_ms, latency_ms, usual_ms)
        self._timing.note_work(latency_ms - upstream.rtt_ms)

    def _lost(self, loss, detail):
        unsent = loss is Loss.UNSENT
        now_ms = self._clock.now_ms()
        self.upstream.note_result(now_ms, failed=True, weight=0.6 if unsent else 0.3)
        self._finish(Verdict.UNSENT if unsent else Verdict.UNKNOWN, detail)

    def _finish(self, verdict, detail):
        self._settle(verdict, detail)
        self._on_done(self)

    def _settle(self, verdict, detail):
        self.verdict = verdict
        self.detail = detail
        self.ended_ms = self._clock.now_ms()
        self.upstream.outstanding -= 1
        if self._overdue:
            self.upstream.overdue -= 1


def classify(response, marks, attempt_id):
    """Return the verdict on a response and a reason where it is not an answer.

    >>> from hemlockspoke.http1.messages import Response
    >>> from hemlockspoke.tier.codec import ReplyMarks
    >>> classify(Response(200, [], b""), ReplyMarks(), b"a1")[0]
    <Verdict.UNKNOWN: 'unknown'>
    """
    if marks.attempt_id is not None and marks.attempt_id != attempt_id:
        return Verdict.UNKNOWN, "response to another attempt"
    if marks.not_run or response.status == HTTP_MISDIRECTED:
        return Verdict.NOT_RUN, f"status {response.status}"
    if response.header(b"content-encoding") is not None:
        return Verdict.UNKNOWN, "encoded body"
    if 200 <= response.status < 300:
        if marks.proof is None:
            return Verdict.UNKNOWN, "success without proof"
        return Verdict.ANSWER, ""
    return Verdict.FAILURE, f"status {response.status}"
