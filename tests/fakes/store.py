"""In-memory store for features that need no network."""

from expression import Error, Ok

from hemlockspoke.errors import StoreError, StoreErrorKind
from hemlockspoke.ports import ObjectList, Store, StoredObject, VmList


def at_once(result):
    """Return a result unchanged, as a blocking store does."""
    return result


class FakeStore(Store):
    """The platform's store in memory.

    ``reply`` wraps each result; give ``twisted.internet.defer.succeed`` to get
    deferreds. ``faults`` lists the faults of the next writes, in order: None,
    ``"refuse"`` (not applied, reported), ``"lose_reply"`` (applied, reply lost),
    ``"lose_request"`` (never applied, reply lost), ``"delay"`` (reply lost, applied
    at ``apply_delayed``). ``reads_fail`` makes that many reads fail.
    ``before_put`` is called once, before the next write is processed.
    """

    def __init__(self, reply=at_once):
        self.objects = {}
        self.revision = 0
        self.vms = []
        self.faults = []
        self.reads_fail = 0
        self.before_put = None
        self.puts = 0
        self._delayed = []
        self._reply = reply

    def get(self, key):
        """Read one object."""
        if self.reads_fail > 0:
            self.reads_fail -= 1
            return self._error(StoreErrorKind.UNAVAILABLE)
        if key not in self.objects:
            return self._error(StoreErrorKind.NOT_FOUND)
        return self._reply(Ok(self.objects[key]))

    def put(self, key, value, if_version):
        """Write conditionally, subject to the next fault."""
        self.puts += 1
        hook, self.before_put = self.before_put, None
        if hook is not None:
            hook()
        fault = self.faults.pop(0) if self.faults else None
        if fault == "refuse":
            return self._error(StoreErrorKind.UNAVAILABLE)
        if fault == "delay":
            self._delayed.append((key, value, if_version))
        if fault in ("delay", "lose_request"):
            return self._error(StoreErrorKind.UNKNOWN)
        result = self._apply(key, value, if_version)
        if fault == "lose_reply":
            return self._error(StoreErrorKind.UNKNOWN)
        return self._reply(result)

    def apply_delayed(self):
        """Apply the delayed writes; those with an outdated version are refused."""
        delayed, self._delayed = self._delayed, []
        for write in delayed:
            self._apply(*write)

    def version(self, key):
        """Return the version of an object, 0 if absent."""
        return self.objects[key].version if key in self.objects else 0

    def _apply(self, key, value, if_version):
        present = self.version(key)
        if present != if_version:
            kind = StoreErrorKind.CONFLICT
            return Error(StoreError(kind, "the version differs", present))
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, value)
        return Ok(self.revision)

    def _error(self, kind):
        return self._reply(Error(StoreError(kind, "injected fault")))

    def list(self, prefix, values=True):
        """Read the objects under a prefix."""
        return self.watch(prefix, 0, 0)

    def watch(self, prefix, since_revision, wait_ms):
        """Return the changes after a revision, without waiting."""
        found = [
            item
            for key, item in sorted(self.objects.items())
            if key.startswith(prefix) and item.version > since_revision
        ]
        return self._reply(Ok(ObjectList(self.revision, found)))

    def list_vms(self):
        """Read the list of VMs."""
        return self._reply(Ok(VmList(0, self.vms)))
