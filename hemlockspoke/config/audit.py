"""Audit entries and the edits that record them.

An edit performs no I/O. It computes the next value of an object, which includes the
audit entry, so that neither is ever stored without the other.
"""

import difflib
import json
from abc import ABC, abstractmethod

from expression import Error, Ok

from hemlockspoke.config.document_check import check_document
from hemlockspoke.config.document_data import stored_data
from hemlockspoke.config.fleet import FLEET_KEY, SERVICE_PREFIX
from hemlockspoke.config.yaml_reader import read_yaml

# Newest entries that stay in the object unless they exceed MAX_AUDIT_BYTES.
KEPT_ENTRIES = 50
# Older entries are archived in batches, so that only some edits write one.
ARCHIVE_BATCH = 10
# The platform stores values of at most 1 MB; less than half of that is for the audit
# entries.
MAX_VALUE_BYTES = 1_000_000
MAX_AUDIT_BYTES = 400_000
AUDIT_PREFIX = "audit/"
DIFF_CONTEXT_LINES = 1


class AuditEntry:
    """Who changed what, when and why.

    ``base_version`` is the version that the change was made to. ``writer`` is the
    unique id of the write; it proves even after later changes that the write took
    effect.
    """

    __slots__ = ("action", "base_version", "diff", "when_ms", "who", "why", "writer")

    def __init__(self, who, when_ms, why, base_version, action, diff, writer=""):
        self.who = who
        self.when_ms = when_ms
        self.why = why
        self.base_version = base_version
        self.action = action
        self.diff = diff
        self.writer = writer

    @classmethod
    def from_json(cls, value):
        """Build from a stored entry; a missing field becomes empty or 0."""
        texts = {
            name: str(value.get(name, ""))
            for name in ("who", "why", "action", "diff", "writer")
        }
        numbers = {
            name: _int_or_zero(value.get(name)) for name in ("when_ms", "base_version")
        }
        return cls(**texts, **numbers)

    def to_json(self):
        """Return the entry in its stored form."""
        return {name: getattr(self, name) for name in self.__slots__}


def _int_or_zero(value):
    return value if type(value) is int else 0


def audit_entries(value):
    """Return the audit entries of a stored value, oldest first."""
    stored = value.get("audit") if isinstance(value, dict) else None
    if not isinstance(stored, list):
        return []
    return [AuditEntry.from_json(entry) for entry in stored if isinstance(entry, dict)]


class Author:
    """Who makes a change, when and why."""

    __slots__ = ("when_ms", "who", "why")

    def __init__(self, who, why, when_ms):
        self.who = who
        self.why = why
        self.when_ms = when_ms


class Archive:
    """The oldest entries of an object, to be stored before they are dropped.

    The key and the entries depend only on the object's current version, so
    concurrent writers create the same archive.
    """

    __slots__ = ("entries", "key")

    def __init__(self, key, entries):
        self.key = key
        self.entries = entries

    def to_value(self, writer):
        """Return the value to store."""
        entries = [entry.to_json() for entry in self.entries]
        return {"audit": entries, "writer": writer}


def archive_prefix(key):
    """Return the prefix of the archives of an object."""
    return f"{AUDIT_PREFIX}{key}/"


def entries_to_archive(entries):
    """Return the oldest entries, to be archived before the next change."""
    sizes = [len(json.dumps(entry.to_json())) for entry in entries]
    too_many = len(entries) >= KEPT_ENTRIES + ARCHIVE_BATCH
    if not too_many and sum(sizes) <= MAX_AUDIT_BYTES:
        return []
    first_kept = max(0, len(entries) - KEPT_ENTRIES + 1)
    while sum(sizes[first_kept:]) > MAX_AUDIT_BYTES // 2:
        first_kept += 1
    return entries[:first_kept]


class Refusal:
    """The reason why an edit is refused; ``findings`` are those of its document."""

    __slots__ = ("findings", "reason")

    def __init__(self, reason, findings=()):
        self.reason = reason
        self.findings = findings


class Draft:
    """The next value of an object, its audit entry and the archive to store first."""

    __slots__ = ("archive", "entry", "value")

    def __init__(self, value, entry, archive):
        self.value = value
        self.entry = entry
        self.archive = archive


class Edit(ABC):
    """A change of the object at ``key``; ``action`` describes it in its audit entry."""

    __slots__ = ("action", "key")

    def __init__(self, key, action):
        self.key = key
        self.action = action

    @abstractmethod
    def refusal(self, value):
        """Return a ``Refusal`` if the edit does not apply to the value, else None."""

    @abstractmethod
    def changed(self, value):
        """Return the fields of the next value, without audit and writer."""

    @abstractmethod
    def diff(self, value):
        """Return the change as the lines of a diff."""

    def draft(self, value, version, author, writer):
        """Return ``Result[Draft, Refusal]`` of this edit made to ``value``.

        ``value`` is None and ``version`` 0 if the object is absent. ``writer`` is the
        unique id of the write.
        """
        value = value if isinstance(value, dict) else {}
        refusal = self.refusal(value)
        if refusal is not None:
            return Error(refusal)
        entry = AuditEntry(
            author.who,
            author.when_ms,
            author.why,
            version,
            self.action,
            self.diff(value),
            writer,
        )
        return self._with_entry(value, version, entry)

    def _with_entry(self, value, version, entry):
        entries = audit_entries(value)
        to_archive = entries_to_archive(entries)
        kept = [*entries[len(to_archive) :], entry]
        audit = [item.to_json() for item in kept]
        changed = {**self.changed(value), "audit": audit, "writer": entry.writer}
        if len(json.dumps(changed)) > MAX_VALUE_BYTES:
            limit = f"the platform stores at most {MAX_VALUE_BYTES} bytes"
            return Error(Refusal(f"{self.key} would become too large; {limit}"))
        archive = (
            Archive(f"{archive_prefix(self.key)}{version}", to_archive)
            if to_archive
            else None
        )
        return Ok(Draft(changed, entry, archive))


class ServiceApply(Edit):
    """Stores a service document that has passed the check."""

    __slots__ = ("_text",)

    def __init__(self, service, text):
        super().__init__(f"{SERVICE_PREFIX}{service}", "service apply")
        self._text = text

    @classmethod
    def from_text(cls, text, file="", others=()):
        """Return ``Result[ServiceApply, Findings]``.

        ``others`` are the documents of other services, whose servers the
        document may not name.
        """
        checked = check_document(text, file, others)
        return checked.map(lambda document: cls(document.service, text))

    def refusal(self, value):
        """Refuse a text that is already stored."""
        if value.get("text") == self._text:
            return Refusal(f"{self.key} holds this text already")
        return None

    def changed(self, value):
        """Replace the text and the data that daemons read."""
        root = read_yaml(self._text).root
        return {"text": self._text, "data": stored_data(self._text, root)}

    def diff(self, value):
        """Compare the texts line by line."""
        return text_diff(stored_text(value), self._text)


class FleetEdit(Edit):
    """Adds a name to one list of the fleet object if ``out``, else removes it."""

    __slots__ = ("_field", "_name", "_out")
    field = ""
    noun = ""

    def __init__(self, name, out):
        action = f"{self.noun} {name} {'out' if out else 'in'}"
        super().__init__(FLEET_KEY, action)
        self._name = name
        self._out = out

    def refusal(self, value):
        """Refuse an edit that would change nothing."""
        if (self._name in stored_names(value, self.field)) == self._out:
            state = "out" if self._out else "in"
            return Refusal(f"{self.noun} {self._name} is {state} already")
        return None

    def changed(self, value):
        """Add or remove the name; the other list stays unchanged."""
        before = set(stored_names(value, self.field))
        after = before | {self._name} if self._out else before - {self._name}
        fields = {name: stored_names(value, name) for name in FLEET_FIELDS}
        return {**fields, self.field: sorted(after)}

    def diff(self, value):
        """Return the list and the name that is added or removed."""
        return f"{'+' if self._out else '-'}{self.field}: {self._name}"


class DomainEdit(FleetEdit):
    """Takes a failure domain out of service or puts it back."""

    __slots__ = ()
    field = "failure_domains_out"
    noun = "failure domain"


class VmEdit(FleetEdit):
    """Takes a VM or server out of service or puts it back."""

    __slots__ = ()
    field = "vms_out"
    noun = "VM"


FLEET_FIELDS = (DomainEdit.field, VmEdit.field)


def stored_text(value):
    """Return the document text of a stored value, or an empty string."""
    text = value.get("text") if isinstance(value, dict) else None
    return text if isinstance(text, str) else ""


def stored_names(value, field):
    """Return the names in a list of the fleet object."""
    names = value.get(field) if isinstance(value, dict) else None
    return [n for n in names if isinstance(n, str)] if isinstance(names, list) else []


def text_diff(old, new, old_name="before", new_name="after"):
    """Return a unified diff of two texts, empty if they are equal.

    >>> text_diff("a", "b").splitlines()[-1]
    '+b'
    """
    lines = difflib.unified_diff(
        old.splitlines(),
        new.splitlines(),
        old_name,
        new_name,
        lineterm="",
        n=DIFF_CONTEXT_LINES,
    )
    return "\n".join(lines)
