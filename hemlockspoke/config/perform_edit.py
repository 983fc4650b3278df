"""Performs an edit against the store and reports only what is proven.

The steps are a generator that yields each call to the store and gets its result,
so that the same code runs on deferreds (``inlineCallbacks(perform_edit)(...)``) and
on a store that answers at once (``run_steps(perform_edit(...))``).
"""

from expression import Error, Ok

from hemlockspoke.config.audit import entries_of
from hemlockspoke.errors import StoreErrorKind
from hemlockspoke.ports import StoredObject

# Attempts to learn whether a write took effect, and the wait before each.
RESOLVE_ATTEMPTS = 5
RESOLVE_WAIT_MS = 200


class Accepted:
    """The change is stored at ``version``."""

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


class RaceLost:
    """Another change came first and this one is not stored.

    ``winners`` are the audit entries of the changes made since, as far as the
    object still holds them; ``version`` is the present one, None if not known.
    """

    __slots__ = ("base_version", "key", "version", "winners")

    def __init__(self, key, base_version, version, winners):
        self.key = key
        self.base_version = base_version
        self.version = version
        self.winners = winners


class ResultUnknown:
    """The change may be stored or not; the store gives no proof of either."""

    __slots__ = ("key", "reason", "writer")

    def __init__(self, key, writer, reason):
        self.key = key
        self.writer = writer
        self.reason = reason


def no_wait(_delay_ms):
    """Wait not at all."""


def run_steps(steps):
    """Run a generator of calls whose results are at hand."""
    result = None
    while True:
        try:
            result = steps.send(result)
        except StopIteration as stop:
            return stop.value


def perform_edit(store, edit, author, writer, *, if_version=None, wait=no_wait):
    """Perform an edit; a generator that returns its result.

    The result is ``Ok(Accepted)`` or an ``Error`` with ``NotApplied``,
    ``RaceLost`` or ``ResultUnknown``. ``writer`` must be an id that no other
    write has. With ``if_version`` the edit must be made to that version.
    ``wait(delay_ms)`` is yielded between attempts to resolve an unknown result.
    """
    read = yield from _read(store, edit.key)
    if read.is_error():
        return Error(NotApplied(f"{edit.key} cannot be read: {read.error.detail}"))
    base = read.ok
    if if_version is not None and base.version != if_version:
        return Error(_race_lost(edit.key, if_version, base))
    drafted = edit.draft(base.value, base.version, author, writer)
    if drafted.is_error():
        return Error(NotApplied(drafted.error.reason, drafted.error.findings))
    draft = drafted.ok
    if draft.archive is not None:
        archived = yield from _archive(store, draft.archive, writer)
        if not archived:
            return Error(NotApplied("older audit entries cannot be archived"))
    return (yield from _Write(store, edit.key, base, draft, writer, wait).steps())


def _read(store, key):
    """Read an object; an absent one has version 0 and no value."""
    result = yield store.get(key)
    if result.is_error() and result.error.kind is StoreErrorKind.NOT_FOUND:
        return Ok(StoredObject(key, 0, None))
    return result


def _archive(store, archive, writer):
    """Create an archive; true when it is stored, by this or another writer."""
    for _ in range(RESOLVE_ATTEMPTS):
        result = yield store.put(archive.key, archive.to_value(writer), 0)
        if result.is_ok() or result.error.kind is StoreErrorKind.CONFLICT:
            return True
        if result.error.kind is not StoreErrorKind.UNKNOWN:
            return False
    return False


def _race_lost(key, base_version, present):
    entries = entries_of(present.value)
    winners = [entry for entry in entries if entry.base_version >= base_version]
    return RaceLost(key, base_version, present.version, winners)


class _Write:
    """One conditional write and the proof of its result."""

    __slots__ = ("_base", "_draft", "_key", "_store", "_wait", "_writer")

    def __init__(self, store, key, base, draft, writer, wait):
        self._store = store
        self._key = key
        self._base = base
        self._draft = draft
        self._writer = writer
        self._wait = wait

    def steps(self):
        """Write once, and resolve a result that is not known."""
        result = yield self._put()
        if result.is_ok():
            return self._accepted(result.ok)
        if result.error.kind is StoreErrorKind.UNAVAILABLE:
            reason = f"the store did not take the change: {result.error.detail}"
            return Error(NotApplied(reason))
        if result.error.kind is StoreErrorKind.CONFLICT:
            return (yield from self._lost(result.error))
        return (yield from self._resolve(result.error))

    def _put(self):
        return self._store.put(self._key, self._draft.value, self._base.version)

    def _accepted(self, version):
        return Ok(Accepted(self._key, version, self._draft))

    def _lost(self, error):
        """Report a conflict, with who came first if that can be read."""
        read = yield from _read(self._store, self._key)
        if read.is_ok():
            return Error(_race_lost(self._key, self._base.version, read.ok))
        return Error(RaceLost(self._key, self._base.version, error.version, []))

    def _resolve(self, error):
        """Read back until the object proves whether the write took effect.

        While the object is at the base version the write may still be on its
        way. It is then repeated with the same writer id and the same condition,
        which can take effect once at most, together with the first one.
        """
        for _ in range(RESOLVE_ATTEMPTS):
            yield self._wait(RESOLVE_WAIT_MS)
            read = yield from _read(self._store, self._key)
            if read.is_error():
                continue
            if read.ok.version != self._base.version:
                return self._judge(read.ok)
            again = yield self._put()
            if again.is_ok():
                return self._accepted(again.ok)
        return self._unknown(error.detail)

    def _judge(self, present):
        """Decide by the writer ids of an object that has changed."""
        if isinstance(present.value, dict):
            if present.value.get("writer") == self._writer:
                return self._accepted(present.version)
            since = entries_of(present.value)
            if any(entry.writer == self._writer for entry in since):
                return self._accepted(self._version_within(since, present))
            # Entries back to the base prove that this write is not among them.
            if any(entry.base_version <= self._base.version for entry in since):
                return Error(_race_lost(self._key, self._base.version, present))
        return self._unknown("the object no longer holds the entries since then")

    def _version_within(self, entries, present):
        """Return the version of the write: the base of the change after it."""
        writers = [entry.writer for entry in entries]
        following = entries[writers.index(self._writer) + 1 :]
        return following[0].base_version if following else present.version

    def _unknown(self, reason):
        return Error(ResultUnknown(self._key, self._writer, reason))
