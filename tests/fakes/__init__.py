"""Fakes at the ports of the core, for tests with ``ManualClock``."""
