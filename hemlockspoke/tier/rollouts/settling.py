"""Writes the states of an order to the store, and repeats a call until it is known.

Answers the load of two writes for each order, by one daemon unless that cannot reach
the store.
"""

import logging

from hemlockspoke.tier.rollouts.order import RUNNING_STATE, Phase

logger = logging.getLogger(__name__)

# A failed call is repeated after this time, and so is one whose reply was lost: the
# revision keeps it from taking effect twice.
RETRY_MS = 400.0
# Each further collecting daemon writes by itself this much later, in case the decider
# cannot reach the store. That allows for one call that times out.
TAKEOVER_MS = 1500.0
# An attempt to write that an order is running is repeated after this time, which is
# longer than a call that times out, and only in this part of the time budget: a call
# that takes effect late changes the revision, which the end needs as its condition.
RUNNING_RETRY_MS = 1500.0
RUNNING_FRACTION = 0.25


class WriteOutcome:
    """The reply to a write: whether it took effect, and the object if it was returned.

    ``order`` is the ``Order`` that the store has now, or None if it is unknown.
    """

    __slots__ = ("detail", "order", "written")

    def __init__(self, written, order=None, detail=""):
        self.written = written
        self.order = order
        self.detail = detail


class Settling:
    """Writes that an order is running, and its end.

    ``write_status(order, state, on_written)`` sends one call and passes a
    ``WriteOutcome``. Its condition is the order's revision: of two calls that are under
    way at once only the first takes effect, so ``running`` does not follow the end of
    an order, however late it arrives. ``adopt(order)`` gets what the store has, also
    after a conflict: if the order is still open its end is written again at the new
    revision, if it has ended or was replaced there is nothing to write.
    ``tell(rollout)`` is called when this daemon has written the end.
    """

    __slots__ = ("_adopt", "_clock", "_tell", "write_status")

    def __init__(self, clock, write_status, adopt, tell):
        self._clock = clock
        self._adopt = adopt
        self._tell = tell
        self.write_status = write_status

    def note_running(self, rollout):
        """Write that an order is running, unless the store shows it or it is decided.

        The call holds up nothing: the end is written beside it.
        """
        now_ms = self._clock.now_ms()
        order, phase = rollout.order, rollout.phase(now_ms)
        if order.is_running or order.final_phase is not None:
            return
        if phase is not Phase.SAMPLING or now_ms < rollout.running_at_ms:
            return
        elapsed_ms = now_ms - rollout.seen_ms
        is_late = elapsed_ms > RUNNING_FRACTION * order.duration_ms
        if self.write_status is None or (is_late and rollout.running_at_ms):
            return
        rollout.running_at_ms = now_ms + RUNNING_RETRY_MS
        self.write_status(
            order, RUNNING_STATE, lambda outcome: self._on_noted(rollout, outcome)
        )

    def check(self, rollout, position):
        """Write the end of an order if it is decided and this daemon's turn.

        ``position`` is that among the collecting daemons, 0 for the decider.
        """
        now_ms = self._clock.now_ms()
        phase = rollout.phase(now_ms)
        # An order that is open in the store although it was completed has lost its end.
        if phase not in (Phase.COMPLETING, Phase.COMPLETED, Phase.ROLLED_BACK):
            rollout.settled_ms = None
            return
        if rollout.settled_ms is None:
            rollout.settled_ms = now_ms
        is_due = now_ms >= rollout.settled_ms + position * TAKEOVER_MS
        if not is_due or rollout.writing or now_ms < rollout.write_at_ms:
            return
        if self.write_status is None:
            return
        rollout.writing = True
        final = Phase.ROLLED_BACK if phase is Phase.ROLLED_BACK else Phase.COMPLETED
        self.write_status(
            rollout.order,
            final.value,
            lambda outcome: self._on_written(rollout, outcome),
        )

    def _on_noted(self, rollout, outcome):
        if outcome.order is not None:
            self._adopt_stored(rollout, outcome.order)
        elif not outcome.written:
            _log_failure(rollout, outcome)

    def _on_written(self, rollout, outcome):
        rollout.writing = False
        rollout.write_at_ms = self._clock.now_ms() + RETRY_MS
        if outcome.order is not None:
            is_newer = outcome.order.position > rollout.order.position
            if self._adopt_stored(rollout, outcome.order) and is_newer:
                # Its condition was out of date, for instance since ``running`` was
                # written, and this one is not.
                rollout.write_at_ms = 0.0
        if outcome.written:
            self._tell(rollout)
        elif outcome.order is None:
            _log_failure(rollout, outcome)

    def _adopt_stored(self, rollout, order):
        """Adopt what the store has, unless the list of a new era decides on it.

        Return whether it was adopted.
        """
        if order.era > rollout.order.era and not order.same_spec(rollout.order):
            return False
        self._adopt(order)
        return True


def _log_failure(rollout, outcome):
    logger.warning(
        "rollout status not written",
        extra={"service": rollout.order.service, "reason": outcome.detail},
    )
