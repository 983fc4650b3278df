"""One daemon's shares in one group: plan, lower, write, read back."""

from hemlockspoke.errors import StoreErrorKind
from hemlockspoke.limits.share_plan import GroupPlan, plan_group
from hemlockspoke.limits.share_rules import check_proposal
from hemlockspoke.limits.shares import SHARE_PREFIX, GroupShares, fits, lower_of
from hemlockspoke.requests import Share

# Spreads the writes of daemons that react to the same change.
WAKE_JITTER_MS = 100
# The same for the first share object of a group, which the two desired holders want
# to write as soon as they start: the store sustains a few hundred writes per second.
START_JITTER_MS = 800
# How often work in use is compared with a lowered share.
USE_POLL_MS = 20
# After this long, servers whose use does not fit yet no longer delay the others.
USE_WAIT_LIMIT_MS = 500
BACKOFF_MS = 50
BACKOFF_LIMIT_MS = 5000

IDLE = "idle"
LOWERING = "lowering"
WRITING = "writing"
READING = "reading"


class Proposal:
    """A write that was sent and may take effect on version ``if_version``.

    ``taken`` maps the servers in which it replaces a gone holder to the ``Wait``
    that this needs.
    """

    __slots__ = ("group", "if_version", "taken")

    def __init__(self, if_version, group, taken):
        self.if_version = if_version
        self.group = group
        self.taken = taken


class Wait:
    """A replaced share that is not used until the old holder's work has ended.

    ``before`` holds the ``ServerShares`` before the replacement. Until then the
    daemon uses no more than it might have used by these.
    """

    __slots__ = ("before", "duration_ms", "until_ms")

    def __init__(self, duration_ms, before):
        self.duration_ms = duration_ms
        self.until_ms = None
        self.before = [before]


class ShareKeeper:
    """Acts on the own shares of a daemon in one group.

    ``manager`` gives the surroundings: clock, store, configuration, rng, the view
    for plans and the place where shares in force are set.
    """

    __slots__ = (
        "_attempts",
        "_caps",
        "_lowering_since_ms",
        "_manager",
        "_must_read",
        "_outdated",
        "_phase",
        "_plan",
        "_proposals",
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
        self._proposals = []
        self._caps = {}
        self._waits = {}
        self._attempts = 0
        self._lowering_since_ms = None
        self._must_read = False
        self._outdated = True
        self._timer = None
        self._timer_due_ms = None
        self._stopped = False
        self.version = 0
        self.shares = GroupShares()
        self.read_configuration()

    @property
    def key(self):
        """Return the key of the group's share object."""
        return SHARE_PREFIX + self.group

    def stop(self):
        """Stop all activity."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def holds_anything(self):
        """Tell whether the daemon has, or may get by a sent write, any share."""
        if self._proposals or self._phase == WRITING:
            return True
        return bool(self.shares.held_by(self._manager.me))

    def read_configuration(self):
        """Take over the share object that the configuration has adopted."""
        stored = self._manager.configuration.get(self.key)
        if stored is None or stored.version <= self.version:
            return
        self.version = stored.version
        self.shares = GroupShares.from_value(stored.value)
        self._settle()
        self.apply()
        self.wake()

    def apply(self):
        """Set the shares in force of all servers of the group."""
        names = set(self.shares.held_by(self._manager.me))
        names.update(self._manager.names_in_force(self.group))
        for name in sorted(names):
            self._manager.set_in_force(self.group, name, self._in_force(name))

    def wake(self, delay_ms=None):
        """Plan again soon; a plan in progress is not written any more."""
        self._outdated = True
        if delay_ms is not None:
            self._schedule(delay_ms)
            return
        jitter_ms = WAKE_JITTER_MS if self.version else START_JITTER_MS
        latest_ms = self._manager.clock.now_ms() + jitter_ms
        # Drawing again at each of many changes would undo the spread.
        if self._timer is None or self._timer_due_ms > latest_ms:
            self._schedule(self._manager.rng.uniform(0, jitter_ms))

    def _schedule(self, delay_ms):
        """Call ``_woken`` after ``delay_ms``, or sooner if that is due already."""
        due_ms = self._manager.clock.now_ms() + delay_ms
        if self._timer is not None:
            if self._timer_due_ms <= due_ms:
                return
            self._timer.cancel()
        self._timer_due_ms = due_ms
        self._timer = self._manager.clock.call_later(delay_ms, self._woken)

    def _woken(self):
        self._timer = None
        if self._stopped:
            return
        self._end_waits()
        if not self._manager.may_write():
            return
        if self._phase == LOWERING:
            self._write_when_fitting()
        elif self._phase == IDLE:
            self._run()

    def _in_force(self, name):
        """Return what this daemon may use of a server now.

        A sent write of unknown result counts as well: of all values that the
        store may hold, the lowest is used.
        """
        limit = self._manager.limit(self.group, name)
        if limit is None or not self._manager.may_use():
            return Share()
        me = self._manager.me
        share = self.shares.server(name).clipped(me, limit.share)
        for proposal in self._proposals:
            proposed = proposal.group.server(name).clipped(me, limit.share)
            share = lower_of(share, proposed)
        if name in self._caps:
            share = lower_of(share, self._caps[name])
        if name in self._waits:
            for before in self._waits[name].before:
                share = lower_of(share, before.clipped(me, limit.share))
        return share

    def _settle(self):
        """Forget sent writes that the current version has decided.

        A write is conditional on a version, so once a later version is known it
        has taken effect or never will. Either way a share of a gone holder that
        it may have taken must wait.
        """
        decided = [item for item in self._proposals if item.if_version < self.version]
        for proposal in decided:
            self._proposals.remove(proposal)
            for name, wait in proposal.taken.items():
                self._begin_wait(name, wait)

    def _begin_wait(self, name, wait):
        clock = self._manager.clock
        wait.until_ms = clock.now_ms() + wait.duration_ms
        if name in self._waits:
            earlier = self._waits[name]
            wait.before = wait.before + earlier.before
            wait.until_ms = max(wait.until_ms, earlier.until_ms)
        self._waits[name] = wait
        clock.call_later(wait.until_ms - clock.now_ms(), self._wait_over)

    def _wait_over(self):
        if not self._stopped:
            self._end_waits()
            self.wake()

    def _end_waits(self):
        now_ms = self._manager.clock.now_ms()
        ended = [name for name, wait in self._waits.items() if wait.until_ms <= now_ms]
        for name in ended:
            del self._waits[name]
        if ended:
            self.apply()

    def _run(self):
        """Plan; begin to lower, write, or go idle."""
        if self._must_read:
            self._read_back()
            return
        self._outdated = False
        plan = self._make_plan()
        if plan is None and self._proposals:
            # A sent write that has not been applied may still arrive. A write of
            # the same content makes the store refuse it.
            plan = GroupPlan(GroupShares(servers=self.shares.servers), set(), {})
        self._plan = plan
        if plan is None:
            self._rest()
            return
        self._caps = {
            name: plan.group.server(name).share_of(self._manager.me)
            for name in plan.lowered
        }
        if self._phase == IDLE:
            self._lowering_since_ms = self._manager.clock.now_ms()
        self._phase = LOWERING
        self.apply()
        self._write_when_fitting()

    def _make_plan(self, busy=()):
        view = self._manager.view(self.group, [*self._waits, *busy])
        names = self._manager.servers(self.group)
        return plan_group(self.shares, names, view)

    def _rest(self):
        self._phase = IDLE
        self._attempts = 0
        self._caps = {}
        self.apply()
        self._manager.rested()

    def _write_when_fitting(self):
        """Write once the work in use fits the lowered shares."""
        if self._outdated:
            self._run()
            return
        busy = [name for name in sorted(self._plan.lowered) if not self._use_fits(name)]
        if busy:
            waited_ms = self._manager.clock.now_ms() - self._lowering_since_ms
            partial = None
            if waited_ms >= USE_WAIT_LIMIT_MS:
                partial = self._make_plan(busy)
            if partial is None:
                self._schedule(USE_POLL_MS)
                return
            self._plan = partial
        self._write()

    def _use_fits(self, name):
        return fits(self._manager.in_use(name), self._caps[name])

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
        proposal = Proposal(self.version, plan.group, self._waits_for(plan))
        self._proposals.append(proposal)
        self._phase = WRITING
        self.apply()
        self._manager.metrics.count("shares.writes")
        value = plan.group.to_value()
        write = self._manager.store.put(self.key, value, if_version=self.version)
        write.addCallback(self._written, proposal, value)
        write.addErrback(self._defect)

    def _waits_for(self, plan):
        return {
            name: Wait(self._manager.limit(self.group, name).max_deadline_ms, before)
            for name, before in plan.taken.items()
        }

    def _written(self, result, proposal, value):
        if self._stopped:
            return
        self._phase = IDLE
        if result.is_ok():
            self._attempts = 0
            self._manager.configuration.adopt(self.key, result.ok, value)
            self.wake(0)
            return
        kind = result.error.kind
        self._manager.metrics.count(f"shares.write_errors.{kind.value}")
        if kind != StoreErrorKind.UNKNOWN and proposal in self._proposals:
            self._proposals.remove(proposal)
        self._must_read = True
        if kind in (StoreErrorKind.CONFLICT, StoreErrorKind.UNKNOWN):
            self._read_back()
            return
        # The store is down, so the share is kept and used for now; the next try
        # begins with a read and does not lower anything before that succeeds.
        self._caps = {}
        self.apply()
        self._backoff()

    def _read_back(self):
        self._phase = READING
        reading = self.read()
        reading.addCallback(self._was_read)
        reading.addErrback(self._defect)

    def _was_read(self, confirmed):
        if self._stopped:
            return
        self._phase = IDLE
        if confirmed:
            self._must_read = False
        else:
            self._caps = {}
            self.apply()
        self._backoff()

    def read(self):
        """Read the share object from the store; fires with True if it was read."""
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
        """Try again later; the delay grows with each failure in a row."""
        self._attempts += 1
        delay_ms = min(BACKOFF_LIMIT_MS, BACKOFF_MS * 2 ** min(self._attempts, 10))
        self.wake(delay_ms * self._manager.rng.uniform(0.5, 1.5))

    def _defect(self, failure):
        self._phase = IDLE
        self._backoff()
        detail = f"{self.group}: {failure.getTraceback()}"
        self._manager.invariants.check("share-write-handled", False, detail)
