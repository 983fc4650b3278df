"""Lets the store come back from an older copy, and counts what is wrong afterwards.

    python -m tests.edge_soak.store_returns --code ../earlier --case lost

Early changes are acknowledged, lost and written again; newer ones follow the return.
Bounds run from the acknowledgement, but nothing counts that a daemon does within the
stable window after a disturbance of it or of the store. With ``--code`` the daemons run
the code of another folder.
"""

import argparse
import itertools
import random
import signal
import statistics
import sys
import threading
import time

from tests.edge_soak.store_return_checks import count_unserved, describe_wrong
from tests.edge_soak.store_return_world import ALWAYS, DAEMONS, StoreReturnWorld
from tests.reactor_thread import run_in_reactor

READER = "e0"
PATHS = [*ALWAYS, "early", "added", "removed"]
STABLE_WINDOW_S, LOST_S, TROUBLE_S, OBSERVED_S = 2.0, 3.0, 3.0, 8.0
CHURN_INTERVAL_S = 0.05
# Arguments of ``StoreReturns.play``.
CASES = {
    "whole": {"lost": False},
    "lost": {},
    "hidden": {"hidden": True},
    "after-5s": {"again_s": 5.0},
    "twice": {"returns": 2},
    "reader-cut": {"before": "cut"},
    "reader-suspended": {"before": "suspend"},
    "reader-restarted": {"before": "restart"},
    "restarted-after": {"after": "restart"},
    "restarted-5s": {"after": "restart", "again_s": 5.0},
}


class StoreReturns:
    """A world under load, its changes and what its callers have seen."""

    def __init__(self, code_folder):
        self.world = StoreReturnWorld(code_folder)
        self.calm_from_s = dict.fromkeys(DAEMONS, 0.0)
        self.sent_s = {}
        self.answers = []
        self.stopped = threading.Event()

    def start(self, function, *arguments):
        """Run a function in a thread of its own, and return the thread."""
        thread = threading.Thread(target=function, args=arguments, daemon=True)
        thread.start()
        return thread

    def use_up_revisions(self):
        """Write an entry without effect again and again."""
        for sequence in itertools.count():
            if self.stopped.wait(CHURN_INTERVAL_S):
                return
            if self.world.store.mode == "up":
                self.world.put("servers", "other", {"sequence": sequence})

    def call(self, vm):
        """Send requests to one daemon."""
        for number, path in enumerate(itertools.cycle(PATHS)):
            if self.stopped.wait(0.01):
                return
            attempt = f"{path}.{vm}.{number}"
            self.sent_s[attempt] = time.monotonic()
            status = self.world.request(vm, f"/{path}/x", attempt).status
            self.answers.append((attempt, status))

    def play(
        self, lost=True, hidden=False, again_s=0.2, returns=1, before=None, after=None
    ):
        """Let the store go away and come back, and observe what follows.

        With ``hidden``, changes and as many writes as were lost come before the daemons
        reach the store again. ``before`` and ``after`` are what happens to the reader.
        """
        store = self.world.store
        threads = [self.start(self.call, vm) for vm in DAEMONS]
        threads.append(self.start(self.use_up_revisions))
        time.sleep(1.0)
        copy, version = run_in_reactor(store.copy), self.world.version
        early = "early", ["removed", "early"], "b", "item-a1", "b2"
        newer = "newer", ["early", "added"], "a", "item-b1", "b3"
        self.world.change(*early)
        early_s = self.world.acknowledged_s["early"]
        time.sleep(LOST_S)
        for _ in range(returns):
            store.mode = "reset"
            time.sleep(0.5)
            if before:
                threads.append(self.start(self.disturb_reader, before))
            time.sleep(0.5)
            if lost:
                run_in_reactor(store.come_back_from, copy)
            store.mode = "reset" if hidden else "up"
            back_s = time.monotonic()
            if after:
                threads.append(self.start(self.disturb_reader, after))
            time.sleep(0.0 if hidden else again_s)
            self.world.version = version
            self.world.change(*early)
            time.sleep(0.0 if hidden else 0.3)
            self.world.change(*newer)
            for sequence in range(int(2 * LOST_S / CHURN_INTERVAL_S) if hidden else 0):
                self.world.put("servers", "other", {"sequence": -sequence})
            store.mode = "up"
            for vm in DAEMONS:
                self.disturbed_until(vm, time.monotonic() if hidden else back_s)
        self.world.acknowledged_s["early"] = early_s
        time.sleep(OBSERVED_S)
        self.stopped.set()
        for thread in threads:
            thread.join(timeout=10)

    def disturbed_until(self, vm, end_s):
        """Let what a daemon does count from one stable window after a time."""
        self.calm_from_s[vm] = max(self.calm_from_s[vm], end_s + STABLE_WINDOW_S)

    def disturb_reader(self, name):
        """Cut the reader off from the store, suspend it or restart it."""
        daemon, proxy = self.world.daemons[READER], self.world.store_proxies[READER]
        if name == "restart":
            daemon.kill_and_restart()
        elif name == "cut":
            proxy.set_mode("silence", random.Random(0))
            time.sleep(TROUBLE_S)
            proxy.set_mode("pass", random.Random(0))
        else:
            daemon.signal(signal.SIGSTOP)
            time.sleep(TROUBLE_S)
            daemon.signal(signal.SIGCONT)
        self.disturbed_until(READER, time.monotonic())

    def apply_delays_ms(self, count=20):
        """Return how late after the acknowledgement daemons serve each added route."""
        delays_ms = []

        def observe(vm, path, ack_s):
            while self.world.request(vm, f"/{path}/x", f"{path}.{vm}").status != 200:
                time.sleep(0.005)
            delays_ms.append((time.monotonic() - ack_s) * 1000)

        for number in range(count):
            self.world.configure_paths([f"calm{number}"], "b")
            ack_s = time.monotonic()
            path = f"calm{number}"
            for thread in [self.start(observe, vm, path, ack_s) for vm in DAEMONS]:
                thread.join()
            time.sleep(0.3)
        return delays_ms


def run_case(name, code_folder, keep_logs):
    """Play one case and print what was wrong; return whether anything was."""
    returns = StoreReturns(code_folder)
    try:
        returns.world.start_daemons()
        if name == "calm":
            delays_ms = returns.apply_delays_ms()
            median_ms, longest_ms = statistics.median(delays_ms), max(delays_ms)
            print(f"calm: in force after {median_ms:.0f} ms, at most {longest_ms:.0f}")
            return False
        returns.play(**CASES[name])
        wrong = describe_wrong(returns)
        counts = f"{len(returns.answers)} requests, {count_unserved(returns)} unserved"
        print(f"{name}: {counts}; {wrong or 'none wrong'}")
        if wrong and keep_logs:
            returns.world.keep_logs(f"{keep_logs}/{name}")
        return bool(wrong)
    finally:
        sys.stdout.flush()
        returns.world.stop()


def main():
    """Play the cases given on the command line; return the exit status."""
    names = [*CASES, "calm"]
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--code", help="folder of the code that the daemons run")
    parser.add_argument("--case", action="append", choices=names, help="default: all")
    parser.add_argument("--keep-logs", help="folder for the logs of failed cases")
    options = parser.parse_args()
    # Exit through the finally clause on SIGTERM, which ends the daemon processes.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    names = options.case or names
    results = [run_case(name, options.code, options.keep_logs) for name in names]
    return int(any(results))


if __name__ == "__main__":
    sys.exit(main())
