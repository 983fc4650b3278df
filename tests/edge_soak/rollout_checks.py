"""Checks on the orders of a soak, from what servers and the store observe.

Their bounds are those of docs/design/rollouts.md and of the daemons' settings.
"""

# Bad answers after which a version must get nothing, rollback_ms later.
BAD_ANSWERS = 50
STABLE_WINDOW_S = 2.0
# Kinds of faults in which the store serves no daemon.
OUTAGES = frozenset({"store busy", "store reset", "store silent"})
# Part of the time budget that the page allows for learning of an order, and again for
# writing its end.
MARGIN_S = 2.0


def check_order(order, world, soak, bounds):
    """Return findings on one order."""
    targets = [world.servers[server_id] for server_id in order.target_ids]
    old = [world.servers[server_id] for server_id in order.old_ids]
    target_arrivals = [arrival for server in targets for arrival in server.arrivals]
    old_arrivals = [arrival for server in old for arrival in server.arrivals]
    end_s = order.begun_s + order.budget_s
    count, total = (
        sum(order.begun_s <= at_s <= end_s for at_s, _ in arrivals)
        for arrivals in (target_arrivals, target_arrivals + old_arrivals)
    )
    took_s = None if order.ended_s is None else order.ended_s - order.begun_s
    text = f"order for {'bad' if order.is_bad else 'good'} {order.version}"
    print(f"{text}: {order.state} after {took_s} s, {count} of {total} requests")
    findings = []
    expected = "rolled_back" if order.is_bad else "completed"
    is_met = order.state == expected and took_s <= order.budget_s
    if not is_met and not _was_without_store(order, took_s, soak):
        findings.append(f"{text}: is {order.state} after {took_s} s")
    if order.is_bad:
        findings += _check_exposure(text, order, targets, count, total, bounds)
    early = sum(at_s < order.begun_s for at_s, _ in target_arrivals)
    if early:
        findings.append(f"{text}: {early} requests before the order")
    left = {"completed": old, "rolled_back": targets}.get(order.state, ())
    for server in left:
        late = [
            f"{(at_s - order.ended_s) * 1000:.0f} ms by {vm}"
            for at_s, vm in server.arrivals
            if at_s > order.ended_s and _is_in_touch(soak, vm, at_s)
        ]
        if late:
            findings.append(
                f"{text}: requests at {server.server_id} after it was {order.state}:"
                f" {', '.join(late)}"
            )
    return findings


def _check_exposure(text, order, targets, count, total, bounds):
    findings = []
    limit = bounds["exposure_share"] * total + bounds["exposure_slack"]
    if count > limit:
        findings.append(f"{text}: got {count} requests where {limit:.1f} are allowed")
    failed_s = sorted(at_s for server in targets for at_s in server.failed_s)
    if len(failed_s) >= BAD_ANSWERS:
        last_s = failed_s[BAD_ANSWERS - 1] + bounds["rollback_ms"] / 1000
        late = sum(at_s > last_s for server in targets for at_s in server.received_s)
        if late:
            findings.append(
                f"{text}: {late} requests later than rollback_ms after"
                f" {BAD_ANSWERS} bad answers"
            )
    return findings


def _was_without_store(order, took_s, soak):
    """Return whether an outage of the store excuses an end that is late.

    Daemons may have learned of the order late, so that the time did not suffice to
    prove a good version, or have found no store to write to. A missing end is excused
    only if another order has replaced this one.
    """
    if took_s is None:
        is_late = order.was_replaced
    else:
        is_late = took_s > order.budget_s - MARGIN_S
    if not is_late or (order.is_bad and order.state == "completed"):
        return False
    end_s = order.begun_s + order.budget_s
    margins = ((order.begun_s, order.begun_s + MARGIN_S), (end_s - MARGIN_S, end_s))
    return any(
        kind in OUTAGES
        and any(
            begin_s < until_s and fault_end_s > since_s for since_s, until_s in margins
        )
        for faults in soak.disturbances.values()
        for begin_s, fault_end_s, kind in faults
    )


def _is_in_touch(soak, vm, at_s):
    return not any(
        begin_s < at_s and (end_s is None or end_s > at_s - STABLE_WINDOW_S)
        for begin_s, end_s, _ in soak.disturbances[vm]
    )
