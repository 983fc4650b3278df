"""Actors: objects that own their state and communicate by messages."""

from collections import deque


def handles(message_type):
    """Mark a method as the handler of one type of message."""

    def decorate(method):
        method.handled_type = message_type
        return method

    return decorate


class Task:
    """Actor that handles one message at a time, in order.

    A subclass marks its handlers with ``handles``. ``deliver`` may also be called
    from a handler; the message is then queued until the running handler returns.

    >>> class Counter(Task):
    ...     def __init__(self):
    ...         super().__init__()
    ...         self.total = 0
    ...     @handles(int)
    ...     def add(self, amount):
    ...         self.total += amount
    >>> counter = Counter()
    >>> counter.deliver(2)
    >>> counter.total
    2
    """

    __slots__ = ("_mailbox", "_running")
    _handlers = {}

    def __init_subclass__(cls, **kwargs):
        super().__init_subclass__(**kwargs)
        cls._handlers = dict(cls._handlers)
        for name, attribute in vars(cls).items():
            message_type = getattr(attribute, "handled_type", None)
            if message_type is not None:
                cls._handlers[message_type] = name

    def __init__(self):
        self._mailbox = deque()
        self._running = False

    def deliver(self, message):
        """Deliver ``message`` to its handler."""
        self._mailbox.append(message)
        if self._running:
            return
        self._running = True
        try:
            while self._mailbox:
                next_message = self._mailbox.popleft()
                name = self._handlers[type(next_message)]
                getattr(self, name)(next_message)
        finally:
            self._running = False
