"""Stand-in for a server of the users' platform, with faults.

``behaviour`` is one of the names in ``behaviours``; each decides what a request
that was read gets. ``runs`` lists the attempt ids that have run, in order.
"""

import struct

from hemlockspoke.http1.channel import CallerSite
from hemlockspoke.http1.messages import encode_response
from hemlockspoke.registry import Registry

behaviours = Registry("server behaviour")

ATTEMPT = b"x-hemlockspoke-attempt-id"
EXPECT = b"x-hemlockspoke-expect-instance"
DEADLINE = b"x-hemlockspoke-deadline-ms"
STAMP = b"X-Hemlockspoke-Server-Stamp"


def records(shard, count):
    """Return the records of a shard, in no order."""
    values = [(shard * 7919 + i * 104729) % 1_000_003 for i in range(count)]
    return b"".join(struct.pack(">QQ", value, shard) for value in values)


def header(request, name):
    """Return the first value of a header, or None."""
    return next((v for n, v in request.headers if n.lower() == name), None)


def write_raw(request, data, close=False):
    """Write bytes to the connection of a request, whatever they are."""
    transport = request._channel.transport
    transport.write(data)
    if close:
        transport.loseConnection()


class ShardServer:
    """One server; it answers with the records of its shard."""

    def __init__(self, reactor, clock, server_id, service, shard=0, zone="a1"):
        self.clock = clock
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.body = records(shard, 20)
        self.behaviour = "serve"
        self.work_ms = 1
        self.reads = []
        self.runs = []
        self.deadlines_ms = []
        self.cancelled = 0
        self.site = CallerSite(clock, self._handle)
        self._port = reactor.listenTCP(0, self.site, interface="127.0.0.1")

    @property
    def address(self):
        """Return the address as text."""
        host = self._port.getHost()
        return f"{host.host}:{host.port}"

    def entry(self, state="ready", **changes):
        """Return the server's entry in the store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 2,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1_000,
        }
        entry.update(changes)
        return entry

    def stop(self):
        """Close the port and every connection."""
        for channel in list(self.site.channels):
            channel.transport.abortConnection()
        return self._port.stopListening()

    def _handle(self, request):
        self.reads.append(header(request, ATTEMPT))
        self.deadlines_ms.append(float(header(request, DEADLINE)))
        if header(request, EXPECT) != self.server_id.encode():
            headers = [(b"X-Hemlockspoke-Instance-Id", self.server_id.encode())]
            request.respond(421, headers, b"")
            return
        request.on_caller_gone = self._gone
        behaviours.get(self.behaviour)(self, request)

    def _gone(self):
        self.cancelled += 1

    def run(self, request):
        """Run the request and return the headers of its answer."""
        attempt = header(request, ATTEMPT)
        self.runs.append(attempt)
        stamp = f"{self.server_id}.{len(self.runs)}.{attempt.decode()}"
        return [(STAMP, stamp.encode()), (ATTEMPT, attempt)]


@behaviours.register("serve")
def serve(server, request):
    """Answer after the usual time."""
    headers = server.run(request)
    server.clock.call_later(server.work_ms, request.respond, 200, headers, server.body)


@behaviours.register("shed")
def shed(server, request):
    """Refuse, and say that the request has not run."""
    request.respond(503, [(b"X-Hemlockspoke-Not-Executed", b"1")], b"")


@behaviours.register("hang")
def hang(server, request):
    """Run the request and never answer."""
    server.run(request)


@behaviours.register("reset")
def reset(server, request):
    """Run the request and reset the connection."""
    server.run(request)
    request.abort()


@behaviours.register("fail")
def fail(server, request):
    """Run the request and answer with a failure."""
    request.respond(500, server.run(request), b"failed")


@behaviours.register("truncate")
def truncate(server, request):
    """Break off in the middle of the answer."""
    data = encode_response(200, server.run(request), server.body, close=False)
    write_raw(request, data[: len(data) - 10], close=True)


@behaviours.register("extra")
def extra(server, request):
    """Send the answer twice."""
    data = encode_response(200, server.run(request), server.body, close=False)
    write_raw(request, data + data)


@behaviours.register("foreign")
def foreign(server, request):
    """Send the answer to another attempt."""
    headers = [(STAMP, b"foreign"), (ATTEMPT, b"another")]
    server.run(request)
    request.respond(200, headers, b"foreign" * 16)


@behaviours.register("garbage")
def garbage(server, request):
    """Send bytes that are no answer."""
    server.run(request)
    write_raw(request, b"\x00\x01 no HTTP at all\r\n\r\n")
