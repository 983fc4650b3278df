"""The configuration in force in this daemon: versioned objects that never revert."""

import logging

import xxhash
from expression import Error, Ok

from hemlockspoke.address import Address
from hemlockspoke.config.fleet import FLEET_KEY, SERVICE_PREFIX, Fleet
from hemlockspoke.findings import Finding, Findings
from hemlockspoke.ports import StoredObject
from hemlockspoke.registry import Registry

logger = logging.getLogger(__name__)

SHARE_PREFIX = "shares/"
VM_PREFIX = "vms/"
PREFIXES = (SERVICE_PREFIX, FLEET_KEY, SHARE_PREFIX, VM_PREFIX)
ADDRESS_FIELDS = ("peer_address", "operator_address")
TEXT_FIELDS = ("region", "failure_domain")
HOLDER_COUNT_FIELDS = ("incarnation", "slots", "connections", "cold_start_slots")

validators = Registry("configuration prefix")


def rejection(key, found, allowed):
    """Return the error of a value that must not be adopted."""
    return Error(Findings([Finding(key, found, allowed, file=key)]))


@validators.register(SERVICE_PREFIX)
def check_service(key, value):
    """Parse a stored service object with the check that the command line uses."""
    # Imported here, so that importing this module does not load the YAML reader.
    from hemlockspoke.config.document_check import check_document

    if not isinstance(value, dict) or not isinstance(value.get("text"), str):
        return rejection(key, type(value).__name__, "a map with the document's text")
    result = check_document(value["text"], file=key, data=value.get("data"))
    if result.is_error():
        return result
    name = key.removeprefix(SERVICE_PREFIX)
    if result.ok.service != name:
        return rejection(f"{key}: service", repr(result.ok.service), repr(name))
    return result


@validators.register(FLEET_KEY)
def check_fleet(key, value):
    """Parse the fleet object."""
    try:
        return Ok(Fleet.from_value(value))
    except ValueError as error:
        return rejection(key, str(error), "lists of names")


@validators.register(SHARE_PREFIX)
def check_shares(key, value):
    """Accept a share object in the form that its writers use."""
    if not isinstance(value, dict) or not isinstance(value.get("servers"), dict):
        return rejection(key, type(value).__name__, "a map with the servers' shares")
    findings = Findings()
    for server, entry in value["servers"].items():
        if not is_share_entry(entry):
            path = f"{key}: servers.{server}"
            findings.add(Finding(path, repr(entry), "holders and amounts", file=key))
    return Error(findings) if findings else Ok(None)


def is_share_entry(entry):
    """Return whether an entry has a document version and well-formed holders."""
    if not isinstance(entry, dict) or not is_count(entry.get("document_version")):
        return False
    holders = entry.get("holders")
    return isinstance(holders, list) and all(is_holder(holder) for holder in holders)


def is_holder(holder):
    """Return whether a holder has the name of its VM and its amounts."""
    if not isinstance(holder, dict) or not isinstance(holder.get("vm"), str):
        return False
    return all(is_count(holder.get(name)) for name in HOLDER_COUNT_FIELDS)


def is_count(value):
    """Return whether a value is an integer of at least 0."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


@validators.register(VM_PREFIX)
def check_registration(key, value):
    """Accept a registration whose addresses can be parsed."""
    if not isinstance(value, dict):
        return rejection(key, type(value).__name__, "a registration")
    if value.get("vm") != key.removeprefix(VM_PREFIX):
        return rejection(f"{key}: vm", repr(value.get("vm")), "the name in the key")
    for field in TEXT_FIELDS:
        if not isinstance(value.get(field), str):
            return rejection(f"{key}: {field}", repr(value.get(field)), "a name")
    for field in ADDRESS_FIELDS:
        try:
            Address.parse(str(value.get(field)))
        except ValueError as error:
            return rejection(f"{key}: {field}", str(value.get(field)), str(error))
    return Ok(None)


def validator_of(key):
    """Return the validator of a key, or None if it is not a configuration key."""
    for prefix in PREFIXES:
        if key == prefix or (prefix.endswith("/") and key.startswith(prefix)):
            return validators.get(prefix)
    return None


def run_validator(validator, key, value):
    """Return the result of a validator; an exception in it rejects the value.

    A value that triggers a defect in a validator must not stop the exchange.
    """
    try:
        return validator(key, value)
    except Exception as error:
        logger.exception("validator failed", extra={"key": key})
        return rejection(
            key, f"{type(error).__name__}: {error}", "a value that can be checked"
        )


class Rejected:
    """A version of an object that has failed its check."""

    __slots__ = ("findings", "version")

    def __init__(self, version, findings):
        self.version = version
        self.findings = findings


class Configuration:
    """The objects in force, each of which is only replaced by a higher version.

    A version that fails its check is recorded as rejected, and the last valid one
    stays in force.
    """

    __slots__ = (
        "_adopted_ms",
        "_clock",
        "_digest",
        "_listeners",
        "_objects",
        "_parsed",
        "_rejected",
        "_servers",
    )

    def __init__(self, clock):
        self._clock = clock
        self._objects = {}
        self._adopted_ms = {}
        self._parsed = {}
        self._rejected = {}
        self._servers = None
        self._digest = None
        self._listeners = []

    def subscribe(self, listener):
        """Call ``listener(key)`` after each adoption."""
        self._listeners.append(listener)

    def adopt(self, key, version, value):
        """Put an object in force if it is newer and valid; return whether it was."""
        validator = validator_of(key)
        if validator is None or not is_count(version) or self.has_seen(key, version):
            return False
        result = run_validator(validator, key, value)
        if result.is_error():
            self._reject(key, version, result.error)
            return False
        self._put_in_force(key, version, value, result.ok)
        return True

    def _reject(self, key, version, findings):
        known = self._rejected.get(key)
        if known is not None and known.version > version:
            return
        self._rejected[key] = Rejected(version, findings)
        logger.error(
            "configuration rejected",
            extra={"key": key, "version": version, "findings": str(findings)},
        )

    def _put_in_force(self, key, version, value, parsed):
        self._objects[key] = StoredObject(key, version, value)
        self._adopted_ms[key] = self._clock.now_ms()
        self._parsed[key] = parsed
        if key in self._rejected and self._rejected[key].version < version:
            del self._rejected[key]
        self._digest = None
        if key.startswith(SERVICE_PREFIX):
            self._servers = None
            logger.info("document in force", extra={"key": key, "version": version})
        for listener in self._listeners:
            listener(key)

    def has_seen(self, key, version):
        """Return whether this version of an object is already in force or rejected.

        Lower versions than the one in force count as seen. A valid version below a
        rejected one must still be adopted, or daemons that received the rejected one
        first would keep an older version permanently.
        """
        if version <= self.version(key):
            return True
        rejected = self._rejected.get(key)
        return rejected is not None and rejected.version == version

    def version(self, key):
        """Return the version in force, or 0."""
        stored = self._objects.get(key)
        return stored.version if stored else 0

    def get(self, key):
        """Return the ``StoredObject`` in force, or None."""
        return self._objects.get(key)

    def objects(self, prefix):
        """Return the objects in force whose key starts with a prefix."""
        return [
            stored for key, stored in self._objects.items() if key.startswith(prefix)
        ]

    def versions(self):
        """Return the version in force of every key."""
        return {key: stored.version for key, stored in self._objects.items()}

    def adoptions(self):
        """Return key, version and time of adoption of every object in force."""
        return [
            (key, stored.version, self._adopted_ms[key])
            for key, stored in self._objects.items()
        ]

    def digest(self):
        """Return a hash of the versions in force of all keys."""
        if self._digest is None:
            lines = sorted(
                f"{key}={stored.version}" for key, stored in self._objects.items()
            )
            self._digest = xxhash.xxh64_hexdigest("\n".join(lines).encode())
        return self._digest

    def rejected(self):
        """Return the findings of each rejected version, by key."""
        return {key: item.findings for key, item in self._rejected.items()}

    def documents(self):
        """Return the documents in force, by service."""
        return {
            key.removeprefix(SERVICE_PREFIX): parsed
            for key, parsed in self._parsed.items()
            if key.startswith(SERVICE_PREFIX)
        }

    def document(self, service):
        """Return the document of a service, or None."""
        return self._parsed.get(SERVICE_PREFIX + service)

    def document_version(self, service):
        """Return the version in force of a service's document, or 0."""
        return self.version(SERVICE_PREFIX + service)

    def fleet(self):
        """Return the failure domains and VMs that operators have taken out."""
        return self._parsed.get(FLEET_KEY) or Fleet()

    def find_server(self, name):
        """Return the ``document.Server`` with a name, or None."""
        found = self._server_index().get(name)
        return found[0] if found else None

    def service_of(self, server_name):
        """Return the service whose document contains a server, or None."""
        found = self._server_index().get(server_name)
        return found[1] if found else None

    def _server_index(self):
        if self._servers is None:
            self._servers = {}
            # A server in two documents belongs to the first service in name order.
            for service, document in sorted(self.documents().items()):
                for name, server in document.servers.items():
                    self._servers.setdefault(name, (server, service))
        return self._servers
