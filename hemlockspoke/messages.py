"""Messages between daemons and their wire form.

On the wire a message is a msgpack array of its type name and its fields in the
order of ``__slots__``. Values are numbers, strings, lists and maps only.
"""

import msgpack

from hemlockspoke.registry import Registry

MAX_FRAME_BYTES = 4 * 1024 * 1024
PROTOCOL_VERSION = 1

message_types = Registry("message type")


class BadFrame(Exception):
    """A frame that is not a message of this protocol."""


class Message:
    """Base of all messages; fields are the slots of the subclass.

    >>> Ping(token=7).token
    7
    """

    __slots__ = ()
    type_name = ""

    def __init__(self, **fields):
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
    return msgpack.packb([item.type_name, *item.to_fields()], use_bin_type=True)


def decode(frame):
    """Return the message of a frame, or raise ``BadFrame``."""
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
    """First frame on a stream, in both directions."""

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
    """Summary of the configuration in force.

    ``store_contact_age_ms`` is the time since the newest read of the store known to
    the sender, by itself or by another daemon. ``reply`` is true in the answer to a
    digest. The answer repeats ``sent_ms``, the send time by the clock of the daemon
    that sent the first digest; at that time it certainly reached a peer.
    """

    __slots__ = ("digest", "store_contact_age_ms", "reply", "sent_ms")


@message("versions")
class Versions(Message):
    """Versions of configuration objects; ``kind`` gives their meaning.

    ``ask``: all versions of the sender, which requests all newer objects. ``state``:
    all versions of the sender, sent after the objects that an ``ask`` requested.
    ``changed``: objects that the sender has just adopted. ``recent``: objects that
    the sender has adopted recently; it requests those of the receiver. ``wanted``:
    objects that the sender requests, with the versions that it has.
    """

    __slots__ = ("kind", "versions")


@message("object_push")
class ObjectPush(Message):
    """One configuration object as the store holds it."""

    __slots__ = ("key", "version", "value")


@message("catalog_update")
class CatalogUpdate(Message):
    """The index versions and parts that one server serves, as seen by its holder.

    ``indexes`` maps index name to a map of version (as a string) to
    ``{"parts_total": n, "parts": [...]}``. ``sequence`` increases with each
    update of a holder. ``available`` is false if the server drains or is unreachable.
    """

    __slots__ = ("server", "incarnation", "sequence", "available", "indexes")


@message("server_state")
class ServerState(Message):
    """State of the gate of a held server: ``cold``, ``warming`` or ``warm``."""

    __slots__ = ("server", "incarnation", "state", "sequence")


@message("sub_query_batch")
class SubQueryBatch(Message):
    """Sub-queries of one query for servers of one holder.

    ``items`` is a list of ``[sub_id, server, [part, ...]]``; ``query`` is the
    caller's query, sent once per batch. ``remaining_ms`` is the time to the deadline.
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
    """Answers to sub-queries of one request.

    ``items`` is a list of ``[sub_id, status, version, parts]``. ``status`` is
    a value of ``SubStatus``; ``parts`` maps part (as a string) to rows and is empty
    unless the status is ``ok``.
    """

    __slots__ = ("request_id", "items")


@message("cancel")
class Cancel(Message):
    """Cancels sub-queries of a request whose answers are no longer needed."""

    __slots__ = ("request_id", "sub_ids")


@message("order_send")
class OrderSend(Message):
    """Asks a holder to send one claimed order to one server, once."""

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
    holder has not sent the order and never will) or ``unknown``.
    """

    __slots__ = ("request_id", "status", "result", "detail")


@message("attempt_query")
class AttemptQuery(Message):
    """Asks the VM that made an attempt for its result."""

    __slots__ = ("request_id", "attempt")


@message("attempt_answer")
class AttemptAnswer(Message):
    """Result of an attempt at an order.

    ``status`` is ``done``, ``not_run``, ``in_progress``, ``not_sent`` (and never
    will be) or ``unknown``.
    """

    __slots__ = ("request_id", "attempt", "status", "result")


class SubStatus:
    """Values of the status of a sub-answer."""

    OK = "ok"
    # The holder did not send the sub-query: no free slot in time, or no share.
    REFUSED = "refused"
    # The holder sent the sub-query and the upstream did not run it.
    SHED = "shed"
    DRAINING = "draining"
    VERSION_GONE = "version_gone"
    FAILED = "failed"
    UNREACHABLE = "unreachable"


@message("store_news")
class StoreChanges(Message):
    """Changes of one kind of store objects, read from the store by the sender.

    They are the changes after revision ``since`` up to ``revision``. ``changes`` is a
    list of ``[name, removed, spec]``. With ``complete`` set it lists every object.
    """

    __slots__ = ("kind", "since", "revision", "changes", "complete", "age_ms")


@message("store_contact")
class StoreContact(Message):
    """Heartbeat with the sender's newest known state of the store.

    ``kinds`` is a list of ``[kind, revision, age_ms, following]``: the time since the
    store confirmed that revision, and whether the sender itself reads the kind and
    reaches the store. ``leaving`` is true if the sender is about to stop.
    """

    __slots__ = ("kinds", "leaving")


@message("store_news_wanted")
class StoreListRequest(Message):
    """Requests a complete list of the objects of one kind."""

    __slots__ = ("kind",)


@message("gather_request")
class GatherRequest(Message):
    """Asks a daemon near the servers to gather parts of a query.

    ``services`` lists ``[shard, [server, ...]]``: the requested shards, and the servers
    of each that the query may be sent to. Three times count from the send time:
    ``aim_in_ms`` is when the answers are needed to meet the target latency,
    ``remaining_ms`` is the deadline, and ``report_in_ms`` is when the first report of
    answers is due. ``headers`` are those of the caller. ``repeat`` is true if another
    server of each shard already has the query; each answer is then reported separately.
    """

    __slots__ = (
        "query_id",
        "host",
        "path_prefix",
        "method",
        "target",
        "headers",
        "services",
        "top_k",
        "aim_in_ms",
        "remaining_ms",
        "report_in_ms",
        "repeat",
    )


@message("gather_parts")
class GatherParts(Message):
    """Parts of a query: one proof for each service that answered.

    ``records`` holds the greatest records of these parts, ``took_ms`` the duration of
    each service. ``failed`` lists ``[service, may_have_run]`` for services without an
    answer. ``last`` is set on the final message of a query.
    """

    __slots__ = (
        "query_id",
        "services",
        "proofs",
        "took_ms",
        "records",
        "failed",
        "last",
    )


@message("gather_cancel")
class GatherCancel(Message):
    """Cancels a query whose parts are no longer needed."""

    __slots__ = ("query_id",)
