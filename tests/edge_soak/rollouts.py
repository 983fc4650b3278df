"""Rollouts of a soak: orders that move a service to good and to bad versions.

Orders follow one another, good and bad versions in turn. They are drawn from the seed
before the run, apart from its other faults, which spare the servers of new versions.
"""

import random
import time

from tests.edge_soak.rollout_checks import check_order
from tests.platform_world import REGION_BY_DOMAIN
from tests.reactor_thread import run_in_reactor

SERVICE = "items"
SHARD = 90
ORDER_S = 8.0
# Servers of a version that was rolled back leave this long after the time budget, and
# the next order follows after that.
LEAVE_DELAY_S = 0.3
# An order must end this long after its time budget, also if the store was away: the
# longest outage of 3 s, a call that times out, and the turns of the other collectors.
END_WAIT_S = 10.0
POLL_INTERVAL_S = 0.05
BOUNDS = {"exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000}


def draw_schedule(seed, duration_s):
    """Return pairs of a time in seconds and whether the version is bad."""
    rng = random.Random(f"rollouts {seed}")
    is_bad = rng.random() < 0.5
    schedule = []
    at_s = rng.uniform(0.5, 1.0)
    while at_s + ORDER_S <= duration_s:
        schedule.append((at_s, is_bad))
        is_bad = not is_bad
        at_s += ORDER_S + rng.uniform(1.0, 1.5)
    return schedule


class SoakOrder:
    """One order; times are in seconds, ``state`` and ``ended_s`` as the store has them.

    ``begun_s`` is when the store had the order, ``budget_s`` the time that it gives.
    ``is_over`` is whether that has passed.
    """

    __slots__ = (
        "begun_s",
        "budget_s",
        "ended_s",
        "is_bad",
        "is_over",
        "old_ids",
        "state",
        "target_ids",
        "version",
        "was_replaced",
    )

    def __init__(self, version, is_bad, old_ids, target_ids):
        self.version = version
        self.is_bad = is_bad
        self.old_ids = old_ids
        self.target_ids = target_ids
        self.begun_s = None
        self.budget_s = ORDER_S
        self.ended_s = None
        self.state = None
        self.is_over = False
        self.was_replaced = False


class SoakRollouts:
    """The orders of one soak."""

    bounds = BOUNDS

    def __init__(self, world, seed, duration_s):
        self._world = world
        self._schedule = draw_schedule(seed, duration_s)
        self._soak = None
        self._server_ids = [
            server_id
            for server_id, server in world.servers.items()
            if server.service == SERVICE
        ]
        self._orders = []
        self._findings = []
        world.store.on_status_written = self._status_written

    def start(self, soak):
        """Plan the orders."""
        self._soak = soak
        for number, (at_s, is_bad) in enumerate(self._schedule):
            version = f"v{number + 2}"
            soak.schedule_end(at_s, lambda v=version, b=is_bad: self._begin(v, b))

    def _begin(self, version, is_bad):
        world = self._world
        target_ids = [f"{SERVICE}-{version}-{domain}" for domain in REGION_BY_DOMAIN]
        for server_id, domain in zip(target_ids, REGION_BY_DOMAIN, strict=True):
            world.add_server(server_id, SERVICE, SHARD, domain, announce=False)
            server = world.servers[server_id]
            server.version = version
            server.born += 1_000 * (len(self._orders) + 1)
            server.behaviour = "fail_often" if is_bad else "serve"
        order = SoakOrder(version, is_bad, list(self._server_ids), target_ids)
        self._orders.append(order)
        for server_id in target_ids:
            world.announce(server_id)
        spec = {
            "service": SERVICE,
            "target_version": version,
            "duration_s": ORDER_S,
        }
        world.put("rollouts", SERVICE, spec)
        for replaced in self._orders[:-1]:
            replaced.was_replaced = True
        order.begun_s = time.monotonic()
        self._soak.schedule_end(ORDER_S + LEAVE_DELAY_S, lambda: self._leave(order))

    def _leave(self, order):
        order.is_over = True
        run_in_reactor(self._retire_rolled_back, order)

    def _retire_rolled_back(self, order):
        """Remove the servers of a version that was rolled back, after its time."""
        if order.is_over and order.state == "rolled_back":
            for server_id in order.target_ids:
                self._world.retire(server_id)

    def _status_written(self, kind, name, status):
        """Note the end of an order; the old servers of a completed one leave at once.

        It is called by the store, in the thread of the reactor. After a return from an
        older copy the store may have an order that was replaced; its end is not noted.
        """
        state, version = status.get("state"), status["target_version"]
        if state == "running" or version != self._stored_version():
            return
        order = next(order for order in self._orders if order.version == version)
        if order.state is not None:
            if order.state != state:
                self._findings.append(f"{version}: {state} after it was {order.state}")
            return
        if order.was_replaced:
            if order.is_bad and state == "completed":
                self._findings.append(f"bad {version}: {state} after it was replaced")
            return
        order.state, order.ended_s = state, time.monotonic()
        if state == "completed":
            for server_id in order.old_ids:
                self._world.retire(server_id)
            self._server_ids = order.target_ids
        self._retire_rolled_back(order)

    def _stored_version(self):
        return (self._world.store.get("rollouts", SERVICE) or {}).get("target_version")

    def stop(self):
        """Wait for the end of the last order; return no outcomes and no findings."""
        while self._orders:
            order = self._orders[-1]
            # The store may have lost the order, and have it again since.
            written_s = max(w.at_s for w in self._world.writings if w.name == SERVICE)
            is_over = time.monotonic() > written_s + order.budget_s + END_WAIT_S
            if order.state is not None or is_over:
                break
            time.sleep(POLL_INTERVAL_S)
        return [], []

    def check(self, outcomes):
        """Return findings on the orders, from what the servers and the store got."""
        findings = list(self._findings)
        for order in self._orders:
            findings += check_order(order, self._world, self._soak, BOUNDS)
        return findings

    def check_calm(self):
        """Return findings on the last order if the store has another end of it."""
        order = self._orders[-1] if self._orders else None
        if order is None or order.state is None:
            return []
        status = run_in_reactor(self._world.store.status, "rollouts", SERVICE) or {}
        if status.get("state") == order.state:
            return []
        return [f"{order.version}: {status} in the store after it was {order.state}"]
