"""Decides how far the rollout of one order goes, from what all daemons have seen.

It runs without a network and a store. Answers the load of one order of some seconds to
some minutes, examined every few hundred ms.
"""

from hemlockspoke.tier.rollouts.exposure import MIN_SWITCH_MS
from hemlockspoke.tier.rollouts.order import Phase
from hemlockspoke.tier.rollouts.verdict import judge

# The time budget runs from the store's acknowledgement of the order. A daemon sees it
# later by up to one watch (1.6 s at the platform's bounds) and a relay.
BUDGET_MARGIN_MS = 2000.0
# Part of a short time budget that is used at least.
MIN_BUDGET_FRACTION = 0.5
# Time to write the status, with one repetition of a call that takes long.
WRITE_ALLOWANCE_MS = 400.0
# Requests at old servers that take longer than the switch are waited for so long.
LEAVE_ALLOWANCE_MS = 800.0


class Situation:
    """What a decider knows: a ``Tally`` of all daemons, and the servers.

    ``has_old`` and ``has_target`` are whether the service has had servers of another
    version since the order, and has any of the target version; ``has_warm_target`` is
    whether one of those is in use and not cold. ``old_is_left`` is whether the
    connected daemons have reported that no request is in progress at old servers, and
    ``is_followed`` whether most of them have switched.
    """

    __slots__ = (
        "has_old",
        "has_target",
        "has_warm_target",
        "is_followed",
        "old_is_left",
        "total",
    )

    def __init__(
        self, total, has_old, has_target, has_warm_target, old_is_left, is_followed
    ):
        self.total = total
        self.has_old = has_old
        self.has_target = has_target
        self.has_warm_target = has_warm_target
        self.old_is_left = old_is_left
        self.is_followed = is_followed


class Decider:
    """The state of one order: its phase, and the share of requests to sample.

    ``set_started`` must be called before the first step. ``reason`` says why the phase
    was last changed, and ``total`` is the ``Tally`` that was last examined, or None.
    Once the phase is ``COMPLETING`` or ``ROLLED_BACK`` the decision stands, as it may
    have reached the store.
    """

    __slots__ = (
        "_deadline_ms",
        "_duration_ms",
        "_limit",
        "_started_ms",
        "_switched_ms",
        "_switch_until_ms",
        "phase",
        "reason",
        "share",
        "total",
    )

    def __init__(self, limit, duration_ms):
        self._limit = limit
        self._duration_ms = duration_ms
        self._started_ms = self._deadline_ms = 0.0
        self._switched_ms = None
        self._switch_until_ms = None
        self.phase = Phase.SAMPLING
        self.share = 0.0
        self.reason = ""
        self.total = None

    def set_started(self, started_ms):
        """Set the clock time at which a daemon has first seen the order."""
        self._started_ms = started_ms
        self._deadline_ms = started_ms + max(
            MIN_BUDGET_FRACTION * self._duration_ms,
            self._duration_ms - BUDGET_MARGIN_MS,
        )

    def adopt(self, phase, now_ms, situation):
        """Continue from the phase that another decider has reached."""
        if phase in (Phase.SWITCHING, Phase.COMPLETING) and self._switched_ms is None:
            self._switch(now_ms, situation)
        self.phase = phase
        self.reason = "continued from another decider"

    def step(self, now_ms, situation):
        """Examine the situation; return whether the phase has changed."""
        if self.phase not in (Phase.SAMPLING, Phase.SWITCHING):
            return False
        self.total = situation.total
        before = self.phase
        if situation.has_target and not situation.has_old:
            self._enter(Phase.COMPLETING, "all servers have the target version")
            return True
        judgement = judge(situation.total.rows)
        if judgement.is_bad:
            self._enter(Phase.ROLLED_BACK, judgement.reason)
        elif self.phase is Phase.SAMPLING:
            self._sample(now_ms, situation, judgement)
        else:
            self._watch_switch(now_ms, situation, judgement)
        return self.phase is not before

    def _sample(self, now_ms, situation, judgement):
        total = situation.total
        elapsed_ms = now_ms - self._started_ms
        switch_ms = self._limit.switch_ms(
            total.sent_target, total.sent_total, elapsed_ms
        )
        switch_at_ms = self._deadline_ms - WRITE_ALLOWANCE_MS - switch_ms
        if now_ms >= self._deadline_ms:
            reason = judgement.reason
            if not situation.has_warm_target:
                reason = "no server of the target version"
            self._enter(Phase.ROLLED_BACK, f"not proved in time: {reason}")
            return
        # With little traffic the switch gives the evidence that sampling could not.
        is_suspect = judgement.is_suspect and not judgement.is_thin
        is_usable = situation.has_warm_target and not is_suspect
        if now_ms >= switch_at_ms and is_usable:
            self._switch(now_ms, situation)
            self._enter(Phase.SWITCHING, judgement.reason)
            return
        self.share = self._limit.sampling_share(
            total.sent_target, total.sent_total, elapsed_ms, switch_at_ms - now_ms
        )

    def _switch(self, now_ms, situation):
        total = situation.total
        self._switched_ms = now_ms
        switch_ms = self._limit.switch_ms(
            total.sent_target, total.sent_total, now_ms - self._started_ms
        )
        # A switch that signs against the version have delayed is a short one.
        end_ms = self._deadline_ms - WRITE_ALLOWANCE_MS
        self._switch_until_ms = max(
            now_ms + MIN_SWITCH_MS, min(now_ms + switch_ms, end_ms)
        )

    def _watch_switch(self, now_ms, situation, judgement):
        if now_ms < self._switch_until_ms:
            return
        wait_until_ms = self._switch_until_ms + LEAVE_ALLOWANCE_MS
        if judgement.is_suspect:
            self._enter(Phase.ROLLED_BACK, f"not proved in time: {judgement.reason}")
        elif not situation.is_followed:
            # Most daemons follow another decider, which this one does not hear of. So
            # what the target version has shown is no evidence of a switch.
            return
        elif situation.old_is_left or now_ms >= wait_until_ms:
            self._enter(Phase.COMPLETING, judgement.reason)

    def _enter(self, phase, reason):
        self.phase = phase
        self.reason = reason
        self.share = 0.0
