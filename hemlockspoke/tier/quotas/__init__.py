"""Quotas of client accounts, which hold for all daemons together.

``docs/design/accounts.md`` has the rules and the proof of the upper bound.
"""
