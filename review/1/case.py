"""A late second copy of a refusal is taken for the answer to the order's next send."""

import asyncio
import itertools
import random
from pathlib import Path

from review.lib.server import Server
from review.lib.world import Record, World, configuration, main, route

# Within the largest dose of the pages: "extra late", share 0.6, x 0.03, 5 s.
FAULTY_SERVERS = 2
COPIED_SHARE_OF_ANSWERS = 0.03
WINDOW_S = 5.0
# The disruption comes more than once, with a pause between.
WINDOWS = 4
BETWEEN_S = 1.0
SERVERS = 4
SLOTS = 2
QUEUE = 1
WORK_MS = 60
# One way between regions, as the site sheet says.
DELAY_S = 0.020
CLIENTS = 20
ORDER_BUDGET_MS = 3000
LONGEST_PAUSE_S = 0.06
BOUNDS = {
    "stable_window_ms": 5000,
    "drain_ms": 4000,
    "config_apply_ms": 4000,
    "evacuate_ms": 5000,
    "grace_s": 6,
    "retry_budget_ratio": 0.2,
    "retry_window_s": 10,
    "retry_slack": 58,
}


class OrderServer(Server):
    """Refuses orders while its slots and its queue are full, and says so.

    While ``copies`` is set, a share of its answers is sent a second time, at the point
    where the next response on the connection is expected. ``answer_count`` counts the
    answers of these times.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.copies = False
        self.answer_count = 0
        self.copy_count = 0
        self._accepted = 0
        self._pending_copies = {}

    async def handle(self, request, attempt, writer):
        """Send the pending copy, then run or refuse the order."""
        await asyncio.sleep(DELAY_S)
        copy = self._pending_copies.pop(writer, None)
        if copy is not None:
            self.record.write(f"server {self.server_id} sends a second copy: {copy[0]}")
            writer.write(copy[1])
        if self._accepted >= self.slots + QUEUE:
            await asyncio.sleep(DELAY_S)
            data = self.answer(writer, 503, attempt, not_run=True)
            self._copy_later(writer, attempt, data)
            return
        self._accepted += 1
        try:
            await self.run(attempt)
        finally:
            self._accepted -= 1
        await asyncio.sleep(DELAY_S)
        self.answer(writer, 200, attempt, b"done")
        self.answer_count += self.copies

    def _copy_later(self, writer, attempt, data):
        self.answer_count += self.copies
        allowed = COPIED_SHARE_OF_ANSWERS * self.answer_count
        if self.copies and self.copy_count + 1 <= allowed:
            self.copy_count += 1
            self._pending_copies[writer] = f"503 of {attempt}", data


async def case(folder, trouble):
    """Send orders from closed-loop clients while two of four servers send copies."""
    async with World(Record(folder), {"mtl-a": "mtl"}, BOUNDS) as world:
        servers = [
            OrderServer(
                world.record, f"s{number}", "orders", "mtl-a", SLOTS, work_ms=WORK_MS
            )
            for number in range(SERVERS)
        ]
        for server in servers:
            await world.add_server(server)
        order = route(
            "order",
            "non_idempotent",
            service="orders",
            timeout_ms=ORDER_BUDGET_MS,
            target_latency_ms=300,
            max_attempts=1,
        )
        await world.store.put(
            "config", "main", configuration(7, [order], {"orders": 110})
        )
        daemon = world.add_daemon("edge-mtl-a-1", "mtl-a")
        await world.wait_ready()
        numbers = itertools.count(1)
        rng = random.Random(1)
        answers = {}
        loop = asyncio.get_running_loop()

        async def client(end_s):
            while loop.time() < end_s:
                attempt = f"order{next(numbers)}"
                answers[attempt] = await world.request(
                    daemon, "POST", "/order/x", attempt, ORDER_BUDGET_MS, b"two tonnes"
                )
                await asyncio.sleep(rng.uniform(0, LONGEST_PAUSE_S))

        end_s = loop.time() + WINDOWS * (WINDOW_S + BETWEEN_S)
        clients = [asyncio.create_task(client(end_s)) for _ in range(CLIENTS)]
        for _ in range(WINDOWS):
            for server in servers[:FAULTY_SERVERS]:
                server.copies = trouble
            await asyncio.sleep(WINDOW_S)
            for server in servers[:FAULTY_SERVERS]:
                server.copies = False
            await asyncio.sleep(BETWEEN_S)
        await asyncio.gather(*clients)
        return check(world, servers, answers)


def check(world, servers, answers):
    """Return whether REFUSED and TWICE held."""
    runs = {}
    for server in servers:
        for attempt, _ in server.runs:
            runs[attempt] = runs.get(attempt, 0) + 1
    refused = [
        attempt
        for attempt, answer in answers.items()
        if answer is not None and answer.status in (408, 421, 429, 503)
    ]
    broken = [attempt for attempt in refused if runs.get(attempt)]
    twice = [attempt for attempt, count in runs.items() if count > 1]
    answer_count = sum(server.answer_count for server in servers[:FAULTY_SERVERS])
    copies = sum(server.copy_count for server in servers)
    lines = [
        f"{len(answers)} orders, {len(refused)} answered 503",
        f"{copies} copies of {answer_count} answers of the faulty servers",
        f"REFUSED: answered 503 but run: {broken}",
        f"TWICE: run more than once: {twice}",
    ]
    for line in lines:
        world.record.write(line)
        print(line)
    return not broken and not twice


if __name__ == "__main__":
    main(case, Path(__file__).parent)
