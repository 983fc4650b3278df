"""Registers this daemon in the store and finds the others."""

import logging
import random

from hemlockspoke.platform.feeds import HTTP_OK, decode_object
from hemlockspoke.platform.objects import DAEMON_KIND
from hemlockspoke.tier.fellows import decode_fellow

logger = logging.getLogger(__name__)

REGISTER_RETRY_MS = 1000.0
# All daemons start within 0.3 s of each other.
FIRST_READ_MS = 500.0
# Stale lists cost a tenth of a call; a daemon that joins is found within this time.
READ_MS = 5000.0
# A registration is renewed this often, so that those of machines that are gone can
# be told from the others.
RENEW_MS = 120_000.0
EXPIRY_MS = 600_000.0


class Members:
    """Keeps the registration of this daemon and reads those of all."""

    __slots__ = (
        "_address",
        "_calls",
        "_clock",
        "_found",
        "_items",
        "_registered",
        "_settings",
    )

    def __init__(self, calls, clock, settings, address, found):
        self._calls = calls
        self._clock = clock
        self._settings = settings
        self._address = address
        self._found = found
        self._items = []
        self._registered = False

    def start(self):
        """Register, and read the list from now on."""
        self._register(None)
        self._clock.call_later(FIRST_READ_MS, self._read, None, False)

    def _register(self, revision):
        spec = {
            "failure_domain": self._settings.failure_domain,
            "peer_address": str(self._address),
            "renewed_ms": self._clock.wall_ms(),
        }
        self._calls.put(DAEMON_KIND, self._settings.vm, spec, revision, self._written)

    def _written(self, reply):
        meta = reply.body.get("meta") if isinstance(reply.body, dict) else None
        revision = meta.get("revision") if isinstance(meta, dict) else None
        if reply.status == 409 and revision is not None:
            # An earlier process of this machine has left its registration, or an
            # unanswered call has been executed.
            spec = reply.body.get("spec")
            known = isinstance(spec, dict) and spec.get("peer_address")
            if known != str(self._address):
                self._register(revision)
                return
        if reply.status in (200, 201, 409):
            self._registered = True
            self._clock.call_later(RENEW_MS, self._register, revision)
            return
        self._clock.call_later(REGISTER_RETRY_MS, self._register, None)

    def _read(self, after, stale=True):
        self._calls.list(
            DAEMON_KIND, after, lambda reply: self._listed(reply, stale), stale=stale
        )

    def _listed(self, reply, stale):
        body = reply.body
        if reply.status != HTTP_OK or not isinstance(body, dict):
            self._items = []
            self._read_later()
            return
        changes = [decode_object(item) for item in body["items"]]
        self._items.extend(change for change in changes if change)
        if body.get("more") and self._items:
            self._read(self._items[-1].name, stale)
            return
        items, self._items = self._items, []
        self._found(self._decode(items))
        self._read_later()

    def _decode(self, items):
        fellows = []
        now_ms = self._clock.wall_ms()
        for item in items:
            fellow = decode_fellow(item.name, item.spec, self._settings.failure_domains)
            if fellow is None or fellow.vm == self._settings.vm:
                continue
            renewed_ms = item.spec.get("renewed_ms")
            if isinstance(renewed_ms, int) and now_ms - renewed_ms > EXPIRY_MS:
                continue
            fellows.append(fellow)
        return fellows

    def _read_later(self):
        delay_ms = READ_MS * random.uniform(0.8, 1.2)
        self._clock.call_later(delay_ms, self._read, None)
