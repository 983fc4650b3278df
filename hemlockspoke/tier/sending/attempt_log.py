"""Descriptions of attempts for log lines."""

from hemlockspoke.tier.sending.attempt import Verdict


def describe_attempts(deliveries):
    """Return a text for each attempt, and why no further one was started.

    Deliveries whose only attempt was answered are left out.
    """
    lines = []
    for delivery in deliveries:
        attempts = delivery.attempts
        if len(attempts) == 1 and attempts[0].verdict is Verdict.ANSWER:
            continue
        if delivery.reason:
            lines.append(f"{delivery.service} {delivery.reason}")
        for attempt in attempts:
            verdict = attempt.verdict.value if attempt.verdict else "waiting"
            lines.append(
                f"{delivery.service} {attempt.server.server_id} {verdict} "
                f"{attempt.elapsed_ms():.0f} ms {attempt.detail}".rstrip()
            )
    return lines


def describe_versions(deliveries):
    """Return the versions of the servers that have answered, in order, as a text.

    Servers without a version are left out.
    """
    versions = {
        attempt.server.entry.version
        for delivery in deliveries
        for attempt in delivery.attempts
        if attempt.verdict is Verdict.ANSWER and attempt.server.entry.version
    }
    return ", ".join(sorted(versions))
