"""Parses callers' requests; pure functions that collect findings."""

import json
import math
import re
import secrets

from expression import Error, Ok

from hemlockspoke.errors import Outcome, Problem
from hemlockspoke.findings import Finding, Findings
from hemlockspoke.requests import OrderRequest, QueryRequest

QUERY_FIELDS = ("query", "deadline_ms", "min_coverage_ratio")
MAX_KEY_CHARACTERS = 255
# msgpack frames between daemons cannot carry values nested more than 512 deep.
MAX_NESTING = 100
# The range of integers that msgpack frames between daemons can carry.
MIN_INTEGER, MAX_INTEGER = -(2**63), 2**64 - 1
# One hour, longer than any queue or retry is worth waiting for. The maximum of the
# service applies in addition.
MAX_DEADLINE_MS = 3_600_000
IDEMPOTENCY_KEY_PATTERN = re.compile(rb"[\x21-\x7e]{1,255}")
TRACEPARENT_PATTERN = re.compile(
    r"(?!ff)[0-9a-f]{2}-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-[0-9a-f]{2}"
)
# An unpaired surrogate is decoded to a string that cannot be encoded as UTF-8.
SURROGATE_ESCAPE = re.compile(rb"\\u[dD][89a-fA-F]")


def parse_query(service, index, headers, body):
    """Parse a query's headers and body into ``Result[QueryRequest, Problem]``.

    ``headers`` is a function from a lower-case name to its list of raw values.
    """
    findings = Findings()
    members = parse_object(body, findings)
    if findings:
        return Error(bad_request(findings))
    for name in sorted(members.keys() - set(QUERY_FIELDS)):
        allowed = ", ".join(QUERY_FIELDS)
        findings.add(Finding(truncate(name), "unknown field", allowed))
    if not isinstance(members.get("query"), dict):
        findings.add(Finding("query", describe(members.get("query")), "a JSON object"))
    deadline_ms = _parse_number(members, "deadline_ms", 1, MAX_DEADLINE_MS, findings)
    ratio = _parse_number(members, "min_coverage_ratio", 0, 1, findings)
    if findings:
        return Error(bad_request(findings))
    traceparent = parse_traceparent(headers(b"traceparent"))
    request = QueryRequest(
        service, index, members["query"], deadline_ms, ratio, traceparent
    )
    return Ok(request)


def parse_order(service, order, headers, body):
    """Parse an order's headers and body into ``Result[OrderRequest, Problem]``."""
    findings = Findings()
    key = _parse_idempotency_key(headers(b"idempotency-key"), findings)
    deadline_ms = _parse_deadline_header(headers(b"deadline-ms"), findings)
    members = parse_object(body, findings)
    if findings:
        return Error(bad_request(findings))
    traceparent = parse_traceparent(headers(b"traceparent"))
    return Ok(OrderRequest(service, order, key, members, deadline_ms, traceparent))


def parse_traceparent(values):
    """Return the valid ``traceparent`` of a request, or a new one.

    The W3C Trace Context standard requires that an invalid header is ignored.
    """
    if len(values) == 1:
        text = values[0].decode("ascii", "replace")
        if TRACEPARENT_PATTERN.fullmatch(text):
            return text
    return f"00-{secrets.token_hex(16)}-{secrets.token_hex(8)}-00"


def parse_object(body, findings):
    """Return the JSON object in a body, or add a finding and return an empty dict."""
    try:
        value = json.loads(
            body.decode("utf-8"),
            parse_int=_parse_integer,
            parse_float=_parse_finite,
            parse_constant=_parse_finite,
        )
        _check_encodable(value, body)
    except json.JSONDecodeError as error:
        position = {"line": error.lineno, "column": error.colno}
        findings.add(Finding("body", error.msg, "JSON", **position))
        return {}
    except UnicodeDecodeError as error:
        found = f"byte {error.start} is not UTF-8"
        findings.add(Finding("body", found, "JSON in UTF-8"))
        return {}
    except (ValueError, RecursionError) as error:
        findings.add(Finding("body", str(error), "values that JSON peers can carry"))
        return {}
    if not isinstance(value, dict):
        findings.add(Finding("body", describe(value), "a JSON object"))
        return {}
    return value


def bad_request(findings):
    """Return the problem that lists all findings of a request."""
    return Problem(
        "bad-request",
        400,
        "Malformed request",
        Outcome.NOT_RUN,
        f"{len(findings)} findings",
        findings=findings,
    )


def describe(value):
    """Return a value as JSON, truncated to fit a finding."""
    return "nothing" if value is None else truncate(json.dumps(value))


def truncate(text, limit=60):
    """Return a text truncated to ``limit`` characters.

    >>> truncate("abcdef", 4)
    'abc…'
    """
    return text if len(text) <= limit else text[: limit - 1] + "…"


def _parse_integer(text):
    # int() raises a ValueError for texts of more than 4,300 digits.
    value = int(text)
    if not MIN_INTEGER <= value <= MAX_INTEGER:
        raise ValueError(f"{truncate(text)} does not fit 64 bits")
    return value


def _parse_finite(text):
    value = float(text)
    if not math.isfinite(value):
        raise ValueError(f"{truncate(text)} is not a finite number")
    return value


def _check_encodable(value, body):
    if SURROGATE_ESCAPE.search(body):
        json.dumps(value, ensure_ascii=False).encode("utf-8")
    if body.count(b"[") + body.count(b"{") > MAX_NESTING:
        _check_nesting(value)


def _check_nesting(value):
    level = [value]
    for _ in range(MAX_NESTING):
        level = [child for item in level for child in _nested_values(item)]
        if not level:
            return
    raise ValueError(f"nested more than {MAX_NESTING} deep")


def _nested_values(value):
    if isinstance(value, dict):
        value = value.values()
    elif not isinstance(value, list):
        return ()
    return [child for child in value if isinstance(child, dict | list)]


def _parse_number(members, name, low, high, findings):
    value = members.get(name)
    if value is None:
        return None
    if type(value) in (int, float) and low <= value <= high:
        return value
    allowed = f"a number from {low} to {high}"
    findings.add(Finding(name, describe(value), allowed))
    return None


def _parse_idempotency_key(values, findings):
    if len(values) == 1 and IDEMPOTENCY_KEY_PATTERN.fullmatch(values[0]):
        return values[0].decode("ascii")
    found = f"{len(values)} headers" if len(values) != 1 else truncate(repr(values[0]))
    allowed = f"one header of 1 to {MAX_KEY_CHARACTERS} visible ASCII characters"
    findings.add(Finding("Idempotency-Key", found, allowed))
    return None


def _parse_deadline_header(values, findings):
    if not values:
        return None
    text = values[0].decode("ascii", "replace")
    is_short = len(values) == 1 and len(text) <= len(str(MAX_DEADLINE_MS))
    if is_short and text.isascii() and text.isdigit() and int(text) >= 1:
        return min(int(text), MAX_DEADLINE_MS)
    allowed = f"one header with an integer from 1 to {MAX_DEADLINE_MS}"
    findings.add(Finding("Deadline-Ms", truncate(text), allowed))
    return None
