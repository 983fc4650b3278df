"""A store that comes back from an older copy while a soak runs.

The returns are drawn from the seed before the run, apart from its other faults. Between
a copy and the return from it a server is drained or removed. What is lost is written
again: by servers at once, by the operator after some seconds.
"""

import heapq
import itertools
import random
import threading
import time

from hemlockspoke.platform.objects import DAEMON_KIND
from tests.edge_soak.return_checks import StoreReturn
from tests.edge_soak.rollouts import SERVICE as ROLLED_OUT_SERVICE
from tests.reactor_thread import run_in_reactor

MODES = ("busy", "silent", "reset")
# Servers write their entries again within this time after a return.
WRITE_AGAIN_S = 1.2
# Longer than the drain time and the settle time, so that both are checked.
WITHDRAWN_S = (9.0, 12.0)


def draw_schedule(seed, duration_s):
    """Return triples of a time in seconds and a step, as drawn from the seed.

    A step is the name of a method of ``SoakReturns`` and its arguments.
    """
    rng = random.Random(f"returns {seed}")
    schedule = []
    at_s = rng.uniform(1.0, 2.5)
    while at_s < duration_s - 3.0:
        schedule.append((at_s, "copy", ()))
        away_s = at_s + rng.uniform(0.5, 5.0)
        withdrawal = ("withdraw", (rng.random(), rng.random() < 0.5))
        schedule.append((rng.uniform(at_s, away_s), *withdrawal))
        for _ in range(rng.choice([1, 1, 2])):
            at_s = away_s + rng.uniform(0.3, 2.0)
            compacts = rng.random() < 0.3
            operator_s = (rng.uniform(1.0, 5.0), rng.uniform(1.0, 5.0))
            schedule.append((away_s, "leave", (rng.choice(MODES),)))
            schedule.append((at_s, "come_back", (compacts, *operator_s)))
            # A second return is from the same copy or from a newer one.
            if rng.random() < 0.5:
                schedule.append((at_s + 0.05, "copy", ()))
            away_s = at_s + rng.uniform(0.1, 3.0)
        at_s += rng.uniform(2.0, 5.0)
    return sorted(schedule)


class SoakReturns:
    """The returns of one soak, played in a thread of its own."""

    bounds = {}

    def __init__(self, world, seed, duration_s):
        self._world = world
        self._rng = random.Random(f"servers of returns {seed}")
        self._soak = None
        self._sequence = itertools.count()
        self._steps = []
        for at_s, name, arguments in draw_schedule(seed, duration_s):
            self._add_step(at_s, getattr(self, name), *arguments)
        self._copy = None
        self._copied_s = None
        self._away_s = None
        self._fault_ends = []
        # Servers that are withdrawn until the end of the run or earlier.
        self._withdrawn_ids = set()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._errors = []

    def _add_step(self, at_s, step, *arguments):
        heapq.heappush(self._steps, (at_s, next(self._sequence), step, arguments))

    def start(self, soak):
        """Start to play the schedule."""
        self._soak = soak
        self._thread.start()

    def _run(self):
        try:
            while self._steps:
                at_s = self._steps[0][0]
                if self._stopped.wait(max(0.0, at_s - self._now_s())):
                    break
                _, _, step, arguments = heapq.heappop(self._steps)
                step(*arguments)
        except Exception as error:
            self._errors.append(f"the returns of the store ended with {error!r}")
            raise

    def _now_s(self):
        return time.monotonic() - self._soak.started_s

    def stop(self):
        """End an outage, write all that is lost; return no outcomes, and errors."""
        self._stopped.set()
        self._thread.join(timeout=30)
        if self._away_s is not None:
            self.come_back(False, 0.0, 0.0)
        for server_id in sorted(self._withdrawn_ids):
            self.restore(server_id)
        run_in_reactor(self._world.write_lost)
        return [], self._errors

    # Steps of the schedule.

    def copy(self):
        """Take the copy that the store comes back from."""
        self._copied_s = time.monotonic()
        self._copy = run_in_reactor(self._world.store.copy)

    def leave(self, mode):
        """Let the store serve no daemon."""
        world = self._world
        self._away_s = time.monotonic()
        kind = f"store {mode}"
        self._fault_ends = [self._soak.record_fault(vm, kind) for vm in world.daemons]
        world.store.mode = mode
        print(f"{self._now_s():6.1f} s store away ({mode})")

    def come_back(self, compacts, config_delay_s, order_delay_s):
        """Let the store come back from the copy, in a new era."""
        world = self._world

        def exchange():
            world.store.come_back_from(self._copy)
            if compacts:
                world.store.compact()
            world.store.mode = "up"
            back_s = time.monotonic()
            lost = sorted(f"{kind} {name}" for kind, name in world.lost())
            world.returns.append(StoreReturn(self._copied_s, self._away_s, back_s))
            return lost

        lost = run_in_reactor(exchange)
        self._away_s = None
        for end in self._fault_ends:
            end()
        now_s = self._now_s()
        print(f"{now_s:6.1f} s store back{' compacted' * compacts}, lacks {lost}")
        for server_id in sorted(world.servers):
            delay_s = self._rng.uniform(0.05, WRITE_AGAIN_S)
            self._add_step(now_s + delay_s, self._write_server, server_id)
        self._add_step(now_s + config_delay_s, self._write_lost, "config")
        self._add_step(now_s + order_delay_s, self._write_lost, "rollouts")

    def _write_server(self, server_id):
        run_in_reactor(self._world.write_entry_again, server_id)

    def _write_lost(self, kind):
        run_in_reactor(self._world.write_lost, kind)

    def withdraw(self, draw, is_removed):
        """Drain a server, or remove one of a shard, for some seconds."""
        world = self._world
        server_ids = [
            server_id
            for server_id, server in sorted(world.servers.items())
            if server.version == "v1" and server_id not in self._withdrawn_ids
        ]
        if not server_ids:
            return
        server_id = server_ids[int(draw * len(server_ids))]
        self._withdrawn_ids.add(server_id)
        # A rollout removes servers itself, and then for good.
        if is_removed and world.servers[server_id].service != ROLLED_OUT_SERVICE:
            run_in_reactor(world.retire, server_id)
        else:
            world.announce(server_id, "draining")
        at_s = self._now_s() + self._rng.uniform(*WITHDRAWN_S)
        self._add_step(at_s, self.restore, server_id)

    def restore(self, server_id):
        """Let a withdrawn server start again as a new process."""
        world = self._world
        self._withdrawn_ids.discard(server_id)
        server = world.servers[server_id]
        server.born += 1
        if server.service != ROLLED_OUT_SERVICE:
            world.rejoin(server_id)
        world.announce(server_id)

    # Checks.

    def check(self, outcomes):
        """Return no findings, as the checks of each soak heed the returns."""
        return []

    def check_calm(self):
        """Return findings on daemons that have lost their registration for good."""
        known = run_in_reactor(self._world.store.names, DAEMON_KIND)
        missing = sorted(set(self._world.daemons) - set(known))
        return [f"{vm}: its registration is lost" for vm in missing]
