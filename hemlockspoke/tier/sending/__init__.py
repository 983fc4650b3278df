"""Sends a request to servers of one service, and reads and merges the responses.

Used for callers by ``requests`` and for other daemons by ``peers``.
"""
