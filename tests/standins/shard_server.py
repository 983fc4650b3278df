"""Stand-in for a server of the users' platform that can inject faults.

``behaviour`` names an entry of ``behaviours``, which handles each request received.
``received_attempts`` lists the attempt ids received and ``executed_attempts`` those
executed, in order. ``received_headers`` lists the headers of each request received.
"""

import struct
import time

from hemlockspoke.http1.messages import encode_response
from hemlockspoke.http1.site import HttpSite
from hemlockspoke.registry import Registry
from tests.hosts import STAND_IN_HOST
from tests.standins.raw_server import send_endless

behaviours = Registry("server behaviour")

ATTEMPT_HEADER = b"x-hemlockspoke-attempt-id"
EXPECT_INSTANCE_HEADER = b"x-hemlockspoke-expect-instance"
DEADLINE_HEADER = b"x-hemlockspoke-deadline-ms"
# Set by callers of a soak to the VM that they send a request to.
SENDER_HEADER = b"x-soak-vm"
STAMP_HEADER = b"X-Hemlockspoke-Server-Stamp"


def records(shard, count):
    """Return the encoded records of a shard, unsorted."""
    values = [(shard * 7919 + i * 104729) % 1_000_003 for i in range(count)]
    return b"".join(struct.pack(">QQ", value, shard) for value in values)


def header(request, name):
    """Return the first value of a header, or None."""
    return next((v for n, v in request.headers if n.lower() == name), None)


def write_raw(request, data, close=False):
    """Write bytes to the connection of a request, bypassing HTTP encoding."""
    transport = request._channel.transport
    transport.write(data)
    if close:
        transport.loseConnection()


class ShardServer:
    """One server; it answers with the records of its shard."""

    def __init__(self, reactor, clock, server_id, service, shard=0, domain="a1"):
        self.clock = clock
        self.server_id = server_id
        self.service = service
        self.domain = domain
        self.body = records(shard, 20)
        self.behaviour = "serve"
        self.work_ms = 1
        self.says_leaving = False
        # Start time in its entry, which a new process changes.
        self.born = 1_000
        self.version = "v1"
        # Value of Retry-After while the behaviour is "hold".
        self.retry_after = b"1"
        self.received_s = []
        # Time and VM of each request that names the VM its caller sent it to, and time,
        # VM and hold in seconds of each of them that was refused with a hold.
        self.arrivals = []
        self.refusals = []
        # Times of the failures that it sent while it fails often.
        self.failed_s = []
        self.received_attempts = []
        self.received_headers = []
        self.executed_attempts = []
        self.deadlines_ms = []
        # When the work on each attempt began and ended, in seconds; the end is None
        # while the work goes on.
        self.work_s = {}
        self.cancelled = 0
        # The last answer on each connection.
        self.last_answers = {}
        self.site = HttpSite(clock, self._handle)
        self._port = reactor.listenTCP(0, self.site, interface=STAND_IN_HOST)

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
            "zone": self.domain,
            "version": self.version,
            "slots": 2,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        entry.update(changes)
        return entry

    def stop(self):
        """Close the port and every connection."""
        for channel in list(self.site.channels):
            channel.transport.abortConnection()
        return self._port.stopListening()

    def _handle(self, request):
        self.received_attempts.append(header(request, ATTEMPT_HEADER))
        self.received_headers.append(request.headers)
        now_s = time.monotonic()
        self.received_s.append(now_s)
        sender = header(request, SENDER_HEADER)
        if sender is not None:
            self.arrivals.append((now_s, sender.decode()))
        self.deadlines_ms.append(float(header(request, DEADLINE_HEADER)))
        if header(request, EXPECT_INSTANCE_HEADER) != self.server_id.encode():
            headers = [(b"X-Hemlockspoke-Instance-Id", self.server_id.encode())]
            request.respond(421, headers, b"")
            return
        attempt = header(request, ATTEMPT_HEADER)

        def cancelled():
            self.cancelled += 1
            self.end_work(attempt)

        request.on_caller_disconnected = cancelled
        behaviours.get(self.behaviour)(self, request)

    def end_work(self, attempt):
        """Record that the work on an attempt has ended, unless it had before."""
        interval = self.work_s.get(attempt)
        if interval is not None and interval[1] is None:
            interval[1] = time.monotonic()

    def run(self, request):
        """Run the request and return the headers of its answer."""
        attempt = header(request, ATTEMPT_HEADER)
        self.executed_attempts.append(attempt)
        self.work_s[attempt] = [time.monotonic(), None]
        stamp = f"{self.server_id}.{len(self.executed_attempts)}.{attempt.decode()}"
        leaving = [(b"Server-Leaving", b"1")] if self.says_leaving else []
        return [(STAMP_HEADER, stamp.encode()), (ATTEMPT_HEADER, attempt), *leaving]


@behaviours.register("serve")
def serve(server, request):
    """Answer after ``work_ms``."""
    headers = server.run(request)

    def answer():
        server.end_work(header(request, ATTEMPT_HEADER))
        request.respond(200, headers, server.body)

    server.clock.call_later(server.work_ms, answer)


@behaviours.register("lose_answer")
def lose_answer(server, request):
    """Work for ``work_ms`` and send no answer, on a connection that stays open."""
    server.run(request)
    attempt = header(request, ATTEMPT_HEADER)
    server.clock.call_later(server.work_ms, server.end_work, attempt)


@behaviours.register("shed")
def shed(server, request):
    """Refuse, and state that the request has not run."""
    request.respond(503, [(b"X-Hemlockspoke-Not-Executed", b"1")], b"")


@behaviours.register("hold")
def hold(server, request):
    """Refuse, and want no requests for ``retry_after`` seconds."""
    sender = header(request, SENDER_HEADER)
    if sender is not None:
        refusal = (time.monotonic(), sender.decode(), float(server.retry_after))
        server.refusals.append(refusal)
    headers = [(b"X-Hemlockspoke-Not-Executed", b"1")]
    request.respond(503, [*headers, (b"Retry-After", server.retry_after)], b"")


@behaviours.register("hang")
def hang(server, request):
    """Run the request and never answer."""
    server.run(request)


@behaviours.register("reset")
def reset(server, request):
    """Run the request and reset the connection."""
    server.run(request)
    request.abort()


@behaviours.register("reset_once")
def reset_once(server, request):
    """Run each request, and reset its connection at its first arrival."""
    is_first = header(request, ATTEMPT_HEADER) not in server.executed_attempts
    headers = server.run(request)
    if is_first:
        request.abort()
    else:
        request.respond(200, headers, server.body)


@behaviours.register("fail")
def fail(server, request):
    """Run the request and answer with status 500."""
    request.respond(500, server.run(request), b"failed")


@behaviours.register("fail_with_408")
@behaviours.register("fail_with_429")
@behaviours.register("fail_with_503")
def fail_with_promise(server, request):
    """Run the request and answer with a status that stands for "not run"."""
    status = int(server.behaviour.removeprefix("fail_with_"))
    request.respond(status, server.run(request), b"failed")


@behaviours.register("answer_with_000")
@behaviours.register("answer_with_099")
@behaviours.register("answer_with_600")
@behaviours.register("answer_with_999")
def answer_with_status(server, request):
    """Run the request and answer with a status that HTTP does not have."""
    data = encode_response(200, server.run(request), server.body, close=False)
    status = server.behaviour.removeprefix("answer_with_").encode()
    write_raw(request, data.replace(b" 200 ", b" %s " % status, 1))


@behaviours.register("fail_often")
def fail_often(server, request):
    """Run the request and answer two of five with status 500."""
    if len(server.executed_attempts) % 5 in (1, 3):
        server.failed_s.append(time.monotonic())
        fail(server, request)
    else:
        serve(server, request)


@behaviours.register("truncate")
def truncate(server, request):
    """Run the request and close the connection before the answer is complete."""
    data = encode_response(200, server.run(request), server.body, close=False)
    write_raw(request, data[: len(data) - 10], close=True)


@behaviours.register("cut_head")
def cut_head(server, request):
    """Run the request and close the connection in the middle of the answer's head."""
    data = encode_response(200, server.run(request), server.body, close=False)
    write_raw(request, data[: data.index(b"\r\n\r\n") - 3], close=True)


@behaviours.register("endless_head")
def endless_head(server, request):
    """Run the request and send header lines until the connection is closed."""
    server.run(request)
    request._channel.transport.unregisterProducer()
    send_endless(request._channel.transport, "header lines")


@behaviours.register("endless_body")
def endless_body(server, request):
    """Run the request and send a body until the connection is closed."""
    server.run(request)
    request._channel.transport.unregisterProducer()
    send_endless(request._channel.transport, "a chunked body")


@behaviours.register("extra")
def extra(server, request):
    """Send the answer twice."""
    data = encode_response(200, server.run(request), server.body, close=False)
    write_raw(request, data + data)


def send_after_copy(server, request, headers, with_id):
    """Send a second copy of the connection's last answer, then the answer."""
    channel = request._channel
    copy = server.last_answers.get(channel, b"")
    data = encode_response(200, headers, server.body, close=False)
    named = [header for header in headers if with_id or header[0] != ATTEMPT_HEADER]
    server.last_answers[channel] = encode_response(200, named, server.body, close=False)
    if copy:
        write_raw(request, copy)
        server.clock.call_later(5, channel.transport.write, data)
    else:
        request.respond(200, headers, server.body)


@behaviours.register("copy_with_id")
def copy_with_id(server, request):
    """Send a late second copy of the last answer before each answer."""
    send_after_copy(server, request, server.run(request), with_id=True)


@behaviours.register("copy_without_id")
def copy_without_id(server, request):
    """Send a late second copy that doesn't name its request."""
    send_after_copy(server, request, server.run(request), with_id=False)


@behaviours.register("refuse_then_copy")
def refuse_then_copy(server, request):
    """Refuse each attempt once; run its next arrival.

    On the connection of the refusal a late second copy of it comes first.
    """
    channel, attempt = request._channel, header(request, ATTEMPT_HEADER)
    headers = [(b"X-Hemlockspoke-Not-Executed", b"1"), (ATTEMPT_HEADER, attempt)]
    if server.received_attempts.count(attempt) == 1:
        server.last_answers[channel] = encode_response(503, headers, b"", close=False)
        request.respond(503, headers, b"")
        return
    copy = server.last_answers.pop(channel, b"")
    if copy:
        write_raw(request, copy)
    answer_headers = server.run(request)
    server.clock.call_later(20, request.respond, 200, answer_headers, server.body)


@behaviours.register("refuse_unnamed_then_copy")
def refuse_unnamed_then_copy(server, request):
    """Refuse each attempt once without naming it; run its next arrival.

    A late second copy of the refusal comes when the next request has arrived on its
    connection, and the server then runs that request, 20 ms longer than usual.
    """
    channel, attempt = request._channel, header(request, ATTEMPT_HEADER)
    headers = [(b"X-Hemlockspoke-Not-Executed", b"1")]
    copy = server.last_answers.pop(channel, b"")
    if not copy and server.received_attempts.count(attempt) == 1:
        server.last_answers[channel] = encode_response(503, headers, b"", close=False)
        request.respond(503, headers, b"")
        return
    if copy:
        write_raw(request, copy)
    answer_headers = server.run(request)

    def answer():
        server.end_work(attempt)
        request.respond(200, answer_headers, server.body)

    server.clock.call_later(20 + server.work_ms, answer)


@behaviours.register("foreign")
def foreign(server, request):
    """Run the request and send the answer of another attempt."""
    headers = [(STAMP_HEADER, b"foreign"), (ATTEMPT_HEADER, b"another")]
    server.run(request)
    request.respond(200, headers, b"foreign" * 16)


@behaviours.register("garbage")
def garbage(server, request):
    """Run the request and send bytes that are not HTTP."""
    server.run(request)
    write_raw(request, b"\x00\x01 no HTTP at all\r\n\r\n")
