"""HTTP interface for callers: queries and orders."""

import io
import json
import logging
import math
from urllib.parse import unquote_to_bytes

from expression import Error
from twisted.internet.defer import CancelledError, maybeDeferred
from twisted.web import http
from twisted.web.http_headers import Headers

from hemlockspoke.adapters.bounded_http import HEADER_OVERHEAD_BYTES
from hemlockspoke.adapters.caller_problems import (
    MAX_BODY_BYTES,
    body_too_large,
    internal_error,
    not_ready,
    unknown_path,
    wrong_method,
)
from hemlockspoke.adapters.caller_requests import parse_order, parse_query
from hemlockspoke.errors import Outcome

logger = logging.getLogger(__name__)


class CallerRequest(http.Request):
    """One request of a caller."""

    def __init__(self, channel, queued=False):
        super().__init__(channel, queued, parsePOSTFormSubmission=False)
        self.body_bytes = 0
        # Size of its head and its body so far.
        self.held_bytes = 0
        # True once the request has been received completely.
        self.received = False

    def gotLength(self, length):
        """Buffer the body in memory, since a daemon has no disk to spool it to."""
        self.content = io.BytesIO()

    def handleContentChunk(self, data):
        """Append a chunk of the body, or refuse a body over the size limit."""
        self.body_bytes += len(data)
        if self.body_bytes > MAX_BODY_BYTES:
            self.channel.refuse(self, body_too_large())
        else:
            self.held_bytes += len(data)
            self.content.write(data)

    def count_head(self, head_bytes):
        """Include the head, which the channel has counted until now."""
        headers = self.requestHeaders.getAllRawHeaders()
        header_count = sum(len(values) for _, values in headers)
        self.held_bytes += head_bytes + HEADER_OVERHEAD_BYTES * header_count

    def drop_received(self):
        """Drop what has been received of a request that is refused."""
        self.requestHeaders = Headers()
        self.content = io.BytesIO()
        self.held_bytes = 0

    def process(self):
        """Parse the request and start its query or order."""
        self.received = True
        site = self.channel.factory
        result = self._parse(site.refusal_reason())
        if result.is_error():
            self.answer_problem(result.error)
            return
        engine, cancellable, request = result.ok
        self._run(engine, cancellable, request)

    def _parse(self, reason):
        site = self.channel.factory
        route = parse_path(self.path)
        if route is None:
            return Error(unknown_path())
        if self.method != b"POST":
            self.setHeader(b"Allow", b"POST")
            return Error(wrong_method(self.method))
        if reason is not None:
            return Error(not_ready(reason))
        service, kind, name = route
        body = self.content.getvalue()
        if kind == "query":
            parsed = parse_query(service, name, self._raw_header_values, body)
            return parsed.map(lambda request: (site.queries, True, request))
        parsed = parse_order(service, name, self._raw_header_values, body)
        return parsed.map(lambda request: (site.orders, False, request))

    def _raw_header_values(self, name):
        return self.requestHeaders.getRawHeaders(name, [])

    def _run(self, engine, cancellable, request):
        outcome = Outcome.FAILED if cancellable else Outcome.UNKNOWN
        running = maybeDeferred(engine.run, request)
        disconnected = self.notifyFinish()
        if cancellable:
            # An order continues: a retry must find its recorded outcome.
            disconnected.addErrback(lambda _: running.cancel())
        else:
            disconnected.addErrback(lambda _: None)
        running.addCallback(self._on_result)
        running.addErrback(self._on_engine_failure, outcome)

    def _on_result(self, result):
        if self._disconnected:
            return
        if result.is_ok():
            self._answer(200, b"application/json", result.ok.to_json())
        else:
            self.answer_problem(result.error)

    def _on_engine_failure(self, failure, outcome):
        if failure.check(CancelledError) and self._disconnected:
            return
        logger.error(
            "request failed",
            exc_info=(failure.type, failure.value, failure.getTracebackObject()),
        )
        if not self._disconnected and not self.startedWriting:
            self.answer_problem(internal_error(outcome))

    def answer_problem(self, problem):
        """Respond with a problem document."""
        if problem.retry_after_ms is not None:
            seconds = math.ceil(problem.retry_after_ms / 1000)
            self.setHeader(b"Retry-After", b"%d" % seconds)
        self._answer(problem.status, b"application/problem+json", problem.to_json())

    def _close_after_answer(self):
        """Close the connection with the answer if this daemon takes no more work.

        The caller sends its next request to another daemon, so that none is in transit
        when this daemon exits. One of which a part has arrived is still answered.
        """
        if self.channel.closes_after_answer():
            self.setHeader(b"Connection", b"close")
            self.channel.persistent = False

    def _answer(self, status, content_type, value):
        self._close_after_answer()
        body = json.dumps(value, separators=(",", ":")).encode("utf-8")
        self.setResponseCode(status)
        self.setHeader(b"Content-Type", content_type)
        self.setHeader(b"Content-Length", b"%d" % len(body))
        self.write(b"" if self.method == b"HEAD" else body)
        self.finish()


def parse_path(path):
    """Return service, kind and name from a path, or None if it is unknown.

    >>> parse_path(b"/v1/services/laurentide/indexes/bins/query")
    ('laurentide', 'query', 'bins')
    """
    try:
        parts = [unquote_to_bytes(part).decode("utf-8") for part in path.split(b"/")]
    except UnicodeDecodeError:
        return None
    match parts:
        case ["", "v1", "services", service, "indexes", index, "query"]:
            return service, "query", index
        case ["", "v1", "services", service, "orders", order]:
            return service, "order", order
    return None
