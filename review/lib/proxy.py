"""A proxy that can partition its callers from the target for a while."""

import asyncio
import contextlib


class Proxy:
    """Forwards connections; while ``cut`` is in force it holds all bytes back.

    As on a partitioned link, bytes are delivered once the cut is over unless their
    sender has closed the connection meanwhile.
    """

    def __init__(self, target):
        self._target = target
        self._open = asyncio.Event()
        self._open.set()
        self.address = None

    async def start(self, host):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())

    def cut(self):
        """Partition the link."""
        self._open.clear()

    def heal(self):
        """End the partition."""
        self._open.set()

    async def _serve(self, reader, writer):
        await self._open.wait()
        host, _, port = self._target.partition(":")
        target_reader, target_writer = await asyncio.open_connection(host, int(port))
        await asyncio.gather(
            self._pump(reader, target_writer), self._pump(target_reader, writer)
        )

    async def _pump(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await reader.read(65536):
                await self._open.wait()
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(ConnectionError):
            writer.close()
