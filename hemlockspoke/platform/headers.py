"""The platform's headers on requests and responses."""

from hemlockspoke.http1.messages import end_to_end
from hemlockspoke.tier.codec import CallerMetadata, Codec, ReplyMetadata

ATTEMPT_ID = b"x-hemlockspoke-attempt-id"
# Despite its name, this header holds the remaining time in ms.
DEADLINE = b"x-hemlockspoke-deadline-ms"
EXPECT_INSTANCE = b"x-hemlockspoke-expect-instance"
INSTANCE_ID = b"x-hemlockspoke-instance-id"
NOT_EXECUTED = b"x-hemlockspoke-not-executed"
SERVER_STAMP = b"x-hemlockspoke-server-stamp"
PART_STAMPS = b"X-Hemlockspoke-Part-Stamps"
PARTS_MISSING = b"X-Hemlockspoke-Parts-Missing"
# Longer header lines exceed the limits of some HTTP clients.
PROOFS_PER_LINE = 40


class PlatformCodec(Codec):
    """Reads and writes the headers that the platform's documentation specifies."""

    __slots__ = ()

    def parse_caller_headers(self, headers):
        """Return the ``CallerMetadata`` of a request."""
        metadata = CallerMetadata()
        for name, value in headers:
            lower_name = name.lower()
            if lower_name == ATTEMPT_ID:
                metadata.attempt_id = value
            elif lower_name == DEADLINE:
                metadata.remaining_ms = parse_duration_ms(value)
        return metadata

    def forwarded_headers(self, headers):
        """Return the caller's headers that are forwarded to every server."""
        return [
            (name, value)
            for name, value in end_to_end(headers)
            if name.lower() not in (DEADLINE, EXPECT_INSTANCE)
        ]

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
        return metadata

    def gathered_headers(self, proofs, missing):
        """Return the headers of a response that is merged from parts."""
        headers = [
            (PART_STAMPS, b", ".join(proofs[start : start + PROOFS_PER_LINE]))
            for start in range(0, len(proofs), PROOFS_PER_LINE)
        ]
        headers.append((PARTS_MISSING, b"%d" % missing))
        return headers


def parse_duration_ms(value):
    """Return a header's value in ms, or None if it is malformed or out of range."""
    try:
        duration_ms = float(value)
    except ValueError:
        return None
    return duration_ms if 0 <= duration_ms < 1e9 else None
