"""Moves a service to servers of another version, and back if that version is bad.

Answers the load of ``docs/design/rollouts.md``: services with 4 to 20 requests a second
over 10 to 300 daemons, and orders of about 12 s.
"""
