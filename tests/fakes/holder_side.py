"""Fakes that a ``Holder`` runs against: configuration, pause and upstreams."""

from types import SimpleNamespace

from expression import Error, Ok
from twisted.internet.defer import Deferred

from hemlockspoke.clock import ManualClock
from hemlockspoke.config.document import Server, ServiceDocument, UpstreamClass
from hemlockspoke.config.fleet import Fleet
from hemlockspoke.errors import UpstreamError, UpstreamErrorKind
from hemlockspoke.invariants import Invariants
from hemlockspoke.limits.holder import Holder
from hemlockspoke.ports import (
    NullMetrics,
    OrderReply,
    UpstreamClient,
    UpstreamReply,
    UpstreamStatus,
)

TIMINGS = SimpleNamespace(status_poll_ms=1000, proof_ttl_ms=5000)


class FakeConfiguration:
    """One service ``shop`` with the given servers, all in failure domain ``fd``."""

    def __init__(self, names, ramp_successes=3):
        upstream_class = UpstreamClass("class", 4, 8, 1, ramp_successes)
        servers = {
            name: Server(name, upstream_class, f"{name}:1", "fd", "region")
            for name in names
        }
        self.shop = ServiceDocument("shop", "owner", ["fd"], None, {}, {}, servers)
        self.current_fleet = Fleet()
        self.listeners = []

    def find_server(self, name):
        return self.shop.servers.get(name)

    def service_of(self, name):
        return "shop" if name in self.shop.servers else None

    def document(self, _service):
        return self.shop

    def fleet(self):
        return self.current_fleet

    def subscribe(self, listener):
        self.listeners.append(listener)

    def set_fleet(self, domains=(), vms=()):
        self.current_fleet = Fleet(domains, vms)
        for listener in self.listeners:
            listener("fleet")


class FakePauseDetector:
    """Pause detector that reports ``pause_ms`` once."""

    def __init__(self):
        self.pause_ms = 0
        self.listeners = []

    def subscribe(self, listener):
        self.listeners.append(listener)

    def check(self):
        found, self.pause_ms = self.pause_ms, 0
        if found:
            for listener in self.listeners:
                listener(found)
        return found


class FakeCall:
    """A request to the fake upstream that has no result yet."""

    def __init__(self, request, kind, clock):
        self.request = request
        self.kind = kind
        self.sent = False
        self.result = Deferred(lambda _: self.fail(UpstreamErrorKind.CANCELLED))
        self.timer = clock.call_later(
            request.remaining_ms, self.fail, UpstreamErrorKind.TIMEOUT
        )

    def succeed(self, incarnation):
        if self.kind == "order":
            self._end(Ok(OrderReply(incarnation, {"ran": self.request.request_id})))
            return
        body = self.request.body
        parts = {str(part): [] for part in body["parts"]}
        self._end(Ok(UpstreamReply(incarnation, body["version"], parts)))

    def fail(self, kind, incarnation=None, indexes=None):
        error = UpstreamError(kind, self.sent, kind.value, incarnation, indexes)
        self._end(Error(error))

    def _end(self, result):
        self.timer.cancel()
        if not self.result.called:
            self.result.callback(result)


class Observer:
    """Notified of events at a fake upstream before the holder gets the result."""

    def sent(self, call):
        pass

    def refused(self):
        pass

    def polled(self, status):
        pass


class FakeClient(UpstreamClient):
    """Client whose calls stay open until the test ends them.

    If ``unreachable`` is set, connections are refused. If ``delay_sends`` is set,
    requests wait for a connection until ``flush``. ``sent_calls`` lists all sent calls.
    """

    def __init__(self, server, clock):
        self.server = server
        self.clock = clock
        self.unreachable = False
        self.delay_sends = False
        self.delayed = []
        self.calls = []
        self.sent_calls = []
        self.limit = 0
        self.loss_listener = None
        self.next_status = None
        self.observer = Observer()

    def open_calls(self):
        self.calls = [call for call in self.calls if not call.result.called]
        return self.calls

    def set_limit(self, connections):
        self.limit = connections

    def open_connections(self):
        return len(self.open_calls())

    def set_loss_listener(self, listener):
        self.loss_listener = listener

    def query(self, request):
        return self._start_call(FakeCall(request, "query", self.clock))

    def order(self, request):
        return self._start_call(FakeCall(request, "order", self.clock))

    def status(self):
        result = Deferred()
        if self.unreachable:
            self.observer.refused()
            result.callback(Error(UpstreamError(UpstreamErrorKind.REFUSED, False)))
        elif self.next_status is None:
            result.callback(Error(UpstreamError(UpstreamErrorKind.TIMEOUT, True)))
        else:
            self.observer.polled(UpstreamStatus(*self.next_status))
            result.callback(Ok(UpstreamStatus(*self.next_status)))
        return result

    def close(self):
        for call in [*self.delayed, *self.open_calls()]:
            call.fail(UpstreamErrorKind.CANCELLED)

    def flush(self):
        """Send all requests that wait for a connection."""
        delayed, self.delayed = self.delayed, []
        for call in delayed:
            self._send(call)

    def _start_call(self, call):
        if self.delay_sends:
            self.delayed.append(call)
        else:
            self._send(call)
        return call.result

    def _send(self, call):
        if call.result.called:
            return
        if self.unreachable:
            self.observer.refused()
            call.fail(UpstreamErrorKind.REFUSED)
        elif not call.request.may_send():
            call.fail(UpstreamErrorKind.CANCELLED)
        else:
            call.sent = True
            self.calls.append(call)
            self.sent_calls.append(call)
            self.observer.sent(call)


class HolderFixture:
    """A ``Holder`` with fakes at all its ports.

    ``clients`` maps servers to their fake clients; ``updates`` and ``states`` list the
    catalog updates and server states that the holder has published.
    """

    def __init__(self, names, ramp_successes=3):
        self.clock = ManualClock()
        self.configuration = FakeConfiguration(names, ramp_successes)
        self.pause_detector = FakePauseDetector()
        self.invariants = Invariants(strict=False)
        self.clients = {}
        self.updates = []
        self.states = []
        self.holder = Holder(
            self.clock,
            self,
            self.configuration,
            NullMetrics(),
            self.invariants,
            self.pause_detector,
            TIMINGS,
        )
        self.holder.set_listeners(self.updates.append, self.states.append)

    def connect(self, server):
        self.clients[server.name] = FakeClient(server, self.clock)
        return self.clients[server.name]
