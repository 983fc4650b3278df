"""Errors and the problems reported to callers."""

from enum import Enum


class HumanReadableError(Exception):
    """An error whose text is shown to the user unchanged."""


class InvariantViolation(AssertionError):
    """An invariant does not hold, which is a defect of the program."""


class StoreErrorKind(Enum):
    """Kinds of failed store calls, by what is known of their effect."""

    # A conditional write was not applied, as the object has another version.
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    # The call has certainly not been applied.
    UNAVAILABLE = "unavailable"
    # The call may have been applied; only reading back can tell.
    UNKNOWN = "unknown"


class StoreError:
    """A store call that did not succeed.

    ``version`` is the current version of the object if a conflict reports it.
    """

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
    # The upstream reported that it did not run the request.
    SHED = "shed"
    DRAINING = "draining"
    VERSION_GONE = "version_gone"
    # The request may have run if it was sent.
    TIMEOUT = "timeout"
    STALLED = "stalled"
    BROKEN = "broken"
    # The upstream replied, but with an error or with something malformed.
    FAILED = "failed"
    # This daemon cancelled the request, which may have run if it was sent.
    CANCELLED = "cancelled"


class UpstreamError:
    """A request that an upstream did not answer.

    ``sent`` is true if the first byte of the request may have been sent.
    ``incarnation`` and ``indexes`` are those that the server has reported, or None.
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
    """Whether a refused or failed request was run, as far as is known."""

    # It certainly was not run and may be sent again.
    NOT_RUN = "not_run"
    # It may have been run.
    UNKNOWN = "unknown"
    # It was processed, at least in part, but there is no answer to return.
    FAILED = "failed"


class Problem:
    """An error for a caller, as RFC 9457 describes it.

    ``name`` is the stable last part of its type URN. ``findings`` lists all mistakes
    in the request, ``extra`` holds additional members.
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
