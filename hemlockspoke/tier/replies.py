"""Answers of the tier's own."""

# A caller may come back once a shed request would find a free slot again.
RETRY_SOON_MS = 100
# Time in which a starting daemon usually learns the configuration.
RETRY_START_MS = 400

HTTP_NOT_FOUND = 404
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504


class Refusal:
    """An answer of the tier's own, with what it says about the request.

    Status 503 promises that the request has not run and never will.
    """

    __slots__ = ("outcome", "reason", "retry_after_ms", "status")

    def __init__(self, status, outcome, reason, retry_after_ms=None):
        self.status = status
        self.outcome = outcome
        self.reason = reason
        self.retry_after_ms = retry_after_ms

    @classmethod
    def not_run(cls, reason, retry_after_ms=RETRY_SOON_MS):
        """Return a refusal of a request that certainly has not run."""
        return cls(HTTP_UNAVAILABLE, "refused", reason, retry_after_ms)

    @classmethod
    def lost(cls, reason):
        """Return a failure after which the request may have run."""
        return cls(HTTP_BAD_GATEWAY, "failed", reason)

    @classmethod
    def timeout(cls, reason):
        """Return a failure of a request that may still run."""
        return cls(HTTP_TIMEOUT, "timeout", reason)

    @classmethod
    def no_route(cls):
        """Return the answer to a request that no route matches."""
        return cls(HTTP_NOT_FOUND, "no_route", "no route")

    def send(self, on_answer):
        """Hand over status, headers, body and reason."""
        headers = []
        if self.retry_after_ms is not None:
            seconds = b"%.3f" % (self.retry_after_ms / 1000.0)
            headers.append((b"Retry-After", seconds))
        body = self.reason.encode() + b"\n"
        headers.append((b"Content-Type", b"text/plain"))
        on_answer(self.status, headers, body, self.outcome, self.reason)
