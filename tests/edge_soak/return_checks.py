"""What a soak may expect of daemons after the store has come back from a copy."""

# Faults after which a daemon knows only what the store has.
RESTARTS = frozenset({"kill", "terminate"})
# A VM is in touch with the store this long after its last fault.
STABLE_WINDOW_S = 2.0


class StoreReturn:
    """Times in seconds of a copy, of the outage after it and of the return from it."""

    __slots__ = ("away_s", "back_s", "copied_s")

    def __init__(self, copied_s, away_s, back_s):
        self.copied_s = copied_s
        self.away_s = away_s
        self.back_s = back_s


def held_since_s(soak, vm, kind, name, change_s, at_s, knows):
    """Return since when a VM can read a change that returns may have taken back.

    A VM that knew the change before the store went away must keep it, unless it has
    started again since. ``knows`` takes the times of the change and of the outage.
    """
    was_restarted = any(
        fault in RESTARTS and begin_s < at_s and (end_s is None or end_s > change_s)
        for begin_s, end_s, fault in soak.disturbances[vm]
    )
    world = soak.world
    for store_return in world.returns:
        away_s, back_s = store_return.away_s, store_return.back_s
        if not store_return.copied_s < change_s <= back_s or away_s > at_s:
            continue
        if was_restarted or not knows(change_s, away_s):
            change_s = min(
                (
                    writing.at_s
                    for writing in world.writings
                    if (writing.kind, writing.name) == (kind, name)
                    and writing.at_s > back_s
                ),
                default=float("inf"),
            )
    return change_s


def withdrawals(writings):
    """Return server ids with start and end of the times when they were withdrawn.

    The store had them as draining or removed then, or lacked that after a return.
    """
    found, open_by_id = [], {}
    for writing in writings:
        if writing.kind != "servers":
            continue
        is_ready = writing.spec is not None and writing.spec["state"] == "ready"
        if not is_ready and writing.name not in open_by_id:
            open_by_id[writing.name] = [writing.name, writing.at_s, float("inf")]
            found.append(open_by_id[writing.name])
        elif is_ready and writing.name in open_by_id:
            open_by_id.pop(writing.name)[2] = writing.at_s
    return found


def check_withdrawn(soak, drain_s, settle_s):
    """Return findings on requests at servers that were draining or removed.

    A VM without disturbances sends none later than ``drain_s``; others have
    ``settle_s`` more. Requests that name no VM may come from any.
    """
    findings = []

    def last_s(vm, server_id, begin_s, at_s):
        def knows(change_s, away_s):
            return away_s > change_s + drain_s and not any(
                fault_s < change_s + drain_s
                and (stop_s is None or stop_s > change_s - STABLE_WINDOW_S)
                for fault_s, stop_s, _ in soak.disturbances[vm]
            )

        since_s = held_since_s(soak, vm, "servers", server_id, begin_s, at_s, knows)
        is_calm = soak.is_undisturbed(vm, since_s, at_s)
        return since_s + drain_s + (0.0 if is_calm else settle_s)

    for server_id, begin_s, end_s in withdrawals(soak.world.writings):
        server = soak.world.servers[server_id]
        arrivals = list(server.arrivals)
        named_s = {at_s for at_s, _ in arrivals}
        arrivals += [(at_s, None) for at_s in server.received_s if at_s not in named_s]
        for at_s, sender in arrivals:
            if not begin_s + drain_s < at_s < end_s:
                continue
            vms = soak.disturbances if sender is None else [sender]
            late_s = at_s - max(last_s(vm, server_id, begin_s, at_s) for vm in vms)
            if late_s > 0:
                findings.append(
                    f"{server_id}: request from {sender or 'any'}"
                    f" {at_s - begin_s:.2f} s after it was withdrawn,"
                    f" {late_s:.2f} s late"
                )
    return findings
