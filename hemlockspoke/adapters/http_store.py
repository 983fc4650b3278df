"""The platform's object API over HTTP."""

import json
from urllib.parse import urlencode

from expression import Error, Ok
from twisted.internet.abstract import isIPv6Address
from twisted.internet.defer import inlineCallbacks, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from hemlockspoke.adapters.store_replies import (
    HTTP_NOT_FOUND,
    HTTP_OK,
    WATCH_GRACE_MS,
    object_path,
    parse_object,
    parse_objects,
    parse_vms,
    put_result,
)
from hemlockspoke.errors import StoreError, StoreErrorKind
from hemlockspoke.ports import Store

# Idle connections kept: one for a watch and some for concurrent calls.
IDLE_CONNECTIONS = 4
# Shorter than the usual idle timeout of a server (60 s), so that a write seldom
# meets a connection that the server is closing.
IDLE_CONNECTION_S = 20


@implementer(IBodyProducer)
class RecordingBody:
    """Body of one request that records whether its sending has begun.

    The HTTP client starts the producer in the same step in which it writes the
    headers, so a body that was not started proves that nothing was sent.
    """

    def __init__(self, body):
        self._body = body
        self.length = len(body)
        self.started = False

    def startProducing(self, consumer):
        """Write the whole body."""
        self.started = True
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self):
        """Do nothing: the body is written in one step."""

    def resumeProducing(self):
        """Do nothing: the body is written in one step."""

    def stopProducing(self):
        """Do nothing: the body is written in one step."""


@implementer(IAgentEndpointFactory)
class NumericEndpoints:
    """Makes endpoints for numeric addresses, without a name resolver.

    The usual factory resolves every host in a thread, also a numeric address.
    """

    def __init__(self, reactor, timeout_s):
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri):
        """Return the endpoint of a URI."""
        host = uri.host.decode("ascii").strip("[]")
        kind = TCP6ClientEndpoint if isIPv6Address(host) else TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, timeout=self._timeout_s)


class Reply:
    """A complete HTTP reply with its decoded body."""

    __slots__ = ("body", "status")

    def __init__(self, status, body):
        self.status = status
        self.body = body


class HttpStore(Store):
    """``Store`` over persistent HTTP connections.

    A call that gets no reply within its time closes its connection and all idle
    ones, since connections that go silent usually do so together. No write is
    sent twice. A failed read is always ``UNAVAILABLE``.
    """

    __slots__ = ("_agent", "_base", "_clock", "_pool", "_timeout_ms", "_vm")

    def __init__(self, *, address, vm, timeout_ms, clock, agent, pool):
        self._base = f"http://{address}"
        self._vm = vm
        self._timeout_ms = timeout_ms
        self._clock = clock
        self._agent = agent
        self._pool = pool

    @classmethod
    def from_config(cls, settings, clock, reactor):
        """Build from ``store_address``, ``vm`` and ``timings`` of the settings."""
        timeout_ms = settings.timings.store_timeout_ms
        pool = HTTPConnectionPool(reactor)
        pool.maxPersistentPerHost = IDLE_CONNECTIONS
        pool.cachedConnectionTimeout = IDLE_CONNECTION_S
        endpoints = NumericEndpoints(reactor, timeout_ms / 1000.0)
        agent = Agent.usingEndpointFactory(reactor, endpoints, pool)
        return cls(
            address=settings.platform_address,
            vm=settings.vm,
            timeout_ms=timeout_ms,
            clock=clock,
            agent=agent,
            pool=pool,
        )

    def close(self):
        """Close idle connections; the deferred fires when that is done."""
        return self._pool.closeCachedConnections()

    def get(self, key):
        """Read one object."""
        return self._read(object_path(key), self._timeout_ms, parse_object)

    def list(self, prefix, values=True):
        """Read the objects under a prefix."""
        query = urlencode({"prefix": prefix, "values": int(values)})
        return self._read(f"/v1/objects?{query}", self._timeout_ms, parse_objects)

    def watch(self, prefix, since_revision, wait_ms):
        """Wait for changes after a revision."""
        fields = {"prefix": prefix, "since": since_revision, "wait_ms": int(wait_ms)}
        path = f"/v1/watch?{urlencode(fields)}"
        return self._read(path, wait_ms + WATCH_GRACE_MS, parse_objects)

    def list_vms(self):
        """Read the list of VMs."""
        return self._read("/v1/vms", self._timeout_ms, parse_vms)

    @inlineCallbacks
    def put(self, key, value, if_version):
        """Write one object under a condition."""
        body = RecordingBody(json.dumps({"value": value}).encode())
        headers = {"If-Match": [str(if_version)], "Content-Type": ["application/json"]}
        try:
            reply = yield self._exchange(
                b"PUT", object_path(key), self._timeout_ms, headers, body
            )
        except Exception as error:
            unsent = not body.started
            kind = StoreErrorKind.UNAVAILABLE if unsent else StoreErrorKind.UNKNOWN
            return Error(StoreError(kind, describe(error)))
        return put_result(reply)

    @inlineCallbacks
    def _read(self, path, timeout_ms, parse):
        try:
            reply = yield self._exchange(b"GET", path, timeout_ms, {}, None)
            if reply.status == HTTP_OK:
                return Ok(parse(reply.body))
        except Exception as error:
            return Error(StoreError(StoreErrorKind.UNAVAILABLE, describe(error)))
        if reply.status == HTTP_NOT_FOUND:
            return Error(StoreError(StoreErrorKind.NOT_FOUND, path))
        detail = f"status {reply.status}"
        return Error(StoreError(StoreErrorKind.UNAVAILABLE, detail))

    @inlineCallbacks
    def _exchange(self, method, path, timeout_ms, headers, body):
        """Return the ``Reply``, or raise after ``timeout_ms`` at the latest."""
        call = self._request(method, path, headers, body)
        timer = self._clock.call_later(timeout_ms, self._give_up, call)
        try:
            reply = yield call
        finally:
            timer.cancel()
        return reply

    def _give_up(self, call):
        call.cancel()
        self._pool.closeCachedConnections()

    @inlineCallbacks
    def _request(self, method, path, headers, body):
        url = (self._base + path).encode()
        all_headers = Headers({"X-Vm": [self._vm], **headers})
        response = yield self._agent.request(method, url, all_headers, body)
        content = yield readBody(response)
        return Reply(response.code, decode_body(content))


def describe(error):
    """Return a short text on a failed call."""
    return f"{type(error).__name__}: {error}"


def decode_body(content):
    """Return the JSON value of a body, or None if it is not JSON."""
    try:
        return json.loads(content)
    except ValueError:
        return None
