"""Another writer keeps an entry of another type among those of the servers."""

import asyncio
import itertools
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from stand_ins import BROKEN, HELD, World, request, run_case  # noqa: E402

REGIONS = {"kolding": "jylland", "koege": "sjaelland", "klaipeda": "baltikum"}
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
HOST = "desk.example"
PATH = "/lagerpost/2f"
SERVERS = 3
WORK_MS = 20.0
TIMEOUT_MS = 1200
BUDGET_MS = 6000
REQUESTS_PER_S = 5.0
PLAY_S = 30.0
SETTLE_S = 5.0
# The entry of the other writer: below the limit of the store for a value, and written
# as often as servers write.
HEARTBEAT_S = 1.2
ELEMENTS = 330_000
LONG_NUMBER = 10**5000
# For the rule: the least number of requests that count, and how much later than its
# timeout a request must be answered.
LEAST = 8
LATE_MS = 500


def configuration():
    route = {
        "name": "lagerpost",
        "host": HOST,
        "path_prefix": "/lagerpost/",
        "kind": "idempotent",
        "service": "lagerkonto",
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": 400,
        "max_attempts": 2,
        "priority": 2,
    }
    service = {"name": "lagerkonto", "health_path": "/health", "max_connections": 40}
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 5000,
        "idle_timeout_ms": 30000,
    }
    return {"version": 7, "routes": [route], "services": [service], "limits": limits}


async def write_entries(store, record):
    """Write an entry with a field of another type as often as a server writes."""
    for sequence in itertools.count(1):
        slots = [[] for _ in range(ELEMENTS)]
        spec = {"kind": "printer", "sequence": sequence, "slots": [*slots, LONG_NUMBER]}
        await store.put("servers", "other-writer-1", spec)
        record.write(f"entry   of another writer, sequence {sequence}")
        await asyncio.sleep(HEARTBEAT_S)


async def send_requests(daemons, record, times):
    async def send(daemon, attempt):
        started_ms = record.now_ms()
        reply = await request(daemon, PATH, attempt, HOST, BUDGET_MS)
        took_ms = record.now_ms() - started_ms
        answer = f"{reply.status} after {took_ms:.0f} ms"
        record.write(f"answer  {attempt} from {daemon.name}: {answer}")
        times.append((daemon.name, reply.status, took_ms))

    for number in itertools.count():
        for daemon in daemons:
            asyncio.create_task(send(daemon, f"request-{daemon.name}-{number}"))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)


async def play(record, trouble):
    sys.set_int_max_str_digits(0)
    world = World(record, REGIONS, LIMITS, BOUNDS)
    times = []
    try:
        await world.start()
        await world.store.put("config", "main", configuration())
        for number, zone in zip(range(SERVERS), itertools.cycle(REGIONS)):
            await world.add_server(f"i-{number}", "lagerkonto", zone, work_ms=WORK_MS)
        await world.add_daemons(*((f"edge-{zone}-1", zone) for zone in REGIONS))
        await asyncio.sleep(SETTLE_S)
        tasks = [asyncio.create_task(send_requests(world.daemons, record, times))]
        if trouble:
            tasks.append(asyncio.create_task(write_entries(world.store, record)))
        await asyncio.sleep(PLAY_S)
        for task in tasks:
            task.cancel()
        await asyncio.sleep(BUDGET_MS / 1000.0)
    finally:
        await world.stop()
    late = [took_ms for _, _, took_ms in times if took_ms > TIMEOUT_MS]
    silent = [took_ms for took_ms in late if took_ms > TIMEOUT_MS + LATE_MS]
    counts = dict(Counter(status for _, status, _ in times))
    text = (
        f"{len(times)} requests got {counts}; {len(late)} were unanswered at "
        f"{TIMEOUT_MS} ms, {len(silent)} of them also {LATE_MS} ms later"
    )
    record.write(text)
    print(text)
    return BROKEN if len(late) >= LEAST and 2 * len(silent) > len(late) else HELD


run_case(FOLDER, play)
