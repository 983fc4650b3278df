"""Requests of callers, their answers, and shares of servers."""


class QueryRequest:
    """A query of a caller to all parts of an index.

    ``query`` is the JSON object that the upstreams get. ``deadline_ms``, the time limit
    in ms, and ``min_coverage_ratio`` are None if the service document decides.
    ``traceparent`` is the caller's W3C trace context or None.
    """

    __slots__ = (
        "deadline_ms",
        "index",
        "min_coverage_ratio",
        "query",
        "service",
        "traceparent",
    )

    def __init__(
        self,
        service,
        index,
        query,
        deadline_ms=None,
        min_coverage_ratio=None,
        traceparent=None,
    ):
        self.service = service
        self.index = index
        self.query = query
        self.deadline_ms = deadline_ms
        self.min_coverage_ratio = min_coverage_ratio
        self.traceparent = traceparent


class QueryAnswer:
    """Rows of one snapshot, which is one version of an index, and their coverage.

    ``hedged`` and ``retried`` count sub-queries. ``restarted`` is true if the query
    changed to a newer version. ``elapsed_ms`` is the time since the request.
    """

    __slots__ = (
        "elapsed_ms",
        "hedged",
        "index",
        "missing_parts",
        "parts_total",
        "restarted",
        "retried",
        "rows",
        "version",
    )

    def __init__(
        self,
        index,
        version,
        parts_total,
        missing_parts,
        rows,
        *,
        hedged=0,
        retried=0,
        restarted=False,
        elapsed_ms=0.0,
    ):
        self.index = index
        self.version = version
        self.parts_total = parts_total
        self.missing_parts = list(missing_parts)
        self.rows = rows
        self.hedged = hedged
        self.retried = retried
        self.restarted = restarted
        self.elapsed_ms = elapsed_ms

    def coverage(self):
        """Return the coverage in the form sent to callers."""
        return {
            "parts_answered": self.parts_total - len(self.missing_parts),
            "parts_total": self.parts_total,
            "missing_parts": self.missing_parts,
        }

    def to_json(self):
        """Return the body of the answer."""
        return {
            "snapshot": {"index": self.index, "version": self.version},
            "coverage": self.coverage(),
            "complete": not self.missing_parts,
            "rows": self.rows,
            "obtained": {
                "hedged": self.hedged,
                "retried": self.retried,
                "restarted": self.restarted,
                "elapsed_ms": round(self.elapsed_ms, 1),
            },
        }


class OrderRequest:
    """An order of a caller, which must run at most once.

    ``order`` is the name of the kind of order in the service document, ``body`` the
    JSON object that the upstream gets. ``deadline_ms`` is the time limit in ms, or None
    if the document decides.
    """

    __slots__ = (
        "body",
        "deadline_ms",
        "idempotency_key",
        "order",
        "service",
        "traceparent",
    )

    def __init__(
        self, service, order, idempotency_key, body, deadline_ms=None, traceparent=None
    ):
        self.service = service
        self.order = order
        self.idempotency_key = idempotency_key
        self.body = body
        self.deadline_ms = deadline_ms
        self.traceparent = traceparent


class OrderResult:
    """Result of an order; ``replayed`` is true if it ran for an earlier request."""

    __slots__ = ("replayed", "result")

    def __init__(self, result, replayed=False):
        self.result = result
        self.replayed = replayed

    def to_json(self):
        """Return the body of the answer."""
        return {"outcome": "done", "result": self.result, "replayed": self.replayed}


class Share:
    """The part of the capacity of one server that one VM may use.

    ``slots`` limits its requests at a time, ``connections`` its open connections, and
    ``cold_start_slots`` its requests at a time while the server is cold.
    """

    __slots__ = ("cold_start_slots", "connections", "slots")

    def __init__(self, slots=0, connections=0, cold_start_slots=0):
        self.slots = slots
        self.connections = connections
        self.cold_start_slots = cold_start_slots

    def __eq__(self, other):
        if not isinstance(other, Share):
            return NotImplemented
        return self.amounts() == other.amounts()

    __hash__ = None

    def __repr__(self):
        return f"Share{self.amounts()}"

    def amounts(self):
        """Return slots, connections and cold-start slots."""
        return (self.slots, self.connections, self.cold_start_slots)
