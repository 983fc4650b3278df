"""A platform and a daemon over HTTP in one thread, for the command line."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

from hemlockspoke.errors import StoreErrorKind
from tests.fakes.store import FakeStore

OBJECTS = "/v1/objects"
STATUS_OF = {
    StoreErrorKind.NOT_FOUND: 404,
    StoreErrorKind.CONFLICT: 412,
    StoreErrorKind.UNAVAILABLE: 503,
}


class FakeHttp:
    """Serves a ``FakeStore``, and fixed replies by path.

    ``replies`` maps a path to a status and a body; a status of None closes the
    connection without a reply. ``requests`` holds what came to those paths.
    """

    def __init__(self):
        self.store = FakeStore()
        self.replies = {}
        self.requests = []
        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.owner = self
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()


class Handler(BaseHTTPRequestHandler):
    """One request."""

    def log_message(self, *_args):
        """Log nothing."""

    def do_GET(self):
        """Read objects, or give a fixed reply."""
        store, url = self.server.owner.store, urlsplit(self.path)
        if url.path == OBJECTS:
            self._objects(store.list(parse_qs(url.query)["prefix"][0]).ok)
        elif url.path.startswith(OBJECTS):
            result = store.get(self._key())
            self._result(result, lambda: as_json(result.ok))
        elif url.path == "/v1/vms":
            self._reply(200, {"lag_ms": 0, "vms": []})
        else:
            self._fixed()

    def do_PUT(self):
        """Write an object."""
        version = int(self.headers["If-Match"])
        value = self._body()["value"]
        result = self.server.owner.store.put(self._key(), value, version)
        self._result(result, lambda: {"version": result.ok})

    def do_POST(self):
        """Give a fixed reply."""
        self._fixed()

    def _fixed(self):
        owner = self.server.owner
        owner.requests.append((self.path, dict(self.headers), self._body()))
        status, body = owner.replies.get(self.path, (404, {}))
        if status is not None:
            self._reply(status, body)

    def _key(self):
        return unquote(self.path.removeprefix(OBJECTS + "/"))

    def _body(self):
        length = int(self.headers.get("Content-Length", 0))
        return json.loads(self.rfile.read(length) or "null")

    def _objects(self, found):
        objects = [as_json(item) for item in found.objects]
        self._reply(200, {"revision": found.revision, "objects": objects})

    def _result(self, result, body):
        if result.is_ok():
            self._reply(200, body())
        elif result.error.kind is not StoreErrorKind.UNKNOWN:
            content = {"version": result.error.version, "applied": False}
            self._reply(STATUS_OF[result.error.kind], content)

    def _reply(self, status, body):
        content = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)


def as_json(item):
    """Return a stored object as the platform sends it."""
    return {"key": item.key, "version": item.version, "value": item.value}
