"""Planned stops of daemons in a soak, and the check that they cut no request."""

import threading
import time

from tests.edge_soak.callers import CALLER_BUDGET_MS
from tests.edge_soak.processes import STOP_GRACE_S

# A request whose connection ends later than this after it was sent may have been read.
READ_LIMIT_MS = 400
# Time after a restart for which its effects are excused.
RESTART_SETTLE_S = 2.0
# Faults of a daemon that may cut its connections.
CUTTING_FAULTS = frozenset({"kill", "pause"})


class Stops:
    """Stops daemons as the platform does, in threads, while other faults go on."""

    def __init__(self, soak):
        self._soak = soak
        self._threads = []

    def start(self, count):
        """Stop random daemons, of which at least one stays, and start them again."""
        for _ in range(count):
            vm = self._soak.pick_vm()
            if vm is None:
                return
            self._soak.world.daemons[vm].suspended = True
            now_s = time.monotonic()
            undisturbed = self._soak.is_undisturbed(vm, now_s, now_s)
            end = self._soak.record_fault(vm, "terminate")
            thread = threading.Thread(
                target=self._stop, args=(vm, undisturbed, end), daemon=True
            )
            self._threads.append(thread)
            thread.start()

    def _stop(self, vm, undisturbed, end):
        soak, daemon = self._soak, self._soak.world.daemons[vm]
        code = daemon.terminate_and_restart()
        daemon.suspended = False
        if undisturbed and code != 0:
            soak.findings.append(
                f"{vm}: exit code {code} within {STOP_GRACE_S} s of SIGTERM"
            )
        soak.schedule_end(RESTART_SETTLE_S, end)

    def wait(self):
        """Wait until all daemons have been started again."""
        for thread in self._threads:
            thread.join(timeout=30)


def check_stops(outcomes, servers, disturbances, settle_s):
    """Return findings on requests that a planned stop has cut without an answer.

    ``disturbances`` maps each VM to lists of start, end and kind of its faults, with
    times in seconds.
    """
    # Requests without an id are not those of the soak's callers.
    received = {
        attempt.decode()
        for server in servers
        for attempt in server.received_attempts
        if attempt is not None
    }
    findings = []
    for outcome in outcomes:
        was_read = outcome.attempt in received or (
            outcome.sent and outcome.took_ms > READ_LIMIT_MS
        )
        is_over = outcome.took_ms > 0.9 * CALLER_BUDGET_MS
        if outcome.status is not None or not was_read or is_over:
            continue
        end_s = outcome.sent_s + outcome.took_ms / 1000
        kinds = {
            kind
            for begin_s, stop_s, kind in disturbances[outcome.vm]
            if begin_s < end_s
            and (stop_s is None or stop_s + settle_s > outcome.sent_s)
        }
        if "terminate" in kinds and not kinds & CUTTING_FAULTS:
            findings.append(
                f"{outcome.attempt}: {outcome.path} cut by the stop of {outcome.vm}"
                f" after {outcome.took_ms:.0f} ms"
            )
    return findings
