"""Reads the settings file that the platform places on each machine."""

import os

from hemlockspoke.address import Address
from hemlockspoke.errors import HumanReadableError
from hemlockspoke.tier.edge_settings import Bounds, EdgeSettings

# deploy/system.toml names the same port to those who fetch the metrics.
METRICS_PORT = 9464
DEFAULTS = Bounds()


def read_settings(path):
    """Return the ``EdgeSettings`` of a file, or raise ``HumanReadableError``."""
    try:
        with open(path, encoding="utf-8") as handle:
            return parse_settings(handle.read(), path)
    except (OSError, UnicodeDecodeError) as error:
        raise HumanReadableError(f"{path}: {error}") from None


def settings_version(path):
    """Return what changes with the file, or None if there is none."""
    try:
        status = os.stat(path)
    except OSError:
        # Reading the file, which follows a change, tells why it is not there.
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def parse_settings(source, path="settings"):
    """Return the ``EdgeSettings`` of lines of the form ``a.b=value``.

    Fields that are not known are ignored. A ``HumanReadableError`` lists every
    mistake.
    """
    fields = {}
    for line in source.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    reader = _FieldReader(fields)
    ip = reader.text("ip")
    settings = EdgeSettings(
        vm=reader.text("node_name"),
        failure_domain=reader.text("zone"),
        region=reader.text("region"),
        failure_domains=reader.table("zones."),
        caller_address=reader.address("listen_addrs.frontend"),
        ready_address=reader.address("listen_addrs.ready"),
        peer_address=reader.first_port("internal_ports", ip),
        metrics_address=reader.parse(f"{ip}:{METRICS_PORT}", "ip"),
        store_address=reader.address("platform.address"),
        first_start=fields.get("bootstrap") == "true",
        bounds=Bounds(
            config_apply_ms=reader.number(
                "bounds.config_apply_ms", DEFAULTS.config_apply_ms
            ),
            drain_ms=reader.number("bounds.drain_ms", DEFAULTS.drain_ms),
            evacuate_ms=reader.number("bounds.evacuate_ms", DEFAULTS.evacuate_ms),
            # The time between the platform's two signals for a stop.
            shutdown_ms=1000.0
            * reader.number("bounds.grace_s", DEFAULTS.shutdown_ms / 1000.0),
            extra_load_ratio=reader.number("bounds.retry_budget_ratio", 0.0),
            extra_load_slack=reader.number("bounds.retry_slack", 0.0),
            extra_load_window_ms=1000.0
            * reader.number(
                "bounds.retry_window_s", DEFAULTS.extra_load_window_ms / 1000.0
            ),
            cold_overshoot=reader.number(
                "bounds.warmup_overshoot", DEFAULTS.cold_overshoot
            ),
            cold_slack=reader.number("bounds.warmup_slack", DEFAULTS.cold_slack),
            stable_window_ms=reader.number(
                "bounds.stable_window_ms", DEFAULTS.stable_window_ms
            ),
        ),
    )
    if reader.mistakes:
        raise HumanReadableError(f"{path}: " + "; ".join(reader.mistakes))
    return settings


class _FieldReader:
    """Reads fields and collects what is wrong with them."""

    def __init__(self, fields):
        self._fields = fields
        self.mistakes = []

    def text(self, name):
        value = self._fields.get(name, "")
        if not value:
            self.mistakes.append(f"{name} is missing")
        return value

    def table(self, prefix):
        return {
            name[len(prefix) :]: value
            for name, value in self._fields.items()
            if name.startswith(prefix)
        }

    def address(self, name):
        value = self.text(name)
        return self.parse(value, name) if value else None

    def parse(self, value, name):
        try:
            return Address.parse(value)
        except ValueError as error:
            self.mistakes.append(f"{name}: {error}")
            return None

    def first_port(self, name, ip):
        first = self.text(name).partition(",")[0]
        return self.parse(f"{ip}:{first}", name) if first else None

    def number(self, name, default):
        value = self._fields.get(name)
        if not value:
            return default
        try:
            return float(value)
        except ValueError:
            self.mistakes.append(f"{name}: {value!r} is not a number")
            return default
