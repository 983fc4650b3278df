"""Follows the store and the other daemons: configuration, servers, registrations.

Only this package changes that state; requests read it through ``Directory``.
"""
