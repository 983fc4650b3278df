"""Problems that a query can be answered with."""

from hemlockspoke.errors import Outcome, Problem

RETRY_AFTER_MS = 1000


def unknown_target(request, document):
    """Return the problem if the service or index is unknown, else None."""
    if document is None:
        return Problem(
            "unknown-service",
            404,
            "No such service",
            Outcome.NOT_RUN,
            f"no service {request.service!r} is configured",
        )
    if request.index not in document.indexes:
        return Problem(
            "unknown-index",
            404,
            "No such index",
            Outcome.NOT_RUN,
            f"service {request.service!r} has no index {request.index!r}",
        )
    return None


def overloaded(detail):
    """Return the problem of a query that could not be started for lack of capacity."""
    return Problem(
        "overloaded",
        503,
        "Too many queries",
        Outcome.NOT_RUN,
        detail,
        retry_after_ms=RETRY_AFTER_MS,
    )


def no_snapshot(request):
    """Return the problem of a query on an index without known versions."""
    return Problem(
        "no-snapshot",
        503,
        "No index version is known",
        Outcome.NOT_RUN,
        f"no server has reported a version of index {request.index!r}",
        retry_after_ms=RETRY_AFTER_MS,
    )


def coverage_too_low(answer, min_ratio):
    """Return the problem of an answer below the required coverage ratio."""
    return Problem(
        "coverage-too-low",
        503,
        "Coverage below the requested ratio",
        Outcome.FAILED,
        f"less than {min_ratio} of the parts were answered in time",
        extra={
            "snapshot": {"index": answer.index, "version": answer.version},
            "coverage": answer.coverage(),
        },
    )


def deadline_too_short(deadline_ms):
    """Return the problem of a deadline that does not exceed the answer margin."""
    return Problem(
        "deadline-too-short",
        400,
        "Deadline too short",
        Outcome.NOT_RUN,
        f"no answer can be given within {deadline_ms} ms",
    )
