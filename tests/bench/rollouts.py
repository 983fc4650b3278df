"""How rollouts of simulated fleets end: verdicts, exposure and time.

Plays many seeds of good and bad versions on a manual clock and prints a row of a table
for each case, fleet and rate of requests::

    python tests/bench/rollouts.py [--seeds 20] [--first-seed 0]
        [--daemons 10 88 300] [--rates 20 4] [--case NAME ...]
"""

import argparse
import time
from collections import Counter

from tests.rollout_world import DURATION_MS, PAUSE_MS, Fault, RolloutWorld

CASES = {
    "good": (Fault(), False),
    "good, a region in trouble": (Fault(), True),
    "10% fail": (Fault(0.1), False),
    "40% fail": (Fault(0.4), False),
    "100% fail": (Fault(1.0), False),
    "3 times slower": (Fault(slow=3.0), False),
    "8 times slower": (Fault(slow=8.0), False),
    "40% fail after half of time": (Fault(0.4, from_fraction=0.5), False),
    "40% fail under load": (Fault(0.4, load=True), False),
    "one route of six fails": (Fault(1.0, route="route-2"), False),
}
# Cases with other pauses of the servers, in ms each 7.5 s; played if they are named.
PAUSE_CASES = {
    "good, no pauses": (Fault(), 0.0),
    "good, pauses of 900 ms": (Fault(), 900.0),
    "10% are 8 times slower": (Fault(slow=8.0, slow_part=0.1), PAUSE_MS),
    "10% are 8 times slower, no pauses": (Fault(slow=8.0, slow_part=0.1), 0.0),
}
# Servers by requests a second: of a shard, of another service, and of a large one.
SERVERS = {20: 3, 4: 6, 200: 20}
ROLLBACK_MS = 5000.0
RUN_MS = 14_000.0


class CaseResult:
    """Sums over the seeds of one case."""

    def __init__(self):
        self.verdicts = Counter()
        self.worst_exposure = 0.0
        self.ends_ms = []
        self.old_in_progress = 0
        self.old_after = 0
        self.late = 0

    def add(self, world):
        """Add one run."""
        verdict = world.verdict()
        self.verdicts[verdict] += 1
        self.ends_ms.append(world.ended_ms or float("inf"))
        if verdict == "completed":
            self.old_in_progress += world.old_in_progress_at_end
            self.old_after += sum(t > world.ended_ms for t in world.old_times_ms)
        if world.fault.is_bad:
            exposed = sum(t <= DURATION_MS for t in world.target_times_ms)
            self.worst_exposure = max(self.worst_exposure, exposed / world.limit())
            if len(world.bad_times_ms) >= 50:
                limit_ms = world.bad_times_ms[49] + ROLLBACK_MS
                self.late += any(t > limit_ms for t in world.target_times_ms)

    def row(self):
        """Return the cells of a table."""
        ends_ms = sorted(self.ends_ms)
        return [
            self.verdicts["completed"],
            self.verdicts["rolled_back"],
            f"{self.worst_exposure:.2f}",
            f"{ends_ms[len(ends_ms) // 2] / 1000:.1f}",
            f"{ends_ms[-1] / 1000:.1f}",
            self.old_in_progress + self.old_after,
            self.late,
        ]


def main():
    """Play the cases and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--first-seed", type=int, default=0)
    parser.add_argument("--daemons", type=int, nargs="+", default=[10, 88, 300])
    parser.add_argument("--rates", type=int, nargs="+", default=[20, 4])
    parser.add_argument(
        "--case", nargs="+", choices=[*CASES, *PAUSE_CASES], default=list(CASES)
    )
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.seeds)
    print(
        "| version | daemons | req/s | completed | rolled back | exposure / limit "
        "| median s | longest s | old cut | late |"
    )
    for name in options.case:
        fault, trouble = CASES.get(name, (None, False))
        pause_ms = PAUSE_MS
        if name in PAUSE_CASES:
            fault, pause_ms = PAUSE_CASES[name]
        for daemons in options.daemons:
            for rate in options.rates:
                started_s, result = time.monotonic(), CaseResult()
                for seed in seeds:
                    world = RolloutWorld(
                        daemons, rate, SERVERS[rate], fault, seed, trouble, pause_ms
                    )
                    world.run(RUN_MS)
                    result.add(world)
                cells = [name, daemons, rate, *result.row()]
                took_s = time.monotonic() - started_s
                print(f"| {' | '.join(map(str, cells))} | ({took_s:.0f} s)", flush=True)


if __name__ == "__main__":
    main()
