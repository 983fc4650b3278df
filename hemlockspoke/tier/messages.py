"""Messages between the daemons that run on the platform.

Their wire form is that of ``hemlockspoke.messages``. A request that one daemon has got
from a caller may be sent to servers by another one: as parts of a query
(``GatherRequest``) or as a whole (``ForwardRequest``).
"""

from hemlockspoke.messages import Message, message


@message("store_news")
class StoreChanges(Message):
    """Changes of the store objects of one kind, relayed by a daemon that has them.

    ``changes`` is a list of ``[name, removed, spec]`` with the changes after revision
    ``since`` of the store up to ``revision``, both of its ``era``; ``spec`` is the
    content of the object.
    With ``complete`` set, it lists every object instead and ``since`` is 0. ``age_ms``
    is the time since the store confirmed ``revision`` as its newest one. ``more`` is
    true if a further message with the same fields continues ``changes``.
    """

    __slots__ = (
        "kind",
        "era",
        "since",
        "revision",
        "changes",
        "complete",
        "age_ms",
        "more",
    )
    is_broadcast = True


@message("store_contact")
class StoreHeartbeat(Message):
    """Heartbeat with the newest state of the store that the sender knows.

    ``kinds`` is a list of ``[kind, era, revision, age_ms, is_reading]``: the newest
    position known of a kind of objects, the time since the store confirmed it, and
    whether the sender itself reads the kind and reaches the store. ``leaving`` is true
    if the sender is about to stop.
    """

    __slots__ = ("kinds", "leaving")
    is_broadcast = True


@message("store_news_wanted")
class StoreListRequest(Message):
    """Requests a ``StoreChanges`` message that lists all objects of one kind."""

    __slots__ = ("kind",)


@message("extra_load_request")
class ExtraLoadRequest(Message):
    """Asks a daemon for tokens of its extra load that it does not need.

    ``services`` lists the services at which the sender has none left.
    """

    __slots__ = ("services",)


@message("extra_load_grant")
class ExtraLoadGrant(Message):
    """Gives tokens of the extra load to the receiver.

    ``grants`` lists ``[service, tokens]``. The sender has taken the tokens from its own
    share before, so the message may be lost, but must not be delivered twice.
    """

    __slots__ = ("grants",)


@message("gather_request")
class GatherRequest(Message):
    """Asks a daemon to query some shards for a caller of the sender.

    The receiver is in the failure domain of the first server listed for each shard. It
    sends the query to one server of each shard, with retries and hedges, and reports
    the answers in ``GatherReport``. The first report is empty and sent immediately, to
    show that the receiver works on the request.

    ``query_id`` is a number that the sender chooses; it identifies the request in
    ``GatherReport`` and ``GatherCancel``. ``host`` and ``path_prefix`` identify the
    route in the configuration. ``method``, ``target`` and ``headers``, a list of
    ``[name, value]``, are byte strings from the caller's HTTP request, which has no
    body. ``services`` is a list of ``[service, [server_id, ...]]``: each service serves
    one shard, and only these servers may get the query, and only in ``regions`` unless
    that list is empty. ``top_k`` is the number of records in the answer to the caller.

    The receiver counts the three times from the receipt of the message; the sender has
    deducted the network round trip. At ``report_in_ms`` the receiver reports the
    answers that it has; at ``aim_in_ms`` those that came later, which can still reach
    the caller within the target latency of the route; at ``remaining_ms``, the
    deadline, all others.

    ``repeat`` is true if another server of each shard may already have the query; each
    answer is then reported as soon as it arrives.
    """

    __slots__ = (
        "query_id",
        "host",
        "path_prefix",
        "method",
        "target",
        "headers",
        "services",
        "regions",
        "top_k",
        "aim_in_ms",
        "remaining_ms",
        "report_in_ms",
        "repeat",
    )


@message("gather_parts")
class GatherReport(Message):
    """Reports the answers to a ``GatherRequest`` since the previous report.

    ``services`` lists the services that have answered. ``proofs`` and ``took_ms`` have
    one item for each of them, in the same order: the byte string by which the server
    proves that it ran the query, and the time from the receipt of the request to the
    answer. ``records`` is a byte string of 16-byte records: the ``top_k`` greatest of
    these answers, greatest first.

    ``failed`` lists ``[service, may_have_run]`` for each service that will not answer;
    ``may_have_run`` is false if certainly no server has run the query. ``last`` is true
    in the final report, which is sent once every service has answered or failed, or at
    the deadline. A service that no report names has not answered by then.
    ``waiting_server_ids`` lists the servers that have the query and have not answered.
    ``leaving`` lists ``[server_id, started_ms]`` for the servers whose answers say that
    they leave; ``started_ms`` is as in their entries.
    """

    __slots__ = (
        "query_id",
        "services",
        "proofs",
        "took_ms",
        "records",
        "failed",
        "waiting_server_ids",
        "leaving",
        "last",
    )


@message("gather_cancel")
class GatherCancel(Message):
    """Cancels a ``GatherRequest``; the receiver sends no further report on it."""

    __slots__ = ("query_id",)


@message("forward_request")
class ForwardRequest(Message):
    """Asks a daemon to send a request to one server of a service.

    The sender may open no connection to such a server. The receiver acknowledges the
    request at once by ``ForwardAcknowledgement``, sends it as if it were that of a
    caller of its own, and returns the result in ``ForwardReply``.

    ``forward_id`` is a number that the sender chooses. ``host`` and ``path_prefix``
    identify the route in the configuration. ``method``, ``target``, ``headers``, a list
    of ``[name, value]``, and ``body`` are byte strings from the caller's HTTP request.
    Only the servers in ``server_ids`` may get it, and only in ``regions`` unless that
    list is empty.
    ``aim_in_ms`` and ``remaining_ms`` are counted from the receipt of the message: the
    times until the answer is needed, and until the caller's deadline. ``repeat`` is
    true if a server may already have the request.
    """

    __slots__ = (
        "forward_id",
        "host",
        "path_prefix",
        "service",
        "server_ids",
        "regions",
        "method",
        "target",
        "headers",
        "body",
        "aim_in_ms",
        "remaining_ms",
        "repeat",
    )


@message("forward_acknowledgement")
class ForwardAcknowledgement(Message):
    """Tells that the sender works on a ``ForwardRequest``."""

    __slots__ = ("forward_id",)


@message("forward_reply")
class ForwardReply(Message):
    """Returns the result of a ``ForwardRequest``.

    ``status``, ``headers`` and ``body`` are those of the server's response, which is a
    success or a failure with the server's proof; ``status`` is null if there is none.
    Then ``may_have_run`` is false if certainly no server has run or will run the
    request, and ``reason`` says why there is no response. ``leaving`` is as in
    ``GatherReport``.
    """

    __slots__ = (
        "forward_id",
        "status",
        "headers",
        "body",
        "may_have_run",
        "reason",
        "leaving",
    )


@message("forward_cancel")
class ForwardCancel(Message):
    """Cancels a ``ForwardRequest``; the receiver sends no reply to it."""

    __slots__ = ("forward_id",)


@message("token_request")
class TokenRequest(Message):
    """Asks a keeper for ``count`` tokens of an account's quota.

    ``ask_id`` is a number that the sender chooses. With ``lend`` set, the sender is a
    keeper of another failure domain, and the receiver answers at once with tokens that
    it does not need itself; with ``urgent`` set too, requests wait for them. Otherwise
    the receiver may ask other keepers first.
    """

    __slots__ = ("ask_id", "account", "count", "lend", "urgent")


@message("token_grant")
class TokenGrant(Message):
    """Answers a ``TokenRequest`` with ``count`` tokens, at most those asked for.

    ``left`` is how many tokens the sender could give beside them to an urgent request.
    If ``count`` is less than was asked for, the sender expects no other token for
    ``empty_ms``, and callers are told to retry after ``retry_after_ms``.
    """

    __slots__ = (
        "ask_id",
        "account",
        "count",
        "lend",
        "left",
        "empty_ms",
        "retry_after_ms",
    )


@message("rollout_evidence")
class RolloutEvidence(Message):
    """Tells a collecting daemon what the sender has counted for an order.

    ``service``, ``target_version``, ``era`` and ``revision`` identify the order: the
    position of the object that the sender knows. ``process`` is the start of the
    sender's process, ``sequence`` rises with each message of it. ``phase`` is the phase
    that the sender applies. ``age_ms`` is how long ago the sender, or a daemon that has
    told it, saw the order first. The other fields are those of a ``Tally``; ``rows``
    lists ``[route, region, server_id, is_target, failures, {bin: count}]``. All are
    totals.
    """

    __slots__ = (
        "service",
        "target_version",
        "era",
        "revision",
        "process",
        "sequence",
        "phase",
        "age_ms",
        "sent_target",
        "sent_total",
        "old_in_progress",
        "rows",
    )


@message("rollout_state")
class RolloutState(Message):
    """Tells which phase of an order holds for the next moments.

    ``service`` and ``target_version`` identify the order, ``era`` and ``revision`` are
    the newest position of its object that the sender knows. ``share`` is the share of
    the requests that may go to the target version while the phase is ``sampling``.
    ``age_ms`` is as in ``RolloutEvidence``. ``reason`` is a text for the log.
    """

    __slots__ = (
        "service",
        "target_version",
        "era",
        "revision",
        "phase",
        "share",
        "age_ms",
        "reason",
    )
    is_broadcast = True
