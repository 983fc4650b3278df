"""Chooses the keepers of other failure domains that are asked for tokens.

The load that it answers: many daemons that ask for more than the whole quota, which
must not cause a message between keepers for each request.
"""

import math

# Least time between two questions to a lender that had too few tokens.
RETRY_LENDER_MS = 25.0
# The same for questions ahead of demand, of which a lender keeps more.
RETRY_AHEAD_MS = 250.0
# A lender that has not answered for this time has lost the question or is cut off. A
# round trip between regions takes 40 ms.
LENDER_TIMEOUT_MS = 90.0
# A lender that did not answer is asked again after this time.
SILENT_LENDER_MS = 500.0


class _Lender:
    """What is known of one lender: its tokens at ``at_ms``, and the open question."""

    __slots__ = (
        "ahead_not_before_ms",
        "ask_id",
        "asked",
        "asked_ms",
        "at_ms",
        "not_before_ms",
        "tokens",
    )

    def __init__(self, tokens, at_ms):
        self.tokens = tokens
        self.at_ms = at_ms
        self.not_before_ms = 0.0
        self.ahead_not_before_ms = 0.0
        self.ask_id = None
        self.asked = 0
        self.asked_ms = 0.0


class Lenders:
    """The lenders of one account; those of the own region are asked first.

    >>> lenders = Lenders()
    >>> lenders.choose([["near"], ["far"]], 3, 10.0, 2.0, now_ms=0.0)
    [('near', 2), ('far', 1)]
    """

    __slots__ = ("_by_vm",)

    def __init__(self):
        self._by_vm = {}

    def choose(self, groups, count, rate_per_s, capacity, now_ms, urgent=True):
        """Return pairs of a lender and how many tokens to ask it for.

        ``groups`` has lists of VMs that can be reached, the nearest ones first.
        ``rate_per_s`` and ``capacity`` are those of a lender's bucket.
        """
        known = {vm for group in groups for vm in group}
        for vm in [vm for vm in self._by_vm if vm not in known]:
            del self._by_vm[vm]
        chosen = []
        for group in groups:
            estimates = [
                (self._estimate(vm, rate_per_s, capacity, now_ms), vm) for vm in group
            ]
            for tokens, vm in sorted(estimates, reverse=True):
                if not urgent and now_ms < self._by_vm[vm].ahead_not_before_ms:
                    continue
                usable = min(count, math.floor(tokens))
                if usable < 1:
                    break
                chosen.append((vm, usable))
                count -= usable
        return chosen

    def _estimate(self, vm, rate_per_s, capacity, now_ms):
        lender = self._by_vm.get(vm)
        if lender is None:
            self._by_vm[vm] = _Lender(capacity, now_ms)
            return capacity
        if lender.ask_id is not None or now_ms < lender.not_before_ms:
            return 0.0
        created = rate_per_s * (now_ms - lender.at_ms) / 1000.0
        return min(capacity, lender.tokens + created)

    def asked(self, vm, ask_id, count, now_ms):
        """Note a question that is being sent."""
        lender = self._by_vm[vm]
        lender.ask_id, lender.asked, lender.asked_ms = ask_id, count, now_ms

    def answered(self, vm, ask_id, count, left, empty_ms, now_ms):
        """Note an answer; return how many tokens count, and when they were asked for.

        Returns None if there is no such question, as after a repeated answer.
        """
        lender = self._by_vm.get(vm)
        if lender is None or lender.ask_id != ask_id:
            return None
        lender.ask_id = None
        lender.tokens, lender.at_ms = left, now_ms
        if count < lender.asked:
            lender.ahead_not_before_ms = now_ms + RETRY_AHEAD_MS
            if not left:
                lender.not_before_ms = now_ms + max(RETRY_LENDER_MS, empty_ms)
        return min(count, lender.asked), lender.asked_ms

    def expire(self, now_ms):
        """Give up questions that were not answered in time."""
        for lender in self._by_vm.values():
            is_late = now_ms - lender.asked_ms >= LENDER_TIMEOUT_MS
            if lender.ask_id is not None and is_late:
                lender.ask_id = None
                lender.not_before_ms = now_ms + SILENT_LENDER_MS

    def expected(self):
        """Return how many tokens have been asked for and are not answered."""
        return sum(
            lender.asked for lender in self._by_vm.values() if lender.ask_id is not None
        )

    def lost(self, vm):
        """Forget a lender whose stream is lost."""
        self._by_vm.pop(vm, None)
