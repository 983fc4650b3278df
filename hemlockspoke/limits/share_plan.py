"""Plans the changes that one daemon makes to the shares of a group."""

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
    """Return the largest portion of ``limit`` for one of ``holder_count`` holders.

    >>> largest_portion(Share(3, 25, 1), 2)
    Share(2, 13, 1)
    """
    return Share(*(-(-amount // holder_count) for amount in limit.amounts()))


def smallest_portion(limit, holder_count):
    """Return the smallest portion of ``limit`` for one of ``holder_count`` holders."""
    return Share(*(amount // holder_count for amount in limit.amounts()))


class GroupPlan:
    """A proposed share object and the conditions for writing and using it.

    ``lowered`` names the servers in which the daemon lowers its own share; its use
    must fit the lowered share before the write. ``replaced`` maps each server in
    which it replaces a gone holder to the ``ServerShares`` before the change.
    """

    __slots__ = ("group", "lowered", "replaced")

    def __init__(self, group, lowered, replaced):
        self.group = group
        self.lowered = lowered
        self.replaced = replaced


def plan_group(group, names, view):
    """Return the ``GroupPlan`` of ``view.me``, or None if nothing is to change.

    ``names`` are the servers of the group in the documents in force. Servers that
    only the share object contains are planned as well.
    """
    servers, lowered, replaced = {}, set(), {}
    changed = False
    for name in sorted({*names, *group.servers}):
        old = group.server(name)
        plan = ServerPlan(name, old, view)
        new = plan.run()
        changed |= new is not old
        if new.holders or view.limits(name) is not None and name in group.servers:
            servers[name] = new
        own = old.share_of(view.me)
        if not fits(own, new.share_of(view.me)):
            lowered.add(name)
        if plan.took_from_gone:
            replaced[name] = old
    if not changed:
        return None
    return GroupPlan(GroupShares(servers=servers), lowered, replaced)


class ServerPlan:
    """The change that one daemon makes to the shares of one server."""

    __slots__ = (
        "_desired",
        "_holders",
        "_limit",
        "_me",
        "_name",
        "_old",
        "_view",
        "took_from_gone",
    )

    def __init__(self, name, old, view):
        self._name = name
        self._old = old
        self._view = view
        self._me = view.me
        self._limit = view.limits(name)
        self._desired = []
        self._holders = list(old.holders)
        self.took_from_gone = False

    def run(self):
        """Return the ``ServerShares`` to propose; the old one if unchanged."""
        blocked = self._name in self._view.blocked
        if self._limit is None:
            if not blocked:
                self._set_own(Share())
        elif self._old.document_version > self._limit.document_version:
            # The sum fits the limits of a newer document, which this daemon does
            # not have yet, so only a release is safe.
            if self._view.releasing and not blocked:
                self._set_own(Share())
        else:
            self._plan_known_limit(blocked)
        return self._result()

    def _plan_known_limit(self, blocked):
        self._desired = list(self._view.desired(self._name))
        if self._me in self._desired:
            self._claim()
            self._replace_gone()
        # Lowering in the same write would release amounts that must still wait for
        # the work of a gone holder.
        if not blocked and not self.took_from_gone:
            self._clip()
            self._hand_over()

    def _shares(self):
        return ServerShares(self._old.document_version, self._holders)

    def _own(self):
        return self._shares().share_of(self._me)

    def _others(self):
        return [item for item in self._holders if item.holder != self._me]

    def _set_own(self, share):
        """Set the daemon's own share; a raised one moves to the end of the holders.

        A holder that still clips by the older order then never uses more than the
        new order allows it. A share without slots is useless and is removed.
        """
        own = self._own()
        if share == own:
            return
        if share.slots == 0:
            self._holders = self._others()
        elif fits(share, own):
            self._replace(self._me, share)
        else:
            own_entry = HolderShare(*self._me, share)
            self._holders = [*self._others(), own_entry]

    def _replace(self, holder, share):
        self._holders = [
            item.with_share(share) if item.holder == holder else item
            for item in self._holders
            if item.holder != holder or not is_empty(share)
        ]

    def _clip(self):
        """Lower the daemon's own share to what a lowered limit leaves for it."""
        shares = self._shares()
        remaining = subtract(self._limit.share, shares.sum_before(self._me))
        self._set_own(lower_of(self._own(), remaining))

    def _claim(self):
        """Claim amounts that nobody holds, up to one desired holder's portion."""
        held = self._shares().sum()
        if not fits(held, self._limit.share):
            return
        room = subtract(self._max_portion(), self._own())
        share = add(self._own(), lower_of(subtract(self._limit.share, held), room))
        if self._may_hold():
            self._set_own(share)

    def _may_hold(self):
        return len(self._others()) < MAX_HOLDERS

    def _max_portion(self):
        return largest_portion(self._limit.share, len(self._desired))

    def _replace_gone(self):
        """Take over shares of gone holders, less the other desired holder's portion."""
        reserved = self._reserved_for_other()
        for item in self._others():
            if not self._view.is_gone(*item.holder):
                continue
            kept = lower_of(item.share, reserved)
            if kept.slots == 0 or not self._is_only_other(item):
                kept = Share()
            if self._own().slots + item.share.slots - kept.slots == 0:
                # While the sum exceeds a lowered limit nothing can be claimed. If
                # the gone holder kept all its slots for the other desired holder,
                # neither of the two would get any slot.
                kept = Share()
            amount = subtract(item.share, kept)
            if is_empty(amount):
                continue
            reserved = subtract(reserved, kept)
            self._take_over(item, amount, kept)
            self.took_from_gone = True

    def _take_over(self, gone, amount, kept):
        """Take over a share of a gone holder, in the same place if possible.

        Otherwise a later holder could at once use more of a lowered limit, while
        work of the gone holder may still run.
        """
        own = self._own()
        if is_empty(own) and is_empty(kept):
            own_entry = HolderShare(*self._me, amount)
            self._holders = [
                own_entry if item is gone else item for item in self._holders
            ]
            return
        self._replace(gone.holder, kept)
        self._set_own(add(own, amount))

    def _reserved_for_other(self):
        others = [holder for holder in self._desired if holder != self._me]
        if not others:
            return Share()
        portion = smallest_portion(self._limit.share, len(self._desired))
        return subtract(portion, self._shares().share_of(others[0]))

    def _is_only_other(self, gone):
        """Return whether a gone holder is the only holder besides this daemon."""
        return [item.holder for item in self._others()] == [gone.holder]

    def _hand_over(self):
        """Give what exceeds the daemon's portion to the other desired holders."""
        own = self._own()
        if is_empty(own):
            return
        if self._me in self._desired:
            excess = subtract(own, self._max_portion())
            if not is_empty(excess):
                self._set_own(add(subtract(own, excess), self._distribute(excess, 1)))
            return
        remainder = self._give_remainder(self._distribute(own, 0))
        self._set_own(Share() if self._view.releasing else remainder)

    def _receivers(self, reserved_places):
        """Return the desired holders that may get more, fewest slots first."""
        current = [item.holder for item in self._others()]
        free_places = MAX_HOLDERS - reserved_places - len(current)
        receivers = []
        for holder in sorted(self._desired, key=self._slots_held):
            if holder == self._me:
                continue
            if holder not in current:
                if free_places < 1:
                    continue
                free_places -= 1
            receivers.append(holder)
        return receivers

    def _slots_held(self, holder):
        return self._shares().share_of(holder).slots

    def _distribute(self, amount, reserved_places):
        """Give ``amount`` to receivers up to their portion; return the remainder."""
        for holder in self._receivers(reserved_places):
            held = self._shares().share_of(holder)
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
        held = self._shares().share_of(holder)
        if any(item.holder == holder for item in self._holders):
            self._replace(holder, add(held, increase))
        else:
            self._holders.append(HolderShare(*holder, increase))

    def _result(self):
        """Return the proposal with the newest document version whose limits it fits."""
        proposed = self._shares()
        if proposed.to_value() == self._old.to_value():
            return self._old
        if self._limit is None or not fits(proposed.sum(), self._limit.share):
            return proposed
        version = max(self._old.document_version, self._limit.document_version)
        proposed.document_version = version
        return proposed
