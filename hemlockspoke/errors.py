"""Errors of the program."""

from enum import Enum


class HumanReadableError(Exception):
    """An error whose text is shown to a person as it stands."""


class InvariantViolation(AssertionError):
    """A promise of the program does not hold; this is a defect."""


class StoreErrorKind(Enum):
    """What is known of a store call that did not succeed."""

    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    # The call has certainly not been applied.
    UNAVAILABLE = "unavailable"
    # The call may have been applied; read back before claiming either.
    UNKNOWN = "unknown"


class StoreError:
    """Why a store call did not succeed."""

    __slots__ = ("detail", "kind", "version")

    def __init__(self, kind, detail="", version=None):
        self.kind = kind
        self.detail = detail
        self.version = version

    def __repr__(self):
        return f"StoreError({self.kind.value}, {self.detail!r})"


class UpstreamErrorKind(Enum):
    """How a request to an upstream ended without an answer."""

    # Nothing was sent: no connection could be made.
    REFUSED = "refused"
    # The upstream says that it did not run the request.
    SHED = "shed"
    DRAINING = "draining"
    VERSION_GONE = "version_gone"
    # The request may have run.
    TIMEOUT = "timeout"
    STALLED = "stalled"
    BROKEN = "broken"
    # The upstream replied, but with an error or with something malformed.
    FAILED = "failed"
    CANCELLED = "cancelled"


class UpstreamError:
    """Why an upstream gave no answer, with what it said of itself.

    ``sent`` tells whether the first byte of the request may have left.
    """

    __slots__ = ("detail", "incarnation", "indexes", "kind", "sent")

    def __init__(self, kind, sent, detail="", incarnation=None, indexes=None):
        self.kind = kind
        self.sent = sent
        self.detail = detail
        self.incarnation = incarnation
        self.indexes = indexes

    def __repr__(self):
        return f"UpstreamError({self.kind.value}, sent={self.sent}, {self.detail!r})"


class Outcome(Enum):
    """What a caller may rely on after a refusal or a failure."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"


class Problem:
    """An error for a caller, as RFC 9457 describes it.

    ``name`` is the stable end of its type URN. ``findings`` lists all that is
    wrong with the request, ``extra`` holds further members.
    """

    __slots__ = (
        "detail",
        "extra",
        "findings",
        "name",
        "outcome",
        "retry_after_ms",
        "status",
        "title",
    )

    def __init__(
        self,
        name,
        status,
        title,
        outcome,
        detail="",
        *,
        findings=(),
        retry_after_ms=None,
        extra=None,
    ):
        self.name = name
        self.status = status
        self.title = title
        self.outcome = outcome
        self.detail = detail
        self.findings = list(findings)
        self.retry_after_ms = retry_after_ms
        self.extra = dict(extra or {})

    def to_json(self):
        """Return the members of the problem document."""
        body = {
            "type": f"urn:hemlockspoke:problem:{self.name}",
            "title": self.title,
            "status": self.status,
            "detail": self.detail,
            "outcome": self.outcome.value,
        }
        if self.findings:
            body["findings"] = [finding.to_json() for finding in self.findings]
        body.update(self.extra)
        return body
