"""Client accounts of a configuration."""
