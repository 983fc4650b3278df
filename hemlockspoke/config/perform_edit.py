"""Performs an edit against the store and reports only proven results.

The steps are a generator that yields each call to the store and is sent its result,
so that the same code runs on deferreds (``inlineCallbacks(perform_edit)(...)``) and
on a blocking store (``run_steps(perform_edit(...))``).
"""

from expression import Error, Ok

from hemlockspoke.config.audit import audit_entries
from hemlockspoke.errors import StoreErrorKind
from hemlockspoke.ports import StoredObject

# Attempts to find out whether a write took effect, and the delay before each.
RESOLVE_ATTEMPTS = 5
RESOLVE_WAIT_MS = 200


class Accepted:
    """The change is stored as ``version`` of the object."""

    __slots__ = ("draft", "key", "version")

    def __init__(self, key, version, draft):
        self.key = key
        self.version = version
        self.draft = draft


class NotApplied:
    """The change is certainly not stored."""

    __slots__ = ("findings", "reason")

    def __init__(self, reason, findings=()):
        self.reason = reason
        self.findings = findings


class EditConflict:
    """Another change was stored first, and this one is not stored.

    ``newer_changes`` are the audit entries of the changes since ``base_version`` that
    the object still holds; ``version`` is the current version, or None if unknown.
    """

    __slots__ = ("base_version", "key", "newer_changes", "version")

    def __init__(self, key, base_version, version, newer_changes):
        self.key = key
        self.base_version = base_version
        self.version = version
        self.newer_changes = newer_changes


class EditResultUnknown:
    """The store proves neither that the change is stored nor that it is not."""

    __slots__ = ("key", "reason", "writer")

    def __init__(self, key, writer, reason):
        self.key = key
        self.writer = writer
        self.reason = reason


def no_wait(_delay_ms):
    """Return without a delay."""


def run_steps(steps):
    """Run a generator whose calls return their results directly."""
    result = None
    while True:
        try:
            result = steps.send(result)
        except StopIteration as stop:
            return stop.value


def perform_edit(store, edit, author, writer, *, if_version=None, wait=no_wait):
    """Perform an edit; a generator that returns its result.

    The result is ``Ok(Accepted)`` or an ``Error`` with ``NotApplied``,
    ``EditConflict`` or ``EditResultUnknown``. ``writer`` must be an id that no other
    write uses. With ``if_version`` the edit is made only to that version.
    ``wait(delay_ms)`` is yielded before each attempt to resolve an unknown result.
    """
    read = yield from _read(store, edit.key)
    if read.is_error():
        return Error(NotApplied(f"{edit.key} cannot be read: {read.error.detail}"))
    base = read.ok
    if if_version is not None and base.version != if_version:
        return Error(_edit_conflict(edit.key, if_version, base))
    draft_result = edit.draft(base.value, base.version, author, writer)
    if draft_result.is_error():
        return Error(NotApplied(draft_result.error.reason, draft_result.error.findings))
    draft = draft_result.ok
    if draft.archive is not None:
        archived = yield from _archive(store, draft.archive, writer)
        if not archived:
            return Error(NotApplied("older audit entries cannot be archived"))
    return (yield from _Write(store, edit.key, base, draft, writer, wait).steps())


def _read(store, key):
    """Read an object; an absent one has version 0 and the value None."""
    result = yield store.get(key)
    if result.is_error() and result.error.kind is StoreErrorKind.NOT_FOUND:
        return Ok(StoredObject(key, 0, None))
    return result


def _archive(store, archive, writer):
    """Create an archive; return whether this or another writer has stored it."""
    for _ in range(RESOLVE_ATTEMPTS):
        result = yield store.put(archive.key, archive.to_value(writer), 0)
        if result.is_ok() or result.error.kind is StoreErrorKind.CONFLICT:
            return True
        if result.error.kind is not StoreErrorKind.UNKNOWN:
            return False
    return False


def _edit_conflict(key, base_version, current):
    entries = audit_entries(current.value)
    newer_changes = [entry for entry in entries if entry.base_version >= base_version]
    return EditConflict(key, base_version, current.version, newer_changes)


class _Write:
    """One conditional write, with the resolution of an unknown result."""

    __slots__ = ("_base", "_draft", "_key", "_store", "_wait", "_writer")

    def __init__(self, store, key, base, draft, writer, wait):
        self._store = store
        self._key = key
        self._base = base
        self._draft = draft
        self._writer = writer
        self._wait = wait

    def steps(self):
        """Write, and resolve the result if it is unknown."""
        result = yield self._put()
        if result.is_ok():
            return self._accepted(result.ok)
        if result.error.kind is StoreErrorKind.UNAVAILABLE:
            reason = f"the store did not take the change: {result.error.detail}"
            return Error(NotApplied(reason))
        if result.error.kind is StoreErrorKind.CONFLICT:
            return (yield from self._conflict(result.error))
        return (yield from self._resolve(result.error))

    def _put(self):
        return self._store.put(self._key, self._draft.value, self._base.version)

    def _accepted(self, version):
        return Ok(Accepted(self._key, version, self._draft))

    def _conflict(self, error):
        """Report a conflict, with the changes that were stored first if readable."""
        read = yield from _read(self._store, self._key)
        if read.is_ok():
            return Error(_edit_conflict(self._key, self._base.version, read.ok))
        return Error(EditConflict(self._key, self._base.version, error.version, []))

    def _resolve(self, error):
        """Read back until the object proves whether the write took effect.

        While the object is at the base version, the write may still be in transit.
        It is then repeated with the same writer id and the same condition, so that
        at most one of the two takes effect.
        """
        for _ in range(RESOLVE_ATTEMPTS):
            yield self._wait(RESOLVE_WAIT_MS)
            read = yield from _read(self._store, self._key)
            if read.is_error():
                continue
            if read.ok.version != self._base.version:
                return self._resolve_from_entries(read.ok)
            repeated = yield self._put()
            if repeated.is_ok():
                return self._accepted(repeated.ok)
        return self._result_unknown(error.detail)

    def _resolve_from_entries(self, current):
        """Derive the result from the writer ids in an object that has changed."""
        if isinstance(current.value, dict):
            if current.value.get("writer") == self._writer:
                return self._accepted(current.version)
            entries = audit_entries(current.value)
            if any(entry.writer == self._writer for entry in entries):
                return self._accepted(self._version_of_write(entries, current))
            # Entries back to the base version prove that this write is not stored.
            if any(entry.base_version <= self._base.version for entry in entries):
                return Error(_edit_conflict(self._key, self._base.version, current))
        return self._result_unknown(
            "the object no longer holds the audit entries since the base version"
        )

    def _version_of_write(self, entries, current):
        """Return the version of the write, the base version of the change after it."""
        writers = [entry.writer for entry in entries]
        later = entries[writers.index(self._writer) + 1 :]
        return later[0].base_version if later else current.version

    def _result_unknown(self, reason):
        return Error(EditResultUnknown(self._key, self._writer, reason))
