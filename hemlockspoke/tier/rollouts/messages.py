"""Messages between daemons on the rollout of an order."""

from hemlockspoke.tier.messages import RolloutEvidence, RolloutState
from hemlockspoke.tier.rollouts.order import FINAL_PHASES
from hemlockspoke.tier.state.store_era import Position

# Limit on the age of an order that another daemon may tell: a week.
MAX_AGE_MS = 7 * 24 * 3_600_000


def evidence_message(rollout, process, sequence, now_ms):
    """Return the totals of this daemon for those that collect."""
    order, tally = rollout.order, rollout.tally
    return RolloutEvidence(
        service=order.service,
        target_version=order.target_version,
        era=order.era,
        revision=order.revision,
        process=process,
        sequence=sequence,
        phase=rollout.phase(now_ms).value,
        age_ms=round(now_ms - rollout.seen_ms),
        sent_target=tally.sent_target,
        sent_total=tally.sent_total,
        old_in_progress=max(0, tally.old_in_progress),
        rows=tally.to_rows(),
    )


def state_message(rollout, now_ms):
    """Return the phase and the share in force, for all daemons."""
    decider, order = rollout.decider, rollout.order
    return RolloutState(
        service=order.service,
        target_version=order.target_version,
        era=order.era,
        revision=order.revision,
        phase=rollout.phase(now_ms).value,
        share=rollout.sampling_share(now_ms),
        age_ms=round(now_ms - rollout.seen_ms),
        reason="" if decider is None else decider.reason,
    )


def rollout_of(rollouts, message):
    """Return the ``Rollout`` that a message is about, or None.

    ``rollouts`` maps services to them. Messages of a lower position than the first one
    that this daemon has seen are about an earlier order. If it has joined late, they
    may come from daemons that do not know of the status ``running`` yet. Those with a
    final phase are not taken even then: an earlier order may have ended with it.
    """
    position = Position(message.era, message.revision)
    if not isinstance(message.service, str) or any(
        type(n) is not int for n in position
    ):
        return None
    if type(message.age_ms) is not int or not 0 <= message.age_ms <= MAX_AGE_MS:
        return None
    rollout = rollouts.get(message.service)
    if rollout is None or message.target_version != rollout.order.target_version:
        return None
    if position >= rollout.start_position:
        return rollout
    # A list, since the phase of a malformed message may not be hashable.
    is_final = message.phase in list(FINAL_PHASES)
    return rollout if rollout.joined_late and not is_final else None
