"""Validates replies of servers and converts them to the types of the port."""

import json

from expression import Error, Ok

from hemlockspoke.errors import UpstreamError, UpstreamErrorKind
from hemlockspoke.ports import OrderReply, UpstreamReply, UpstreamStatus

HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_UNAVAILABLE = 503

NOT_RUN_KINDS = {
    "shed": UpstreamErrorKind.SHED,
    "draining": UpstreamErrorKind.DRAINING,
}


def parse_query(code, content):
    """Return the ``Result`` of a query."""

    def build(body):
        parts = {part: list(rows) for part, rows in body["parts"].items()}
        size_bytes = len(content)
        return UpstreamReply(body["incarnation"], body["version"], parts, size_bytes)

    return parse_reply(code, content, build)


def parse_order(code, content):
    """Return the ``Result`` of an order."""
    return parse_reply(
        code, content, lambda body: OrderReply(body["incarnation"], body["result"])
    )


def parse_status(code, content):
    """Return the ``Result`` of a status poll."""

    def build(body):
        check_indexes(body["indexes"])
        return UpstreamStatus(
            body["incarnation"], body["state"], body.get("load"), body["indexes"]
        )

    return parse_reply(code, content, build)


def parse_reply(code, content, build):
    """Return ``Ok(build(body))`` for status 200, else the matching error."""
    try:
        body = json.loads(content)
        if code == HTTP_OK:
            return Ok(build(body))
        return Error(reply_error(code, body))
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        detail = f"malformed reply with status {code}: {error!r}"
        return Error(UpstreamError(UpstreamErrorKind.FAILED, True, detail))


def reply_error(code, body):
    """Return the ``UpstreamError`` of a reply with a status other than 200."""
    kind = UpstreamErrorKind.FAILED
    indexes = None
    if code == HTTP_CONFLICT and body.get("error") == "version_gone":
        kind = UpstreamErrorKind.VERSION_GONE
        indexes = body.get("indexes")
        check_indexes(indexes)
    elif code == HTTP_UNAVAILABLE and body.get("ran") is False:
        # An unknown error text with ``ran: false`` still means that nothing has run.
        kind = NOT_RUN_KINDS.get(body.get("error"), UpstreamErrorKind.SHED)
    detail = f"status {code}: {body.get('error')}"
    return UpstreamError(kind, True, detail, body.get("incarnation"), indexes)


def check_indexes(indexes):
    """Raise ``ValueError`` unless ``indexes`` has the form of ``CatalogUpdate``."""
    for versions in indexes.values():
        for version, entry in versions.items():
            int(version)
            if not all(isinstance(part, int) for part in entry["parts"]):
                raise ValueError("a part is not a number")
            if not isinstance(entry["parts_total"], int):
                raise ValueError("parts_total is not a number")
