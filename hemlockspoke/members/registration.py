"""Registers this process as the current incarnation of its VM."""

import logging
import uuid

from expression import Ok
from twisted.internet.defer import ensureDeferred

from hemlockspoke.errors import StoreErrorKind

logger = logging.getLogger(__name__)

RETRY_MS = 1000


def registration_key(vm):
    """Return the key of a VM's registration object."""
    return f"vms/{vm}"


class Registration:
    """Writes ``vms/<vm>`` once and retries while the store is down.

    The store version of the object is the incarnation, which is higher than that of
    every earlier process on the VM. The daemon binds its peer address before it
    registers, so that an earlier process can no longer serve on it.
    """

    __slots__ = ("_clock", "_listener", "_store", "_stopped", "_value", "incarnation")

    def __init__(self, clock, store, value, listener):
        self._clock = clock
        self._store = store
        self._value = value
        self._listener = listener
        self._stopped = False
        self.incarnation = None

    @classmethod
    def from_config(cls, settings, clock, store, listener):
        """Build from the settings; ``listener(key, version, value)`` is called once."""
        value = {
            "vm": settings.vm,
            "writer": uuid.uuid4().hex,
            "region": settings.region,
            "failure_domain": settings.failure_domain,
            "peer_address": str(settings.peer_address),
            "operator_address": str(settings.operator_address),
        }
        return cls(clock, store, value, listener)

    def start(self):
        """Try to register now."""
        if not self._stopped:
            ensureDeferred(self._register()).addErrback(self._retry_after_failure)

    def stop(self):
        """Stop retrying."""
        self._stopped = True

    async def _register(self):
        key = registration_key(self._value["vm"])
        result = await self._write(key)
        if result.is_error():
            logger.warning("not registered", extra={"reason": repr(result.error)})
            self._clock.call_later(RETRY_MS, self.start)
            return
        self.incarnation = result.ok
        logger.info("registered", extra={"incarnation": result.ok})
        self._listener(key, result.ok, self._value)

    async def _write(self, key):
        current = await self._store.get(key)
        version = 0
        if current.is_ok():
            if current.ok.value.get("writer") == self._value["writer"]:
                # An earlier write took effect although its reply was lost.
                return Ok(current.ok.version)
            version = current.ok.version
        elif current.error.kind is not StoreErrorKind.NOT_FOUND:
            return current
        return await self._store.put(key, self._value, version)

    def _retry_after_failure(self, failure):
        logger.error("registration failed", extra={"reason": failure.getTraceback()})
        self._clock.call_later(RETRY_MS, self.start)
