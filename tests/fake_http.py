"""Fake platform and daemon over HTTP, for tests of the command line."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

from hemlockspoke.errors import StoreErrorKind
from tests.fakes.store import FakeStore
from tests.hosts import STAND_IN_HOST

OBJECTS = "/v1/objects"
STATUS_BY_ERROR_KIND = {
    StoreErrorKind.NOT_FOUND: 404,
    StoreErrorKind.CONFLICT: 412,
    StoreErrorKind.UNAVAILABLE: 503,
}


class FakeHttp:
    """Serves a ``FakeStore`` and fixed replies by path, in a background thread.

    ``replies`` maps a path to a status and a body; a status of None closes the
    connection without a reply. ``requests`` records the path, headers and body of
    each request that gets a fixed reply.
    """

    def __init__(self):
        self.store = FakeStore()
        self.replies = {}
        self.requests = []
        self._server = ThreadingHTTPServer((STAND_IN_HOST, 0), Handler)
        self._server.fake_http = self
        self.address = f"{STAND_IN_HOST}:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()


class Handler(BaseHTTPRequestHandler):
    """Handles one request."""

    def log_message(self, *_args):
        """Log nothing."""

    def do_GET(self):
        """Reply with objects, the list of VMs or a fixed reply."""
        store, url = self.server.fake_http.store, urlsplit(self.path)
        if url.path == OBJECTS:
            self._send_objects(store.list(parse_qs(url.query)["prefix"][0]).ok)
        elif url.path.startswith(OBJECTS):
            result = store.get(self._object_key())
            self._send_result(result, lambda: to_json(result.ok))
        elif url.path == "/v1/vms":
            self._send_reply(200, {"lag_ms": 0, "vms": []})
        else:
            self._send_fixed_reply()

    def do_PUT(self):
        """Write an object."""
        version = int(self.headers["If-Match"])
        value = self._read_body()["value"]
        result = self.server.fake_http.store.put(self._object_key(), value, version)
        self._send_result(result, lambda: {"version": result.ok})

    def do_POST(self):
        """Send a fixed reply."""
        self._send_fixed_reply()

    def _send_fixed_reply(self):
        fake_http = self.server.fake_http
        fake_http.requests.append((self.path, dict(self.headers), self._read_body()))
        status, body = fake_http.replies.get(self.path, (404, {}))
        if status is not None:
            self._send_reply(status, body)

    def _object_key(self):
        return unquote(self.path.removeprefix(OBJECTS + "/"))

    def _read_body(self):
        length = int(self.headers.get("Content-Length", 0))
        return json.loads(self.rfile.read(length) or "null")

    def _send_objects(self, listed):
        objects = [to_json(item) for item in listed.objects]
        self._send_reply(200, {"revision": listed.revision, "objects": objects})

    def _send_result(self, result, body):
        if result.is_ok():
            self._send_reply(200, body())
        elif result.error.kind is not StoreErrorKind.UNKNOWN:
            content = {"version": result.error.version, "applied": False}
            self._send_reply(STATUS_BY_ERROR_KIND[result.error.kind], content)

    def _send_reply(self, status, body):
        content = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)


def to_json(item):
    """Return a stored object as the platform sends it."""
    return {"key": item.key, "version": item.version, "value": item.value}
