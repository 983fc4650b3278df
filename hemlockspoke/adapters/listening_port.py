"""Closes a listening port without resetting the connections that wait at it."""

# Number of connections that may wait to be accepted while the daemon is busy.
LISTEN_BACKLOG = 512


def stop_accepting(port, reactor):
    """Accept the connections that wait in the kernel, then close the port.

    A close resets those that still wait, and their requests would be lost.
    ``stopListening`` closes only in the next turn of the reactor, so the kernel is
    told to queue no further connections, and those that wait are accepted right
    before the close once more.
    """
    port.socket.listen(0)
    accept_waiting(port)
    reactor.callLater(0, accept_waiting, port)
    port.stopListening()


def accept_waiting(port):
    """Accept all connections that wait at a listening port.

    A port accepts as many at once as it did before, which is mostly one.
    """
    port.numberAccepts = LISTEN_BACKLOG
    port.doRead()
