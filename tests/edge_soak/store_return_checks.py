"""Checks on what callers and servers have seen after a return of the store."""

import collections

from tests.edge_soak.run import BOUNDS
from tests.edge_soak.store_return_world import ALWAYS

# Rule, and changes from which on an answer, or a request at a server, breaks it.
WRONG_ANSWERS = {
    ("early", 404): ("CONFIG and DENIED", "early"),
    ("added", 404): ("CONFIG and DENIED", "newer"),
    ("removed", 200): ("CONFIG", "newer"),
}
UNUSED_SERVERS = {
    "item-a1": ("DRAIN", "early"),
    "item-b1": ("DRAIN", "newer"),
    "far-b2": ("EVAC", "early"),
    "item-b2": ("EVAC", "early"),
    "far-b3": ("EVAC", "newer"),
    "item-b3": ("EVAC", "newer"),
}
BOUND_NAMES = {"DRAIN": "drain_ms", "EVAC": "evacuate_ms"}

# Refusals of a daemon's own that break DENIED for what all versions allow.
DENIALS = frozenset(range(300, 500)) - {408, 421, 429}


def observations(returns):
    """Yield rule, changes, daemon and time of all that a change may make wrong."""
    for attempt, status in returns.answers:
        path, vm, _ = attempt.split(".")
        if (path, status) in WRONG_ANSWERS:
            yield *WRONG_ANSWERS[path, status], vm, returns.sent_s[attempt]
        if path in ALWAYS and status in DENIALS:
            yield "DENIED", None, vm, returns.sent_s[attempt]
    for server_id, server in returns.world.servers.items():
        arrivals = zip(server.received_attempts, server.received_s, strict=True)
        for attempt, at_s in arrivals:
            attempt = attempt.decode()
            if attempt not in returns.sent_s:
                continue
            path, vm, _ = attempt.split(".")
            if path == "home" and server.domain != "a1":
                yield "HOME", "newer", vm, returns.sent_s[attempt]
            if server_id in UNUSED_SERVERS:
                yield *UNUSED_SERVERS[server_id], vm, at_s


def describe_wrong(returns):
    """Return a text with the count of each rule, how late it was broken and by whom."""
    wrong = collections.defaultdict(list)
    for rule, when, vm, at_s in observations(returns):
        bound_s = BOUNDS[BOUND_NAMES.get(rule, "config_apply_ms")] / 1000
        ack_s = returns.world.acknowledged_s[when or "newer"]
        if when is None or at_s > max(ack_s + bound_s, returns.calm_from_s[vm]):
            wrong[rule, when or "any"].append((at_s - ack_s, vm))
    return ", ".join(
        f"{rule} ({when}): {len(cases)} up to {max(cases)[0]:.1f} s after the ack "
        f"by {' '.join(sorted({vm for _, vm in cases}))}"
        for (rule, when), cases in sorted(wrong.items())
    )


def count_unserved(returns):
    """Return how many requests were not served though all versions then allow them."""
    newer_s = returns.world.acknowledged_s["newer"] + BOUNDS["config_apply_ms"] / 1000
    return sum(
        status != 200
        for attempt, status in returns.answers
        if attempt.split(".")[0] in ("item", "home", "early", "added")
        and returns.sent_s[attempt]
        > max(newer_s, returns.calm_from_s[attempt.split(".")[1]])
    )
