"""The platform's headers on requests and responses."""

from hemlockspoke.http1.messages import end_to_end
from hemlockspoke.tier.codec import CallerMarks, Codec, ReplyMarks

ATTEMPT_ID = b"x-hemlockspoke-attempt-id"
# Named a deadline, but it holds the time left in ms.
DEADLINE = b"x-hemlockspoke-deadline-ms"
EXPECT_INSTANCE = b"x-hemlockspoke-expect-instance"
INSTANCE_ID = b"x-hemlockspoke-instance-id"
NOT_EXECUTED = b"x-hemlockspoke-not-executed"
SERVER_STAMP = b"x-hemlockspoke-server-stamp"
PART_STAMPS = b"X-Hemlockspoke-Part-Stamps"
PARTS_MISSING = b"X-Hemlockspoke-Parts-Missing"
# Proofs in one header line; longer lines meet the header limits of some clients.
PROOFS_PER_LINE = 40


class PlatformCodec(Codec):
    """Reads and writes the headers that the platform's pages name."""

    __slots__ = ()

    def read_caller(self, headers):
        """Return the ``CallerMarks`` of a request."""
        marks = CallerMarks()
        for name, value in headers:
            lower = name.lower()
            if lower == ATTEMPT_ID:
                marks.attempt_id = value
            elif lower == DEADLINE:
                marks.remaining_ms = parse_ms(value)
        return marks

    def forwarded_headers(self, headers):
        """Return the headers of a caller that every server gets."""
        return [
            (name, value)
            for name, value in end_to_end(headers)
            if name.lower() not in (DEADLINE, EXPECT_INSTANCE)
        ]

    def server_headers(self, remaining_ms, server_id):
        """Return the headers that one server gets besides."""
        return [
            (b"X-Hemlockspoke-Deadline-Ms", b"%d" % max(1, remaining_ms)),
            (b"X-Hemlockspoke-Expect-Instance", server_id.encode()),
        ]

    def read_reply(self, response):
        """Return the ``ReplyMarks`` of a response."""
        marks = ReplyMarks()
        for name, value in response.headers:
            lower = name.lower()
            if lower == SERVER_STAMP:
                marks.proof = value
            elif lower == ATTEMPT_ID:
                marks.attempt_id = value
            elif lower == NOT_EXECUTED:
                marks.not_run = True
            elif lower == INSTANCE_ID:
                marks.server_id = value.decode("latin-1")
        return marks

    def gathered_headers(self, proofs, missing):
        """Return the headers of an answer put together from parts."""
        headers = [
            (PART_STAMPS, b", ".join(proofs[start : start + PROOFS_PER_LINE]))
            for start in range(0, len(proofs), PROOFS_PER_LINE)
        ]
        headers.append((PARTS_MISSING, b"%d" % missing))
        return headers


def parse_ms(value):
    """Return a header's milliseconds, or None if it holds no such number."""
    try:
        parsed = float(value)
    except ValueError:
        return None
    return parsed if 0 <= parsed < 1e9 else None
