"""Sends sub-queries and orders to the servers in which this daemon has shares."""

from hemlockspoke.limits.held_server import HeldServer
from hemlockspoke.limits.holder_work import OrderWork, SubQuery
from hemlockspoke.messages import OrderAnswer, SubAnswerBatch, SubQueryStatus
from hemlockspoke.orders.order_history import OrderHistory
from hemlockspoke.requests import Share

GAUGE_INTERVAL_MS = 1000

# Size limit of the answers in one message; with the msgpack encoding the message
# stays below the frame limit.
MAX_BATCH_BYTES = 1024 * 1024


class AnswerBatch:
    """Collects the answers to one request within one iteration of the reactor."""

    __slots__ = ("_clock", "_items", "_reply", "_request_id", "_size_bytes")

    def __init__(self, clock, request_id, reply):
        self._clock = clock
        self._request_id = request_id
        self._reply = reply
        self._items = []
        self._size_bytes = 0

    def add(self, sub_id, status, version, parts, size_bytes=0):
        """Add an answer, to be sent at the end of the reactor's iteration."""
        if self._size_bytes + size_bytes > MAX_BATCH_BYTES:
            self._flush()
        if not self._items:
            self._clock.call_later(0, self._flush)
        self._items.append([sub_id, status, version, parts])
        self._size_bytes += size_bytes

    def _flush(self):
        items, self._items = self._items, []
        self._size_bytes = 0
        if items:
            self._reply(SubAnswerBatch(request_id=self._request_id, items=items))


class Holder:
    """Sends the requests of all daemons that use this daemon's shares."""

    def __init__(
        self,
        clock,
        clients,
        configuration,
        metrics,
        invariants,
        pause_detector,
        timings,
    ):
        self._clock = clock
        self._clients = clients
        self._configuration = configuration
        self._metrics = metrics
        self._invariants = invariants
        self._pause_detector = pause_detector
        self._timings = timings
        self._held_servers = {}
        self._sub_queries = {}
        self._orders = OrderHistory()
        self._send_catalog = lambda message: None
        self._send_server_state = lambda message: None
        self._gauge_timer = None
        self._set_gauges()
        configuration.subscribe(self._configuration_changed)
        pause_detector.subscribe(self._process_paused)

    # Shares

    def set_listeners(self, catalog, server_state):
        """Set the functions that send messages to other daemons.

        ``catalog`` takes a ``CatalogUpdate``, ``server_state`` a ``ServerState``.
        """
        self._send_catalog = catalog
        self._send_server_state = server_state

    def set_share(self, server_name, share):
        """Set the share of a server; None refuses all new work for it."""
        held_server = self._held_servers.get(server_name)
        if held_server is None and share is not None:
            held_server = self._add_server(server_name)
        if held_server is not None:
            held_server.set_share(share)

    def in_use(self, server_name):
        """Return what is in use of a server as a ``Share``."""
        held_server = self._held_servers.get(server_name)
        return held_server.in_use() if held_server is not None else Share()

    def catalog_updates(self):
        """Return a ``CatalogUpdate`` of each held server, for a new peer."""
        return [
            held_server.catalog_update() for held_server in self._held_servers.values()
        ]

    def server_states(self):
        """Return the state of each held server, for operators."""
        return {
            name: held_server.describe()
            for name, held_server in self._held_servers.items()
        }

    def gates(self):
        """Return the ``Gate`` of each held server; they must not be modified."""
        return {
            name: held_server.gate for name, held_server in self._held_servers.items()
        }

    def idle(self):
        """Return whether nothing is queued or in progress."""
        return not self._sub_queries and not self._orders.unfinished()

    def stop(self):
        """Refuse all queued work and close all connections."""
        self._gauge_timer.cancel()
        for held_server in self._held_servers.values():
            held_server.stop()

    def _add_server(self, server_name):
        server = self._configuration.find_server(server_name)
        if server is None:
            return None
        client = self._clients.connect(server)
        held_server = HeldServer(
            server, client, self, self._clock, self._invariants, self._timings
        )
        self._held_servers[server_name] = held_server
        return held_server

    def _configuration_changed(self, _key):
        for held_server in list(self._held_servers.values()):
            server = self._configuration.find_server(held_server.name)
            if server is not None and server.address != held_server.server.address:
                self._replace(held_server)
            else:
                held_server.update_server(server)

    def _replace(self, held_server):
        """Replace a held server whose address has changed, keeping the share."""
        share = held_server.gate.share
        held_server.stop()
        self._add_server(held_server.name).set_share(share)

    # Queries

    def execute(self, vm, batch, reply):
        """Run the items of a ``SubQueryBatch``; ``reply`` gets the answers."""
        answers = AnswerBatch(self._clock, batch.request_id, reply)
        for item in batch.items:
            sub_id, server_name, _ = item
            held_server = self._held_servers.get(server_name)
            if held_server is None:
                answers.add(sub_id, SubQueryStatus.REFUSED, batch.version, {})
                self.count("holder.refused")
                continue
            self._start_sub_query(vm, held_server, batch, item, answers)

    def cancel(self, vm, cancel):
        """Cancel sub-queries whose answers are no longer needed."""
        for sub_id in cancel.sub_ids:
            work = self._sub_queries.get((vm, cancel.request_id, sub_id))
            if work is not None:
                self.count("holder.cancelled")
                work.cancel()

    def _start_sub_query(self, vm, held_server, batch, item, answers):
        key = (vm, batch.request_id, item[0])
        if key in self._sub_queries:
            return

        def on_end(_work):
            self._sub_queries.pop(key, None)

        work = SubQuery(self._clock, held_server, batch, item, answers.add, on_end)
        self._sub_queries[key] = work
        self.count("holder.sub_queries")
        held_server.submit(work)

    # Orders

    def send_order(self, vm, message, reply):
        """Send an order once; ``reply`` gets the ``OrderAnswer``."""
        self._orders.prune(self._clock.now_ms())
        tracked_order = self._orders.get(message.request_id)
        status_answer = self._orders.answer_from_status(message.request_id)
        if status_answer is not None:
            reply(status_answer)
        elif tracked_order is None:
            self._start_order(vm, message, reply)
        elif tracked_order.answer is None:
            tracked_order.replies.append(reply)
        else:
            reply(tracked_order.answer)

    def _start_order(self, vm, message, reply):
        order = self._orders.add(message.request_id, vm)
        order.replies.append(reply)

        def answer(status, result, detail):
            self._answer_order(order, message.request_id, status, result, detail)

        def on_end(_work):
            order.work = None

        held_server = self._held_servers.get(message.server)
        if held_server is None:
            answer("not_sent", None, "no share in the server")
            return
        order.work = OrderWork(self._clock, held_server, message, answer, on_end)
        self.count("holder.orders")
        held_server.submit(order.work)

    def _answer_order(self, order, request_id, status, result, detail):
        self.count(f"holder.order_{status}")
        order.answer = OrderAnswer(
            request_id=request_id, status=status, result=result, detail=detail
        )
        order.ended_ms = self._clock.now_ms()
        replies, order.replies = order.replies, []
        for reply in replies:
            reply(order.answer)

    # Peers

    def note_server_state(self, vm, message):
        """Record the ``ServerState`` of another holder."""
        held_server = self._held_servers.get(message.server)
        if held_server is not None:
            held_server.note_peer_state(vm, message)

    def peer_lost(self, vm):
        """Cancel the queries and withdraw the orders of a disconnected VM."""
        for key, work in list(self._sub_queries.items()):
            if key[0] == vm:
                work.cancel()
        for order in self._orders.unfinished():
            if order.vm == vm:
                order.work.withdraw()

    # Called by held servers

    def permits(self, server_name):
        """Return whether the configuration in force permits new work for a server."""
        configuration = self._configuration
        server = configuration.find_server(server_name)
        if server is None:
            return False
        document = configuration.document(configuration.service_of(server_name))
        if document is None or server.failure_domain not in document.failure_domains:
            return False
        return configuration.fleet().permits(server)

    def _process_paused(self, _length_ms):
        for held_server in self._held_servers.values():
            held_server.require_new_status()

    def paused(self):
        """Check for a pause of the process; return whether one has just ended."""
        return self._pause_detector.check() > 0

    def send_update(self, message):
        """Send a ``CatalogUpdate`` to other daemons."""
        self._send_catalog(message)

    def send_state(self, message):
        """Send a ``ServerState`` to other daemons."""
        self._send_server_state(message)

    def count(self, name):
        """Increment a counter."""
        self._metrics.count(name)

    def _set_gauges(self):
        held_servers = self._held_servers.values()
        self._metrics.gauge("holder.in_use", sum(h.gate.in_use for h in held_servers))
        self._metrics.gauge("holder.queued", sum(h.gate.queued() for h in held_servers))
        self._gauge_timer = self._clock.call_later(GAUGE_INTERVAL_MS, self._set_gauges)
