"""Stand-in for the users' object API: kinds, revisions, lists and watches.

It serves HTTP on one address. Tests change objects directly and inject faults with
``mode``: ``up``, ``busy`` (503), ``silent`` (no replies) or ``reset``. The mode applies
to calls from the hosts in ``faulty_peer_hosts``, or to all calls if that is None.
"""

import json
from urllib.parse import parse_qs, urlsplit

from hemlockspoke.http1.site import HttpSite
from tests.hosts import STAND_IN_HOST

PAGE_ITEMS = 50


class RawJson:
    """Bytes in the place of a value of the store's JSON; they need not be JSON."""

    def __init__(self, data):
        self.data = data


class StoredItem:
    """One object with its revision."""

    __slots__ = ("name", "revision", "spec", "status")

    def __init__(self, name, spec, revision, status=None):
        self.status = status
        self.name = name
        self.spec = spec
        self.revision = revision

    def to_json(self):
        """Return the object in the API's JSON form."""
        meta = {"name": self.name, "revision": self.revision, "created": 1}
        meta.update(finalizers=[], deleting=False)
        return {"meta": meta, "spec": self.spec, "status": self.status}


class Event:
    """A change of an object, as reported to watches."""

    __slots__ = ("item", "kind", "removed")

    def __init__(self, kind, item, removed):
        self.kind = kind
        self.item = item
        self.removed = removed


class ObjectStore:
    """Object store that records the calls it receives."""

    def __init__(self, reactor, clock, host=STAND_IN_HOST):
        self._clock = clock
        self._kinds = {}
        self._events = []
        self._history_start = 0
        self._waiting_watches = []
        self.revision = 10
        # Stated in all answers, unless it is None.
        self.era = 1
        self.mode = "up"
        self.faulty_peer_hosts = None
        self.calls = []
        # States in writes of a status whose reply is lost.
        self.lost_status_replies = []
        # A write of a status takes effect after this time, even if the caller has gone.
        self.status_delay_s = 0
        # Called with kind, name and status of each status that was written.
        self.on_status_written = lambda kind, name, status: None
        site = HttpSite(clock, self._handle)
        self._port = reactor.listenTCP(0, site, interface=host)
        self._site = site

    @property
    def address(self):
        """Return the address as text."""
        host = self._port.getHost()
        return f"{host.host}:{host.port}"

    def stop(self):
        """Close the port and every connection."""
        for channel in list(self._site.channels):
            channel.transport.abortConnection()
        return self._port.stopListening()

    def put(self, kind, name, spec, status=None):
        """Write an object and answer the watches on its kind."""
        self.revision += 1
        item = StoredItem(name, spec, self.revision, status)
        self._kinds.setdefault(kind, {})[name] = item
        self._record_event(Event(kind, item, removed=False))

    def remove(self, kind, name):
        """Remove an object and answer the watches on its kind."""
        item = self._kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            removed_item = StoredItem(name, item.spec, self.revision)
            self._record_event(Event(kind, removed_item, removed=True))

    def get(self, kind, name):
        """Return the spec of an object, or None."""
        item = self._kinds.get(kind, {}).get(name)
        return item.spec if item else None

    def names(self, kind):
        """Return the names of the objects of a kind."""
        return sorted(self._kinds.get(kind, {}))

    def status(self, kind, name):
        """Return the status of an object, or None."""
        item = self._kinds.get(kind, {}).get(name)
        return item.status if item else None

    def copy(self):
        """Return a copy of the present state, to come back from later."""
        kinds = {kind: dict(items) for kind, items in self._kinds.items()}
        return kinds, list(self._events), self._history_start, self.revision

    def come_back_from(self, copy):
        """Continue from a copy in a new era: what was written since is lost.

        Waiting watches are cut, also those from revisions that the copy has.
        """
        kinds, events, self._history_start, self.revision = copy
        self._kinds = {kind: dict(items) for kind, items in kinds.items()}
        self._events = list(events)
        self.era += 1
        for request, *_ in self._pop_waiting():
            request.abort()

    def compact(self):
        """Discard the history; open and older watches get status 410."""
        self._history_start = self.revision
        self._events.clear()
        for request, *_ in self._pop_waiting():
            self._reply(request, 410, {})

    def _pop_waiting(self):
        waiting, self._waiting_watches = self._waiting_watches, []
        return waiting

    def _record_event(self, event):
        self._events.append(event)
        if self.mode == "silent":
            return
        for request, kind, revision in self._pop_waiting():
            if not self._answer_watch(request, kind, revision):
                self._waiting_watches.append((request, kind, revision))

    def _is_faulty_for(self, request):
        if self.faulty_peer_hosts is None:
            return True
        host = request.peer_host
        return host in self.faulty_peer_hosts

    def _handle(self, request):
        self.calls.append((request.method.decode(), request.target.decode()))
        if self.mode != "up" and self._is_faulty_for(request):
            if self.mode == "busy":
                self._reply(request, 503, {})
            elif self.mode == "reset":
                request.abort()
            return
        parts = urlsplit(request.target.decode())
        path = parts.path.split("/")[3:]
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if request.method == b"GET" and "watch" in query:
            self._watch(request, path[0], query)
        elif request.method == b"GET":
            self._list(request, path[0], query.get("after", ""))
        elif request.method == b"PUT" and path[2:] == ["status"]:
            delay_ms = 1000.0 * self.status_delay_s
            self._clock.call_later(delay_ms, self._write_status, request, *path[:2])
        elif request.method in (b"POST", b"PUT"):
            self._write(request, path)
        else:
            self._reply(request, 404, {})

    def _list(self, request, kind, after):
        names = sorted(name for name in self._kinds.get(kind, {}) if name > after)
        items = [self._kinds[kind][name].to_json() for name in names[:PAGE_ITEMS]]
        has_more = len(names) > PAGE_ITEMS
        body = {"items": items, "more": has_more, "current_rev": self.revision}
        self._reply(request, 200, body)

    def _watch(self, request, kind, query):
        revision = int(query["watch"])
        if revision < self._history_start or revision > self.revision:
            self._reply(request, 410, {})
            return
        if not self._answer_watch(request, kind, revision):
            waiting = (request, kind, revision)
            self._waiting_watches.append(waiting)
            self._clock.call_later(int(query["wait_ms"]), self._expire, waiting)

    def _expire(self, waiting):
        if waiting in self._waiting_watches and self.mode != "silent":
            self._waiting_watches.remove(waiting)
            # Report changes made while the store was silent.
            if self._answer_watch(*waiting):
                return
            self._reply(waiting[0], 200, {"events": [], "current_rev": self.revision})

    def _answer_watch(self, request, kind, revision):
        events = [
            {"removed": event.removed, "object": event.item.to_json()}
            for event in self._events
            if event.kind == kind and event.item.revision > revision
        ]
        if events:
            self._reply(request, 200, {"events": events, "current_rev": self.revision})
        return bool(events)

    def _write(self, request, path):
        body = json.loads(request.body)
        name, kind = body["meta"]["name"], path[0]
        item = self._kinds.get(kind, {}).get(name)
        expected_revision = body["meta"].get("revision")
        created = request.method == b"POST"
        if item is None and not created:
            self._reply(request, 404, {})
            return
        conflict = item is not None if created else item.revision != expected_revision
        if conflict:
            self._reply(request, 409, item.to_json())
            return
        self.put(kind, name, body["spec"])
        self._reply(request, 200, self._kinds[kind][name].to_json())

    def _write_status(self, request, kind, name):
        body = json.loads(request.body)
        item = self._kinds.get(kind, {}).get(name)
        if item is None:
            self._reply(request, 404, {})
            return
        if item.revision != body["meta"]["revision"]:
            self._reply(request, 409, item.to_json())
            return
        self.put(kind, name, item.spec, body["status"])
        self.on_status_written(kind, name, body["status"])
        state = body["status"].get("state")
        if state in self.lost_status_replies:
            self.lost_status_replies.remove(state)
            request.abort()
            return
        self._reply(request, 200, self._kinds[kind][name].to_json())

    def _reply(self, request, status, body):
        """Respond to a request with JSON."""
        headers = [(b"Content-Type", b"application/json")]
        if self.era is not None:
            headers.append((b"Store-Era", b"%d" % self.era))
        request.respond(status, headers, encode_json(body))


def encode_json(body):
    """Return the bytes of a value that may hold ``RawJson``."""
    raw_values = []

    def placeholder(value):
        raw_values.append(value.data)
        return f"raw value {len(raw_values)}"

    data = json.dumps(body, default=placeholder).encode()
    for number, raw_data in enumerate(raw_values, 1):
        data = data.replace(b'"raw value %d"' % number, raw_data)
    return data
