"""Stand-in for the platform's object API (docs/design.md, section 4.1).

Run it with ``python -m tests.standins.platform --port 7000`` or use ``Platform`` in
process. In addition to the API, it serves for tests:

- ``PUT /admin/vms`` with ``{"vms": [...], "lag_ms": n}``,
- ``GET /admin/counters``, ``POST /admin/counters`` to reset them,
- ``PUT /admin/faults`` with ``{"faults": [...]}`` as ``platform_faults`` describes;
  the list replaces the previous one,
- ``GET /admin/objects`` with all objects.
"""

import argparse
import json
import sys
from urllib.parse import unquote

from twisted.internet import reactor as global_reactor
from twisted.protocols.policies import WrappingFactory
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from hemlockspoke.clock import ReactorClock
from tests.standins.platform_faults import Faults
from tests.standins.platform_state import (
    MAX_VALUE_BYTES,
    Counters,
    LaggingVmList,
    ObjectTable,
)

OBJECTS = "/v1/objects"
OPERATIONS = {"GET": "get", "PUT": "put"}


class Call:
    """One request to the stand-in and its reply."""

    __slots__ = (
        "_content",
        "address",
        "ended",
        "method",
        "operation",
        "path",
        "request",
        "vm",
    )

    def __init__(self, request):
        self.request = request
        self.path = unquote(request.path.decode())
        self.method = request.method.decode()
        self.operation = self._operation()
        self.vm = request.getHeader("x-vm") or ""
        self.address = request.getClientAddress().host
        self.ended = False
        # Read now: Twisted closes the content when the caller disconnects.
        self._content = request.content.read()
        request.notifyFinish().addErrback(self._on_disconnect)

    def _operation(self):
        if self.path == "/v1/watch":
            return "watch"
        if self.path == "/v1/vms":
            return "vms"
        if self.path == OBJECTS:
            return "list"
        return OPERATIONS.get(self.method, "other")

    def _on_disconnect(self, _failure):
        self.ended = True

    def argument(self, name, default=""):
        """Return an argument of the query string."""
        return self.request.args.get(name.encode(), [default.encode()])[0].decode()

    def body(self):
        """Return the JSON body; raises ``ValueError``."""
        return json.loads(self._content)

    def reply(self, status, body):
        """Send the reply unless the call has ended."""
        if self.ended:
            return
        self.ended = True
        self.request.setResponseCode(status)
        self.request.setHeader("content-type", "application/json")
        self.request.write(json.dumps(body).encode())
        self.request.finish()

    def drop(self, mode):
        """End the call without a reply: close the connection or stay silent."""
        if mode == "close" and not self.ended:
            self.request.channel.transport.abortConnection()
        self.ended = True


class ApiResource(Resource):
    """Passes every request to the platform."""

    isLeaf = True

    def __init__(self, platform):
        super().__init__()
        self._platform = platform

    def render(self, request):
        """Start the call; the reply is sent asynchronously."""
        call = Call(request)
        try:
            self._platform.accept(call)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            call.reply(400, {"error": f"{type(error).__name__}: {error}"})
        return NOT_DONE_YET


class TrackingFactory(WrappingFactory):
    """Factory that counts connections and keeps track of the open ones."""

    def __init__(self, platform, site):
        super().__init__(site)
        self._platform = platform

    def buildProtocol(self, address):
        """Count the connection."""
        self._platform.counters.connections += 1
        return super().buildProtocol(address)


class Watch:
    """A pending watch call."""

    __slots__ = ("call", "prefix", "since", "timer")

    def __init__(self, call, prefix, since):
        self.call = call
        self.prefix = prefix
        self.since = since
        self.timer = None


class Platform:
    """The platform: serves calls over HTTP, subject to the faults that are set."""

    def __init__(self, reactor, clock=None):
        self._reactor = reactor
        self._clock = clock or ReactorClock(reactor)
        self._watches = []
        self._silenced = set()
        self._port = None
        self._relisten_timer = None
        site = Site(ApiResource(self), reactor=reactor)
        self._factory = TrackingFactory(self, site)
        self.objects = ObjectTable()
        self.vm_list = LaggingVmList(self._clock)
        self.counters = Counters()
        self.faults = Faults()

    def listen(self, port=0, host="127.0.0.1"):
        """Listen and return the port number."""
        self._port = self._reactor.listenTCP(port, self._factory, interface=host)
        return self._port.getHost().port

    def stop_listening(self):
        """Refuse new connections and abort the open ones."""
        if self._relisten_timer is not None:
            self._relisten_timer.cancel()
        port, self._port = self._port, None
        for connection in list(self._factory.protocols):
            connection.transport.abortConnection()
        return port.stopListening() if port is not None else None

    def set_faults(self, items):
        """Replace the faults, as ``PUT /admin/faults`` does."""
        for fault in self.faults.set(items):
            if fault.kind == "silence_connections":
                self._silenced.update(self._factory.protocols)
            else:
                self._refuse(fault.number("duration_ms"))

    def _refuse(self, duration_ms):
        host = self._port.getHost()
        self.stop_listening()
        self._relisten_timer = self._clock.call_later(
            duration_ms, self.listen, host.port, host.host
        )

    def accept(self, call):
        """Serve a call, subject to the active faults."""
        if call.path.startswith("/admin/"):
            self._serve_admin(call)
            return
        self.counters.count_call(call.operation, call.vm)
        if call.request.channel.transport in self._silenced:
            call.drop("hang")
            return
        down_fault = self.faults.first_matching("down", call)
        if down_fault is not None:
            self._fail(call, down_fault.mode)
            return
        slow_fault = self.faults.first_matching("slow", call)
        if slow_fault is not None and slow_fault.number("before_apply"):
            self._clock.call_later(slow_fault.number("delay_ms"), self._serve, call, 0)
        else:
            self._serve(call, slow_fault.number("delay_ms") if slow_fault else 0)

    def _fail(self, call, mode):
        if mode == "unavailable":
            call.reply(503, {"error": "unavailable", "applied": False})
        else:
            call.drop(mode)

    def _serve(self, call, delay_ms):
        if call.operation == "watch":
            self._serve_watch(call)
            return
        status, body = self._answer(call)
        reply_loss = self.faults.first_matching("lose_reply", call)
        if (
            call.operation == "put"
            and status == 200
            and reply_loss
            and reply_loss.draw_reply_loss()
        ):
            call.drop(reply_loss.mode)
        elif delay_ms:
            self._clock.call_later(delay_ms, call.reply, status, body)
        else:
            call.reply(status, body)

    def _answer(self, call):
        if call.operation == "vms":
            return 200, self.vm_list.visible()
        if call.operation == "list":
            values = call.argument("values", "1") != "0"
            return 200, self.objects.list(call.argument("prefix"), values=values)
        if not call.path.startswith(OBJECTS + "/"):
            return 404, {"error": "no such resource"}
        key = call.path[len(OBJECTS) + 1 :]
        if call.operation == "put":
            return self._put(call, key)
        found = self.objects.get(key)
        if found is None:
            return 404, {"error": "absent"}
        return 200, {"key": key, "version": found[0], "value": found[1]}

    def _put(self, call, key):
        if_version = int(call.request.getHeader("if-match"))
        value = call.body()["value"]
        if len(json.dumps(value)) > MAX_VALUE_BYTES:
            return 413, {"error": "value too large"}
        written, version = self.objects.put(key, value, if_version)
        if not written:
            self.counters.conflicts += 1
            return 412, {"version": version}
        # Answer watches after this call, as another process would see them.
        self._reactor.callLater(0, self._answer_changed_watches)
        return 200, {"version": version}

    def _serve_watch(self, call):
        if self.faults.first_matching("watch_silent", call) is not None:
            call.drop("hang")
            return
        watch = Watch(call, call.argument("prefix"), int(call.argument("since", "0")))
        self._watches.append(watch)
        self.counters.open_watches += 1
        wait_ms = int(call.argument("wait_ms", "0"))
        watch.timer = self._clock.call_later(wait_ms, self._end_watch, watch)
        self._answer_changed_watches()

    def _answer_changed_watches(self):
        for watch in list(self._watches):
            if watch.call.ended:
                self._remove_watch(watch)
            elif self.objects.list(watch.prefix, watch.since)["objects"]:
                self._end_watch(watch)

    def _end_watch(self, watch):
        self._remove_watch(watch)
        if self.faults.first_matching("watch_silent", watch.call) is not None:
            watch.call.drop("hang")
        else:
            watch.call.reply(200, self.objects.list(watch.prefix, watch.since))

    def _remove_watch(self, watch):
        if watch in self._watches:
            self._watches.remove(watch)
            self.counters.open_watches -= 1
            watch.timer.cancel()

    def _serve_admin(self, call):
        operation = (call.method, call.path[len("/admin/") :])
        body = {}
        if operation == ("PUT", "vms"):
            fields = call.body()
            self.vm_list.set(fields["vms"], fields.get("lag_ms"))
        elif operation == ("PUT", "faults"):
            self.set_faults(call.body()["faults"])
        elif operation == ("GET", "counters"):
            body = self.counters.to_json()
        elif operation == ("POST", "counters"):
            self.counters = Counters()
            self.counters.open_watches = len(self._watches)
        elif operation == ("GET", "objects"):
            body = self.objects.list("")
        else:
            call.reply(404, {"error": "no such admin resource"})
            return
        call.reply(200, body)


def main(arguments):
    """Run the stand-in until the process is terminated."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--host", default="127.0.0.1")
    options = parser.parse_args(arguments)
    platform = Platform(global_reactor)
    port = platform.listen(options.port, options.host)
    print(f"listening on {options.host}:{port}", flush=True)
    global_reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
