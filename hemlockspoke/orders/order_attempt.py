"""One attempt to run an order: its states and the problems of orders."""

from enum import Enum

from hemlockspoke.errors import Outcome, Problem

RETRY_AFTER_MS = 1_000


class AttemptState(Enum):
    """Progress of an attempt, which only moves forward.

    Exceptions: a holder that has not sent an order moves it from SENT back to CLAIMED,
    and a late answer decides an UNKNOWN attempt.
    """

    # The claim is being written; nothing has been sent.
    CLAIMING = "claiming"
    # The store holds the claim of this attempt. No holder was asked to send the order,
    # or each one asked has confirmed that it did not send it.
    CLAIMED = "claimed"
    # A holder was asked to send the order; it may have run.
    SENT = "sent"
    DONE = "done"
    # The order was not sent and never will be.
    NOT_SENT = "not_sent"
    # The upstream has reported that it did not run the order.
    NOT_RUN = "not_run"
    # The order may have run; no further answer is expected.
    UNKNOWN = "unknown"


FINAL_STATES = {
    AttemptState.DONE,
    AttemptState.NOT_SENT,
    AttemptState.NOT_RUN,
    AttemptState.UNKNOWN,
}


class Attempt:
    """One attempt of this VM to run an order.

    ``deadline_ms`` is a monotonic time. ``detail`` is the reason of the latest
    failure, which answers to callers contain.
    """

    __slots__ = (
        "attempt_id",
        "deadline_ms",
        "detail",
        "key_hash",
        "request",
        "result",
        "state",
    )

    def __init__(self, attempt_id, request, key_hash, deadline_ms):
        self.attempt_id = attempt_id
        self.request = request
        self.key_hash = key_hash
        self.deadline_ms = deadline_ms
        self.state = AttemptState.CLAIMING
        self.result = None
        self.detail = "no server takes orders now"

    def may_send(self):
        """Return whether the order may be sent: it is claimed and was not sent."""
        return self.state is AttemptState.CLAIMED

    def settle(self, state, result=None):
        """Move to a final state; return False if the state is final already.

        Only a late answer may still change the final state UNKNOWN.
        """
        late_answer = self.state is AttemptState.UNKNOWN and state in (
            AttemptState.DONE,
            AttemptState.NOT_RUN,
        )
        if self.state in FINAL_STATES and not late_answer:
            return False
        self.state = state
        self.result = result
        return True


def not_run(detail, name="order-not-run", status=503, retry_after_ms=RETRY_AFTER_MS):
    """Return the problem of an order that was not run and never will be."""
    return Problem(
        name,
        status,
        "The order was not run",
        Outcome.NOT_RUN,
        detail,
        retry_after_ms=retry_after_ms,
    )


def unknown_outcome(detail):
    """Return the problem of an order that may have run."""
    return Problem(
        "order-unknown",
        504,
        "It is not known whether the order was run",
        Outcome.UNKNOWN,
        detail,
    )


def in_progress():
    """Return the problem of an order that another request is running."""
    return Problem(
        "order-in-progress",
        409,
        "An earlier request with this key is in progress",
        Outcome.UNKNOWN,
        "repeat the request with the same key later",
        retry_after_ms=RETRY_AFTER_MS,
    )


def key_reused():
    """Return the problem of an idempotency key already used for another order."""
    return Problem(
        "idempotency-key-reused",
        422,
        "The idempotency key was used for another order",
        Outcome.NOT_RUN,
        "this order was not run; send it with a key of its own",
    )
