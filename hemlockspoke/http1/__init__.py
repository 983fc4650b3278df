"""HTTP/1.1 over Twisted transports, parsed by ``httptools``."""
