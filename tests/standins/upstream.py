"""Stand-in for upstream servers (docs/design.md, section 4.2).

One process serves any number of servers, each on a port of its own, and an admin
port::

    python -m tests.standins.upstream --port 9000 --config-json \
        '{"servers": [{"name": "rp-00-a", "port": 9001, "slots": 2}]}'

It prints one JSON line with the ports. The admin port answers:

- ``GET /admin/<server>/counters`` (``/admin/counters`` for all servers),
- ``POST /admin/<server>/config`` with a map of settings to change,
- ``POST /admin/<server>/restart`` with ``{"down_ms": 0}``: closes every
  connection, refuses new ones for that time and restarts cold,
- ``POST /admin/<server>/cold``: starts a cold incarnation; connections stay open,
- ``POST /admin/<server>/silence``: the connections open now never reply again,
- ``POST /admin/<server>/reset``: sets the counters to 0.
"""

import argparse
import json
import sys

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import maybeDeferred, succeed
from twisted.web import http

from tests.standins.upstream_model import VIOLATION_COUNTERS, UpstreamModel


class Call:
    """One request to a server, in the form that ``UpstreamModel`` handles."""

    def __init__(self, request, server, kind, body):
        self.request = request
        self.server = server
        self.kind = kind
        self.body = body
        self.key = (request.getHeader("idempotency-key") or "") or None
        self.deadline_ms = float(request.getHeader("deadline-ms") or "inf")
        self.arrived_ms = server.model.now_ms()
        self.state = "in_transit"
        self.timer = None
        request.notifyFinish().addErrback(self._closed)

    def expired(self, now_ms):
        return now_ms - self.arrived_ms >= self.deadline_ms

    def reply(self, code, body):
        self.server.after_delay(self.request.send_json, code, body)

    def drop(self):
        self.request.channel.loseConnection()

    def arrive(self):
        if self.state == "in_transit":
            self.server.model.arrive(self)

    def _closed(self, _reason):
        if self.state == "in_transit":
            self.state = "closed"
        self.server.model.connection_closed(self)


class JsonRequest(http.Request):
    """Request whose reply is JSON."""

    def send_json(self, code, body):
        if self._disconnected or self.finished or self.channel is None:
            return
        content = json.dumps(body).encode()
        self.setResponseCode(code)
        self.setHeader(b"content-type", b"application/json")
        self.setHeader(b"content-length", str(len(content)).encode())
        self.write(content)
        self.finish()

    def body_json(self):
        content = self.content.read()
        return json.loads(content) if content else {}

    def process(self):
        try:
            self.handle(self.path.decode(), self.body_json())
        except (KeyError, ValueError, TypeError) as error:
            self.send_json(400, {"error": f"{type(error).__name__}: {error}"})


class WorkRequest(JsonRequest):
    """Request to one server."""

    def handle(self, path, body):
        server = self.channel.factory.server
        if path == "/v1/status":
            delay_ms = 2 * server.model.settings["delay_ms"]
            server.call_later(delay_ms, self._send_status)
            return
        kind = {"/v1/query": "query", "/v1/orders": "order"}.get(path)
        if kind is None:
            server.model.count("foreign_requests")
            self.send_json(404, {"error": f"unknown path {path}"})
            return
        call = Call(self, server, kind, body)
        now_ms = server.model.now_ms()
        setup_ms = max(0.0, self.channel.ready_ms - now_ms)
        server.call_later(server.model.settings["delay_ms"] + setup_ms, call.arrive)

    def _send_status(self):
        self.send_json(200, self.channel.factory.server.model.status())


class WorkChannel(http.HTTPChannel):
    """Connection to one server; a silent one discards what it receives and sends."""

    requestFactory = WorkRequest
    silent = False
    ready_ms = 0.0

    def connectionMade(self):
        super().connectionMade()
        self.factory.server.connection_opened(self)

    def connectionLost(self, reason):
        super().connectionLost(reason)
        self.factory.server.connection_closed(self)

    def dataReceived(self, data):
        if not self.silent:
            super().dataReceived(data)

    def write(self, data):
        if not self.silent:
            super().write(data)

    def writeSequence(self, data):
        if not self.silent:
            super().writeSequence(data)


class AdminRequest(JsonRequest):
    """Request to the admin port."""

    def handle(self, path, body):
        names = path.strip("/").split("/")[1:]
        servers = self.channel.factory.servers
        if names == ["counters"]:
            self.send_json(200, {n: s.counters() for n, s in servers.items()})
            return
        name, action = names
        self.send_json(200, servers[name].admin(action, body) or {})


class AdminChannel(http.HTTPChannel):
    """Connection to the admin port."""

    requestFactory = AdminRequest


class QuietFactory(http.HTTPFactory):
    """HTTP factory without an access log and without idle timeouts."""

    def __init__(self, protocol, **attributes):
        super().__init__(timeout=None)
        self.protocol = protocol
        self.__dict__.update(attributes)

    def log(self, request):
        pass


class WorkFactory(QuietFactory):
    """Factory that closes new connections above the limit ``connections``."""

    def buildProtocol(self, addr):
        model = self.server.model
        if model.connections >= model.settings["connections"]:
            model.count("connection_overruns")
            return None
        return super().buildProtocol(addr)


class StandInServer:
    """One server on one port."""

    def __init__(self, reactor, host, config):
        config = dict(config)
        self.reactor = reactor
        self.host = host
        self.name = config.pop("name")
        self.port = config.pop("port", 0)
        self.model = UpstreamModel(reactor, self.name, config)
        self.channels = set()
        self._setup_end_ms = 0.0
        self._listener = None

    def start(self):
        factory = WorkFactory(WorkChannel, server=self)
        self._listener = self.reactor.listenTCP(
            self.port, factory, backlog=512, interface=self.host
        )
        self.port = self._listener.getHost().port

    def stop(self):
        """Stop listening and abort all connections; returns a Deferred."""
        listener, self._listener = self._listener, None
        for channel in list(self.channels):
            channel.transport.abortConnection()
        return maybeDeferred(listener.stopListening) if listener else succeed(None)

    def call_later(self, delay_ms, function, *args):
        if delay_ms > 0:
            self.reactor.callLater(delay_ms / 1000.0, function, *args)
        else:
            function(*args)

    def after_delay(self, function, *args):
        self.call_later(self.model.settings["delay_ms"], function, *args)

    def connection_opened(self, channel):
        model = self.model
        self.channels.add(channel)
        model.count("connections_opened")
        model.connections += 1
        counters = model.counters
        counters["max_connections"] = max(
            counters["max_connections"], model.connections
        )
        # Connections are set up one at a time, since the cost is processor time.
        start_ms = max(model.now_ms(), self._setup_end_ms)
        self._setup_end_ms = start_ms + model.settings["connect_cost_ms"]
        channel.ready_ms = self._setup_end_ms

    def connection_closed(self, channel):
        if channel in self.channels:
            self.channels.remove(channel)
            self.model.connections -= 1

    def counters(self):
        model = self.model
        counters = dict(model.counters)
        counters["violations"] = sum(counters[name] for name in VIOLATION_COUNTERS)
        counters["order_keys"] = dict(model.order_keys)
        counters["connections"] = model.connections
        counters["running"] = model.running
        counters["incarnation"] = model.incarnation
        return counters

    def admin(self, action, body):
        """Run an admin action and return its reply body, or None."""
        if action == "counters":
            return self.counters()
        if action == "config":
            return self.model.configure(body)
        if action == "restart":
            return self._restart(body.get("down_ms", 0))
        if action == "cold":
            return self.model.start_cold_incarnation(visible=False)
        if action == "silence":
            return self._silence()
        if action == "reset":
            return self.model.counters.update(dict.fromkeys(self.model.counters, 0))
        raise KeyError(f"unknown action {action!r}")

    def _restart(self, down_ms):
        self.model.restart()
        stopped = self.stop()
        delay_s = down_ms / 1000.0
        stopped.addCallback(lambda _: self.reactor.callLater(delay_s, self.start))

    def _silence(self):
        for channel in self.channels:
            channel.silent = True


class StandIn:
    """The servers of one process and its admin port."""

    def __init__(self, reactor, host, config):
        self.reactor = reactor
        self.host = host
        servers = [StandInServer(reactor, host, item) for item in config["servers"]]
        self.servers = {server.name: server for server in servers}
        self._admin = None

    def start(self, admin_port=0):
        """Listen on all ports and return the map of ports."""
        for server in self.servers.values():
            server.start()
        factory = QuietFactory(AdminChannel, servers=self.servers)
        self._admin = self.reactor.listenTCP(admin_port, factory, interface=self.host)
        ports = {name: server.port for name, server in self.servers.items()}
        return {"admin": self._admin.getHost().port, "servers": ports}

    def stop(self):
        self._admin.stopListening()
        for server in self.servers.values():
            server.stop()


def main(arguments):
    """Run the process until it is terminated."""
    parser = argparse.ArgumentParser(prog="tests.standins.upstream")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0, help="admin port")
    parser.add_argument("--config-json", required=True)
    options = parser.parse_args(arguments)
    stand_in = StandIn(default_reactor, options.host, json.loads(options.config_json))
    print(json.dumps(stand_in.start(options.port)), flush=True)
    default_reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
