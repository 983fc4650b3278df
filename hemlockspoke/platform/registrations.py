"""The daemons' registrations as objects of the platform's store."""

from hemlockspoke.platform.feeds import HTTP_OK, KindSource
from hemlockspoke.platform.objects import DAEMON_KIND
from hemlockspoke.tier.feed import FeedError
from hemlockspoke.tier.members import Written

HTTP_CREATED = 201
HTTP_CONFLICT = 409


class Registrations:
    """Reads and writes the objects that name the daemons."""

    __slots__ = ("_calls", "_source")

    def __init__(self, calls):
        self._calls = calls
        self._source = KindSource(calls, DAEMON_KIND)

    def write(self, vm, spec, revision, done):
        """Create the object of a daemon, or replace the one at ``revision``."""

        def decode(reply):
            body = reply.body if isinstance(reply.body, dict) else {}
            meta = body.get("meta") if isinstance(body.get("meta"), dict) else {}
            done(
                Written(
                    reply.status in (HTTP_OK, HTTP_CREATED),
                    reply.status == HTTP_CONFLICT,
                    meta.get("revision"),
                    body.get("spec"),
                )
            )

        self._calls.put(DAEMON_KIND, vm, spec, revision, decode)

    def read(self, stale, done):
        """Read all objects; ``done`` gets None if a page has no answer."""
        changes = []

        def listed(page):
            if isinstance(page, FeedError):
                done(None)
                return
            changes.extend(page.changes)
            if page.continue_after is None:
                done(changes)
            else:
                self._source.list_page(page.continue_after, listed, stale=stale)

        self._source.list_page(None, listed, stale=stale)
