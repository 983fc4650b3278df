"""One attempt at an order: its states and what may be said in each."""

from enum import Enum

from hemlockspoke.errors import Outcome, Problem

RETRY_AFTER_MS = 1_000


class AttemptState(Enum):
    """Where an attempt stands; it only moves forward."""

    # The claim is being written; nothing has been sent.
    CLAIMING = "claiming"
    # The claim is ours; nothing has been sent or the holder has not sent it.
    CLAIMED = "claimed"
    # A holder has been asked to send; the order may have run.
    SENT = "sent"
    DONE = "done"
    # Nothing has been sent and nothing ever will be.
    NOT_SENT = "not_sent"
    # The upstream has said that it did not run the order.
    NOT_RUN = "not_run"
    # Nothing more can be learned.
    UNKNOWN = "unknown"


FINAL_STATES = {
    AttemptState.DONE,
    AttemptState.NOT_SENT,
    AttemptState.NOT_RUN,
    AttemptState.UNKNOWN,
}


class Attempt:
    """One attempt of this VM to run one order."""

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
        """Tell whether the order may be sent: claimed and never sent."""
        return self.state is AttemptState.CLAIMED

    def settle(self, state, result=None):
        """Move to a final state; a final state is never left.

        The exception is a late answer that decides an unknown attempt.
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
    """Return the problem of an order that has not run and never will."""
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
    """Return the problem of a key that came with another order before."""
    return Problem(
        "idempotency-key-reused",
        422,
        "The idempotency key was used for another order",
        Outcome.NOT_RUN,
        "this order was not run; send it with a key of its own",
    )
