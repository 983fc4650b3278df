"""Which VMs are live, leaving or gone, and their incarnations."""

REGISTRATION_PREFIX = "vms/"

LIVE = "live"
LEAVING = "leaving"
GONE = "gone"
UNLISTED = "unlisted"

# A VM counts as gone only after this many readings without it in a row. The time
# span alone would let two readings that bracket a long loss of the store suffice.
MIN_MISSING_READINGS = 3


def registration_incarnation(stored):
    """Return the incarnation that a ``vms/`` object registers.

    It is the store version of the registration. A later update by the same
    process, such as its announcement that it leaves, names the incarnation it
    continues.
    """
    return stored.value.get("incarnation", stored.version)


class Member:
    """A registered VM and its state."""

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
    """What the readings of the platform's list have said of one VM."""

    __slots__ = ("missing_readings", "missing_since_ms", "missing_until_ms", "state")

    def __init__(self, state=LIVE):
        self.state = state
        self.note_present(state)

    def note_present(self, state):
        """Record a reading that lists the VM."""
        self.state = state
        self.missing_readings = 0
        self.missing_since_ms = None
        self.missing_until_ms = None

    def note_missing(self, now_ms):
        """Record a reading that does not list the VM."""
        self.missing_readings += 1
        if self.missing_since_ms is None:
            self.missing_since_ms = now_ms
        self.missing_until_ms = now_ms

    def missing_longer_than(self, span_ms):
        """Tell whether consecutive readings over more than ``span_ms`` miss it."""
        if self.missing_readings < MIN_MISSING_READINGS:
            return False
        return self.missing_until_ms - self.missing_since_ms > span_ms


class Membership:
    """Joins the platform's list of VMs with the registrations.

    ``subscribe`` takes a listener that is called without arguments after the
    list or the registrations have changed the state of any VM.
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
            self._join(stored)
        configuration.subscribe(self._adopted)

    def subscribe(self, listener):
        """Call ``listener()`` after the state of a VM has changed."""
        self._listeners.append(listener)

    def note_list(self, vm_list):
        """Take one reading of the platform's list."""
        now_ms = self._clock.now_ms()
        self._lag_ms = max(self._lag_ms, vm_list.lag_ms)
        changed = self._note_present(vm_list.vms)
        present = {listed.vm for listed in vm_list.vms}
        for vm, listing in list(self._listings.items()):
            if vm not in present:
                listing.note_missing(now_ms)
                changed |= self._judge(vm, listing)
        if changed:
            self._notify()

    def note_holder(self, vm):
        """Record that a share object names ``vm``, so it was listed once.

        Shares are claimed by and handed to listed VMs only. Without this a
        process that started after the VM had vanished could never count it as
        gone, and its shares would be lost for good.
        """
        if vm not in self._listings and vm not in self._gone:
            self._listings[vm] = Listing(UNLISTED)

    def members(self):
        """Return all registered VMs."""
        return list(self._members.values())

    def live(self):
        """Return the registered VMs that are listed, not leaving and not gone.

        Registrations are never deleted, so a VM that no reading has listed is
        left out: it may have vanished long ago.
        """
        return [member for member in self._members.values() if member.state == LIVE]

    def is_gone(self, vm, incarnation):
        """Tell whether this incarnation of ``vm`` can never act again."""
        if vm in self._gone:
            return True
        member = self._members.get(vm)
        return member is not None and member.incarnation > incarnation

    def has_stopped(self, vm, incarnation):
        """Tell whether this incarnation has written that it uses no share again.

        It may still finish requests, so it is not gone as a peer.
        """
        member = self._members.get(vm)
        return member is not None and (
            member.stopped and member.incarnation >= incarnation
        )

    def _note_present(self, listed_vms):
        changed = False
        for listed in listed_vms:
            listing = self._listings.get(listed.vm)
            if listing is None:
                listing = self._listings[listed.vm] = Listing(UNLISTED)
            changed |= listing.state != listed.state or listed.vm in self._gone
            listing.note_present(listed.state)
            self._gone.discard(listed.vm)
            self._update_state(listed.vm)
        return changed

    def _judge(self, vm, listing):
        """Mark ``vm`` as gone if the readings prove it; true if they do."""
        if not listing.missing_longer_than(self._lag_ms + self._gone_margin_ms):
            return False
        self._gone.add(vm)
        del self._listings[vm]
        self._update_state(vm)
        return True

    def _adopted(self, key):
        if key.startswith(REGISTRATION_PREFIX):
            self._join(self._configuration.get(key))
            self._notify()

    def _join(self, stored):
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
