"""Exchange of configuration between daemons.

Daemons compare digests with random peers and send each other what is newer. An
object that a daemon has just taken in force is announced to a few peers at once.
Where digests differ, both first compare only what they have taken in force lately;
all versions are compared if that has not helped. Each rule is safe against lost,
repeated and reordered messages, because a daemon adopts only higher versions.
"""

from collections import deque

from hemlockspoke.messages import Digest, ObjectPush, Versions

DIGEST_PEERS = 2
# A change that each daemon announces to four others reaches nearly all of them;
# digests find the rest.
ANNOUNCE_PEERS = 4
# Changes no older than this are compared first where digests differ. Longer than
# the watch and the exchange need to bring a change to every daemon.
RECENT_MS = 10_000
# Bounds one message during a storm of changes; the full comparison finds the rest.
RECENT_KEYS = 256
# A difference that lasts this long is not about recent changes under way.
SETTLE_MS = 400
# A digest that differs later than this after the first one is about a new change.
SETTLE_LIMIT_MS = 3_000
# All versions of 1,000 keys are 18 KB in each direction, so one daemon starts a full
# comparison at most this often; the bound of 12 s for a change allows for two.
FULL_INTERVAL_MS = 4_000
# Several peers announce a change at about the same time. After this long without
# the object the next one that names it is asked as well.
ASK_AGAIN_MS = 500
# Digests sent again to peers whose digests differ, at each exchange.
UNSETTLED_PEERS = 2


class ConfigExchange:
    """One daemon's side of the exchange."""

    __slots__ = (
        "_asked",
        "_clock",
        "_configuration",
        "_full_ms",
        "_handlers",
        "_metrics",
        "_on_state",
        "_peer_store_read_ms",
        "_peers",
        "_ready",
        "_recent",
        "_rng",
        "_unsettled",
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
        self._recent = deque(maxlen=RECENT_KEYS)
        self._unsettled = {}
        self._full_ms = None
        self._asked = {}
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
        """Send the digest to some random peers and to those that differ."""
        self._forget_settled()
        now_ms = self._clock.now_ms()
        unsettled = list(self._unsettled)[:UNSETTLED_PEERS]
        for vm in dict.fromkeys([*self._sample(DIGEST_PEERS), *unsettled]):
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
        self._recent.append((self._clock.now_ms(), key))
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
            self._compare(vm)
        else:
            self._unsettled.pop(vm, None)

    def _compare(self, vm):
        """Compare recent changes with a peer that differs, or all versions."""
        now_ms = self._clock.now_ms()
        self._forget_settled()
        first_ms = self._unsettled.setdefault(vm, now_ms)
        if now_ms - first_ms >= SETTLE_MS and self._full_due(now_ms):
            self._full_ms = now_ms
            del self._unsettled[vm]
            self._metrics.count("config.full_comparison")
            self._ask(vm)
        else:
            self._peers.send(vm, Versions(kind="recent", versions=self._recent_now()))

    def _full_due(self, now_ms):
        return self._full_ms is None or now_ms - self._full_ms >= FULL_INTERVAL_MS

    def _forget_settled(self):
        oldest_ms = self._clock.now_ms() - SETTLE_LIMIT_MS
        stale = [vm for vm, first in self._unsettled.items() if first < oldest_ms]
        for vm in stale:
            del self._unsettled[vm]

    def _recent_now(self):
        """Return the versions of what was taken in force lately."""
        oldest_ms = self._clock.now_ms() - RECENT_MS
        while self._recent and self._recent[0][0] < oldest_ms:
            self._recent.popleft()
        get = self._configuration.get
        return {key: get(key).version for _, key in self._recent}

    def _receive_versions(self, vm, message):
        theirs = message.versions
        if message.kind == "wanted":
            self._push_newer(vm, theirs, theirs)
        elif message.kind in ("changed", "recent"):
            self._push_newer(vm, theirs, theirs)
            self._want_newer(vm, theirs)
            if message.kind == "recent":
                self._answer_recent(vm, theirs)
        else:
            self._push_newer(vm, self._configuration.versions(), theirs)
            self._want_newer(vm, theirs)
            if message.kind == "ask":
                self._answer_state(vm)
            else:
                self._on_state(vm, theirs)

    def _answer_recent(self, vm, theirs):
        """Name what the peer has not named itself."""
        mine = self._recent_now()
        changed = {key: version for key, version in mine.items() if key not in theirs}
        if changed:
            self._peers.send(vm, Versions(kind="changed", versions=changed))

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
            and not self._under_way(key, version)
        }
        if wanted:
            now_ms = self._clock.now_ms()
            self._asked.update({key: (theirs[key], now_ms) for key in wanted})
            self._peers.send(vm, Versions(kind="wanted", versions=wanted))

    def _under_way(self, key, version):
        """Tell whether a peer was asked for this version a moment ago."""
        asked_version, asked_ms = self._asked.get(key, (0, 0))
        recently = self._clock.now_ms() - asked_ms < ASK_AGAIN_MS
        return recently and asked_version >= version

    def _answer_state(self, vm):
        # A daemon that is itself starting does not know whether it has everything.
        if self._ready():
            message = Versions(kind="state", versions=self._configuration.versions())
            self._peers.send(vm, message)

    def _receive_object(self, _vm, message):
        self._asked.pop(message.key, None)
        self._configuration.adopt(message.key, message.version, message.value)
