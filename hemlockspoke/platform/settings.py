"""Reads the settings file that the platform places on each VM."""

import math
import os

from hemlockspoke.address import Address
from hemlockspoke.errors import HumanReadableError
from hemlockspoke.tier.edge_settings import Bounds, EdgeSettings, ProcessLimits

# Must match the metrics port in deploy/system.toml, which the scraper uses.
METRICS_PORT = 9464
DEFAULTS = Bounds()
DEFAULT_LIMITS = ProcessLimits()
MEGABYTE = 1024 * 1024


def read_settings(path):
    """Return the ``EdgeSettings`` of a file, or raise ``HumanReadableError``."""
    try:
        with open(path, encoding="utf-8") as file:
            return parse_settings(file.read(), path)
    except (OSError, UnicodeDecodeError) as error:
        raise HumanReadableError(f"{path}: {error}") from None


def settings_version(path):
    """Return a value that changes with the file, or None if it cannot be read."""
    try:
        file_status = os.stat(path)
    except OSError:
        # The change triggers a read of the file, which reports the reason.
        return None
    return file_status.st_mtime_ns, file_status.st_size, file_status.st_ino


def parse_settings(text, path="settings"):
    """Return the ``EdgeSettings`` of lines of the form ``a.b=value``.

    Unknown fields are ignored. Raises a ``HumanReadableError`` that lists every
    invalid field.
    """
    fields = {}
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            fields[name.strip()] = value.strip()
    reader = _FieldReader(fields)
    ip = reader.required_text("ip")
    settings = EdgeSettings(
        vm=reader.required_text("node_name"),
        failure_domain=reader.required_text("zone"),
        region=reader.required_text("region"),
        failure_domains=reader.with_prefix("zones."),
        caller_address=reader.address("listen_addrs.frontend"),
        ready_address=reader.address("listen_addrs.ready"),
        peer_address=reader.first_port_address("internal_ports", ip),
        metrics_address=reader.parse(f"{ip}:{METRICS_PORT}", "ip"),
        store_address=reader.address("platform.address"),
        first_start=fields.get("bootstrap") == "true",
        process_limits=ProcessLimits(
            memory_bytes=MEGABYTE
            * reader.positive(
                "limits.memory_mb", DEFAULT_LIMITS.memory_bytes / MEGABYTE
            ),
            descriptors=int(
                reader.positive("limits.max_fds", DEFAULT_LIMITS.descriptors)
            ),
        ),
        bounds=Bounds(
            config_apply_ms=reader.number(
                "bounds.config_apply_ms", DEFAULTS.config_apply_ms
            ),
            drain_ms=reader.number("bounds.drain_ms", DEFAULTS.drain_ms),
            evacuate_ms=reader.number("bounds.evacuate_ms", DEFAULTS.evacuate_ms),
            # The platform sends its second stop signal this long after the first.
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
            quota_window_ms=1000.0
            * reader.positive("bounds.quota_window_s", DEFAULTS.quota_window_ms / 1000),
            quota_overshoot=reader.not_negative(
                "bounds.quota_overshoot", DEFAULTS.quota_overshoot
            ),
            quota_slack=reader.not_negative("bounds.quota_slack", DEFAULTS.quota_slack),
            # Without it the system has no rollouts.
            exposure_share=reader.number("bounds.exposure_share", None),
            exposure_slack=reader.number("bounds.exposure_slack", 0.0),
            rollback_ms=reader.number("bounds.rollback_ms", DEFAULTS.rollback_ms),
            stable_window_ms=reader.number(
                "bounds.stable_window_ms", DEFAULTS.stable_window_ms
            ),
        ),
    )
    if reader.errors:
        raise HumanReadableError(f"{path}: " + "; ".join(reader.errors))
    return settings


class _FieldReader:
    """Reads typed fields and collects an error for each missing or invalid one."""

    def __init__(self, fields):
        self._fields = fields
        self.errors = []

    def required_text(self, name):
        value = self._fields.get(name, "")
        if not value:
            self.errors.append(f"{name} is missing")
        return value

    def with_prefix(self, prefix):
        return {
            name[len(prefix) :]: value
            for name, value in self._fields.items()
            if name.startswith(prefix)
        }

    def address(self, name):
        value = self.required_text(name)
        return self.parse(value, name) if value else None

    def parse(self, value, name):
        try:
            return Address.parse(value)
        except ValueError as error:
            self.errors.append(f"{name}: {error}")
            return None

    def first_port_address(self, name, ip):
        first_port = self.required_text(name).partition(",")[0]
        return self.parse(f"{ip}:{first_port}", name) if first_port else None

    def number(self, name, default):
        value = self._fields.get(name)
        if not value:
            return default
        try:
            return float(value)
        except ValueError:
            self.errors.append(f"{name}: {value!r} is not a number")
            return default

    def not_negative(self, name, default):
        """Return a number of at least 0."""
        value = self.number(name, default)
        if value < 0 or not math.isfinite(value):
            self.errors.append(f"{name}: {value!r} is not a number of at least 0")
            return default
        return value

    def positive(self, name, default):
        """Return a number above 0; 0 stands for the default, as it states no limit."""
        value = self.number(name, default)
        if value < 0 or not math.isfinite(value):
            self.errors.append(f"{name}: {value!r} is not a positive number")
            return default
        return value or default
