"""A rolling restart under load cuts orders that the leaving daemons have accepted."""

import asyncio
import itertools
import random
import signal
import time
from pathlib import Path

from review.lib.server import Server
from review.lib.world import Record, World, configuration, main, route

# Figures of the site baandsoeg: bounds, slots, connections, longest work, time budget.
GRACE_S = 6
BOUNDS = {
    "stable_window_ms": 4000,
    "drain_ms": 3000,
    "config_apply_ms": 3000,
    "evacuate_ms": 5000,
    "grace_s": GRACE_S,
    "loss_slack_ms": 200,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 56,
}
ZONE = "kolding"
DAEMONS = 4
# One stays, so that the zone always has a daemon in rotation.
RESTARTED = 3
ROLLS = 4
# roll_term: one at a time, each gap_s.
GAP_S = 1.0
SLOTS = 3
MAX_CONNECTIONS = 40
LONGEST_WORK_MS = 1300
SHORTEST_WORK_MS = 900
# The platform starts a process again shortly after its end.
RESTART_DELAY_S = 0.3
ORDER_BUDGET_MS = 10_000
CLIENTS = 18
PAUSE_S = 0.1
# The rule excuses requests sent earlier after the SIGTERM if their server is still at
# work in the last sixth of grace_s.
EXCUSED_S = 3.0
LAST_SIXTH_S = GRACE_S * 5 / 6
READY_INTERVAL_S = 1.0
# Time between two rolls in which all daemons are in rotation again.
SETTLE_S = 5.0
MISSES = 2


class TimedServer(Server):
    """A sound server that records when it ends each request."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.ended_s = {}
        self._rng = random.Random(self.server_id)

    async def run(self, attempt):
        """Run a request once a slot is free."""
        self.work_ms = self._rng.uniform(SHORTEST_WORK_MS, LONGEST_WORK_MS)
        await super().run(attempt)
        self.ended_s[attempt] = time.monotonic()


class Balancer:
    """The platform's forwarding of new connections, as PROTOCOL.md says (Ingress)."""

    def __init__(self, world, daemons):
        self._world = world
        self._daemons = daemons
        self._misses = dict.fromkeys(daemons, 0)

    async def poll(self):
        """Ask each daemon once a second whether it is ready."""
        while True:
            for daemon in self._daemons:
                status = await self._world.ready_status(daemon)
                was_out = self._misses[daemon] >= MISSES
                self._misses[daemon] = 0 if status == 200 else self._misses[daemon] + 1
                is_out = self._misses[daemon] >= MISSES
                if is_out != was_out:
                    where = "out of" if is_out else "in"
                    self._world.record.write(f"{daemon.name} is {where} rotation")
            await asyncio.sleep(READY_INTERVAL_S)

    def choose(self, client):
        """Return the daemon for a new connection of a client."""
        rotation = [d for d in self._daemons if self._misses[d] < MISSES]
        if 2 * len(rotation) < len(self._daemons):
            rotation = self._daemons
        return rotation[client % len(rotation)]


class Order:
    """One order: when and to which daemon it was sent, and its answer."""

    def __init__(self, attempt, daemon):
        self.attempt = attempt
        self.daemon = daemon
        self.sent_s = time.monotonic()
        self.ended_s = None
        self.answer = None


async def case(folder, trouble):
    """Restart three of four daemons in turn, some times, while clients send orders."""
    async with World(Record(folder), {ZONE: "jylland"}, BOUNDS) as world:
        servers = [
            TimedServer(world.record, f"s{i}", "stock", ZONE, SLOTS) for i in range(2)
        ]
        for server in servers:
            await world.add_server(server)
        order = route(
            "order",
            "non_idempotent",
            service="stock",
            timeout_ms=ORDER_BUDGET_MS,
            target_latency_ms=1000,
            max_attempts=2,
        )
        await world.store.put(
            "config", "main", configuration(7, [order], {"stock": MAX_CONNECTIONS})
        )
        daemons = [world.add_daemon(f"edge-{ZONE}-{i}", ZONE) for i in range(DAEMONS)]
        await world.wait_ready()
        balancer = Balancer(world, daemons)
        polling = asyncio.create_task(balancer.poll())
        orders = []
        numbers = itertools.count(1)
        stopped = asyncio.Event()

        async def client(index):
            tries = 0
            while not stopped.is_set():
                # A retry is a new connection and reaches another daemon.
                daemon = balancer.choose(index + tries)
                item = Order(f"order{next(numbers)}", daemon)
                orders.append(item)
                item.answer = await world.request(
                    item.daemon,
                    "POST",
                    "/order/x",
                    item.attempt,
                    ORDER_BUDGET_MS,
                    b"three coils",
                )
                item.ended_s = time.monotonic()
                tries = tries + 1 if item.answer is None else 0
                await asyncio.sleep(PAUSE_S)

        clients = [asyncio.create_task(client(index)) for index in range(CLIENTS)]
        # Longer than stable_window_ms, so that the machines are in touch.
        await asyncio.sleep(6.0)
        terminated_s = {daemon: [] for daemon in daemons}
        restarts = []
        for _ in range(ROLLS):
            for daemon in daemons[:RESTARTED]:
                if trouble:
                    restarts.append(asyncio.create_task(restart(daemon)))
                    terminated_s[daemon].append(time.monotonic())
                await asyncio.sleep(GAP_S)
            await asyncio.sleep(GRACE_S + SETTLE_S)
        stopped.set()
        await asyncio.gather(*clients, *restarts)
        polling.cancel()
        return check(world, servers, orders, terminated_s)


async def restart(daemon):
    """Stop a daemon as the platform does, and start it again once it has ended."""
    daemon.signal(signal.SIGTERM)
    end_s = time.monotonic() + GRACE_S
    while daemon.process.poll() is None and time.monotonic() < end_s:
        await asyncio.sleep(0.05)
    daemon.stop()
    await asyncio.sleep(RESTART_DELAY_S)
    text = daemon.settings_path.read_text()
    daemon.settings_path.write_text(text.replace("bootstrap=true", "bootstrap=false"))
    daemon.start()


def check(world, servers, orders, terminated_s):
    """Return whether LOST held."""
    arrived = {attempt for server in servers for attempt, _ in server.arrivals}
    ended_s = {}
    for server in servers:
        ended_s.update(server.ended_s)
    lost, excused = [], []
    for item in orders:
        if item.answer is not None or item.attempt not in arrived:
            continue
        stops_s = [at_s for at_s in terminated_s[item.daemon] if at_s < item.ended_s]
        took_s = item.ended_s - item.sent_s
        if not stops_s or took_s > 0.9 * ORDER_BUDGET_MS / 1000:
            continue
        since_s = item.sent_s - stops_s[-1]
        work_end_s = ended_s.get(item.attempt, float("inf")) - stops_s[-1]
        text = (
            f"{item.attempt} sent {since_s:.1f} s after the SIGTERM of"
            f" {item.daemon.name}, cut after {took_s:.1f} s"
        )
        late = since_s > EXCUSED_S or work_end_s < LAST_SIXTH_S
        (lost if late else excused).append(text)
    lines = [
        f"{len(orders)} orders; cut without an answer: {len(lost)} lost,"
        f" {len(excused)} excused by the rule",
        *[f"LOST: {text}" for text in lost],
    ]
    for line in lines:
        world.record.write(line)
        print(line)
    return not lost


if __name__ == "__main__":
    main(case, Path(__file__).parent)
