"""Manages the shares of one daemon in all groups of servers."""

import logging
from functools import partial

from twisted.internet.defer import Deferred

from hemlockspoke.config.fleet import FLEET_KEY, SERVICE_PREFIX
from hemlockspoke.limits.desired_holders import HolderRanking, by_region
from hemlockspoke.limits.group_share_manager import GroupShareManager
from hemlockspoke.limits.server_groups import ServerGroups
from hemlockspoke.limits.share_confirmation import ShareConfirmation
from hemlockspoke.limits.shares import SHARE_PREFIX, ShareView, fits, is_empty
from hemlockspoke.members.membership import (
    REGISTRATION_PREFIX,
    registration_incarnation,
)
from hemlockspoke.rendezvous import group_of
from hemlockspoke.requests import Share

logger = logging.getLogger(__name__)

# Changes are handled when they are adopted; the periodic check covers faults such as
# a lost timer.
PERIODIC_CHECK_MS = 30_000


class ShareManager:
    """Claims, takes over, hands over and releases this daemon's shares.

    It never lowers the share of another live holder. What may be used of a server
    now (the effective share) is passed to ``set_share(server_name, share)``, with
    None if nothing may be used. ``in_use(server_name)`` returns the ``Share`` that
    is in use. ``incarnation()`` returns that of this process, or None until it has
    registered; nothing is claimed before that.
    """

    __slots__ = (
        "_in_service",
        "_live",
        "_check_timer",
        "_confirmation",
        "_effective_shares",
        "_group_managers",
        "_groups",
        "_holders_by_server",
        "_incarnation",
        "_live_incarnations",
        "_marked_leaving",
        "_membership",
        "_pause_detector",
        "_release_completed",
        "_retired",
        "_set_share",
        "_started",
        "_vm",
        "_write_count",
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
        pause_detector,
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
        self._pause_detector = pause_detector
        self._set_share = set_share
        self._in_service = HolderRanking()
        self._live = HolderRanking()
        self._groups = ServerGroups(configuration)
        self._group_managers = {}
        self._holders_by_server = {}
        self._effective_shares = {}
        self._live_incarnations = {}
        self._confirmation = ShareConfirmation(self, membership)
        self._check_timer = None
        self._release_completed = None
        self._marked_leaving = False
        self._retired = False
        self._started = False
        self._write_count = 0

    @property
    def me(self):
        """Return the (VM, incarnation) of this process."""
        return (self._vm, self._incarnation())

    def start(self):
        """Begin to manage shares; call once the VM has registered."""
        self._started = True
        self.configuration.subscribe(self._object_adopted)
        self._membership.subscribe(self._members_changed)
        self._pause_detector.subscribe(self._process_paused)
        self._update_candidates()
        for stored in self.configuration.objects(SHARE_PREFIX):
            self._note_shares(stored)
        for group in self._groups.groups():
            self._plan_if_holder(group)
        self._schedule_periodic_check()

    def stop(self):
        """Stop managing shares and withdraw all effective ones."""
        self._started = False
        if self._check_timer is not None:
            self._check_timer.cancel()
        self._confirmation.stop()
        for manager in self._group_managers.values():
            manager.stop()
        for name in list(self._effective_shares):
            self.set_effective_share(None, name, Share())

    def holders_of(self, server_name):
        """Return the names of the VMs that hold slots of a server."""
        return list(self._holders_by_server.get(server_name, ()))

    def effective_shares(self):
        """Return a map of server name to the effective ``Share`` of this daemon."""
        return {name: share for name, (_, share) in self._effective_shares.items()}

    def release_all(self):
        """Release all shares; fires with True once none is held any more.

        The registration is marked first, so that other daemons do not hand shares
        to one that is about to exit.
        """
        if self._release_completed is None:
            self._release_completed = Deferred()
            marking = self._confirmation.mark_leaving()
            marking.addCallback(lambda _: self._begin_release())
            marking.addErrback(self._report_exception)
        return self._release_completed

    def _begin_release(self):
        self._marked_leaving = True
        self._plan_all()
        self.note_idle()

    def _report_exception(self, failure):
        detail = failure.getTraceback()
        self.invariants.check("share-release-handled", False, detail)

    # Called by the group managers and ``ShareConfirmation``.

    def may_use(self):
        """Return whether any share may be used at all."""
        registered = self._incarnation() is not None
        return self._started and registered and self._confirmation.confirmed

    def may_write(self):
        """Return whether share objects may be written."""
        return self.may_use()

    def may_write_now(self):
        """Check for a pause; return whether share objects may still be written."""
        self.check_pause()
        return self.may_write()

    def check_pause(self):
        """Check for a pause of the process, which suspends all shares."""
        self._pause_detector.check()

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
            limit_of=partial(self._groups.limit, group),
            desired_holders_of=self._desired_holders_of,
            is_gone=self._is_gone,
            blocked=blocked,
            releasing=self._marked_leaving,
        )

    def next_writer(self):
        """Return a unique writer id for a write."""
        self._write_count += 1
        vm, incarnation = self.me
        return f"{vm}.{incarnation}.{self._write_count}"

    def servers_with_share(self, group):
        """Return the servers of a group with an effective share."""
        return [name for name, (of, _) in self._effective_shares.items() if of == group]

    def set_effective_share(self, group, name, share):
        """Set the effective share of a server if it has changed."""
        _, old = self._effective_shares.get(name, (group, Share()))
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
            self._effective_shares.pop(name, None)
        else:
            self._effective_shares[name] = (group, share)
        self._set_share(name, None if is_empty(share) else share)

    def note_idle(self):
        """Complete a release if no group manager holds a share any more."""
        if not self._marked_leaving or self._retired:
            return
        if self._confirmation.superseded:
            self._retired = True
            self._release_completed.callback(True)
        elif not self.groups_with_shares():
            self._retired = True
            retiring = self._confirmation.retire()
            retiring.addCallback(lambda _: self._release_completed.callback(True))
            retiring.addErrback(self._report_exception)

    def groups_with_shares(self):
        """Return the managers of the groups in which shares are held."""
        return [item for item in self._group_managers.values() if item.holds_shares()]

    def reapply(self):
        """Recompute all effective shares and plan all groups again."""
        for manager in list(self._group_managers.values()):
            manager.apply()
            manager.schedule_plan()

    def _object_adopted(self, key):
        if not self._started:
            return
        if key.startswith(SHARE_PREFIX):
            self._shares_adopted(self.configuration.get(key))
        elif key.startswith(SERVICE_PREFIX):
            self._document_adopted(key[len(SERVICE_PREFIX) :])
        elif key == FLEET_KEY:
            self._members_changed()
        elif key == REGISTRATION_PREFIX + self._vm:
            self.registration_known()

    def _shares_adopted(self, stored):
        group = stored.key[len(SHARE_PREFIX) :]
        held = self._note_shares(stored)
        if group in self._group_managers:
            self._group_managers[group].update_from_configuration()
        elif held:
            self._add_group(group)

    def _note_shares(self, stored):
        """Record the holders; return whether this daemon is one of them."""
        held = False
        interned = {}
        for name, server in stored.value["servers"].items():
            holders = server["holders"]
            held |= any(
                (item["vm"], item["incarnation"]) == self.me for item in holders
            )
            names = tuple(item["vm"] for item in holders if item["slots"] > 0)
            # Most servers of a group have the same holders and share one tuple.
            self._holders_by_server[name] = interned.setdefault(names, names)
        for vm in set().union(*interned):
            self._membership.record_holder(vm)
        return held

    def _document_adopted(self, service):
        for group in self._groups.update(service):
            if group in self._group_managers:
                self._group_managers[group].apply()
            self._plan_if_holder(group)

    def _members_changed(self):
        if not self._started:
            return
        if self._incarnation() is not None and self._membership.is_gone(*self.me):
            self._confirmation.suspend()
        for group in self._update_candidates():
            self._plan_if_holder(group)
        self._plan_all()

    def registration_known(self):
        """Plan once the incarnation is known; a later one ends the use of shares."""
        incarnation = self._incarnation()
        stored = self.configuration.get(REGISTRATION_PREFIX + self._vm)
        if not self._started or incarnation is None or stored is None:
            return
        if registration_incarnation(stored) > incarnation:
            self._confirmation.supersede()
        self._plan_all()

    def _process_paused(self, length_ms):
        if self._started:
            self.metrics.count("shares.pauses")
            logger.warning("paused", extra={"length_ms": length_ms})
            self._confirmation.suspend()

    def _update_candidates(self):
        """Rank the live VMs; return the groups whose desired holders changed."""
        live = self._membership.live()
        fleet = self.configuration.fleet()
        self._live_incarnations = {member.vm: member.incarnation for member in live}
        in_service = [
            member
            for member in live
            if not fleet.domain_out(member.failure_domain)
            and not fleet.vm_out(member.vm)
        ]
        changed = self._live.update(by_region(live))
        return changed | self._in_service.update(by_region(in_service))

    def _plan_if_holder(self, group):
        """Plan a group if this daemon is or should be one of its holders."""
        if group in self._group_managers:
            self._group_managers[group].schedule_plan()
            return
        vm = self._vm
        if vm in self._in_service.best(group) or vm in self._live.best(group):
            self._add_group(group)

    def _add_group(self, group):
        manager = self._group_managers[group] = GroupShareManager(group, self)
        manager.schedule_plan()

    def _plan_all(self):
        for manager in list(self._group_managers.values()):
            manager.schedule_plan()

    def _schedule_periodic_check(self):
        delay_ms = PERIODIC_CHECK_MS * self.rng.uniform(0.75, 1.25)
        self._check_timer = self.clock.call_later(delay_ms, self._periodic_check)

    def _periodic_check(self):
        self._schedule_periodic_check()
        self._remove_idle_groups()
        self._plan_all()

    def _remove_idle_groups(self):
        vm = self._vm
        for group, manager in list(self._group_managers.items()):
            desired = vm in self._in_service.best(group) or vm in self._live.best(group)
            if not desired and not manager.holds_shares():
                manager.stop()
                del self._group_managers[group]

    def _desired_holders_of(self, name):
        """Return the (VM, incarnation) pairs of the desired holders of a server.

        VMs that are out remain desired holders of servers that are out. These
        servers get no work, so moving their shares away and back would only delay
        the return of their failure domain.
        """
        server = self.configuration.find_server(name)
        if server is None:
            return []
        ranking = (
            self._in_service
            if self.configuration.fleet().permits(server)
            else self._live
        )
        best = ranking.best(group_of(name, server.region))
        if self._marked_leaving:
            best = [vm for vm in best if vm != self._vm]
        count = max(1, server.upstream_class.slots)
        return [(vm, self._live_incarnations[vm]) for vm in best[:count]]

    def _is_gone(self, vm, incarnation):
        if vm == self._vm:
            return incarnation < self.me[1]
        if self._membership.has_stopped(vm, incarnation):
            return True
        return self._membership.is_gone(vm, incarnation)
