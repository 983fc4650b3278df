"""Servers of a soak that say that they leave, and the check that daemons keep to it."""

# Faults of a daemon that excuse it, as it may have lost what it had been told.
EXCUSES = frozenset({"kill", "pause", "terminate"})


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
