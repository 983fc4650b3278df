"""Stand-in for the platform's store: objects by kind, lists and watches."""

import asyncio
import contextlib
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from review.lib.http import encode, read_message

PAGE_ITEMS = 50
# Interval at which a waiting watch looks for changes.
POLL_S = 0.005


class Store:
    """Holds the objects and serves them as PROTOCOL.md says."""

    def __init__(self):
        self.kinds = {}
        self.events = []
        self.revision = 10
        self.address = None
        # Whether undecodable bytes of an object are sent as they are instead of as
        # escapes of JSON.
        self.raw_bytes = False
        self._server = None

    async def start(self, host):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def put(self, kind, name, spec):
        """Write an object; the return of this call is the store's ack."""
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 1}
        meta.update(finalizers=[], deleting=False)
        item = {"meta": meta, "spec": spec, "status": None}
        self.kinds.setdefault(kind, {})[name] = item
        self.events.append((self.revision, kind, {"object": item, "removed": False}))

    async def remove(self, kind, name):
        """Remove an object."""
        item = self.kinds[kind].pop(name)
        self.revision += 1
        item = {**item, "meta": {**item["meta"], "revision": self.revision}}
        self.events.append((self.revision, kind, {"object": item, "removed": True}))

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                status, body = await self._reply(request)
                text = json.dumps(body, ensure_ascii=not self.raw_bytes)
                content = text.encode("utf-8", "surrogateescape")
                headers = [("Content-Type", "application/json")]
                writer.write(encode(f"HTTP/1.1 {status} Status", headers, content))
                await writer.drain()
        writer.close()

    async def _reply(self, request):
        parts = urlsplit(request.target)
        path = [unquote(part) for part in parts.path.split("/")[3:]]
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if request.method == "GET" and "watch" in query:
            return await self._watch(path[0], query)
        if request.method == "GET":
            return 200, self._list(path[0], query.get("after", ""))
        return await self._write(request, path)

    def _list(self, kind, after):
        items = self.kinds.get(kind, {})
        names = sorted(name for name in items if name > after)
        return {
            "items": [items[name] for name in names[:PAGE_ITEMS]],
            "more": len(names) > PAGE_ITEMS,
            "current_rev": self.revision,
        }

    async def _watch(self, kind, query):
        since, wait_s = int(query["watch"]), int(query["wait_ms"]) / 1000

        def news():
            return [
                event
                for revision, event_kind, event in self.events
                if event_kind == kind and revision > since
            ]

        deadline_s = time.monotonic() + wait_s
        while not news() and time.monotonic() < deadline_s:
            await asyncio.sleep(POLL_S)
        return 200, {"events": news(), "current_rev": self.revision}

    async def _write(self, request, path):
        body = json.loads(request.body)
        name = body["meta"]["name"]
        item = self.kinds.get(path[0], {}).get(name)
        revision = body["meta"].get("revision")
        if request.method == "POST":
            conflict = item is not None
        else:
            conflict = item is None or item["meta"]["revision"] != revision
        if conflict:
            return 409, item or {}
        await self.put(path[0], name, body["spec"])
        return 200, self.kinds[path[0]][name]
