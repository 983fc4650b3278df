"""Relays store changes from one daemon to the others of its failure domain.

Each call to the store is charged, and so is a waiting watch. In each failure domain
the reachable daemon with the lowest name reads the store and relays the changes; the
others read the store themselves as soon as that daemon is silent, is about to stop or
no longer reaches the store. The daemons send each other heartbeats (``StoreHeartbeat``)
with the newest position that they know of each kind of objects. A state of a later era
replaces one of an earlier era, whatever their revisions.
"""

import logging

from hemlockspoke.rendezvous import fraction
from hemlockspoke.tier.messages import StoreChanges, StoreHeartbeat, StoreListRequest
from hemlockspoke.tier.state.change_parts import PendingParts, changes_messages
from hemlockspoke.tier.state.feed import WATCH_GRACE_MS, Change
from hemlockspoke.tier.state.store_era import Position

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_MS = 300.0
# Three missed heartbeats: one may be delayed by high load.
HEARTBEAT_TIMEOUT_MS = 1000.0
# If no daemon of the failure domain reads the store, the next one by name begins after
# this time, so that an outage of the store does not make all of them call it. It allows
# for a heartbeat of the one before.
TAKEOVER_STEP_MS = 400.0
# In large failure domains a daemon has no streams to some of those before it. These
# wait for the same others, so they begin within this time of each other.
TAKEOVER_SPREAD_MS = 500.0
# Fraction of the age at which a daemon no longer counts as reading, up to which the
# state counts as up to date.
UP_TO_DATE_FRACTION = 0.5
# Factor for the delays between failed calls of a daemon while another one reads. Those
# calls only find out whether this daemon can read again.
STANDBY_RETRY_FACTOR = 6.0


def reading_age_ms(watch_wait_ms):
    """Return from which age of its state on a daemon no longer counts as reading.

    A daemon that reads confirms its state within one watch, or has given that up, and
    tells so in its next heartbeat.
    """
    return watch_wait_ms + WATCH_GRACE_MS + HEARTBEAT_INTERVAL_MS


class _Heartbeat:
    """The last heartbeat of a daemon; ``kinds`` as in ``StoreHeartbeat``."""

    __slots__ = ("kinds", "leaving", "received_ms")

    def __init__(self, received_ms, kinds, leaving):
        self.received_ms = received_ms
        self.kinds = kinds
        self.leaving = leaving


class Relay:
    """Decides for each kind whether this daemon reads the store, and relays changes.

    ``send(vm, message)`` sends a message to a daemon, and ``domain_peers()`` returns
    the VMs of the daemons of this failure domain with an open stream. A daemon whose
    state was confirmed ``max_age_ms`` ago or earlier does not count as reading.
    """

    __slots__ = (
        "_clock",
        "_domain_peers",
        "_heartbeats",
        "_kinds",
        "_max_age_ms",
        "_pending_parts",
        "_read_delay_until_ms",
        "_send",
        "_stopped",
        "_takeover_spread_ms",
        "_tick_due_ms",
        "_vm",
        "leaving",
    )

    def __init__(self, clock, vm, send, domain_peers, max_age_ms):
        self._clock = clock
        self._vm = vm
        self._send = send
        self._domain_peers = domain_peers
        self._max_age_ms = max_age_ms
        self._kinds = {}
        self._heartbeats = {}
        self._pending_parts = PendingParts()
        self._takeover_spread_ms = 0.0
        self._stopped = False
        self._read_delay_until_ms = 0.0
        self._tick_due_ms = 0.0
        self.leaving = False

    def follow(self, followed, feed):
        """Add a kind with the feed by which this daemon reads it from the store."""
        followed.feed = feed
        self._kinds[followed.kind] = followed

    def followed_kinds(self):
        """Return the ``FollowedKind`` of each kind."""
        return list(self._kinds.values())

    def start(self, read_delay_ms=0.0):
        """Start reading the store and sending heartbeats.

        When all daemons start together, ``read_delay_ms`` gives those that do not
        have the lowest name time to receive the heartbeat of the one that reads.
        """
        self._read_delay_until_ms = self._clock.now_ms() + read_delay_ms
        self._tick_due_ms = self._clock.now_ms()
        self._tick()

    def set_position(self, position, streams_before):
        """Set how many registered daemons of the failure domain have a lower name.

        The one with the lowest name reads without delay. ``streams_before`` is the
        number of those to which this daemon keeps streams.
        """
        self._takeover_spread_ms = 0.0
        if position > streams_before:
            self._takeover_spread_ms = TAKEOVER_SPREAD_MS * fraction(self._vm)
        if position == 0:
            self._read_delay_until_ms = 0.0
            for followed in self._kinds.values():
                self._update_reader(followed)

    def stop(self):
        """Stop reading the store and sending heartbeats."""
        self._stopped = True
        for followed in self._kinds.values():
            followed.feed.pause()

    def age_ms(self):
        """Return how long ago the store confirmed the kind confirmed least recently."""
        return max(
            (followed.age_ms() for followed in self._kinds.values()),
            default=float("inf"),
        )

    def _tick(self):
        if self._stopped:
            return
        self._compensate_pause()
        self.send_heartbeat()
        for followed in self._kinds.values():
            self._update_reader(followed)
        self._tick_due_ms = self._clock.now_ms() + HEARTBEAT_INTERVAL_MS
        self._clock.call_later(HEARTBEAT_INTERVAL_MS, self._tick)

    def _compensate_pause(self):
        """Keep a pause of this process from making other daemons appear silent.

        Heartbeats that arrived during the pause are read only after due timers.
        """
        late_ms = self._clock.now_ms() - self._tick_due_ms
        if late_ms > HEARTBEAT_INTERVAL_MS:
            for heartbeat in self._heartbeats.values():
                heartbeat.received_ms += late_ms

    def send_heartbeat(self):
        """Send a heartbeat to all daemons of the failure domain.

        One is sent between the periodic ones when a feed has lost the store, so that
        another daemon takes over at once.
        """
        if self._stopped:
            return
        heartbeat = self._heartbeat_message()
        for vm in self._domain_peers():
            self._send(vm, heartbeat)

    def _heartbeat_message(self):
        kinds = [
            [
                followed.kind,
                *followed.position,
                round(followed.age_ms()),
                followed.feed.reading,
            ]
            for followed in self._kinds.values()
            if followed.position is not None
        ]
        return StoreHeartbeat(kinds=kinds, leaving=self.leaving)

    def reader_of(self, kind):
        """Return the daemon that reads a kind for this one, or None.

        Of several daemons that can read, the one with the lowest name does.
        """
        for vm in sorted(self._domain_peers()):
            if vm >= self._vm and not self.leaving:
                return None
            if self._is_reading(vm, kind):
                return vm
        return None

    def _is_reading(self, vm, kind):
        """Return whether another daemon reads a kind and passes it on."""
        heartbeat = self._heartbeats.get(vm)
        if heartbeat is None or heartbeat.leaving:
            return False
        silence_ms = self._clock.now_ms() - heartbeat.received_ms
        return silence_ms < HEARTBEAT_TIMEOUT_MS and any(
            heartbeat_kind == kind
            and is_reading
            and age_ms + silence_ms < self._max_age_ms
            for heartbeat_kind, _, _, age_ms, is_reading in heartbeat.kinds
        )

    def _retry_factor(self, kind):
        """Return the factor for the delays between failed calls of this daemon.

        If no daemon reads, it grows with the number of those heard of that have lower
        names, so that the calls of all in a long outage grow much less than their
        number. Those that are down don't count: one must notice soon that it is over.
        """
        if any(self._is_reading(vm, kind) for vm in self._domain_peers()):
            return STANDBY_RETRY_FACTOR
        return 1.0 + len(self._candidates_before())

    def _update_reader(self, followed):
        """Start or stop reading, depending on whether another daemon does."""
        if self._stopped:
            return
        reader = self.reader_of(followed.kind)
        feed = followed.feed
        if reader is None:
            feed.retry_factor = self._retry_factor(followed.kind)
        if reader is not None:
            if followed.age_ms() < UP_TO_DATE_FRACTION * self._max_age_ms:
                followed.readers.clear()
            followed.readers.add(reader)
        if reader is not None or feed.active:
            followed.unread_since_ms = None
        if reader is None and not feed.active and self._may_take_over(followed):
            is_known = followed.position is not None
            logger.info(
                "reading the store",
                extra={
                    "kind": followed.kind,
                    "age_ms": round(followed.age_ms()) if is_known else None,
                },
            )
            feed.resume(followed.position)
        elif reader is not None and feed.active and followed.position is not None:
            logger.info(
                "taking news of a peer", extra={"kind": followed.kind, "peer": reader}
            )
            feed.pause()

    def _may_take_over(self, followed):
        """Return whether it is this daemon's turn to read a kind that no other reads.

        A daemon that knows nothing yet, or that reaches none with a lower name, does
        not wait for others.
        """
        now_ms = self._clock.now_ms()
        if now_ms < self._read_delay_until_ms:
            return False
        if followed.position is None or not self._candidates_before():
            return True
        delay_ms = self._takeover_delay_ms(followed)
        if followed.unread_since_ms is None:
            followed.unread_since_ms = now_ms
            self._clock.call_later(delay_ms, self._update_reader, followed)
        return now_ms - followed.unread_since_ms >= delay_ms

    def _takeover_delay_ms(self, followed):
        """Return how long other daemons have to take over reading before this one.

        Only those that are heard of count, since registrations of removed VMs last for
        minutes, and not those that have just ceased to read.
        """
        turn = len(set(self._candidates_before()) - followed.readers)
        return turn * TAKEOVER_STEP_MS + self._takeover_spread_ms if turn else 0.0

    def _candidates_before(self):
        """Return the daemons with lower names that could read the store instead."""
        now_ms = self._clock.now_ms()
        return [
            vm
            for vm in self._domain_peers()
            if vm < self._vm
            and vm in self._heartbeats
            and not self._heartbeats[vm].leaving
            and now_ms - self._heartbeats[vm].received_ms < HEARTBEAT_TIMEOUT_MS
        ]

    def publish(self, followed, changes, since, position, complete):
        """Relay changes that this daemon has read from the store."""
        if not changes and not complete:
            return
        messages = changes_messages(followed.kind, changes, since, position, complete)
        for vm in self._domain_peers():
            for message in messages:
                self._send(vm, message)

    def receive(self, vm, message):
        """Handle a message of another daemon."""
        if isinstance(message, StoreHeartbeat):
            self._heartbeats[vm] = _Heartbeat(
                self._clock.now_ms(), message.kinds, message.leaving
            )
            for kind, era, revision, age_ms, is_reading in message.kinds:
                position = Position(era, revision)
                self._handle_heartbeat(vm, kind, position, age_ms, is_reading)
        elif isinstance(message, StoreChanges):
            self._handle_changes(vm, message)
        elif isinstance(message, StoreListRequest):
            self._send_snapshot(vm, message.kind)

    def _handle_heartbeat(self, vm, kind, position, age_ms, is_reading):
        followed = self._kinds.get(kind)
        if followed is None:
            return
        if not is_reading:
            if vm in followed.readers:
                # It may have just ceased to read.
                self._update_reader(followed)
            return
        if followed.position is None or position > followed.position:
            # The changes up to this position were relayed before the stream was open.
            self._send(vm, StoreListRequest(kind=kind))
        else:
            followed.confirm(position, age_ms)

    def _handle_changes(self, vm, message):
        followed = self._kinds.get(message.kind)
        if followed is None:
            return
        items = self._pending_parts.add(vm, message)
        if items is None:
            return
        known = followed.position
        position = Position(message.era, message.revision)
        if known is not None and position <= known:
            return
        changes = [Change(name, spec, removed) for name, removed, spec in items]
        if message.complete:
            followed.replace(changes, position, message.age_ms)
        elif self._continues(message, known):
            followed.apply(changes, position, message.age_ms)
        else:
            self._send(vm, StoreListRequest(kind=message.kind))

    @staticmethod
    def _continues(message, known):
        """Return whether changes follow a known position without a gap."""
        if known is None or message.era != known.era:
            return False
        return message.since <= known.revision

    def _send_snapshot(self, vm, kind):
        followed = self._kinds.get(kind)
        if followed is None or followed.position is None:
            return
        changes = [Change(name, spec) for name, spec in followed.objects.items()]
        for message in changes_messages(
            kind, changes, 0, followed.position, True, followed.age_ms()
        ):
            self._send(vm, message)

    def peer_lost(self, vm):
        """Discard the heartbeat of a daemon whose stream has ended."""
        self._pending_parts.discard(vm)
        if self._heartbeats.pop(vm, None) is not None:
            for followed in self._kinds.values():
                self._update_reader(followed)

    def peer_leaving(self, vm):
        """Return whether a daemon is about to stop."""
        heartbeat = self._heartbeats.get(vm)
        return heartbeat is not None and heartbeat.leaving
