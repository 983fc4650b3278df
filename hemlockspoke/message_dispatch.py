"""Delivers messages between the components of a daemon and its peers."""

import logging

from hemlockspoke.messages import (
    AttemptAnswer,
    AttemptQuery,
    CatalogUpdate,
    Digest,
    ObjectPush,
    OrderAnswer,
    OrderSend,
    ServerState,
    SubAnswerBatch,
    SubQueryBatch,
    SubQueryCancel,
    Versions,
)

logger = logging.getLogger(__name__)


class Dispatcher:
    """Routes each message type to the component that has subscribed to it.

    ``send`` also reaches the components of this daemon: queries and orders are sent to
    the local holder in the same way as to a remote one. Local messages are delivered in
    the next reactor iteration, so that no component is re-entered from its own call.
    """

    __slots__ = (
        "_clock",
        "_connect_listeners",
        "_handlers",
        "_loss_listeners",
        "_metrics",
        "_peers",
        "_vm",
    )

    def __init__(self, clock, vm, peers, metrics):
        self._clock = clock
        self._vm = vm
        self._peers = peers
        self._metrics = metrics
        self._handlers = {}
        self._loss_listeners = []
        self._connect_listeners = []
        peers.set_receiver(self.receive)
        peers.set_loss_listener(self.peer_lost)
        peers.set_connect_listener(self.peer_connected)

    def subscribe(self, message_type, handler):
        """Deliver messages of a type to ``handler(vm, message)``."""
        self._handlers[message_type] = handler

    def subscribe_loss(self, listener):
        """Report lost streams to ``listener(vm)``."""
        self._loss_listeners.append(listener)

    def subscribe_connect(self, listener):
        """Report new streams to ``listener(vm)``."""
        self._connect_listeners.append(listener)

    def send(self, vm, message):
        """Send to a VM; False if it cannot be reached."""
        if vm == self._vm:
            self._clock.call_later(0, self.receive, vm, message)
            return True
        return self._peers.send(vm, message)

    def broadcast(self, message):
        """Send to all peers with an open stream."""
        for vm in self._peers.connected():
            self._peers.send(vm, message)

    def receive(self, vm, message):
        """Deliver one message; an exception in its handler does not stop the daemon."""
        handler = self._handlers.get(type(message))
        if handler is None:
            self._metrics.count("dispatch.unhandled")
            return
        try:
            handler(vm, message)
        except Exception:
            self._metrics.count("dispatch.handler_failed")
            logger.exception(
                "message handler failed",
                extra={"peer": vm, "message_type": message.type_name},
            )

    def peer_connected(self, vm):
        """Report a new stream to every listener."""
        for listener in self._connect_listeners:
            listener(vm)

    def peer_lost(self, vm):
        """Report a lost stream to every listener."""
        for listener in self._loss_listeners:
            listener(vm)


def subscribe_components(dispatcher, sync, holder, queries, orders, catalog):
    """Subscribe the components of a daemon to the messages that they handle."""

    def execute(vm, batch):
        holder.execute(vm, batch, lambda answer: dispatcher.send(vm, answer))

    def send_order(vm, message):
        holder.send_order(vm, message, lambda answer: dispatcher.send(vm, answer))

    for message_type in (Digest, Versions, ObjectPush):
        dispatcher.subscribe(message_type, sync.receive)
    dispatcher.subscribe(SubQueryBatch, execute)
    dispatcher.subscribe(SubQueryCancel, holder.cancel)
    dispatcher.subscribe(OrderSend, send_order)
    dispatcher.subscribe(ServerState, holder.note_server_state)
    dispatcher.subscribe(SubAnswerBatch, queries.receive)
    dispatcher.subscribe(OrderAnswer, orders.receive)
    dispatcher.subscribe(AttemptAnswer, orders.receive)
    dispatcher.subscribe(AttemptQuery, orders.answer_attempt)
    dispatcher.subscribe(CatalogUpdate, catalog.update)
    for listener in (
        holder.peer_lost,
        queries.peer_lost,
        orders.peer_lost,
        catalog.peer_lost,
    ):
        dispatcher.subscribe_loss(listener)
