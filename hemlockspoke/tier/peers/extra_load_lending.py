"""Lends tokens of the extra load between daemons.

The slack of a service is divided among all daemons, but in a given time few of them
send to it. Answers the load of many answers of some servers lost at once, whose repeats
need more tokens than the share of the daemons that send to these servers.
"""

import random

from hemlockspoke.tier.messages import ExtraLoadGrant, ExtraLoadRequest

# Shortages of this time are asked for in one message, as the parts of a query fail at
# about the same time.
BATCH_MS = 5.0
# Least time between two messages that ask, however many services are short.
ASK_INTERVAL_MS = 100.0
# Tokens of a service are asked for again after the first of these times. It doubles up
# to the second one while nobody lends any, as after a restart of all daemons.
ASK_AGAIN_MS = 250.0
MAX_ASK_AGAIN_MS = 4000.0
# Daemons asked at a time. What they lend is taken from their shares, so few are asked.
ASKED_DAEMONS = 3
# Limits on what a message may name, and on what a grant may hold.
MAX_SERVICES = 400
MAX_TOKENS = 1000


class _Shortage:
    """When tokens of a service were last asked for, and when they may be again."""

    __slots__ = ("again_ms", "asked_ms")

    def __init__(self, asked_ms):
        self.asked_ms = asked_ms
        self.again_ms = ASK_AGAIN_MS


class ExtraLoadLending:
    """Asks other daemons for tokens, and lends them those that this one does not need.

    ``connected()`` returns the VMs with an open stream and ``send(vm, message)`` sends.
    ``services()`` returns the services of the configuration; others are ignored.
    """

    __slots__ = (
        "_asked_at_ms",
        "_clock",
        "_connected",
        "_extra_load",
        "_rng",
        "_scheduled",
        "_send",
        "_services",
        "_short",
        "_shortages",
    )

    def __init__(self, clock, extra_load, connected, send, services, rng=None):
        self._clock = clock
        self._extra_load = extra_load
        self._connected = connected
        self._send = send
        self._services = services
        self._rng = rng or random.Random()
        self._short = set()
        self._shortages = {}
        self._asked_at_ms = -ASK_INTERVAL_MS
        self._scheduled = False
        extra_load.on_shortage = self._on_shortage

    def _on_shortage(self, service):
        now_ms = self._clock.now_ms()
        shortage = self._shortages.get(service)
        if shortage is None:
            self._shortages[service] = _Shortage(now_ms)
        elif now_ms - shortage.asked_ms < shortage.again_ms:
            return
        else:
            shortage.asked_ms = now_ms
            shortage.again_ms = min(MAX_ASK_AGAIN_MS, 2.0 * shortage.again_ms)
        self._short.add(service)
        if not self._scheduled:
            self._scheduled = True
            due_ms = self._asked_at_ms + ASK_INTERVAL_MS - now_ms
            self._clock.call_later(max(BATCH_MS, due_ms), self._ask)

    def _ask(self):
        self._scheduled = False
        self._asked_at_ms = self._clock.now_ms()
        services, self._short = sorted(self._short), set()
        connected = sorted(self._connected())
        asked = self._rng.sample(connected, min(ASKED_DAEMONS, len(connected)))
        for vm in asked:
            self._send(vm, ExtraLoadRequest(services=services[:MAX_SERVICES]))

    def retain(self, services):
        """Forget all services but these."""
        for service in [name for name in self._shortages if name not in services]:
            del self._shortages[service]

    def receive(self, vm, message):
        """Handle a message of another daemon; those of other types are ignored."""
        if isinstance(message, ExtraLoadRequest):
            self._lend(vm, message.services)
        elif isinstance(message, ExtraLoadGrant):
            self._take(message.grants)

    def _lend(self, vm, services):
        grants, known = [], self._services()
        for service in services[:MAX_SERVICES]:
            tokens = self._extra_load.lend(service) if service in known else 0
            if tokens:
                grants.append([service, tokens])
        if grants and not self._send(vm, ExtraLoadGrant(grants=grants)):
            self._take(grants)

    def _take(self, grants):
        known = self._services()
        for service, tokens in grants[:MAX_SERVICES]:
            if service in known and 0 < tokens <= MAX_TOKENS:
                self._extra_load.receive(service, tokens)
                # There may be more.
                self._shortages.pop(service, None)
