"""Runtime checks of invariants, active in tests and in production."""

import logging

from hemlockspoke.errors import InvariantViolation

logger = logging.getLogger(__name__)


class Invariants:
    """Counts checks and violations by name.

    With ``strict`` a violation raises ``InvariantViolation``. A daemon in production
    logs it, and the calling code continues with its safe alternative.
    """

    __slots__ = ("strict", "violations")

    def __init__(self, strict=True):
        self.strict = strict
        self.violations = {}

    def check(self, name, holds, detail=""):
        """Return ``holds``; report a violation when it is false."""
        if holds:
            return True
        self.violations[name] = self.violations.get(name, 0) + 1
        logger.error("invariant violated", extra={"invariant": name, "detail": detail})
        if self.strict:
            raise InvariantViolation(f"{name}: {detail}")
        return False
