"""Problems of requests that callers get before a query or an order is run."""

from hemlockspoke.errors import Outcome, Problem

MAX_BODY_BYTES = 1024 * 1024
RETRY_AFTER_MS = 1000


def _not_run(name, status, title, detail, retry_after_ms=None):
    return Problem(
        name, status, title, Outcome.NOT_RUN, detail, retry_after_ms=retry_after_ms
    )


def body_too_large():
    """Return the problem of a body over the size limit."""
    detail = f"a body has at most {MAX_BODY_BYTES} bytes"
    return _not_run("body-too-large", 413, "Body too large", detail)


def malformed_http():
    """Return the problem of bytes that are not an HTTP request."""
    return _not_run("malformed-http", 400, "Malformed HTTP", "not an HTTP/1.1 request")


def unknown_path():
    """Return the problem of an unknown path."""
    detail = (
        "paths are /v1/services/<service>/indexes/<index>/query and …/orders/<name>"
    )
    return _not_run("unknown-path", 404, "No such path", detail)


def wrong_method(method):
    """Return the problem of a method other than POST."""
    detail = f"{method.decode('ascii', 'replace')} is not allowed; use POST"
    return _not_run("method-not-allowed", 405, "Method not allowed", detail)


def not_ready(reason):
    """Return the problem of a daemon that accepts no new work."""
    title = "This daemon takes no new work"
    return _not_run("not-ready", 503, title, reason, RETRY_AFTER_MS)


def internal_error(outcome):
    """Return the problem of a defect in this program."""
    return Problem("internal-error", 500, "Internal error", outcome)
