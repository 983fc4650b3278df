"""What one daemon knows of one order: its phase, and what it has counted itself."""

from hemlockspoke.tier.rollouts.evidence import CollectedEvidence, Tally
from hemlockspoke.tier.rollouts.order import TARGET_PHASES, Phase

# Time for which a phase that a decider has told is valid. A daemon that hears of no
# decider for longer uses the old version. It allows for two lost messages.
LEASE_MS = 1500.0
# A daemon that has just seen an order collects reports for this time before it decides,
# as others may have seen the order, and have sent requests, before its start.
COLLECT_MS = 1000.0
# Daemons see an order within one watch and a relay, for which the margin of the time
# budget allows. Only one that is later by more takes the time of another one.
SEEN_SPREAD_MS = 2000.0

# Orders of a service that are remembered. A copy of the store is some seconds old.
MAX_EARLIER = 8


class Rollout:
    """The state of an ``Order`` at one daemon.

    ``seen_ms`` is the clock time at which the daemon has seen the order, or another one
    has if that was much earlier, and ``joined_ms`` when it began to collect. ``phase``
    and ``share`` are those that the decider ``leader_rank`` has told; they are valid
    for ``lease_ms``, until ``lease_until_ms``, unless the phase is a final one.
    ``final_ms`` is the clock time at which a final phase became known. ``decider`` is
    set at daemons that collect. ``saw_old`` is whether the service has had servers of
    another version since the order was seen. ``joined_late`` is whether its status was
    ``running`` by then, so that its first position is not known. ``earlier``
    has the last orders of the service before this one, each with its verdict or None.
    """

    __slots__ = (
        "_lease_ms",
        "_phase",
        "collected",
        "decider",
        "earlier",
        "final_ms",
        "is_reported",
        "joined_late",
        "joined_ms",
        "leader_rank",
        "lease_until_ms",
        "order",
        "reported_ms",
        "running_at_ms",
        "saw_old",
        "seen_ms",
        "settled_ms",
        "share",
        "start_position",
        "tally",
        "told_ms",
        "write_at_ms",
        "writing",
    )

    def __init__(self, order, now_ms, lease_ms=LEASE_MS):
        self._lease_ms = lease_ms
        self.order = order
        self.earlier = ()
        # Messages about an earlier order with the same target have a lower position.
        self.start_position = order.position
        self.joined_late = order.is_running
        self.seen_ms = self.joined_ms = now_ms
        self._phase = Phase.SAMPLING
        self.share = 0.0
        self.leader_rank = None
        self.lease_until_ms = 0.0
        self.final_ms = None
        self.saw_old = False
        self.tally = Tally()
        self.collected = CollectedEvidence()
        self.decider = None
        self.is_reported = False
        self.reported_ms = 0.0
        self.told_ms = 0.0
        # Since when a decision waits to be written, and the next attempt to write it.
        self.settled_ms = None
        self.write_at_ms = 0.0
        self.writing = False
        # Earliest time of the next attempt to write that the order is running.
        self.running_at_ms = 0.0

    def remember_earlier(self, before):
        """Remember the rollout that this one has replaced."""
        earlier = (*before.earlier, (before.order, before.verdict()))
        self.earlier = earlier[-MAX_EARLIER:]

    def note_age(self, age_ms, now_ms):
        """Adopt the age of the order that another daemon tells.

        So the time budget of a daemon that starts later, or that the store turned away,
        does not run from then. A message that arrives late changes nothing.
        """
        seen_ms = now_ms - age_ms
        if seen_ms < self.seen_ms - SEEN_SPREAD_MS:
            self.seen_ms = seen_ms

    def is_led(self, now_ms):
        """Return whether a decider is heard of."""
        return self.leader_rank is not None and now_ms < self.lease_until_ms

    def has_collected(self, now_ms):
        """Return whether this daemon has collected reports for long enough."""
        return now_ms >= self.joined_ms + COLLECT_MS

    def may_lead(self, position, is_outranked, now_ms):
        """Return whether this daemon decides, as the one at ``position`` by rank.

        ``is_outranked`` is whether one that ranks before it is connected. If that one
        tells nothing, it may not know the order, as the store turns it away.
        """
        if not is_outranked:
            return True
        if self.is_led(now_ms):
            return self.leader_rank == position
        return now_ms >= self.joined_ms + COLLECT_MS + position * LEASE_MS

    def phase(self, now_ms):
        """Return the phase in force: that of an expired lease is ``SAMPLING``."""
        if self.final_ms is not None or now_ms < self.lease_until_ms:
            return self._phase
        return Phase.SAMPLING

    def sampling_share(self, now_ms):
        """Return the share of the requests that may go to the target version."""
        if self.final_ms is None and now_ms < self.lease_until_ms:
            return self.share if self._phase is Phase.SAMPLING else 0.0
        return 0.0

    def set_told(self, phase, share, rank, now_ms):
        """Adopt what a decider tells; return whether the phase has changed.

        Of two deciders, which do not hear of each other, the first by rank counts,
        except that each can roll back.
        """
        if self.final_ms is not None:
            return False
        is_outranked = self.is_led(now_ms) and rank > self.leader_rank
        if phase is not Phase.ROLLED_BACK and is_outranked:
            return False
        before = self.phase(now_ms)
        self.leader_rank = rank
        self.lease_until_ms = now_ms + self._lease_ms
        self._phase = phase
        self.share = share
        if phase in (Phase.ROLLED_BACK, Phase.COMPLETED):
            self.final_ms = now_ms
        return phase is not before

    def verdict(self):
        """Return the final phase that became known, or None."""
        return None if self.final_ms is None else self._phase

    def set_final(self, phase, now_ms):
        """Adopt the final phase that the store states; return whether it is new."""
        if self.final_ms is not None and self._phase is phase:
            return False
        self._phase = phase
        self.share = 0.0
        self.final_ms = now_ms
        return True

    def is_target(self, server):
        """Return whether a server has the target version."""
        return server.entry.version == self.order.target_version

    def prefers_target(self, now_ms):
        """Return whether all requests go to the target version."""
        return self.phase(now_ms) in TARGET_PHASES
