"""Reconstructs the history of a request and the cause of its result from logs.

The input is log lines of daemons, each a JSON object with the name of its event in
``message``. The daemon that a caller is connected to logs ``request`` at the end of
the request. A daemon that has sent parts of a query to servers for another daemon logs
``gathered for a peer``, and one that has sent a whole request ``forwarded for a peer``.
These lines have the request's id in ``request``, an ``outcome`` and a list ``sends`` of
texts in one of two forms:

    SERVICE SERVER VERDICT DURATION ms [DETAIL]
    SERVICE REASON

The first describes one attempt to send the request to a server of a service, such as
``s1 i-7 not_run 12 ms status 503``. Its verdict is ``answer`` or a key of
``_FAILURE_TEXTS``; ``waiting`` means that the attempt had not ended when the line was
logged. The second says why a service got no attempt or no further one, such as
``s1 no hedge: needs 85 of 57 ms``. A service whose only attempt was answered is left
out.
"""

import json

# Lines of CONTEXT_EVENTS that are at most this much older than the end of a request may
# explain its result.
CONTEXT_MS = 10_000
REQUEST_EVENTS = frozenset({"request", "gathered for a peer", "forwarded for a peer"})
# Events about servers, the store, peers or the daemon itself.
CONTEXT_EVENTS = frozenset(
    {
        "server",
        "store lost",
        "store regained",
        "configuration adopted",
        "failure domains out",
        "peer lost",
        "delegated parts overdue",
        "log lines left out",
        "leaving",
        "started",
    }
)


class LogLine:
    """One decoded log line; ``location`` is the file and line it was read from."""

    __slots__ = ("fields", "location", "when")

    def __init__(self, fields, location):
        self.fields = fields
        self.location = location
        self.when = str(fields.get("time", ""))

    @classmethod
    def parse(cls, text, location):
        """Return the line, or None if it is not a JSON object.

        Text before the object, such as the prefix of a log collector, is ignored.
        """
        start = text.find("{")
        if start < 0:
            return None
        try:
            fields = json.loads(text[start:])
        except ValueError:
            return None
        return cls(fields, location) if isinstance(fields, dict) else None

    @property
    def event(self):
        """Return the name of the event."""
        return self.fields.get("message")

    @property
    def vm(self):
        """Return the VM of the daemon that wrote the line."""
        return self.fields.get("vm")


class RequestHistory:
    """The log lines of one request, and earlier lines that may explain its result.

    ``lines`` and ``context`` are lists of ``LogLine``, oldest first.
    """

    __slots__ = ("context", "lines", "request_id")

    def __init__(self, request_id, lines, context):
        self.request_id = request_id
        self.lines = lines
        self.context = context

    def last_request_line(self):
        """Return the last line about the end of the request, or None."""
        end_lines = [line for line in self.lines if line.event == "request"]
        return end_lines[-1] if end_lines else None

    def cause(self):
        """Return the cause of the result of the request on one line.

        It consists of the summary of the last ``request`` line and the failures among
        the ``sends`` of all lines.
        """
        line = self.last_request_line()
        if line is None:
            return "no daemon has logged the end of this request"
        fields = line.fields
        outcome = fields.get("outcome")
        sends = [
            send
            for request_line in self.lines
            for send in request_line.fields.get("sends", ())
        ]
        summary = CAUSES.get(outcome, "{outcome}: {reason}").format(
            outcome=outcome, reason=fields.get("reason", "")
        )
        failures = {failure for send in sends if (failure := describe_failure(send))}
        # Failures of servers come before the reasons why nothing was sent.
        failures = sorted(
            failures, key=lambda failure: (is_not_sent_reason(failure), failure)
        )
        if failures:
            summary += "; " + "; ".join(failures)
        return summary

    def to_json(self):
        """Return the history as a JSON object."""
        return {
            "request": self.request_id,
            "cause": self.cause(),
            "lines": [line.fields for line in self.lines],
            "before": [line.fields for line in self.context],
        }


# The summary for each ``outcome`` of a ``request`` line.
CAUSES = {
    "answered": "answered in full",
    "partial": "answered in part: {reason}",
    "refused": "refused, it has not run: {reason}",
    "failed": "failed, it may have run: {reason}",
    "timeout": "out of time: {reason}",
    "server_failure": "the server answered with a failure of its own",
    "caller_gone": "the caller disconnected before the answer",
    "unauthorized": "refused, no account has the key that was sent: {reason}",
    "no_route": "no route in the version in force has this host and path",
}

# The text after the service for each verdict of an attempt other than ``answer``.
_FAILURE_TEXTS = {
    "not_run": "was refused by {server} ({detail})",
    "unsent": "could not be sent to {server} ({detail})",
    "unknown": "lost its answer from {server} ({detail})",
    "failure": "failed at {server} ({detail})",
    "waiting": "was still waiting for {server}",
}


# Parts of the reasons for which a service got no attempt or no further one.
_NOT_SENT_REASONS = (
    "extra load",
    "limit of arrivals",
    "no server",
    "no other server",
    "no hedge",
)


def is_not_sent_reason(send):
    """Return whether an item of ``sends`` says why there was no further attempt."""
    return any(reason in send for reason in _NOT_SENT_REASONS)


def describe_failure(send):
    """Describe the failure in one item of ``sends``, or return an empty string.

    >>> describe_failure("s1 i-7 not_run 12 ms status 503")
    's1 was refused by i-7 (status 503)'
    >>> describe_failure("s1 no hedge: needs 85 of 57 ms")
    's1 no hedge: needs 85 of 57 ms'
    >>> describe_failure("s1 limit of arrivals reached")
    's1 limit of arrivals reached'
    """
    words = send.split()
    if len(words) < 4 or words[2] not in _FAILURE_TEXTS:
        return send if is_not_sent_reason(send) else ""
    service, server, verdict = words[:3]
    detail = " ".join(words[5:]) or "no reason given"
    return f"{service} " + _FAILURE_TEXTS[verdict].format(server=server, detail=detail)


def collect_history(request_id, lines):
    """Return the ``RequestHistory`` of a request from ``LogLine``s in any order."""
    request_lines, context_lines = [], []
    for line in lines:
        if line.fields.get("request") == request_id and line.event in REQUEST_EVENTS:
            request_lines.append(line)
        elif line.event in CONTEXT_EVENTS:
            context_lines.append(line)
    request_lines.sort(key=lambda line: line.when)
    return RequestHistory(
        request_id, request_lines, _context(request_lines, context_lines)
    )


def _context(request_lines, context_lines):
    """Return the context lines that may explain the result, oldest first.

    These are lines of the daemons that logged the request. Lines about a server that
    ``sends`` does not name are left out, and those that according to ``time_ms`` were
    logged after the end of the request or more than ``CONTEXT_MS`` before it.
    """
    if not request_lines:
        return []
    vms = {line.vm for line in request_lines}
    words_of_sends = {
        word
        for line in request_lines
        for send in line.fields.get("sends", ())
        for word in send.split()
    }
    end_ms = request_lines[-1].fields.get("time_ms")
    chosen = []
    for line in context_lines:
        when_ms = line.fields.get("time_ms")
        comparable = isinstance(end_ms, int | float) and isinstance(
            when_ms, int | float
        )
        if comparable and not 0 <= end_ms - when_ms <= CONTEXT_MS:
            continue
        server = line.fields.get("server")
        if line.vm in vms and (server is None or server in words_of_sends):
            chosen.append(line)
    return sorted(chosen, key=lambda line: line.when)
