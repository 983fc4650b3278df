"""Lets other daemons send requests for this one, and sends requests for them.

Used by ``requests``; the daemon passes messages of other daemons to it.
"""
