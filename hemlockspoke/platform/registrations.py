"""Daemon registrations, stored as objects in the platform's store."""

from hemlockspoke.platform.feeds import HTTP_OK, KindSource
from hemlockspoke.platform.objects import DAEMON_KIND
from hemlockspoke.tier.state.feed import FeedError
from hemlockspoke.tier.state.members import WriteResult

HTTP_CREATED = 201
HTTP_CONFLICT = 409


class Registrations:
    """Reads and writes the registration objects of the daemons."""

    __slots__ = ("_calls", "_source")

    def __init__(self, calls):
        self._calls = calls
        self._source = KindSource(calls, DAEMON_KIND)

    def write(self, vm, spec, revision, on_written):
        """Create a daemon's object, or replace the one at ``revision``.

        ``on_written`` gets a ``WriteResult``.
        """

        def decode(reply):
            body = reply.body if isinstance(reply.body, dict) else {}
            meta = body.get("meta") if isinstance(body.get("meta"), dict) else {}
            on_written(
                WriteResult(
                    reply.status in (HTTP_OK, HTTP_CREATED),
                    reply.status == HTTP_CONFLICT,
                    meta.get("revision"),
                    body.get("spec"),
                )
            )

        self._calls.put(DAEMON_KIND, vm, spec, revision, decode)

    def read(self, stale, on_read):
        """Read all objects as ``Change``s; ``on_read`` gets None if a page fails."""
        changes = []

        def on_page(page):
            if isinstance(page, FeedError):
                on_read(None)
                return
            changes.extend(page.changes)
            if page.continue_after is None:
                on_read(changes)
            else:
                self._source.list_page(page.continue_after, on_page, stale=stale)

        self._source.list_page(None, on_page, stale=stale)
