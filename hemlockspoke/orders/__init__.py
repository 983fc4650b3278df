"""Order engine: runs each order at most once."""
