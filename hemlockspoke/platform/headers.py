"""The platform's headers on requests and responses."""

import re
from email.utils import parsedate_to_datetime

from hemlockspoke.http1.messages import end_to_end
from hemlockspoke.tier.codec import CallerMetadata, Codec, ReplyMetadata

API_KEY = b"x-api-key"
ATTEMPT_ID = b"x-hemlockspoke-attempt-id"
# Despite its name, this header holds the remaining time in ms.
DEADLINE = b"x-hemlockspoke-deadline-ms"
EXPECT_INSTANCE = b"x-hemlockspoke-expect-instance"
INSTANCE_ID = b"x-hemlockspoke-instance-id"
NOT_EXECUTED = b"x-hemlockspoke-not-executed"
TENANT = b"x-hemlockspoke-tenant"
SERVER_STAMP = b"x-hemlockspoke-server-stamp"
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
HTTP_UNAVAILABLE = 503
# Those that concern this daemon only, or that it sets itself.
_OWN_HEADERS = frozenset({DEADLINE, EXPECT_INSTANCE, TENANT})
PART_STAMPS = b"X-Hemlockspoke-Part-Stamps"
PARTS_MISSING = b"X-Hemlockspoke-Parts-Missing"
_SECONDS = re.compile(r"[0-9]+(?:\.[0-9]*)?|\.[0-9]+", re.ASCII)
# Longer header lines exceed the limits of some HTTP clients.
PROOFS_PER_LINE = 40


class PlatformCodec(Codec):
    """Reads and writes the headers that the platform's documentation specifies."""

    __slots__ = ("_clock",)

    def __init__(self, clock):
        self._clock = clock

    def parse_caller_headers(self, headers):
        """Return the ``CallerMetadata`` of a request."""
        metadata = CallerMetadata()
        keys = []
        for name, value in headers:
            lower_name = name.lower()
            if lower_name == ATTEMPT_ID:
                metadata.attempt_id = value
            elif lower_name == DEADLINE:
                metadata.remaining_ms = parse_duration_ms(value)
            elif lower_name == API_KEY:
                keys.append(value.strip())
        if len(keys) == 1 and keys[0]:
            metadata.key = keys[0]
        return metadata

    def forwarded_headers(self, headers, account_name=None, hides_key=False):
        """Return the headers of a caller's request for other daemons and servers.

        Headers that ``Connection`` lists are dropped before the account's name is
        added, so that a caller cannot remove that by listing it.

        >>> codec = PlatformCodec(None)
        >>> sent = [(b"X-Api-Key", b"k1"), (b"Connection", b"X-Hemlockspoke-Tenant")]
        >>> codec.forwarded_headers(sent, "ralo620", hides_key=True)
        [(b'X-Hemlockspoke-Tenant', b'ralo620')]
        """
        dropped = _OWN_HEADERS | {API_KEY} if hides_key else _OWN_HEADERS
        forwarded = [
            header for header in end_to_end(headers) if header[0].lower() not in dropped
        ]
        if account_name is not None:
            forwarded.append((b"X-Hemlockspoke-Tenant", account_name.encode()))
        return forwarded

    def server_headers(self, remaining_ms, server_id):
        """Return the additional headers for one server."""
        return [
            (b"X-Hemlockspoke-Deadline-Ms", b"%d" % max(1, remaining_ms)),
            (b"X-Hemlockspoke-Expect-Instance", server_id.encode()),
        ]

    def parse_reply_headers(self, response):
        """Return the ``ReplyMetadata`` of a response."""
        metadata = ReplyMetadata()
        for name, value in response.headers:
            lower_name = name.lower()
            if lower_name == SERVER_STAMP:
                metadata.proof = value
            elif lower_name == ATTEMPT_ID:
                metadata.attempt_id = value
            elif lower_name == NOT_EXECUTED:
                metadata.not_run = True
            elif lower_name == INSTANCE_ID:
                metadata.server_id = value.decode("latin-1")
            elif lower_name == SERVER_LEAVING:
                metadata.leaving = value.strip() == b"1"
            elif lower_name == RETRY_AFTER and response.status == HTTP_UNAVAILABLE:
                metadata.hold_ms = parse_retry_after_ms(value, self._clock.wall_ms())
                metadata.malformed_hold = metadata.hold_ms is None
        return metadata

    def gathered_headers(self, proofs, missing):
        """Return the headers of a response that is merged from parts."""
        headers = [
            (PART_STAMPS, b", ".join(proofs[start : start + PROOFS_PER_LINE]))
            for start in range(0, len(proofs), PROOFS_PER_LINE)
        ]
        headers.append((PARTS_MISSING, b"%d" % missing))
        return headers


def parse_retry_after_ms(value, wall_ms):
    """Return the value of ``Retry-After`` in ms, or None if it states no time to wait.

    It is a number of seconds, which may have a fraction, or an HTTP date. ``wall_ms``
    is the time of day.

    >>> parse_retry_after_ms(b"1.5", 0), parse_retry_after_ms(b"-1", 0)
    (1500.0, None)
    >>> parse_retry_after_ms(b"Thu, 01 Jan 1970 00:00:10 GMT", 4000)
    6000.0
    """
    text = value.decode("latin-1").strip()
    seconds = 0.0
    if _SECONDS.fullmatch(text):
        seconds = float(text)
    else:
        try:
            seconds = parsedate_to_datetime(text).timestamp() - wall_ms / 1000.0
        except (TypeError, ValueError, OverflowError, IndexError):
            return None
    return 1000.0 * seconds if 0.0 < seconds < float("inf") else None


def parse_duration_ms(value):
    """Return a header's value in ms, or None if it is malformed or out of range."""
    try:
        duration_ms = float(value)
    except ValueError:
        return None
    return duration_ms if 0 <= duration_ms < 1e9 else None
