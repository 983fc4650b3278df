"""The failure domains that operators have taken out of service."""

import logging

from hemlockspoke.tier.state.store_era import RETENTION_MS

logger = logging.getLogger(__name__)


class DomainsOut:
    """Keeps the directory's failure domains out of service up to date.

    The first list of a new era may lack a domain that was taken out, and an operator
    was told so. That domain stays out until the store reports a change of it, or for
    ``RETENTION_MS``: sending nothing to it costs room, and sending breaks a promise.
    """

    __slots__ = ("_clock", "_directory", "_kept_until_ms", "_listed")

    def __init__(self, directory, clock):
        self._directory = directory
        self._clock = clock
        self._listed = set()
        # Clock time until which a domain is out that the newest list lacked.
        self._kept_until_ms = {}

    def replace(self, names):
        """Apply a complete list."""
        self._listed = set(names)
        self._update()

    def restore(self, names):
        """Apply the first list of a new era."""
        missing = self._directory.domains_out - set(names)
        until_ms = self._clock.now_ms() + RETENTION_MS
        self._kept_until_ms = dict.fromkeys(missing, until_ms)
        if missing:
            logger.warning("domains kept out", extra={"domains": sorted(missing)})
            self._clock.call_later(RETENTION_MS, self._update)
        self.replace(names)

    def add(self, name):
        """Take a domain out."""
        self._listed.add(name)
        self._kept_until_ms.pop(name, None)
        self._update()

    def remove(self, name):
        """Take a domain back."""
        self._listed.discard(name)
        self._kept_until_ms.pop(name, None)
        self._update()

    def _update(self):
        now_ms = self._clock.now_ms()
        self._kept_until_ms = {
            name: until_ms
            for name, until_ms in self._kept_until_ms.items()
            if until_ms > now_ms and name not in self._listed
        }
        self._directory.set_domains_out(self._listed | self._kept_until_ms.keys())
