"""Fakes for the ports of the share manager, with a manual clock."""

import copy

from expression import Error, Ok
from twisted.internet.defer import Deferred, succeed

from hemlockspoke.config.document import (
    QueryPolicy,
    Server,
    ServiceDocument,
    UpstreamClass,
)
from hemlockspoke.config.fleet import FLEET_KEY, SERVICE_PREFIX, Fleet
from hemlockspoke.errors import StoreError, StoreErrorKind
from hemlockspoke.limits.shares import subtract, total
from hemlockspoke.ports import ListedVm, StoredObject, VmList
from hemlockspoke.requests import Share

MAX_DEADLINE_MS = 5000


def service_value(servers, max_deadline_ms=MAX_DEADLINE_MS):
    """Return the value of a document; ``servers`` maps names to properties.

    The properties are (region, failure domain, slots, connections, cold-start
    slots). The fakes store them instead of the YAML text.
    """
    return {"servers": servers, "max_deadline_ms": max_deadline_ms}


def document_of(service, value):
    """Return the ``ServiceDocument`` of a value made by ``service_value``."""
    servers = {}
    for name, (region, domain, *amounts) in value["servers"].items():
        upstream_class = UpstreamClass(name, *amounts)
        servers[name] = Server(name, upstream_class, "127.0.0.1:1", domain, region)
    queries = QueryPolicy(max_deadline_ms=value["max_deadline_ms"])
    return ServiceDocument(service, "tests", [], queries, {}, {}, servers)


class FakeConfiguration:
    """Adopts higher versions and notifies listeners, as ``Configuration`` does."""

    def __init__(self):
        self._objects = {}
        self._documents = {}
        self._listeners = []

    def adopt(self, key, version, value):
        """Put an object in force if its version is higher; return whether it was."""
        held = self._objects.get(key)
        if held is not None and held.version >= version:
            return False
        self._objects[key] = StoredObject(key, version, value)
        if key.startswith(SERVICE_PREFIX):
            service = key[len(SERVICE_PREFIX) :]
            self._documents[service] = document_of(service, value)
        for listener in list(self._listeners):
            listener(key)
        return True

    def subscribe(self, listener):
        """Call ``listener(key)`` after each adoption."""
        self._listeners.append(listener)

    def get(self, key):
        """Return the object in force."""
        return self._objects.get(key)

    def objects(self, prefix):
        """Return the objects in force whose key begins with ``prefix``."""
        return [item for key, item in self._objects.items() if key.startswith(prefix)]

    def documents(self):
        """Return the documents in force by service."""
        return dict(self._documents)

    def document(self, service):
        """Return the document of a service."""
        return self._documents.get(service)

    def document_version(self, service):
        """Return the version of a service's document."""
        return self._objects[SERVICE_PREFIX + service].version

    def find_server(self, name):
        """Return a server from any document, or None."""
        for document in self._documents.values():
            if name in document.servers:
                return document.servers[name]
        return None

    def service_of(self, name):
        """Return the service of a server."""
        for service, document in self._documents.items():
            if name in document.servers:
                return service
        return None

    def fleet(self):
        """Return the ``Fleet``: the failure domains and VMs that are out."""
        stored = self._objects.get(FLEET_KEY)
        return Fleet() if stored is None else Fleet.from_value(stored.value)


class FakePlatform:
    """The platform: versioned objects and the list of VMs."""

    def __init__(self, lag_ms=500):
        self.objects = {}
        self.revision = 0
        self.lag_ms = lag_ms
        # ``vms`` is the VM list; ``placed`` has the location of all VMs, also of
        # those that are not in the list.
        self.vms = {}
        self.placed = {}

    def put(self, key, value, if_version=None):
        """Write an object, only at version ``if_version`` if given.

        Return the new version, or 0 on a conflict.
        """
        held = self.objects.get(key)
        version = 0 if held is None else held.version
        if if_version is not None and if_version != version:
            return 0
        self.revision += 1
        self.objects[key] = StoredObject(key, self.revision, copy.deepcopy(value))
        return self.revision

    def list_vm(self, vm, region, failure_domain, state="live"):
        """Add a VM to the list or change it."""
        self.place_vm(vm, region, failure_domain)
        self.vms[vm] = ListedVm(vm, "127.0.0.1:1", region, failure_domain, state)

    def place_vm(self, vm, region, failure_domain):
        """Add a VM without adding it to the list."""
        self.placed[vm] = ListedVm(vm, "127.0.0.1:1", region, failure_domain, "live")

    def vm_list(self, without=()):
        """Return the VM list, without the VMs named in ``without``."""
        listed = [item for vm, item in self.vms.items() if vm not in without]
        return VmList(self.lag_ms, listed)


class FakeStore:
    """One daemon's access to the platform, with faults that a test sets.

    If ``disconnected`` is set, all calls fail. ``write_faults`` lists the faults of
    the next writes, the next one last: ``lost_reply`` (applied, result unknown),
    ``not_applied`` (result unknown), ``delayed`` (result unknown, applied by
    ``deliver_delayed``) or ``held`` (applied, answered by ``answer_held``). After
    a write with a fault the next ``failing_reads`` reads fail, as with a slow
    store.
    """

    def __init__(self, platform):
        self.platform = platform
        self.disconnected = False
        self.write_faults = []
        self.failing_reads = 0
        self._reads_to_fail = 0
        self.delayed = []
        self.held = []
        self.writes = []

    def get(self, key):
        """Read one object."""
        self._reads_to_fail -= 1
        if self.disconnected or self._reads_to_fail >= 0:
            return _failed(StoreErrorKind.UNAVAILABLE)
        stored = self.platform.objects.get(key)
        if stored is None:
            return _failed(StoreErrorKind.NOT_FOUND)
        return succeed(Ok(stored))

    def put(self, key, value, if_version):
        """Write one object, with the next write fault if there is one."""
        if self.disconnected:
            return _failed(StoreErrorKind.UNAVAILABLE)
        fault = self.write_faults.pop() if self.write_faults else None
        value = copy.deepcopy(value)
        if fault is not None:
            self._reads_to_fail = self.failing_reads
        if fault == "not_applied":
            return _failed(StoreErrorKind.UNKNOWN)
        if fault == "delayed":
            self.delayed.append((key, value, if_version))
            return _failed(StoreErrorKind.UNKNOWN)
        result = self._apply(key, value, if_version)
        if fault == "lost_reply":
            return _failed(StoreErrorKind.UNKNOWN)
        if fault == "held":
            answer = Deferred()
            self.held.append((answer, result))
            return answer
        return succeed(result)

    def list_vms(self):
        """Read the platform's list of VMs."""
        if self.disconnected:
            return _failed(StoreErrorKind.UNAVAILABLE)
        return succeed(Ok(self.platform.vm_list()))

    def deliver_delayed(self):
        """Apply delayed writes, whose sender no longer waits for a result."""
        delayed, self.delayed = self.delayed, []
        for key, value, if_version in delayed:
            self._apply(key, value, if_version)

    def answer_held(self):
        """Answer the held writes."""
        held, self.held = self.held, []
        for answer, result in held:
            answer.callback(result)

    def _apply(self, key, value, if_version):
        version = self.platform.put(key, value, if_version)
        if not version:
            return Error(StoreError(StoreErrorKind.CONFLICT))
        self.writes.append((key, version))
        return Ok(version)


class Work:
    """Work at a server that uses part of a share until ``end_ms``."""

    def __init__(self, server, amounts, end_ms):
        self.server = server
        self.amounts = amounts
        self.end_ms = end_ms


class FakeHolder:
    """Effective shares and running work of one daemon, in place of ``Holder``."""

    def __init__(self, clock):
        self._clock = clock
        self.shares = {}
        self.work = []

    def set_share(self, name, share):
        """Set an effective share; None removes it."""
        if share is None:
            self.shares.pop(name, None)
        else:
            self.shares[name] = share

    def in_use(self, name):
        """Return the ``Share`` that is in use now."""
        return self.running(name, self._clock.now_ms())

    def running(self, name, now_ms):
        """Return the ``Share`` in use at ``now_ms``, even if the process has ended."""
        running = [w for w in self.work if w.server == name and w.end_ms > now_ms]
        return total(work.amounts for work in running)

    def start_work(self, name, duration_ms):
        """Start work that uses the whole free part of a server's share."""
        now_ms = self._clock.now_ms()
        self.work = [work for work in self.work if work.end_ms > now_ms]
        share = self.shares.get(name, Share())
        free = subtract(share, self.in_use(name))
        if any(free.amounts()):
            self.work.append(Work(name, free, now_ms + duration_ms))


def _failed(kind):
    return succeed(Error(StoreError(kind)))
