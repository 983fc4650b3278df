"""Sub-queries and orders that a holder sends to its servers."""

import logging

from expression import Error

from hemlockspoke.errors import UpstreamError
from hemlockspoke.errors import UpstreamErrorKind as Kind
from hemlockspoke.messages import SubStatus
from hemlockspoke.ports import UpstreamRequest

logger = logging.getLogger(__name__)

# One more try after a silent connection; a second silence is the server's.
MAX_TRIES = 2

SUB_STATUSES = {
    Kind.SHED: SubStatus.SHED,
    Kind.DRAINING: SubStatus.DRAINING,
    Kind.VERSION_GONE: SubStatus.VERSION_GONE,
}


def log_defect(failure):
    """Log an exception that only a defect can cause."""
    logger.error("defect in the holder", extra={"failure": failure.getTraceback()})


class Work:
    """One request on its way through the gate of a server.

    ``ended(work)`` is called once, when nothing more will happen.
    """

    __slots__ = (
        "_cancelled",
        "_clock",
        "_deferred",
        "_ended",
        "_epoch",
        "_sent_ms",
        "deadline_ms",
        "held",
        "queue_timer",
        "service",
    )

    def __init__(self, clock, held, service, remaining_ms, ended):
        self._clock = clock
        self._ended = ended
        self._cancelled = False
        self._deferred = None
        self._epoch = None
        self._sent_ms = None
        self.held = held
        self.service = service
        self.deadline_ms = clock.now_ms() + remaining_ms
        self.queue_timer = None

    def start(self):
        """Hand the request to the client; the gate has given a slot."""
        self._sent_ms = None
        request = self._request(self.deadline_ms - self._clock.now_ms())
        call = self._call(request)
        # Set first, as the call may have ended already.
        self._deferred = call
        call.addErrback(self._defect)
        call.addCallback(self._finish)
        call.addErrback(log_defect)

    def refuse(self, detail):
        """End work that the gate has not started."""
        self._answer_refused(detail)
        self._ended(self)

    def cancel(self):
        """Drop the work: it is not sent any more, or its connection is closed."""
        self._cancelled = True
        if self.held.gate.remove(self):
            self.refuse("cancelled")
        elif self._deferred is not None:
            self._deferred.cancel()

    def withdraw(self):
        """Refuse the work if it still waits, and let it go on if it was sent."""
        if self._sent_ms is None:
            self._cancelled = True
        if self.held.gate.remove(self):
            self.refuse("withdrawn")

    def _may_send(self):
        if self._cancelled or self._clock.now_ms() >= self.deadline_ms:
            return False
        if not self.held.may_send():
            return False
        self._sent_ms = self._clock.now_ms()
        self._epoch = self.held.cold_start.epoch
        return True

    def _defect(self, failure):
        logger.error("a request has failed", extra={"failure": str(failure)})
        sent = self._sent_ms is not None
        return Error(UpstreamError(Kind.FAILED, sent, str(failure.value)))

    def _finish(self, result):
        self._deferred = None
        sent = self._sent_ms is not None
        self.held.gate.release(sent)
        self._judge(result, sent)
        if not self._try_again(result):
            self._answer(result, sent)
            self._ended(self)
        self.held.gate.pump()

    def _judge(self, result, sent):
        if not sent:
            if result.is_error() and result.error.kind is Kind.REFUSED:
                self.held.note_refused_connection()
            return
        latency_ms = self._clock.now_ms() - self._sent_ms
        if result.is_ok():
            self.held.note_reply(result.ok.incarnation, self._epoch, latency_ms)
        else:
            self.held.note_error(result.error, self._epoch, latency_ms)

    def _try_again(self, _result):
        return False

    def _request(self, remaining_ms):
        raise NotImplementedError

    def _call(self, request):
        raise NotImplementedError

    def _answer(self, result, sent):
        raise NotImplementedError

    def _answer_refused(self, detail):
        raise NotImplementedError


class SubQuery(Work):
    """A sub-query for some parts; ``answer(sub_id, status, version, parts, size)``."""

    __slots__ = ("_answer_with", "_batch", "_parts", "_tries", "sub_id")

    def __init__(self, clock, held, batch, item, answer, ended):
        super().__init__(clock, held, batch.service, batch.remaining_ms, ended)
        self.sub_id, _, self._parts = item
        self._batch = batch
        self._answer_with = answer
        self._tries = 0

    def _request(self, remaining_ms):
        batch = self._batch
        self._tries += 1
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

    def _call(self, request):
        return self.held.client.query(request)

    def _try_again(self, result):
        if self._cancelled or result.is_ok() or result.error.kind is not Kind.STALLED:
            return False
        if self._tries >= MAX_TRIES or self._clock.now_ms() >= self.deadline_ms:
            return False
        self.held.submit(self, first=True)
        return True

    def _answer(self, result, sent):
        if result.is_ok():
            reply = result.ok
            wanted = {str(part) for part in self._parts}
            parts = {p: rows for p, rows in reply.parts.items() if p in wanted}
            self._reply(SubStatus.OK, reply.version, parts, reply.size_bytes)
            return
        error = result.error
        if error.kind is Kind.VERSION_GONE:
            batch = self._batch
            self.held.note_version_gone(
                batch.index, batch.version, self._parts, error.indexes
            )
        if sent:
            self._reply(SUB_STATUSES.get(error.kind, SubStatus.FAILED))
        elif error.kind is Kind.REFUSED and self._tries == 1:
            self._reply(SubStatus.UNREACHABLE)
        else:
            self._reply(self._unsent_status(self._tries - 1))

    def _answer_refused(self, _detail):
        self._reply(self._unsent_status(self._tries))

    @staticmethod
    def _unsent_status(earlier_tries):
        # After a first try that was sent, "refused" would say that none was.
        return SubStatus.FAILED if earlier_tries else SubStatus.REFUSED

    def _reply(self, status, version=None, parts=None, size_bytes=0):
        if self._cancelled:
            return
        version = self._batch.version if version is None else version
        self._answer_with(self.sub_id, status, version, parts or {}, size_bytes)


class OrderWork(Work):
    """An order, which is sent once; ``answer(status, result, detail)``."""

    __slots__ = ("_answer_with", "_message")

    def __init__(self, clock, held, message, answer, ended):
        super().__init__(clock, held, message.service, message.remaining_ms, ended)
        self._message = message
        self._answer_with = answer

    def _request(self, remaining_ms):
        message = self._message
        return UpstreamRequest(
            message.request_id,
            message.body,
            remaining_ms,
            message.traceparent,
            message.idempotency_key,
            self._may_send,
        )

    def _call(self, request):
        return self.held.client.order(request)

    def _answer(self, result, sent):
        if result.is_ok():
            self._answer_with("done", result.ok.result, "")
        elif not sent and not result.error.sent:
            self._answer_with("not_sent", None, result.error.detail)
        elif result.error.kind in (Kind.SHED, Kind.DRAINING):
            self._answer_with("not_run", None, result.error.detail)
        else:
            self._answer_with("unknown", None, result.error.detail)

    def _answer_refused(self, detail):
        self._answer_with("not_sent", None, detail)
