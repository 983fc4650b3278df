"""Settings of one daemon, read from a file and completed with the defaults."""

import os
from functools import cache
from pathlib import Path

from expression import Error, Ok

from hemlockspoke.address import Address
from hemlockspoke.config.fields import (
    INVALID,
    AddressCheck,
    Choice,
    IntegerRange,
    ListOf,
    Name,
    Record,
)
from hemlockspoke.config.yaml_reader import read_yaml
from hemlockspoke.findings import Finding, Findings

__all__ = ["Address", "Settings", "Timings"]

DEFAULT_FILE = Path(__file__).with_name("settings_default.yaml")
LOG_LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR")
HOUR_MS = 3_600_000
MONTH_MS = 31 * 24 * HOUR_MS
# A daemon that reaches neither store nor peers must refuse new work after 3 s.
MAX_ISOLATION_MS = 3000
# A daemon that was taken out must refuse new work after 3 s; 300 ms of that remain
# for the change to reach it.
MAX_OUT_LAG_MS = 2700

MAX_MEMORY_MB = 1024 * 1024
MAX_DESCRIPTORS = 1024 * 1024

INTERVAL = IntegerRange(1, HOUR_MS, "ms")
MARGIN = IntegerRange(0, HOUR_MS, "ms")
TIMING_CHECKS = {
    "watcher_check_ms": INTERVAL,
    "version_check_ms": INTERVAL,
    "watch_wait_ms": INTERVAL,
    "digest_exchange_ms": INTERVAL,
    "isolation_limit_ms": IntegerRange(1, MAX_ISOLATION_MS, "ms"),
    "vm_list_ms": INTERVAL,
    "gone_margin_ms": MARGIN,
    "heartbeat_ms": INTERVAL,
    "stream_silence_ms": INTERVAL,
    "status_poll_ms": INTERVAL,
    "proof_ttl_ms": INTERVAL,
    "stall_ms": INTERVAL,
    "pause_limit_ms": INTERVAL,
    "answer_margin_ms": MARGIN,
    "store_timeout_ms": INTERVAL,
    "drain_lag_ms": MARGIN,
    "out_lag_ms": IntegerRange(0, MAX_OUT_LAG_MS, "ms"),
    "drain_limit_ms": MARGIN,
    "order_retention_ms": IntegerRange(1, MONTH_MS, "ms"),
    "caller_idle_timeout_ms": INTERVAL,
}
SETTINGS = Record(
    {
        "vm": Name(),
        "region": Name(),
        "failure_domain": Name(),
        "caller_address": AddressCheck(any_host=True),
        # Other VMs connect to these two, so they must not be 0.0.0.0 or [::].
        "peer_address": AddressCheck(),
        "operator_address": AddressCheck(),
        "platform_address": AddressCheck(),
    },
    {
        "statsd_address": AddressCheck(),
        "statsd_prefix": Name(),
        "log_level": Choice(LOG_LEVELS),
        "seed_peers": ListOf(AddressCheck()),
        "memory_mb": IntegerRange(1, MAX_MEMORY_MB, "MB"),
        "max_fds": IntegerRange(1, MAX_DESCRIPTORS, "descriptors"),
        "timings": Record({}, TIMING_CHECKS),
    },
)
DEFAULTS = Record({}, SETTINGS.fields)


class Timings:
    """Intervals and limits in ms, named as in ``settings_default.yaml``."""

    __slots__ = tuple(TIMING_CHECKS)

    def __init__(self, **values_ms):
        for name in self.__slots__:
            setattr(self, name, values_ms.pop(name))
        if values_ms:
            raise TypeError(f"unknown timings {sorted(values_ms)}")

    @classmethod
    def defaults(cls, **overrides):
        """Return the default timings with some of them replaced."""
        return cls(**{**_defaults()["timings"], **overrides})


class Settings:
    """Settings of one daemon; each address is an ``Address``.

    >>> Settings.from_text("vm: e-1").is_error()
    True
    """

    __slots__ = tuple(SETTINGS.fields)

    def __init__(self, **values):
        for name in self.__slots__:
            setattr(self, name, values.pop(name))
        if values:
            raise TypeError(f"unknown settings {sorted(values)}")

    @classmethod
    def from_file(cls, path):
        """Return ``Result[Settings, Findings]`` of a file."""
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            return Error(unreadable_file_findings(path, error))
        return cls.from_text(text, str(path))

    @classmethod
    def from_text(cls, text, file=""):
        """Return ``Result[Settings, Findings]``; never raises for any text."""
        parsed = read_yaml(text, file)
        if parsed.root is None:
            return Error(parsed.findings)
        values = SETTINGS.check(parsed.root, parsed)
        if values is not INVALID:
            _check_timings(parsed, values)
            _check_addresses_differ(parsed, values)
        if parsed.findings:
            return Error(parsed.findings)
        defaults = _defaults()
        timings = {**defaults["timings"], **values.get("timings", {})}
        return Ok(cls(**{**defaults, **values, "timings": Timings(**timings)}))


def unreadable_file_findings(path, error):
    """Return the findings of a file that cannot be read."""
    reason = getattr(error, "strerror", None) or str(error)
    finding = Finding("", reason, "a readable file in UTF-8", file=os.fspath(path))
    return Findings([finding])


@cache
def _defaults():
    parsed = read_yaml(DEFAULT_FILE.read_text(encoding="utf-8"), str(DEFAULT_FILE))
    values = DEFAULTS.check(parsed.root, parsed)
    if parsed.findings:
        raise ValueError(str(parsed.findings))
    return values


# In each pair the first timing must be less than the second.
ORDERED_TIMINGS = (
    # Otherwise each stream would be closed before its next heartbeat.
    ("heartbeat_ms", "stream_silence_ms"),
    # Otherwise a daemon would stop at its drain limit while the load balancer still
    # sends it requests, and interrupt them.
    ("drain_lag_ms", "drain_limit_ms"),
    # Otherwise a paused daemon could resume without noticing that its shares were
    # reassigned.
    ("pause_limit_ms", "gone_margin_ms"),
)


def _check_timings(parsed, values):
    specified = values.get("timings", {})
    timings = {**_defaults()["timings"], **specified}
    for smaller, larger in ORDERED_TIMINGS:
        if (
            timings[smaller] < timings[larger]
            or not {smaller, larger} & specified.keys()
        ):
            continue
        name = smaller if smaller in specified else larger
        found = f"{smaller} {timings[smaller]} and {larger} {timings[larger]}"
        node = parsed.at("timings", name)
        parsed.add(node, found, f"{smaller} less than {larger}")


def _check_addresses_differ(parsed, values):
    names_by_address = {}
    for name in ("caller_address", "peer_address", "operator_address"):
        address = values.get(name)
        if address is None:
            continue
        if address in names_by_address:
            allowed = f"an address of its own; {names_by_address[address]} has this one"
            parsed.add(parsed.at(name), f'"{address}"', allowed)
        names_by_address[address] = name
