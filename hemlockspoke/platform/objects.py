"""Decodes objects of the platform's store into the types of the query tier.

The objects are written by other programs and may be malformed; a decoder returns
None for a malformed object.
"""

from hemlockspoke.address import Address
from hemlockspoke.http1.channel import ChannelLimits
from hemlockspoke.tier.routes import Route, RoutingTable, ServiceLimits
from hemlockspoke.tier.servers import ServerEntry, ServerState

CONFIG_KIND = "config"
CONFIG_NAME = "main"
SERVER_KIND = "servers"
EVACUATION_KIND = "evacuations"
# The daemons write this kind themselves: one registration object per daemon.
DAEMON_KIND = "hemlockspoke-daemons"

_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


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
                    name: limits[name]
                    for name in ChannelLimits.__slots__
                    if isinstance(limits.get(name), int)
                }
            ),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def _decode_route(item):
    split = item.get("split") or ()
    shards = item.get("shard_services") or ()
    if item.get("service"):
        split = [(item["service"], 1.0)]
    else:
        split = [(choice["service"], float(choice["weight"])) for choice in split]
    return Route(
        name=item.get("name", ""),
        host=item["host"].lower(),
        path_prefix=item["path_prefix"],
        idempotent=item["kind"] == "idempotent",
        timeout_ms=float(item["timeout_ms"]),
        target_ms=float(item.get("target_latency_ms") or item["timeout_ms"]),
        max_servers=max(1, int(item.get("max_attempts", 1))),
        split=split,
        shards=shards,
        top_k=int(item.get("top_k", 0)),
        min_coverage=float(item.get("min_coverage", 0.0)),
        regions=item.get("allowed_regions") or (),
    )


def _decode_service_limits(item):
    return ServiceLimits(
        item["name"],
        int(item.get("max_connections") or 1),
        float(item.get("warmup_per_s") or 0.0),
    )


def decode_server(name, spec):
    """Return the ``ServerEntry`` of a server, or None if it is malformed."""
    try:
        state = _STATES[spec["state"]]
        service, zone = spec["service"], spec["zone"]
        if not (isinstance(service, str) and isinstance(zone, str) and service):
            return None
        return ServerEntry(
            server_id=name,
            service=service,
            address=Address.parse(spec["address"]),
            failure_domain=zone,
            state=state,
            slots=max(1, _integer(spec["slots"])),
            cold_ms=max(0, _integer(spec.get("warmup_left_ms", 0))),
            # The start time distinguishes a restarted server from its earlier
            # process under the same id.
            started_ms=_integer(spec["born"]) if "born" in spec else None,
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def _integer(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not an integer")
    return value
