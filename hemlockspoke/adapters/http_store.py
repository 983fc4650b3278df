"""Asynchronous client of the platform's object API over HTTP."""

from urllib.parse import urlencode

from expression import Error, Ok
from twisted.internet.defer import Deferred

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
from hemlockspoke.http1.json_calls import JsonCalls
from hemlockspoke.ports import Store

# Order claims are written concurrently, and each write occupies one connection.
MAX_CONNECTIONS = 64


class HttpStore(Store):
    """``Store`` over persistent HTTP connections.

    Writes are never retried. A failed read is always ``UNAVAILABLE``, except for
    an object that does not exist.
    """

    __slots__ = ("_calls", "_headers", "_timeout_ms")

    def __init__(self, *, calls, vm, timeout_ms):
        self._calls = calls
        self._headers = [(b"X-Vm", vm.encode())]
        self._timeout_ms = timeout_ms

    @classmethod
    def from_config(cls, settings, clock, reactor):
        """Build from ``platform_address``, ``vm`` and ``timings`` of the settings."""
        address = settings.platform_address
        return cls(
            calls=JsonCalls(reactor, clock, address, MAX_CONNECTIONS),
            vm=settings.vm,
            timeout_ms=settings.timings.store_timeout_ms,
        )

    def get(self, key):
        """Read one object."""
        return self._read(object_path(key), self._timeout_ms, parse_object)

    def list(self, prefix, values=True):
        """Read the objects under a prefix."""
        query = urlencode({"prefix": prefix, "values": int(values)})
        return self._read(f"/v1/objects?{query}", self._timeout_ms, parse_objects)

    def watch(self, prefix, since_revision, wait_ms):
        """Wait for changes after a revision."""
        parameters = {
            "prefix": prefix,
            "since": since_revision,
            "wait_ms": int(wait_ms),
        }
        path = f"/v1/watch?{urlencode(parameters)}"
        return self._read(path, wait_ms + WATCH_GRACE_MS, parse_objects)

    def list_vms(self):
        """Read the list of VMs."""
        return self._read("/v1/vms", self._timeout_ms, parse_vms)

    def put(self, key, value, if_version):
        """Write one object if its version is ``if_version``."""
        headers = [*self._headers, (b"If-Match", b"%d" % if_version)]
        deferred = Deferred()

        def on_reply(reply):
            if reply.status is not None:
                deferred.callback(put_result(reply))
                return
            kind = StoreErrorKind.UNKNOWN if reply.sent else StoreErrorKind.UNAVAILABLE
            deferred.callback(Error(StoreError(kind, reply.detail)))

        self._calls.call(
            "PUT",
            object_path(key),
            on_reply,
            self._timeout_ms,
            {"value": value},
            headers,
        )
        return deferred

    def _read(self, path, timeout_ms, parse):
        deferred = Deferred()
        self._calls.call(
            "GET",
            path,
            lambda reply: deferred.callback(read_result(reply, path, parse)),
            timeout_ms,
            headers=self._headers,
        )
        return deferred


def read_result(reply, path, parse):
    """Return the ``Result`` of a read from its reply."""
    if reply.status == HTTP_NOT_FOUND:
        return Error(StoreError(StoreErrorKind.NOT_FOUND, path))
    detail = reply.detail or f"status {reply.status}"
    if reply.status == HTTP_OK:
        try:
            return Ok(parse(reply.body))
        except (KeyError, TypeError, AttributeError) as error:
            detail = f"the reply does not follow the platform's protocol: {error!r}"
    return Error(StoreError(StoreErrorKind.UNAVAILABLE, detail))
