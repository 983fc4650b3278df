"""Messages between daemons on the rollout of an order."""

from hemlockspoke.tier.messages import RolloutEvidence, RolloutState


def evidence_message(rollout, process, sequence, now_ms):
    """Return the totals of this daemon for those that collect."""
    order, tally = rollout.order, rollout.tally
    return RolloutEvidence(
        service=order.service,
        target_version=order.target_version,
        revision=order.revision,
        process=process,
        sequence=sequence,
        phase=rollout.phase(now_ms).value,
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
        revision=order.revision,
        phase=rollout.phase(now_ms).value,
        share=rollout.sampling_share(now_ms),
        reason="" if decider is None else decider.reason,
    )


def rollout_of(rollouts, message):
    """Return the ``Rollout`` that a message is about, or None.

    ``rollouts`` maps services to them.
    """
    if not isinstance(message.service, str) or type(message.revision) is not int:
        return None
    rollout = rollouts.get(message.service)
    if rollout is None or message.target_version != rollout.order.target_version:
        return None
    return None if message.revision < rollout.start_revision else rollout
