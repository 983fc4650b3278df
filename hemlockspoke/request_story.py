"""Puts together from log lines what happened to one request, and why."""

import json

# Lines on a server, the store or a peer this long before a request ended may
# explain it.
CONTEXT_MS = 10_000
REQUEST_EVENTS = frozenset({"request", "gathered for a peer"})
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
    """One decoded line; ``place`` says where it was read."""

    __slots__ = ("fields", "place", "when")

    def __init__(self, fields, place):
        self.fields = fields
        self.place = place
        self.when = str(fields.get("time", ""))

    @classmethod
    def parse(cls, text, place):
        """Return the line, or None if it is no JSON object.

        Text before the object, as a log collector may put there, is ignored.
        """
        start = text.find("{")
        if start < 0:
            return None
        try:
            fields = json.loads(text[start:])
        except ValueError:
            return None
        return cls(fields, place) if isinstance(fields, dict) else None

    @property
    def event(self):
        """Return the name of the event."""
        return self.fields.get("message")

    @property
    def vm(self):
        """Return the VM whose daemon wrote the line."""
        return self.fields.get("vm")


class RequestStory:
    """The lines on one request, what preceded them, and the cause."""

    __slots__ = ("context", "lines", "request_id")

    def __init__(self, request_id, lines, context):
        self.request_id = request_id
        self.lines = lines
        self.context = context

    def final(self):
        """Return the last line that tells how the request ended, or None."""
        ends = [line for line in self.lines if line.event == "request"]
        return ends[-1] if ends else None

    def cause(self):
        """Return in one sentence why the request ended as it did."""
        line = self.final()
        if line is None:
            return "no daemon has logged the end of this request"
        fields = line.fields
        outcome = fields.get("outcome")
        sends = [
            send
            for story_line in self.lines
            for send in story_line.fields.get("sends", ())
        ]
        summary = CAUSES.get(outcome, "{outcome}: {reason}").format(
            outcome=outcome, reason=fields.get("reason", "")
        )
        blamed = {blame for send in sends if (blame := describe_blame(send))}
        # Servers that failed the request come before what kept a hedge back.
        blamed = sorted(blamed, key=lambda blame: (is_reason(blame), blame))
        if blamed:
            summary += "; " + "; ".join(blamed)
        return summary

    def to_json(self):
        """Return the story as JSON."""
        return {
            "request": self.request_id,
            "cause": self.cause(),
            "lines": [line.fields for line in self.lines],
            "before": [line.fields for line in self.context],
        }


CAUSES = {
    "answered": "answered in full",
    "partial": "answered in part: {reason}",
    "refused": "refused, it has not run: {reason}",
    "failed": "failed, it may have run: {reason}",
    "timeout": "out of time: {reason}",
    "server_failure": "the server answered with a failure of its own",
    "caller_gone": "the caller left before the answer",
    "no_route": "no route in the version in force has this host and path",
}

_BLAME = {
    "not_run": "was refused by {server} ({detail})",
    "unsent": "found no connection to {server} ({detail})",
    "unknown": "lost its answer from {server} ({detail})",
    "failure": "failed at {server} ({detail})",
    "waiting": "was still waiting for {server}",
}


# Why a request was not sent, or not sent again.
_REASONS = ("extra load", "no server", "no other server", "no hedge")


def is_reason(send):
    """Return whether a logged send says why nothing was sent."""
    return any(reason in send for reason in _REASONS)


def describe_blame(send):
    """Return what one logged send says against its server, or an empty text.

    >>> describe_blame("s1 i-7 not_run 12 ms status 503")
    's1 was refused by i-7 (status 503)'
    >>> describe_blame("s1 no hedge: needs 85 of 57 ms")
    's1 no hedge: needs 85 of 57 ms'
    """
    words = send.split()
    if len(words) < 4 or words[2] not in _BLAME:
        return send if is_reason(send) else ""
    service, server, verdict = words[:3]
    detail = " ".join(words[5:]) or "no reason given"
    return f"{service} " + _BLAME[verdict].format(server=server, detail=detail)


def collect_story(request_id, lines):
    """Return the story of a request from decoded lines in any order."""
    own, rest = [], []
    for line in lines:
        if line.fields.get("request") == request_id and line.event in REQUEST_EVENTS:
            own.append(line)
        elif line.event in CONTEXT_EVENTS:
            rest.append(line)
    own.sort(key=lambda line: line.when)
    return RequestStory(request_id, own, _context(own, rest))


def _context(own, rest):
    """Return the lines that may explain the request, oldest first."""
    if not own:
        return []
    vms = {line.vm for line in own}
    named = {
        word
        for line in own
        for send in line.fields.get("sends", ())
        for word in send.split()
    }
    end = own[-1].fields.get("time_ms")
    chosen = []
    for line in rest:
        when_ms = line.fields.get("time_ms")
        known = isinstance(end, int | float) and isinstance(when_ms, int | float)
        if known and not 0 <= end - when_ms <= CONTEXT_MS:
            continue
        server = line.fields.get("server")
        if line.vm in vms and (server is None or server in named):
            chosen.append(line)
    return sorted(chosen, key=lambda line: line.when)
