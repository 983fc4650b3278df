"""Orders that wait for a connection are sent to a server long after it drains."""

import asyncio
from pathlib import Path

from review.lib.server import Server
from review.lib.world import Record, World, configuration, main, route

# Figures of the site baandsoeg: bounds, slots, connections, work and time budget.
ZONES = {"kolding": "jylland", "koege": "sjaelland", "klaipeda": "baltikum"}
DRAIN_MS = 3000
BOUNDS = {
    "stable_window_ms": 4000,
    "drain_ms": DRAIN_MS,
    "config_apply_ms": 3000,
    "evacuate_ms": 5000,
    "grace_s": 6,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 56,
}
SLOTS = 3
MAX_CONNECTIONS = 40
WORK_MS = 1300
ORDER_BUDGET_MS = 10_000
ORDERS = 48
SEND_INTERVAL_S = 0.05
# The server drains once this many orders have been sent by their clients.
ORDERS_BEFORE_DRAIN = 40
# How long a draining server goes on after drain_ms ("a little longer").
LONGER_S = 1.5


async def case(folder, trouble):
    """Send orders from one zone; meanwhile one of the two servers drains and exits."""
    async with World(Record(folder), ZONES, BOUNDS) as world:
        servers = [
            Server(world.record, f"s{i}", "stock", "kolding", SLOTS, work_ms=WORK_MS)
            for i in range(2)
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
        daemons = [world.add_daemon(f"edge-{zone}-1", zone) for zone in ZONES]
        await world.wait_ready()
        # Longer than stable_window_ms, so that the machines are in touch.
        await asyncio.sleep(5.0)
        drain = asyncio.Event()
        leaving = asyncio.create_task(leave(world, servers[0], drain, trouble))
        orders = []
        for number in range(ORDERS):
            if number == ORDERS_BEFORE_DRAIN:
                drain.set()
            orders.append(
                asyncio.create_task(
                    world.request(
                        daemons[-1],
                        "POST",
                        "/order/x",
                        f"order{number}",
                        ORDER_BUDGET_MS,
                        b"three coils",
                    )
                )
            )
            await asyncio.sleep(SEND_INTERVAL_S)
        answers = await asyncio.gather(*orders)
        return check(world, servers[0], answers, await leaving)


async def leave(world, server, drain, trouble):
    """Drain a server and let it exit; return when the store acked ``draining``."""
    await drain.wait()
    if not trouble:
        return None
    await world.announce(server, "draining")
    acked_ms = world.record.now_ms()
    await asyncio.sleep(DRAIN_MS / 1000 + LONGER_S)
    server.stop()
    await world.store.remove("servers", server.server_id)
    return acked_ms


def check(world, server, answers, acked_ms):
    """Return whether DRAIN held."""
    late = []
    if acked_ms is not None:
        late = [
            f"{attempt} {at_ms - acked_ms:.0f} ms after the ack"
            for attempt, at_ms in server.arrivals
            if at_ms > acked_ms + DRAIN_MS
        ]
    statuses = [None if answer is None else answer.status for answer in answers]
    counts = {status: statuses.count(status) for status in set(statuses)}
    lines = [
        f"answers by status: {counts}",
        f"DRAIN: {len(late)} orders reached the server late: {late}",
    ]
    for line in lines:
        world.record.write(line)
        print(line)
    return not late


if __name__ == "__main__":
    main(case, Path(__file__).parent)
