"""Interface to the platform-specific headers of callers and servers."""

from abc import ABC, abstractmethod


class CallerMetadata:
    """Headers of a caller's request; ``remaining_ms`` is how long the caller waits.

    ``key`` is that of the caller's account, or None if it is missing, empty or
    repeated. It must not be logged.
    """

    __slots__ = ("attempt_id", "key", "remaining_ms")

    def __init__(self, attempt_id=None, remaining_ms=None, key=None):
        self.attempt_id = attempt_id
        self.remaining_ms = remaining_ms
        self.key = key


class ReplyMetadata:
    """Headers of a server's response.

    ``proof`` is the server's signature, which shows that it ran the request;
    ``not_run`` is True if the server did not and will not run it. ``leaving`` is True
    if the server says that it leaves. ``hold_ms`` is for how long a server that is
    unavailable wants no requests, or None; ``malformed_hold`` is True if it states that
    in a way that cannot be used.
    """

    __slots__ = (
        "attempt_id",
        "hold_ms",
        "leaving",
        "malformed_hold",
        "not_run",
        "proof",
        "server_id",
    )

    def __init__(self, proof=None, not_run=False, attempt_id=None, server_id=None):
        self.proof = proof
        self.not_run = not_run
        self.attempt_id = attempt_id
        self.server_id = server_id
        self.leaving = False
        self.hold_ms = None
        self.malformed_hold = False


class Codec(ABC):
    """Reads and writes the headers of the platform."""

    @abstractmethod
    def parse_caller_headers(self, headers):
        """Return the ``CallerMetadata`` of a request."""

    @abstractmethod
    def forwarded_headers(self, headers, account_name=None, hides_key=False):
        """Return the headers of a caller's request for other daemons and servers.

        They have the name of the caller's account, if ``account_name`` is not None, and
        never a name that the caller has sent. ``hides_key`` leaves the key out, which
        is an ordinary header if the configuration has no accounts.
        """

    @abstractmethod
    def server_headers(self, remaining_ms, server_id):
        """Return the additional headers for one server."""

    @abstractmethod
    def parse_reply_headers(self, response):
        """Return the ``ReplyMetadata`` of a response."""

    @abstractmethod
    def gathered_headers(self, proofs, missing):
        """Return the headers of an answer merged from parts.

        ``proofs`` are those of the parts, ``missing`` is the number of missing parts.
        """
