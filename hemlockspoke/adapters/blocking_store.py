"""The platform's object API with calls that block, for the command line.

Methods return the ``Result`` itself where the port speaks of a deferred. The kinds
of errors are those of the port.
"""

from urllib.parse import quote, urlencode

from expression import Error, Ok

from hemlockspoke.adapters.blocking_http import NoReply, exchange
from hemlockspoke.errors import StoreError, StoreErrorKind
from hemlockspoke.ports import ListedVm, ObjectList, Store, StoredObject, VmList

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_PRECONDITION_FAILED = 412
HTTP_SERVICE_UNAVAILABLE = 503
# Replies that say that the platform did not accept the request at all.
NOT_ACCEPTED = frozenset({400, 401, 403, 405, 411, 413, 414, 415, 428, 429, 431})
# A watch gets this much longer than its own wait before it counts as silent.
WATCH_GRACE_MS = 1000


class BlockingStore(Store):
    """``Store`` that answers at once; no write is sent twice."""

    __slots__ = ("_address", "_timeout_ms")

    def __init__(self, address, timeout_ms):
        self._address = address
        self._timeout_ms = timeout_ms

    def get(self, key):
        """Read one object."""
        return self._read(object_path(key), parse_object)

    def put(self, key, value, if_version):
        """Write one object under a condition."""
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
        fields = {"prefix": prefix, "since": since_revision, "wait_ms": int(wait_ms)}
        path = f"/v1/watch?{urlencode(fields)}"
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
            return unavailable("the reply is not of the platform's protocol")


def unavailable(detail):
    """Return the result of a call that was not applied."""
    return Error(StoreError(StoreErrorKind.UNAVAILABLE, detail))


def object_path(key):
    """Return the path of an object."""
    return f"/v1/objects/{quote(key, safe='/')}"


def put_result(reply):
    """Return the result that a reply to a write proves."""
    version = reply.fields().get("version")
    detail = f"status {reply.status}"
    if reply.status == HTTP_OK and isinstance(version, int):
        return Ok(version)
    if reply.status == HTTP_PRECONDITION_FAILED:
        return Error(StoreError(StoreErrorKind.CONFLICT, detail, version))
    applied = reply.fields().get("applied")
    refused = reply.status == HTTP_SERVICE_UNAVAILABLE and applied is False
    if refused or reply.status in NOT_ACCEPTED:
        return unavailable(detail)
    return Error(StoreError(StoreErrorKind.UNKNOWN, detail))


def parse_object(body):
    """Return the ``StoredObject`` of a reply."""
    return StoredObject(body["key"], body["version"], body.get("value"))


def parse_objects(body):
    """Return the ``ObjectList`` of a reply."""
    return ObjectList(body["revision"], [parse_object(o) for o in body["objects"]])


def parse_vms(body):
    """Return the ``VmList`` of a reply."""
    return VmList(body["lag_ms"], [parse_vm(entry) for entry in body["vms"]])


def parse_vm(entry):
    """Return the ``ListedVm`` of an entry of the list."""
    fields = ("vm", "address", "region", "failure_domain", "state")
    return ListedVm(*(entry[name] for name in fields))
