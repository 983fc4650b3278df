"""Faults that the platform stand-in injects.

A fault is a JSON object with a ``kind`` and optional selectors: ``vms`` (values of
the header ``X-Vm``), ``addresses`` (addresses of callers) and ``operations`` (``get``,
``put``, ``list``, ``watch``, ``vms``). Without selectors it applies to every call.

- ``down``: calls are not applied. ``mode`` is ``unavailable`` (503, the default),
  ``close`` (the connection is closed) or ``hang`` (no reply is ever sent).
- ``slow``: the reply is sent after ``delay_ms``; with ``before_apply`` the call is
  applied only after that time, even if the caller has disconnected.
- ``lose_reply``: a write is applied and its reply lost, for the next ``count``
  writes or for a ``ratio`` of them drawn with ``seed``. ``mode`` as above, without
  ``unavailable``; ``close`` is the default.
- ``watch_silent``: watches get no reply, even after the fault has ended.
- ``silence_connections``: connections open when it is set never get a reply;
  new ones work.
- ``refuse``: the port is closed for ``duration_ms`` and connections are dropped.
"""

import random

KINDS = {
    "down": ("unavailable", "close", "hang"),
    "slow": (),
    "lose_reply": ("close", "hang"),
    "watch_silent": (),
    "silence_connections": (),
    "refuse": (),
}
SELECTORS = ("vms", "addresses", "operations")


class Fault:
    """One injected fault."""

    __slots__ = ("_fields", "_random", "kind", "mode", "remaining")

    def __init__(self, fields):
        self.kind = fields.get("kind")
        if self.kind not in KINDS:
            raise ValueError(f"unknown fault {self.kind!r}; known: {sorted(KINDS)}")
        modes = KINDS[self.kind]
        self.mode = fields.get("mode", modes[0] if modes else None)
        if modes and self.mode not in modes:
            raise ValueError(f"unknown mode {self.mode!r}; known: {modes}")
        self._fields = dict(fields)
        self._random = random.Random(fields.get("seed", 0))
        self.remaining = fields.get("count")

    def number(self, name, default=0):
        """Return a numeric field."""
        return self._fields.get(name, default)

    def matches(self, call):
        """Return whether the fault applies to a call."""
        call_values = (call.vm, call.address, call.operation)
        for selector, value in zip(SELECTORS, call_values, strict=True):
            if selector in self._fields and value not in self._fields[selector]:
                return False
        return True

    def draw_reply_loss(self):
        """Return whether this write loses its reply; uses up one of ``count``."""
        if self.remaining is not None:
            self.remaining -= 1
            return self.remaining >= 0
        return self._random.random() < self.number("ratio", 1.0)


class Faults:
    """The active faults."""

    __slots__ = ("_faults",)

    def __init__(self):
        self._faults = []

    def set(self, items):
        """Replace all faults; return those to apply immediately."""
        faults = [Fault(item) for item in items]
        immediate = ("silence_connections", "refuse")
        self._faults = [fault for fault in faults if fault.kind not in immediate]
        return [fault for fault in faults if fault.kind in immediate]

    def first_matching(self, kind, call):
        """Return the first fault of a kind that applies to the call, or None."""
        for fault in self._faults:
            if fault.kind == kind and fault.matches(call):
                return fault
        return None
