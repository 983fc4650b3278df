"""A loopback proxy that delays, drops and resets traffic."""

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol

from hemlockspoke.registry import Registry
from tests.hosts import STAND_IN_HOST

# Each takes a random number generator and returns the ``Forwarding`` to apply.
modes = Registry("proxy mode")


class Forwarding:
    """Directions in which a connection forwards bytes, and their delay."""

    __slots__ = ("delay_ms", "from_target", "to_target")

    def __init__(self, to_target=True, from_target=True, delay_ms=0.0):
        self.to_target = to_target
        self.from_target = from_target
        self.delay_ms = delay_ms


@modes.register("pass")
def forward_all(rng):
    """Forward both directions."""
    return Forwarding()


@modes.register("delay")
def delay(rng):
    """Forward both directions after a delay."""
    return Forwarding(delay_ms=rng.choice([20.0, 150.0, 600.0]))


@modes.register("silence")
def silence(rng):
    """Forward nothing and keep the connections open."""
    return Forwarding(to_target=False, from_target=False)


@modes.register("drop-to-target")
def drop_to_target(rng):
    """Drop the bytes sent to the target."""
    return Forwarding(to_target=False)


@modes.register("drop-from-target")
def drop_from_target(rng):
    """Drop the bytes received from the target."""
    return Forwarding(from_target=False)


class _ProxyEnd(Protocol):
    """One end of a proxied connection."""

    def __init__(self, proxy, is_accepted):
        self.proxy = proxy
        self.is_accepted = is_accepted
        self.peer = None
        self.unsent = []

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        if self.is_accepted:
            self.proxy.connect(self)

    def dataReceived(self, data):
        if self.peer is None:
            self.unsent.append(data)
        else:
            self.proxy.forward(self, data)

    def pair(self, peer):
        """Link this accepted connection to the one to the target."""
        self.peer, peer.peer = peer, self
        self.proxy.paired_ends.add(self)
        for data in self.unsent:
            self.proxy.forward(self, data)

    def connectionLost(self, reason):
        self.proxy.paired_ends.discard(self)
        peer, self.peer = self.peer, None
        if peer is not None:
            peer.peer = None
            peer.transport.loseConnection()


class LoopbackProxy:
    """Forwards connections to ``target`` as its mode allows.

    A mode applies to the connections open when it is set and, if it is ``lasting``,
    to those opened later. Dropped bytes are not sent when the mode ends, as after
    a device on the path has lost the state of the connection.
    """

    def __init__(self, reactor, clock, target):
        self._reactor = reactor
        self._clock = clock
        self._target = target
        self._forwarding = Forwarding()
        self._affected_ends = None
        self.paired_ends = set()
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda address: _ProxyEnd(self, is_accepted=True)
        self._port = reactor.listenTCP(0, factory, interface=STAND_IN_HOST)

    @property
    def address(self):
        """Return the address as text."""
        host = self._port.getHost()
        return f"{host.host}:{host.port}"

    def set_mode(self, name, rng, lasting=True):
        """Set the mode of all connections, or only of those open now."""
        self._forwarding = modes.get(name)(rng)
        self._affected_ends = None if lasting else set(self.paired_ends)

    def reset(self, rng, probability=1.0):
        """Reset each connection with the given probability."""
        for end in sorted(self.paired_ends, key=id):
            if rng.random() < probability:
                end.transport.abortConnection()

    def connect(self, end):
        """Open the connection to the target."""
        host, _, port = self._target.partition(":")
        endpoint = TCP4ClientEndpoint(self._reactor, host, int(port), timeout=2)
        opened = connectProtocol(endpoint, _ProxyEnd(self, is_accepted=False))
        opened.addCallbacks(end.pair, lambda _: end.transport.abortConnection())

    def forward(self, end, data):
        """Forward bytes according to the mode."""
        accepted = end if end.is_accepted else end.peer
        forwarding = self._forwarding
        if self._affected_ends is not None and accepted not in self._affected_ends:
            forwarding = Forwarding()
        if not (forwarding.to_target if end.is_accepted else forwarding.from_target):
            return
        if forwarding.delay_ms:
            self._clock.call_later(forwarding.delay_ms, self._write, end.peer, data)
        else:
            self._write(end.peer, data)

    def _write(self, end, data):
        if end is not None and end.connected:
            end.transport.write(data)

    def stop(self):
        """Close the port and every connection."""
        for end in list(self.paired_ends):
            end.transport.abortConnection()
        return self._port.stopListening()
