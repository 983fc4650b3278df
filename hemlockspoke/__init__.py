"""A query tier between callers and many sharded upstreams."""

__version__ = "0.1.0"
