"""Exchange of configuration between daemons.

Daemons compare digests with random peers and send each other newer objects. A daemon
that has adopted an object announces it to a few peers immediately. If digests differ,
the two daemons first compare only their recent changes, and all versions if the
difference persists. Lost, repeated and reordered messages do no harm, because a daemon
adopts only higher versions.
"""

from collections import deque

from hemlockspoke.messages import Digest, ObjectPush, Versions

DIGEST_PEERS = 2
# If each daemon announces a change to four others, it reaches nearly all of them;
# the digest exchange reaches the remaining ones.
ANNOUNCE_PEERS = 4
# Maximum age of the changes that are compared first if digests differ. It exceeds
# the time in which the watch and the exchange distribute a change to every daemon.
RECENT_MS = 10_000
# Bounds the message size in a burst of changes; the full comparison finds the others.
RECENT_KEYS = 256
# A difference that lasts this long is not due to recent changes in transit.
FULL_COMPARISON_DELAY_MS = 400
# A difference found later than this after the first one is due to a new change.
DIFFERENCE_EXPIRY_MS = 3_000
# All versions of 1,000 keys are 18 KB in each direction, so one daemon starts a full
# comparison at most this often; the 12 s within which a change must reach every
# daemon allow for two.
FULL_INTERVAL_MS = 4_000
# Several peers announce a change at about the same time. If the object has not
# arrived after this time, it is requested from the next peer that announces it too.
REPEAT_REQUEST_MS = 500
# Peers with differing digests that get another digest at each exchange.
DIFFERING_PEERS = 2


class ConfigExchange:
    """The exchange of configuration as run by one daemon.

    ``ready()`` tells whether this daemon has read the whole configuration.
    ``on_state(vm, versions)`` is called with all versions of a peer that has them.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_differing_since_ms",
        "_handlers",
        "_last_full_ms",
        "_metrics",
        "_on_peer_state",
        "_peer_store_read_ms",
        "_peers",
        "_ready",
        "_recent",
        "_requested",
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
        self._on_peer_state = on_state
        self._peer_store_read_ms = None
        # Time of adoption and key of recently adopted objects, oldest first.
        self._recent = deque(maxlen=RECENT_KEYS)
        # Time of the first difference for each peer whose digest differs.
        self._differing_since_ms = {}
        self._last_full_ms = None
        # Version and time of the last request for each object that has not arrived.
        self._requested = {}
        # Send time of the newest digest that a peer has answered. The time of receipt
        # proves no contact: a message may have waited in a buffer during a pause.
        self.reached_ms = None
        self._handlers = {
            Digest: self._receive_digest,
            Versions: self._receive_versions,
            ObjectPush: self._receive_object,
        }

    def receive(self, vm, message):
        """Handle a message of the exchange."""
        self._handlers[type(message)](vm, message)

    def _random_peers(self, count):
        connected = sorted(self._peers.connected())
        return self._rng.sample(connected, min(count, len(connected)))

    def send_digests(self, store_age_ms):
        """Send the digest to random peers and to peers whose digests differ."""
        self._expire_differences()
        now_ms = self._clock.now_ms()
        differing = list(self._differing_since_ms)[:DIFFERING_PEERS]
        for vm in dict.fromkeys([*self._random_peers(DIGEST_PEERS), *differing]):
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
        """Announce an object that has just been adopted to random peers."""
        stored = self._configuration.get(key)
        self._recent.append((self._clock.now_ms(), key))
        message = Versions(kind="changed", versions={key: stored.version})
        for vm in self._random_peers(ANNOUNCE_PEERS):
            self._peers.send(vm, message)

    def request_from_all(self):
        """Request all missing and newer objects from every peer."""
        for vm in self._peers.connected():
            self._request_missing(vm)

    def _request_missing(self, vm):
        message = Versions(kind="ask", versions=self._configuration.versions())
        self._peers.send(vm, message)

    def store_age_ms(self, local_read_ms):
        """Return the age of the newest known read of the store, or None."""
        reads_ms = [local_read_ms, self._peer_store_read_ms]
        known = [read_ms for read_ms in reads_ms if read_ms is not None]
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
            self._compare(vm)
        else:
            self._differing_since_ms.pop(vm, None)

    def _compare(self, vm):
        """Compare recent changes or all versions with a peer whose digest differs."""
        now_ms = self._clock.now_ms()
        self._expire_differences()
        since_ms = self._differing_since_ms.setdefault(vm, now_ms)
        if now_ms - since_ms >= FULL_COMPARISON_DELAY_MS and self._full_due(now_ms):
            self._last_full_ms = now_ms
            del self._differing_since_ms[vm]
            self._metrics.count("config.full_comparison")
            self._request_missing(vm)
        else:
            self._peers.send(
                vm, Versions(kind="recent", versions=self._recent_versions())
            )

    def _full_due(self, now_ms):
        return (
            self._last_full_ms is None
            or now_ms - self._last_full_ms >= FULL_INTERVAL_MS
        )

    def _expire_differences(self):
        oldest_ms = self._clock.now_ms() - DIFFERENCE_EXPIRY_MS
        expired = [
            vm
            for vm, since_ms in self._differing_since_ms.items()
            if since_ms < oldest_ms
        ]
        for vm in expired:
            del self._differing_since_ms[vm]

    def _recent_versions(self):
        """Return the versions of the objects adopted within ``RECENT_MS``."""
        oldest_ms = self._clock.now_ms() - RECENT_MS
        while self._recent and self._recent[0][0] < oldest_ms:
            self._recent.popleft()
        get = self._configuration.get
        return {key: get(key).version for _, key in self._recent}

    def _receive_versions(self, vm, message):
        peer_versions = message.versions
        if message.kind == "wanted":
            self._push_newer(vm, peer_versions, peer_versions)
        elif message.kind in ("changed", "recent"):
            self._push_newer(vm, peer_versions, peer_versions)
            self._request_newer(vm, peer_versions)
            if message.kind == "recent":
                self._send_unlisted_recent(vm, peer_versions)
        else:
            self._push_newer(vm, self._configuration.versions(), peer_versions)
            self._request_newer(vm, peer_versions)
            if message.kind == "ask":
                self._send_state(vm)
            else:
                self._on_peer_state(vm, peer_versions)

    def _send_unlisted_recent(self, vm, peer_versions):
        """Send the recent changes that the peer has not listed."""
        local_versions = self._recent_versions()
        changed = {
            key: version
            for key, version in local_versions.items()
            if key not in peer_versions
        }
        if changed:
            self._peers.send(vm, Versions(kind="changed", versions=changed))

    def _push_newer(self, vm, keys, peer_versions):
        for key in keys:
            stored = self._configuration.get(key)
            if stored is not None and stored.version > peer_versions.get(key, 0):
                message = ObjectPush(
                    key=key, version=stored.version, value=stored.value
                )
                self._peers.send(vm, message)

    def _request_newer(self, vm, peer_versions):
        configuration = self._configuration
        wanted = {
            key: configuration.version(key)
            for key, version in peer_versions.items()
            if not configuration.has_seen(key, version)
            and not self._requested_recently(key, version)
        }
        if wanted:
            now_ms = self._clock.now_ms()
            self._requested.update(
                {key: (peer_versions[key], now_ms) for key in wanted}
            )
            self._peers.send(vm, Versions(kind="wanted", versions=wanted))

    def _requested_recently(self, key, version):
        """Return whether this version or a higher one was requested recently."""
        requested_version, requested_ms = self._requested.get(key, (0, 0))
        recently = self._clock.now_ms() - requested_ms < REPEAT_REQUEST_MS
        return recently and requested_version >= version

    def _send_state(self, vm):
        # A daemon that is still starting does not know whether it has every object.
        if self._ready():
            message = Versions(kind="state", versions=self._configuration.versions())
            self._peers.send(vm, message)

    def _receive_object(self, _vm, message):
        self._requested.pop(message.key, None)
        self._configuration.adopt(message.key, message.version, message.value)
