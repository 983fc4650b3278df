"""State of the platform stand-in: objects, the list of VMs and counters."""

from collections import Counter

MAX_VALUE_BYTES = 1024 * 1024


class ObjectTable:
    """Versioned objects; versions increase across the whole table.

    >>> table = ObjectTable()
    >>> table.put("fleet", {}, 0)
    (True, 1)
    >>> table.put("fleet", {}, 0)
    (False, 1)
    """

    __slots__ = ("_objects", "revision")

    def __init__(self):
        self._objects = {}
        self.revision = 0

    def get(self, key):
        """Return ``(version, value)`` or None."""
        return self._objects.get(key)

    def put(self, key, value, if_version):
        """Write if the version is ``if_version``; return ``(written, version)``."""
        current = self._objects.get(key, (0, None))[0]
        if current != if_version:
            return False, current
        self.revision += 1
        self._objects[key] = (self.revision, value)
        return True, self.revision

    def list(self, prefix, since=0, values=True):
        """Return the JSON form of the objects newer than ``since``."""
        entries = []
        for key in sorted(self._objects):
            version, value = self._objects[key]
            if key.startswith(prefix) and version > since:
                entry = {"key": key, "version": version}
                if values:
                    entry["value"] = value
                entries.append(entry)
        return {"revision": self.revision, "objects": entries}


class LaggingVmList:
    """The platform's list of VMs; a change becomes visible after ``lag_ms``."""

    __slots__ = ("_clock", "_lists", "lag_ms")

    def __init__(self, clock, lag_ms=0):
        self._clock = clock
        self._lists = []
        self.lag_ms = lag_ms

    def set(self, vms, lag_ms=None):
        """Set the current list; the first list is visible immediately."""
        if lag_ms is not None:
            self.lag_ms = lag_ms
        self._lists.append((self._clock.now_ms(), list(vms)))

    def visible(self):
        """Return the JSON form of the list as visible to callers now."""
        horizon_ms = self._clock.now_ms() - self.lag_ms
        while len(self._lists) > 1 and self._lists[1][0] <= horizon_ms:
            self._lists.pop(0)
        vms = self._lists[0][1] if self._lists else []
        return {"lag_ms": self.lag_ms, "vms": vms}


class Counters:
    """Counts of calls; a watch counts as one call."""

    __slots__ = ("by_operation", "by_vm", "conflicts", "connections", "open_watches")

    def __init__(self):
        self.by_operation = Counter()
        self.by_vm = Counter()
        self.conflicts = 0
        self.connections = 0
        self.open_watches = 0

    def count_call(self, operation, vm):
        """Count one call."""
        self.by_operation[operation] += 1
        self.by_vm[vm] += 1

    def to_json(self):
        """Return all counts."""
        return {
            "calls": sum(self.by_operation.values()),
            "by_operation": dict(self.by_operation),
            "by_vm": dict(self.by_vm),
            "conflicts": self.conflicts,
            "connections": self.connections,
            "open_watches": self.open_watches,
        }
