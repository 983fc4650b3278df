"""Divides limits that hold for all daemons together, and spends this daemon's share.

Other packages ask it before they send; it imports none of them.
"""
