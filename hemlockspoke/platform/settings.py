"""The settings file that the platform places on each machine."""

from hemlockspoke.address import Address
from hemlockspoke.errors import HumanReadableError


class Bounds:
    """Times and ratios within which the platform expects changes to be followed."""

    __slots__ = (
        "config_apply_ms",
        "drain_ms",
        "evacuate_ms",
        "extra_load_ratio",
        "extra_load_slack",
        "shutdown_ms",
        "stable_window_ms",
    )

    def __init__(
        self,
        config_apply_ms=4000,
        drain_ms=4000,
        evacuate_ms=5000,
        shutdown_ms=6000,
        extra_load_ratio=0.0,
        extra_load_slack=0.0,
        stable_window_ms=4000,
    ):
        self.config_apply_ms = config_apply_ms
        self.drain_ms = drain_ms
        self.evacuate_ms = evacuate_ms
        self.shutdown_ms = shutdown_ms
        self.extra_load_ratio = extra_load_ratio
        self.extra_load_slack = extra_load_slack
        self.stable_window_ms = stable_window_ms


class PlatformSettings:
    """What a daemon learns from its settings file.

    ``first_start`` tells that the whole system starts for the first time.
    """

    __slots__ = (
        "bounds",
        "caller_address",
        "failure_domain",
        "failure_domains",
        "first_start",
        "internal_ports",
        "ready_address",
        "region",
        "store_address",
        "vm",
    )

    def __init__(
        self,
        vm,
        failure_domain,
        region,
        failure_domains,
        caller_address,
        ready_address,
        store_address,
        bounds,
        first_start=False,
        internal_ports=None,
    ):
        self.vm = vm
        self.failure_domain = failure_domain
        self.region = region
        self.failure_domains = failure_domains
        self.caller_address = caller_address
        self.ready_address = ready_address
        self.store_address = store_address
        self.bounds = bounds
        self.first_start = first_start
        self.internal_ports = internal_ports

    @classmethod
    def from_file(cls, path):
        """Read the file; a ``HumanReadableError`` lists every mistake."""
        try:
            with open(path, encoding="utf-8") as handle:
                return cls.from_text(handle.read(), path)
        except OSError as error:
            raise HumanReadableError(f"{path}: {error.strerror}") from None

    @classmethod
    def from_text(cls, source, path="settings"):
        """Build from lines of the form ``a.b=value``."""
        fields = {}
        for line in source.splitlines():
            name, separator, value = line.partition("=")
            if separator:
                fields[name.strip()] = value.strip()
        reader = _FieldReader(fields)
        settings = cls(
            vm=reader.text("node_name"),
            failure_domain=reader.text("zone"),
            region=reader.text("region"),
            failure_domains={
                name[len("zones.") :]: region
                for name, region in fields.items()
                if name.startswith("zones.")
            },
            caller_address=reader.address("listen_addrs.frontend"),
            ready_address=reader.address("listen_addrs.ready"),
            store_address=reader.address("platform.address"),
            first_start=fields.get("bootstrap") == "true",
            internal_ports=reader.ports("internal_ports"),
            bounds=Bounds(
                config_apply_ms=reader.number("bounds.config_apply_ms", 4000),
                drain_ms=reader.number("bounds.drain_ms", 4000),
                evacuate_ms=reader.number("bounds.evacuate_ms", 5000),
                shutdown_ms=1000 * reader.number("bounds.grace_s", 6),
                extra_load_ratio=reader.number("bounds.retry_budget_ratio", 0.0),
                extra_load_slack=reader.number("bounds.retry_slack", 0.0),
                stable_window_ms=reader.number("bounds.stable_window_ms", 4000),
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

    def address(self, name):
        value = self.text(name)
        if not value:
            return None
        try:
            return Address.parse(value)
        except ValueError as error:
            self.mistakes.append(f"{name}: {error}")
            return None

    def number(self, name, default):
        value = self._fields.get(name)
        if not value:
            return default
        try:
            return float(value)
        except ValueError:
            self.mistakes.append(f"{name}: {value!r} is not a number")
            return default

    def ports(self, name):
        value = self._fields.get(name)
        if not value:
            return None
        first, _, last = value.partition(",")
        if not (first.isdigit() and last.isdigit()):
            self.mistakes.append(f"{name}: {value!r} is not two ports")
            return None
        return range(int(first), int(last) + 1)
