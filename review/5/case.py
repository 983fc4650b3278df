"""After machines were replaced, a cut of the reading one leaves its zone behind."""

import asyncio
import itertools
import signal
from pathlib import Path

from review.lib.server import Server
from review.lib.world import Record, World, configuration, main, route

CONFIG_APPLY_MS = 4000
BOUNDS = {
    "stable_window_ms": 5000,
    "drain_ms": 4000,
    "config_apply_ms": CONFIG_APPLY_MS,
    "evacuate_ms": 5000,
    "grace_s": 6,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 58,
}
ZONE = "mtl-a"
# Machines that are taken away for good, one after the other, and those that stay.
REMOVED = 6
STAYING = 2
BUDGET_MS = 3000
SEND_INTERVAL_S = 0.05
# The dose of the site file: core_cut, count = 1, for_s = 5.5.
CUT_S = 5.5


async def case(folder, trouble):
    """Replace machines, cut one machine from the store, then move a route."""
    async with World(Record(folder), {ZONE: "mtl"}, BOUNDS) as world:
        old = Server(world.record, "old", "orders", ZONE)
        new = Server(world.record, "new", "stock", ZONE)
        for server in (old, new):
            await world.add_server(server)
        await configure(world, 7, "orders")
        daemons, proxies = [], []
        for number in range(1, REMOVED + STAYING + 1):
            proxies.append(await world.add_proxy())
            daemons.append(
                world.add_daemon(f"edge-{ZONE}-{number}", ZONE, proxies[-1].address)
            )
        await world.wait_ready()
        for daemon in daemons[:REMOVED]:
            daemon.signal(signal.SIGTERM)
        # Longer than grace_s and stable_window_ms: the machines are in touch.
        await asyncio.sleep(6.0 + 6.0)
        reader, follower = daemons[REMOVED:]
        if trouble:
            proxies[REMOVED].cut()
            world.record.write(f"{reader.name} is cut off from the store")
        await configure(world, 9, "stock")
        acked_ms = world.record.now_ms()
        world.record.write("store acks version 9: the route goes to the service stock")
        sent_ms = {}
        tasks = []
        for number in itertools.count(1):
            if world.record.now_ms() > acked_ms + CUT_S * 1000 + 3000:
                break
            attempt = f"fetch{number}"
            sent_ms[attempt] = world.record.now_ms()
            tasks.append(
                asyncio.create_task(
                    world.request(follower, "GET", "/fetch/x", attempt, BUDGET_MS)
                )
            )
            if world.record.now_ms() > acked_ms + CUT_S * 1000:
                proxies[REMOVED].heal()
            await asyncio.sleep(SEND_INTERVAL_S)
        await asyncio.gather(*tasks)
        return check(world, old, new, sent_ms, acked_ms, follower)


async def configure(world, version, service):
    """Write a version of the configuration that sends the route to a service."""
    fetch = route(
        "fetch",
        "idempotent",
        service=service,
        timeout_ms=BUDGET_MS,
        target_latency_ms=300,
        max_attempts=2,
    )
    limits = {"orders": 110, "stock": 110}
    await world.store.put("config", "main", configuration(version, [fetch], limits))


def check(world, old, new, sent_ms, acked_ms, follower):
    """Return whether CONFIG held."""
    late = [
        round(sent_ms[attempt] - acked_ms)
        for attempt, _ in old.runs
        if attempt in sent_ms and sent_ms[attempt] > acked_ms + CONFIG_APPLY_MS
    ]
    lines = [
        f"{len(sent_ms)} requests to {follower.name}: {len(old.runs)} run by the old"
        f" service, {len(new.runs)} by the new one",
        f"CONFIG: {len(late)} run by the old service though sent over"
        f" {CONFIG_APPLY_MS} ms after the ack: {late[:1]} to {late[-1:]} ms",
    ]
    for line in lines:
        world.record.write(line)
        print(line)
    return not late


if __name__ == "__main__":
    main(case, Path(__file__).parent)
