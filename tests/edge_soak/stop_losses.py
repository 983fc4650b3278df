"""Requests around planned stops, and which of them the users' rule counts as lost."""

import time

GRACE_S = 6.0
# The rule excuses a request if it was sent at most this long after the signal and its
# server was still at work in the last sixth of the grace time.
EXCUSED_S = 3.0
LAST_SIXTH_S = GRACE_S * 5 / 6
# A request that was cut counts until this long after the grace time.
AFTER_GRACE_S = 1.0
# A connection that ends later than this after a request was sent has been read.
LOSS_SLACK_S = 0.2
# Requests that have used this share of their time are not counted.
USED_UP_SHARE = 0.9


class Sent:
    """One request of a caller; ``status`` is None if its connection ended."""

    __slots__ = (
        "attempt",
        "ended_s",
        "path",
        "reused",
        "sent",
        "sent_s",
        "status",
        "vm",
    )

    def __init__(self, attempt, path, vm, reused):
        self.attempt = attempt
        self.path = path
        self.vm = vm
        self.reused = reused
        self.sent = True
        self.sent_s = time.monotonic()
        self.ended_s = None
        self.status = None


def describe_loss(sent, work, signals_s, budget_ms):
    """Return a text if the rule counts a request as lost, or None.

    ``work`` holds the id of each server that ran the request, and when its work began
    and ended, which is None while it goes on. ``signals_s`` are the times at which its
    daemon was told to stop.
    """
    took_s = sent.ended_s - sent.sent_s
    was_read = bool(work) or (sent.sent and took_s > LOSS_SLACK_S)
    is_over = took_s > USED_UP_SHARE * budget_ms / 1000
    if sent.status is not None or not was_read or is_over:
        return None
    signals_s = [at_s for at_s in signals_s if at_s < sent.ended_s]
    if not signals_s or sent.sent_s > signals_s[-1] + GRACE_S + AFTER_GRACE_S:
        return None
    signal_s = signals_s[-1]
    since_s = sent.sent_s - signal_s
    late_work = any(
        begin_s - signal_s < GRACE_S
        and (end_s is None or end_s - signal_s > LAST_SIXTH_S)
        for _, begin_s, end_s in work
    )
    if since_s <= EXCUSED_S and late_work:
        return None
    texts = [
        f"{server_id} from {begin_s - signal_s:.2f} s to "
        + ("the end" if end_s is None else f"{end_s - signal_s:.2f} s")
        for server_id, begin_s, end_s in work
    ]
    return (
        f"{sent.attempt}: {sent.path} cut by the stop of {sent.vm},"
        f" sent {since_s:.2f} s after the signal on a"
        f" {'kept' if sent.reused else 'new'} connection, ended after {took_s:.2f} s,"
        f" ran at {', '.join(texts) or 'no server'}"
    )
