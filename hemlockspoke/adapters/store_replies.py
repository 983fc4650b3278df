"""Paths and replies of the platform's object API, shared by both store clients."""

from urllib.parse import quote

from expression import Error, Ok

from hemlockspoke.errors import StoreError, StoreErrorKind
from hemlockspoke.ports import ListedVm, ObjectList, StoredObject, VmList

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_PRECONDITION_FAILED = 412
HTTP_SERVICE_UNAVAILABLE = 503
# Statuses that prove that the platform rejected the request without applying it.
NOT_ACCEPTED = frozenset({400, 401, 403, 405, 411, 413, 414, 415, 428, 429, 431})
# A watch times out this long after the wait that it requested.
WATCH_GRACE_MS = 1000


def object_path(key):
    """Return the path of an object."""
    return f"/v1/objects/{quote(key, safe='/')}"


def put_result(reply):
    """Return the ``Result`` of a write, which on success holds the new version.

    The error is ``UNKNOWN`` unless the reply proves that nothing was written.
    """
    body = reply.body if isinstance(reply.body, dict) else {}
    version = body.get("version")
    detail = f"status {reply.status}"
    if reply.status == HTTP_OK and isinstance(version, int):
        return Ok(version)
    if reply.status == HTTP_PRECONDITION_FAILED:
        return Error(StoreError(StoreErrorKind.CONFLICT, detail, version))
    not_applied = (
        reply.status == HTTP_SERVICE_UNAVAILABLE and body.get("applied") is False
    )
    if not_applied or reply.status in NOT_ACCEPTED:
        return Error(StoreError(StoreErrorKind.UNAVAILABLE, detail))
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
    """Return the ``ListedVm`` of an entry."""
    return ListedVm(
        entry["vm"],
        entry["address"],
        entry["region"],
        entry["failure_domain"],
        entry["state"],
    )
