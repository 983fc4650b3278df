"""Stand-in for a server of the platform's users."""

import asyncio
import contextlib

from review.lib.http import encode, read_message


class Server:
    """A sound server: ``slots`` requests at once, the others wait in its queue.

    ``runs`` and ``arrivals`` list attempt ids with the time since the start in ms. A
    subclass changes ``handle`` to misbehave as the pages allow.
    """

    def __init__(self, record, server_id, service, zone, slots=2, work_ms=20):
        self.record = record
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.work_ms = work_ms
        self.slots = slots
        self.address = None
        self.runs = []
        self.arrivals = []
        self._free_slots = asyncio.Semaphore(slots)
        self._listener = None
        self._writers = set()

    async def start(self, host):
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*self._listener.sockets[0].getsockname())

    def stop(self):
        """Exit: close the port and all connections."""
        self.record.write(f"server {self.server_id} exits")
        self._listener.close()
        for writer in self._writers:
            writer.close()

    def entry(self, state="ready", **changes):
        """Return what the server writes to the store about itself."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
            **changes,
        }

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                await self._accept(request, writer)
                await writer.drain()
        self._writers.discard(writer)
        writer.close()

    async def _accept(self, request, writer):
        attempt = request.header("X-Hemlockspoke-Attempt-Id", "")
        expected = request.header("X-Hemlockspoke-Expect-Instance")
        if expected not in (None, self.server_id):
            self.answer(writer, 421, attempt, not_run=True)
            return
        self.arrivals.append((attempt, self.record.now_ms()))
        self.record.write(f"server {self.server_id} gets {attempt}")
        await self.handle(request, attempt, writer)

    async def handle(self, request, attempt, writer):
        """Run the request and answer."""
        await self.run(attempt)
        self.answer(writer, 200, attempt, b"done")

    async def run(self, attempt):
        """Run a request once a slot is free."""
        async with self._free_slots:
            self.runs.append((attempt, self.record.now_ms()))
            self.record.write(f"server {self.server_id} runs {attempt}")
            await asyncio.sleep(self.work_ms / 1000)

    def answer(self, writer, status, attempt, body=b"", not_run=False):
        """Write an answer and return its bytes."""
        headers = [("X-Hemlockspoke-Attempt-Id", attempt)]
        if not_run:
            headers.append(("X-Hemlockspoke-Not-Executed", "1"))
        else:
            stamp = f"{self.server_id}.{len(self.runs)}.{attempt}"
            headers.append(("X-Hemlockspoke-Server-Stamp", stamp))
        headers.append(("X-Hemlockspoke-Instance-Id", self.server_id))
        headers.append(("Keep-Alive", "timeout=30"))
        data = encode(f"HTTP/1.1 {status} Status", headers, body)
        self.record.write(f"server {self.server_id} answers {attempt} with {status}")
        writer.write(data)
        return data
