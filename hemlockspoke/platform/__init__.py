"""Translates between the users' platform and hemlockspoke's own types."""
