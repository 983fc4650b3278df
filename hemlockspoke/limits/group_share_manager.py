"""Manages the shares of one daemon in one group of servers.

The share object of a group, in the platform's store, lists for each server its
holders, the VMs that may send requests to it, and the share of each: numbers of slots
(requests in progress), connections and cold-start slots. To change it, a daemon plans
a new object, stops using what that takes from its own shares, and writes it if the
version is unchanged. After a conflict or a lost reply it reads the object back.
"""

from hemlockspoke.errors import StoreErrorKind
from hemlockspoke.limits.share_plan import GroupPlan, plan_group
from hemlockspoke.limits.share_rules import check_proposal
from hemlockspoke.limits.shares import SHARE_PREFIX, GroupShares, fits, lower_of
from hemlockspoke.requests import Share

# Longest random delay of a plan; spreads the writes of daemons after the same change.
PLAN_JITTER_MS = 100
# The same for the first share object of a group. Both VMs that should hold shares
# write it right after they start, and the store sustains a few hundred writes a second.
FIRST_WRITE_JITTER_MS = 800
# Interval at which the use of a server is compared with the lowered share.
USE_POLL_INTERVAL_MS = 20
# After this time the write leaves out the servers whose use does not fit yet, so that
# they no longer delay the write for the others.
MAX_USE_WAIT_MS = 500
BACKOFF_MS = 50
MAX_BACKOFF_MS = 5000

# Phases. In ``LOWERING`` the write waits until the use fits the lowered shares.
IDLE = "idle"
LOWERING = "lowering"
WRITING = "writing"
READING = "reading"


class PendingWrite:
    """A write that was sent and may be applied to version ``if_version``.

    ``proposed_shares`` is the ``GroupShares`` written. ``takeover_waits`` maps each
    server in which it takes over from a gone holder to the ``TakeoverWait`` to follow.
    """

    __slots__ = ("if_version", "proposed_shares", "takeover_waits")

    def __init__(self, if_version, proposed_shares, takeover_waits):
        self.if_version = if_version
        self.proposed_shares = proposed_shares
        self.takeover_waits = takeover_waits


class TakeoverWait:
    """Delay before a share taken over from a gone holder may be used.

    The process of a gone holder has ended or its VM has left the platform, but its
    work may run for ``duration_ms`` more, until ``until_ms`` of the monotonic clock.
    Until then the daemon uses no more than each of ``previous_shares``, the
    ``ServerShares`` from before the takeover, allowed it.
    """

    __slots__ = ("duration_ms", "previous_shares", "until_ms")

    def __init__(self, duration_ms, previous_shares):
        self.duration_ms = duration_ms
        self.until_ms = None
        self.previous_shares = [previous_shares]


class GroupShareManager:
    """Plans and writes the share object of one group, and applies it to this daemon.

    It follows the share object in the configuration; ``schedule_plan`` tells it that
    another input of a plan has changed. It writes to the store, and it passes what
    the daemon may use of each server now (the effective share) to ``manager``, the
    ``ShareManager``, which also provides the clock, store, configuration, random
    generator and the ``ShareView`` for plans. ``shares`` is the ``GroupShares`` of
    the newest known ``version`` of the share object.
    """

    __slots__ = (
        "_backoff_count",
        "_lowered_shares",
        "_lowering_since_ms",
        "_manager",
        "_pending_writes",
        "_phase",
        "_plan",
        "_plan_outdated",
        "_read_required",
        "_stopped",
        "_timer",
        "_timer_due_ms",
        "_waits",
        "group",
        "shares",
        "version",
    )

    def __init__(self, group, manager):
        self.group = group
        self._manager = manager
        self._phase = IDLE
        self._plan = None
        self._pending_writes = []
        self._lowered_shares = {}
        self._waits = {}
        self._backoff_count = 0
        self._lowering_since_ms = None
        self._read_required = False
        self._plan_outdated = True
        self._timer = None
        self._timer_due_ms = None
        self._stopped = False
        self.version = 0
        self.shares = GroupShares()
        self.update_from_configuration()

    @property
    def key(self):
        """Return the key of the group's share object."""
        return SHARE_PREFIX + self.group

    def stop(self):
        """Stop planning and writing."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def holds_shares(self):
        """Return whether the daemon has any share or may get one by a pending write."""
        if self._pending_writes or self._phase == WRITING:
            return True
        return bool(self.shares.held_by(self._manager.me))

    def update_from_configuration(self):
        """Use the share object in the configuration if it is newer."""
        stored = self._manager.configuration.get(self.key)
        if stored is None or stored.version <= self.version:
            return
        self.version = stored.version
        self.shares = GroupShares.from_value(stored.value)
        self._resolve_pending_writes()
        self.apply()
        self.schedule_plan()

    def apply(self):
        """Set the effective shares of all servers of the group."""
        names = set(self.shares.held_by(self._manager.me))
        names.update(self._manager.servers_with_share(self.group))
        for name in sorted(names):
            self._manager.set_effective_share(
                self.group, name, self._effective_share(name)
            )

    def schedule_plan(self, delay_ms=None):
        """Schedule a new plan, which replaces one that is not written yet."""
        self._plan_outdated = True
        if delay_ms is not None:
            self._schedule(delay_ms)
            return
        jitter_ms = PLAN_JITTER_MS if self.version else FIRST_WRITE_JITTER_MS
        latest_ms = self._manager.clock.now_ms() + jitter_ms
        # A new random delay at each of many changes would undo the spreading.
        if self._timer is None or self._timer_due_ms > latest_ms:
            self._schedule(self._manager.rng.uniform(0, jitter_ms))

    def _schedule(self, delay_ms):
        """Call ``_timer_fired`` after ``delay_ms`` unless it is due earlier."""
        due_ms = self._manager.clock.now_ms() + delay_ms
        if self._timer is not None:
            if self._timer_due_ms <= due_ms:
                return
            self._timer.cancel()
        self._timer_due_ms = due_ms
        self._timer = self._manager.clock.call_later(delay_ms, self._timer_fired)

    def _timer_fired(self):
        self._timer = None
        if self._stopped:
            return
        self._end_expired_waits()
        if not self._manager.may_write():
            return
        if self._phase == LOWERING:
            self._write_once_use_fits()
        elif self._phase == IDLE:
            self._start_plan()

    def _effective_share(self, name):
        """Return what this daemon may use of a server now.

        Pending writes may have been applied, so the lowest of all shares that the
        store may contain applies.
        """
        limit = self._manager.limit(self.group, name)
        if limit is None or not self._manager.may_use():
            return Share()
        me = self._manager.me
        share = self.shares.server(name).clipped(me, limit.share)
        for pending in self._pending_writes:
            proposed = pending.proposed_shares.server(name).clipped(me, limit.share)
            share = lower_of(share, proposed)
        if name in self._lowered_shares:
            share = lower_of(share, self._lowered_shares[name])
        if name in self._waits:
            for previous_shares in self._waits[name].previous_shares:
                share = lower_of(share, previous_shares.clipped(me, limit.share))
        return share

    def _resolve_pending_writes(self):
        """Remove pending writes whose result the current version has decided.

        A write is conditional on a version, so once a later version is known it
        has either been applied or never will be. In both cases the wait begins for
        the shares of gone holders that it may have taken over.
        """
        decided = [
            item for item in self._pending_writes if item.if_version < self.version
        ]
        for pending in decided:
            self._pending_writes.remove(pending)
            for name, wait in pending.takeover_waits.items():
                self._begin_wait(name, wait)

    def _begin_wait(self, name, wait):
        clock = self._manager.clock
        wait.until_ms = clock.now_ms() + wait.duration_ms
        if name in self._waits:
            earlier = self._waits[name]
            wait.previous_shares = wait.previous_shares + earlier.previous_shares
            wait.until_ms = max(wait.until_ms, earlier.until_ms)
        self._waits[name] = wait
        clock.call_later(wait.until_ms - clock.now_ms(), self._wait_ended)

    def _wait_ended(self):
        if not self._stopped:
            self._end_expired_waits()
            self.schedule_plan()

    def _end_expired_waits(self):
        now_ms = self._manager.clock.now_ms()
        ended = [name for name, wait in self._waits.items() if wait.until_ms <= now_ms]
        for name in ended:
            del self._waits[name]
        if ended:
            self.apply()

    def _start_plan(self):
        """Make a plan and start to carry it out, or become idle if it is None."""
        if self._read_required:
            self._read_back()
            return
        self._plan_outdated = False
        plan = self._make_plan()
        if plan is None and self._pending_writes:
            # A pending write may still reach the store. Writing the current content
            # raises the version, so that the store then rejects the pending write.
            plan = GroupPlan(GroupShares(servers=self.shares.servers), set(), {})
        self._plan = plan
        if plan is None:
            self._become_idle()
            return
        self._lowered_shares = {
            name: plan.proposed_shares.server(name).share_of(self._manager.me)
            for name in plan.lowered
        }
        if self._phase == IDLE:
            self._lowering_since_ms = self._manager.clock.now_ms()
        self._phase = LOWERING
        self.apply()
        self._write_once_use_fits()

    def _make_plan(self, busy=()):
        """Make a plan that lowers nothing in ``busy`` servers or during a wait."""
        view = self._manager.view(self.group, [*self._waits, *busy])
        names = self._manager.servers(self.group)
        return plan_group(self.shares, names, view)

    def _become_idle(self):
        self._phase = IDLE
        self._backoff_count = 0
        self._lowered_shares = {}
        self.apply()
        self._manager.note_idle()

    def _write_once_use_fits(self):
        """Write the plan as soon as the current use fits the lowered shares."""
        if self._plan_outdated:
            self._start_plan()
            return
        busy = [name for name in sorted(self._plan.lowered) if not self._use_fits(name)]
        if busy:
            waited_ms = self._manager.clock.now_ms() - self._lowering_since_ms
            partial_plan = None
            if waited_ms >= MAX_USE_WAIT_MS:
                partial_plan = self._make_plan(busy)
            if partial_plan is None:
                self._schedule(USE_POLL_INTERVAL_MS)
                return
            self._plan = partial_plan
        self._write()

    def _use_fits(self, name):
        return fits(self._manager.in_use(name), self._lowered_shares[name])

    def _write(self):
        plan = self._plan
        view = self._manager.view(self.group)
        findings = check_proposal(self.shares, plan.proposed_shares, view)
        permitted = self._manager.invariants.check(
            "share-proposal-permitted", not findings, f"{self.group}: {findings}"
        )
        if not permitted or not self._manager.may_write_now():
            self._phase = IDLE
            self._backoff()
            return
        plan.proposed_shares.writer = self._manager.next_writer()
        pending = PendingWrite(self.version, plan.proposed_shares, self._waits_of(plan))
        self._pending_writes.append(pending)
        self._phase = WRITING
        self.apply()
        self._manager.metrics.count("shares.writes")
        value = plan.proposed_shares.to_value()
        write = self._manager.store.put(self.key, value, if_version=self.version)
        write.addCallback(self._after_write, pending, value)
        write.addErrback(self._handle_exception)

    def _waits_of(self, plan):
        return {
            name: TakeoverWait(
                self._manager.limit(self.group, name).max_deadline_ms, previous_shares
            )
            for name, previous_shares in plan.shares_before_takeover.items()
        }

    def _after_write(self, result, pending, value):
        if self._stopped:
            return
        self._phase = IDLE
        if result.is_ok():
            self._backoff_count = 0
            self._manager.configuration.adopt(self.key, result.ok, value)
            self.schedule_plan(0)
            return
        kind = result.error.kind
        self._manager.metrics.count(f"shares.write_errors.{kind.value}")
        if kind != StoreErrorKind.UNKNOWN and pending in self._pending_writes:
            self._pending_writes.remove(pending)
        self._read_required = True
        if kind in (StoreErrorKind.CONFLICT, StoreErrorKind.UNKNOWN):
            self._read_back()
            return
        # The store is unavailable, so the shares stay in use as before the plan. The
        # next attempt begins with a read and lowers nothing before the read succeeds.
        self._lowered_shares = {}
        self.apply()
        self._backoff()

    def _read_back(self):
        self._phase = READING
        reading = self.read()
        reading.addCallback(self._after_read)
        reading.addErrback(self._handle_exception)

    def _after_read(self, confirmed):
        if self._stopped:
            return
        self._phase = IDLE
        if confirmed:
            self._read_required = False
        else:
            self._lowered_shares = {}
            self.apply()
        self._backoff()

    def read(self):
        """Read the share object; fires with True if it was read or does not exist."""
        reading = self._manager.store.get(self.key)
        reading.addCallback(self._adopt_read)
        return reading

    def _adopt_read(self, result):
        if self._stopped:
            return False
        if result.is_error():
            return result.error.kind == StoreErrorKind.NOT_FOUND
        stored = result.ok
        self._manager.configuration.adopt(stored.key, stored.version, stored.value)
        return True

    def _backoff(self):
        """Plan again after a delay that doubles until a plan ends without error."""
        self._backoff_count += 1
        delay_ms = min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** min(self._backoff_count, 10))
        self.schedule_plan(delay_ms * self._manager.rng.uniform(0.5, 1.5))

    def _handle_exception(self, failure):
        self._phase = IDLE
        self._backoff()
        detail = f"{self.group}: {failure.getTraceback()}"
        self._manager.invariants.check("share-write-handled", False, detail)
