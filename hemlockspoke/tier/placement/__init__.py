"""Knows single servers: measurements, notices, and reasons against using one.

``state`` keeps its objects; whoever sends requests reads them.
"""
