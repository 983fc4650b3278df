"""Log lines on rollouts."""

import logging

logger = logging.getLogger(__name__)


def log_step(rollout, step, decider="", reason=""):
    """Log a step of an order, with what this daemon has sent."""
    order = rollout.order
    logger.info(
        "rollout",
        extra={
            "service": order.service,
            "target_version": order.target_version,
            "step": step,
            "decided_by": decider,
            "reason": reason,
            "sent_target": rollout.tally.sent_target,
            "sent_total": rollout.tally.sent_total,
        },
    )


def log_progress(rollout, total):
    """Log share, evidence by route and the result so far, over all daemons."""
    by_route = {}
    for (route, _, _, is_target), counts in total.rows.items():
        side = by_route.setdefault(route, [0, 0, 0, 0])
        side[0 if is_target else 2] += counts.answers
        side[1 if is_target else 3] += counts.failures
    decider = rollout.decider
    logger.info(
        "rollout progress",
        extra={
            "service": rollout.order.service,
            "target_version": rollout.order.target_version,
            "phase": decider.phase.value,
            "share": round(decider.share, 3),
            "reason": decider.reason,
            "sent_target": total.sent_target,
            "sent_total": total.sent_total,
            "evidence": [
                f"{route}: target {a} answers {b} failed, old {c} answers {d} failed"
                for route, (a, b, c, d) in sorted(by_route.items())
            ],
        },
    )
