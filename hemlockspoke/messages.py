"""Messages between daemons and their wire form.

On the wire a message is a msgpack array of its type name and its fields in the
order of ``__slots__``. A field is null, a boolean, a number, a string, a byte string,
a list or a map.

``vm`` fields contain the name of a daemon's VM. A server is one VM of an upstream; its
``incarnation`` is the id of its current process. A holder is a daemon that may send
requests to a server and reports its state. Fields whose names end in ``_ms`` are
durations in ms, except ``sent_ms``.

Frames of a message that is sent to many daemons are compressed from some size on. They
begin with the header of zlib, which no array of msgpack does.
"""

import zlib

import msgpack

from hemlockspoke.registry import Registry

# Limit on a frame, and on what a compressed one expands to.
MAX_FRAME_BYTES = 4 * 1024 * 1024
PROTOCOL_VERSION = 6
# Smaller frames gain little.
MIN_COMPRESSED_BYTES = 1024
# The lowest level makes lists of objects a fifth as large; higher ones gain a tenth
# more and take up to three times as long.
COMPRESSION_LEVEL = 1
ZLIB_HEADER = b"\x78"

message_types = Registry("message type")


class BadFrame(Exception):
    """A frame that is not a message of this protocol."""


class Message:
    """Base of all messages; fields are the slots of the subclass.

    >>> Ping(token=7).token
    7
    """

    __slots__ = ("_frame",)
    type_name = ""
    # Set for messages that are sent to many daemons: they are encoded once.
    is_broadcast = False

    def __init__(self, **fields):
        self._frame = None
        for name in self.__slots__:
            setattr(self, name, fields.pop(name))
        if fields:
            raise TypeError(f"unknown fields {sorted(fields)}")

    def __eq__(self, other):
        if type(self) is not type(other):
            return NotImplemented
        return self.to_fields() == other.to_fields()

    __hash__ = None

    def __repr__(self):
        fields = ", ".join(f"{n}={getattr(self, n)!r}" for n in self.__slots__)
        return f"{type(self).__name__}({fields})"

    def to_fields(self):
        """Return the field values in wire order."""
        return [getattr(self, name) for name in self.__slots__]


def message(type_name):
    """Register a message class under its wire name."""

    def decorate(cls):
        cls.type_name = type_name
        return message_types.register(type_name)(cls)

    return decorate


def encode(item):
    """Return the frame of a message, without its length prefix."""
    if item._frame is not None:
        return item._frame
    frame = msgpack.packb([item.type_name, *item.to_fields()], use_bin_type=True)
    if item.is_broadcast:
        if len(frame) >= MIN_COMPRESSED_BYTES:
            frame = zlib.compress(frame, COMPRESSION_LEVEL)
        item._frame = frame
    return frame


def decompress(frame):
    """Return what a compressed frame expands to, or raise ``BadFrame``.

    >>> decompress(zlib.compress(b"abc"))
    b'abc'
    """
    expander = zlib.decompressobj()
    try:
        expanded = expander.decompress(frame, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise BadFrame(f"not compressed by zlib: {error}") from error
    if not expander.eof or expander.unused_data:
        raise BadFrame("a compressed frame is cut, too large or has bytes behind it")
    return expanded


def fits_in_message(value, max_bytes):
    """Return whether a value can be a field of a message, in at most ``max_bytes``.

    >>> fits_in_message({"a": 1}, 100), fits_in_message(2**70, 100)
    (True, False)
    """
    try:
        # Lists around the value stand for the levels of a message.
        return len(msgpack.packb([[[[value]]]], use_bin_type=True)) <= max_bytes
    except (ValueError, OverflowError, TypeError, RecursionError):
        return False


def decode(frame):
    """Return the message of a frame, or raise ``BadFrame``."""
    if frame[:1] == ZLIB_HEADER:
        frame = decompress(frame)
    try:
        values = msgpack.unpackb(frame, raw=False, strict_map_key=False)
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as error:
        # A list as a map key raises TypeError.
        raise BadFrame(f"not msgpack: {error}") from error
    if not isinstance(values, list) or not values or not isinstance(values[0], str):
        raise BadFrame("a frame is an array that starts with a type name")
    if values[0] not in message_types:
        raise BadFrame(f"unknown message type {values[0]!r}")
    cls = message_types.get(values[0])
    if len(values) - 1 != len(cls.__slots__):
        raise BadFrame(f"{values[0]} has {len(values) - 1} fields")
    return cls(**dict(zip(cls.__slots__, values[1:], strict=True)))


@message("hello")
class Hello(Message):
    """First frame on a stream, in both directions; identifies the sending daemon.

    ``epoch`` is a random id of its process. ``incarnation`` is unused and always 0.
    """

    __slots__ = ("vm", "incarnation", "epoch", "protocol_version", "region")


@message("ping")
class Ping(Message):
    """Heartbeat that asks for a ``Pong`` with the same token."""

    __slots__ = ("token",)


@message("pong")
class Pong(Message):
    """Answer to a ``Ping``."""

    __slots__ = ("token",)


@message("digest")
class Digest(Message):
    """Summary of the configuration that the sender has in force.

    ``digest`` is a hash of the versions of all objects. ``store_contact_age_ms`` is the
    time since the newest read of the store known to the sender, by itself or by another
    daemon; None if none is known. A digest is answered by one with ``reply`` set, which
    repeats ``sent_ms``: the time at which the first digest was sent, by the clock of
    its sender, which counts this as the time of its contact with a peer.
    """

    __slots__ = ("digest", "store_contact_age_ms", "reply", "sent_ms")


@message("versions")
class Versions(Message):
    """Versions of configuration objects by key; ``kind`` gives their meaning.

    ``ask``: all versions of the sender, which requests all newer objects. ``state``:
    all versions of the sender, sent after the objects that an ``ask`` requested.
    ``changed``: objects that the sender has just adopted. ``recent``: objects that
    the sender has adopted recently; it requests those of the receiver. ``wanted``:
    objects that the sender requests, with the versions that it has.
    """

    __slots__ = ("kind", "versions")


@message("object_push")
class ObjectPush(Message):
    """One object of the configuration: its key, version and value in the store."""

    __slots__ = ("key", "version", "value")


@message("catalog_update")
class CatalogUpdate(Message):
    """The index versions and parts that one server serves, as reported by a holder.

    ``indexes`` maps each index name to a map from version (as a string) to
    ``{"parts_total": n, "parts": [...]}`` with part numbers from 0. ``sequence``
    increases with each update that a holder sends for the server. ``available`` is
    false if the holder cannot send it new queries, for instance because it drains.
    """

    __slots__ = ("server", "incarnation", "sequence", "available", "indexes")


@message("server_state")
class ServerState(Message):
    """Cold-start state of a server, sent by one of its holders to the others.

    ``state`` is ``cold``, ``warming`` or ``warm``. ``sequence`` increases with each
    change of the state; a message that only repeats the state repeats it as well.
    """

    __slots__ = ("server", "incarnation", "state", "sequence")


@message("sub_query_batch")
class SubQueryBatch(Message):
    """Asks a holder to send sub-queries of one query to its servers.

    ``items`` is a list of ``[sub_id, server, [part, ...]]``. All items are for one
    ``version`` of ``index`` and have the same ``query``, a JSON object from the caller.
    ``remaining_ms`` is the time to the deadline. ``traceparent`` is the caller's W3C
    trace context or None.
    """

    __slots__ = (
        "request_id",
        "service",
        "index",
        "version",
        "remaining_ms",
        "traceparent",
        "query",
        "items",
    )


@message("sub_answer_batch")
class SubAnswerBatch(Message):
    """Answers to some of the sub-queries of a ``SubQueryBatch``.

    ``items`` is a list of ``[sub_id, status, version, parts]``. ``status`` is
    a value of ``SubQueryStatus``; ``parts`` maps each part (as a string) to a list of
    rows and is empty unless the status is ``ok``.
    """

    __slots__ = ("request_id", "items")


@message("cancel")
class SubQueryCancel(Message):
    """Cancels sub-queries whose answers are no longer needed."""

    __slots__ = ("request_id", "sub_ids")


@message("order_send")
class OrderSend(Message):
    """Asks a holder to send one order to one of its servers, at most once.

    The sender has stored a claim that no other attempt may run the order. A message
    with a known ``request_id`` is answered without sending the order again. ``body`` is
    the JSON object from the caller, ``remaining_ms`` the time to the deadline,
    ``traceparent`` the caller's W3C trace context or None.
    """

    __slots__ = (
        "request_id",
        "service",
        "server",
        "idempotency_key",
        "remaining_ms",
        "traceparent",
        "body",
    )


@message("order_answer")
class OrderAnswer(Message):
    """Result of an ``OrderSend``.

    ``status`` is ``done``, ``not_run`` (reported by the upstream), ``not_sent`` (the
    holder has not sent the order and never will) or ``unknown`` (it may have run).
    ``result`` is the upstream's JSON value if the status is ``done``, else None;
    ``detail`` gives the reason of any other status.
    """

    __slots__ = ("request_id", "status", "result", "detail")


@message("attempt_query")
class AttemptQuery(Message):
    """Asks the daemon that made an attempt at an order for its result.

    ``attempt`` is the id of the attempt from the stored claim of the order.
    """

    __slots__ = ("request_id", "attempt")


@message("attempt_answer")
class AttemptAnswer(Message):
    """Answer to an ``AttemptQuery`` with the same ``request_id``.

    ``status`` is one of those of ``OrderAnswer`` or ``in_progress``; ``unknown`` also
    means that the daemon does not know the attempt.
    """

    __slots__ = ("request_id", "attempt", "status", "result")


class SubQueryStatus:
    """Values of the status of a sub-answer."""

    OK = "ok"
    # The holder did not send the sub-query: no free slot in time, or no share.
    REFUSED = "refused"
    # The holder sent the sub-query and the upstream did not run it.
    SHED = "shed"
    DRAINING = "draining"
    VERSION_GONE = "version_gone"
    # The holder sent the sub-query, which may have run, but got no valid answer.
    FAILED = "failed"
    # The holder could not connect to the server.
    UNREACHABLE = "unreachable"
