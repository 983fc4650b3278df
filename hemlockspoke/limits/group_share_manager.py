"""Manages one daemon's shares in one group: plan, lower, write, read back."""

from hemlockspoke.errors import StoreErrorKind
from hemlockspoke.limits.share_plan import GroupPlan, plan_group
from hemlockspoke.limits.share_rules import check_proposal
from hemlockspoke.limits.shares import SHARE_PREFIX, GroupShares, fits, lower_of
from hemlockspoke.requests import Share

# Random delay that spreads the writes of daemons reacting to the same change.
PLAN_JITTER_MS = 100
# The same for the first share object of a group, which both desired holders write
# right after they start: the store sustains a few hundred writes per second.
FIRST_WRITE_JITTER_MS = 800
# Interval for comparing the use of a server with a lowered share.
USE_POLL_INTERVAL_MS = 20
# After this time the write leaves out servers whose use does not fit yet, so that
# they no longer delay the others.
MAX_USE_WAIT_MS = 500
BACKOFF_MS = 50
MAX_BACKOFF_MS = 5000

IDLE = "idle"
LOWERING = "lowering"
WRITING = "writing"
READING = "reading"


class PendingWrite:
    """A write that was sent and may be applied to version ``if_version``.

    ``replaced`` maps each server in which the write replaces a gone holder to the
    ``ReplacementWait`` that must then pass.
    """

    __slots__ = ("group", "if_version", "replaced")

    def __init__(self, if_version, group, replaced):
        self.if_version = if_version
        self.group = group
        self.replaced = replaced


class ReplacementWait:
    """Delay before a share taken over from a gone holder may be used.

    The gone holder's work may still run until ``until_ms``. Until then the daemon
    uses no more than each of ``previous_shares``, the ``ServerShares`` from before
    the replacement, allowed it.
    """

    __slots__ = ("duration_ms", "previous_shares", "until_ms")

    def __init__(self, duration_ms, previous_shares):
        self.duration_ms = duration_ms
        self.until_ms = None
        self.previous_shares = [previous_shares]


class GroupShareManager:
    """Manages the shares of this daemon in one group.

    ``manager``, the ``ShareManager``, provides the clock, store, configuration and
    random generator and the ``ShareView`` for plans, and stores effective shares.
    """

    __slots__ = (
        "_attempts",
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
        self._attempts = 0
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
        """Schedule a new plan; one that is not written yet is discarded."""
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
        self._end_waits()
        if not self._manager.may_write():
            return
        if self._phase == LOWERING:
            self._write_once_use_fits()
        elif self._phase == IDLE:
            self._start_plan()

    def _effective_share(self, name):
        """Return what this daemon may use of a server now.

        Writes of unknown result are taken into account: the lowest of all shares
        that the store may contain applies.
        """
        limit = self._manager.limit(self.group, name)
        if limit is None or not self._manager.may_use():
            return Share()
        me = self._manager.me
        share = self.shares.server(name).clipped(me, limit.share)
        for pending in self._pending_writes:
            proposed = pending.group.server(name).clipped(me, limit.share)
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
            for name, wait in pending.replaced.items():
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
            self._end_waits()
            self.schedule_plan()

    def _end_waits(self):
        now_ms = self._manager.clock.now_ms()
        ended = [name for name, wait in self._waits.items() if wait.until_ms <= now_ms]
        for name in ended:
            del self._waits[name]
        if ended:
            self.apply()

    def _start_plan(self):
        """Make a plan and begin to lower shares and write, or become idle."""
        if self._read_required:
            self._read_back()
            return
        self._plan_outdated = False
        plan = self._make_plan()
        if plan is None and self._pending_writes:
            # A pending write may still reach the store. Writing the current content
            # raises the version, so that the store then rejects it.
            plan = GroupPlan(GroupShares(servers=self.shares.servers), set(), {})
        self._plan = plan
        if plan is None:
            self._become_idle()
            return
        self._lowered_shares = {
            name: plan.group.server(name).share_of(self._manager.me)
            for name in plan.lowered
        }
        if self._phase == IDLE:
            self._lowering_since_ms = self._manager.clock.now_ms()
        self._phase = LOWERING
        self.apply()
        self._write_once_use_fits()

    def _make_plan(self, busy=()):
        view = self._manager.view(self.group, [*self._waits, *busy])
        names = self._manager.servers(self.group)
        return plan_group(self.shares, names, view)

    def _become_idle(self):
        self._phase = IDLE
        self._attempts = 0
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
        findings = check_proposal(self.shares, plan.group, view)
        permitted = self._manager.invariants.check(
            "share-proposal-permitted", not findings, f"{self.group}: {findings}"
        )
        if not permitted or not self._manager.may_write_now():
            self._phase = IDLE
            self._backoff()
            return
        plan.group.writer = self._manager.next_writer()
        pending = PendingWrite(self.version, plan.group, self._waits_for(plan))
        self._pending_writes.append(pending)
        self._phase = WRITING
        self.apply()
        self._manager.metrics.count("shares.writes")
        value = plan.group.to_value()
        write = self._manager.store.put(self.key, value, if_version=self.version)
        write.addCallback(self._after_write, pending, value)
        write.addErrback(self._handle_exception)

    def _waits_for(self, plan):
        return {
            name: ReplacementWait(
                self._manager.limit(self.group, name).max_deadline_ms, previous_shares
            )
            for name, previous_shares in plan.replaced.items()
        }

    def _after_write(self, result, pending, value):
        if self._stopped:
            return
        self._phase = IDLE
        if result.is_ok():
            self._attempts = 0
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
        # The store is unavailable, so the shares remain in use. The next attempt
        # begins with a read and lowers nothing before the read succeeds.
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
        """Retry later; the delay doubles with each consecutive failure."""
        self._attempts += 1
        delay_ms = min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** min(self._attempts, 10))
        self.schedule_plan(delay_ms * self._manager.rng.uniform(0.5, 1.5))

    def _handle_exception(self, failure):
        self._phase = IDLE
        self._backoff()
        detail = f"{self.group}: {failure.getTraceback()}"
        self._manager.invariants.check("share-write-handled", False, detail)
