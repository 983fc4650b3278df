"""Store reads shared by several commands."""

from hemlockspoke.adapters.blocking_store import BlockingStore
from hemlockspoke.config.audit import archive_prefix, audit_entries, stored_text
from hemlockspoke.config.document_check import check_document
from hemlockspoke.config.fleet import FLEET_KEY, SERVICE_PREFIX, Fleet
from hemlockspoke.errors import StoreErrorKind
from hemlockspoke.ui.exits import CommandFailed, ExitCode

STORE_TIMEOUT_MS = 2000
VM_PREFIX = "vms/"


class Registration:
    """A registered daemon, as its ``vms/`` object describes it."""

    __slots__ = ("failure_domain", "incarnation", "operator_address", "region", "vm")

    def __init__(self, vm, incarnation, region, failure_domain, operator_address):
        self.vm = vm
        self.incarnation = incarnation
        self.region = region
        self.failure_domain = failure_domain
        self.operator_address = operator_address

    @classmethod
    def from_object(cls, stored):
        """Build from a stored object; missing fields are empty."""
        value = stored.value if isinstance(stored.value, dict) else {}
        vm = stored.key.removeprefix(VM_PREFIX)
        names = ("region", "failure_domain", "operator_address")
        return cls(vm, stored.version, *(str(value.get(name, "")) for name in names))


class StoreReader:
    """Reads from the store; a failed read raises ``CommandFailed``."""

    __slots__ = ("store",)

    def __init__(self, store):
        self.store = store

    @classmethod
    def from_address(cls, address):
        """Build a reader of the platform at an ``Address``."""
        return cls(BlockingStore(address, STORE_TIMEOUT_MS))

    def find(self, key):
        """Return the ``StoredObject``, or None if it is absent."""
        result = self.store.get(key)
        if result.is_error() and result.error.kind is StoreErrorKind.NOT_FOUND:
            return None
        return _require_value(result, key)

    def objects(self, prefix):
        """Return the objects under a prefix, sorted by key."""
        listed = _require_value(self.store.list(prefix), prefix)
        return sorted(listed.objects, key=lambda item: item.key)

    def vms(self):
        """Return the platform's list of VMs as a dict by name."""
        listed = _require_value(self.store.list_vms(), "the list of VMs")
        return {item.vm: item for item in listed.vms}

    def registrations(self):
        """Return the registered daemons."""
        return [Registration.from_object(item) for item in self.objects(VM_PREFIX)]

    def services(self):
        """Return the objects of all service documents."""
        return self.objects(SERVICE_PREFIX)

    def documents(self):
        """Return the service documents that pass the check."""
        texts = [stored_text(item.value) for item in self.services()]
        return [result.ok for result in map(check_document, texts) if result.is_ok()]

    def fleet(self):
        """Return the ``Fleet``: the failure domains and VMs that are out."""
        stored = self.find(FLEET_KEY)
        try:
            return Fleet() if stored is None else Fleet.from_value(stored.value)
        except ValueError as error:
            raise CommandFailed(ExitCode.REFUSED, str(error)) from error

    def history(self, stored):
        """Return the audit entries of an object, with archived ones, oldest first.

        An entry is both archived and in the object if a writer stopped between its
        two writes. Each base version has one change, which identifies duplicates.
        """
        archives = self.objects(archive_prefix(stored.key))
        entries = [entry for item in archives for entry in audit_entries(item.value)]
        entries += audit_entries(stored.value)
        by_base_version = {entry.base_version: entry for entry in entries}
        return [
            by_base_version[base_version] for base_version in sorted(by_base_version)
        ]


def _require_value(result, subject):
    if result.is_error():
        text = f"cannot read {subject} from the platform: {result.error.detail}"
        raise CommandFailed(ExitCode.REFUSED, text)
    return result.ok
