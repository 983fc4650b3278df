"""Decodes objects of the platform's store into the types of the query tier.

The objects are written by other programs and may be malformed; a decoder returns
None for a malformed object.
"""

import math

from hemlockspoke.address import Address
from hemlockspoke.http1.site import ChannelLimits
from hemlockspoke.messages import fits_in_message
from hemlockspoke.platform.account_objects import decode_accounts, relayable_accounts
from hemlockspoke.registry import Registry
from hemlockspoke.tier.placement.servers import ServerEntry, ServerState
from hemlockspoke.tier.rollouts.order import FINAL_PHASES, RUNNING_STATE, Order
from hemlockspoke.tier.state.routes import Route, RoutingTable, ServiceLimits

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVER_KIND = "servers"
EVACUATION_KIND = "evacuations"
ROLLOUT_KIND = "rollouts"
# The daemons write this kind themselves: one registration object per daemon.
DAEMON_KIND = "hemlockspoke-daemons"

_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}
# Integers up to this size are exact as floats, in which times are calculated.
MAX_INTEGER = 2**53
MAX_TEXT_LENGTH = 1024
# The store holds objects of up to 1 MB.
MAX_OBJECT_BYTES = 2 * 1024 * 1024
_SERVER_FIELDS = (
    "address",
    "born",
    "service",
    "slots",
    "state",
    "version",
    "warmup_left_ms",
    "zone",
)
_ROLLOUT_FIELDS = ("duration_s", "era", "revision", "service", "target_version")
_STATUS_FIELDS = ("state", "target_version")
_DAEMON_FIELDS = (
    "failure_domain",
    "peer_address",
    "renewed_ms",
    "registered_ms",
    "started_ms",
    "store_era",
)
# Raised for values of another type or out of range.
_MALFORMED = (AttributeError, KeyError, OverflowError, TypeError, ValueError)

field_readers = Registry("object kind")


def known_fields(kind, name, spec):
    """Return what this project uses of a specification, or None if it is malformed.

    Daemons relay it to each other, so it must be small and encodable.
    """
    return field_readers.get(kind)(name, spec)


@field_readers.register(CONFIG_KIND)
def config_fields(name, spec):
    """Return the configuration; other objects of the kind are not used."""
    if name != CONFIG_NAME:
        return {}
    if not fits_in_message(spec, MAX_OBJECT_BYTES):
        # A malformed account must not cost the whole configuration.
        spec = relayable_accounts(spec, MAX_OBJECT_BYTES)
    return spec if fits_in_message(spec, MAX_OBJECT_BYTES) else None


@field_readers.register(SERVER_KIND)
def server_fields(name, spec):
    """Return the fields of a server's entry, unless a part of it is unreadable."""
    is_readable = fits_in_message(spec, MAX_OBJECT_BYTES)
    if not is_readable or decode_server(name, spec) is None:
        return None
    return {field: spec[field] for field in _SERVER_FIELDS if field in spec}


@field_readers.register(EVACUATION_KIND)
def evacuation_fields(name, spec):
    """Return no field, as only the object's name is used."""
    return {}


@field_readers.register(ROLLOUT_KIND)
def rollout_fields(name, spec):
    """Return the fields of an order, unless it is malformed."""
    if not fits_in_message(spec, MAX_OBJECT_BYTES):
        return None
    if decode_rollout(name, spec) is None:
        return None
    fields = {field: spec[field] for field in _ROLLOUT_FIELDS}
    status = spec.get("status")
    if isinstance(status, dict):
        fields["status"] = {
            field: status[field]
            for field in _STATUS_FIELDS
            if is_text(status.get(field))
        }
    return fields


@field_readers.register(DAEMON_KIND)
def daemon_fields(name, spec):
    """Return the fields of a daemon's registration."""
    try:
        fields = {field: spec[field] for field in _DAEMON_FIELDS if field in spec}
        texts = (fields["failure_domain"], fields["peer_address"])
        return fields if all(map(is_text, texts)) else None
    except _MALFORMED:
        return None


def is_text(value):
    """Return whether a value is text that can be encoded, of a reasonable length."""
    if not isinstance(value, str) or not 0 < len(value) <= MAX_TEXT_LENGTH:
        return False
    # Bytes that are no UTF-8 have been decoded to lone surrogates.
    return not any("\ud800" <= character <= "\udfff" for character in value)


def decode_routing(spec):
    """Return the ``RoutingTable`` of a configuration, or None if it is malformed."""
    try:
        limits = spec.get("limits") or {}
        return RoutingTable(
            _integer(spec["version"]),
            [_decode_route(item) for item in spec["routes"]],
            [_decode_service_limits(item) for item in spec["services"]],
            ChannelLimits(
                **{
                    name: _integer(limits[name])
                    for name in ChannelLimits.__slots__
                    if isinstance(limits.get(name), int)
                }
            ),
            decode_accounts(spec),
        )
    except _MALFORMED:
        return None


def _decode_route(item):
    split = item.get("split") or ()
    shards = item.get("shard_services") or ()
    if item.get("service"):
        split = [(_text(item["service"]), 1.0)]
    else:
        split = [
            (_text(choice["service"]), _number(choice["weight"])) for choice in split
        ]
    return Route(
        name=item.get("name", ""),
        host=_text(item["host"]).lower(),
        path_prefix=_text(item["path_prefix"]),
        idempotent=item["kind"] == "idempotent",
        timeout_ms=_number(item["timeout_ms"]),
        target_ms=_number(item.get("target_latency_ms") or item["timeout_ms"]),
        max_servers=max(1, int(item.get("max_attempts", 1))),
        split=split,
        shards=list(map(_text, shards)),
        top_k=int(item.get("top_k", 0)),
        min_coverage=_number(item.get("min_coverage", 0.0)),
        regions=list(map(_text, item.get("allowed_regions") or ())),
        priority=_integer(item.get("priority") or 0),
        # Any other value than true must not make a route public.
        public=item.get("public") is True,
    )


def _decode_service_limits(item):
    return ServiceLimits(
        _text(item["name"]),
        int(item.get("max_connections") or 1),
        _number(item.get("warmup_per_s") or 0.0),
    )


def decode_server(name, spec):
    """Return the ``ServerEntry`` of a server, or None if it is malformed."""
    try:
        state = _STATES[spec["state"]]
        return ServerEntry(
            server_id=name,
            service=_text(spec["service"]),
            address=Address.parse(spec["address"]),
            failure_domain=_text(spec["zone"]),
            state=state,
            slots=max(1, _integer(spec["slots"])),
            cold_ms=max(0, _integer(spec.get("warmup_left_ms", 0))),
            # The start time distinguishes a restarted server from its earlier
            # process under the same id.
            started_ms=_integer(spec["born"]) if "born" in spec else None,
            version=_version(spec.get("version")),
        )
    except _MALFORMED:
        return None


def _version(value):
    """Return the version of a server; one that is no text counts as none."""
    return value if is_text(value) else ""


def decode_rollout(name, fields):
    """Return the ``Order`` of an object, or None if it is malformed.

    ``fields`` are those that ``rollout_fields`` returns.
    """
    try:
        target_version = _text(fields["target_version"])
        duration_ms = 1000.0 * _number(fields["duration_s"])
        if _text(fields["service"]) != name or not 0 < duration_ms <= MAX_INTEGER:
            return None
        status = fields.get("status")
        state = final_phase = None
        # The status may still be that of an earlier order for another version.
        if isinstance(status, dict) and status.get("target_version") == target_version:
            state = status.get("state")
            final_phase = FINAL_PHASES.get(state)
        revision, era = _integer(fields["revision"]), _integer(fields["era"])
    except _MALFORMED:
        return None
    return Order(
        name,
        name,
        target_version,
        duration_ms,
        revision,
        final_phase,
        is_running=state == RUNNING_STATE,
        era=era,
    )


def _integer(value):
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    if not is_integer or abs(value) > MAX_INTEGER:
        raise ValueError("not an integer, or too large")
    return value


def _number(value):
    number = float(value)
    if not math.isfinite(number):
        raise ValueError("not a finite number")
    return number


def _text(value):
    if not is_text(value):
        raise ValueError("not a text of a reasonable length")
    return value
