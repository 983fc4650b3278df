"""Randomised runs of the platform's daemons as processes, with faults from outside."""
