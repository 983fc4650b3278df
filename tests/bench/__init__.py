"""Measurements against stand-ins on loopback."""
