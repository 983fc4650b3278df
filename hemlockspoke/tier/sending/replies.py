"""Error replies that the tier itself sends to callers."""

# Time after which a request that servers have refused usually finds a free slot.
RETRY_AFTER_SHED_MS = 100
# Time in which a starting daemon usually reads the configuration.
RETRY_AFTER_START_MS = 400

# Outcome of a request that certainly has not run.
REFUSED = "refused"

HTTP_UNAUTHORIZED = 401
HTTP_NOT_FOUND = 404
HTTP_TOO_MANY_REQUESTS = 429
HTTP_BAD_GATEWAY = 502
HTTP_UNAVAILABLE = 503
HTTP_TIMEOUT = 504


class ErrorReply:
    """An error reply of the tier, with the outcome of the request and a reason.

    Statuses 429 and 503 guarantee that the request has not run and never will.
    """

    __slots__ = ("outcome", "reason", "retry_after_ms", "status")

    def __init__(self, status, outcome, reason, retry_after_ms=None):
        self.status = status
        self.outcome = outcome
        self.reason = reason
        self.retry_after_ms = retry_after_ms

    @classmethod
    def not_run(cls, reason, retry_after_ms=RETRY_AFTER_SHED_MS):
        """Return the reply to a request that certainly has not run."""
        return cls(HTTP_UNAVAILABLE, REFUSED, reason, retry_after_ms)

    @classmethod
    def over_quota(cls, reason, retry_after_ms):
        """Return the reply to a request over its account's quota; it has not run."""
        return cls(HTTP_TOO_MANY_REQUESTS, REFUSED, reason, retry_after_ms)

    @classmethod
    def outcome_unknown(cls, reason):
        """Return the reply to a request that may have run."""
        return cls(HTTP_BAD_GATEWAY, "failed", reason)

    @classmethod
    def timeout(cls, reason):
        """Return the reply to a request that may still be running."""
        return cls(HTTP_TIMEOUT, "timeout", reason)

    @classmethod
    def no_route(cls):
        """Return the reply to a request that matches no route."""
        return cls(HTTP_NOT_FOUND, "no_route", "no route")

    @classmethod
    def unauthorized(cls, reason):
        """Return the reply to a request without the key of an account."""
        return cls(HTTP_UNAUTHORIZED, "unauthorized", reason)

    @classmethod
    def without_answer(cls, may_have_run, reason, retry_after_ms=None):
        """Return the reply to a request that no server has answered.

        ``retry_after_ms`` is when a server takes requests again, if that is known.
        """
        if may_have_run:
            return cls.outcome_unknown(reason)
        return cls.not_run(reason, retry_after_ms or RETRY_AFTER_SHED_MS)

    def send(self, on_answer):
        """Call ``on_answer(status, headers, body, outcome, reason)``."""
        headers = []
        if self.retry_after_ms is not None:
            seconds = b"%.3f" % (self.retry_after_ms / 1000.0)
            headers.append((b"Retry-After", seconds))
        body = self.reason.encode() + b"\n"
        headers.append((b"Content-Type", b"text/plain"))
        on_answer(self.status, headers, body, self.outcome, self.reason)
