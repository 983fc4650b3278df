"""Interfaces between the core and the adapters.

Asynchronous methods return a twisted ``Deferred`` that fires with a ``Result``
of the ``expression`` library. Expected failures are ``Error`` values; a failed
``Deferred`` is a defect. Fakes in tests may return deferreds that have fired.
"""

from abc import ABC, abstractmethod


class StoredObject:
    """An object of the platform's store, at one version."""

    __slots__ = ("key", "value", "version")

    def __init__(self, key, version, value):
        self.key = key
        self.version = version
        self.value = value

    def __repr__(self):
        return f"StoredObject({self.key!r}, {self.version})"


class ObjectList:
    """Objects under a prefix, and the revision of the store when they were read.

    ``value`` is None in each object if only versions were requested.
    """

    __slots__ = ("objects", "revision")

    def __init__(self, revision, objects):
        self.revision = revision
        self.objects = list(objects)


class ListedVm:
    """A VM in the platform's list; ``state`` is ``live`` or ``leaving``."""

    __slots__ = ("address", "failure_domain", "region", "state", "vm")

    def __init__(self, vm, address, region, failure_domain, state):
        self.vm = vm
        self.address = address
        self.region = region
        self.failure_domain = failure_domain
        self.state = state


class VmList:
    """One reading of the platform's list, which may be out of date by ``lag_ms``."""

    __slots__ = ("lag_ms", "vms")

    def __init__(self, lag_ms, vms):
        self.lag_ms = lag_ms
        self.vms = list(vms)


class Store(ABC):
    """The platform's object API. Errors are ``StoreError``."""

    @abstractmethod
    def get(self, key):
        """Return ``Result[StoredObject, StoreError]``."""

    @abstractmethod
    def put(self, key, value, if_version):
        """Write if the version is ``if_version`` (0: absent).

        Returns ``Result[int, StoreError]`` with the new version.
        """

    @abstractmethod
    def list(self, prefix, values=True):
        """Return ``Result[ObjectList, StoreError]`` for the keys with a prefix."""

    @abstractmethod
    def watch(self, prefix, since_revision, wait_ms):
        """Return the objects changed since a revision; wait if there are none.

        Returns ``Result[ObjectList, StoreError]``, with an empty list if nothing has
        changed within ``wait_ms``.
        """

    @abstractmethod
    def list_vms(self):
        """Return ``Result[VmList, StoreError]``."""


class UpstreamReply:
    """Answer of an upstream to a query: rows for each part of one version.

    ``parts`` maps each part (as a string) to its rows. ``size_bytes`` is the length of
    the reply as received.
    """

    __slots__ = ("incarnation", "parts", "size_bytes", "version")

    def __init__(self, incarnation, version, parts, size_bytes=0):
        self.incarnation = incarnation
        self.version = version
        self.parts = parts
        self.size_bytes = size_bytes


class OrderReply:
    """Answer of an upstream that has run an order."""

    __slots__ = ("incarnation", "result")

    def __init__(self, incarnation, result):
        self.incarnation = incarnation
        self.result = result


class UpstreamStatus:
    """Status that an upstream reports; it lags and may be wrong.

    ``indexes`` has the form that ``CatalogUpdate`` describes.
    """

    __slots__ = ("incarnation", "indexes", "load", "state")

    def __init__(self, incarnation, state, load, indexes):
        self.incarnation = incarnation
        self.state = state
        self.load = load
        self.indexes = indexes


class UpstreamRequest:
    """One request to an upstream.

    ``body`` is sent as JSON. ``remaining_ms`` is passed on as the deadline.
    ``idempotency_key`` is set for orders only. ``may_send`` is called right before the
    first byte is sent, possibly long after ``query`` or ``order`` was called, as a
    connection may have to be opened first. If it returns false, nothing is sent and the
    error is ``CANCELLED``.
    """

    __slots__ = (
        "body",
        "idempotency_key",
        "may_send",
        "remaining_ms",
        "request_id",
        "traceparent",
    )

    def __init__(
        self,
        request_id,
        body,
        remaining_ms,
        traceparent=None,
        idempotency_key=None,
        may_send=None,
    ):
        self.request_id = request_id
        self.body = body
        self.remaining_ms = remaining_ms
        self.traceparent = traceparent
        self.idempotency_key = idempotency_key
        self.may_send = may_send


class UpstreamClient(ABC):
    """Connections of this daemon to one server, within its connection share.

    Cancelling a returned deferred closes the connection of that request; the
    deferred fires once the server holds no resources for the request. A request
    ends as ``TIMEOUT`` after its ``remaining_ms``. Errors are ``UpstreamError``.
    """

    @abstractmethod
    def set_limit(self, connections):
        """Set the maximum number of open connections."""

    @abstractmethod
    def open_connections(self):
        """Return the number of connections open, being opened or being closed."""

    @abstractmethod
    def set_loss_listener(self, listener):
        """Set a callable to call when the server closes an idle connection.

        This is often the first sign of a restart.
        """

    @abstractmethod
    def query(self, request):
        """Return ``Result[UpstreamReply, UpstreamError]``."""

    @abstractmethod
    def order(self, request):
        """Return ``Result[OrderReply, UpstreamError]``."""

    @abstractmethod
    def status(self):
        """Return ``Result[UpstreamStatus, UpstreamError]``."""

    @abstractmethod
    def close(self):
        """Close all connections."""


class UpstreamClients(ABC):
    """Makes an ``UpstreamClient`` for a server."""

    @abstractmethod
    def connect(self, server):
        """Return the client for a ``document.Server``."""


class PeerNetwork(ABC):
    """Streams to other daemons.

    Messages are delivered through the callable given to ``set_receiver`` as
    ``receiver(vm, message)``; the loss of a stream is reported to the callable
    given to ``set_loss_listener`` as ``listener(vm)``, after which nothing that
    was sent on it will be answered.
    """

    @abstractmethod
    def set_receiver(self, receiver):
        """Set the receiver of messages."""

    @abstractmethod
    def set_loss_listener(self, listener):
        """Set the listener for lost streams."""

    @abstractmethod
    def set_connect_listener(self, listener):
        """Set the listener for new streams, called as ``listener(vm)``."""

    @abstractmethod
    def set_addresses(self, addresses, one_sided=False):
        """Set the peer address of each VM; close the streams opened to other VMs.

        Of two VMs, the one with the lower name opens the stream. With ``one_sided``
        this daemon opens all of them, as the others may not have chosen it as a peer.
        """

    @abstractmethod
    def send(self, vm, message):
        """Send a message; False if there is no open stream to the VM."""

    @abstractmethod
    def connected(self):
        """Return the names of the VMs with an open stream."""


class Metrics(ABC):
    """Counters, gauges and timings."""

    @abstractmethod
    def count(self, name, amount=1):
        """Add to a counter."""

    @abstractmethod
    def gauge(self, name, value):
        """Set a gauge."""

    @abstractmethod
    def timing(self, name, duration_ms):
        """Record a duration in ms."""


class NullMetrics(Metrics):
    """Metrics that discard all values."""

    __slots__ = ()

    def count(self, name, amount=1):
        """Discard the count."""

    def gauge(self, name, value):
        """Discard the value."""

    def timing(self, name, duration_ms):
        """Discard the duration."""
