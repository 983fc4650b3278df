"""Orders, each of which runs at most once."""
