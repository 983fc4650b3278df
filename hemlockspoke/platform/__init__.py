"""Adapts the platform's formats to the types of the query tier."""
