"""Calls to the platform's object API."""

import logging
from urllib.parse import quote, urlencode

from hemlockspoke.http1.json_calls import JsonCalls
from hemlockspoke.tier.state.store_era import UNKNOWN_ERA

logger = logging.getLogger(__name__)

# The store answers within a few ms; the timeout still covers a tenfold slowdown.
CALL_TIMEOUT_MS = 1200
# Connections of one daemon to the store; each pending watch occupies one.
MAX_CONNECTIONS = 8
ERA_HEADER = b"store-era"
# Longer numbers are no era. A message between daemons holds integers of 64 bits.
MAX_ERA_DIGITS = 18
EARLIER_ERA = "the answer is of an earlier era of the store"


class StoreReply:
    """A reply of the store: a ``JsonReply`` with the ``era`` that it counts for.

    ``status`` is None if there was no reply, or only one of an earlier era.
    """

    __slots__ = ("body", "detail", "era", "status", "too_long")

    def __init__(self, status, body=None, detail="", era=UNKNOWN_ERA, too_long=False):
        self.status = status
        self.body = body
        self.detail = detail
        self.era = era
        self.too_long = too_long


class StoreCalls:
    """Calls of one daemon to the object API; ``on_reply`` gets a ``StoreReply``.

    ``eras`` is the ``StoreEras`` that learns the era of each answer, before the caller
    gets it.
    """

    __slots__ = ("_calls", "_eras", "_metrics")

    def __init__(self, reactor, clock, address, metrics, eras, bind_host=None):
        self._metrics = metrics
        self._eras = eras
        self._calls = JsonCalls(reactor, clock, address, MAX_CONNECTIONS, bind_host)

    def call(self, method, path, on_reply, body=None, timeout_ms=CALL_TIMEOUT_MS):
        """Send a call and count it by its method."""

        def decode(reply):
            era = self._eras.newest
            if reply.status is not None:
                era = self._eras.observe(stated_era(reply.headers), path)
            if reply.too_long:
                self._metrics.count("store.too_long")
                logger.warning(
                    "reply of the store is too long",
                    extra={"path": path, "reason": reply.detail},
                )
            if era < self._eras.newest:
                on_reply(StoreReply(None, detail=EARLIER_ERA, era=era))
                return
            on_reply(
                StoreReply(reply.status, reply.body, reply.detail, era, reply.too_long)
            )

        self._metrics.count(f"store.{method.lower()}")
        self._calls.call(method, path, decode, timeout_ms, body)

    def count_malformed(self):
        """Count an object of the store that cannot be used."""
        self._metrics.count("store.malformed")

    def list(self, kind, after, on_reply, stale=False):
        """Read a page of the objects of a kind.

        A stale list costs a tenth of an up-to-date one but may be a few seconds old.
        """
        parameters = {"after": after} if after else {}
        if stale:
            parameters["stale_ok"] = "1"
        query = f"?{urlencode(parameters)}" if parameters else ""
        self.call("GET", f"/api/objects/{kind}{query}", on_reply)

    def watch(self, kind, revision, wait_ms, grace_ms, on_reply):
        """Wait for changes of a kind after a revision.

        The call times out ``grace_ms`` after the store's own wait of ``wait_ms``.
        """
        path = f"/api/objects/{kind}?watch={revision}&wait_ms={int(wait_ms)}"
        self.call("GET", path, on_reply, timeout_ms=wait_ms + grace_ms)

    def put_status(self, kind, name, status, revision, on_reply):
        """Replace the status of the object at ``revision``."""
        path = f"/api/objects/{kind}/{quote(name, safe='')}/status"
        meta = {"name": name, "revision": revision}
        self.call("PUT", path, on_reply, body={"meta": meta, "status": status})

    def put(self, kind, name, spec, revision, on_reply):
        """Create an object, or replace the one at ``revision``."""
        meta = {"name": name}
        if revision is None:
            path, method = f"/api/objects/{kind}", "POST"
        else:
            path, method = f"/api/objects/{kind}/{quote(name, safe='')}", "PUT"
            meta["revision"] = revision
        self.call(method, path, on_reply, body={"meta": meta, "spec": spec})


def stated_era(headers):
    """Return the era that an answer states, or None if it states no readable one.

    >>> stated_era([(b"Store-Era", b"3")])
    3
    >>> stated_era([(b"Store-Era", b"-3")]) is None
    True
    """
    values = [value for name, value in headers if name.lower() == ERA_HEADER]
    if len(set(values)) != 1:
        return None
    value = values[0].strip()
    is_number = value.isdigit() and len(value) <= MAX_ERA_DIGITS
    return int(value) if is_number else None
