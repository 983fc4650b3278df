"""Blocking client of the platform's object API for the command line.

Methods return a ``Result`` where the ``Store`` port specifies a ``Deferred`` of one.
The error kinds are those that the port specifies.
"""

from urllib.parse import urlencode

from expression import Error, Ok

from hemlockspoke.adapters.blocking_http import NoReply, exchange
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


class BlockingStore(Store):
    """``Store`` that blocks until the reply; writes are never retried."""

    __slots__ = ("_address", "_timeout_ms")

    def __init__(self, address, timeout_ms):
        self._address = address
        self._timeout_ms = timeout_ms

    def get(self, key):
        """Read one object."""
        return self._read(object_path(key), parse_object)

    def put(self, key, value, if_version):
        """Write one object if its version is ``if_version``."""
        try:
            reply = exchange(
                self._address,
                "PUT",
                object_path(key),
                timeout_ms=self._timeout_ms,
                body={"value": value},
                headers={"If-Match": str(if_version)},
            )
        except NoReply as error:
            kind = StoreErrorKind.UNKNOWN if error.sent else StoreErrorKind.UNAVAILABLE
            return Error(StoreError(kind, str(error)))
        return put_result(reply)

    def list(self, prefix, values=True):
        """Read the objects under a prefix."""
        query = urlencode({"prefix": prefix, "values": int(values)})
        return self._read(f"/v1/objects?{query}", parse_objects)

    def watch(self, prefix, since_revision, wait_ms):
        """Wait for changes after a revision."""
        parameters = {
            "prefix": prefix,
            "since": since_revision,
            "wait_ms": int(wait_ms),
        }
        path = f"/v1/watch?{urlencode(parameters)}"
        return self._read(path, parse_objects, wait_ms + WATCH_GRACE_MS)

    def list_vms(self):
        """Read the list of VMs."""
        return self._read("/v1/vms", parse_vms)

    def _read(self, path, parse, timeout_ms=None):
        timeout_ms = timeout_ms or self._timeout_ms
        try:
            reply = exchange(self._address, "GET", path, timeout_ms=timeout_ms)
        except NoReply as error:
            return unavailable(str(error))
        if reply.status == HTTP_NOT_FOUND:
            return Error(StoreError(StoreErrorKind.NOT_FOUND, f"{path} does not exist"))
        if reply.status != HTTP_OK:
            return unavailable(f"status {reply.status}")
        try:
            return Ok(parse(reply.body))
        except (KeyError, TypeError, AttributeError):
            return unavailable("the reply does not follow the platform's protocol")


def unavailable(detail):
    """Return the error result of a call that has certainly changed nothing."""
    return Error(StoreError(StoreErrorKind.UNAVAILABLE, detail))
