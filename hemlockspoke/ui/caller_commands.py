"""Commands that send a query or an order as a caller does."""

import json
import re
import sys
import uuid
from typing import Annotated
from urllib.parse import quote

import typer

from hemlockspoke.adapters.blocking_http import NoReply, exchange
from hemlockspoke.ui.exits import CommandFailed, ExitCode
from hemlockspoke.ui.options import AsJson, Entry
from hemlockspoke.ui.output import print_json, show
from hemlockspoke.ui.subcommand import subcommand

# Added to the deadline for the network round trip, since the daemon may use the whole
# deadline.
REPLY_MARGIN_MS = 1000
MAX_DEADLINE_MS = 600_000
# The wait without --deadline-ms, when the daemon uses the default deadline of the
# service document.
DEFAULT_WAIT_MS = 30_000
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,255}")
HTTP_OK = 200
ANSWER_FIELDS = frozenset({"snapshot", "coverage", "rows"})
BAD_INPUT_STATUSES = frozenset({400, 413, 422})

ServiceName = Annotated[str, typer.Argument(metavar="SERVICE", help="Service name.")]
IndexName = Annotated[str, typer.Argument(metavar="INDEX", help="Index name.")]
OrderName = Annotated[str, typer.Argument(metavar="ORDER", help="Name of the order.")]
Query = Annotated[
    str,
    typer.Option("--query", metavar="JSON", help="The query; - reads standard input."),
]
Body = Annotated[
    str,
    typer.Option("--body", metavar="JSON", help="The order; - reads standard input."),
]
DeadlineMs = Annotated[
    int | None,
    typer.Option("--deadline-ms", min=1, max=MAX_DEADLINE_MS, help="Deadline in ms."),
]
MinCoverage = Annotated[
    float | None,
    typer.Option(
        "--min-coverage-ratio",
        min=0,
        max=1,
        help="Fail if the coverage is below this ratio.",
    ),
]
Key = Annotated[
    str,
    typer.Option(
        "--key",
        default_factory=lambda: str(uuid.uuid4()),
        show_default="a new UUID",
        help="Idempotency key; repeat it to retry the same order.",
    ),
]


def register(app):
    """Add the commands to the application."""
    example = "hemlockspoke query laurentide bins --query '{}' --entry 10.9.1.1:8080"
    subcommand(app, "query", example)(query)
    example = "hemlockspoke order laurentide refill --body '{}' --entry 10.9.1.1:8080"
    subcommand(app, "order", example)(order)


def query(
    service: ServiceName,
    index: IndexName,
    entry: Entry,
    query: Query = "{}",
    deadline_ms: DeadlineMs = None,
    min_coverage_ratio: MinCoverage = None,
    as_json: AsJson = False,
):
    """Send a query and print its snapshot, its coverage and its rows."""
    body = {"query": _parse_json(query)}
    if deadline_ms is not None:
        body["deadline_ms"] = deadline_ms
    if min_coverage_ratio is not None:
        body["min_coverage_ratio"] = min_coverage_ratio
    path = f"/v1/services/{_quote(service)}/indexes/{_quote(index)}/query"
    timeout_ms = (deadline_ms or DEFAULT_WAIT_MS) + REPLY_MARGIN_MS
    try:
        reply = exchange(entry, "POST", path, timeout_ms=timeout_ms, body=body)
    except NoReply as error:
        raise CommandFailed(ExitCode.REFUSED, f"no answer: {error}") from error
    if reply.status != HTTP_OK or not reply.fields().keys() >= ANSWER_FIELDS:
        raise _problem_failure(reply, ExitCode.REFUSED)
    show(as_json, reply.fields(), _print_answer)


def _print_answer(answer):
    snapshot, coverage = answer["snapshot"], answer["coverage"]
    print(f"index {snapshot['index']}, version {snapshot['version']}")
    counts = f"{coverage['parts_answered']} of {coverage['parts_total']} parts"
    missing = coverage["missing_parts"]
    print(f"coverage: {counts}" + (f", without {missing}" if missing else ""))
    for row in answer["rows"]:
        print(json.dumps(row))


def order(
    service: ServiceName,
    name: OrderName,
    entry: Entry,
    key: Key,
    body: Body = "{}",
    deadline_ms: DeadlineMs = None,
    as_json: AsJson = False,
):
    """Send an order, which runs at most once for its key."""
    path = f"/v1/services/{_quote(service)}/orders/{_quote(name)}"
    content = _parse_json(body)
    if not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        text = "--key must be 1 to 255 printable ASCII characters without spaces"
        raise CommandFailed(ExitCode.BAD_INPUT, text)
    timeout_ms = (deadline_ms or DEFAULT_WAIT_MS) + REPLY_MARGIN_MS
    headers = {"Idempotency-Key": key}
    if deadline_ms is not None:
        headers["Deadline-Ms"] = str(deadline_ms)
    try:
        reply = exchange(
            entry, "POST", path, timeout_ms=timeout_ms, body=content, headers=headers
        )
    except NoReply as error:
        raise _order_failure(error, key) from error
    if reply.status != HTTP_OK or reply.fields().get("outcome") != "done":
        raise _problem_failure(reply, ExitCode.UNKNOWN, key)
    show(as_json, {**reply.fields(), "key": key}, print_json)


def _order_failure(error, key):
    extra = {"key": key, "outcome": "unknown" if error.sent else "not_run"}
    if not error.sent:
        return CommandFailed(ExitCode.REFUSED, f"not sent: {error}", extra)
    text = f"no answer: {error}; ask again with --key {key}"
    return CommandFailed(ExitCode.UNKNOWN, text, extra)


def _problem_failure(reply, default_code, key=None):
    """Return the ``CommandFailed`` for a problem document."""
    fields = reply.fields()
    title = fields.get("title", f"status {reply.status}")
    lines = [f"{title}: {fields['detail']}" if fields.get("detail") else str(title)]
    lines += [json.dumps(finding) for finding in fields.get("findings") or []]
    if "outcome" in fields:
        lines.append(f"outcome: {fields['outcome']}")
    extra = {"problem": fields, **({"key": key} if key else {})}
    return CommandFailed(_exit_code(reply, default_code), "\n".join(lines), extra)


def _exit_code(reply, default_code):
    outcome = reply.fields().get("outcome")
    if outcome == "unknown":
        return ExitCode.UNKNOWN
    if outcome is None:
        return default_code
    bad_input = reply.status in BAD_INPUT_STATUSES
    return ExitCode.BAD_INPUT if bad_input else ExitCode.REFUSED


def _parse_json(text):
    text = sys.stdin.read() if text == "-" else text
    try:
        return json.loads(text)
    except ValueError as error:
        raise CommandFailed(ExitCode.BAD_INPUT, f"not JSON: {error}") from error


def _quote(name):
    return quote(name, safe="")
