"""What the tier needs to know from the headers of callers and servers."""

from abc import ABC, abstractmethod


class CallerMarks:
    """What a caller says of its request; ``remaining_ms`` is how long it waits."""

    __slots__ = ("attempt_id", "remaining_ms")

    def __init__(self, attempt_id=None, remaining_ms=None):
        self.attempt_id = attempt_id
        self.remaining_ms = remaining_ms


class ReplyMarks:
    """What a server says of its response.

    ``proof`` is its signature under a response that it produced by running the
    request; ``not_run`` that it did not and will not run it.
    """

    __slots__ = ("attempt_id", "not_run", "proof", "server_id")

    def __init__(self, proof=None, not_run=False, attempt_id=None, server_id=None):
        self.proof = proof
        self.not_run = not_run
        self.attempt_id = attempt_id
        self.server_id = server_id


class Codec(ABC):
    """Reads and writes the headers of the surroundings."""

    @abstractmethod
    def read_caller(self, headers):
        """Return the ``CallerMarks`` of a request."""

    @abstractmethod
    def forwarded_headers(self, headers):
        """Return the headers of a caller that every server gets."""

    @abstractmethod
    def server_headers(self, remaining_ms, server_id):
        """Return the headers that one server gets besides."""

    @abstractmethod
    def read_reply(self, response):
        """Return the ``ReplyMarks`` of a response."""

    @abstractmethod
    def gathered_headers(self, proofs, missing):
        """Return the headers of an answer put together from parts."""
