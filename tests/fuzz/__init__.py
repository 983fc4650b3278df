"""Stateful fuzzing of the decision code."""
