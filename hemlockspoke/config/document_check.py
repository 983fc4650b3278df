"""Checks and builds a ``ServiceDocument`` from text, or reports all findings."""

from expression import Error, Ok

from hemlockspoke.config.document import (
    Index,
    OrderEndpoint,
    QueryPolicy,
    Server,
    ServiceDocument,
    Shard,
    UpstreamClass,
)
from hemlockspoke.config.document_data import data_root
from hemlockspoke.config.fields import (
    INVALID,
    AddressCheck,
    Choice,
    IntegerRange,
    ListOf,
    MapOf,
    Name,
    Ratio,
    Record,
    Text,
)
from hemlockspoke.config.yaml_reader import ParsedYaml, read_yaml
from hemlockspoke.queries.hedging import hedge_policies
from hemlockspoke.registry import Registry

# 10 minutes; a caller that waits longer is assumed to have lost its connection.
MAX_DEADLINE_MS = 600_000
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
MAX_QUERIES = 1_000_000
MAX_RAMP_SUCCESSES = 10_000
MAX_CONNECT_COST_MS = 60_000

QUERY_POLICY = Record(
    {},
    {
        "default_deadline_ms": IntegerRange(1, MAX_DEADLINE_MS, "ms"),
        "max_deadline_ms": IntegerRange(1, MAX_DEADLINE_MS, "ms"),
        "min_coverage_ratio": Ratio(),
        "extra_load_ratio": Ratio(),
        "hedge_policy": Choice(tuple(hedge_policies.names())),
        "max_concurrent_queries": IntegerRange(1, MAX_QUERIES, "queries"),
        "max_queued_queries": IntegerRange(0, MAX_QUERIES, "queries"),
    },
)
UPSTREAM_CLASS = Record(
    {
        "slots": IntegerRange(1, MAX_SLOTS, "slots"),
        "connections": IntegerRange(1, MAX_CONNECTIONS, "connections"),
    },
    {
        # A server without a cold-start slot would never warm up.
        "cold_start_slots": IntegerRange(1, MAX_SLOTS, "slots"),
        "ramp_successes": IntegerRange(1, MAX_RAMP_SUCCESSES, "replies"),
        "connect_cost_ms": IntegerRange(0, MAX_CONNECT_COST_MS, "ms"),
    },
)
SERVER = Record(
    {
        "class": Name(),
        "address": AddressCheck(),
        "failure_domain": Name(),
        "region": Name(),
    }
)
INDEX = Record({"shards": ListOf(Record({"replicas": ListOf(Name(), 1)}), 1)})
ORDER = Record(
    {"servers": ListOf(Name(), 1)},
    {"deadline_ms": IntegerRange(1, MAX_DEADLINE_MS, "ms")},
)
DOCUMENT = Record(
    {
        "service": Name(),
        "owner": Text(),
        "failure_domains": ListOf(Name(), 1),
        "upstream_classes": MapOf(UPSTREAM_CLASS, 1),
        "servers": MapOf(SERVER, 1),
    },
    {
        "queries": QUERY_POLICY,
        "indexes": MapOf(INDEX),
        "orders": MapOf(ORDER),
    },
)

document_checks = Registry("document check")


def check_document(text, file="", others=(), data=None):
    """Return ``Result[ServiceDocument, Findings]``; never raises for any text.

    ``others`` are documents of other services; a server belongs to one document.
    ``data`` is the parsed form that is stored with the text (see ``document_data``).
    With it the text of a valid document need not be parsed.
    """
    root = data_root(text, data)
    if root is not None:
        parsed = ParsedYaml(file)
        parsed.root = root
        result = _check_parsed(parsed, others)
        if result.is_ok():
            return result
    return _check_parsed(read_yaml(text, file), others)


def _check_parsed(parsed, others):
    if parsed.root is None:
        return Error(parsed.findings)
    values = DOCUMENT.check(parsed.root, parsed)
    if values is not INVALID:
        document = DocumentValues(parsed, values, others)
        for name in document_checks.names():
            document_checks.get(name)(document)
    if parsed.findings:
        return Error(parsed.findings)
    return Ok(_build_document(values))


class DocumentValues:
    """The valid values of a document, and their locations in its text."""

    __slots__ = ("others", "parsed", "values")

    def __init__(self, parsed, values, others=()):
        self.parsed = parsed
        self.values = values
        self.others = others

    def records(self, section):
        """Return the names and the valid records of a section."""
        entries = self.values.get(section, {})
        return [item for item in entries.items() if item[1] is not INVALID]

    def names(self, section):
        """Return all names of a section, or None if it is absent or not a map.

        Unlike ``records``, this includes the names of invalid records.
        """
        return self.values.get(section)

    def server_lists(self):
        """Yield the path and the items of each list of servers."""
        for name, index in self.records("indexes"):
            for position, shard in enumerate(index.get("shards", [])):
                if shard is not INVALID and "replicas" in shard:
                    path = ("indexes", name, "shards", position, "replicas")
                    yield path, shard["replicas"]
        for name, order in self.records("orders"):
            if "servers" in order:
                yield ("orders", name, "servers"), order["servers"]

    def add(self, path, allowed, found=None):
        """Add a finding at a path of keys and indices."""
        node = self.parsed.at(*path)
        self.parsed.add(node, found or node.describe(), allowed)


@document_checks.register("servers are of a known class")
def check_classes(document):
    """Report servers whose class the document does not define."""
    known = document.names("upstream_classes")
    for name, server in document.records("servers"):
        upstream_class = server.get("class")
        if known is not None and upstream_class and upstream_class not in known:
            allowed = "a name under upstream_classes"
            document.add(("servers", name, "class"), allowed)


@document_checks.register("servers are in the failure domains of the service")
def check_failure_domains(document):
    """Report servers in a failure domain that the service may not use."""
    permitted = document.values.get("failure_domains")
    for name, server in document.records("servers"):
        domain = server.get("failure_domain")
        if permitted is not None and domain and domain not in permitted:
            allowed = "a name under failure_domains"
            document.add(("servers", name, "failure_domain"), allowed)


@document_checks.register("server addresses differ")
def check_addresses(document):
    """Report servers with the same address, as their limits could not be enforced."""
    server_at = {}
    for name, server in document.records("servers"):
        address = server.get("address")
        if address in server_at:
            allowed = f"an address of its own; server {server_at[address]} has this one"
            document.add(("servers", name, "address"), allowed)
        elif address is not None:
            server_at[address] = name


@document_checks.register("servers belong to no other document")
def check_other_documents(document):
    """Report servers whose name or address is in another document."""
    service = document.values.get("service")
    for other in document.others:
        if other.service == service:
            continue
        allowed = f"a server of this document only; {other.service} has it"
        addresses = {server.address for server in other.servers.values()}
        for name, server in document.records("servers"):
            if name in other.servers:
                document.add(("servers", name), allowed, f'"{name}"')
            elif str(server.get("address")) in addresses:
                document.add(("servers", name, "address"), allowed)


@document_checks.register("replicas and order servers are servers")
def check_server_names(document):
    """Report replicas and order servers that are not under ``servers``."""
    known = document.names("servers")
    for path, names in document.server_lists():
        for position, name in enumerate(names):
            if known is not None and name is not INVALID and name not in known:
                document.add((*path, position), "a name under servers")


@document_checks.register("names in a list differ")
def check_repeated_names(document):
    """Report servers repeated in a shard or order, and repeated failure domains."""
    lists = [(("failure_domains",), document.values.get("failure_domains", []))]
    for path, names in [*lists, *document.server_lists()]:
        for position, name in enumerate(names):
            if name is not INVALID and name in names[:position]:
                found = f'"{name}" again'
                document.add((*path, position), "each name once in the list", found)


@document_checks.register("slots and connections fit together")
def check_class_limits(document):
    """Report classes with too many cold-start slots or too few connections."""
    for name, values in document.records("upstream_classes"):
        slots = values.get("slots")
        if slots is None:
            continue
        if values.get("cold_start_slots", 1) > slots:
            path = ("upstream_classes", name, "cold_start_slots")
            document.add(path, f"at most the {slots} slots of the class")
        if slots > values.get("connections", slots):
            path = ("upstream_classes", name, "slots")
            limit = values["connections"]
            document.add(path, f"at most the {limit} connections of the class")


@document_checks.register("deadlines fit together")
def check_deadlines(document):
    """Report deadlines above ``max_deadline_ms``.

    The new holder of a replaced share waits ``max_deadline_ms`` for the work of the
    old holder to end, so the deadline of an order must not exceed it either.
    """
    policy = document.values.get("queries", {})
    limit_ms = policy.get("max_deadline_ms", QueryPolicy().max_deadline_ms)
    allowed = f"at most max_deadline_ms, {limit_ms} ms"
    default_ms = policy.get("default_deadline_ms", QueryPolicy().default_deadline_ms)
    if default_ms > limit_ms:
        key = "default_deadline_ms"
        path = ("queries", key if key in policy else "max_deadline_ms")
        document.add(path, allowed, f"default_deadline_ms {default_ms}")
    for name, order in document.records("orders"):
        default_ms = OrderEndpoint(name, []).deadline_ms
        if order.get("deadline_ms", default_ms) > limit_ms:
            key = ("deadline_ms",) if "deadline_ms" in order else ()
            found = f"deadline_ms {order.get('deadline_ms', default_ms)}"
            document.add(("orders", name, *key), allowed, found)


@document_checks.register("the service serves something")
def check_not_empty(document):
    """Report a document without any index or order."""
    if not document.parsed.root.entries.keys() & {"indexes", "orders"}:
        document.add((), "at least one of indexes and orders", "neither")


def _build_document(values):
    classes = {
        name: UpstreamClass(name, **fields)
        for name, fields in values["upstream_classes"].items()
    }
    servers = {
        name: _build_server(name, fields, classes)
        for name, fields in values["servers"].items()
    }
    indexes = {
        name: Index(name, [Shard(shard["replicas"]) for shard in fields["shards"]])
        for name, fields in values.get("indexes", {}).items()
    }
    orders = {
        name: OrderEndpoint(name, **fields)
        for name, fields in values.get("orders", {}).items()
    }
    return ServiceDocument(
        service=values["service"],
        owner=values["owner"],
        failure_domains=values["failure_domains"],
        queries=QueryPolicy(**values.get("queries", {})),
        indexes=indexes,
        orders=orders,
        servers=servers,
    )


def _build_server(name, fields, classes):
    return Server(
        name,
        classes[fields["class"]],
        str(fields["address"]),
        fields["failure_domain"],
        fields["region"],
    )
