"""Servers that are full send some of their refusals a second time, late."""

import asyncio
import itertools
import random
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from stand_ins import BROKEN, HELD, World, request, run_case  # noqa: E402

REGIONS = {"kolding": "jylland", "koege": "sjaelland", "klaipeda": "baltikum"}
DAEMONS = {"kolding": 3, "koege": 3, "klaipeda": 2}
LIMITS = {"memory_mb": 300, "max_fds": 4100, "link_mbps": 1000.0}
BOUNDS = {
    "stable_window_ms": 4000,
    "drain_ms": 3000,
    "grace_s": 6,
    "config_apply_ms": 3000,
    "evacuate_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 56,
}
SERVERS = 8
SLOTS = 3
QUEUE = 12
WORK_MS = 233.0
MAX_CONNECTIONS = 40
HOST = "desk.example"
PATH = "/order/2f"
BUDGET_MS = 10_000
# More than the servers bear: 8 servers of 3 slots answer 103 requests a second.
ORDERS_PER_S = 130.0
PLAY_S = 60.0
SETTLE_S = 2.0
# The impairment: this share of the servers sends this share of its refusals twice, for
# some seconds at a time.
SHARE = 0.6
REPEATED = 0.03
TROUBLE_S = 5.0
PAUSE_S = 1.0


def configuration():
    route = {
        "name": "order",
        "host": HOST,
        "path_prefix": "/order/",
        "kind": "non_idempotent",
        "service": "fragtplan",
        "timeout_ms": BUDGET_MS,
        "target_latency_ms": 1041,
        "max_attempts": 2,
        "priority": 2,
    }
    service = {
        "name": "fragtplan",
        "health_path": "/health",
        "max_connections": MAX_CONNECTIONS,
    }
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 30000,
    }
    return {"version": 7, "routes": [route], "services": [service], "limits": limits}


class Repeater:
    """Sends some refusals again where the answer to the next request is expected."""

    def __init__(self, server_ids, record):
        self.is_on = False
        self.count = 0
        self._server_ids = server_ids
        self._record = record
        self._rng = random.Random(8)
        self._copies = {}

    def refused(self, server, writer, data):
        chosen = self.is_on and server.server_id in self._server_ids
        if chosen and self._rng.random() < REPEATED:
            self._copies[writer] = data

    async def run(self):
        while True:
            self.is_on = True
            self._record.write("trouble begins")
            await asyncio.sleep(TROUBLE_S)
            self.is_on = False
            self._record.write("trouble ends")
            await asyncio.sleep(PAUSE_S)

    def next_request(self, server, attempt, writer):
        """Send the copy that is due on a connection, before the request is served."""
        data = self._copies.pop(writer, None)
        if data is not None:
            self.count += 1
            self._record.write(f"copy    before {attempt} at {server.server_id}")
            writer.write(data)


async def send_orders(daemons, record, replies):
    async def send(daemon, attempt):
        reply = await request(
            daemon, PATH, attempt, HOST, BUDGET_MS, method="POST", body=b"order"
        )
        replies[attempt] = reply.status
        record.write(f"answer  {attempt} from {daemon.name}: {reply.status}")

    for number in itertools.count():
        daemon = daemons[number % len(daemons)]
        asyncio.create_task(send(daemon, f"order-{number}"))
        await asyncio.sleep(1.0 / ORDERS_PER_S)


async def play(record, trouble):
    world = World(record, REGIONS, LIMITS, BOUNDS)
    replies = {}
    ids = [f"i-{number}" for number in range(SERVERS)]
    repeater = Repeater(set(ids[: int(SHARE * SERVERS)]), record)
    try:
        await world.start()
        await world.store.put("config", "main", configuration())
        for number, server_id in enumerate(ids):
            await world.add_server(
                server_id,
                "fragtplan",
                list(REGIONS)[number % len(REGIONS)],
                slots=SLOTS,
                queue=QUEUE,
                work_ms=WORK_MS,
                max_connections=MAX_CONNECTIONS,
                repeater=repeater,
            )
        names = [
            (f"edge-{zone}-{number}", zone)
            for zone, count in DAEMONS.items()
            for number in range(1, count + 1)
        ]
        await world.add_daemons(*names)
        await asyncio.sleep(SETTLE_S)
        tasks = [asyncio.create_task(send_orders(world.daemons, record, replies))]
        if trouble:
            tasks.append(asyncio.create_task(repeater.run()))
        await asyncio.sleep(PLAY_S)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(BUDGET_MS / 1000.0)
    finally:
        await world.stop()
    runs = Counter(attempt for server in world.servers for attempt in server.runs)
    twice = sorted(attempt for attempt, count in runs.items() if count > 1)
    refused = sorted(one for one in runs if replies.get(one) in (408, 421, 429, 503))
    for attempt in twice:
        record.write(f"TWICE   {attempt} ran {runs[attempt]} times")
    for attempt in refused:
        record.write(f"REFUSED {attempt} ran and was answered {replies[attempt]}")
    counts = dict(Counter(replies.values()))
    record.write(f"clients got {counts}, {repeater.count} copies were sent")
    print(
        f"clients got {counts}; {repeater.count} copies; twice {len(twice)}, "
        f"refused though run {len(refused)}"
    )
    return BROKEN if refused else HELD


run_case(FOLDER, play)
