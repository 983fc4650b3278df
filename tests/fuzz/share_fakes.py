"""Fakes at the ports of the share manager, with a clock that tests move."""

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
    """Return the value of a document: ``servers`` maps name to its properties.

    The properties are (region, failure domain, slots, connections, cold-start
    slots); the fakes keep them in place of the YAML text.
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
    """Adopts higher versions and tells its listeners, as the real one does."""

    def __init__(self):
        self._objects = {}
        self._documents = {}
        self._listeners = []

    def adopt(self, key, version, value):
        """Take an object in force if its version is higher."""
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
        """Return a server of any document."""
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
        """Return what is taken out."""
        stored = self._objects.get(FLEET_KEY)
        return Fleet() if stored is None else Fleet.from_value(stored.value)


class FakePlatform:
    """The platform: objects with versions and the list of VMs."""

    def __init__(self, lag_ms=500):
        self.objects = {}
        self.revision = 0
        self.lag_ms = lag_ms
        # VMs in the list, and where each VM is, listed or not.
        self.vms = {}
        self.placed = {}

    def put(self, key, value, if_version=None):
        """Write unconditionally, or if the version matches; 0 on conflict."""
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
        """Add a VM that is not yet in the list."""
        self.placed[vm] = ListedVm(vm, "127.0.0.1:1", region, failure_domain, "live")

    def vm_list(self, without=()):
        """Return a reading of the list."""
        listed = [item for vm, item in self.vms.items() if vm not in without]
        return VmList(self.lag_ms, listed)


class FakeStore:
    """One daemon's access to the platform, with faults that a test sets.

    ``cut`` makes every call fail. ``fates`` holds those of the next writes:
    ``lost_reply`` (applied), ``not_applied`` (unknown as well), ``delayed``
    (unknown now, arrives when ``deliver_delayed`` is called) or ``held`` (applied
    now, answered when ``answer_held`` is called). After a write of unknown result
    the next ``lost_reads`` reads fail, as they do when the store is slow.
    """

    def __init__(self, platform):
        self.platform = platform
        self.cut = False
        self.fates = []
        self.lost_reads = 0
        self._reads_to_lose = 0
        self.delayed = []
        self.held = []
        self.writes = []

    def get(self, key):
        """Read one object."""
        self._reads_to_lose -= 1
        if self.cut or self._reads_to_lose >= 0:
            return _failed(StoreErrorKind.UNAVAILABLE)
        stored = self.platform.objects.get(key)
        if stored is None:
            return _failed(StoreErrorKind.NOT_FOUND)
        return succeed(Ok(stored))

    def put(self, key, value, if_version):
        """Write one object with the fate that was set."""
        if self.cut:
            return _failed(StoreErrorKind.UNAVAILABLE)
        fate = self.fates.pop() if self.fates else None
        value = copy.deepcopy(value)
        if fate is not None:
            self._reads_to_lose = self.lost_reads
        if fate == "not_applied":
            return _failed(StoreErrorKind.UNKNOWN)
        if fate == "delayed":
            self.delayed.append((key, value, if_version))
            return _failed(StoreErrorKind.UNKNOWN)
        result = self._apply(key, value, if_version)
        if fate == "lost_reply":
            return _failed(StoreErrorKind.UNKNOWN)
        if fate == "held":
            answer = Deferred()
            self.held.append((answer, result))
            return answer
        return succeed(result)

    def list_vms(self):
        """Read the platform's list."""
        if self.cut:
            return _failed(StoreErrorKind.UNAVAILABLE)
        return succeed(Ok(self.platform.vm_list()))

    def deliver_delayed(self):
        """Let writes arrive whose sender has long given up on them."""
        delayed, self.delayed = self.delayed, []
        for key, value, if_version in delayed:
            self._apply(key, value, if_version)

    def answer_held(self):
        """Let the replies of held writes arrive."""
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
    """Work at a server that uses some of a share until it ends."""

    def __init__(self, server, amounts, end_ms):
        self.server = server
        self.amounts = amounts
        self.end_ms = end_ms


class FakeUse:
    """Shares in force and work in use at one daemon, in place of ``Holder``."""

    def __init__(self, clock):
        self._clock = clock
        self.shares = {}
        self.work = []

    def set_share(self, name, share):
        """Take a share in force."""
        if share is None:
            self.shares.pop(name, None)
        else:
            self.shares[name] = share

    def in_use(self, name):
        """Return what is in use."""
        return self.running(name, self._clock.now_ms())

    def running(self, name, now_ms):
        """Return what is in use at a time, also after the process has died."""
        running = [w for w in self.work if w.server == name and w.end_ms > now_ms]
        return total(work.amounts for work in running)

    def begin(self, name, duration_ms):
        """Use all slots and connections of a server that the share permits."""
        now_ms = self._clock.now_ms()
        self.work = [work for work in self.work if work.end_ms > now_ms]
        share = self.shares.get(name, Share())
        free = subtract(share, self.in_use(name))
        if any(free.amounts()):
            self.work.append(Work(name, free, now_ms + duration_ms))


def _failed(kind):
    return succeed(Error(StoreError(kind)))
