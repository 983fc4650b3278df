"""Connects the feeds of the store's kinds with what the daemon believes."""

import logging

from hemlockspoke.platform import objects
from hemlockspoke.tier.feed import Change, FeedError, Page

logger = logging.getLogger(__name__)

HTTP_OK = 200
HTTP_GONE = 410


class KindSource:
    """Lists and watches one kind of the store."""

    __slots__ = ("_calls", "_kind")

    def __init__(self, calls, kind):
        self._calls = calls
        self._kind = kind

    def list_page(self, after, done, stale=False):
        """Read a page of the list."""

        def decode(reply):
            body = reply.body
            if reply.status != HTTP_OK or not isinstance(body, dict):
                done(failure(reply))
                return
            changes = [change for change in map(decode_object, body["items"]) if change]
            more = body.get("more") and changes
            after_name = changes[-1].name if more else None
            done(Page(changes, body["current_rev"], after_name))

        self._calls.list(self._kind, after, decode, stale=stale)

    def watch(self, revision, wait_ms, grace_ms, done):
        """Wait for changes after a revision."""

        def decode(reply):
            body = reply.body
            if reply.status != HTTP_OK or not isinstance(body, dict):
                done(failure(reply))
                return
            changes = [
                decode_object(event["object"], event["removed"])
                for event in body["events"]
            ]
            done(Page([change for change in changes if change], body["current_rev"]))

        self._calls.watch(self._kind, revision, wait_ms, grace_ms, decode)


def failure(reply):
    """Return the ``FeedError`` of a reply that holds no page."""
    detail = reply.detail or f"status {reply.status}"
    return FeedError(detail, history_gone=reply.status == HTTP_GONE)


def decode_object(item, removed=False):
    """Return the ``Change`` of an object, or None if it has no name."""
    meta = item.get("meta") if isinstance(item, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    if not isinstance(name, str):
        logger.warning("object without a name", extra={"removed": removed})
        return None
    revision = meta.get("revision")
    spec = item.get("spec")
    # Servers state their start beside the other fields of their entry.
    if isinstance(spec, dict) and "born" in item and "born" not in spec:
        spec = {**spec, "born": item["born"]}
    return Change(name, spec, bool(removed), revision)


class ConfigSink:
    """Adopts the operator's configuration."""

    __slots__ = ("_directory",)

    def __init__(self, directory):
        self._directory = directory

    def replace(self, changes):
        """Take the list of configurations."""
        for change in changes:
            self.apply(change)

    def apply(self, change):
        """Take a change of the configuration."""
        if change.removed or change.name != objects.CONFIG_NAME:
            return
        table = objects.decode_routing(change.spec)
        if table is None:
            logger.error("malformed configuration", extra={"revision": change.revision})
            return
        self._directory.adopt_routing(table)


class ServerSink:
    """Takes servers' entries."""

    __slots__ = ("_directory",)

    def __init__(self, directory):
        self._directory = directory

    def replace(self, changes):
        """Take the complete list of entries."""
        entries = [objects.decode_server(c.name, c.spec) for c in changes]
        self._directory.set_servers([entry for entry in entries if entry])

    def apply(self, change):
        """Take a changed or removed entry."""
        entry = None
        if not change.removed:
            entry = objects.decode_server(change.name, change.spec)
        if entry is None:
            self._directory.drop_server(change.name)
        else:
            self._directory.set_server(entry)


class EvacuationSink:
    """Takes which failure domains are out."""

    __slots__ = ("_directory", "_names")

    def __init__(self, directory):
        self._directory = directory
        self._names = set()

    def replace(self, changes):
        """Take the complete list of evacuations."""
        self._names = {change.name for change in changes}
        self._directory.set_domains_out(self._names)

    def apply(self, change):
        """Take a new or removed evacuation."""
        if change.removed:
            self._names.discard(change.name)
        else:
            self._names.add(change.name)
        self._directory.set_domains_out(self._names)


def sinks_by_kind(directory):
    """Return what decodes each kind that a daemon follows."""
    return {
        objects.CONFIG_KIND: ConfigSink(directory),
        objects.SERVER_KIND: ServerSink(directory),
        objects.EVACUATION_KIND: EvacuationSink(directory),
    }
