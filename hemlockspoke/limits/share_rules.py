"""Checks a proposed share object against the old one by the rules R1 to R5.

For each server:

- R1: Each holder is listed once, there are at most ``MAX_HOLDERS``, and the sum of
  the shares is within the limits.
- R2: Only the shares of the writer and of gone holders are lowered.
- R3: The writer takes over all amounts that it removes from gone holders.
- R4: The amounts by which other holders are raised come from the writer's share, and
  only desired holders claim what nobody holds.
- R5: The sum of the shares listed before another live holder does not rise, and it
  falls by at most the writer's own share. That holder may use only what the sum
  leaves of the limit.
"""

from hemlockspoke.findings import Finding, Findings
from hemlockspoke.limits.shares import MAX_HOLDERS, fits, is_empty, subtract, total
from hemlockspoke.requests import Share


def check_proposal(old, new, view):
    """Return the ``Findings`` on the object that ``view.me`` proposes to write.

    ``old`` and ``new`` are ``GroupShares``. The write is permitted if there are no
    findings.
    """
    findings = Findings()
    for name in sorted({*old.servers, *new.servers}):
        ServerCheck(name, old, new, view, findings).run()
    return findings


class ServerCheck:
    """Checks what a proposal changes in the shares of one server."""

    __slots__ = ("_findings", "_limit", "_name", "_new", "_old", "_view")

    def __init__(self, name, old, new, view, findings):
        self._name = name
        self._old = old.server(name)
        self._new = new.server(name)
        self._view = view
        self._findings = findings
        self._limit = view.limit_of(name)

    def run(self):
        """Check every rule."""
        if not self._well_formed():
            return
        if self._new.holders or self._limit is not None:
            self._check_version()
        self._check_sum()
        self._check_lowered()
        self._check_raised()
        self._check_order()

    def _report(self, rule, found, allowed):
        path = f"servers.{self._name}"
        self._findings.add(Finding(path, f"{rule}: {found}", allowed))

    def _well_formed(self):
        holders = [item.holder for item in self._new.holders]
        previous_count = len(self._findings)
        if len(set(holders)) != len(holders):
            self._report("R1", f"holders {holders}", "each holder once")
        if len(holders) > MAX_HOLDERS:
            self._report("R1", f"{len(holders)} holders", f"at most {MAX_HOLDERS}")
        if any(min(item.share.amounts()) < 0 for item in self._new.holders):
            self._report("R1", "a negative amount", "amounts of 0 or more")
        known = {item.holder for item in self._old.holders}
        for item in self._new.holders:
            if item.holder not in known and item.share.slots < 1:
                self._report("R1", f"{item.vm} without a slot", "1 slot or more")
        return len(self._findings) == previous_count

    def _check_version(self):
        if self._new.document_version < self._old.document_version:
            found = f"document version {self._new.document_version}"
            self._report("R1", found, f"{self._old.document_version} or later")

    def _check_sum(self):
        """Check the sum against the limits of the proposal's document version.

        Only the limits of the version in force are known. With any other version
        the sum may stay or decrease, since the old sum fitted that version.
        """
        held, allowed = self._new.sum(), self._old.sum()
        limit = self._limit
        version = self._new.document_version
        if limit is not None and limit.document_version == version:
            allowed = limit.share
            if version == self._old.document_version and fits(held, self._old.sum()):
                return
        elif version != self._old.document_version and self._new.holders:
            self._report(
                "R1",
                f"unknown document version {version}",
                "the old version or the one in force",
            )
            return
        if not fits(held, allowed):
            self._report("R1", f"a sum of {held}", f"at most {allowed}")

    def _check_lowered(self):
        for item in self._old.holders:
            lowered = subtract(item.share, self._new.share_of(item.holder))
            if item.holder == self._view.me or is_empty(lowered):
                continue
            if not self._view.is_gone(*item.holder):
                found = f"{item.vm} lowered by {lowered}"
                self._report("R2", found, "no decrease for a holder that is not gone")

    def _check_raised(self):
        """Check that raised amounts are released, claimed or taken over.

        ``freed`` is what the writer releases and ``gone`` what the proposal removes
        from gone holders; ``others`` and ``own`` are the amounts raised.
        """
        freed = self._lowered_amount(lambda holder: holder == self._view.me)
        gone = self._lowered_amount(
            lambda holder: holder != self._view.me and self._view.is_gone(*holder)
        )
        others = total(
            self._raised_amount(item.holder)
            for item in self._new.holders
            if item.holder != self._view.me
        )
        if not fits(others, freed):
            found = f"other holders raised by {others}"
            self._report("R4", found, f"at most the freed {freed}")
        own = self._raised_amount(self._view.me)
        if not fits(gone, own):
            # Only the VM that takes over an amount waits before using it. An amount
            # that nobody holds could be claimed and used at once.
            found = f"{gone} of gone holders removed, {own} taken"
            self._report("R3", found, "all of it taken by the writer")
        if not fits(own, gone) and self._view.me not in self._view.desired_holders_of(
            self._name
        ):
            self._report("R4", f"a claim of {own}", "claims by desired holders only")

    def _check_order(self):
        """Check the sum of the shares listed before each other live holder.

        A holder clips its use to what this sum leaves of the limit, and one that has
        not read this write clips by the old list. If the new sum before it were
        larger, the holders together could exceed a lowered limit. If it were smaller
        because a gone holder was removed, the holder could use amounts on which the
        gone holder's work may still run.
        """
        kept = {item.holder for item in self._old.holders}
        for item in self._new.holders:
            if item.holder == self._view.me or item.holder not in kept:
                continue
            if self._view.is_gone(*item.holder):
                continue
            old_sum = self._old.sum_before(item.holder)
            new_sum = self._new.sum_before(item.holder)
            if not fits(new_sum, old_sum):
                found = f"{new_sum} before {item.vm}"
                self._report("R5", found, f"at most {old_sum}")
            needed = subtract(old_sum, self._own_before(item.holder))
            if not fits(needed, new_sum):
                found = f"{new_sum} before {item.vm}"
                self._report("R5", found, f"at least {needed}")

    def _own_before(self, holder):
        """Return the writer's old share if it preceded ``holder``, else none."""
        order = [item.holder for item in self._old.holders]
        me = self._view.me
        if me in order and order.index(me) < order.index(holder):
            return self._old.share_of(me)
        return Share()

    def _lowered_amount(self, is_included):
        return total(
            subtract(item.share, self._new.share_of(item.holder))
            for item in self._old.holders
            if is_included(item.holder)
        )

    def _raised_amount(self, holder):
        return subtract(self._new.share_of(holder), self._old.share_of(holder))
