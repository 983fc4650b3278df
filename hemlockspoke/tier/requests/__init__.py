"""Answers callers' requests.

Only the daemon calls it; it uses all other packages of the tier.
"""
