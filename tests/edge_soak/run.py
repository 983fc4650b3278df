"""Runs a soak: injects faults drawn from a seed and checks the results.

    python -m tests.edge_soak.run --seed 7 --duration-s 60

Faults follow one another and overlap. Accounts, rollouts and returns of the store from
an older copy are parts that can be left out; each draws a schedule of its own from the
seed, so that it changes no other. A seed that has failed stays in
``tests/features/edge_soak.feature`` with a line on its cause.
"""

import argparse
import heapq
import itertools
import random
import signal
import sys
import time

from tests.edge_soak.accounts import SoakAccounts
from tests.edge_soak.callers import Callers, check_runs, key_headers
from tests.edge_soak.faults import SHARDS, actions
from tests.edge_soak.notices import LeavingServers, check_holds, check_leaving
from tests.edge_soak.processes import ProcessWorld
from tests.edge_soak.return_checks import check_withdrawn
from tests.edge_soak.returns import SoakReturns
from tests.edge_soak.rollouts import SoakRollouts
from tests.edge_soak.stops import Stops, check_stops
from tests.platform_world import ITEM_PATH, QUERY_PATH

CALLERS = 6
# Late answers and failed connections are ignored for this time after a fault ends: the
# longest recovery that the platform's documentation allows a daemon at these bounds.
SETTLE_S = 6.0
# Longer than the budget of a request, since a busy machine adds delays.
ANSWER_LIMIT_MS = 3000
# A connection that fails within this time is not a finding.
CLOSE_LIMIT_MS = 400
RECOVERY_LIMIT_S = 12.0
CONFIG_LIMIT_S = 6.0
PARTS = {"accounts": SoakAccounts, "rollouts": SoakRollouts, "returns": SoakReturns}
BOUNDS = {"config_apply_ms": 3000, "drain_ms": 2000, "evacuate_ms": 4000}


class Soak:
    """A world under load, its faults and the intervals in which they affect daemons."""

    def __init__(self, world, seed):
        self.world = world
        self.rng = random.Random(seed)
        self.disturbances = {vm: [] for vm in world.daemons}
        self.findings = []
        self.started_s = time.monotonic()
        self.stops = Stops(self)
        self.leaving = LeavingServers(self)
        # Start and end in seconds of faults on the way to each server, by its id.
        self.proxy_faults = {}
        # Servers that a part of the soak adds later have no other faults.
        self._server_ids = sorted(world.servers)
        self._fault_ends = []
        self._sequence = itertools.count()

    def record_fault(self, vm, kind):
        """Record that a fault affects a daemon; return a function that ends it."""
        interval = [time.monotonic(), None, kind]
        self.disturbances[vm].append(interval)

        def end():
            interval[1] = time.monotonic()

        return end

    def schedule_end(self, delay_s, end_fault):
        """Call ``end_fault`` after a delay, or at the end of the run."""
        due_s = time.monotonic() + delay_s
        heapq.heappush(self._fault_ends, (due_s, next(self._sequence), end_fault))

    def end_due_faults(self, include_pending=False):
        """End the faults that are due, or all of them."""
        while self._fault_ends and (
            include_pending or self._fault_ends[0][0] <= time.monotonic()
        ):
            heapq.heappop(self._fault_ends)[2]()

    def pick_vm(self):
        """Return a random VM with a running daemon, or None if only one is left."""
        free = [
            vm
            for vm, daemon in sorted(self.world.daemons.items())
            if not daemon.suspended
        ]
        return self.rng.choice(free) if len(free) > 1 else None

    def pick_server(self):
        """Return the id of a random server."""
        return self.rng.choice(self._server_ids)

    def is_undisturbed(self, vm, start_s, end_s):
        """Return whether no fault, settle time included, overlaps an interval."""
        return not any(
            begin < end_s and (stop is None or stop + SETTLE_S > start_s)
            for begin, stop, _ in self.disturbances[vm]
        )

    def check_outcomes(self, outcomes):
        """Return the findings of the run and of the outcomes."""
        servers = self.world.servers.values()
        findings = [*self.findings, *check_runs(outcomes, servers)]
        findings += check_stops(outcomes, servers, self.disturbances, SETTLE_S)
        findings += check_leaving(
            outcomes, self.leaving.departures, self.disturbances, BOUNDS["drain_ms"]
        )
        findings += check_withdrawn(self, BOUNDS["drain_ms"] / 1000, SETTLE_S)
        findings += check_holds(servers, self.disturbances, self.proxy_faults)
        for outcome in outcomes:
            end_s = outcome.sent_s + outcome.took_ms / 1000
            if not self.is_undisturbed(outcome.vm, outcome.sent_s, end_s):
                continue
            if outcome.status is None and outcome.took_ms > CLOSE_LIMIT_MS:
                findings.append(f"{outcome.attempt}: connection to {outcome.vm} failed")
            elif outcome.took_ms > ANSWER_LIMIT_MS:
                findings.append(
                    f"{outcome.attempt}: answered after {outcome.took_ms:.0f} ms"
                )
        return findings


def check_recovery(soak):
    """Return findings on daemons that do not serve after all faults have ended."""
    world, findings = soak.world, []
    callers = Callers(world, 0)
    for vm, daemon in sorted(world.daemons.items()):
        if daemon.process.poll() is not None:
            findings.append(
                f"{vm}: exited unexpectedly with code {daemon.process.returncode}"
            )
            continue
        end_s = time.monotonic() + RECOVERY_LIMIT_S
        for path in (QUERY_PATH, ITEM_PATH):
            while callers.send(vm, path).status != 200:
                if time.monotonic() > end_s:
                    findings.append(
                        f"{vm}: {path} not served within {RECOVERY_LIMIT_S} s"
                    )
                    break
                time.sleep(0.1)
    return [*findings, *callers.findings]


def check_configuration(soak):
    """Return findings on daemons that do not apply a change of the configuration."""
    world = soak.world
    world.shards = [f"shard-{n}" for n in range(2)]
    world.shard_counts.add(2)
    world.configure()
    time.sleep(CONFIG_LIMIT_S)
    findings = []
    for vm in sorted(world.daemons):
        outcome = world.request(
            vm, f"{QUERY_PATH}x", f"last-{vm}", extra=key_headers(world.key)
        )
        stamps = outcome.headers.get("x-hemlockspoke-part-stamps", b"").count(b",") + 1
        missing = int(outcome.headers.get("x-hemlockspoke-parts-missing", b"0"))
        if outcome.status != 200 or stamps + missing != 2:
            findings.append(
                f"{vm}: old configuration still used {CONFIG_LIMIT_S} s after a change"
            )
    return findings


def run(seed, duration_s, daemons=4, keep_logs=None, part_names=()):
    """Run one soak, with the parts of the given names, and return its findings."""
    world = ProcessWorld(shards=SHARDS)
    world.shard_counts = {SHARDS - 1, SHARDS}
    try:
        parts = [PARTS[name](world, seed, duration_s) for name in part_names]
        bounds = dict(BOUNDS)
        for part in parts:
            bounds.update(part.bounds)
        for number in range(daemons):
            world.add_daemon(f"e{number}", ["a1", "b1"][number % 2], bounds=bounds)
        world.wait_ready()
        soak = Soak(world, seed)
        callers = Callers(world, CALLERS)
        callers.start()
        for part in parts:
            part.start(soak)
        names = sorted(actions.names())
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            name = soak.rng.choice(names)
            print(f"{duration_s - (end_s - time.monotonic()):6.1f} s {name}")
            actions.get(name)(soak)
            time.sleep(soak.rng.uniform(0.1, 0.9))
            soak.end_due_faults()
        soak.stops.wait()
        soak.end_due_faults(include_pending=True)
        outcomes, findings = [], []
        for part in parts:
            part_outcomes, part_findings = part.stop()
            outcomes += part_outcomes
            findings += part_findings
        callers.stop()
        outcomes += callers.outcomes
        findings += callers.findings
        findings = soak.check_outcomes(outcomes) + findings
        for part in parts:
            findings += part.check(outcomes)
        findings += check_recovery(soak) + check_configuration(soak)
        for part in parts:
            findings += part.check_calm()
        served = sum(1 for outcome in outcomes if outcome.status == 200)
        print(f"seed {seed}: {served} of {len(outcomes)} requests served")
        if findings and keep_logs:
            world.keep_logs(keep_logs)
        return findings
    finally:
        world.stop()


def main():
    """Run the soaks given on the command line; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds to run"
    )
    parser.add_argument("--duration-s", type=float, default=60.0)
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument(
        "--without",
        action="append",
        choices=sorted(PARTS),
        default=[],
        help="part of the soak to leave out",
    )
    parser.add_argument("--keep-logs", help="folder for the logs of failed runs")
    options = parser.parse_args()
    # Exit through the finally clause on SIGTERM, which ends the daemon processes.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    part_names = [name for name in PARTS if name not in options.without]
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = f"{options.keep_logs}/{seed}" if options.keep_logs else None
        findings = run(seed, options.duration_s, options.daemons, folder, part_names)
        for finding in findings:
            print(f"seed {seed}: {finding}")
        failed += bool(findings)
    print(f"{options.seeds - failed} of {options.seeds} seeds without a finding")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
