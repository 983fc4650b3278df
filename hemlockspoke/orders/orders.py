"""Order engine: runs each order at most once.

An order is claimed in the store before it is sent, and it is sent once. Once any of
its bytes may have left the holder, it is never sent again, and its outcome is unknown
until an answer arrives. ``not_run`` is only reported if the order was not sent and
cannot be sent later, or if the upstream has reported that it did not run the order.
"""

import logging
import uuid

from expression import Error, Ok
from twisted.internet.defer import Deferred, ensureDeferred

from hemlockspoke.errors import StoreErrorKind
from hemlockspoke.messages import AttemptAnswer, AttemptQuery, OrderSend
from hemlockspoke.orders import order_claims
from hemlockspoke.orders.order_attempt import (
    FINAL_STATES,
    Attempt,
    AttemptState,
    in_progress,
    key_reused,
    not_run,
    unknown_outcome,
)
from hemlockspoke.orders.order_replies import PendingReplies, Reply
from hemlockspoke.requests import OrderResult

logger = logging.getLogger(__name__)

ATTEMPT_QUERY_TIMEOUT_MS = 1_000
IN_PROGRESS_POLL_MS = 200
# Maximum delay of an answer to the caller until the outcome is stored.
MAX_RECORD_WAIT_MS = 500
# Limits the memory for attempts whose claim or outcome is not yet stored.
MAX_UNSETTLED_ATTEMPTS = 10_000

STATE_BY_REPLY_STATUS = {
    "done": AttemptState.DONE,
    "not_run": AttemptState.NOT_RUN,
    "unknown": AttemptState.UNKNOWN,
}
RECORD_STATE_BY_STATE = {
    AttemptState.DONE: order_claims.DONE,
    AttemptState.NOT_SENT: order_claims.NOT_SENT,
    AttemptState.NOT_RUN: order_claims.NOT_SENT,
    AttemptState.UNKNOWN: order_claims.UNKNOWN,
}


class OrderEngine:
    """Runs the orders that callers have sent to this VM.

    ``send(vm, message)`` returns false if there is no stream to the VM.
    ``incarnation()`` returns that of this process.
    """

    __slots__ = (
        "_attempts",
        "_claims",
        "_clock",
        "_configuration",
        "_incarnation",
        "_invariants",
        "_metrics",
        "_replies",
        "_router",
        "_running_count",
        "_send",
        "_timings",
        "_vm",
        "_waits",
    )

    def __init__(
        self,
        clock,
        configuration,
        router,
        claims,
        send,
        vm,
        incarnation,
        metrics,
        invariants,
        timings,
    ):
        self._clock = clock
        self._configuration = configuration
        self._router = router
        self._claims = claims
        self._send = send
        self._vm = vm
        self._incarnation = incarnation
        self._metrics = metrics
        self._invariants = invariants
        self._timings = timings
        self._attempts = {}
        self._replies = PendingReplies(clock, metrics, self._record_late_answer)
        self._running_count = 0
        # Deferreds of the waits that have a time limit.
        self._waits = set()

    def in_flight(self):
        """Return the number of orders of callers that are in progress."""
        return self._running_count

    def unsettled(self):
        """Return the number of attempts whose claim or outcome is not yet stored."""
        return len(self._attempts)

    def run(self, request):
        """Run an order; return a deferred of ``Result[OrderResult, Problem]``."""
        self._running_count += 1
        done = ensureDeferred(self._run(request))
        done.addBoth(self._order_finished)
        return done

    def give_up_all(self):
        """End all waits now, so that each order is answered with what is known."""
        now_ms = self._clock.now_ms()
        for attempt in self._attempts.values():
            attempt.deadline_ms = min(attempt.deadline_ms, now_ms)
        for waiting in list(self._waits):
            _fire_once(waiting)
        self._replies.time_out_all()

    def _order_finished(self, result):
        self._running_count -= 1
        return result

    async def _run(self, request):
        document = self._configuration.document(request.service)
        if document is None or request.order not in document.orders:
            detail = f"no order {request.order!r} in service {request.service!r}"
            return Error(not_run(detail, "order-not-found", 404, None))
        if len(self._attempts) >= MAX_UNSETTLED_ATTEMPTS:
            return Error(not_run("too many orders are in progress or not yet recorded"))
        attempt = self._new_attempt(request, document.orders[request.order])
        return await self._claim_and_send(attempt, supersedes=None)

    def _new_attempt(self, request, endpoint):
        allowed_ms = request.deadline_ms or endpoint.deadline_ms
        attempt = Attempt(
            uuid.uuid4().hex,
            request,
            order_claims.key_hash(request.service, request.idempotency_key),
            self._clock.now_ms() + allowed_ms - self._timings.answer_margin_ms,
        )
        self._attempts[attempt.attempt_id] = attempt
        return attempt

    async def _claim_and_send(self, attempt, supersedes):
        claim = await self._claim_before_deadline(attempt, supersedes)
        if claim is None or claim.is_error():
            if supersedes is not None or self._may_have_run(attempt):
                return self._refuse_repeated(attempt)
            return self._refuse_unclaimed(attempt, claim)
        if not claim.ok.granted:
            return await self._answer_from_record(attempt, claim.ok.record)
        if attempt.state is AttemptState.CLAIMING:
            attempt.state = AttemptState.CLAIMED
        await self._send_once(attempt)
        return await self._answer_caller(attempt)

    async def _claim_before_deadline(self, attempt, supersedes):
        """Return the result of the claim, or None if the deadline passes first."""
        request = attempt.request
        record = order_claims.ClaimRecord(
            attempt.key_hash,
            request.service,
            order_claims.body_hash(request.order, request.body),
            attempt.attempt_id,
            self._vm,
            self._incarnation(),
            self._clock.wall_ms(),
        )
        remaining_ms = self._remaining_ms(attempt)
        return await self._wait_at_most(
            remaining_ms, self._claims.claim(record, supersedes)
        )

    async def _wait_at_most(self, timeout_ms, deferred):
        """Return the result of a deferred, or None if it does not fire in time."""
        waiting = Deferred()
        self._waits.add(waiting)
        timer = self._clock.call_later(max(0.0, timeout_ms), _fire_once, waiting)
        deferred.addCallback(lambda result: _fire_once(waiting, result))
        result = await waiting
        self._waits.discard(waiting)
        timer.cancel()
        return result

    def _may_have_run(self, attempt):
        """Return whether this VM may have sent an order with the same key before."""
        sent_states = (AttemptState.SENT, AttemptState.DONE, AttemptState.UNKNOWN)
        return any(
            other.key_hash == attempt.key_hash and other.state in sent_states
            for other in self._attempts.values()
        )

    def _refuse_unclaimed(self, attempt, claim):
        """Refuse an order whose claim has failed or was not answered in time.

        The claim may still be in the store, so it is marked as not sent as soon as the
        store is available. Until then, this VM confirms to other VMs that the order
        was not sent.
        """
        attempt.settle(AttemptState.NOT_SENT)
        if claim is not None and claim.error.kind is StoreErrorKind.UNAVAILABLE:
            self._attempts.pop(attempt.attempt_id, None)
        else:
            self._record_outcome(attempt)
        self._metrics.count("orders.not_run")
        detail = "the order could not be claimed in the platform's store in time"
        return Error(not_run(detail, "store-unavailable"))

    async def _send_once(self, attempt):
        """Ask the holders one after another, until one may have sent the order."""
        choices = self._router.order_servers(
            attempt.request.service, attempt.request.order
        )
        for server, holder_vm in choices:
            reply = await self._send_through(attempt, server, holder_vm)
            attempt.detail = f"{server} through {holder_vm}: {reply.detail}"
            if reply.status == "not_sent":
                attempt.state = AttemptState.CLAIMED
                continue
            state = STATE_BY_REPLY_STATUS.get(reply.status, AttemptState.UNKNOWN)
            attempt.settle(state, reply.result)
            return
        attempt.settle(AttemptState.NOT_SENT)

    async def _send_through(self, attempt, server, holder_vm):
        remaining_ms = self._remaining_ms(attempt)
        if remaining_ms <= 0:
            return Reply("not_sent", detail="the deadline has passed")
        if not self._invariants.check(
            "order.sent_at_most_once", attempt.may_send(), attempt.attempt_id
        ):
            return Reply("unknown")
        request_id = uuid.uuid4().hex
        message = OrderSend(
            request_id=request_id,
            service=attempt.request.service,
            server=server,
            idempotency_key=attempt.request.idempotency_key,
            remaining_ms=remaining_ms,
            traceparent=attempt.request.traceparent,
            body=attempt.request.body,
        )
        attempt.state = AttemptState.SENT
        if not self._send(holder_vm, message):
            return Reply("not_sent", detail="no stream to the holder")
        return await self._replies.wait(request_id, holder_vm, remaining_ms, attempt)

    def receive(self, vm, message):
        """Handle an ``OrderAnswer`` or ``AttemptAnswer`` from another VM."""
        self._replies.receive(vm, message)

    def peer_lost(self, vm):
        """End the requests that are waiting for answers on a lost stream."""
        self._replies.peer_lost(vm)

    def _record_late_answer(self, attempt, message):
        """Record an outcome that has arrived after the caller was answered."""
        state = STATE_BY_REPLY_STATUS.get(message.status, AttemptState.UNKNOWN)
        if message.status == "not_sent":
            # An UNKNOWN attempt can become NOT_RUN, but not NOT_SENT.
            state = AttemptState.NOT_RUN
        if attempt.settle(state, message.result):
            self._metrics.count("orders.late_answer")
            self._attempts[attempt.attempt_id] = attempt
            self._record_outcome(attempt)

    async def _answer_caller(self, attempt):
        recorded = self._record_outcome(attempt)
        await self._wait_until_recorded(attempt, recorded)
        self._metrics.count(f"orders.{attempt.state.value}")
        if attempt.state is AttemptState.DONE:
            return Ok(OrderResult(attempt.result))
        if attempt.state in (AttemptState.NOT_SENT, AttemptState.NOT_RUN):
            detail = f"no upstream has run the order; last: {attempt.detail}"
            return Error(not_run(detail))
        return Error(unknown_outcome("no answer to the order has arrived in time"))

    def _record_outcome(self, attempt):
        """Write a final state; the attempt is kept in memory until it is stored."""
        state = RECORD_STATE_BY_STATE[attempt.state]
        recorded = self._claims.finish(
            attempt.key_hash, attempt.attempt_id, state, attempt.result
        )
        recorded.addCallback(self._outcome_stored, attempt, attempt.state)
        return recorded

    def _outcome_stored(self, result, attempt, state):
        # A late answer may have changed the state, which is then being written again.
        if attempt.state is state:
            self._attempts.pop(attempt.attempt_id, None)
        return result

    async def _wait_until_recorded(self, attempt, recorded):
        wait_ms = min(MAX_RECORD_WAIT_MS, self._remaining_ms(attempt))
        await self._wait_at_most(wait_ms, recorded)

    async def _answer_from_record(self, attempt, record):
        """Answer a request with a repeated key from the earlier attempt's record."""
        request = attempt.request
        if record.body_hash != order_claims.body_hash(request.order, request.body):
            return self._discard(attempt, Error(key_reused()))
        if record.state == order_claims.DONE:
            return self._discard(attempt, Ok(OrderResult(record.result, replayed=True)))
        if record.state == order_claims.UNKNOWN:
            detail = "the outcome of an earlier request with this key is unknown"
            return self._discard(attempt, Error(unknown_outcome(detail)))
        return await self._resolve_from_claimant(attempt, record)

    def _discard(self, attempt, answer):
        """Remove an attempt without a claim and return ``answer``."""
        self._attempts.pop(attempt.attempt_id, None)
        return answer

    async def _resolve_from_claimant(self, attempt, record):
        """Ask the VM of the earlier attempt for its outcome and answer from it."""
        while True:
            reply = await self._ask_for_attempt(attempt, record)
            if reply.status == "done":
                result = OrderResult(reply.result, replayed=True)
                return self._discard(attempt, Ok(result))
            if reply.status in ("not_sent", "not_run"):
                return await self._claim_and_send(attempt, record.attempt)
            if reply.status != "in_progress":
                return await self._claim_again(attempt, record)
            if self._remaining_ms(attempt) <= IN_PROGRESS_POLL_MS:
                return self._discard(attempt, Error(in_progress()))
            await self._wait_at_most(IN_PROGRESS_POLL_MS, Deferred())
            if self._remaining_ms(attempt) <= 0:
                return self._discard(attempt, Error(in_progress()))

    async def _ask_for_attempt(self, attempt, record):
        if record.vm == self._vm:
            return self._local_attempt_reply(record.attempt)
        request_id = uuid.uuid4().hex
        query = AttemptQuery(request_id=request_id, attempt=record.attempt)
        if not self._send(record.vm, query):
            return Reply("lost")
        timeout_ms = min(ATTEMPT_QUERY_TIMEOUT_MS, self._remaining_ms(attempt))
        return await self._replies.wait(request_id, record.vm, timeout_ms)

    async def _claim_again(self, attempt, record):
        """Claim the key once more, because the outcome may have been stored since."""
        claim = await self._claim_before_deadline(attempt, supersedes=None)
        if claim is None or claim.is_error():
            return self._refuse_repeated(attempt)
        if claim.ok.granted:
            attempt.state = AttemptState.CLAIMED
            await self._send_once(attempt)
            return await self._answer_caller(attempt)
        if claim.ok.record.state == order_claims.DONE:
            result = OrderResult(claim.ok.record.result, replayed=True)
            return self._discard(attempt, Ok(result))
        detail = f"the attempt of VM {record.vm} has not reported its outcome"
        return self._discard(attempt, Error(unknown_outcome(detail)))

    def _refuse_repeated(self, attempt):
        """Report an unknown outcome, because the earlier attempt may have run."""
        attempt.settle(AttemptState.NOT_SENT)
        self._record_outcome(attempt)
        return Error(
            unknown_outcome("the platform's store has not confirmed the claim")
        )

    def _local_attempt_reply(self, attempt_id):
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return Reply("unknown")
        if attempt.state in FINAL_STATES:
            return Reply(attempt.state.value, attempt.result)
        return Reply("in_progress")

    def answer_attempt(self, vm, message):
        """Answer the query of another VM about an attempt of this VM."""
        reply = self._local_attempt_reply(message.attempt)
        answer = AttemptAnswer(
            request_id=message.request_id,
            attempt=message.attempt,
            status=reply.status,
            result=reply.result,
        )
        self._send(vm, answer)

    def _remaining_ms(self, attempt):
        return attempt.deadline_ms - self._clock.now_ms()


def _fire_once(waiting, result=None):
    """Fire a deferred unless it has fired already."""
    if not waiting.called:
        waiting.callback(result)
