"""Plans the changes that one daemon makes to the shares of a group of servers.

The share object of a group lists for each server its holders: the VMs that may send
requests to it, at most ``MAX_HOLDERS``. The share of a holder says how many requests
may be in progress at once (slots), how many connections may be open, and how many
requests may be in progress while the server is cold (cold-start slots). All shares of
a server together must fit its limit. The VMs that should hold its shares are its
desired holders; each is to get a portion, the limit divided by their number.

A daemon plans for itself: it claims amounts that nobody holds, takes over the shares
of gone holders (their process has ended, or their VM has left the platform), and hands
over what exceeds its portion. It never lowers the share of another live holder. The
functions only compute a proposal; the caller checks it and writes it to the store.
"""

from hemlockspoke.limits.shares import (
    MAX_HOLDERS,
    GroupShares,
    HolderShare,
    ServerShares,
    add,
    fits,
    is_empty,
    lower_of,
    subtract,
)
from hemlockspoke.requests import Share


def largest_portion(limit, holder_count):
    """Return ``limit`` divided by ``holder_count``, with each amount rounded up.

    >>> largest_portion(Share(3, 25, 1), 2)
    Share(2, 13, 1)
    """
    return Share(*(-(-amount // holder_count) for amount in limit.amounts()))


def smallest_portion(limit, holder_count):
    """Return ``limit`` divided by ``holder_count``, with each amount rounded down."""
    return Share(*(amount // holder_count for amount in limit.amounts()))


class GroupPlan:
    """A proposed share object and the conditions for writing and using it.

    ``proposed_shares`` is the ``GroupShares`` to write. ``lowered`` is the set
    of the servers in which the daemon lowers its own share; what it uses of them must
    fit the lowered share before the write. ``shares_before_takeover`` maps each server
    in which it takes over from a gone holder to the ``ServerShares`` from before.
    """

    __slots__ = ("lowered", "proposed_shares", "shares_before_takeover")

    def __init__(self, proposed_shares, lowered, shares_before_takeover):
        self.proposed_shares = proposed_shares
        self.lowered = lowered
        self.shares_before_takeover = shares_before_takeover


def plan_group(current, server_names, view):
    """Return the ``GroupPlan`` of the daemon ``view.me``, or None without a change.

    ``current`` is the ``GroupShares`` in the store as far as known, ``server_names``
    are the servers of the group in the service documents in force, and ``view`` is a
    ``ShareView``. Servers that only the share object contains are planned as well,
    so that their shares are released.
    """
    servers, lowered, shares_before_takeover = {}, set(), {}
    changed = False
    for name in sorted({*server_names, *current.servers}):
        old = current.server(name)
        planner = ServerPlanner(name, old, view)
        new = planner.propose()
        changed |= new is not old
        if new.holders or view.limit_of(name) is not None and name in current.servers:
            servers[name] = new
        own = old.share_of(view.me)
        if not fits(own, new.share_of(view.me)):
            lowered.add(name)
        if planner.took_over:
            shares_before_takeover[name] = old
    if not changed:
        return None
    return GroupPlan(GroupShares(servers=servers), lowered, shares_before_takeover)


class ServerPlanner:
    """Plans the change that one daemon makes to the shares of one server.

    ``old`` is the ``ServerShares`` in the share object. ``propose`` is called once;
    after it, ``took_over`` says whether the proposal takes over any amount from a
    gone holder. ``_entries`` is the proposed list of ``HolderShare`` so far.
    """

    __slots__ = (
        "_desired_holders",
        "_entries",
        "_limit",
        "_me",
        "_name",
        "_old",
        "_view",
        "took_over",
    )

    def __init__(self, name, old, view):
        self._name = name
        self._old = old
        self._view = view
        self._me = view.me
        self._limit = view.limit_of(name)
        self._desired_holders = []
        self._entries = list(old.holders)
        self.took_over = False

    def propose(self):
        """Return the ``ServerShares`` to propose; the old one if unchanged."""
        blocked = self._name in self._view.blocked
        if self._limit is None:
            # No document in force has limits for the server in this group.
            if not blocked:
                self._set_own_share(Share())
        elif self._old.document_version > self._limit.document_version:
            # The sum fits the limits of a newer document, which this daemon does
            # not have yet, so only a release is safe.
            if self._view.releasing and not blocked:
                self._set_own_share(Share())
        else:
            self._plan_known_limit(blocked)
        return self._result()

    def _plan_known_limit(self, blocked):
        """Plan within ``_limit``; if ``blocked``, the own share may not be lowered."""
        self._desired_holders = list(self._view.desired_holders_of(self._name))
        if self._me in self._desired_holders:
            self._claim()
            self._take_over_from_gone()
        # Lowering in the same write would release amounts that must still wait for
        # the work of a gone holder to end.
        if not blocked and not self.took_over:
            self._clip()
            self._hand_over()

    def _proposal(self):
        return ServerShares(self._old.document_version, self._entries)

    def _own_share(self):
        return self._proposal().share_of(self._me)

    def _other_entries(self):
        return [entry for entry in self._entries if entry.holder != self._me]

    def _set_own_share(self, share):
        """Set the daemon's own share; a raised one moves to the end of the list.

        If the limit is lowered, each holder uses at most what those before it in the
        list leave. A holder that still has the list from before the write then never
        uses more than the new list allows it. A share without slots is useless and
        is removed.
        """
        own = self._own_share()
        if share == own:
            return
        if share.slots == 0:
            self._entries = self._other_entries()
        elif fits(share, own):
            self._set_in_place(self._me, share)
        else:
            own_entry = HolderShare(*self._me, share)
            self._entries = [*self._other_entries(), own_entry]

    def _set_in_place(self, holder, share):
        """Set the share of a listed holder; an empty one removes the holder."""
        self._entries = [
            entry.with_share(share) if entry.holder == holder else entry
            for entry in self._entries
            if entry.holder != holder or not is_empty(share)
        ]

    def _clip(self):
        """Lower the daemon's own share to what a lowered limit leaves for it."""
        proposal = self._proposal()
        remaining = subtract(self._limit.share, proposal.sum_before(self._me))
        self._set_own_share(lower_of(self._own_share(), remaining))

    def _claim(self):
        """Claim amounts that nobody holds, up to the largest portion."""
        held = self._proposal().sum()
        if not fits(held, self._limit.share):
            return
        room = subtract(self._max_portion(), self._own_share())
        share = add(
            self._own_share(), lower_of(subtract(self._limit.share, held), room)
        )
        if self._may_be_holder():
            self._set_own_share(share)

    def _may_be_holder(self):
        """Return whether ``MAX_HOLDERS`` leaves a place for this daemon."""
        return len(self._other_entries()) < MAX_HOLDERS

    def _max_portion(self):
        return largest_portion(self._limit.share, len(self._desired_holders))

    def _take_over_from_gone(self):
        """Take over shares of gone holders, less the other desired holder's portion.

        That portion stays with the gone holder, from which the other desired holder
        takes it over in a write of its own.
        """
        reserved = self._reserved_for_other()
        for entry in self._other_entries():
            if not self._view.is_gone(*entry.holder):
                continue
            kept = lower_of(entry.share, reserved)
            if kept.slots == 0 or not self._is_only_other(entry):
                kept = Share()
            if self._own_share().slots + entry.share.slots - kept.slots == 0:
                # While the sum exceeds a lowered limit nothing can be claimed. If
                # the gone holder kept all its slots for the other desired holder,
                # neither of the two would get any slot.
                kept = Share()
            amount = subtract(entry.share, kept)
            if is_empty(amount):
                continue
            reserved = subtract(reserved, kept)
            self._take_over(entry, amount, kept)
            self.took_over = True

    def _take_over(self, gone, amount, kept):
        """Take over ``amount`` from the entry ``gone``, which keeps ``kept``.

        If possible, this daemon takes the entry's place in the list. Otherwise a
        holder later in the list could at once use more of a lowered limit, while
        work of the gone holder may still run.
        """
        own = self._own_share()
        if is_empty(own) and is_empty(kept):
            own_entry = HolderShare(*self._me, amount)
            self._entries = [
                own_entry if entry is gone else entry for entry in self._entries
            ]
            return
        self._set_in_place(gone.holder, kept)
        self._set_own_share(add(own, amount))

    def _reserved_for_other(self):
        """Return what the other desired holder lacks of the smallest portion."""
        others = [holder for holder in self._desired_holders if holder != self._me]
        if not others:
            return Share()
        portion = smallest_portion(self._limit.share, len(self._desired_holders))
        return subtract(portion, self._proposal().share_of(others[0]))

    def _is_only_other(self, gone):
        """Return whether a gone holder is the only holder besides this daemon."""
        return [entry.holder for entry in self._other_entries()] == [gone.holder]

    def _hand_over(self):
        """Hand over what exceeds the daemon's portion to other desired holders.

        A daemon that is not a desired holder hands over its whole share. It keeps
        what no other VM can take, unless it is releasing all its shares.
        """
        own = self._own_share()
        if is_empty(own):
            return
        if self._me in self._desired_holders:
            excess = subtract(own, self._max_portion())
            if not is_empty(excess):
                self._set_own_share(
                    add(subtract(own, excess), self._distribute(excess, 1))
                )
            return
        remainder = self._give_remainder(self._distribute(own, 0))
        self._set_own_share(Share() if self._view.releasing else remainder)

    def _receivers(self, own_places):
        """Return the desired holders that may get more, fewest slots first.

        ``own_places`` is 1 if this daemon remains one of the at most
        ``MAX_HOLDERS`` holders, else 0.
        """
        other_holders = [entry.holder for entry in self._other_entries()]
        free_places = MAX_HOLDERS - own_places - len(other_holders)
        receivers = []
        for holder in sorted(self._desired_holders, key=self._slots_held):
            if holder == self._me:
                continue
            if holder not in other_holders:
                if free_places < 1:
                    continue
                free_places -= 1
            receivers.append(holder)
        return receivers

    def _slots_held(self, holder):
        return self._proposal().share_of(holder).slots

    def _distribute(self, amount, own_places):
        """Give ``amount`` to receivers up to their portion; return the remainder."""
        for holder in self._receivers(own_places):
            held = self._proposal().share_of(holder)
            increase = lower_of(amount, subtract(self._max_portion(), held))
            if held.slots + increase.slots == 0 or is_empty(increase):
                continue
            self._increase(holder, increase)
            amount = subtract(amount, increase)
        return amount

    def _give_remainder(self, remainder):
        """Give a remainder that exceeds all portions to the first receiver.

        The receiver hands it over once the other holder has released its share.
        """
        if is_empty(remainder):
            return remainder
        for holder in self._receivers(0):
            if self._slots_held(holder) + remainder.slots > 0:
                self._increase(holder, remainder)
                return Share()
        return remainder

    def _increase(self, holder, increase):
        held = self._proposal().share_of(holder)
        if any(entry.holder == holder for entry in self._entries):
            self._set_in_place(holder, add(held, increase))
        else:
            self._entries.append(HolderShare(*holder, increase))

    def _result(self):
        """Return the proposal with the newest document version whose limits it fits."""
        proposed = self._proposal()
        if proposed.to_value() == self._old.to_value():
            return self._old
        if self._limit is None or not fits(proposed.sum(), self._limit.share):
            return proposed
        version = max(self._old.document_version, self._limit.document_version)
        proposed.document_version = version
        return proposed
