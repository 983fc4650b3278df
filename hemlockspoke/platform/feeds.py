"""Reads each object kind of the store and applies it to the daemon's directory."""

import logging

from hemlockspoke.platform import objects
from hemlockspoke.tier.state.configurations import Configurations
from hemlockspoke.tier.state.domains_out import DomainsOut
from hemlockspoke.tier.state.feed import Change, FeedError, Page
from hemlockspoke.tier.state.server_list import ServerList
from hemlockspoke.tier.state.store_era import UNKNOWN_ERA

logger = logging.getLogger(__name__)

HTTP_OK = 200
HTTP_GONE = 410


class KindSource:
    """Lists and watches the objects of one kind."""

    __slots__ = ("_calls", "_kind")

    def __init__(self, calls, kind):
        self._calls = calls
        self._kind = kind

    def list_page(self, after, on_page, stale=False):
        """Read the page of objects that follows the name ``after``, or the first page.

        ``on_page`` gets a ``Page`` or a ``FeedError``. A ``stale`` page may be a few
        seconds old.
        """

        def decode(reply):
            items = page_items(reply, "items")
            if items is None:
                on_page(feed_error(reply))
                return
            changes = [self._decode(item, False, reply.era) for item in items]
            changes = [change for change in changes if change]
            if reply.body.get("more") and not changes:
                on_page(FeedError("no object of the page has a name"))
                return
            after_name = changes[-1].name if reply.body.get("more") else None
            revision = reply.body["current_rev"]
            on_page(Page(changes, revision, after_name, era=reply.era))

        self._calls.list(self._kind, after, decode, stale=stale)

    def watch(self, revision, wait_ms, grace_ms, on_page):
        """Wait for changes after a revision; see ``StoreCalls.watch`` for the times.

        ``on_page`` gets a ``Page`` of the changes or a ``FeedError``.
        """

        def decode(reply):
            events = page_items(reply, "events")
            if events is None:
                on_page(feed_error(reply))
                return
            changes = [
                self._decode(event.get("object"), event.get("removed"), reply.era)
                for event in events
                if isinstance(event, dict)
            ]
            changes = [change for change in changes if change]
            on_page(Page(changes, reply.body["current_rev"], era=reply.era))

        self._calls.watch(self._kind, revision, wait_ms, grace_ms, decode)

    def _decode(self, item, removed, era):
        change = decode_change(self._kind, item, removed, era)
        if change is None or (change.spec is None and not removed):
            self._calls.count_malformed()
        return change


def page_items(reply, field):
    """Return the items or events of a page, or None if the reply is no page."""
    body = reply.body if isinstance(reply.body, dict) else {}
    is_page = isinstance(body.get(field), list) and type(body.get("current_rev")) is int
    return body[field] if reply.status == HTTP_OK and is_page else None


def feed_error(reply):
    """Return the ``FeedError`` for a reply without a page of objects."""
    detail = reply.detail or f"status {reply.status}"
    if reply.status == HTTP_OK:
        detail = "the reply has no page of objects"
    return FeedError(detail, reply.status == HTTP_GONE, reply.too_long)


def decode_change(kind, item, removed=False, era=UNKNOWN_ERA):
    """Return the ``Change`` of an object, or None if it has no readable name.

    Its specification is None if it is malformed. ``era`` is that of the answer.
    """
    meta = item.get("meta") if isinstance(item, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    if not objects.is_text(name):
        logger.warning("object without a readable name", extra={"kind": kind})
        return None
    revision = meta.get("revision")
    if removed:
        return Change(name, None, True, revision)
    spec = item.get("spec")
    # The start time of a server is stored next to its spec, not in it.
    if isinstance(spec, dict) and "born" in item and "born" not in spec:
        spec = {**spec, "born": item["born"]}
    if isinstance(spec, dict) and kind == objects.ROLLOUT_KIND:
        status = item.get("status")
        spec = {**spec, "era": era, "revision": revision, "status": status}
    known = objects.known_fields(kind, name, spec)
    if known is None:
        logger.warning("malformed object", extra={"kind": kind, "object": name})
    return Change(name, known, False, revision)


class ConfigSink:
    """Applies the operator's configuration to ``Configurations``."""

    __slots__ = ("_configurations",)

    def __init__(self, configurations):
        self._configurations = configurations

    def replace(self, changes):
        """Apply all listed configuration objects."""
        self._apply_all(changes, self._configurations.adopt)

    def restore(self, changes):
        """Apply the first list of a new era."""
        self._apply_all(changes, self._configurations.restore)

    def apply(self, change):
        """Apply a changed configuration; a removal leaves the last one in force."""
        self._apply_all([change], self._configurations.adopt)

    def _apply_all(self, changes, apply):
        for change in changes:
            if change.removed or change.name != objects.CONFIG_NAME:
                continue
            table = objects.decode_routing(change.spec)
            if table is None:
                logger.error(
                    "malformed configuration", extra={"revision": change.revision}
                )
                continue
            apply(table)


class ServerSink:
    """Applies server entries to a ``ServerList``."""

    __slots__ = ("_servers",)

    def __init__(self, servers):
        self._servers = servers

    def replace(self, changes):
        """Replace all server entries."""
        self._servers.replace(decode_servers(changes))

    def restore(self, changes):
        """Apply the first list of a new era."""
        self._servers.restore(decode_servers(changes))

    def apply(self, change):
        """Apply a changed entry; a removed or malformed one drops its server."""
        entry = None
        if not change.removed:
            entry = objects.decode_server(change.name, change.spec)
        if entry is None:
            self._servers.remove(change.name)
        else:
            self._servers.set(entry)


def decode_servers(changes):
    """Return the entries of a list of server objects, without malformed ones."""
    entries = [objects.decode_server(change.name, change.spec) for change in changes]
    return [entry for entry in entries if entry]


class EvacuationSink:
    """Applies evacuations to the ``DomainsOut``."""

    __slots__ = ("_domains_out",)

    def __init__(self, domains_out):
        self._domains_out = domains_out

    def replace(self, changes):
        """Replace all evacuations."""
        self._domains_out.replace({change.name for change in changes})

    def restore(self, changes):
        """Apply the first list of a new era."""
        self._domains_out.restore({change.name for change in changes})

    def apply(self, change):
        """Apply a new or removed evacuation."""
        if change.removed:
            self._domains_out.remove(change.name)
        else:
            self._domains_out.add(change.name)


def sinks_by_kind(directory, clock):
    """Return the sink for each object kind that the daemon watches."""
    return {
        objects.CONFIG_KIND: ConfigSink(Configurations(directory, clock)),
        objects.SERVER_KIND: ServerSink(ServerList(directory, clock)),
        objects.EVACUATION_KIND: EvacuationSink(DomainsOut(directory, clock)),
    }
