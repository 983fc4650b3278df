"""Numeric addresses."""

import ipaddress
import re

MAX_PORT = 65535
ADDRESS_PATTERN = re.compile(
    r"(?:\[(?P<v6>[^\[\]%]+)\]|(?P<v4>[0-9.]+)):(?P<port>[0-9]{1,5})"
)
ADDRESS_FORM = f"a numeric IP address and a port from 1 to {MAX_PORT}"


class Address:
    """A numeric IP address and a port.

    >>> Address.parse("10.0.1.1:8000").port
    8000
    >>> str(Address.parse("[0:0::1]:8000"))
    '[::1]:8000'
    """

    __slots__ = ("host", "port")

    def __init__(self, host, port):
        self.host = host
        self.port = port

    @classmethod
    def parse(cls, text):
        """Build from text such as ``10.0.1.1:8000``; raises ``ValueError``."""
        match = ADDRESS_PATTERN.fullmatch(text)
        if not match:
            raise ValueError(f"{text!r} is not {ADDRESS_FORM}")
        address_class = ipaddress.IPv6Address if match["v6"] else ipaddress.IPv4Address
        host = address_class(match["v6"] or match["v4"])
        port = int(match["port"])
        if not 1 <= port <= MAX_PORT:
            raise ValueError(f"port {port} is not from 1 to {MAX_PORT}")
        return cls(str(host), port)

    def is_unspecified(self):
        """Return whether this is 0.0.0.0 or [::]: every address of the VM."""
        return ipaddress.ip_address(self.host).is_unspecified

    def __str__(self):
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    def __repr__(self):
        return f"Address({str(self)!r})"

    def __eq__(self, other):
        if not isinstance(other, Address):
            return NotImplemented
        return (self.host, self.port) == (other.host, other.port)

    def __hash__(self):
        return hash((self.host, self.port))
