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


def largest_part(limit, holder_count):
    """Return the most that one of ``holder_count`` holders takes of ``limit``.

    >>> largest_part(Share(3, 25, 1), 2)
    Share(2, 13, 1)
    """
    return Share(*(-(-amount // holder_count) for amount in limit.amounts()))


def smallest_part(limit, holder_count):
    """Return what each of ``holder_count`` holders gets of ``limit`` at least."""
    return Share(*(amount // holder_count for amount in limit.amounts()))


class GroupPlan:
    """A proposed share object and what the daemon must do for it.

    ``lowered`` names the servers in which the daemon's own share goes down, so
    that its use must fit before the write. ``taken`` maps the servers in which it
    replaces a gone holder to the ``ServerShares`` before.
    """

    __slots__ = ("group", "lowered", "taken")

    def __init__(self, group, lowered, taken):
        self.group = group
        self.lowered = lowered
        self.taken = taken


def plan_group(group, names, view):
    """Return the ``GroupPlan`` of ``view.me``, or None if nothing is to change.

    ``names`` are the servers of the group in the documents in force; those that
    only the share object names are planned as well.
    """
    servers, lowered, taken = {}, set(), {}
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
            taken[name] = old
    if not changed:
        return None
    return GroupPlan(GroupShares(servers=servers), lowered, taken)


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
            # The limits that the sum fits are unknown here until the newer
            # document arrives, so only a release is safe to plan.
            if self._view.releasing and not blocked:
                self._set_own(Share())
        else:
            self._run_known(blocked)
        return self._result()

    def _run_known(self, blocked):
        self._desired = list(self._view.desired(self._name))
        if self._me in self._desired:
            self._claim()
            self._replace_gone()
        # Lowering in the same write would set amounts free whose wait is pending.
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
        """Set the daemon's own share; a raised one goes to the end.

        A holder that clips by an older order then never counts on more than the
        new order leaves to it. A share without slots is of no use and is dropped.
        """
        own = self._own()
        if share == own:
            return
        if share.slots == 0:
            self._holders = self._others()
        elif fits(share, own):
            self._replace(self._me, share)
        else:
            mine = HolderShare(*self._me, share)
            self._holders = [*self._others(), mine]

    def _replace(self, holder, share):
        self._holders = [
            item.with_share(share) if item.holder == holder else item
            for item in self._holders
            if item.holder != holder or not is_empty(share)
        ]

    def _clip(self):
        """Lower the daemon's own share to what a lowered limit leaves to it."""
        shares = self._shares()
        remaining = subtract(self._limit.share, shares.before(self._me))
        self._set_own(lower_of(self._own(), remaining))

    def _claim(self):
        """Take what nobody holds, up to the part of one desired holder."""
        held = self._shares().sum()
        if not fits(held, self._limit.share):
            return
        room = subtract(self._largest_part(), self._own())
        share = add(self._own(), lower_of(subtract(self._limit.share, held), room))
        if self._may_hold():
            self._set_own(share)

    def _may_hold(self):
        return len(self._others()) < MAX_HOLDERS

    def _largest_part(self):
        return largest_part(self._limit.share, len(self._desired))

    def _replace_gone(self):
        """Take the shares of gone holders, less what the other holder is due."""
        due = self._due_to_other()
        for item in self._others():
            if not self._view.is_gone(*item.holder):
                continue
            left = lower_of(item.share, due)
            if left.slots == 0 or not self._has_room_beside(item):
                left = Share()
            if self._own().slots + item.share.slots - left.slots == 0:
                # With the sum over a lowered limit nothing can be claimed, so a
                # rest for the other holder would keep both from any slot.
                left = Share()
            taken = subtract(item.share, left)
            if is_empty(taken):
                continue
            due = subtract(due, left)
            self._take(item, taken, left)
            self.took_from_gone = True

    def _take(self, gone, taken, left):
        """Take a share of a gone holder, as a new holder in its very place.

        A holder behind it would otherwise count on more of a lowered limit at
        once, while work of the gone holder may still run.
        """
        own = self._own()
        if is_empty(own) and is_empty(left):
            mine = HolderShare(*self._me, taken)
            self._holders = [mine if item is gone else item for item in self._holders]
            return
        self._replace(gone.holder, left)
        self._set_own(add(own, taken))

    def _due_to_other(self):
        others = [holder for holder in self._desired if holder != self._me]
        if not others:
            return Share()
        part = smallest_part(self._limit.share, len(self._desired))
        return subtract(part, self._shares().share_of(others[0]))

    def _has_room_beside(self, gone):
        """Tell whether a gone holder may keep a rest beside this daemon."""
        return [item.holder for item in self._others()] == [gone.holder]

    def _hand_over(self):
        """Give what exceeds the daemon's part to the other desired holders."""
        own = self._own()
        if is_empty(own):
            return
        if self._me in self._desired:
            excess = subtract(own, self._largest_part())
            if not is_empty(excess):
                self._set_own(add(subtract(own, excess), self._give(excess, 1)))
            return
        rest = self._fold(self._give(own, 0))
        self._set_own(Share() if self._view.releasing else rest)

    def _receivers(self, seats_kept):
        """Return the desired holders that may get more, neediest first."""
        current = [item.holder for item in self._others()]
        seats = MAX_HOLDERS - seats_kept - len(current)
        receivers = []
        for holder in sorted(self._desired, key=self._slots_held):
            if holder == self._me:
                continue
            if holder not in current:
                if seats < 1:
                    continue
                seats -= 1
            receivers.append(holder)
        return receivers

    def _slots_held(self, holder):
        return self._shares().share_of(holder).slots

    def _give(self, amount, seats_kept):
        """Give ``amount`` to receivers up to their part; return the rest."""
        for holder in self._receivers(seats_kept):
            held = self._shares().share_of(holder)
            given = lower_of(amount, subtract(self._largest_part(), held))
            if held.slots + given.slots == 0 or is_empty(given):
                continue
            self._raise(holder, given)
            amount = subtract(amount, given)
        return amount

    def _fold(self, rest):
        """Give a rest that fits no receiver's part to the first of them.

        The receiver hands it on once the other holder has made room.
        """
        if is_empty(rest):
            return rest
        for holder in self._receivers(0):
            if self._slots_held(holder) + rest.slots > 0:
                self._raise(holder, rest)
                return Share()
        return rest

    def _raise(self, holder, given):
        held = self._shares().share_of(holder)
        if any(item.holder == holder for item in self._holders):
            self._replace(holder, add(held, given))
        else:
            self._holders.append(HolderShare(*holder, given))

    def _result(self):
        """Return the proposal, naming the newest version whose limits it fits."""
        proposed = self._shares()
        if proposed.to_value() == self._old.to_value():
            return self._old
        if self._limit is None or not fits(proposed.sum(), self._limit.share):
            return proposed
        version = max(self._old.document_version, self._limit.document_version)
        proposed.document_version = version
        return proposed
