"""Stand-in of the platform's store for replies that exceed the limit of a daemon."""

import json
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from tests.hosts import STAND_IN_HOST

# Pages of a list end with the object that exceeds this, as those of the store do.
PAGE_BYTES = 1_000_000
ENDLESS_REPLY = b"x" * (9 * 1024 * 1024)
WATCH_STEP_S = 0.005
WRITE_BYTES = 50_000


class LongRepliesStore:
    """Objects by kind, with all changes since its start.

    ``away`` refuses all calls. Kinds in ``endless_watches`` and ``endless_lists`` get a
    reply of 9 MB. ``calls`` counts the lists and watches of each kind. Without
    ``bytes_per_s`` bodies are sent at once.
    """

    def __init__(self):
        self.away = False
        self.endless_watches = set()
        self.endless_lists = set()
        self.calls = Counter()
        self.bytes_per_s = None
        self._revision = 1
        self._objects = {}
        self._events = []
        self._server = ThreadingHTTPServer((STAND_IN_HOST, 0), Handler)
        self._server.daemon_threads = True
        self._server.store = self
        self.port = self._server.server_port
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()

    def put(self, kind, name, size=0):
        """Write an object with a text of ``size`` bytes in its spec."""
        revision = self._revision + 1
        meta = {"name": name, "revision": revision}
        text = json.dumps({"meta": meta, "spec": {"data": "x" * size}})
        self._objects.setdefault(kind, {})[name] = text
        self._events.append((revision, kind, text))
        self._revision = revision

    def reply(self, kind, query):
        """Return the status and body of the reply to a list or watch."""
        if self.away:
            return 503, b"{}"
        if "watch" in query:
            self.calls["watch", kind] += 1
            body = self._watch(kind, int(query["watch"]), int(query["wait_ms"]))
        else:
            self.calls["list", kind] += 1
            body = self._list(kind, query.get("after", ""))
        return (503, b"{}") if self.away else (200, body)

    def _list(self, kind, after):
        if kind in self.endless_lists:
            return ENDLESS_REPLY
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        page = []
        while names and sum(map(len, page)) < PAGE_BYTES:
            page.append(objects[names.pop(0)])
        return self._page("items", page, more=bool(names))

    def _watch(self, kind, since, wait_ms):
        if kind in self.endless_watches:
            return ENDLESS_REPLY
        end_s = time.monotonic() + wait_ms / 1000
        while True:
            changes = [
                f'{{"object":{text},"removed":false}}'
                for revision, changed_kind, text in list(self._events)
                if revision > since and changed_kind == kind
            ]
            if changes or self.away or time.monotonic() > end_s:
                return self._page("events", changes)
            time.sleep(WATCH_STEP_S)

    def _page(self, field, texts, more=False):
        ending = f'"more":{json.dumps(more)},"current_rev":{self._revision}'
        return f'{{"{field}":[{",".join(texts)}],{ending}}}'.encode()


class Handler(BaseHTTPRequestHandler):
    """Handles the calls of one connection."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_args):
        """Log nothing."""

    def do_GET(self):
        """Reply to a list or a watch."""
        url = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind = url.path.rsplit("/", 1)[-1]
        status, body = self.server.store.reply(kind, query)
        try:
            self.send_response(status)
            self.send_header("Store-Era", "1")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self._send(body)
        except OSError:
            # The daemon has cut a reply that is too long.
            self.close_connection = True

    def _send(self, body):
        bytes_per_s = self.server.store.bytes_per_s
        if bytes_per_s is None:
            self.wfile.write(body)
            return
        for start in range(0, len(body), WRITE_BYTES):
            self.wfile.write(body[start : start + WRITE_BYTES])
            time.sleep(WRITE_BYTES / bytes_per_s)

    def handle_one_request(self):
        """Read a request, unless the daemon has reset the connection."""
        try:
            super().handle_one_request()
        except ConnectionResetError:
            self.close_connection = True
