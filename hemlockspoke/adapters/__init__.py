"""Adapters between the core and the network, logs and metrics."""
