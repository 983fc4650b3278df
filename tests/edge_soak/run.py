"""Runs a soak: a schedule of faults that follows from a seed, and its judgement.

    python -m tests.edge_soak.run --seed 7 --duration-s 60

Faults come in series and overlap. A seed that has failed stays in
``tests/features/edge_soak.feature`` with a line on its cause.
"""

import argparse
import heapq
import itertools
import random
import shutil
import signal
import sys
import time

from hemlockspoke.registry import Registry
from tests.edge_soak.callers import Callers, judge_runs
from tests.edge_soak.processes import GRACE_S, ProcessWorld
from tests.platform_world import ITEM_PATH, QUERY_PATH
from tests.reactor_thread import in_reactor

actions = Registry("soak action")

CALLERS = 6
SHARDS = 4
# Faults are judged apart for this time after they end: the longest time in which
# the platform's pages let a daemon come back into step, at these bounds.
SETTLE_S = 6.0
# Requests are answered within their budget, and a busy machine adds to it.
ANSWER_LIMIT_MS = 3000
CUT_LIMIT_MS = 400
RECOVER_S = 12.0
FOLLOW_S = 6.0
BOUNDS = {"config_apply_ms": 3000, "drain_ms": 2000, "evacuate_ms": 4000}


class Soak:
    """A world under load, the faults on it and what they have disturbed."""

    def __init__(self, world, seed):
        self.world = world
        self.rng = random.Random(seed)
        self.disturbances = {vm: [] for vm in world.daemons}
        self.findings = []
        self._heals = []
        self._order = itertools.count()

    def disturb(self, vm, kind):
        """Note that a daemon is disturbed from now on; the result ends it."""
        interval = [time.monotonic(), None, kind]
        self.disturbances[vm].append(interval)

        def end():
            interval[1] = time.monotonic()

        return end

    def later(self, delay_s, heal):
        """Call ``heal`` after a while, or at the end of the run."""
        due_s = time.monotonic() + delay_s
        heapq.heappush(self._heals, (due_s, next(self._order), heal))

    def run_heals(self, all_of_them=False):
        """End the faults that are due."""
        while self._heals and (all_of_them or self._heals[0][0] <= time.monotonic()):
            heapq.heappop(self._heals)[2]()

    def vm(self):
        """Return a daemon that no signal disturbs now, or None."""
        free = [
            vm
            for vm, daemon in sorted(self.world.daemons.items())
            if not daemon.disturbed
        ]
        return self.rng.choice(free) if len(free) > 1 else None

    def server(self):
        """Return the id of a server."""
        return self.rng.choice(sorted(self.world.servers))

    def calm(self, vm, start_s, end_s):
        """Return whether nothing disturbed a daemon around a span of time."""
        return not any(
            begin < end_s and (stop is None or stop + SETTLE_S > start_s)
            for begin, stop, _ in self.disturbances[vm]
        )

    def judge(self, outcomes):
        """Return all findings."""
        findings = [*self.findings, *judge_runs(outcomes, self.world.servers.values())]
        for outcome in outcomes:
            end_s = outcome.sent_s + outcome.took_ms / 1000
            if not self.calm(outcome.vm, outcome.sent_s, end_s):
                continue
            if outcome.status is None and outcome.took_ms > CUT_LIMIT_MS:
                findings.append(f"{outcome.attempt}: cut by {outcome.vm}")
            elif outcome.took_ms > ANSWER_LIMIT_MS:
                findings.append(f"{outcome.attempt}: held {outcome.took_ms:.0f} ms")
        return findings


@actions.register("kill")
def kill(soak):
    """Kill a daemon; the platform starts it again."""
    vm = soak.vm()
    if vm is not None:
        end = soak.disturb(vm, "kill")
        soak.world.daemons[vm].kill_and_restart()
        soak.later(2.0, end)


@actions.register("terminate")
def terminate(soak):
    """Stop a daemon in an orderly way; it must not need to be killed."""
    vm = soak.vm()
    if vm is None:
        return
    calm = soak.calm(vm, time.monotonic(), time.monotonic())
    end = soak.disturb(vm, "terminate")
    code = soak.world.daemons[vm].terminate_and_restart()
    if calm and code != 0:
        soak.findings.append(f"{vm}: ended with {code} within {GRACE_S} s of SIGTERM")
    soak.later(2.0, end)


@actions.register("pause")
def pause(soak):
    """Stop the processor of a daemon for a while."""
    vm = soak.vm()
    if vm is None:
        return
    daemon = soak.world.daemons[vm]
    end = soak.disturb(vm, "pause")
    daemon.disturbed = True
    daemon.signal(signal.SIGSTOP)

    def resume():
        daemon.signal(signal.SIGCONT)
        daemon.disturbed = False
        end()

    soak.later(soak.rng.choice([0.3, 1.0, 3.0]), resume)


@actions.register("reload")
def reload(soak):
    """Change the settings of a daemon, with or without the signal."""
    vm = soak.vm()
    if vm is None:
        return
    daemon = soak.world.daemons[vm]
    text = daemon.settings.read_text()
    daemon.settings.write_text(
        f"{text}\nbounds.retry_slack={soak.rng.choice([50, 90])}"
    )
    if soak.rng.random() < 0.5:
        daemon.signal(signal.SIGHUP)


@actions.register("store-way")
def store_way(soak):
    """Disturb the way of a daemon to the store."""
    vm = soak.vm()
    if vm is None:
        return
    proxy = soak.world.store_proxies[vm]
    mode = soak.rng.choice(["delay", "silence", "cut-forth", "cut-back"])
    lasting = soak.rng.random() < 0.6
    end = soak.disturb(vm, f"store {mode}")
    in_reactor(proxy.set_mode, mode, soak.rng, lasting)

    def heal():
        in_reactor(proxy.set_mode, "pass", soak.rng)
        end()

    soak.later(soak.rng.uniform(0.5, 4.0), heal)


@actions.register("server-way")
def server_way(soak):
    """Disturb the way of all daemons to a server."""
    proxy = soak.world.proxies[soak.server()]
    mode = soak.rng.choice(["delay", "silence", "cut-forth", "cut-back", "reset"])
    if mode == "reset":
        in_reactor(proxy.reset, soak.rng, 0.6)
        return
    in_reactor(proxy.set_mode, mode, soak.rng, soak.rng.random() < 0.5)
    soak.later(
        soak.rng.uniform(0.5, 3.0),
        lambda: in_reactor(proxy.set_mode, "pass", soak.rng),
    )


@actions.register("server")
def server_fault(soak):
    """Let a server misbehave for a while."""
    server = soak.world.servers[soak.server()]
    faults = [
        "shed",
        "hang",
        "reset",
        "fail",
        "truncate",
        "extra",
        "foreign",
        "garbage",
    ]
    server.behaviour = soak.rng.choice(faults)

    def heal():
        server.behaviour = "serve"

    soak.later(soak.rng.uniform(0.3, 2.5), heal)


@actions.register("store")
def store_fault(soak):
    """Take the store away from all daemons, or forget its history."""
    store = soak.world.store
    mode = soak.rng.choice(["busy", "silent", "reset", "compact"])
    if mode == "compact":
        in_reactor(store.compact)
        return
    ends = [soak.disturb(vm, f"store {mode}") for vm in soak.world.daemons]
    store.mode = mode

    def heal():
        store.mode = "up"
        for end in ends:
            end()

    soak.later(soak.rng.uniform(0.5, 3.0), heal)


@actions.register("configure")
def configure(soak):
    """Write a version that names more or fewer shards."""
    world = soak.world
    world.shards = [f"shard-{n}" for n in range(soak.rng.choice([SHARDS - 1, SHARDS]))]
    world.configure()


@actions.register("drain")
def drain(soak):
    """Let a server leave and come back."""
    name = soak.server()
    soak.world.announce(name, "draining")

    def back():
        soak.world.announce(name)

    soak.later(soak.rng.uniform(1.0, 3.0), back)


def check_recovery(soak):
    """Return what is wrong once all faults have ended."""
    world, findings = soak.world, []
    callers = Callers(world, 0)
    for vm, daemon in sorted(world.daemons.items()):
        if daemon.process.poll() is not None:
            findings.append(f"{vm}: ended by itself with {daemon.process.returncode}")
            continue
        end_s = time.monotonic() + RECOVER_S
        for path in (QUERY_PATH, ITEM_PATH):
            while callers.send(vm, path).status != 200:
                if time.monotonic() > end_s:
                    findings.append(f"{vm}: {path} not served {RECOVER_S} s later")
                    break
                time.sleep(0.1)
    return [*findings, *callers.findings]


def check_configuration(soak):
    """Return which daemons do not follow a change of the configuration."""
    world = soak.world
    world.shards = [f"shard-{n}" for n in range(2)]
    world.set_sizes.add(2)
    world.configure()
    time.sleep(FOLLOW_S)
    findings = []
    for vm in sorted(world.daemons):
        outcome = world.request(vm, f"{QUERY_PATH}x", f"last-{vm}")
        proofs = outcome.headers.get("x-hemlockspoke-part-stamps", b"").count(b",") + 1
        missing = int(outcome.headers.get("x-hemlockspoke-parts-missing", b"0"))
        if outcome.status != 200 or proofs + missing != 2:
            findings.append(f"{vm}: an old configuration {FOLLOW_S} s after a change")
    return findings


def run(seed, duration_s, daemons=4, keep_logs=None):
    """Run one soak and return its findings."""
    world = ProcessWorld(shards=SHARDS)
    world.set_sizes = {SHARDS - 1, SHARDS}
    try:
        for number in range(daemons):
            world.add_daemon(f"e{number}", ["a1", "b1"][number % 2], bounds=BOUNDS)
        world.wait_ready()
        soak = Soak(world, seed)
        callers = Callers(world, CALLERS)
        callers.start()
        names = sorted(actions.names())
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            name = soak.rng.choice(names)
            print(f"{duration_s - (end_s - time.monotonic()):6.1f} s {name}")
            actions.get(name)(soak)
            time.sleep(soak.rng.uniform(0.1, 0.9))
            soak.run_heals()
        soak.run_heals(all_of_them=True)
        callers.stop()
        findings = soak.judge(callers.outcomes) + callers.findings
        findings += check_recovery(soak) + check_configuration(soak)
        served = sum(1 for outcome in callers.outcomes if outcome.status == 200)
        print(f"seed {seed}: {served} of {len(callers.outcomes)} requests served")
        if findings and keep_logs:
            shutil.copytree(world.folder, keep_logs, dirs_exist_ok=True)
        return findings
    finally:
        world.stop()


def main():
    """Run the soak of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds in turn")
    parser.add_argument("--duration-s", type=float, default=60.0)
    parser.add_argument("--daemons", type=int, default=4)
    parser.add_argument("--keep-logs", help="a folder for the logs of a failed run")
    options = parser.parse_args()
    # A run that is told to stop ends the processes that it has started.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = f"{options.keep_logs}/{seed}" if options.keep_logs else None
        findings = run(seed, options.duration_s, options.daemons, folder)
        for finding in findings:
            print(f"seed {seed}: {finding}")
        failed += bool(findings)
    print(f"{options.seeds - failed} of {options.seeds} seeds without a finding")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
