"""Randomised runs of the platform's daemon processes with injected faults."""
