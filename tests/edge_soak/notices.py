"""What servers of a soak say of themselves, and checks that daemons keep to it.

A server may say that it leaves, or refuse with the time for which it wants nothing.
"""

import bisect

# Faults of a daemon that excuse it, as it may have lost what it had been told.
EXCUSES = frozenset({"kill", "pause", "terminate"})
# Requests that are on their way when a server refuses one may arrive within this time,
# and this many later.
ON_THE_WAY_S = 0.5
ALLOWED_ARRIVALS = 2


class LeavingServers:
    """Lets servers say that they leave, and start again as new processes later."""

    def __init__(self, soak):
        self._soak = soak
        # Server id, and the times in seconds of the first such answer and of the start
        # of the next process, which is infinite before.
        self.departures = []

    def start(self, now_s):
        """Let a random server say that it leaves; return a function that restarts it.

        Return None if it says so already.
        """
        server_id = self._soak.pick_server()
        server = self._soak.world.servers[server_id]
        if server.says_leaving:
            return None
        server.says_leaving = True
        departure = [server_id, now_s, float("inf")]
        self.departures.append(departure)

        def restart(now_s):
            departure[2] = now_s
            server.says_leaving = False
            server.born += 1
            self._soak.world.announce(server_id)

        return restart


def check_leaving(outcomes, departures, disturbances, drain_ms):
    """Return findings on requests that reached a server long after its word.

    Counted are requests that a caller sent to a VM later than ``drain_ms`` after the
    VM had passed on an answer in which the server says that it leaves.
    """
    findings = []
    for server_id, begin_s, restart_s in departures:
        told_s = {}
        by_time = sorted(outcomes, key=lambda outcome: outcome.sent_s)
        for outcome in by_time:
            end_s = outcome.sent_s + outcome.took_ms / 1000
            in_time = begin_s < outcome.sent_s and end_s < restart_s
            if not in_time or server_id not in outcome.server_ids:
                continue
            since_s = told_s.get(outcome.vm)
            if since_s is None:
                if outcome.says_leaving:
                    told_s[outcome.vm] = end_s
                continue
            is_excused = any(
                kind in EXCUSES and start_s < end_s and (stop_s or end_s) > since_s
                for start_s, stop_s, kind in disturbances[outcome.vm]
            )
            late_ms = (outcome.sent_s - since_s) * 1000 - drain_ms
            if late_ms > 0 and not is_excused:
                findings.append(
                    f"{outcome.attempt}: reached {server_id} through {outcome.vm}"
                    f" {late_ms:.0f} ms after its drain time"
                )
    return findings


def check_holds(servers, disturbances, proxy_faults):
    """Return findings on requests that reached a server which wanted none.

    Counted by VM are requests for one server, which name the VM that their caller sent
    them to. ``proxy_faults`` maps server ids to lists of start and end in seconds of
    faults on the way to a server, after which its refusal may not have arrived.
    """
    findings = []
    for server in servers:
        arrivals_s = {}
        for at_s, vm in server.arrivals:
            arrivals_s.setdefault(vm, []).append(at_s)
        for at_s, vm, hold_s in server.refusals:
            end_s = at_s + hold_s
            was_disturbed = any(
                begin_s < end_s and fault_end_s > at_s - 1.0
                for begin_s, fault_end_s in proxy_faults.get(server.server_id, ())
            ) or any(
                begin_s < end_s and (stop_s is None or stop_s > at_s)
                for begin_s, stop_s, _ in disturbances[vm]
            )
            times_s = arrivals_s[vm]
            count = bisect.bisect_left(times_s, end_s) - bisect.bisect_right(
                times_s, at_s + ON_THE_WAY_S
            )
            if count > ALLOWED_ARRIVALS and not was_disturbed:
                findings.append(
                    f"{server.server_id}: {count} requests from {vm} though it wanted"
                    f" none for {hold_s} s"
                )
    return findings
