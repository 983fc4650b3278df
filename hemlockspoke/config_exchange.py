"""Exchange of configuration between daemons.

Daemons compare digests with random peers and send each other what is newer. An
object that a daemon has just taken in force is announced to a few peers at once.
Each rule is safe against lost, repeated and reordered messages, because a daemon
adopts only higher versions.
"""

from hemlockspoke.messages import Digest, ObjectPush, Versions

DIGEST_PEERS = 2
# A change that each daemon announces to four others reaches nearly all of them;
# digests find the rest.
ANNOUNCE_PEERS = 4


class ConfigExchange:
    """One daemon's side of the exchange."""

    __slots__ = (
        "_clock",
        "_configuration",
        "_handlers",
        "_metrics",
        "_on_state",
        "_peer_store_read_ms",
        "_peers",
        "_ready",
        "_rng",
        "reached_ms",
    )

    def __init__(self, clock, configuration, peers, rng, metrics, ready, on_state):
        self._clock = clock
        self._configuration = configuration
        self._peers = peers
        self._rng = rng
        self._metrics = metrics
        self._ready = ready
        self._on_state = on_state
        self._peer_store_read_ms = None
        # When this daemon sent the newest digest that a peer has answered. Messages
        # that waited in a buffer while the process was paused do not count.
        self.reached_ms = None
        self._handlers = {
            Digest: self._receive_digest,
            Versions: self._receive_versions,
            ObjectPush: self._receive_object,
        }

    def receive(self, vm, message):
        """Handle a message of the exchange."""
        self._handlers[type(message)](vm, message)

    def _sample(self, count):
        connected = sorted(self._peers.connected())
        return self._rng.sample(connected, min(count, len(connected)))

    def send_digests(self, store_age_ms):
        """Send the digest to some random peers."""
        now_ms = self._clock.now_ms()
        for vm in self._sample(DIGEST_PEERS):
            self._send_digest(vm, store_age_ms, reply=False, sent_ms=now_ms)

    def _send_digest(self, vm, store_age_ms, reply, sent_ms):
        message = Digest(
            digest=self._configuration.digest(),
            store_contact_age_ms=store_age_ms,
            reply=reply,
            sent_ms=sent_ms,
        )
        self._peers.send(vm, message)

    def announce(self, key):
        """Tell some peers of an object that has just been taken in force."""
        stored = self._configuration.get(key)
        message = Versions(kind="changed", versions={key: stored.version})
        for vm in self._sample(ANNOUNCE_PEERS):
            self._peers.send(vm, message)

    def ask_all(self):
        """Ask every peer for all that this daemon lacks."""
        for vm in self._peers.connected():
            self._ask(vm)

    def _ask(self, vm):
        message = Versions(kind="ask", versions=self._configuration.versions())
        self._peers.send(vm, message)

    def store_age_ms(self, own_read_ms):
        """Return the age of the newest known reading of the store, or None."""
        readings = [own_read_ms, self._peer_store_read_ms]
        known = [reading for reading in readings if reading is not None]
        return self._clock.now_ms() - max(known) if known else None

    def _receive_digest(self, vm, message):
        if message.store_contact_age_ms is not None:
            read_ms = self._clock.now_ms() - message.store_contact_age_ms
            self._peer_store_read_ms = max(read_ms, self._peer_store_read_ms or read_ms)
        if message.reply:
            self.reached_ms = max(message.sent_ms, self.reached_ms or message.sent_ms)
        else:
            self._send_digest(vm, None, reply=True, sent_ms=message.sent_ms)
        if message.digest != self._configuration.digest():
            self._metrics.count("config.digest_differs")
            self._ask(vm)

    def _receive_versions(self, vm, message):
        theirs = message.versions
        if message.kind == "wanted":
            self._push_newer(vm, theirs, theirs)
        elif message.kind == "changed":
            self._push_newer(vm, theirs, theirs)
            self._want_newer(vm, theirs)
        else:
            self._push_newer(vm, self._configuration.versions(), theirs)
            self._want_newer(vm, theirs)
            if message.kind == "ask":
                self._answer_state(vm)
            else:
                self._on_state(vm, theirs)

    def _push_newer(self, vm, keys, theirs):
        for key in keys:
            stored = self._configuration.get(key)
            if stored is not None and stored.version > theirs.get(key, 0):
                message = ObjectPush(
                    key=key, version=stored.version, value=stored.value
                )
                self._peers.send(vm, message)

    def _want_newer(self, vm, theirs):
        configuration = self._configuration
        wanted = {
            key: configuration.version(key)
            for key, version in theirs.items()
            if not configuration.has_seen(key, version)
        }
        if wanted:
            self._peers.send(vm, Versions(kind="wanted", versions=wanted))

    def _answer_state(self, vm):
        # A daemon that is itself starting does not know whether it has everything.
        if self._ready():
            message = Versions(kind="state", versions=self._configuration.versions())
            self._peers.send(vm, message)

    def _receive_object(self, _vm, message):
        self._configuration.adopt(message.key, message.version, message.value)
