"""Limits the memory that callers' connections may hold together.

Answers the load of many connections that each stay within the limits of a request, but
send bodies that they never complete, or read no answers.
"""

# After the budget was exceeded, connections are closed until this fraction of it is in
# use. Otherwise each further packet would make another choice necessary.
LOW_WATER_FRACTION = 0.9
# Added to the time that a request has taken, so that of connections that began together
# those that hold most go first.
AGE_OFFSET_MS = 100.0


class HeldMemory:
    """What one connection holds.

    ``since_ms`` is the clock time at which it began to hold bytes that it may have to
    give up: those of a request that is not complete or has not begun, or of an answer
    that its caller does not read. It is None while it holds no such bytes.
    ``give_up()`` is called when the connection must give them up.
    """

    __slots__ = ("give_up", "held_bytes", "since_ms")

    def __init__(self, give_up=None):
        self.give_up = give_up
        self.held_bytes = 0
        self.since_ms = None


class MemoryBudget:
    """One budget of bytes for all connections of a process.

    >>> budget = MemoryBudget(1000)
    >>> stuck, honest = HeldMemory(), HeldMemory()
    >>> stuck.since_ms, honest.since_ms = 0.0, 5000.0
    >>> budget.reserve(stuck, 800, now_ms=0.0)
    []
    >>> budget.reserve(honest, 300, now_ms=5010.0) == [stuck]
    True
    """

    __slots__ = ("_holders", "held_bytes", "limit_bytes")

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._holders = set()

    def reserve(self, holder, count, now_ms):
        """Add ``count`` bytes to a holder; return the holders that must give up theirs.

        Those that hold most for longest go first, so a request that is still coming in
        is preferred to those that have stopped. Requests that are being answered are
        never among them.
        """
        self._change(holder, count)
        if self.held_bytes <= self.limit_bytes:
            return []
        return self._choose(now_ms)

    def release(self, holder, count):
        """Take ``count`` bytes from a holder."""
        self._change(holder, -count)

    def _change(self, holder, count):
        holder.held_bytes += count
        self.held_bytes += count
        if holder.held_bytes:
            self._holders.add(holder)
        else:
            self._holders.discard(holder)

    def _choose(self, now_ms):
        candidates = [holder for holder in self._holders if holder.since_ms is not None]
        candidates.sort(
            key=lambda holder: (
                holder.held_bytes * (now_ms - holder.since_ms + AGE_OFFSET_MS)
            ),
            reverse=True,
        )
        excess = self.held_bytes - LOW_WATER_FRACTION * self.limit_bytes
        chosen = []
        for holder in candidates:
            if excess <= 0:
                break
            chosen.append(holder)
            excess -= holder.held_bytes
        return chosen
