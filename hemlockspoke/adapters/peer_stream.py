"""TCP streams between daemons: length-prefixed msgpack frames and heartbeats."""

from hemlockspoke.adapters.peer_protocol import PeerClientFactory, PeerServerFactory
from hemlockspoke.messages import PROTOCOL_VERSION, Hello, Ping, Pong
from hemlockspoke.ports import PeerNetwork

# A stream that has received nothing for this fraction of the heartbeat interval is
# pinged. A ratio of 1 would shorten the tolerated pause of a peer by 500 ms.
PING_IDLE_RATIO = 0.5
# Accepted streams whose peers have not sent their hello. Peers send it at once, so more
# are open only if a crowd connects, or if all daemons start together.
MAX_UNIDENTIFIED = 128


class TcpPeerNetwork(PeerNetwork):
    """Streams over TCP, at most one in use per VM.

    The VM with the lower name dials, so that two daemons do not dial each other at
    once; a one-sided choice makes the choosing VM dial, as the peer may not know of
    it. Seed addresses are dialed as well, since a daemon that starts while the store
    is down knows no VM names. Of two streams, the one dialed by the lower name stays.
    """

    __slots__ = (
        "_connect_listener",
        "_dialers",
        "_epoch",
        "_heartbeat_due_ms",
        "_heartbeat_timer",
        "_loss_listener",
        "_next_token",
        "_receiver",
        "_region",
        "_seed_dialers",
        "_streams",
        "_timings",
        "_unidentified",
        "_vm",
        "clock",
        "metrics",
        "reactor",
    )

    def __init__(self, reactor, clock, vm, region, epoch, timings, metrics):
        self.reactor = reactor
        self.clock = clock
        self.metrics = metrics
        self._vm = vm
        self._region = region
        self._epoch = epoch
        self._timings = timings
        self._receiver = None
        self._loss_listener = None
        self._connect_listener = None
        self._streams = {}
        # Streams without a hello, oldest first.
        self._unidentified = {}
        self._dialers = {}
        self._seed_dialers = []
        self._next_token = 0
        self._heartbeat_due_ms = 0.0
        self._heartbeat_timer = None

    @classmethod
    def from_config(cls, settings, reactor, clock, epoch, metrics):
        """Build from the settings of the daemon."""
        network = cls(
            reactor,
            clock,
            settings.vm,
            settings.region,
            epoch,
            settings.timings,
            metrics,
        )
        network.dial_seeds(settings.seed_peers, own_address=settings.peer_address)
        return network

    def listen(self, address):
        """Accept streams; raises if the address is in use."""
        factory = PeerServerFactory(self)
        port = self.reactor.listenTCP(address.port, factory, interface=address.host)
        self._schedule_heartbeat()
        return port

    def dial_seeds(self, addresses, own_address):
        """Dial the seed addresses other than that of this daemon."""
        for address in addresses:
            if address != own_address:
                self._seed_dialers.append(PeerClientFactory(self, address))
        for dialer in self._seed_dialers:
            dialer.dial()

    def hello(self):
        """Return the first message of a stream."""
        return Hello(
            vm=self._vm,
            incarnation=0,
            epoch=self._epoch,
            protocol_version=PROTOCOL_VERSION,
            region=self._region,
        )

    def set_receiver(self, receiver):
        """Set the callback for messages, ``receiver(vm, message)``."""
        self._receiver = receiver

    def set_loss_listener(self, listener):
        """Set the callback for lost streams, ``listener(vm)``."""
        self._loss_listener = listener

    def set_connect_listener(self, listener):
        """Set the callback for new streams, ``listener(vm)``."""
        self._connect_listener = listener

    def set_addresses(self, addresses, one_sided=False):
        """Dial the given VMs; stop dialing others and close the streams dialed to them.

        VMs with a lower name dial this daemon, unless the choice is one-sided.
        """
        for vm in list(self._dialers):
            dialed_address, dialer = self._dialers[vm]
            if addresses.get(vm) != dialed_address:
                del self._dialers[vm]
                dialer.stop()
        for vm, address in addresses.items():
            if (one_sided or vm > self._vm) and vm not in self._dialers:
                dialer = PeerClientFactory(self, address, vm)
                self._dialers[vm] = (address, dialer)
                dialer.dial()
        if addresses:
            self._stop_seed_dialers()

    def _stop_seed_dialers(self):
        """Stop dialing seed addresses, which serve only until VM names are known."""
        seeds, self._seed_dialers = self._seed_dialers, []
        for dialer in seeds:
            dialer.stop()

    def send(self, vm, message):
        """Send a message; returns False if no stream to the VM is open."""
        stream = self._streams.get(vm)
        if stream is None:
            return False
        stream.send_message(message)
        return True

    def has_stream(self, vm):
        """Return whether a stream to the VM is in use."""
        return vm in self._streams

    def connected(self):
        """Return the names of the VMs with an open stream."""
        return list(self._streams)

    def stream_opened(self, stream):
        """Monitor a stream whose peer has not yet identified itself.

        Of too many accepted ones the oldest is closed; its peer dials again.
        """
        self._unidentified[stream] = None
        accepted = [other for other in self._unidentified if not other.dialed]
        if len(accepted) > MAX_UNIDENTIFIED:
            self.metrics.count("peer.unidentified_closed")
            self.stream_lost(accepted[0])
            accepted[0].transport.abortConnection()

    def hello_received(self, stream):
        """Use the stream for its VM unless the open one is preferred."""
        self._unidentified.pop(stream, None)
        if stream.vm == self._vm:
            stream.transport.abortConnection()
            return
        current = self._streams.get(stream.vm)
        if current is not None and not self._preferred(stream, current):
            stream.transport.loseConnection()
            return
        if current is not None:
            # Responses to requests sent over the replaced stream are lost.
            self.stream_lost(current)
            current.transport.loseConnection()
        self._streams[stream.vm] = stream
        if self._connect_listener is not None:
            self._connect_listener(stream.vm)

    def _preferred(self, stream, current):
        if stream.dialed == current.dialed:
            return True
        return stream.dialed == (self._vm < stream.vm)

    def message_received(self, stream, message):
        """Reply to pings and pass on all other messages."""
        if isinstance(message, Ping):
            stream.send_message(Pong(token=message.token))
        elif isinstance(message, Pong | Hello):
            return
        elif self._streams.get(stream.vm) is not stream:
            # The stream was replaced, and requests sent over it were reported as
            # lost, or another stream was preferred to it from the start.
            self.metrics.count("peer.stale_message")
        elif self._receiver is not None:
            self._receiver(stream.vm, message)

    def stream_lost(self, stream):
        """Remove the stream and report the loss if it was in use."""
        self._unidentified.pop(stream, None)
        if stream.vm is None or self._streams.get(stream.vm) is not stream:
            return
        del self._streams[stream.vm]
        self.metrics.count("peer.stream_lost")
        if stream.vm in self._dialers:
            self._dialers[stream.vm][1].redial()
        if self._loss_listener is not None:
            self._loss_listener(stream.vm)

    def _schedule_heartbeat(self):
        interval_ms = self._timings.heartbeat_ms
        self._heartbeat_due_ms = self.clock.now_ms() + interval_ms
        self._heartbeat_timer = self.clock.call_later(interval_ms, self._heartbeat)

    def _heartbeat(self):
        """Close silent streams and ping the others.

        A stream that has recently received a byte needs no ping: any message proves
        that the peer is alive.
        """
        self._next_token += 1
        now_ms = self.clock.now_ms()
        if now_ms - self._heartbeat_due_ms > self._timings.heartbeat_ms:
            self._extend_silence_limit(now_ms)
        ping_idle_ms = self._timings.heartbeat_ms * PING_IDLE_RATIO
        for stream in [*self._streams.values(), *self._unidentified]:
            silence_ms = now_ms - stream.last_received_ms
            if silence_ms > self._timings.stream_silence_ms:
                self.metrics.count("peer.silent_stream")
                self.stream_lost(stream)
                stream.transport.abortConnection()
            elif stream.vm is not None and silence_ms >= ping_idle_ms:
                stream.send_message(Ping(token=self._next_token))
        self._schedule_heartbeat()

    def _extend_silence_limit(self, now_ms):
        """After this process was paused, close no stream for one more heartbeat.

        The reactor runs due timers before it reads bytes received in the meantime.
        """
        timings = self._timings
        assumed_received_ms = now_ms - timings.stream_silence_ms + timings.heartbeat_ms
        for stream in [*self._streams.values(), *self._unidentified]:
            stream.last_received_ms = max(stream.last_received_ms, assumed_received_ms)

    def stop(self):
        """Stop dialing and sending heartbeats, and close all streams."""
        if self._heartbeat_timer is not None:
            self._heartbeat_timer.cancel()
        for _, dialer in self._dialers.values():
            dialer.stop()
        self._dialers.clear()
        self._stop_seed_dialers()
        for stream in [*self._streams.values(), *self._unidentified]:
            stream.transport.loseConnection()
