"""What log lines say of a request's attempts."""

from hemlockspoke.tier.attempt import Verdict


def describe_sends(deliveries):
    """Return the attempts worth a line: all but those answered at once."""
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
                f"{delivery.service} {attempt.upstream.server_id} {verdict} "
                f"{attempt.elapsed_ms():.0f} ms {attempt.detail}".rstrip()
            )
    return lines


def printable(value):
    """Return bytes of a header as text for the log."""
    return value.decode("latin-1") if value is not None else None
