"""A loopback proxy that delays, resets, cuts and silences connections."""

from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Factory, Protocol

from hemlockspoke.registry import Registry

# Each takes a source of random numbers and returns the ``Passage`` of connections.
modes = Registry("proxy mode")


class Passage:
    """Which bytes of a connection pass, and how late."""

    __slots__ = ("back", "delay_ms", "forth")

    def __init__(self, forth=True, back=True, delay_ms=0.0):
        self.forth = forth
        self.back = back
        self.delay_ms = delay_ms


@modes.register("pass")
def pass_on(rng):
    """Pass everything."""
    return Passage()


@modes.register("delay")
def delay(rng):
    """Pass everything late."""
    return Passage(delay_ms=rng.choice([20.0, 150.0, 600.0]))


@modes.register("silence")
def silence(rng):
    """Pass nothing, and keep the connections open."""
    return Passage(forth=False, back=False)


@modes.register("cut-forth")
def cut_forth(rng):
    """Pass only what comes back."""
    return Passage(forth=False)


@modes.register("cut-back")
def cut_back(rng):
    """Pass only what goes forth."""
    return Passage(back=False)


class _Side(Protocol):
    """One end of a proxied connection."""

    def __init__(self, proxy, towards_target):
        self.proxy = proxy
        self.towards_target = towards_target
        self.other = None
        self.early = []

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        if self.towards_target:
            self.proxy.connect(self)

    def dataReceived(self, data):
        if self.other is None:
            self.early.append(data)
        else:
            self.proxy.forward(self, data)

    def pair(self, other):
        """Join this accepted connection with the one to the target."""
        self.other, other.other = other, self
        self.proxy.pairs.add(self)
        for data in self.early:
            self.proxy.forward(self, data)

    def connectionLost(self, reason):
        self.proxy.pairs.discard(self)
        other, self.other = self.other, None
        if other is not None:
            other.other = None
            other.transport.loseConnection()


class LoopbackProxy:
    """Passes connections on to ``target``, as far as its mode allows.

    A fault holds for connections that are open when it is set and, if it is
    ``lasting``, for those that come meanwhile. Bytes that a fault has held up are
    lost: nothing follows on a connection that something between has forgotten.
    """

    def __init__(self, reactor, clock, target):
        self._reactor = reactor
        self._clock = clock
        self._target = target
        self._passage = Passage()
        self._affected = None
        self.pairs = set()
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda address: _Side(self, towards_target=True)
        self._port = reactor.listenTCP(0, factory, interface="127.0.0.1")

    @property
    def address(self):
        """Return the address as text."""
        host = self._port.getHost()
        return f"{host.host}:{host.port}"

    def set_mode(self, name, rng, lasting=True):
        """Set the mode of all connections, or of those open now."""
        self._passage = modes.get(name)(rng)
        self._affected = None if lasting else set(self.pairs)

    def reset(self, rng, share=1.0):
        """Reset a share of the connections."""
        for side in sorted(self.pairs, key=id):
            if rng.random() < share:
                side.transport.abortConnection()

    def connect(self, side):
        """Open the connection to the target."""
        host, _, port = self._target.partition(":")
        endpoint = TCP4ClientEndpoint(self._reactor, host, int(port), timeout=2)
        opened = connectProtocol(endpoint, _Side(self, towards_target=False))
        opened.addCallbacks(side.pair, lambda _: side.transport.abortConnection())

    def forward(self, side, data):
        """Pass bytes on as the mode says."""
        accepted = side if side.towards_target else side.other
        passage = self._passage
        if self._affected is not None and accepted not in self._affected:
            passage = Passage()
        if not (passage.forth if side.towards_target else passage.back):
            return
        if passage.delay_ms:
            self._clock.call_later(passage.delay_ms, self._write, side.other, data)
        else:
            self._write(side.other, data)

    def _write(self, side, data):
        if side is not None and side.connected:
            side.transport.write(data)

    def stop(self):
        """Close the port and every connection."""
        for side in list(self.pairs):
            side.transport.abortConnection()
        return self._port.stopListening()
