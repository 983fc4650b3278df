"""The shares of one daemon: what it may use of which server."""

import logging
from functools import partial

from twisted.internet.defer import Deferred

from hemlockspoke.config.fleet import FLEET_KEY, SERVICE_PREFIX
from hemlockspoke.limits.desired_holders import HolderPool, by_region
from hemlockspoke.limits.server_groups import ServerGroups
from hemlockspoke.limits.share_confirmation import ShareConfirmation
from hemlockspoke.limits.share_keeper import ShareKeeper
from hemlockspoke.limits.shares import SHARE_PREFIX, ShareView, fits, is_empty
from hemlockspoke.members.membership import (
    REGISTRATION_PREFIX,
    registration_incarnation,
)
from hemlockspoke.rendezvous import group_of
from hemlockspoke.requests import Share

logger = logging.getLogger(__name__)

# Catches what no changed key has reported, for instance a lost wake; all changes
# that matter are acted on when they are adopted.
PERIODIC_CHECK_MS = 30_000


class ShareManager:
    """Claims, hands over, replaces and releases this daemon's shares.

    It never changes the share of another live holder. Shares in force are passed
    to ``set_share(server_name, share)``, with None where nothing may be used.
    ``in_use(server_name)`` returns the ``Share`` of what is in use.
    ``incarnation()`` returns that of this process, None before it has registered;
    until then nothing is claimed.
    """

    __slots__ = (
        "_active",
        "_all",
        "_confirmation",
        "_groups",
        "_holders",
        "_in_force",
        "_incarnation",
        "_incarnations",
        "_keepers",
        "_membership",
        "_marked",
        "_pause",
        "_periodic",
        "_released",
        "_retired",
        "_set_share",
        "_started",
        "_vm",
        "_writes",
        "clock",
        "configuration",
        "in_use",
        "invariants",
        "metrics",
        "rng",
        "store",
    )

    def __init__(
        self,
        *,
        clock,
        store,
        configuration,
        membership,
        vm,
        incarnation,
        pause,
        rng,
        metrics,
        invariants,
        set_share,
        in_use,
    ):
        self.clock = clock
        self.store = store
        self.configuration = configuration
        self._vm = vm
        self._incarnation = incarnation
        self.rng = rng
        self.metrics = metrics
        self.invariants = invariants
        self.in_use = in_use
        self._membership = membership
        self._pause = pause
        self._set_share = set_share
        self._active = HolderPool()
        self._all = HolderPool()
        self._groups = ServerGroups(configuration)
        self._keepers = {}
        self._holders = {}
        self._in_force = {}
        self._incarnations = {}
        self._confirmation = ShareConfirmation(self, membership)
        self._periodic = None
        self._released = None
        self._marked = False
        self._retired = False
        self._started = False
        self._writes = 0

    @property
    def me(self):
        """Return the VM and incarnation of this process."""
        return (self._vm, self._incarnation())

    def start(self):
        """Begin to act on shares once the VM has registered."""
        self._started = True
        self.configuration.subscribe(self._adopted)
        self._membership.subscribe(self._members_changed)
        self._pause.subscribe(self._paused)
        self._update_candidates()
        for stored in self.configuration.objects(SHARE_PREFIX):
            self._note_shares(stored)
        for group in self._groups.groups():
            self._touch(group)
        self._schedule_check()

    def stop(self):
        """Stop acting; shares in force are withdrawn."""
        self._started = False
        if self._periodic is not None:
            self._periodic.cancel()
        self._confirmation.stop()
        for keeper in self._keepers.values():
            keeper.stop()
        for name in list(self._in_force):
            self.set_in_force(None, name, Share())

    def holders_of(self, server_name):
        """Return the names of the VMs that hold slots of a server."""
        return list(self._holders.get(server_name, ()))

    def my_shares(self):
        """Return a map of server name to ``Share`` in force here."""
        return {name: share for name, (_, share) in self._in_force.items()}

    def release_all(self):
        """Give up all shares; fires with True when none is held any more.

        The registration is marked first, so that others do not hand shares to a
        daemon that is about to exit.
        """
        if self._released is None:
            self._released = Deferred()
            marking = self._confirmation.mark_leaving()
            marking.addCallback(lambda _: self._begin_release())
            marking.addErrback(self._defect)
        return self._released

    def _begin_release(self):
        self._marked = True
        self._wake_all()
        self.rested()

    def _defect(self, failure):
        detail = failure.getTraceback()
        self.invariants.check("share-release-handled", False, detail)

    # What the keepers of groups ask for.

    def may_use(self):
        """Tell whether any share may be used at all."""
        registered = self._incarnation() is not None
        return self._started and registered and self._confirmation.confirmed

    def may_write(self):
        """Tell whether share objects may be written."""
        return self.may_use()

    def may_write_now(self):
        """Tell the same right before a write, after a look for a pause."""
        self.check_pause()
        return self.may_write()

    def check_pause(self):
        """Look for a pause; one found suspends all shares."""
        self._pause.check()

    def servers(self, group):
        """Return the names of the servers of a group."""
        return self._groups.servers(group)

    def limit(self, group, name):
        """Return the ``ServerLimit`` of a server of a group, or None."""
        return self._groups.limit(group, name)

    def view(self, group, blocked=()):
        """Return the ``ShareView`` of a group now."""
        return ShareView(
            me=self.me,
            limits=partial(self._groups.limit, group),
            desired=self._desired,
            is_gone=self._is_gone,
            blocked=blocked,
            releasing=self._marked,
        )

    def next_writer(self):
        """Return a writer id that no other write has."""
        self._writes += 1
        vm, incarnation = self.me
        return f"{vm}.{incarnation}.{self._writes}"

    def names_in_force(self, group):
        """Return the servers of a group in which a share is in force."""
        return [name for name, (of, _) in self._in_force.items() if of == group]

    def set_in_force(self, group, name, share):
        """Put a share in force, if it differs from the one in force."""
        _, old = self._in_force.get(name, (group, Share()))
        if share == old:
            return
        limit = self.limit(group, name)
        if not is_empty(share) and not self.invariants.check(
            "share-within-limit",
            limit is not None and fits(share, limit.share),
            f"{name}: {share}",
        ):
            share = Share()
        if is_empty(share):
            self._in_force.pop(name, None)
        else:
            self._in_force[name] = (group, share)
        self._set_share(name, None if is_empty(share) else share)

    def rested(self):
        """Note that a keeper has nothing to do; completes a release."""
        if not self._marked or self._retired:
            return
        if self._confirmation.superseded:
            self._retired = True
            self._released.callback(True)
        elif not self.keepers_with_shares():
            self._retired = True
            retiring = self._confirmation.retire()
            retiring.addCallback(lambda _: self._released.callback(True))
            retiring.addErrback(self._defect)

    def keepers_with_shares(self):
        """Return the keepers of the groups in which anything is held."""
        return [item for item in self._keepers.values() if item.holds_anything()]

    def reapply(self):
        """Set all shares in force anew and plan all groups again."""
        for keeper in list(self._keepers.values()):
            keeper.apply()
            keeper.wake()

    # Reactions to changes.

    def _adopted(self, key):
        if not self._started:
            return
        if key.startswith(SHARE_PREFIX):
            self._shares_adopted(self.configuration.get(key))
        elif key.startswith(SERVICE_PREFIX):
            self._document_adopted(key[len(SERVICE_PREFIX) :])
        elif key == FLEET_KEY:
            self._members_changed()
        elif key == REGISTRATION_PREFIX + self._vm:
            self._registration_adopted(self.configuration.get(key))

    def _shares_adopted(self, stored):
        group = stored.key[len(SHARE_PREFIX) :]
        held = self._note_shares(stored)
        if group in self._keepers:
            self._keepers[group].read_configuration()
        elif held:
            self._open(group)

    def _note_shares(self, stored):
        """Take in who holds what; tell whether this daemon is a holder."""
        held = False
        known = {}
        for name, server in stored.value["servers"].items():
            holders = server["holders"]
            held |= any(
                (item["vm"], item["incarnation"]) == self.me for item in holders
            )
            names = tuple(item["vm"] for item in holders if item["slots"] > 0)
            # Servers of a group mostly have the same holders; one tuple serves all.
            self._holders[name] = known.setdefault(names, names)
        for vm in set().union(*known):
            self._membership.note_holder(vm)
        return held

    def _document_adopted(self, service):
        for group in self._groups.update(service):
            if group in self._keepers:
                self._keepers[group].apply()
            self._touch(group)

    def _members_changed(self):
        if not self._started:
            return
        if self._incarnation() is not None and self._membership.is_gone(*self.me):
            self._confirmation.suspend()
        for group in self._update_candidates():
            self._touch(group)
        self._wake_all()

    def _registration_adopted(self, stored):
        incarnation = self._incarnation()
        if incarnation is None:
            return
        if registration_incarnation(stored) > incarnation:
            self._confirmation.supersede()
        self._wake_all()

    def _paused(self, length_ms):
        if self._started:
            self.metrics.count("shares.pauses")
            logger.warning("paused", extra={"length_ms": length_ms})
            self._confirmation.suspend()

    def _update_candidates(self):
        """Take in the live VMs; return the groups whose desired holders differ."""
        live = self._membership.live()
        fleet = self.configuration.fleet()
        self._incarnations = {member.vm: member.incarnation for member in live}
        inside = [
            member
            for member in live
            if not fleet.domain_out(member.failure_domain)
            and not fleet.vm_out(member.vm)
        ]
        changed = self._all.update(by_region(live))
        return changed | self._active.update(by_region(inside))

    def _touch(self, group):
        """Plan a group again if this daemon holds shares in it or should."""
        if group in self._keepers:
            self._keepers[group].wake()
            return
        vm = self._vm
        if vm in self._active.best(group) or vm in self._all.best(group):
            self._open(group)

    def _open(self, group):
        keeper = self._keepers[group] = ShareKeeper(group, self)
        keeper.wake()

    def _wake_all(self):
        for keeper in list(self._keepers.values()):
            keeper.wake()

    def _schedule_check(self):
        delay_ms = PERIODIC_CHECK_MS * self.rng.uniform(0.75, 1.25)
        self._periodic = self.clock.call_later(delay_ms, self._check)

    def _check(self):
        self._schedule_check()
        self._drop_idle_keepers()
        self._wake_all()

    def _drop_idle_keepers(self):
        vm = self._vm
        for group, keeper in list(self._keepers.items()):
            desired = vm in self._active.best(group) or vm in self._all.best(group)
            if not desired and not keeper.holds_anything():
                keeper.stop()
                del self._keepers[group]

    def _desired(self, name):
        """Return (VM, incarnation) of the desired holders of a server.

        Daemons that operators have taken out stay the holders of servers that are
        out as well. Those get no work, so that moving their shares there and back
        would only delay the return of their failure domain.
        """
        server = self.configuration.find_server(name)
        if server is None:
            return []
        pool = self._active if self.configuration.fleet().permits(server) else self._all
        best = pool.best(group_of(name, server.region))
        if self._marked:
            best = [vm for vm in best if vm != self._vm]
        count = max(1, server.upstream_class.slots)
        return [(vm, self._incarnations[vm]) for vm in best[:count]]

    def _is_gone(self, vm, incarnation):
        if vm == self._vm:
            return incarnation < self.me[1]
        if self._membership.has_stopped(vm, incarnation):
            return True
        return self._membership.is_gone(vm, incarnation)
