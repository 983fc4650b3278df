"""Sub-queries and orders that a holder sends to its servers."""

import logging

from expression import Error

from hemlockspoke.errors import UpstreamError
from hemlockspoke.errors import UpstreamErrorKind as Kind
from hemlockspoke.messages import SubQueryStatus
from hemlockspoke.ports import UpstreamRequest

logger = logging.getLogger(__name__)

# A sub-query is retried once if its connection stalls (no response arrives). If the
# second attempt stalls as well, the server is at fault and not the connection.
MAX_ATTEMPTS = 2

STATUS_BY_ERROR_KIND = {
    Kind.SHED: SubQueryStatus.SHED,
    Kind.DRAINING: SubQueryStatus.DRAINING,
    Kind.VERSION_GONE: SubQueryStatus.VERSION_GONE,
}


def log_exception(failure):
    """Log an exception that was not expected."""
    logger.error("defect in the holder", extra={"failure": failure.getTraceback()})


class Work:
    """One request to a server, started by the server's gate.

    ``on_end(work)`` is called once, after the request has been answered or refused.
    """

    __slots__ = (
        "_cancelled",
        "_clock",
        "_deferred",
        "_epoch",
        "_on_end",
        "_sent_ms",
        "deadline_ms",
        "held_server",
        "queue_timer",
        "service",
    )

    def __init__(self, clock, held_server, service, remaining_ms, on_end):
        self._clock = clock
        self._on_end = on_end
        self._cancelled = False
        self._deferred = None
        self._epoch = None
        self._sent_ms = None
        self.held_server = held_server
        self.service = service
        self.deadline_ms = clock.now_ms() + remaining_ms
        self.queue_timer = None

    def start(self):
        """Pass the request to the client; called by the gate with a slot taken."""
        self._sent_ms = None
        request = self._build_request(self.deadline_ms - self._clock.now_ms())
        call = self._send_request(request)
        # Set before the callbacks are added, as they may run at once.
        self._deferred = call
        call.addErrback(self._failure_result)
        call.addCallback(self._finish)
        call.addErrback(log_exception)

    def refuse(self, detail):
        """Answer and end work that the gate has not started."""
        self._answer_refused(detail)
        self._on_end(self)

    def cancel(self):
        """Cancel the work: it is not sent, or its connection is closed."""
        self._cancelled = True
        if self.held_server.gate.remove(self):
            self.refuse("cancelled")
        elif self._deferred is not None:
            self._deferred.cancel()

    def withdraw(self):
        """Refuse the work if it has not been sent; otherwise let it finish."""
        if self._sent_ms is None:
            self._cancelled = True
        if self.held_server.gate.remove(self):
            self.refuse("withdrawn")

    def _may_send(self):
        if self._cancelled or self._clock.now_ms() >= self.deadline_ms:
            return False
        if not self.held_server.may_send():
            return False
        self._sent_ms = self._clock.now_ms()
        self._epoch = self.held_server.cold_start.epoch
        return True

    def _failure_result(self, failure):
        logger.error("a request has failed", extra={"failure": str(failure)})
        sent = self._sent_ms is not None
        return Error(UpstreamError(Kind.FAILED, sent, str(failure.value)))

    def _finish(self, result):
        self._deferred = None
        sent = self._sent_ms is not None
        self.held_server.gate.release(sent)
        self._record_outcome(result, sent)
        if not self._retry(result):
            self._answer(result, sent)
            self._on_end(self)
        self.held_server.gate.start_queued()

    def _record_outcome(self, result, sent):
        if not sent:
            if result.is_error() and result.error.kind is Kind.REFUSED:
                self.held_server.note_refused_connection()
            return
        latency_ms = self._clock.now_ms() - self._sent_ms
        if result.is_ok():
            self.held_server.note_reply(result.ok.incarnation, self._epoch, latency_ms)
        else:
            self.held_server.note_error(result.error, self._epoch, latency_ms)

    def _retry(self, _result):
        return False

    def _build_request(self, remaining_ms):
        raise NotImplementedError

    def _send_request(self, request):
        raise NotImplementedError

    def _answer(self, result, sent):
        raise NotImplementedError

    def _answer_refused(self, detail):
        raise NotImplementedError


class SubQuery(Work):
    """A sub-query for some parts of an index.

    The answer is passed to ``answer(sub_id, status, version, parts, size_bytes)``.
    """

    __slots__ = ("_attempts", "_batch", "_parts", "_send_answer", "sub_id")

    def __init__(self, clock, held_server, batch, item, answer, on_end):
        super().__init__(clock, held_server, batch.service, batch.remaining_ms, on_end)
        self.sub_id, _, self._parts = item
        self._batch = batch
        self._send_answer = answer
        self._attempts = 0

    def _build_request(self, remaining_ms):
        batch = self._batch
        self._attempts += 1
        body = {
            "index": batch.index,
            "version": batch.version,
            "parts": self._parts,
            "query": batch.query,
        }
        request_id = f"{batch.request_id}/{self.sub_id}"
        return UpstreamRequest(
            request_id, body, remaining_ms, batch.traceparent, None, self._may_send
        )

    def _send_request(self, request):
        return self.held_server.client.query(request)

    def _retry(self, result):
        if self._cancelled or result.is_ok() or result.error.kind is not Kind.STALLED:
            return False
        if self._attempts >= MAX_ATTEMPTS or self._clock.now_ms() >= self.deadline_ms:
            return False
        self.held_server.submit(self, first=True)
        return True

    def _answer(self, result, sent):
        if result.is_ok():
            reply = result.ok
            wanted = {str(part) for part in self._parts}
            parts = {p: rows for p, rows in reply.parts.items() if p in wanted}
            self._reply(SubQueryStatus.OK, reply.version, parts, reply.size_bytes)
            return
        error = result.error
        if error.kind is Kind.VERSION_GONE:
            batch = self._batch
            self.held_server.note_version_gone(
                batch.index, batch.version, self._parts, error.indexes
            )
        if sent:
            self._reply(STATUS_BY_ERROR_KIND.get(error.kind, SubQueryStatus.FAILED))
        elif error.kind is Kind.REFUSED and self._attempts == 1:
            self._reply(SubQueryStatus.UNREACHABLE)
        else:
            self._reply(self._unsent_status(self._attempts - 1))

    def _answer_refused(self, _detail):
        self._reply(self._unsent_status(self._attempts))

    @staticmethod
    def _unsent_status(earlier_attempts):
        # REFUSED says that nothing was sent to the server. After a retry this is
        # wrong, because the first attempt was sent.
        return SubQueryStatus.FAILED if earlier_attempts else SubQueryStatus.REFUSED

    def _reply(self, status, version=None, parts=None, size_bytes=0):
        if self._cancelled:
            return
        version = self._batch.version if version is None else version
        self._send_answer(self.sub_id, status, version, parts or {}, size_bytes)


class OrderWork(Work):
    """An order, which is sent at most once.

    The answer is passed to ``answer(status, result, detail)``.
    """

    __slots__ = ("_message", "_send_answer")

    def __init__(self, clock, held_server, message, answer, on_end):
        super().__init__(
            clock, held_server, message.service, message.remaining_ms, on_end
        )
        self._message = message
        self._send_answer = answer

    def _build_request(self, remaining_ms):
        message = self._message
        return UpstreamRequest(
            message.request_id,
            message.body,
            remaining_ms,
            message.traceparent,
            message.idempotency_key,
            self._may_send,
        )

    def _send_request(self, request):
        return self.held_server.client.order(request)

    def _answer(self, result, sent):
        if result.is_ok():
            self._send_answer("done", result.ok.result, "")
        elif not sent and not result.error.sent:
            self._send_answer("not_sent", None, result.error.detail)
        elif result.error.kind in (Kind.SHED, Kind.DRAINING):
            self._send_answer("not_run", None, result.error.detail)
        else:
            self._send_answer("unknown", None, result.error.detail)

    def _answer_refused(self, detail):
        self._send_answer("not_sent", None, detail)
