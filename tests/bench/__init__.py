"""Measured scenarios with stand-ins on loopback, and measured cost slopes."""
