"""Executes sub-queries and orders on the servers in which this daemon has shares."""

from hemlockspoke.limits.held_server import HeldServer
from hemlockspoke.limits.holder_work import OrderWork, SubQuery
from hemlockspoke.messages import OrderAnswer, SubAnswerBatch, SubStatus
from hemlockspoke.orders.order_memory import OrderMemory
from hemlockspoke.requests import Share

GAUGE_MS = 1000

# Answers in one message; as msgpack this stays under the limit of a frame.
MAX_ANSWER_BYTES = 1024 * 1024


class AnswerBatch:
    """Answers to one request that complete in the same turn of the reactor."""

    __slots__ = ("_clock", "_items", "_reply", "_request_id", "_size_bytes")

    def __init__(self, clock, request_id, reply):
        self._clock = clock
        self._request_id = request_id
        self._reply = reply
        self._items = []
        self._size_bytes = 0

    def add(self, sub_id, status, version, parts, size_bytes=0):
        """Add an answer, to be sent at the end of the turn."""
        if self._size_bytes + size_bytes > MAX_ANSWER_BYTES:
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
    """The only path by which any daemon uses this daemon's shares.

    ``listeners`` get the ``CatalogUpdate`` and ``ServerState`` messages for other
    daemons.
    """

    def __init__(
        self, clock, clients, configuration, metrics, invariants, pause, timings
    ):
        self._clock = clock
        self._clients = clients
        self._configuration = configuration
        self._metrics = metrics
        self._invariants = invariants
        self._pause = pause
        self._timings = timings
        self._held = {}
        self._sub_queries = {}
        self._orders = OrderMemory()
        self._send_catalog = lambda message: None
        self._send_server_state = lambda message: None
        self._gauge_timer = None
        self._set_gauges()
        configuration.subscribe(self._configuration_changed)
        pause.subscribe(self._process_paused)

    # Shares

    def set_listeners(self, catalog, server_state):
        """Set who sends ``CatalogUpdate`` and ``ServerState`` to other daemons."""
        self._send_catalog = catalog
        self._send_server_state = server_state

    def set_share(self, server_name, share):
        """Use a share from now on; None ends all new work for the server."""
        held = self._held.get(server_name)
        if held is None and share is not None:
            held = self._hold(server_name)
        if held is not None:
            held.set_share(share)

    def in_use(self, server_name):
        """Return the ``Share`` of a server that is in use."""
        held = self._held.get(server_name)
        return held.in_use() if held is not None else Share()

    def catalog_updates(self):
        """Return a ``CatalogUpdate`` of each held server, for a new peer."""
        return [held.catalog_update() for held in self._held.values()]

    def server_states(self):
        """Return the state of each held server, for operators."""
        return {name: held.describe() for name, held in self._held.items()}

    def gates(self):
        """Return the ``Gate`` of each held server, to be read only."""
        return {name: held.gate for name, held in self._held.items()}

    def idle(self):
        """Tell whether nothing is queued or in progress."""
        return not self._sub_queries and not self._orders.working()

    def stop(self):
        """Refuse what waits and close all connections."""
        self._gauge_timer.cancel()
        for held in self._held.values():
            held.stop()

    def _hold(self, server_name):
        server = self._configuration.find_server(server_name)
        if server is None:
            return None
        client = self._clients.connect(server)
        held = HeldServer(
            server, client, self, self._clock, self._invariants, self._timings
        )
        self._held[server_name] = held
        return held

    def _configuration_changed(self, _key):
        for held in list(self._held.values()):
            server = self._configuration.find_server(held.name)
            if server is not None and server.address != held.server.address:
                self._replace(held)
            else:
                held.refresh(server)

    def _replace(self, held):
        """Hold a server anew that has moved to another address."""
        share = held.gate.share
        held.stop()
        self._hold(held.name).set_share(share)

    # Queries

    def execute(self, vm, batch, reply):
        """Run the items of a ``SubQueryBatch``; ``reply`` gets the answers."""
        answers = AnswerBatch(self._clock, batch.request_id, reply)
        for item in batch.items:
            sub_id, server_name, _ = item
            held = self._held.get(server_name)
            if held is None:
                answers.add(sub_id, SubStatus.REFUSED, batch.version, {})
                self.count("holder.refused")
                continue
            self._run(vm, held, batch, item, answers)

    def cancel(self, vm, cancel):
        """Drop sub-queries whose answers are no longer needed."""
        for sub_id in cancel.sub_ids:
            work = self._sub_queries.get((vm, cancel.request_id, sub_id))
            if work is not None:
                self.count("holder.cancelled")
                work.cancel()

    def _run(self, vm, held, batch, item, answers):
        key = (vm, batch.request_id, item[0])
        if key in self._sub_queries:
            return

        def ended(_work):
            self._sub_queries.pop(key, None)

        work = SubQuery(self._clock, held, batch, item, answers.add, ended)
        self._sub_queries[key] = work
        self.count("holder.sub_queries")
        held.submit(work)

    # Orders

    def send_order(self, vm, message, reply):
        """Send an order once; ``reply`` gets the ``OrderAnswer``."""
        self._orders.shrink(self._clock.now_ms())
        known = self._orders.get(message.request_id)
        old_answer = self._orders.old_answer(message.request_id)
        if old_answer is not None:
            reply(old_answer)
        elif known is None:
            self._start_order(vm, message, reply)
        elif known.answer is None:
            known.replies.append(reply)
        else:
            reply(known.answer)

    def _start_order(self, vm, message, reply):
        order = self._orders.add(message.request_id, vm)
        order.replies.append(reply)

        def answer(status, result, detail):
            self._answer_order(order, message.request_id, status, result, detail)

        def ended(_work):
            order.work = None

        held = self._held.get(message.server)
        if held is None:
            answer("not_sent", None, "no share in the server")
            return
        order.work = OrderWork(self._clock, held, message, answer, ended)
        self.count("holder.orders")
        held.submit(order.work)

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
        """Take the ``ServerState`` of another holder."""
        held = self._held.get(message.server)
        if held is not None:
            held.note_peer_state(vm, message)

    def peer_lost(self, vm):
        """Drop what a VM waits for that can no longer get its answers."""
        for key, work in list(self._sub_queries.items()):
            if key[0] == vm:
                work.cancel()
        for order in self._orders.working():
            if order.vm == vm:
                order.work.withdraw()

    # Called by held servers

    def permits(self, server_name):
        """Tell whether a server may get new work by the configuration in force."""
        configuration = self._configuration
        server = configuration.find_server(server_name)
        if server is None:
            return False
        document = configuration.document(configuration.service_of(server_name))
        if document is None or server.failure_domain not in document.failure_domains:
            return False
        return configuration.fleet().permits(server)

    def _process_paused(self, _length_ms):
        for held in self._held.values():
            held.demand_status()

    def paused(self):
        """Tell whether the process has just been paused."""
        return self._pause.check() > 0

    def send_update(self, message):
        """Pass on a ``CatalogUpdate``."""
        self._send_catalog(message)

    def send_state(self, message):
        """Pass on a ``ServerState``."""
        self._send_server_state(message)

    def count(self, name):
        """Add to a counter."""
        self._metrics.count(name)

    def _set_gauges(self):
        held = self._held.values()
        self._metrics.gauge("holder.in_use", sum(h.gate.in_use for h in held))
        self._metrics.gauge("holder.queued", sum(h.gate.queued() for h in held))
        self._gauge_timer = self._clock.call_later(GAUGE_MS, self._set_gauges)
