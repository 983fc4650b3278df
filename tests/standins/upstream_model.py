"""Behaviour of one upstream server of the stand-in, without sockets."""

import itertools
import random
import zlib
from collections import deque

DEFAULTS = {
    "slots": 2,
    "queue_bound": 8,
    "connections": 25,
    "connect_cost_ms": 0,
    "delay_ms": 0,
    "service_ms": 5,
    "straggler_ratio": 0.0,
    "straggler_factor": 10,
    "seed": 1,
    "cold": False,
    # Running and queued requests that a cold server handles; one more makes it
    # unresponsive for ``unresponsive_ms``.
    "cold_capacity": 1,
    # Factor on the service time of a cold server.
    "cold_factor": 3,
    # Finished requests after which a cold server is warm.
    "warm_after": 8,
    "unresponsive_ms": 1000,
    # Overloading a cold server is a violation from this time and two network delays
    # after callers could first see the cold incarnation.
    "cold_notice_grace_ms": 100,
    "shed_ratio": 0.0,
    "lost_reply_ratio": 0.0,
    "draining": False,
    # Work that arrives later than this after the start of a drain is a violation.
    "drain_grace_ms": 3000,
    "status_lag_ms": 0,
    # Fields that replace those of the true status.
    "status_override": {},
    "rows_per_part": 3,
    # Index version used to answer all queries; None: the version of each query.
    "answer_version": None,
    "indexes": {"bins": {"1": {"parts_total": 1, "parts": [0]}}},
}

VIOLATION_COUNTERS = (
    "cold_overruns",
    "connection_overruns",
    "slot_overruns",
    "work_after_drain",
    "orders_run_twice",
)
COUNTS = (
    "queries",
    "orders",
    "cancellations",
    "sheds",
    "version_gone",
    # Requests of programs that take this for another server.
    "foreign_requests",
    "expired",
    "cold_overruns_unsignalled",
    # Times that an overloaded cold server became unresponsive.
    "overloads",
    "connections_opened",
    "max_connections",
    "max_running",
)


def part_rows(index, version, part, count):
    """Return the rows of a part, a function of index, version and part only."""
    rows = []
    for number in range(count):
        seed = f"{index}/{version}/{part}/{number}".encode()
        rows.append(
            {
                "id": f"{index}-{part}-{number}",
                "version": version,
                "part": part,
                "value": zlib.crc32(seed),
            }
        )
    return rows


class UpstreamModel:
    """Slots, queue, cold start, drain and counters of one server.

    A call passed to ``arrive`` has ``kind`` (``query`` or ``order``), ``body``,
    ``key``, ``deadline_ms``, ``state``, ``timer``, ``expired(now_ms)``,
    ``reply(code, body)`` and ``drop()``.
    """

    def __init__(self, reactor, name, settings):
        unknown = set(settings) - set(DEFAULTS)
        if unknown:
            raise ValueError(f"unknown settings {sorted(unknown)}")
        self.reactor = reactor
        self.name = name
        self.settings = {**DEFAULTS, **settings}
        self.random = random.Random(self.settings["seed"])
        self.counters = dict.fromkeys(VIOLATION_COUNTERS + COUNTS, 0)
        self.order_keys = {}
        self.generation = 1
        self.active = set()
        self.queue = deque()
        self.connections = 0
        self.unresponsive_until_ms = 0.0
        self.drain_started_ms = self.now_ms() if self.settings["draining"] else None
        self.incarnation_visible_ms = 0.0
        self.status_history = []
        self.warm_runs = 0
        self._record_status()

    def now_ms(self):
        return self.reactor.seconds() * 1000.0

    @property
    def running(self):
        return len(self.active)

    @property
    def incarnation(self):
        return f"{self.name}.{self.generation}"

    def count(self, name):
        self.counters[name] += 1

    def configure(self, changes):
        """Change settings while running; raises ``KeyError`` for unknown ones."""
        for name, value in changes.items():
            if name not in self.settings:
                raise KeyError(f"unknown setting {name!r}")
            if name == "draining" and value != self.settings["draining"]:
                self.drain_started_ms = self.now_ms() if value else None
            if name == "cold":
                self.warm_runs = 0
            self.settings[name] = value
        self._record_status()

    def start_cold_incarnation(self, visible):
        """Start a new incarnation that is cold.

        ``visible`` is true if callers notice at once because their connections broke.
        """
        self.generation += 1
        self.incarnation_visible_ms = self.now_ms() if visible else None
        self.configure({"cold": True})

    def restart(self):
        """Discard all work and start a cold incarnation.

        The calling code closes the connections.
        """
        for call in [*self.queue, *self.active]:
            call.state = "closed"
            if call.timer is not None:
                call.timer.cancel()
        self.queue.clear()
        self.active.clear()
        self.unresponsive_until_ms = 0.0
        self.start_cold_incarnation(visible=True)

    # Status

    def status(self):
        """Return the status ``status_lag_ms`` ago, with ``status_override`` applied."""
        limit_ms = self.now_ms() - self.settings["status_lag_ms"]
        visible_entries = [
            entry for at_ms, entry in self.status_history if at_ms <= limit_ms
        ]
        reported = visible_entries[-1] if visible_entries else self.status_history[0][1]
        load = self.running + len(self.queue)
        return {"load": load, **reported, **self.settings["status_override"]}

    def _record_status(self):
        state = "live"
        if self.settings["cold"]:
            state = "cold"
        if self.settings["draining"]:
            state = "draining"
        entry = {
            "incarnation": self.incarnation,
            "state": state,
            "indexes": self.settings["indexes"],
        }
        self.status_history = self.status_history[-20:]
        self.status_history.append((self.now_ms(), entry))

    # Work

    def arrive(self, call):
        """Handle a request that has reached the server."""
        call.state = "hung"
        if self.now_ms() < self.unresponsive_until_ms:
            return
        if self.settings["draining"]:
            self._refuse_draining(call)
        elif self.random.random() < self.settings["shed_ratio"]:
            self._shed(call)
        elif call.kind == "query" and not self._serves(call.body):
            self._version_gone(call)
        elif not self._overloads_cold_server():
            self._start_or_queue(call)

    def connection_closed(self, call):
        """Release the slot or queue entry of a request whose connection closed."""
        if call.state not in ("running", "queued"):
            return
        self.count("cancellations")
        if call.state == "queued":
            self.queue.remove(call)
        else:
            call.timer.cancel()
            self.active.remove(call)
            self._start_next()
        call.state = "closed"

    def _refuse_draining(self, call):
        if self.now_ms() - self.drain_started_ms > self.settings["drain_grace_ms"]:
            self.count("work_after_drain")
        self._answer(call, 503, {"error": "draining", "ran": False})

    def _shed(self, call):
        self.count("sheds")
        self._answer(call, 503, {"error": "shed", "ran": False})

    def _version_gone(self, call):
        self.count("version_gone")
        indexes = self.settings["indexes"]
        self._answer(call, 409, {"error": "version_gone", "indexes": indexes})

    def _serves(self, body):
        versions = self.settings["indexes"].get(body["index"], {})
        served = versions.get(str(body["version"]), {"parts": []})
        return set(body["parts"]) <= set(served["parts"])

    def _overloads_cold_server(self):
        """Return whether this arrival makes a cold server unresponsive."""
        load = self.running + len(self.queue) + 1
        if not self.settings["cold"] or load <= self.settings["cold_capacity"]:
            return False
        grace_ms = self.settings["cold_notice_grace_ms"] + 2 * self.settings["delay_ms"]
        visible_ms = self.incarnation_visible_ms
        if visible_ms is not None and self.now_ms() >= visible_ms + grace_ms:
            self.count("cold_overruns")
        else:
            self.count("cold_overruns_unsignalled")
        self.count("overloads")
        self.warm_runs = 0
        self.unresponsive_until_ms = self.now_ms() + self.settings["unresponsive_ms"]
        return True

    def _start_or_queue(self, call):
        if self.running < self.settings["slots"]:
            self._start(call)
            return
        self.count("slot_overruns")
        if len(self.queue) >= self.settings["queue_bound"]:
            self._shed(call)
            return
        call.state = "queued"
        self.queue.append(call)

    def _start_next(self):
        while self.queue and self.running < self.settings["slots"]:
            self._start(self.queue.popleft())

    def _start(self, call):
        if call.expired(self.now_ms()):
            self.count("expired")
            self._answer(call, 503, {"error": "shed", "ran": False})
            return
        call.state = "running"
        self.active.add(call)
        highest = max(self.counters["max_running"], self.running)
        self.counters["max_running"] = highest
        if call.kind == "order":
            # Count at the start, since a cancelled order may have taken effect.
            self._count_order(call.key)
        else:
            self.count("queries")
        delay_s = self._service_ms() / 1000.0
        call.timer = self.reactor.callLater(delay_s, self._finish, call)

    def _count_order(self, key):
        self.count("orders")
        self.order_keys[key] = self.order_keys.get(key, 0) + 1
        if self.order_keys[key] > 1:
            self.count("orders_run_twice")

    def _service_ms(self):
        duration_ms = self.settings["service_ms"]
        if self.random.random() < self.settings["straggler_ratio"]:
            duration_ms *= self.settings["straggler_factor"]
        if self.settings["cold"]:
            duration_ms *= self.settings["cold_factor"]
        return duration_ms

    def _finish(self, call):
        if self.now_ms() < self.unresponsive_until_ms:
            call.timer = self.reactor.callLater(
                (self.unresponsive_until_ms - self.now_ms()) / 1000.0,
                self._finish,
                call,
            )
            return
        self.active.remove(call)
        self.warm_runs += 1
        if self.settings["cold"] and self.warm_runs >= self.settings["warm_after"]:
            self.configure({"cold": False})
        if self.random.random() < self.settings["lost_reply_ratio"]:
            call.state = "lost"
            call.drop()
        else:
            self._answer(call, 200, self._result(call))
        self._start_next()

    def _result(self, call):
        if call.kind == "order":
            return {"result": {"key": call.key, "server": self.name}}
        body = call.body
        count = self.settings["rows_per_part"]
        index = body["index"]
        version = self.settings["answer_version"] or body["version"]
        parts = {str(p): part_rows(index, version, p, count) for p in body["parts"]}
        if "echo" in body["query"]:
            for row in itertools.chain.from_iterable(parts.values()):
                row["echo"] = body["query"]["echo"]
        return {"index": index, "version": version, "parts": parts}

    def _answer(self, call, code, body):
        call.state = "answered"
        if self.incarnation_visible_ms is None:
            self.incarnation_visible_ms = self.now_ms()
        call.reply(code, {"incarnation": self.incarnation, **body})
