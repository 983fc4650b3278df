"""Tracks which VMs are live, leaving or gone, and their incarnations."""

REGISTRATION_PREFIX = "vms/"

LIVE = "live"
LEAVING = "leaving"
GONE = "gone"
UNLISTED = "unlisted"

# A VM counts as gone only after this many consecutive readings of the platform's list
# without it. With a time span alone, one reading before and one after a long store
# outage would suffice.
MIN_MISSING_READINGS = 3


def registration_incarnation(stored):
    """Return the incarnation that a ``vms/`` object registers.

    It is the store version of the registration. A later update by the same process,
    such as the one that marks it as leaving, contains the original incarnation.
    """
    return stored.value.get("incarnation", stored.version)


class Member:
    """A registered VM and its state.

    ``stopped`` is true if its daemon has declared that it will use no share again.
    """

    __slots__ = (
        "failure_domain",
        "incarnation",
        "peer_address",
        "region",
        "state",
        "stopped",
        "vm",
    )

    def __init__(
        self,
        vm,
        incarnation,
        region,
        failure_domain,
        peer_address,
        state,
        stopped=False,
    ):
        self.vm = vm
        self.incarnation = incarnation
        self.region = region
        self.failure_domain = failure_domain
        self.peer_address = peer_address
        self.state = state
        self.stopped = stopped

    def __repr__(self):
        return f"Member({self.vm!r}, {self.incarnation}, {self.state})"


class Listing:
    """State of one VM according to the readings of the platform's list."""

    __slots__ = ("missing_readings", "missing_since_ms", "missing_until_ms", "state")

    def __init__(self, state=LIVE):
        self.state = state
        self.record_present(state)

    def record_present(self, state):
        """Record a reading that lists the VM."""
        self.state = state
        self.missing_readings = 0
        self.missing_since_ms = None
        self.missing_until_ms = None

    def record_missing(self, now_ms):
        """Record a reading that does not list the VM."""
        self.missing_readings += 1
        if self.missing_since_ms is None:
            self.missing_since_ms = now_ms
        self.missing_until_ms = now_ms

    def missing_longer_than(self, span_ms):
        """Return whether all readings over more than ``span_ms`` lacked the VM."""
        if self.missing_readings < MIN_MISSING_READINGS:
            return False
        return self.missing_until_ms - self.missing_since_ms > span_ms


class Membership:
    """Combines the platform's list of VMs with the registrations.

    The list may be out of date by its lag. A VM counts as gone once it was missing from
    all readings over more than the lag plus ``gone_margin_ms``; then other VMs may get
    its shares.
    """

    __slots__ = (
        "_clock",
        "_configuration",
        "_gone",
        "_gone_margin_ms",
        "_lag_ms",
        "_listeners",
        "_listings",
        "_members",
    )

    def __init__(self, clock, configuration, gone_margin_ms):
        self._clock = clock
        self._configuration = configuration
        self._gone_margin_ms = gone_margin_ms
        self._lag_ms = 0
        self._listings = {}
        self._gone = set()
        self._listeners = []
        self._members = {}
        for stored in configuration.objects(REGISTRATION_PREFIX):
            self._update_member(stored)
        configuration.subscribe(self._on_adopted)

    def subscribe(self, listener):
        """Call ``listener()`` after the state of a VM has changed."""
        self._listeners.append(listener)

    def record_vm_list(self, vm_list):
        """Process one reading of the platform's list."""
        now_ms = self._clock.now_ms()
        self._lag_ms = max(self._lag_ms, vm_list.lag_ms)
        changed = self._record_present(vm_list.vms)
        present = {listed.vm for listed in vm_list.vms}
        for vm, listing in list(self._listings.items()):
            if vm not in present:
                listing.record_missing(now_ms)
                changed |= self._mark_if_gone(vm, listing)
        if changed:
            self._notify()

    def record_holder(self, vm):
        """Record that a share object names ``vm``, which proves that it was listed.

        Only listed VMs claim or receive shares. Without this record, a process that
        started after the VM had vanished from the list could never count it as gone,
        and its shares would be lost permanently.
        """
        if vm not in self._listings and vm not in self._gone:
            self._listings[vm] = Listing(UNLISTED)

    def members(self):
        """Return all registered VMs."""
        return list(self._members.values())

    def live(self):
        """Return the registered VMs that are listed, not leaving and not gone.

        Registrations are never deleted, so a VM that no reading has listed is
        excluded: it may no longer exist.
        """
        return [member for member in self._members.values() if member.state == LIVE]

    def is_gone(self, vm, incarnation):
        """Return whether this incarnation of ``vm`` can never act again."""
        if vm in self._gone:
            return True
        member = self._members.get(vm)
        return member is not None and member.incarnation > incarnation

    def has_stopped(self, vm, incarnation):
        """Return whether this incarnation has declared that it will use no share again.

        It may still finish requests, so as a peer it is not gone.
        """
        member = self._members.get(vm)
        return member is not None and (
            member.stopped and member.incarnation >= incarnation
        )

    def _record_present(self, listed_vms):
        changed = False
        for listed in listed_vms:
            listing = self._listings.get(listed.vm)
            if listing is None:
                listing = self._listings[listed.vm] = Listing(UNLISTED)
            changed |= listing.state != listed.state or listed.vm in self._gone
            listing.record_present(listed.state)
            self._gone.discard(listed.vm)
            self._update_state(listed.vm)
        return changed

    def _mark_if_gone(self, vm, listing):
        """Mark ``vm`` as gone if the readings prove it; return whether they do."""
        if not listing.missing_longer_than(self._lag_ms + self._gone_margin_ms):
            return False
        self._gone.add(vm)
        del self._listings[vm]
        self._update_state(vm)
        return True

    def _on_adopted(self, key):
        if key.startswith(REGISTRATION_PREFIX):
            self._update_member(self._configuration.get(key))
            self._notify()

    def _update_member(self, stored):
        value = stored.value
        vm = stored.key[len(REGISTRATION_PREFIX) :]
        self._members[vm] = Member(
            vm=vm,
            incarnation=registration_incarnation(stored),
            region=value.get("region", ""),
            failure_domain=value.get("failure_domain", ""),
            peer_address=value.get("peer_address", ""),
            state=self._state_of(vm),
            stopped=bool(value.get("stopped")),
        )

    def _update_state(self, vm):
        if vm in self._members:
            self._members[vm].state = self._state_of(vm)

    def _state_of(self, vm):
        if vm in self._gone:
            return GONE
        stored = self._configuration.get(REGISTRATION_PREFIX + vm)
        if stored is not None and stored.value.get("leaving"):
            return LEAVING
        listing = self._listings.get(vm)
        return UNLISTED if listing is None else listing.state

    def _notify(self):
        for listener in list(self._listeners):
            listener()
